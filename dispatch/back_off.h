// BackOffs: targets that want nothing from this router for a while.
//
//   BackOffs back_offs;
//   back_offs.Note(now, target, wait);      // it refused, with a pause
//   if (now < back_offs.EndOf(target)) ...  // nothing further goes there
//
// A target speaks to the router that it answers; others aren't told. Of two
// pauses the one that ends later holds, whichever was asked for last, and no
// success ends one sooner: it may be of a request that the target had before.
//
// What is remembered is of one start of a target. An answer of a new start may
// be taken for one of the start before, until the target's entry has been
// read; `OnStartedAgain` carries a pause over that was asked for so lately.
//
// It owns the ends of pauses, reads no clock, and reports no errors.

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
  void Note(Instant now, const TargetStart& target, Duration wait) {
    std::erase_if(pauses_,
                  [now](const auto& it) { return it.second.until <= now; });
    Pause& at = pauses_[target];
    at.noted_at = now;
    at.until = std::max(at.until, now + wait);
  }

  // The past if it has asked for none.
  Instant EndOf(const TargetStart& target) const {
    const auto it = pauses_.find(target);
    return it == pauses_.end() ? Instant{} : it->second.until;
  }

  void OnStartedAgain(Instant now, const TargetStart& before,
                      const TargetStart& after) {
    const auto it = pauses_.find(before);
    if (it == pauses_.end()) return;
    if (now - it->second.noted_at >= kEntryTellsWithin) return;
    const Pause kept = it->second;
    pauses_[after] = kept;
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
