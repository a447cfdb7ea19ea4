// Random pauses, so that processes that started together, or that lost the same
// thing at the same moment, don't all call again together.
//
//   const Duration pause = DrawPart(random, retry_after, 0.7, 1.3);
//
// The caller owns the source of random numbers, and says why it needs the
// spread and how wide it is. Nothing here fails.

#ifndef QUAYTRACK_BASE_JITTER_H_
#define QUAYTRACK_BASE_JITTER_H_

#include <chrono>
#include <random>

#include "base/clock.h"

namespace quaytrack {

// A part of `whole`, drawn evenly from `least` times it to `most` times it.
inline Duration DrawPart(std::minstd_rand& random, Duration whole, double least,
                         double most) {
  std::uniform_real_distribution<double> part(least, most);
  return std::chrono::duration_cast<Duration>(whole * part(random));
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_JITTER_H_
