#include "prepaid/hold_advance.h"

#include <algorithm>
#include <cmath>

namespace quaytrack {

Tokens AdvanceToGive(const AdvancePolicy& policy, Tokens asked,
                     Tokens allowance, Tokens given) {
  if (asked <= 0 || allowance <= 0) return 0;
  const double total =
      policy.max_total_share * static_cast<double>(allowance + given);
  const double most =
      std::min(policy.max_share * static_cast<double>(allowance),
               total - static_cast<double>(given));
  const double out = std::floor(std::min(static_cast<double>(asked), most));
  if (out < policy.min_given * static_cast<double>(asked)) return 0;
  return std::max<Tokens>(0, std::llround(out));
}

// --- Demand ------------------------------------------------------------------

HoldAdvances::Demand& HoldAdvances::DemandOf(const CustomerName& customer) {
  return demand_.try_emplace(customer, policy_.rate_time).first->second;
}

void HoldAdvances::Count(Instant now, const CustomerName& customer,
                         Tokens amount) {
  Demand& it = DemandOf(customer);
  it.tokens.Add(now, static_cast<double>(amount));
  it.requests.Add(now, 1);
}

// Asks early: once less than half of an advance is free, so that the next one
// arrives before requests have to ask for themselves.
Tokens HoldAdvances::AmountToAsk(Instant now,
                                 const CustomerName& customer) const {
  const auto found = demand_.find(customer);
  if (found == demand_.end()) return 0;
  const Demand& it = found->second;
  if (it.asked || now < it.not_before) return 0;
  const double requests = it.requests.PerSecond(now) * ToSeconds(policy_.cover);
  if (requests < policy_.min_requests) return 0;
  const Tokens amount =
      std::llround(it.tokens.PerSecond(now) * ToSeconds(policy_.cover));
  Tokens free = 0;
  for (const Advance& advance : advances_) {
    if (advance.customer == customer && IsUsable(now, advance)) {
      free += advance.Free();
    }
  }
  return free < amount / 2 ? amount : 0;
}

void HoldAdvances::OnAsked(const CustomerName& customer) {
  DemandOf(customer).asked = true;
}

void HoldAdvances::OnRefused(Instant now, const CustomerName& customer) {
  Demand& it = DemandOf(customer);
  it.asked = false;
  it.not_before = now + policy_.retry_after;
}

void HoldAdvances::OnGiven(Instant now, const RequestId& id,
                           const Incarnation& holder,
                           const CustomerName& customer, Tokens amount,
                           Instant asked_at) {
  Demand& demand = DemandOf(customer);
  demand.asked = false;
  // Too small for an average request: the holder has little left.
  const bool useless =
      demand.tokens.PerSecond(now) >
      demand.requests.PerSecond(now) * static_cast<double>(amount);
  if (useless) demand.not_before = now + policy_.retry_after;
  advances_.push_back({.id = id,
                       .holder = holder,
                       .customer = customer,
                       .amount = amount,
                       .asked_at = asked_at,
                       .last_draw = now,
                       .closed = useless});
}

// --- Draws -------------------------------------------------------------------

bool HoldAdvances::HasExpired(Instant now, const Advance& it) const {
  return now - it.asked_at >= policy_.lifetime ||
         now - it.last_draw >= policy_.unused_after;
}

bool HoldAdvances::IsUsable(Instant now, const Advance& it) const {
  return !it.closed && !HasExpired(now, it);
}

bool HoldAdvances::Draw(
    Instant now, const RequestId& request, const CustomerName& customer,
    Tokens amount, const std::function<bool(const Incarnation&)>& is_linked) {
  // Callers choose the ids of requests, so an id may be in use.
  if (draws_.contains(request)) return false;
  Advances::iterator too_small = advances_.end();
  for (auto it = advances_.begin(); it != advances_.end(); ++it) {
    if (it->customer != customer || !IsUsable(now, *it)) continue;
    if (!is_linked(it->holder)) continue;
    if (it->Free() < amount) {
      too_small = it;
      continue;
    }
    if (too_small != advances_.end()) too_small->closed = true;
    it->in_use += amount;
    ++it->draws;
    it->last_draw = now;
    draws_[request] = {it, amount};
    ++drawn_;
    return true;
  }
  return false;
}

void HoldAdvances::Settle(const RequestId& request, Tokens cost) {
  const auto it = draws_.find(request);
  if (it == draws_.end()) return;
  Advance& advance = *it->second.advance;
  advance.in_use -= it->second.amount;
  --advance.draws;
  advance.spent += cost;
  draws_.erase(it);
}

// --- The end of an advance ---------------------------------------------------

void HoldAdvances::CloseIf(const std::function<bool(const Advance&)>& matches) {
  for (Advance& it : advances_) it.closed = it.closed || matches(it);
}

void HoldAdvances::Close(const RequestId& id, const Incarnation& holder) {
  CloseIf(
      [&](const Advance& it) { return it.id == id && it.holder == holder; });
}

void HoldAdvances::CloseAt(const Incarnation& holder) {
  CloseIf([&](const Advance& it) { return it.holder == holder; });
}

void HoldAdvances::CloseFor(const CustomerName& customer) {
  CloseIf([&](const Advance& it) { return it.customer == customer; });
}

void HoldAdvances::CloseAll() {
  CloseIf([](const Advance&) { return true; });
}

std::vector<HoldAdvances::Finished> HoldAdvances::TakeFinished(Instant now) {
  std::vector<Finished> out;
  for (auto it = advances_.begin(); it != advances_.end();) {
    const auto at = it++;
    at->closed = at->closed || HasExpired(now, *at);
    if (!at->closed || at->draws > 0) continue;
    out.push_back({at->id, at->holder, at->customer, at->amount, at->spent});
    advances_.erase(at);
  }
  return out;
}

}  // namespace quaytrack
