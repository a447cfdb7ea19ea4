#include "relay/scarce_budgets.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

constexpr Duration kLogWindow = std::chrono::seconds(1);
// Lines about refusals in each `kLogWindow`, for each customer. A scarce budget
// may refuse hundreds of requests a second.
constexpr int kMaxRefusalLines = 5;
// A refused request doesn't wait, so it asks no peers for their unused grant as
// a waiting one does; one request in this time does so for all of them.
constexpr Duration kAskPeersEvery = std::chrono::seconds(1);
// A budget has eased when its reach exceeds the demand over the horizon by this
// factor, so that one at the limit doesn't change with every request.
constexpr double kEased = 1.2;

// A number in [0, 1) that differs between requests.
double DrawFor(const RequestId& id) {
  constexpr std::size_t kSteps = 1024;
  return static_cast<double>(std::hash<RequestId>()(id) % kSteps) / kSteps;
}

bool IsOver(Instant now, const std::optional<Instant>& since, Duration time) {
  return !since || now - *since >= time;
}

}  // namespace

ScarceBudgets::ScarceBudgets(const PrepaidLedger& ledger, Duration horizon,
                             std::function<bool()> store_answers)
    : ledger_(ledger),
      store_answers_(std::move(store_answers)),
      scarcity_(horizon) {}

std::optional<BudgetReach> ScarceBudgets::ReachOf(
    Instant now, const CustomerName& customer) const {
  const bool store_answers = !store_answers_ || store_answers_();
  return ledger_.Reach(now, customer, store_answers);
}

std::optional<ReserveRefusal> ScarceBudgets::OnRequest(Instant now,
                                                       const HoldWaiter& waiter,
                                                       Tokens waiting) {
  if (!enabled()) return std::nullopt;
  const BudgetRequest request{waiter.customer(), waiter.urgency(),
                              waiter.worst_case()};
  scarcity_.OnRequested(now, request);
  auto reach = ReachOf(now, request.customer);
  if (!reach) return std::nullopt;
  LogChange(now, request.customer, *reach);
  reach->tokens -= waiting;
  auto out = scarcity_.Check(now, request, *reach, DrawFor(waiter.id()));
  if (out) LogRefusal(now, waiter, *out);
  return out;
}

void ScarceBudgets::OnHeld(Instant now, const HoldWaiter& waiter) {
  if (!enabled()) return;
  scarcity_.OnHeld(now,
                   {waiter.customer(), waiter.urgency(), waiter.worst_case()});
}

bool ScarceBudgets::TakeAsk(Instant now, const CustomerName& customer) {
  State& state = states_[customer];
  if (!IsOver(now, state.asked_at, kAskPeersEvery)) return false;
  state.asked_at = now;
  return true;
}

bool ScarceBudgets::IsScarce(Instant now, const CustomerName& customer) const {
  if (!enabled()) return false;
  const auto reach = ReachOf(now, customer);
  return reach && scarcity_.IsScarce(now, customer, reach->tokens);
}

std::size_t ScarceBudgets::CountScarce(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(),
                    [&](const auto& it) { return IsScarce(now, it.first); }));
}

// --- Events ------------------------------------------------------------------

void ScarceBudgets::LogChange(Instant now, const CustomerName& customer,
                              const BudgetReach& reach) {
  State& state = states_[customer];
  if (!IsOver(now, state.changed_at, kLogWindow)) return;
  const auto needed =
      static_cast<Tokens>(static_cast<double>(reach.tokens) / kEased);
  const bool scarce = state.scarce
                          ? scarcity_.IsScarce(now, customer, needed)
                          : scarcity_.IsScarce(now, customer, reach.tokens);
  if (scarce == state.scarce) return;
  state.scarce = scarce;
  state.changed_at = now;
  const double demand = scarcity_.DemandPerSecond(now, customer);
  LogEvent(scarce ? Event::kBudgetScarce : Event::kBudgetEased,
           {{"customer", customer.value},
            {"reach", std::to_string(reach.tokens)},
            {"demand_per_s", std::to_string(std::llround(demand))},
            {"horizon_ms", MillisecondsText(scarcity_.horizon())},
            {"store", !store_answers_ || store_answers_() ? "up" : "away"}});
}

void ScarceBudgets::LogRefusal(Instant now, const HoldWaiter& waiter,
                               const ReserveRefusal& refusal) {
  State& state = states_[waiter.customer()];
  if (now - state.refusals_since >= kLogWindow) {
    state.refusals_since = now;
    state.refusals_logged = 0;
  }
  if (state.refusals_logged >= kMaxRefusalLines) {
    ++state.skipped;
    return;
  }
  ++state.refusals_logged;
  LogEvent(Event::kBudgetReserved,
           {{"request", waiter.id().value},
            {"customer", waiter.customer().value},
            {"urgency", std::to_string(waiter.urgency())},
            {"needed", std::to_string(waiter.worst_case())},
            {"reach", std::to_string(refusal.reach)},
            {"reserved", std::to_string(refusal.reserved)},
            {"by", refusal.by_parity ? "parity" : "reserve"},
            {"demand_per_s", std::to_string(refusal.demand_per_s)},
            {"retry_ms", MillisecondsText(refusal.retry_after)},
            {"skipped", std::to_string(std::exchange(state.skipped, 0))}});
}

}  // namespace quaytrack
