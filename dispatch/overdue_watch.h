// OverdueWatch: whether a target owes this router an answer that it should have
// begun by now.
//
//   OverdueWatch watch;
//   watch.OnSent(now, expected);       // a request whose first event is due
//   watch.OnAnswer();                  // any first event, or any end
//   if (watch.IsOverdue(now)) ...      // prefer another target
//
// An engine that is slow for a moment delays all its requests. The first
// request that is late shows it to this router before any report does. The
// watch is a hint: it counts the oldest request that was sent since the last
// answer, and any answer clears it, as the target then works again.
//
// A target is overdue for at most `kMaxOverdue`: longer silence is for the
// timeouts of requests and for dispatch/outlier_ejection.h.
//
// Owns two times; relies on the time passed in; cannot fail.

#ifndef QUAYTRACK_DISPATCH_OVERDUE_WATCH_H_
#define QUAYTRACK_DISPATCH_OVERDUE_WATCH_H_

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace quaytrack {

class OverdueWatch {
 public:
  // Notes a request whose first event is expected after `expected`.
  void OnSent(Instant now, Duration expected) {
    // A request that was never answered must not hide later ones.
    if (due_ && now - *due_ >= kMaxOverdue) due_.reset();
    if (!due_) due_ = now + expected * kLateFactor + kLateMargin;
  }
  void OnAnswer() { due_.reset(); }

  bool IsOverdue(Instant now) const {
    return due_ && now >= *due_ && now - *due_ < kMaxOverdue;
  }

 private:
  // An answer is late from this multiple of the expected time, and this much
  // more: a queue of other routers' prompts doubles the time now and then.
  static constexpr int kLateFactor = 2;
  static constexpr Duration kLateMargin = std::chrono::milliseconds(40);
  // The slow moments of engines last about 0.6 s.
  static constexpr Duration kMaxOverdue = std::chrono::milliseconds(500);

  std::optional<Instant> due_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_OVERDUE_WATCH_H_
