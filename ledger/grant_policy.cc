#include "ledger/grant_policy.h"

#include <algorithm>

namespace quaytrack {
namespace {

// At most 1/kExtraDivisor of the free amount is taken beyond the present need,
// so that the first router to ask doesn't empty the budget.
constexpr Tokens kExtraDivisor = 4;

// Returns what this router keeps even without demand. All routers together keep
// at most half of what remains: with an eighth each, 32 routers left nothing
// free and kept reclaiming each other's grants.
Tokens StandingShare(const GrantView& view, const BudgetPolicy& policy) {
  if (policy.standing_divisor <= 0 || view.remaining <= 0) return 0;
  const int divisor = std::max(policy.standing_divisor, 2 * view.routers);
  return view.remaining / divisor;
}

// Rule 2 of ledger/grant_policy.h: returns the amount to give back when other
// routers want more.
Tokens IdleToReturn(const GrantView& view) {
  const Tokens idle = view.granted - view.in_use - view.waiting;
  const Tokens missing = view.wanted_by_others - view.free;
  return std::clamp<Tokens>(missing, 0, std::max<Tokens>(idle, 0));
}

// Rule 3 of ledger/grant_policy.h: returns the change towards the desired size,
// which is 0 while the grant is near that size.
Tokens MoveToDesiredGrant(const GrantView& view, const BudgetPolicy& policy,
                          Tokens free) {
  const Tokens desired = DesiredGrant(view, policy);
  const Tokens idle = view.granted - view.in_use - view.waiting;
  if (view.granted > 2 * desired && idle > 0) {
    return -std::min(idle, view.granted - desired);
  }
  if (view.granted >= desired / 2 || free <= 0) return 0;
  if (view.recently_scarce) return 0;
  return std::min(desired - view.granted, free / kExtraDivisor);
}

}  // namespace

Tokens DesiredGrant(const GrantView& view, const BudgetPolicy& policy) {
  const auto demand = static_cast<Tokens>(
      view.rate * static_cast<double>(policy.cover.count()));
  return view.in_use + view.waiting +
         std::max(demand, StandingShare(view, policy));
}

GrantPlan PlanGrant(const GrantView& view, const BudgetPolicy& policy) {
  GrantPlan out;
  const Tokens need =
      std::max<Tokens>(0, view.in_use + view.waiting - view.granted);
  if (need > std::max<Tokens>(view.free, 0)) {
    out.short_by = need;
    return out;
  }
  const bool scarce = view.wanted_by_others > 0 || view.free < 0;
  if (scarce) {
    out.delta = need > 0 ? need : -IdleToReturn(view);
    return out;
  }
  GrantView after = view;
  after.granted += need;
  out.delta = need + MoveToDesiredGrant(after, policy, view.free - need);
  return out;
}

}  // namespace quaytrack
