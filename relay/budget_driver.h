// Drives the prepaid ledger with the store and the peers, and keeps the
// requests that wait for a larger part of a budget.

#ifndef QUAYTRACK_RELAY_BUDGET_DRIVER_H_
#define QUAYTRACK_RELAY_BUDGET_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "bundle/service_map.h"
#include "kv/store.h"
#include "ledger/prepaid_ledger.h"
#include "net/loop.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class RelayFlow;

class BudgetDriver {
 public:
  struct Handlers {
    // Tells all linked peers.
    std::function<void(const PeerMessage&)> broadcast;
    // Tells one of them.
    std::function<void(const Incarnation&, const PeerMessage&)> tell;
    // The record shows other members than before, or may do.
    std::function<void()> members_changed;
    // The store was lost (false) or is back (true).
    std::function<void(bool)> store_reachable;
  };

  BudgetDriver(Loop& loop, const Clock& clock, KvStore& store,
               const PrepaidLedger::Identity& identity, PrepaidPolicy policy);

  void SetHandlers(Handlers handlers) { on_ = std::move(handlers); }
  // Where peers reach this router; before `Start`.
  void SetAddress(const std::string& address) { ledger_.SetAddress(address); }
  void Start();
  void SetConfig(const ServiceMap& map);

  // kShort: the flow waits; `OnHeld` or `OnHoldRefused` follows.
  PrepaidVerdict Hold(const std::shared_ptr<RelayFlow>& flow);
  // Takes a waiting flow back.
  void Forget(const std::shared_ptr<RelayFlow>& flow);
  void Settle(const CustomerName& customer, Tokens held, Tokens cost);

  void OnPeer(const PeerMessage& message);

  // Returns the unspent part to the store.
  void StartLeaving();
  const PrepaidLedger& ledger() const { return ledger_; }
  bool store_reachable() const { return store_reachable_; }

 private:
  struct Waiting {
    std::shared_ptr<RelayFlow> flow;
    Instant since{};
    // How often peers were asked for it.
    int asked = 0;
  };
  using WaitingList = std::deque<Waiting>;

  void Pump();
  StoreWrite ToStore(const PrepaidWrite& write) const;
  void ReadSpends();
  void OnSpends(const StoreSnapshot& snapshot);
  void OnRecord(const StoreSnapshot& snapshot);
  bool ReadRecord(const std::vector<StoreItem>& items);
  void OnRejected(const std::vector<StoreItem>& present);
  static std::string KeyOf(const Incarnation& it);
  void OnWritten(const StoreWritten& written);
  void NoticeMembers();
  void PumpSoon();
  void SetReachable(bool reachable);
  void ServeWaiting();
  void ServeList(const CustomerName& customer, WaitingList& list);
  void TickWaiting();
  void AskPeers(const CustomerName& customer, const WaitingList& list,
                bool all);
  void LogClosings(const std::vector<PrepaidClosing>& closings) const;
  void LogWritten(std::int64_t revision) const;
  void LogShort(const CustomerName& customer, Tokens needed) const;
  void UpdateWaiting(const CustomerName& customer, const WaitingList& list);

  Loop& loop_;
  const Clock& clock_;
  KvStore& store_;
  Incarnation self_;
  PrepaidLedger ledger_;
  Handlers on_;
  std::map<CustomerName, WaitingList> waiting_;
  KvStore::CallPtr call_;
  // The write in flight, and what a read under way has found.
  PrepaidWrite sent_;
  PrepaidState read_;
  std::unique_ptr<Timer> pump_timer_;
  std::unique_ptr<Timer> soon_timer_;
  std::unique_ptr<Timer> waiting_timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool store_reachable_ = true;
  std::map<Incarnation, PrepaidMember> members_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_BUDGET_DRIVER_H_
