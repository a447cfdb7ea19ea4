// WorkPacer bounds the share of the time that a repeated task takes.
//
//   if (!pacer.MayWork(clock.Now())) return;      // a later call tries again
//   const Instant started = clock.Now();
//   Work();
//   pacer.OnWork(started, clock.Now());
//
// After each run of the task, WorkPacer pauses `rest` times as long as the run
// took, up to `longest`. So a task that grows with the fleet, or that runs on a
// small share of a processor, leaves the loop free for everything else, and a
// task that takes almost no time isn't delayed. WorkPacer reads no clock.

#ifndef QUAYTRACK_RELAY_WORK_PACER_H_
#define QUAYTRACK_RELAY_WORK_PACER_H_

#include <algorithm>

#include "base/clock.h"

namespace quaytrack {

class WorkPacer {
 public:
  WorkPacer(int rest, Duration longest)
      : rest_factor_(rest), max_rest_(longest) {}

  bool MayWork(Instant now) const { return now >= rest_until_; }
  void OnWork(Instant started, Instant ended) {
    const Duration pause =
        std::min((ended - started) * rest_factor_, max_rest_);
    rest_until_ = std::max(rest_until_, ended + pause);
  }

 private:
  int rest_factor_;
  Duration max_rest_;
  Instant rest_until_ = Instant::min();
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_WORK_PACER_H_
