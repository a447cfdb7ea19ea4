// Standstill tells whether this process has stood still: its loop didn't run
// for a while, because the process or its VM was stopped.
//
//   Standstill standstill;
//   standstill.Note(clock.Now());     // several times a second, by a timer
//   ...
//   standstill.Note(clock.Now());     // before a decision that depends on it
//   if (standstill.resumed_at() > knowledge_is_of) ...
//
// When a process runs again, the order in which its sockets and its timers are
// served is open, so whoever decides calls `Note` first. Before the first call
// nothing counts as a standstill.

#ifndef QUAYTRACK_RELAY_STANDSTILL_H_
#define QUAYTRACK_RELAY_STANDSTILL_H_

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace quaytrack {

class Standstill {
 public:
  // A longer time between two notes is a standstill: more than the interval of
  // the notes and the delays of a busy loop, and far less than the 2 s within
  // which a configuration has to be in force.
  static constexpr Duration kLongestGap = std::chrono::milliseconds(500);

  void Note(Instant now) {
    if (noted_at_ && now - *noted_at_ > kLongestGap) resumed_at_ = now;
    noted_at_ = now;
  }

  // When the latest standstill ended; the clock's start if there was none.
  Instant resumed_at() const { return resumed_at_; }

 private:
  std::optional<Instant> noted_at_;
  Instant resumed_at_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STANDSTILL_H_
