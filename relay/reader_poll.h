// ReaderPoll chooses which reader a router asks how current it is
// (relay/state_feed.h).
//
//   ReaderPoll poll(std::chrono::milliseconds(400));
//   if (const auto reader = poll.Next(now, readers)) SendMarkRequest(*reader);
//   poll.OnAnswer(from, is_current);
//
// One reader is asked at a time, as the readers' answers say the same. The next
// one in the list is asked if the last one didn't answer by the time of the
// next question, or if it isn't current itself. So a reader that is dead,
// frozen or slow, or that has lost the store, costs one interval.
//
// Owns the place in the list and when it last asked. Reads no clock.

#ifndef QUAYTRACK_RELAY_READER_POLL_H_
#define QUAYTRACK_RELAY_READER_POLL_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

class ReaderPoll {
 public:
  explicit ReaderPoll(Duration interval) : interval_(interval) {}

  // Returns the reader to ask now; std::nullopt if no question is due.
  std::optional<Incarnation> Next(Instant now,
                                  const std::vector<Incarnation>& readers) {
    const bool is_due = !asked_at_ || now - *asked_at_ >= interval_;
    if (readers.empty() || !is_due) return std::nullopt;
    if (asked_at_ && !answered_) ++index_;
    asked_at_ = now;
    answered_ = false;
    asked_ = readers[index_ % readers.size()];
    return asked_;
  }

  // Notes an answer. `is_current` is whether the reader was current a short
  // time ago.
  void OnAnswer(const Incarnation& from, bool is_current) {
    if (from == asked_) answered_ = is_current;
  }

 private:
  Duration interval_;
  std::size_t index_ = 0;
  std::optional<Instant> asked_at_;
  Incarnation asked_;
  bool answered_ = true;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_READER_POLL_H_
