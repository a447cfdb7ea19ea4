// FadedSum: a sum in which what was added counts half after a while.
//
//   FadedSum sum(10);                 // seconds
//   sum.Add(now, 3.5);
//   const double value = sum.At(now);
//
// It owns two numbers and relies on the time passed in; time that goes back
// counts as none. The value is never more than the plain sum.

#ifndef QUAYTRACK_DISPATCH_FADED_SUM_H_
#define QUAYTRACK_DISPATCH_FADED_SUM_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace quaytrack {

class FadedSum {
 public:
  // In seconds.
  explicit FadedSum(double half_life) : half_life_(half_life) {}

  void Add(Instant now, double value) {
    value_ = At(now) + value;
    at_ = std::max(at_, now);
  }

  double At(Instant now) const {
    const double age = std::max(0.0, ToSeconds(now - at_));
    return value_ * std::exp2(-age / half_life_);
  }

 private:
  double half_life_;
  double value_ = 0;
  Instant at_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_FADED_SUM_H_
