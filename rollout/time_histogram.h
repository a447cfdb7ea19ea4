// TimeHistogram: counts times, or ratios of times, in buckets that grow by a
// factor of 1.5, so that the counts of many routers can be added.
//
//   TimeHistogram it;
//   it.Add(83.0);
//   it.Merge(other);
//   it.CountAbove(it.Median() * 4);
//
// A value counts as the upper bound of its bucket, so a median is up to 1.5
// times too large. The values of one histogram, and of histograms that are
// merged, have the same unit, which may be any.

#ifndef QUAYTRACK_ROLLOUT_TIME_HISTOGRAM_H_
#define QUAYTRACK_ROLLOUT_TIME_HISTOGRAM_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace quaytrack {

class TimeHistogram {
 public:
  // The upper bounds of the buckets go from 0.1 to 0.1 * 1.5^32, which is
  // 43,000.
  static constexpr std::size_t kBuckets = 33;
  static constexpr double kMinBound = 0.1;
  static constexpr double kGrowth = 1.5;
  using Counts = std::array<std::uint64_t, kBuckets>;

  static double UpperBound(std::size_t bucket) {
    return kMinBound * std::pow(kGrowth, static_cast<double>(bucket));
  }

  void Add(double value) { ++counts_[BucketOf(value)]; }
  void Merge(const TimeHistogram& other) {
    for (std::size_t n = 0; n < kBuckets; ++n) counts_[n] += other.counts_[n];
  }

  std::uint64_t total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
  }
  // The median; 0 if the histogram is empty.
  double Median() const {
    const std::uint64_t half = (total() + 1) / 2;
    std::uint64_t seen = 0;
    for (std::size_t n = 0; n < kBuckets; ++n) {
      seen += counts_[n];
      if (seen >= half && seen > 0) return UpperBound(n);
    }
    return 0;
  }
  // Number of values in buckets that lie completely above `value`.
  std::uint64_t CountAbove(double value) const {
    std::uint64_t out = 0;
    for (std::size_t n = 1; n < kBuckets; ++n) {
      if (UpperBound(n - 1) >= value) out += counts_[n];
    }
    return out;
  }

  const Counts& counts() const { return counts_; }
  void SetCount(std::size_t bucket, std::uint64_t n) {
    if (bucket < kBuckets) counts_[bucket] = n;
  }

  bool operator==(const TimeHistogram&) const = default;

 private:
  static std::size_t BucketOf(double value) {
    std::size_t out = 0;
    while (out + 1 < kBuckets && UpperBound(out) < value) ++out;
    return out;
  }

  Counts counts_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_TIME_HISTOGRAM_H_
