// StreamPauses: the pauses between the events of one attempt's stream.
//
//   StreamPauses pauses;
//   pauses.Add(now - last_event_at);
//   if (pauses.size() >= 2) Report(pauses.Median(), pauses.longest());
//
// The median shows the speed of the engine. Unlike the mean, it is hardly
// changed when a few pauses are long because the engine prefilled other
// prompts.
//
// Owns the first `kMaxPauses` pauses, of which the median is taken, and the
// longest of all; cannot fail.

#ifndef QUAYTRACK_RELAY_STREAM_PAUSES_H_
#define QUAYTRACK_RELAY_STREAM_PAUSES_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "base/clock.h"

namespace quaytrack {

class StreamPauses {
 public:
  void Add(Duration pause) {
    longest_ = std::max(longest_, pause);
    if (size_ < kMaxPauses) pauses_[size_++] = pause;
  }

  std::size_t size() const { return size_; }
  Duration longest() const { return longest_; }

  // The lower median; zero without pauses.
  Duration Median() const {
    if (size_ == 0) return Duration::zero();
    auto sorted = pauses_;
    const auto begin = sorted.begin();
    const auto middle = begin + static_cast<std::ptrdiff_t>((size_ - 1) / 2);
    std::nth_element(begin, middle, begin + static_cast<std::ptrdiff_t>(size_));
    return *middle;
  }

 private:
  // Bounds the memory of a request; enough for a stable median.
  static constexpr std::size_t kMaxPauses = 15;

  std::array<Duration, kMaxPauses> pauses_{};
  std::size_t size_ = 0;
  Duration longest_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STREAM_PAUSES_H_
