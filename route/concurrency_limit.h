// How many requests one router keeps at one target at once.
//
// Additive increase, multiplicative decrease (Chiu and Jain, 1989), driven by
// what the target says about itself: a refusal for lack of room cuts the limit,
// an answer given while the limit was reached raises it. A target that comes
// back after a failure starts low and climbs (slow start).

#ifndef QUAYTRACK_ROUTE_CONCURRENCY_LIMIT_H_
#define QUAYTRACK_ROUTE_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <cmath>

namespace quaytrack {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots)
      : most_(std::max(1, slots)), value_(most_) {}

  int limit() const { return std::max(1, static_cast<int>(value_)); }

  void OnSuccess(int in_flight) {
    const bool at_limit = in_flight >= limit();
    if (at_limit) value_ = std::min<double>(most_, value_ + 1.0 / value_ + 0.1);
  }
  void OnOverload() { value_ = std::max(1.0, value_ * kDecrease); }
  void RestartSlowly() { value_ = std::max(1.0, most_ / kSlowStartDivisor); }
  void SetSlots(int slots) {
    most_ = std::max(1, slots);
    value_ = std::min<double>(value_, most_);
  }

 private:
  static constexpr double kDecrease = 0.7;
  static constexpr double kSlowStartDivisor = 8;

  int most_;
  double value_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_CONCURRENCY_LIMIT_H_
