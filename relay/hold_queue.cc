#include "relay/hold_queue.h"

#include <algorithm>
#include <numeric>
#include <string>

#include "base/log.h"

namespace quaytrack {

PrepaidVerdict HoldQueue::HoldOrWait(Instant now, const HoldWaiterPtr& waiter) {
  const CustomerName& customer = waiter->customer();
  WaitingList& list = waiting_[customer];
  const auto place = PlaceOf(*waiter, list);
  const Tokens before = SumOf(list.begin(), place);
  const auto refusal = scarce_.OnRequest(now, *waiter, before);
  if (refusal && !ExceedsBudget(now, *waiter)) {
    RefuseReserved(now, waiter, *refusal);
    return PrepaidVerdict::kShort;
  }
  if (place == list.begin()) {
    const PrepaidVerdict out =
        ledger_.Hold(now, customer, waiter->worst_case());
    if (out == PrepaidVerdict::kHeld) scarce_.OnHeld(now, *waiter);
    if (out != PrepaidVerdict::kShort) return out;
  } else if (ExceedsBudget(now, *waiter)) {
    return PrepaidVerdict::kExhausted;
  }
  list.insert(place, {waiter, now, 0});
  UpdateLedger(customer, list);
  return PrepaidVerdict::kShort;
}

int HoldQueue::UrgencyOf(const HoldWaiter& waiter) const {
  return scarce_.enabled() ? waiter.urgency() : 0;
}

// Before the first less urgent request.
HoldQueue::WaitingList::iterator HoldQueue::PlaceOf(const HoldWaiter& waiter,
                                                    WaitingList& list) const {
  const int urgency = UrgencyOf(waiter);
  return std::find_if(list.begin(), list.end(), [&](const Waiting& it) {
    return UrgencyOf(*it.waiter) > urgency;
  });
}

void HoldQueue::RefuseReserved(Instant now, const HoldWaiterPtr& waiter,
                               const ReserveRefusal& refusal) {
  on_.refuse_reserved(waiter, refusal.retry_after);
  if (!scarce_.TakeAsk(now, waiter->customer())) return;
  on_.ask_peers(waiter->customer(), refusal.reserved + waiter->worst_case(),
                false);
}

void HoldQueue::Remove(const HoldWaiterPtr& waiter) {
  WaitingList& list = waiting_[waiter->customer()];
  std::erase_if(list, [&](const Waiting& it) { return it.waiter == waiter; });
  UpdateLedger(waiter->customer(), list);
}

bool HoldQueue::HasWaiters(const CustomerName& customer) const {
  const auto it = waiting_.find(customer);
  return it != waiting_.end() && !it->second.empty();
}

void HoldQueue::Serve(Instant now) {
  for (auto& [customer, list] : waiting_) ServeList(now, customer, list);
}

void HoldQueue::ServeList(Instant now, const CustomerName& customer,
                          WaitingList& list) {
  while (!list.empty()) {
    const HoldWaiterPtr waiter = list.front().waiter;
    const PrepaidVerdict result =
        ledger_.Hold(now, customer, waiter->worst_case());
    if (result == PrepaidVerdict::kShort) break;
    if (result == PrepaidVerdict::kHeld) scarce_.OnHeld(now, *waiter);
    list.pop_front();
    UpdateLedger(customer, list);
    on_.answer(waiter, result);
  }
  RefuseExhausted(now, customer, list);
}

// Refuses the requests that the budget can never hold. A budget that can hold
// an amount can hold every smaller one, so the ledger is queried only for
// amounts larger than all before them: for n waiters in random order, about ln
// n times.
void HoldQueue::RefuseExhausted(Instant now, const CustomerName& customer,
                                WaitingList& list) {
  Tokens fits = 0;
  const auto n = std::erase_if(list, [&](const Waiting& it) {
    const Tokens amount = it.waiter->worst_case();
    if (amount <= fits) return false;
    const bool exceeds = ExceedsBudget(now, *it.waiter);
    if (exceeds) on_.answer(it.waiter, PrepaidVerdict::kExhausted);
    if (!exceeds) fits = amount;
    return exceeds;
  });
  if (n > 0) UpdateLedger(customer, list);
}

// Whether the budget can never hold the request. This holds nothing: `Hold` is
// called only with an amount beyond the allowance, which the ledger refuses.
bool HoldQueue::ExceedsBudget(Instant now, const HoldWaiter& waiter) {
  const CustomerName& customer = waiter.customer();
  const Tokens amount = waiter.worst_case();
  if (ledger_.Allowance(now, customer) >= amount) return false;
  return ledger_.Hold(now, customer, amount) == PrepaidVerdict::kExhausted;
}

bool HoldQueue::Expire(Instant now, bool store_reachable) {
  bool any = false;
  for (auto& [customer, list] : waiting_) {
    ServeList(now, customer, list);
    RefuseExpired(now, customer, list, store_reachable);
    if (list.empty()) continue;
    any = true;
    AskPeersIfDue(now, customer, list, store_reachable);
  }
  return any;
}

void HoldQueue::RefuseExpired(Instant now, const CustomerName& customer,
                              WaitingList& list, bool store_reachable) {
  const auto expired = [&](const Waiting& it) { return HasExpired(now, it); };
  while (true) {
    const auto it = std::find_if(list.begin(), list.end(), expired);
    if (it == list.end()) return;
    const HoldWaiterPtr waiter = it->waiter;
    list.erase(it);
    UpdateLedger(customer, list);
    LogRefused(now, *waiter, store_reachable);
    on_.answer(waiter, PrepaidVerdict::kShort);
    // The grant that was too small for this request may suffice for the next
    // ones.
    ServeList(now, customer, list);
  }
}

// Whether the request is to be refused: it has waited too long, or it waits in
// vain, as a router that was replaced or has left the budgets gets no tokens
// from the store or from peers.
bool HoldQueue::HasExpired(Instant now, const Waiting& it) const {
  const bool no_tokens = ledger_.Fenced() || ledger_.HasLeft();
  return no_tokens || now - it.since >= kTimeouts.give_up_after;
}

// Peers are asked for the sum of all waiting requests, once the oldest of them
// has waited long enough.
void HoldQueue::AskPeersIfDue(Instant now, const CustomerName& customer,
                              WaitingList& list, bool store_reachable) {
  Waiting& oldest = *std::min_element(
      list.begin(), list.end(),
      [](const Waiting& a, const Waiting& b) { return a.since < b.since; });
  const Duration waited = now - oldest.since;
  const bool half = oldest.times_asked == 0 &&
                    (waited >= kTimeouts.ask_half_after || !store_reachable);
  const bool all = oldest.times_asked == 1 && waited >= kTimeouts.ask_all_after;
  if (!half && !all) return;
  ++oldest.times_asked;
  on_.ask_peers(customer, SumOf(list), all);
}

Tokens HoldQueue::SumOf(const WaitingList::const_iterator& begin,
                        const WaitingList::const_iterator& end) {
  return std::accumulate(
      begin, end, Tokens{0},
      [](Tokens n, const Waiting& it) { return n + it.waiter->worst_case(); });
}

void HoldQueue::UpdateLedger(const CustomerName& customer,
                             const WaitingList& list) {
  ledger_.SetWaiting(customer, SumOf(list));
}

void HoldQueue::LogRefused(Instant now, const HoldWaiter& waiter,
                           bool store_reachable) const {
  const CustomerName& customer = waiter.customer();
  PrepaidEntry entry;
  if (const PrepaidRecord* record = ledger_.LatestRecord()) {
    const auto it = record->customers.find(customer);
    if (it != record->customers.end()) entry = it->second;
  }
  LogEvent(Event::kPrepaidShort,
           {{"customer", customer.value},
            {"needed", std::to_string(waiter.worst_case())},
            {"allowance", std::to_string(ledger_.Allowance(now, customer))},
            {"limit", std::to_string(entry.limit)},
            {"settled", std::to_string(entry.settled)},
            {"granted", std::to_string(entry.Outstanding())},
            {"store", store_reachable ? "up" : "away"}});
}

}  // namespace quaytrack
