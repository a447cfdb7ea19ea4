// How large a router's grant of one budget should be.
//
// A large grant lets a router serve through a long outage of the key-value
// service; a small one leaves more for routers elsewhere. The policy comes from
// the bundle, per budget:
//
//   cover              seconds of measured demand that a grant should last;
//   standing_divisor   every router keeps at least remaining/divisor, even
//                      with no demand, so that an outage finds it with
//                      something to spend; 0 for nothing. All routers together
//                      keep at most half of what remains this way.
//
// `PlanGrant` is a pure function of what the router sees. It is called for each
// budget while a ledger write is being built. Rules, in order:
//   1. What running and waiting requests need comes first, if it is free.
//   2. If others are in need, or the limit was lowered under use, idle amounts
//      go back and nothing extra is taken.
//   3. Otherwise the grant moves towards the target, taking at most a quarter
//      of what is free, and only when it is under half or over twice the
//      target, so that a steady load causes no writes.

#ifndef QUAYTRACK_LEDGER_GRANT_POLICY_H_
#define QUAYTRACK_LEDGER_GRANT_POLICY_H_

#include <chrono>

#include "base/ids.h"

namespace quaytrack {

struct BudgetPolicy {
  std::chrono::seconds cover{60};
  int standing_divisor = 32;

  bool operator==(const BudgetPolicy&) const = default;
};

// What a router sees of one budget while it plans.
struct GrantView {
  // Own grant, after the bills of this write are taken off.
  Tokens granted = 0;
  // Held by running requests, plus costs not yet in a batch being written.
  Tokens in_use = 0;
  // Sum of the waiting holds that would fit, in arrival order.
  Tokens waiting = 0;
  // Measured spending, tokens a second.
  double rate = 0;
  // Limit less settled less all grants.
  Tokens free = 0;
  // Limit less settled.
  Tokens remaining = 0;
  // Routers that share the budget.
  int routers = 1;
  // Another router was in need a short while ago.
  bool scarce_lately = false;
  // Sum of what other routers ask for.
  Tokens wanted_by_others = 0;
};

struct GrantPlan {
  // Change of the own grant: positive takes, negative gives back.
  Tokens delta = 0;
  // Part of `waiting` that could not be covered; to be marked as wanted.
  Tokens short_by = 0;
};

// The amount that the grant should be near when nothing is scarce.
Tokens TargetGrant(const GrantView& view, const BudgetPolicy& policy);

GrantPlan PlanGrant(const GrantView& view, const BudgetPolicy& policy);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_GRANT_POLICY_H_
