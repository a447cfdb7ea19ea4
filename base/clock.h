// Time, as the rest of the code sees it.
//
// Decision classes never read a clock. They take `Instant now` as a
// parameter, so a test can replay any order of events at any speed. Plumbing
// reads the time once per event from the `Clock` that it was given.
//
// Two kinds of time are kept apart on purpose:
//   Instant   monotonic, for delays, deadlines and rates inside one process;
//   WallTime  calendar time, for records that people read. It may jump, so
//             nothing that affects safety is ever derived from it.

#ifndef QUAYTRACK_BASE_CLOCK_H_
#define QUAYTRACK_BASE_CLOCK_H_

#include <chrono>

namespace quaytrack {

using Duration = std::chrono::nanoseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// Source of both kinds of time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

// The machine's own clocks.
class SystemClock final : public Clock {
 public:
  Instant Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

// Seconds as a floating-point number, for rates.
inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_CLOCK_H_
