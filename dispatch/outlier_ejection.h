// OutlierEjection: whether one target fails so often that it gets no requests
// for a while.
//
//   OutlierEjection health;
//   health.Record(now, failed);            // each outcome but neutral ones
//   if (health.IsEjected(now)) ...         // prefer another target
//   cost += health.FailureShare(now) * failure_ms;
//
// Two measures are combined, since either alone reacts too slowly or too
// quickly. The failure share raises the cost of a target that fails now and
// then. The share decays, so that a target that gets no requests is tried
// again. Consecutive failures eject the target for a while (outlier ejection,
// as in Envoy); each further failure doubles the time, and one success ends the
// ejection.
//
// Each router uses only the outcomes of its own requests. An ejected target is
// not forbidden: `Placement` chooses one when all other candidates are ejected
// as well.
//
// Relies on the time passed in, which never goes back; cannot fail.

#ifndef QUAYTRACK_DISPATCH_OUTLIER_EJECTION_H_
#define QUAYTRACK_DISPATCH_OUTLIER_EJECTION_H_

#include "base/clock.h"

namespace quaytrack {

class OutlierEjection {
 public:
  // Takes the outcome of one request.
  void Record(Instant now, bool failed);

  // Share of the recent requests that failed, 0 to 1, decayed to `now`.
  double FailureShare(Instant now) const;
  bool IsEjected(Instant now) const { return now < ejected_until_; }

 private:
  // The failure share at the time `recorded_at_`.
  double failure_share_ = 0;
  Instant recorded_at_{};
  int consecutive_failures_ = 0;
  Instant ejected_until_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_OUTLIER_EJECTION_H_
