// OutlierEjection: whether one target fails so often that it is set aside.
//
//   OutlierEjection health;
//   health.Record(now, failed);            // each outcome that says something
//   if (health.IsEjected(now)) ...         // take another, if there is one
//   cost += health.FailureShare(now) * failure_ms;
//
// Two measures, as one alone is too slow or too hasty. The failure share makes
// a target that fails now and then more expensive; it decays, so that a target
// which gets no requests is tried again. A row of failures ejects the target
// for a while (outlier ejection, as in Envoy); each further failure doubles the
// time, and one success ends it.
//
// Every router judges by its own requests alone. An ejected target is not
// forbidden: `Placement` chooses one when all others are ejected as well.
//
// It owns nothing but its figures and relies on the time passed in, which never
// goes back. It can't fail.

#ifndef QUAYTRACK_DISPATCH_OUTLIER_EJECTION_H_
#define QUAYTRACK_DISPATCH_OUTLIER_EJECTION_H_

#include "base/clock.h"

namespace quaytrack {

class OutlierEjection {
 public:
  // Takes the outcome of one request.
  void Record(Instant now, bool failed);

  // Part of the recent requests that failed, from 0 to 1, decayed to `now`.
  double FailureShare(Instant now) const;
  bool IsEjected(Instant now) const { return now < ejected_until_; }

 private:
  // As of `recorded_at_`.
  double failure_share_ = 0;
  Instant recorded_at_{};
  int failures_in_a_row_ = 0;
  Instant ejected_until_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_OUTLIER_EJECTION_H_
