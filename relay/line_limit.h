// LineLimit bounds how many log lines of one kind are written per second.
//
//   if (limit.Allow(now)) {
//     LogEvent(..., {{"omitted", std::to_string(limit.TakeOmitted())}});
//   }
//
// Time is passed in.

#ifndef QUAYTRACK_RELAY_LINE_LIMIT_H_
#define QUAYTRACK_RELAY_LINE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/clock.h"

namespace quaytrack {

class LineLimit {
 public:
  explicit LineLimit(int per_second) : per_second_(per_second) {}

  bool Allow(Instant now) {
    if (now - since_ >= std::chrono::seconds(1)) {
      since_ = now;
      written_ = 0;
    }
    if (written_ < per_second_) {
      ++written_;
      return true;
    }
    ++omitted_;
    return false;
  }
  // Number of lines that weren't allowed since the last call.
  std::uint64_t TakeOmitted() { return std::exchange(omitted_, 0); }

 private:
  int per_second_;
  int written_ = 0;
  std::uint64_t omitted_ = 0;
  Instant since_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_LINE_LIMIT_H_
