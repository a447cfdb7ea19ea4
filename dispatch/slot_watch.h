// SlotWatch: whether a target with few slots has just shown that it has no free
// one.
//
//   SlotWatch watch;
//   watch.OnRefused(now);                    // 503
//   watch.OnAnswer(now, took_ms, usual_ms);  // a complete answer
//   if (watch.IsBusy(now)) ...               // prefer another target
//
// Many routers share a target with few slots, and each sees a small part of its
// load. A refusal, or an answer that took `kQueuedFactor` times as long as
// usual, shows that requests of other routers are waiting there. The target is
// skipped for a moment, in which its queue empties, and used again by itself.
//
// Owns one time; relies on the time passed in; cannot fail.

#ifndef QUAYTRACK_DISPATCH_SLOT_WATCH_H_
#define QUAYTRACK_DISPATCH_SLOT_WATCH_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

class SlotWatch {
 public:
  void OnRefused(Instant now) { busy_until_ = now + kBusyTime; }
  // `usual_ms` is 0 if it isn't known.
  void OnAnswer(Instant now, double took_ms, double usual_ms) {
    if (usual_ms <= 0) return;
    if (took_ms >= usual_ms * kQueuedFactor) return OnRefused(now);
    busy_until_ = {};
  }

  bool IsBusy(Instant now) const { return now < busy_until_; }

 private:
  static constexpr double kQueuedFactor = 2;
  // About the time in which a queue of some requests is served.
  static constexpr Duration kBusyTime = std::chrono::milliseconds(200);

  Instant busy_until_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_SLOT_WATCH_H_
