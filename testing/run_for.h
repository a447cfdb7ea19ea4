// RunFor runs a loop for a while, in tests that have all objects on that loop.
//
//   RunFor(loop, std::chrono::milliseconds(50));
//
// It runs the loop in short turns, at least `kTurns` of them. So a test that
// needs some turns of the loop gets them even on a busy machine, however long
// they take. On an idle machine it ends within one turn of the given time, so
// that tests can tell steps at different times apart.

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
