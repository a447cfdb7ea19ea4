// BudgetDriver: the prepaid budgets of one router, for the requests that it
// relays and for peers that keep no grants.
//
//   switch (budgets.Hold(waiter)) {
//     case PrepaidVerdict::kHeld:        // send it
//     case PrepaidVerdict::kExhausted:   // 402: the budget can't ever hold it
//     case PrepaidVerdict::kShort:       // `OnHeld` or `OnHoldRefused` follows
//   }
//   budgets.Forget(waiter);              // while it waits: no longer wanted
//   budgets.Settle(*waiter, cost);       // held: what it has cost
//
// Every hold that was granted is settled exactly once, with 0 if nothing ran;
// until then its worst case can't be spent by anybody else.
//
// This class only joins the parts and passes on what concerns them:
//   prepaid/prepaid_ledger.h   what this router may spend of each budget
//   relay/prepaid_store.h      the ledger's reads and writes at the store
//   relay/hold_queue.h         requests that wait for a larger grant
//   relay/grant_transfers.h    unused grant from and to peers
//   relay/remote_holds.h       holds at other routers, if this one keeps no
//                              grants: in a large fleet most don't, and ask
//                              those that do, the holders (fleet/fleet.h)
//   relay/served_holds.h       the same from the holder's side
// How long a request waits stands in relay/hold_patience.h.
//
// Units: tokens. Errors: a store or peers that don't answer make requests wait
// and then be refused with `exhausted` false; nothing is spent on a guess.

#ifndef QUAYTRACK_RELAY_BUDGET_DRIVER_H_
#define QUAYTRACK_RELAY_BUDGET_DRIVER_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "config/service_map.h"
#include "fleet/fleet.h"
#include "kv/store.h"
#include "net/loop.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/grant_transfers.h"
#include "relay/hold_queue.h"
#include "relay/hold_waiter.h"
#include "relay/peer_messages.h"
#include "relay/prepaid_store.h"
#include "relay/remote_holds.h"
#include "relay/served_holds.h"

namespace quaytrack {

class BudgetDriver {
 public:
  struct Handlers {
    // Tells all linked peers.
    std::function<void(const PeerMessage&)> broadcast;
    // Tells one of them.
    std::function<void(const Incarnation&, const PeerMessage&)> tell;
    // The incarnation that is linked on a VM; empty if none is.
    std::function<Incarnation(const VmName&)> linked;
    // The store was lost (false) or is back (true).
    std::function<void(bool)> store_reachable;
    // The store has answered a call.
    std::function<void()> store_answered;
  };

  BudgetDriver(Loop& loop, const Clock& clock, KvStore& store,
               const FleetDirectory& fleet,
               const PrepaidLedger::Identity& identity, PrepaidPolicy policy);

  // Before `Start`.
  void SetHandlers(Handlers handlers) { on_ = std::move(handlers); }
  void Start();
  void SetConfig(const ServiceMap& map);

  // The store has come back in a later era.
  void OnStoreEra() { store_.OnStoreEra(); }
  // The list of routers may have made this one a holder.
  void TakePartIfHolder();
  // The list was read: requests that came before it go on.
  void OnFleetRead();

  // kShort: the request waits; `OnHeld` or `OnHoldRefused` follows.
  PrepaidVerdict Hold(const HoldWaiterPtr& request);
  // The request no longer waits; it isn't answered.
  void Forget(const HoldWaiterPtr& request);
  // `cost`: the tokens that were handed out.
  void Settle(const HoldWaiter& request, Tokens cost);

  void OnPeer(const PeerMessage& message);
  void OnPeerLost(const Incarnation& peer);

  // Peers that ask for holds are sent on to other holders.
  void StopServing() { served_.Stop(); }
  // Returns the unspent grants to the store; `HasLeft` follows.
  void StartLeaving();
  // Nothing of the budgets would be lost with this process: the store has its
  // grants, and the holders that it asked know what their holds have cost.
  bool HasLeft() const { return ledger_.HasLeft() && remote_.Idle(); }
  const PrepaidLedger& ledger() const { return ledger_; }

 private:
  PrepaidStore::Handlers StoreHandlers();
  HoldQueue::Handlers QueueHandlers();
  GrantTransfers::Handlers TransferHandlers();
  RemoteHolds::Handlers RemoteHandlers();
  ServedHolds::Handlers ServedHandlers();
  PrepaidVerdict HoldHereOrElsewhere(const HoldWaiterPtr& waiter);
  PrepaidVerdict HoldFromGrant(const HoldWaiterPtr& waiter);
  void AskHolders(const HoldWaiterPtr& waiter);
  void SettleInGrant(const CustomerName& customer, Tokens held, Tokens cost);
  void AnswerLater(const HoldWaiterPtr& waiter, PrepaidVerdict verdict);
  void Tell(const Incarnation& peer, PeerMessage message);
  void WatchWaits();
  void CheckWaits();
  void RefuseEarly();

  // A request that came before the list of routers was read.
  struct Early {
    HoldWaiterPtr waiter;
    Instant since{};
  };

  Loop& loop_;
  const Clock& clock_;
  const FleetDirectory& fleet_;
  Incarnation self_;
  Handlers on_;
  PrepaidLedger ledger_;
  PrepaidStore store_;
  HoldQueue queue_;
  GrantTransfers transfers_;
  RemoteHolds remote_;
  ServedHolds served_;
  std::vector<Early> early_;
  // Runs while anything waits.
  std::unique_ptr<Timer> wait_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_BUDGET_DRIVER_H_
