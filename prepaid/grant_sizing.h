// GrantSizing: decides how large this router's grant of each budget should be,
// and how much of it the router may spend before `withhold_time` has passed.
// The constants are in prepaid/prepaid_policy.h.
//
//   const GrantSizing sizing(self, policy);
//   if (sizing.GrantIsDue(now, since_write, view, customer, account)) ...
//   entry.grants[self] += sizing.GrantChange(now, view, customer, account);
//   spent.withheld = sizing.ToWithhold(now, view, customer, account);
//
// Target size. It depends on the budget's remaining tokens, the number of
// routers in the record, and this router's rate of spending. It is the larger
// of
//   - an equal share of what all routers spend in `baseline_time`, but of at
//     most `baseline_share` of the remaining tokens,
//   - the spending of `headroom`, up to `max_headroom_share` of the remaining
//     tokens.
// Both fall in proportion if the remaining tokens last for less than
// `full_size_horizon` at the rate at which the record shows them settled, and
// with what was charged for dead routers without proof.
// A store outage comes without warning, so each router always keeps what it is
// likely to need during one.
//
// Grant. A write is due when the idle tokens of a grant (neither spent, held
// nor transferred away) are less than `kLowWater` or more than `kHighWater` of
// the target size. Every write of the record raises each grant that isn't
// nearly full (`kTopUp`) to its target size plus the waiting requests, as far
// as the record has ungranted tokens, and returns the excess of each grant that
// is above `kHighWater`.
//
// Withheld tokens. These are all idle tokens beyond the waiting requests and
// `spendable_share` of the target size. A successor gets the withheld tokens
// back if this process dies (see prepaid/prepaid_record.h), so withholding more
// reduces what is charged. When the spendable tokens fall below `kLowWater` of
// that share, a report withholds less.
//
// Stateless. Relies on the views of prepaid/store_view.h. Units: tokens, and
// fractions of 1.

#ifndef QUAYTRACK_PREPAID_GRANT_SIZING_H_
#define QUAYTRACK_PREPAID_GRANT_SIZING_H_

#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/prepaid_policy.h"
#include "prepaid/prepaid_record.h"
#include "prepaid/store_view.h"

namespace quaytrack {

class GrantSizing {
 public:
  GrantSizing(Incarnation self, const PrepaidPolicy& policy)
      : self_(std::move(self)), policy_(policy) {}

  // Whether the grant is so small or large that a write is due, `since_write`
  // after the last write.
  bool GrantIsDue(Instant now, Duration since_write, const StoreView& view,
                  const CustomerName& customer,
                  const LocalAccount& account) const;
  // Whether too much of a large enough grant is withheld, so that a report is
  // due, `since_write` after the last write. `spendable` is what may be spent
  // now.
  bool ReleaseIsDue(Instant now, Duration since_write, const StoreView& view,
                    const CustomerName& customer, const LocalAccount& account,
                    Tokens spendable) const;

  // By how much this router's grant is to change. Held tokens stay granted.
  Tokens GrantChange(Instant now, const StoreView& view,
                     const CustomerName& customer,
                     const LocalAccount& account) const;
  // How many of this router's tokens a write is to withhold.
  Tokens ToWithhold(Instant now, const StoreView& view,
                    const CustomerName& customer,
                    const LocalAccount& account) const;

 private:
  // The target size of this router's grant.
  Tokens Target(Instant now, const PrepaidRecord& record,
                const PrepaidEntry& entry, const LocalAccount& account) const;
  // The fraction of the full target size that applies, given what was charged
  // without proof before.
  double RiskFactor(const PrepaidEntry& entry) const;
  // The fraction that applies, given how long the remaining tokens last.
  double ScarcityFactor(Instant now, double remaining,
                        const LocalAccount& account) const;
  // What this router keeps even if it spends nothing itself. `remaining` tokens
  // are shared by `members` routers.
  double Baseline(Instant now, double remaining, double members,
                  const PrepaidEntry& entry, const LocalAccount& account) const;
  Tokens Grantable(const PrepaidEntry& entry) const;

  Incarnation self_;
  PrepaidPolicy policy_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_GRANT_SIZING_H_
