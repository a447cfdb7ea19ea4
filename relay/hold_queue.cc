#include "relay/hold_queue.h"

#include <numeric>
#include <string>

#include "base/log.h"

namespace quaytrack {

PrepaidVerdict HoldQueue::HoldOrWait(Instant now, const HoldWaiterPtr& waiter) {
  const CustomerName& customer = waiter->customer();
  WaitingList& list = waiting_[customer];
  if (list.empty()) {
    const PrepaidVerdict out =
        ledger_.Hold(now, customer, waiter->worst_case());
    if (out != PrepaidVerdict::kShort) return out;
  } else if (CanNeverBeHeld(now, *waiter)) {
    return PrepaidVerdict::kExhausted;
  }
  list.push_back({waiter, now, 0});
  TellLedger(customer, list);
  return PrepaidVerdict::kShort;
}

void HoldQueue::Remove(const HoldWaiterPtr& waiter) {
  WaitingList& list = waiting_[waiter->customer()];
  std::erase_if(list, [&](const Waiting& it) { return it.waiter == waiter; });
  TellLedger(waiter->customer(), list);
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
    const PrepaidVerdict verdict =
        ledger_.Hold(now, customer, waiter->worst_case());
    if (verdict == PrepaidVerdict::kShort) break;
    list.pop_front();
    TellLedger(customer, list);
    on_.answer(waiter, verdict);
  }
  RefuseExhausted(now, customer, list);
}

// A budget that can hold an amount can hold every smaller one, so the ledger is
// asked only about amounts larger than all before them: for n that wait, in any
// order, about ln n times.
void HoldQueue::RefuseExhausted(Instant now, const CustomerName& customer,
                                WaitingList& list) {
  Tokens fits = 0;
  const auto n = std::erase_if(list, [&](const Waiting& it) {
    const Tokens amount = it.waiter->worst_case();
    if (amount <= fits) return false;
    const bool never = CanNeverBeHeld(now, *it.waiter);
    if (never) on_.answer(it.waiter, PrepaidVerdict::kExhausted);
    if (!never) fits = amount;
    return never;
  });
  if (n > 0) TellLedger(customer, list);
}

// Asks without holding: the ledger holds nothing beyond its allowance.
bool HoldQueue::CanNeverBeHeld(Instant now, const HoldWaiter& waiter) {
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
  while (!list.empty() && IsOver(now, list.front())) {
    const HoldWaiterPtr waiter = list.front().waiter;
    list.pop_front();
    TellLedger(customer, list);
    LogRefused(now, *waiter, store_reachable);
    on_.answer(waiter, PrepaidVerdict::kShort);
    // What was too small for this one may hold those behind it.
    ServeList(now, customer, list);
  }
}

// A router that was replaced or has left gets no tokens from anybody.
bool HoldQueue::IsOver(Instant now, const Waiting& it) const {
  const bool in_vain = ledger_.Fenced() || ledger_.HasLeft();
  return in_vain || now - it.since >= kPatience.give_up_after;
}

// Peers are asked for all that wait, when the first of them has waited long
// enough.
void HoldQueue::AskPeersIfDue(Instant now, const CustomerName& customer,
                              WaitingList& list, bool store_reachable) {
  Waiting& first = list.front();
  const Duration waited = now - first.since;
  const bool some = first.asks == 0 &&
                    (waited >= kPatience.ask_some_after || !store_reachable);
  const bool all = first.asks == 1 && waited >= kPatience.ask_all_after;
  if (!some && !all) return;
  ++first.asks;
  on_.ask_peers(customer, SumOf(list), all);
}

Tokens HoldQueue::SumOf(const WaitingList& list) {
  return std::accumulate(
      list.begin(), list.end(), Tokens{0},
      [](Tokens n, const Waiting& it) { return n + it.waiter->worst_case(); });
}

void HoldQueue::TellLedger(const CustomerName& customer,
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
