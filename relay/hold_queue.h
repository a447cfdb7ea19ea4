// HoldQueue: the requests that wait until this router's grant is large enough.
//
//   if (queue.HoldOrWait(now, waiter) == PrepaidVerdict::kShort) {
//     // It waits; `answer` will be called, once, unless it is removed.
//   }
//   queue.Serve(now);                       // the grant may have grown
//   queue.Expire(now, store_reachable);     // every few milliseconds, while
//                                           // any wait
//
// Each customer has a list of its own, first come first served: a later request
// doesn't overtake one that waits, or large requests would never be held beside
// a stream of small ones. Once the first has left or was refused, the next is
// held if the grant allows it, at the next `Expire`: 10 ms later at most
// (`check_every`), where it could be refused in vain after 160. The ledger is
// told the sum that waits, and sizes its next write by it.
//
// What the budget can't ever hold doesn't wait, wherever in the list it is: it
// is refused when it comes, or when a lower limit or what was spent meanwhile
// rules it out. That spares its caller a wait of up to 160 ms for nothing, and
// tells it that the budget is used up, not to come back in a second.
//
// Owns the lists. Relies on the ledger for every decision about tokens, and on
// relay/hold_patience.h for how long each step takes. Never calls a waiter
// itself: `answer` has to call it later, as the waiter's end may change the
// list that is being gone through.

#ifndef QUAYTRACK_RELAY_HOLD_QUEUE_H_
#define QUAYTRACK_RELAY_HOLD_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/hold_patience.h"
#include "relay/hold_waiter.h"

namespace quaytrack {

class HoldQueue {
 public:
  struct Handlers {
    // Asks peers for `waiting` tokens of their grants, and for something to
    // spare; for everything unused if `all`, else for half of it.
    std::function<void(const CustomerName&, Tokens waiting, bool all)>
        ask_peers;
    // Has the waiter called after the present callback of the loop.
    std::function<void(const HoldWaiterPtr&, PrepaidVerdict)> answer;
  };

  HoldQueue(PrepaidLedger& ledger, Handlers handlers)
      : ledger_(ledger), on_(std::move(handlers)) {}

  // kShort: the request waits, and may be held or not; else that is known.
  PrepaidVerdict HoldOrWait(Instant now, const HoldWaiterPtr& waiter);
  // The request is no longer wanted; it isn't answered.
  void Remove(const HoldWaiterPtr& waiter);
  bool HasWaiters(const CustomerName& customer) const;

  // Holds what the ledger now allows, and refuses what it never will.
  void Serve(Instant now);
  // Holds what the ledger now allows, refuses those that have waited too long
  // or wait in vain, and asks peers for the others. Returns whether any still
  // wait.
  bool Expire(Instant now, bool store_reachable);

 private:
  struct Waiting {
    HoldWaiterPtr waiter;
    Instant since{};
    // How often peers were asked for it.
    int asks = 0;
  };
  using WaitingList = std::deque<Waiting>;

  void ServeList(Instant now, const CustomerName& customer, WaitingList& list);
  void RefuseExhausted(Instant now, const CustomerName& customer,
                       WaitingList& list);
  bool CanNeverBeHeld(Instant now, const HoldWaiter& waiter);
  void RefuseExpired(Instant now, const CustomerName& customer,
                     WaitingList& list, bool store_reachable);
  bool IsOver(Instant now, const Waiting& it) const;
  void AskPeersIfDue(Instant now, const CustomerName& customer,
                     WaitingList& list, bool store_reachable);
  static Tokens SumOf(const WaitingList& list);
  void TellLedger(const CustomerName& customer, const WaitingList& list);
  void LogRefused(Instant now, const HoldWaiter& waiter,
                  bool store_reachable) const;

  static constexpr HoldPatience kPatience{};

  PrepaidLedger& ledger_;
  Handlers on_;
  std::map<CustomerName, WaitingList> waiting_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_QUEUE_H_
