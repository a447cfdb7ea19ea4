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
  if (refusal && !RefusalByBudget(now, *waiter)) {
    RefuseReserved(now, waiter, *refusal);
    return PrepaidVerdict::kShort;
  }
  if (place == list.begin()) {
    const PrepaidVerdict out =
        ledger_.Hold(now, customer, waiter->worst_case());
    if (out == PrepaidVerdict::kHeld) scarce_.OnHeld(now, *waiter);
    if (out != PrepaidVerdict::kShort) return out;
  } else if (const auto verdict = RefusalByBudget(now, *waiter)) {
    return *verdict;
  }
  if (NothingCanArrive(now, *waiter, list)) {
    RefuseAtOnce(now, waiter);
    return PrepaidVerdict::kShort;
  }
  list.insert(place, {.waiter = waiter, .since = now});
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

// Whether the request would wait in vain. A waiting request keeps asking the
// peers, so the first of a list always waits.
bool HoldQueue::NothingCanArrive(Instant now, const HoldWaiter& waiter,
                                 const WaitingList& list) const {
  if (list.empty() || !on_.store_reachable || on_.store_reachable()) {
    return false;
  }
  const auto it = declined_.find(waiter.customer());
  if (it == declined_.end()) return false;
  const Tokens amount = waiter.worst_case();
  return now - it->second.at < kTimeouts.declined_for &&
         amount >= it->second.amount &&
         ledger_.MostWithoutOthers(waiter.customer()) < amount;
}

void HoldQueue::NoteDeclined(Instant now, const Waiting& it,
                             bool store_reachable) {
  const CustomerName& customer = it.waiter->customer();
  const auto transfer = transferred_at_.find(customer);
  const bool received =
      transfer != transferred_at_.end() && transfer->second >= it.since;
  const bool asked_in_vain = it.times_asked == 2 && !received &&
                             now - it.asked_at >= kTimeouts.peers_answer_within;
  if (store_reachable || it.store_answered || !asked_in_vain) return;
  declined_[customer] = {now, it.waiter->worst_case()};
}

void HoldQueue::OnTransfer(Instant now, const CustomerName& customer) {
  transferred_at_[customer] = now;
  declined_.erase(customer);
}

void HoldQueue::RefuseAtOnce(Instant now, const HoldWaiterPtr& waiter) {
  ++refused_at_once_;
  on_.answer(waiter, PrepaidVerdict::kShort);
  if (!refusal_lines_.Allow(now)) return;
  const CustomerName& customer = waiter->customer();
  LogEvent(Event::kHoldRefusedAtOnce,
           {{"request", waiter->id().value},
            {"customer", customer.value},
            {"needed", std::to_string(waiter->worst_case())},
            {"reason", "nothing_can_arrive"},
            {"reachable", std::to_string(ledger_.MostWithoutOthers(customer))},
            {"declined_ms", MillisecondsText(now - declined_[customer].at)},
            {"omitted", std::to_string(refusal_lines_.TakeOmitted())}});
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
    const auto verdict = RefusalByBudget(now, *it.waiter);
    if (verdict) on_.answer(it.waiter, *verdict);
    if (!verdict) fits = amount;
    return verdict.has_value();
  });
  if (n > 0) UpdateLedger(customer, list);
}

// The verdict if the budget can never hold the request. This holds nothing:
// `Hold` is called only with an amount beyond the allowance, which the ledger
// refuses.
std::optional<PrepaidVerdict> HoldQueue::RefusalByBudget(
    Instant now, const HoldWaiter& waiter) {
  const CustomerName& customer = waiter.customer();
  const Tokens amount = waiter.worst_case();
  if (ledger_.Allowance(now, customer) >= amount) return std::nullopt;
  const PrepaidVerdict out = ledger_.Hold(now, customer, amount);
  if (out == PrepaidVerdict::kShort) return std::nullopt;
  return out;
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
    NoteDeclined(now, *it, store_reachable);
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
  oldest.store_answered = oldest.store_answered || store_reachable;
  const Duration waited = now - oldest.since;
  const bool half = oldest.times_asked == 0 &&
                    (waited >= kTimeouts.ask_half_after || !store_reachable);
  const bool all = oldest.times_asked == 1 && waited >= kTimeouts.ask_all_after;
  if (!half && !all) return;
  ++oldest.times_asked;
  oldest.asked_at = now;
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
