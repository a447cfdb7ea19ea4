// HoldQueue keeps the requests that wait until this router's grant, the tokens
// of a budget that it may spend, is large enough.
//
//   if (queue.HoldOrWait(now, waiter) == PrepaidVerdict::kShort) {
//     // It waits; `answer` is called once, unless it is removed.
//   }
//   queue.Serve(now);                       // the grant may have grown
//   queue.Expire(now, store_reachable);     // every few milliseconds, while
//                                           // any request waits
//
// Each customer has its own list, which is first come, first served: a later
// request of the same urgency doesn't overtake one that waits, or large
// requests would starve while small ones keep arriving. Once the first has left
// or was refused, the next is held, if the grant allows it, at the next
// `Expire`: at most 10 ms later (`check_every`), while requests are refused
// after 160 ms. The ledger is given the sum that waits, and sizes its next
// write by it.
//
// With a horizon for scarce budgets (prepaid/scarcity.h), a more urgent request
// goes before the less urgent ones that wait, and a request that must leave the
// budget to more urgent ones is refused when it arrives. Every wait ends after
// the same time, so nothing waits forever behind more urgent requests.
//
// A request that the budget can never hold doesn't wait, wherever it is in the
// list. It is refused when it arrives, or when a lower limit or later spending
// rules it out. That spares its caller a useless wait of up to 160 ms, and the
// refusal states that the budget is exhausted, rather than to retry in a
// second.
//
// A request doesn't wait either if it is known that nothing can arrive in time
// (`NothingCanArrive`): the store is unreachable, peers have just given nothing
// for another request, which waited its full time and was for no larger amount,
// and all that this router keeps, with every hold returned, is too small. One
// request waits nevertheless, as a probe, and asks the peers again.
//
// Owns the lists. Relies on the ledger for every decision about tokens, and on
// relay/hold_patience.h for the timeouts. `answer` must call the waiter later,
// from the loop: the end of a waiter may change the list that HoldQueue is
// iterating over. Amounts are tokens.

#ifndef QUAYTRACK_RELAY_HOLD_QUEUE_H_
#define QUAYTRACK_RELAY_HOLD_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/hold_patience.h"
#include "relay/hold_waiter.h"
#include "relay/line_limit.h"
#include "relay/scarce_budgets.h"

namespace quaytrack {

class HoldQueue {
 public:
  struct Handlers {
    // Asks peers for `waiting` tokens of their grants plus some reserve: for
    // everything unused if `all`, else for half of it.
    std::function<void(const CustomerName&, Tokens waiting, bool all)>
        ask_peers;
    // Schedules the waiter's callback, after the current callback of the loop.
    std::function<void(const HoldWaiterPtr&, PrepaidVerdict)> answer;
    // The same for a request that leaves a scarce budget to more urgent ones.
    std::function<void(const HoldWaiterPtr&, Duration retry_after)>
        refuse_reserved;
    // Whether the store answers. Without this handler, no request is refused
    // before it has waited.
    std::function<bool()> store_reachable;
  };

  // `scarce_horizon` is `PrepaidPolicy::scarce_horizon`.
  HoldQueue(PrepaidLedger& ledger, Duration scarce_horizon, Handlers handlers)
      : ledger_(ledger),
        scarce_(ledger, scarce_horizon, handlers.store_reachable),
        on_(std::move(handlers)) {}

  // Returns kShort if the request waits, or if its refusal by `refuse_reserved`
  // was scheduled; any other result is final.
  PrepaidVerdict HoldOrWait(Instant now, const HoldWaiterPtr& waiter);
  // Removes a request without answering it.
  void Remove(const HoldWaiterPtr& waiter);
  bool HasWaiters(const CustomerName& customer) const;
  // Called when a peer has sent a transfer.
  void OnTransfer(Instant now, const CustomerName& customer);

  bool IsScarce(Instant now, const CustomerName& customer) const {
    return scarce_.IsScarce(now, customer);
  }
  std::size_t CountScarce(Instant now) const {
    return scarce_.CountScarce(now);
  }

  // Holds what the ledger now allows, and refuses what the budget can never
  // hold.
  void Serve(Instant now);
  // Does what `Serve` does, and also refuses requests that have waited too long
  // or can get no tokens, and asks peers on behalf of the others. Returns
  // whether any still wait.
  bool Expire(Instant now, bool store_reachable);
  // Number of requests that were refused without waiting, as nothing could
  // arrive.
  std::uint64_t refused_at_once() const { return refused_at_once_; }

 private:
  struct Waiting {
    HoldWaiterPtr waiter;
    Instant since{};
    // How often peers were asked on behalf of `waiter`.
    int times_asked = 0;
    // When peers were asked last.
    Instant asked_at{};
    // Whether the store answered at a check while `waiter` was the first.
    bool store_answered = false;
  };
  // What a request that waited in vain has shown.
  struct Declined {
    Instant at{};
    Tokens amount = 0;
  };
  using WaitingList = std::deque<Waiting>;

  int UrgencyOf(const HoldWaiter& waiter) const;
  WaitingList::iterator PlaceOf(const HoldWaiter& waiter,
                                WaitingList& list) const;
  void RefuseReserved(Instant now, const HoldWaiterPtr& waiter,
                      const ReserveRefusal& refusal);

  bool NothingCanArrive(Instant now, const HoldWaiter& waiter,
                        const WaitingList& list) const;
  void NoteDeclined(Instant now, const Waiting& it, bool store_reachable);
  void RefuseAtOnce(Instant now, const HoldWaiterPtr& waiter);
  void ServeList(Instant now, const CustomerName& customer, WaitingList& list);
  void RefuseExhausted(Instant now, const CustomerName& customer,
                       WaitingList& list);
  std::optional<PrepaidVerdict> RefusalByBudget(Instant now,
                                                const HoldWaiter& waiter);
  void RefuseExpired(Instant now, const CustomerName& customer,
                     WaitingList& list, bool store_reachable);
  bool HasExpired(Instant now, const Waiting& it) const;
  void AskPeersIfDue(Instant now, const CustomerName& customer,
                     WaitingList& list, bool store_reachable);
  static Tokens SumOf(const WaitingList& list) {
    return SumOf(list.begin(), list.end());
  }
  static Tokens SumOf(const WaitingList::const_iterator& begin,
                      const WaitingList::const_iterator& end);
  void UpdateLedger(const CustomerName& customer, const WaitingList& list);
  void LogRefused(Instant now, const HoldWaiter& waiter,
                  bool store_reachable) const;

  static constexpr HoldTimeouts kTimeouts{};
  // Bounds the log when a router refuses hundreds of requests a second.
  static constexpr int kRefusalLinesPerSecond = 20;

  PrepaidLedger& ledger_;
  ScarceBudgets scarce_;
  Handlers on_;
  std::map<CustomerName, WaitingList> waiting_;
  std::map<CustomerName, Declined> declined_;
  std::map<CustomerName, Instant> transferred_at_;
  std::uint64_t refused_at_once_ = 0;
  LineLimit refusal_lines_{kRefusalLinesPerSecond};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_QUEUE_H_
