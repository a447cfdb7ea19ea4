// Drives the prepaid ledger with the store and the peers, and keeps the
// requests that wait for a larger part of a budget.
//
// In a large fleet most routers take no part in the ledger; they ask those that
// do, the holders, for each request (fleet/fleet.h).

#ifndef QUAYTRACK_RELAY_BUDGET_DRIVER_H_
#define QUAYTRACK_RELAY_BUDGET_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "base/rate.h"
#include "config/service_map.h"
#include "fleet/fleet.h"
#include "kv/store.h"
#include "net/loop.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/hold_waiter.h"
#include "relay/peer_messages.h"
#include "relay/remote_holds.h"
#include "relay/served_holds.h"

namespace quaytrack {

class BudgetDriver {
 public:
  using HoldWaiterPtr = std::shared_ptr<HoldWaiter>;

  struct Handlers {
    // Tells all linked peers.
    std::function<void(const PeerMessage&)> broadcast;
    // Tells one of them.
    std::function<void(const Incarnation&, const PeerMessage&)> tell;
    // The incarnation that is linked on a VM; empty if none is.
    std::function<Incarnation(const VmName&)> linked;
    // The store was lost (false) or is back (true).
    std::function<void(bool)> store_reachable;
  };

  BudgetDriver(Loop& loop, const Clock& clock, KvStore& store,
               const FleetDirectory& fleet,
               const PrepaidLedger::Identity& identity, PrepaidPolicy policy);

  void SetHandlers(Handlers handlers) { on_ = std::move(handlers); }
  void Start();
  void SetConfig(const ServiceMap& map);

  // The list of routers may make this one a holder.
  void TakePartIfHolder();

  // kShort: the request waits; `OnHeld` or `OnHoldRefused` follows.
  PrepaidVerdict Hold(const HoldWaiterPtr& request);
  // Takes a waiting request back.
  void Forget(const HoldWaiterPtr& request);
  void Settle(const HoldWaiter& request, Tokens cost);

  void OnPeer(const PeerMessage& message);
  void OnPeerLost(const Incarnation& peer);

  // Other routers are told to ask other holders.
  void StopServing() { served_.Stop(); }
  // Returns the unspent part to the store.
  void StartLeaving();
  const PrepaidLedger& ledger() const { return ledger_; }

 private:
  struct Waiting {
    HoldWaiterPtr waiter;
    Instant since{};
    // How often peers were asked for it.
    int asked = 0;
  };
  using WaitingList = std::deque<Waiting>;

  // The same for a part that this router keeps.
  PrepaidVerdict HoldHere(const HoldWaiterPtr& waiter);
  void ForgetHere(const HoldWaiterPtr& waiter);
  void SettleHere(const CustomerName& customer, Tokens held, Tokens cost);
  void HoldElsewhere(const HoldWaiterPtr& request);
  void HoldForPeer(const HoldWaiterPtr& waiter);
  DecayingRate& DemandFor(const CustomerName& customer);
  static void Answer(HoldWaiter& waiter, PrepaidVerdict verdict);
  void AnswerLater(const HoldWaiterPtr& waiter, PrepaidVerdict verdict);
  RemoteHolds::Handlers RemoteHandlers();
  ServedHolds::Handlers ServedHandlers();
  void Tell(const Incarnation& peer, PeerMessage message);
  void OnAsked(const PeerMessage& message);
  void StartTicking();
  void Tick();
  void Pump();
  StoreWrite ToStore(const PrepaidWrite& write) const;
  void ReadSpends();
  void OnSpends(const StoreSnapshot& snapshot);
  void OnRecord(const StoreSnapshot& snapshot);
  bool ReadRecord(const std::vector<StoreItem>& items);
  void OnRejected(const std::vector<StoreItem>& present);
  static std::string KeyOf(const Incarnation& it);
  void OnWritten(const StoreWritten& written);
  void PumpSoon();
  void SetReachable(bool reachable);
  void ServeWaiting();
  void ServeList(const CustomerName& customer, WaitingList& list);
  // Whether any still wait.
  bool TickWaiting();
  void AskPeers(const CustomerName& customer, const WaitingList& list,
                bool all);
  void LogClosings(const std::vector<PrepaidClosing>& closings) const;
  void LogWritten(std::int64_t revision) const;
  void LogShort(const CustomerName& customer, Tokens needed) const;
  void UpdateWaiting(const CustomerName& customer, const WaitingList& list);

  Loop& loop_;
  const Clock& clock_;
  KvStore& store_;
  const FleetDirectory& fleet_;
  Incarnation self_;
  PrepaidLedger ledger_;
  RemoteHolds remote_;
  ServedHolds served_;
  Handlers on_;
  std::map<CustomerName, WaitingList> waiting_;
  // Tokens that were held of late.
  std::map<CustomerName, DecayingRate> demand_;
  KvStore::CallPtr call_;
  // The write in flight, and what a read under way has found.
  PrepaidWrite sent_;
  PrepaidState read_;
  std::unique_ptr<Timer> pump_timer_;
  std::unique_ptr<Timer> soon_timer_;
  std::unique_ptr<Timer> tick_timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool store_reachable_ = true;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_BUDGET_DRIVER_H_
