// How large a router's grant of one budget should be.
//
// A large grant lets a router serve through a long outage of the key-value
// service; a small one leaves more for other routers. The bundle
// (bundle/bundle.h) gives the policy of each budget:
//
//   cover              seconds that a grant should last at measured demand;
//   standing_divisor   every router keeps at least remaining/divisor, even
//                      without demand, so that it can serve during an outage;
//                      0 disables this. All routers together keep at most half
//                      of what remains this way.
//
// `PlanGrant` is a pure function of the router's view of a budget. It is called
// for each budget while a ledger write is built. Amounts are prepaid tokens.
// Rules, in order:
//   1. The need of running and waiting requests is taken first, if it is free.
//   2. If other routers want more, or the limit is below what is settled and
//      granted, idle amounts are given back and nothing extra is taken.
//   3. Otherwise the grant moves towards the desired size, taking at most a
//      quarter of what is free, and only when it is under half or over twice
//      that size, so that a steady load causes no writes.

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

// A router's view of one budget.
struct GrantView {
  // This router's grant, less the bills in the write that is being built.
  Tokens granted = 0;
  // Amounts held by running requests, plus costs that aren't in the batch being
  // written.
  Tokens in_use = 0;
  // Sum of the first waiting holds, in arrival order, that would fit.
  Tokens waiting = 0;
  // Measured spending in tokens per second.
  double rate = 0;
  // Limit minus settled minus all grants.
  Tokens free = 0;
  // Limit minus settled.
  Tokens remaining = 0;
  // Routers that share the budget.
  int routers = 1;
  // Whether another router wanted more within the last
  // LedgerSyncOptions::scarcity_backoff (ledger/sync.h).
  bool recently_scarce = false;
  // Sum of the other routers' `wanted` marks (ledger/record.h).
  Tokens wanted_by_others = 0;
};

struct GrantPlan {
  // Change of this router's grant; a negative one gives back.
  Tokens delta = 0;
  // The need that couldn't be covered; the record gets it as this router's
  // `wanted` mark.
  Tokens short_by = 0;
};

// Returns the size that the grant should be near when the budget isn't scarce.
Tokens DesiredGrant(const GrantView& view, const BudgetPolicy& policy);

GrantPlan PlanGrant(const GrantView& view, const BudgetPolicy& policy);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_GRANT_POLICY_H_
