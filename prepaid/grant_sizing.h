// GrantSizing: how large this router's grant of each budget should be, and how
// much of it the router may spend soon. The rules stand here, their constants
// in prepaid/prepaid_policy.h.
//
//   const GrantSizing sizing(self, policy);
//   if (sizing.GrantIsDue(now, since_write, view, customer, account)) ...
//   entry.grants[self] += sizing.GrantChange(now, view, customer, account);
//   spent.withheld = sizing.ToWithhold(now, view, customer, account);
//
// Target. Inputs: what remains of the budget, the number of routers in the
// record, and this router's own rate of spending. The larger of
//   - an equal part of `baseline_share` of what remains, and
//   - the spending of `headroom`, up to `most_headroom_share` of what remains.
// Both fall in proportion where what remains lasts for less than `plentiful` at
// the rate at which the record shows it settled.
// An outage comes unannounced, so each router keeps at all times what it is
// likely to need in one.
//
// Grant. A write is due when what is idle of it is less than `kLowWater` or
// more than `kHighWater` of the target. A write, for whatever reason, raises
// each grant that isn't nearly full (`kTopUp`) to its target and what waits, as
// far as the record has tokens that nobody was granted, and returns what is
// above `kHighWater`.
//
// Withheld part. All that is idle beyond what waits and `spendable_share` of
// the target. A successor gets it back if this process dies (see
// prepaid/prepaid_record.h), so the smaller the rest is, the less is charged;
// when what may be spent falls under `kLowWater` of that share, a report
// withholds less.
//
// Stateless. Relies on the views of prepaid/store_view.h. Units: tokens, and
// parts of 1.

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

  // Whether the grant itself is too small or too large, `since_write` after the
  // last write.
  bool GrantIsDue(Instant now, Duration since_write, const StoreView& view,
                  const CustomerName& customer,
                  const OwnAccount& account) const;
  // Whether the withheld part leaves too little of a grant that is large
  // enough: `spendable` is what may be spent now. Only a report is needed.
  bool ReleaseIsDue(Instant now, Duration since_write, const StoreView& view,
                    const CustomerName& customer, const OwnAccount& account,
                    Tokens spendable) const;

  // By how much the grant of the view's entry is to change. What is held stays
  // granted.
  Tokens GrantChange(Instant now, const StoreView& view,
                     const CustomerName& customer,
                     const OwnAccount& account) const;
  Tokens ToWithhold(Instant now, const StoreView& view,
                    const CustomerName& customer,
                    const OwnAccount& account) const;

 private:
  Tokens Target(Instant now, const PrepaidRecord& record,
                const PrepaidEntry& entry, const OwnAccount& account) const;
  // The part of a full target that is kept, by how long the rest lasts.
  double PartKept(Instant now, double remaining,
                  const OwnAccount& account) const;
  Tokens Grantable(const PrepaidEntry& entry) const;

  Incarnation self_;
  PrepaidPolicy policy_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_GRANT_SIZING_H_
