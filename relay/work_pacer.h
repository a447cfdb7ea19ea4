// WorkPacer bounds the part of the time that a repeated piece of work takes.
//
//   if (!pacer.MayWork(clock.Now())) return;      // it is tried again later
//   const Instant begun = clock.Now();
//   Work();
//   pacer.OnWork(begun, clock.Now());
//
// After each piece of work it rests `rest` times as long as the work took, up
// to `longest`. So work that grows with the fleet, or that runs on a small part
// of a processor, leaves the loop to everything else, and work that takes next
// to no time isn't held up. It reads no clock.

#ifndef QUAYTRACK_RELAY_WORK_PACER_H_
#define QUAYTRACK_RELAY_WORK_PACER_H_

#include <algorithm>

#include "base/clock.h"

namespace quaytrack {

class WorkPacer {
 public:
  WorkPacer(int rest, Duration longest) : rest_(rest), longest_(longest) {}

  bool MayWork(Instant now) const { return now >= rest_until_; }
  void OnWork(Instant begun, Instant ended) {
    const Duration pause = std::min((ended - begun) * rest_, longest_);
    rest_until_ = std::max(rest_until_, ended + pause);
  }

 private:
  int rest_;
  Duration longest_;
  Instant rest_until_ = Instant::min();
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_WORK_PACER_H_
