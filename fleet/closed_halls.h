// ClosedHalls: which halls operators have closed to new work.
//
//   ClosedHalls halls;
//   halls.Replace(closed, revision);            // a whole reading of the store
//   halls.Note(hall, {revision, true});         // one change of the store
//   halls.Merge(message.halls);                 // what a peer knows
//   if (halls.IsClosed(entry.hall)) ...         // nothing further goes there
//
// Targets of a closed hall get nothing further: no first send, no retry, no
// rest of a broken stream, no check. What runs there runs to its end. Routers
// in the hall serve on, as it is about targets. A hall that nobody knows may be
// closed as well; it counts once a target is listed there.
//
// Each state carries the store's revision of the change that made it, and only
// a later revision changes it. So an older reading, a reader that is behind, a
// peer that was cut off and a message that comes twice or late turn nothing
// back, and all who know the same latest change agree, whoever told them. A
// reading of all says of a hall that it doesn't name that it was open then.
//
// That a hall was opened again is remembered and told on, since a peer that was
// cut off may still hold it closed; the oldest are forgotten beyond
// `kMostOpened`. A peer's state of a revision up to which every change is known
// here is old news, whether the hall has a state here or not.
//
// A store that comes back from an older copy of itself (base/store_revision.h)
// shows the halls as they were then, until operators have written again what
// was lost. So the first reading of a later era changes no hall of which this
// router knows a state; it may only close others. A change that follows counts
// at once, and
//
//   halls.TakeShown();                          // some seconds later
//
// makes the rest as the store shows it.
//
// It owns these states, reads no clock, knows no targets and reports no errors.

#ifndef QUAYTRACK_FLEET_CLOSED_HALLS_H_
#define QUAYTRACK_FLEET_CLOSED_HALLS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/store_revision.h"

namespace quaytrack {

struct HallState {
  // The store's, of the change that made it so.
  StoreRevision revision;
  bool closed = false;
};

using HallStates = std::map<HallName, HallState>;

class ClosedHalls {
 public:
  // Halls of which it is remembered that they were opened again. A region has
  // some dozen halls at most; those of deleted ones are what is forgotten.
  static constexpr std::size_t kMostOpened = 64;

  // The store shows a state. Returns whether the hall is now closed and was
  // open, or the other way round; `Merge` and `Replace` return such halls.
  bool Note(const HallName& hall, const HallState& state) {
    const bool was_closed = IsClosed(hall);
    HallState& at = states_[hall];
    if (at.revision < state.revision) {
      at = state;
      shown_.erase(hall);
    }
    const bool changed = IsClosed(hall) != was_closed;
    ForgetOldest();
    return changed;
  }

  // A whole reading of the store at `revision`: the halls that were closed.
  std::vector<HallName> Replace(const HallStates& closed,
                                StoreRevision revision) {
    if (known_ != StoreRevision() && revision.era > known_.era) {
      return CarryOver(closed, revision);
    }
    std::vector<HallName> changed;
    for (const auto& [hall, state] : closed) {
      if (Note(hall, state)) changed.push_back(hall);
    }
    const HallStates before = states_;
    for (const auto& [hall, state] : before) {
      const bool is_carried = shown_.contains(hall);
      if (closed.contains(hall) || !state.closed || is_carried) continue;
      if (Note(hall, {revision, false})) changed.push_back(hall);
    }
    SetKnown(revision);
    return changed;
  }

  // Whether some hall is not as the store shows it, after a new era's reading.
  bool HasCarried() const { return !shown_.empty(); }
  // Takes what the store has shown of these.
  std::vector<HallName> TakeShown() {
    std::vector<HallName> changed;
    for (const auto& [hall, closed] : std::exchange(shown_, {})) {
      states_.at(hall).closed = closed;
      changed.push_back(hall);
    }
    return changed;
  }

  // What a peer knows. It may be older than what is known here.
  std::vector<HallName> Merge(const HallStates& states) {
    std::vector<HallName> changed;
    for (const auto& [hall, state] : states) {
      const bool is_old = state.revision <= known_;
      if (!is_old && Note(hall, state)) changed.push_back(hall);
    }
    return changed;
  }

  // Every change of the store up to this revision has been noted.
  void SetKnown(StoreRevision revision) { known_ = std::max(known_, revision); }

  bool IsClosed(const HallName& hall) const {
    const auto it = states_.find(hall);
    return it != states_.end() && it->second.closed;
  }
  // For peers.
  const HallStates& states() const { return states_; }
  std::set<HallName> closed() const {
    std::set<HallName> out;
    for (const auto& [hall, state] : states_) {
      if (state.closed) out.insert(hall);
    }
    return out;
  }

 private:
  // The first reading of a later era.
  std::vector<HallName> CarryOver(const HallStates& closed,
                                  StoreRevision revision) {
    std::vector<HallName> changed;
    for (auto& [hall, state] : states_) {
      state.revision = revision;
      const bool shown = closed.contains(hall);
      if (shown == state.closed) {
        shown_.erase(hall);
      } else {
        shown_[hall] = shown;
      }
    }
    for (const auto& [hall, state] : closed) {
      if (states_.contains(hall)) continue;
      if (Note(hall, state)) changed.push_back(hall);
    }
    SetKnown(revision);
    return changed;
  }

  void ForgetOldest() {
    if (states_.size() - closed().size() <= kMostOpened) return;
    auto oldest = states_.end();
    for (auto it = states_.begin(); it != states_.end(); ++it) {
      if (it->second.closed) continue;
      const bool older = oldest == states_.end() ||
                         it->second.revision < oldest->second.revision;
      if (older) oldest = it;
    }
    shown_.erase(oldest->first);
    states_.erase(oldest);
  }

  HallStates states_;
  // Halls that are not as the store shows them, and whether it shows them
  // closed.
  std::map<HallName, bool> shown_;
  StoreRevision known_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_CLOSED_HALLS_H_
