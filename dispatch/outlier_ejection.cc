#include "dispatch/outlier_ejection.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace quaytrack {
namespace {

// None of these figures has been measured; all are from the first version.

// Weight of the newest outcome in the failure share. 0.2: about the last five
// outcomes count.
constexpr double kOutcomeWeight = 0.2;
// Seconds after which a failure share counts half.
constexpr double kFailureHalfLife = 3.0;
// Failures in a row that eject a target.
constexpr int kFailuresToEject = 3;
// The first ejection; each further failure doubles the time up to
// 2^kMaxDoublings, which is 4 s.
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr int kMaxDoublings = 3;

}  // namespace

double OutlierEjection::FailureShare(Instant now) const {
  const double age = ToSeconds(now - recorded_at_);
  return failure_share_ * std::exp2(-age / kFailureHalfLife);
}

void OutlierEjection::Record(Instant now, bool failed) {
  const double before = FailureShare(now);
  failure_share_ = before + ((failed ? 1.0 : 0.0) - before) * kOutcomeWeight;
  recorded_at_ = now;
  if (!failed) {
    failures_in_a_row_ = 0;
    ejected_until_ = {};
    return;
  }
  ++failures_in_a_row_;
  const int doublings = failures_in_a_row_ - kFailuresToEject;
  if (doublings < 0) return;
  ejected_until_ =
      now + kFirstEjection * (1 << std::min(doublings, kMaxDoublings));
}

}  // namespace quaytrack
