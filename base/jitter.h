// Random pauses, so that processes that started together, or lost the same
// dependency at the same moment, don't all retry together.
//
//   const Duration pause = Jittered(random, retry_after, 0.7, 1.3);
//
// The caller owns the source of random numbers, and documents why it spreads
// its pauses and how widely. Nothing here fails.

#ifndef QUAYTRACK_BASE_JITTER_H_
#define QUAYTRACK_BASE_JITTER_H_

#include <chrono>
#include <random>

#include "base/clock.h"

namespace quaytrack {

// Returns `base` times a factor that is uniformly distributed from `min_factor`
// to `max_factor`.
inline Duration Jittered(std::minstd_rand& random, Duration base,
                         double min_factor, double max_factor) {
  std::uniform_real_distribution<double> factor(min_factor, max_factor);
  return std::chrono::duration_cast<Duration>(base * factor(random));
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_JITTER_H_
