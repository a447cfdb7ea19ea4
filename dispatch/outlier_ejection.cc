#include "dispatch/outlier_ejection.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace quaytrack {
namespace {

// Weight of the newest outcome in the failure share. With 0.2, about the last
// five outcomes count.
constexpr double kOutcomeWeight = 0.2;
// Seconds after which the failure share has halved.
constexpr double kFailureHalfLife = 3.0;
// Consecutive failures that eject a target.
constexpr int kFailuresToEject = 3;
// Duration of the first ejection. Each further failure doubles the duration, at
// most `kMaxDoublings` times, which is 4 s.
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
    consecutive_failures_ = 0;
    ejected_until_ = {};
    return;
  }
  ++consecutive_failures_;
  const int doublings = consecutive_failures_ - kFailuresToEject;
  if (doublings < 0) return;
  ejected_until_ =
      now + kFirstEjection * (1 << std::min(doublings, kMaxDoublings));
}

}  // namespace quaytrack
