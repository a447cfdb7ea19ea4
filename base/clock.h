// Time, as the rest of the code sees it.
//
// Classes that decide never read a clock. They take `Instant now` as a
// parameter, so that a test can replay any order of events at any speed. Code
// that owns sockets and timers reads the time from the `Clock` that it was
// given, once for each event.
//
//   const SystemClock clock;
//   const Instant begun = clock.Now();
//   ...
//   const Duration took = clock.Now() - begun;
//
// Two kinds of time are kept apart on purpose:
//   Instant   monotonic, for delays, deadlines and rates inside one process. On
//             Linux it counts from the machine's boot, so two processes of one
//             boot may compare theirs (prepaid/prepaid_record.h, Withheld
//             parts);
//   WallTime  calendar time, for records that people read. It may jump, so
//             nothing that affects safety is ever derived from it.
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

// A time that comes from elsewhere is taken back to this. Some thousand years
// from now, far from where the arithmetic of clocks ends.
inline constexpr WallTime kLatestWallTime{
    std::chrono::milliseconds(std::int64_t{1} << 47)};

// Source of both kinds of time. Tests pass one that they set themselves.
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
