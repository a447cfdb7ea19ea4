// RunningMedian: the median of the last values.
//
//   RunningMedian usual;
//   usual.Add(answer_ms);
//   if (usual.value() > 0) ...         // 0 until there are enough values
//
// A median is used where a minority of values may be many times too large.
//
// Owns the last `kMaxValues` values; cannot fail.

#ifndef QUAYTRACK_DISPATCH_RUNNING_MEDIAN_H_
#define QUAYTRACK_DISPATCH_RUNNING_MEDIAN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace quaytrack {

class RunningMedian {
 public:
  void Add(double value) {
    if (values_.size() < kMaxValues) {
      values_.push_back(value);
    } else {
      values_[added_ % kMaxValues] = value;
    }
    ++added_;
    if (values_.size() < kMinValues) return;
    if (value_ > 0 && added_ % kInterval != 0) return;
    std::vector<double> sorted = values_;
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    value_ = *middle;
  }

  double value() const { return value_; }

 private:
  // A router with ten streams a second sees these in 6 s.
  static constexpr std::size_t kMaxValues = 64;
  static constexpr std::size_t kMinValues = 16;
  // The median is computed once for this many values.
  static constexpr std::size_t kInterval = 8;

  std::vector<double> values_;
  std::size_t added_ = 0;
  double value_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_RUNNING_MEDIAN_H_
