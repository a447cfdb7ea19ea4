// BudgetDriver applies the prepaid budgets to the requests that this router
// relays and to those of peers that keep no grants. A grant is the amount of a
// budget that one router may spend.
//
//   switch (budgets.Hold(waiter)) {
//     case PrepaidVerdict::kHeld:        // send it
//     case PrepaidVerdict::kExhausted:   // 402: the budget can't ever hold it
//     case PrepaidVerdict::kCharged:     // 503: it can't either, without proof
//                                        // that the budget was spent
//     case PrepaidVerdict::kShort:       // `OnHeld` or `OnHoldRefused` follows
//   }
//   budgets.Forget(waiter);              // cancels it while it waits
//   budgets.Settle(*waiter, cost);       // after it was held: its cost
//
// Every hold that was granted is settled exactly once, with 0 if nothing ran;
// until then no other request can spend the tokens that it holds.
//
// This class only connects these parts:
//   prepaid/prepaid_ledger.h   what this router may spend of each budget
//   relay/prepaid_store.h      the ledger's reads and writes at the store
//   relay/hold_queue.h         requests that wait for a larger grant, and those
//                              that a scarce budget is kept from
//   relay/grant_transfers.h    unused grant from and to peers
//   relay/remote_holds.h       holds at other routers, if this one keeps no
//                              grants: in a large fleet most routers keep none
//                              and use the holders (fleet/fleet.h)
//   relay/served_holds.h       the same at the holder
// relay/hold_patience.h says how long a request waits.
//
// Units: tokens. Errors: if the store or the peers don't answer, requests wait
// and are then refused with `exhausted` false; nothing is spent without a
// grant.

#ifndef QUAYTRACK_RELAY_BUDGET_DRIVER_H_
#define QUAYTRACK_RELAY_BUDGET_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "config/service_map.h"
#include "fleet/fleet.h"
#include "kv/store.h"
#include "net/loop.h"
#include "prepaid/hold_advance.h"
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
    // Sends a message to all linked peers.
    std::function<void(const PeerMessage&)> broadcast;
    // Sends a message to one linked peer.
    std::function<void(const Incarnation&, const PeerMessage&)> send;
    // The linked incarnation (run of the router's process) on a VM; empty if
    // none is linked.
    std::function<Incarnation(const VmName&)> linked;
    // Called when the store was lost (false) or is back (true).
    std::function<void(bool)> store_reachable;
    // Whether the customer's budget is scarce, so that nothing is given in
    // advance. Without this handler, none is.
    std::function<bool(const CustomerName&)> is_scarce;
  };

  BudgetDriver(Loop& loop, const Clock& clock, KvStore& store,
               const FleetDirectory& fleet,
               const PrepaidLedger::Identity& identity, PrepaidPolicy policy);

  // Sets the handlers; call before `Start`.
  void SetHandlers(Handlers handlers) { on_ = std::move(handlers); }
  void Start();
  void SetConfig(const ServiceMap& map);

  // Called when the store has come back in a later era (kv/store.h).
  void OnStoreEra();
  // Starts to keep grants if the list of routers makes this router a holder.
  void JoinIfHolder();
  // Called once the list of routers was read: requests that waited for the list
  // continue.
  void OnFleetRead();

  // Holds the request's worst case. Returns kShort if the request waits; its
  // `OnHeld` or `OnHoldRefused` is then called later.
  PrepaidVerdict Hold(const HoldWaiterPtr& request);
  // Cancels a waiting request; it gets no answer.
  void Forget(const HoldWaiterPtr& request);
  // Ends the request's hold and charges `cost` (relay/request_cost.h).
  void Settle(const HoldWaiter& request, Tokens cost);

  void OnPeer(const PeerMessage& message);
  void OnPeerLost(const Incarnation& peer);

  // Whether this router's reach of the customer's budget doesn't cover the
  // demand over the horizon (prepaid/scarcity.h). False if this router keeps no
  // grants, or if the horizon is zero.
  bool IsScarce(const CustomerName& customer) const {
    return queue_.IsScarce(clock_.Now(), customer);
  }
  // Number of customers whose budgets are scarce at this router.
  std::size_t CountScarce() const { return queue_.CountScarce(clock_.Now()); }

  // From now on, refers peers that request holds to other holders, and asks
  // for no holds in advance.
  void StopServing();
  // Starts to return the unspent grants to the store; `HasLeft` shows when this
  // is done.
  void StartLeaving();
  // Whether this process may end without loss to the budgets: the store has
  // this router's unspent grants, and the holders that it used know the costs
  // of its holds.
  bool HasLeft() const { return ledger_.HasLeft() && remote_.Idle(); }
  const PrepaidLedger& ledger() const { return ledger_; }
  // Number of requests that were refused at once, as nothing could arrive in
  // time.
  std::uint64_t refused_at_once() const {
    return remote_.refused_at_once() + queue_.refused_at_once();
  }
  // Whether this router refuses the requests of all customers with budgets, as
  // it keeps no grants and finds no router that does, or as it has refused some
  // before it could read the list of routers.
  bool LacksHolder() const;
  // This router's advances, and the sum of those that it has given.
  const HoldAdvances& advances() const { return remote_.advances(); }
  Tokens AdvancesGiven() const { return served_.Advanced(); }

 private:
  PrepaidStore::Handlers StoreHandlers();
  HoldQueue::Handlers QueueHandlers();
  GrantTransfers::Handlers TransferHandlers();
  RemoteHolds::Handlers RemoteHandlers();
  ServedHolds::Handlers ServedHandlers();
  PrepaidVerdict HoldLocallyOrRemotely(const HoldWaiterPtr& waiter);
  PrepaidVerdict HoldFromGrant(const HoldWaiterPtr& waiter);
  PrepaidVerdict RequestFromHolders(const HoldWaiterPtr& waiter);
  Tokens HoldInAdvance(const CustomerName& customer, Tokens asked,
                       Tokens given);
  void ReturnAdvancesOfLowerLimits(const ServiceMap& map);
  void SettleInGrant(const CustomerName& customer, Tokens held, Tokens cost);
  void PostAnswer(const HoldWaiterPtr& waiter, PrepaidVerdict verdict);
  void PostReserved(const HoldWaiterPtr& waiter, Duration retry_after);
  void SendTo(const Incarnation& peer, PeerMessage message);
  void StartWaitTimer();
  void CheckWaits();
  void RefuseExpiredEarlyHolds();

  // A request that arrived before the list of routers was read.
  struct EarlyHold {
    HoldWaiterPtr waiter;
    Instant arrived_at{};
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
  AdvancePolicy advance_policy_;
  std::vector<EarlyHold> early_holds_;
  // Whether one of them was refused.
  bool refused_early_hold_ = false;
  // The limits of the configuration in force.
  std::map<CustomerName, Tokens> limits_;
  // Runs while any request waits.
  std::unique_ptr<Timer> wait_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_BUDGET_DRIVER_H_
