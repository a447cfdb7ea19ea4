// LateOdds: the share of a service's answers that take longer than a limit,
// for an engine of a given speed.
//
//   LateOdds odds;
//   odds.Record(longest_pause_ms / expected_ms);
//   const double late = odds.Beyond(limit_ms / expected_ms);   // 0 to 1
//
// Times are recorded relative to what was expected of the engine that answered,
// so answers of all engines of a service count together, and the share for one
// engine follows from its expected time. Older answers lose weight. Until there
// are `kMinAnswers` answers, the share is 0.
//
// Owns a histogram of fixed size; uses no time; cannot fail.

#ifndef QUAYTRACK_DISPATCH_LATE_ODDS_H_
#define QUAYTRACK_DISPATCH_LATE_ODDS_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace quaytrack {

class LateOdds {
 public:
  void Record(double ratio) {
    if (!std::isfinite(ratio) || ratio < 0) return;
    for (double& it : counts_) it *= kDecay;
    answers_ = answers_ * kDecay + 1;
    counts_[BucketOf(ratio)] += 1;
  }

  // Share of the answers that took more than `ratio` times what was expected.
  double Beyond(double ratio) const {
    if (answers_ < kMinAnswers || !std::isfinite(ratio)) return 0;
    double out = 0;
    for (std::size_t n = BucketOf(ratio) + 1; n < kBuckets; ++n)
      out += counts_[n];
    return out / answers_;
  }

 private:
  // About the last 300 answers count.
  static constexpr double kDecay = 0.997;
  // With fewer, one slow answer is more than a twentieth.
  static constexpr double kMinAnswers = 40;
  // Four buckets for each factor of two, from 1/4 to 64.
  static constexpr std::size_t kBuckets = 32;
  static constexpr double kBucketsPerOctave = 4;
  static constexpr double kLowestOctave = -2;

  static std::size_t BucketOf(double ratio) {
    const double octave = std::log2(std::max(ratio, 1e-6)) - kLowestOctave;
    const double bucket = std::floor(octave * kBucketsPerOctave);
    return static_cast<std::size_t>(
        std::clamp(bucket, 0.0, static_cast<double>(kBuckets - 1)));
  }

  std::array<double, kBuckets> counts_{};
  double answers_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_LATE_ODDS_H_
