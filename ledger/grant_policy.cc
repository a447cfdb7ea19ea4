#include "ledger/grant_policy.h"

#include <algorithm>

namespace quaytrack {
namespace {

// At most this part of what is free is taken beyond the present need, so that
// the first router to ask doesn't empty the budget. Not measured.
constexpr Tokens kExtraDivisor = 4;

// All routers together keep at most half of what remains: with an eighth each,
// 32 routers left nothing free and called grants to and fro (commit b73ce75).
Tokens Standing(const GrantView& view, const BudgetPolicy& policy) {
  if (policy.standing_divisor <= 0 || view.remaining <= 0) return 0;
  const int divisor = std::max(policy.standing_divisor, 2 * view.routers);
  return view.remaining / divisor;
}

// Rule 2: what goes back when others are in need.
Tokens IdleToReturn(const GrantView& view) {
  const Tokens idle = view.granted - view.in_use - view.waiting;
  const Tokens missing = view.wanted_by_others - view.free;
  return std::clamp<Tokens>(missing, 0, std::max<Tokens>(idle, 0));
}

// Rule 3: the move towards the target, with a dead band around it.
Tokens MoveToTarget(const GrantView& view, const BudgetPolicy& policy,
                    Tokens free) {
  const Tokens target = TargetGrant(view, policy);
  const Tokens idle = view.granted - view.in_use - view.waiting;
  if (view.granted > 2 * target && idle > 0) {
    return -std::min(idle, view.granted - target);
  }
  if (view.granted >= target / 2 || free <= 0) return 0;
  if (view.scarce_lately) return 0;
  return std::min(target - view.granted, free / kExtraDivisor);
}

}  // namespace

Tokens TargetGrant(const GrantView& view, const BudgetPolicy& policy) {
  const auto demand = static_cast<Tokens>(
      view.rate * static_cast<double>(policy.cover.count()));
  return view.in_use + view.waiting + std::max(demand, Standing(view, policy));
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
  out.delta = need + MoveToTarget(after, policy, view.free - need);
  return out;
}

}  // namespace quaytrack
