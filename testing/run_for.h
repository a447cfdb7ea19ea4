// Runs a loop for a while, in tests whose whole world is on that one loop.
//
//   RunFor(loop, std::chrono::milliseconds(50));
//
// The time is given in rounds, so that the loop turns at least that often
// however busy the machine is: a test that needs some turns of the loop gets
// them, and doesn't depend on how long they take.

#ifndef QUAYTRACK_TESTING_RUN_FOR_H_
#define QUAYTRACK_TESTING_RUN_FOR_H_

#include "base/clock.h"
#include "net/loop.h"

namespace quaytrack {

inline void RunFor(Loop& loop, Duration time) {
  constexpr int kRounds = 25;
  for (int n = 0; n < kRounds; ++n) {
    const auto stop = loop.After(time / kRounds, [&] { loop.Stop(); });
    loop.Run();
  }
}

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_RUN_FOR_H_
