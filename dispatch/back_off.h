// BackOffs: pauses that targets have requested from this router.
//
//   BackOffs back_offs;
//   back_offs.Note(now, target, wait);      // it refused and asked for a pause
//   if (now < back_offs.EndOf(target)) ...  // send nothing
//
// A pause applies only to the router whose request was answered; routers do not
// share them. When pauses overlap, the one that ends later applies. A success
// does not end a pause, because the target may have received that request
// before it asked for the pause.
//
// A pause belongs to one start of a target, which is one run of its process
// (TargetStart). After a restart, an answer of the new start may be attributed
// to the previous start until the target's new entry has been read. `OnRestart`
// therefore carries a recent pause over to the new start.
//
// Owns the end times of pauses; does not read the clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_BACK_OFF_H_
#define QUAYTRACK_DISPATCH_BACK_OFF_H_

#include <algorithm>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/target_registry.h"

namespace quaytrack {

class BackOffs {
 public:
  // Notes that the target has asked this router to pause for `wait`.
  void Note(Instant now, const TargetStart& target, Duration wait) {
    std::erase_if(pauses_,
                  [now](const auto& it) { return it.second.until <= now; });
    Pause& at = pauses_[target];
    at.noted_at = now;
    at.until = std::max(at.until, now + wait);
  }

  // When the target's pause ends; `Instant{}`, which is in the past, if there
  // is no pause.
  Instant EndOf(const TargetStart& target) const {
    const auto it = pauses_.find(target);
    return it == pauses_.end() ? Instant{} : it->second.until;
  }

  // Carries a recent pause over to the new start of a target.
  void OnRestart(Instant now, const TargetStart& before,
                 const TargetStart& after) {
    const auto it = pauses_.find(before);
    if (it == pauses_.end()) return;
    if (now - it->second.noted_at >= kMaxEntryDelay) return;
    const Pause pause = it->second;
    pauses_[after] = pause;
  }

 private:
  struct Pause {
    Instant noted_at{};
    Instant until{};
  };

  std::map<TargetStart, Pause> pauses_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_BACK_OFF_H_
