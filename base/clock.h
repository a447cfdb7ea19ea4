// Types for time, and the clock interface.
//
// Classes that hold decision logic never read a clock. They take `Instant now`
// as a parameter, so that a test can replay any order of events at any speed.
// Code that owns sockets and timers reads the time once for each event, from
// the `Clock` that is passed to it.
//
//   const SystemClock clock;
//   const Instant start = clock.Now();
//   ...
//   const Duration took = clock.Now() - start;
//
// Two kinds of time are separate types:
//   Instant   monotonic, for delays, deadlines and rates inside one process. On
//             Linux it counts from the machine's boot, so processes on one
//             machine may compare instants until it reboots
//             (withheld tokens, prepaid/prepaid_record.h);
//   WallTime  calendar time, for records that people read. It may jump, so
//             nothing that affects safety is derived from it.
//
// Durations are nanoseconds; wall time has milliseconds. Nothing here fails.

#ifndef QUAYTRACK_BASE_CLOCK_H_
#define QUAYTRACK_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace quaytrack {

using Duration = std::chrono::nanoseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// Upper limit to which a wall time from another process is clamped. It lies
// some thousand years ahead, far below where clock arithmetic overflows.
inline constexpr WallTime kLatestWallTime{
    std::chrono::milliseconds(std::int64_t{1} << 47)};

// Source of monotonic and calendar time. Tests implement it with a settable
// time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

// The machine's clocks.
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
