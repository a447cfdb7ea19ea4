// Limits how many requests one router has at one target at once.
//
// Additive increase, multiplicative decrease (Chiu and Jain, 1989), driven by
// the target's answers: a refusal because of overload lowers the limit, an
// answer while the limit was reached raises it. A target that recovers from a
// failure starts with a low limit that rises (slow start).

#ifndef QUAYTRACK_ROUTE_CONCURRENCY_LIMIT_H_
#define QUAYTRACK_ROUTE_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <cmath>

namespace quaytrack {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots)
      : slots_(std::max(1, slots)), value_(slots_) {}

  int limit() const { return std::max(1, static_cast<int>(value_)); }

  void OnSuccess(int in_flight) {
    const bool at_limit = in_flight >= limit();
    if (at_limit)
      value_ = std::min<double>(slots_, value_ + 1.0 / value_ + 0.1);
  }
  void OnOverload() { value_ = std::max(1.0, value_ * kDecrease); }
  void EnterSlowStart() { value_ = std::max(1.0, slots_ / kSlowStartDivisor); }
  void SetSlots(int slots) {
    slots_ = std::max(1, slots);
    value_ = std::min<double>(value_, slots_);
  }

 private:
  static constexpr double kDecrease = 0.7;
  static constexpr double kSlowStartDivisor = 8;

  int slots_;
  double value_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_CONCURRENCY_LIMIT_H_
