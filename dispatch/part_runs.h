// PartRuns remembers when the latest good run of each prompt part began at this
// router. A harmful part has none, so this tells popular parts, which were
// running at most crashes, from the cause (dispatch/crash_blame.h).
//
//   PartRuns runs;
//   runs.Note(causes.parts, wall_now - running_for);
//   if (const auto began = runs.LatestOf(cause)) ...
//
// Memory is bounded (`kMaxParts`): the part that ran longest ago is forgotten,
// so unpopular ones go first. Does not read the clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_PART_RUNS_H_
#define QUAYTRACK_DISPATCH_PART_RUNS_H_

#include <algorithm>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "dispatch/crash_cause.h"

namespace quaytrack {

class PartRuns {
 public:
  // Bound on parts; at some 200 bytes each, 0.2 MB.
  static constexpr std::size_t kMaxParts = 1024;

  // Notes that a request with these parts began to run at `began`, and ran
  // well.
  void Note(const std::vector<CauseId>& parts, WallTime began) {
    for (const CauseId& it : parts) NoteOne(it, began);
  }
  std::optional<WallTime> LatestOf(const CauseId& part) const {
    const auto it = runs_.find(part);
    if (it == runs_.end()) return std::nullopt;
    return it->second.began;
  }
  std::size_t size() const { return runs_.size(); }

 private:
  struct Run {
    WallTime began{};
    std::list<CauseId>::iterator place;
  };

  void NoteOne(const CauseId& part, WallTime began) {
    const auto it = runs_.find(part);
    if (it != runs_.end()) {
      it->second.began = std::max(it->second.began, began);
      order_.splice(order_.begin(), order_, it->second.place);
      return;
    }
    order_.push_front(part);
    runs_[part] = {began, order_.begin()};
    if (runs_.size() <= kMaxParts) return;
    runs_.erase(order_.back());
    order_.pop_back();
  }

  std::map<CauseId, Run> runs_;
  // The one that was noted last is first.
  std::list<CauseId> order_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PART_RUNS_H_
