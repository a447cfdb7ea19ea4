// Runs a loop for a while, in tests whose whole world is on that one loop.
//
//   RunFor(loop, std::chrono::milliseconds(50));
//
// The time is given in short turns, and the loop turns at least `kTurns` times
// however busy the machine is: a test that needs some turns of the loop gets
// them, and doesn't depend on how long they take. On a machine that isn't busy
// it ends within a turn of the time, so that steps at set times can be told
// apart.

#ifndef QUAYTRACK_TESTING_RUN_FOR_H_
#define QUAYTRACK_TESTING_RUN_FOR_H_

#include <chrono>

#include "base/clock.h"
#include "net/loop.h"

namespace quaytrack {

inline void RunFor(Loop& loop, Duration time) {
  constexpr int kTurns = 25;
  const auto end = std::chrono::steady_clock::now() + time;
  for (int n = 0; n < kTurns || std::chrono::steady_clock::now() < end; ++n) {
    const auto stop = loop.After(time / (2 * kTurns), [&] { loop.Stop(); });
    loop.Run();
  }
}

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_RUN_FOR_H_
