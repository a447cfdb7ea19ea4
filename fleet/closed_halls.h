// ClosedHalls: which halls operators have closed to new work.
//
//   ClosedHalls halls;
//   halls.Replace(closed, revision);            // a complete read of the store
//   halls.ApplyChange(hall, {revision, true});  // one change of the store
//   halls.Merge(message.halls);                 // the states of a peer
//   if (halls.IsClosed(entry.hall)) ...         // send nothing more there
//
// Targets in a closed hall are sent nothing more: no first attempt, no retry,
// no continuation of a broken stream, no check. Requests that run there run to
// their end. Routers in the hall keep serving, as only targets are affected. A
// hall without listed targets may be closed too; that takes effect once a
// target is listed there.
//
// Each state carries the store's revision of the change that made it, and only
// a later revision changes it. So an older read, a reader that is behind, a
// peer that was cut off and a message that is duplicated or late revert
// nothing, and all routers that know the same latest change agree, wherever
// they got it from. A complete read means that every hall it doesn't name was
// open at its revision.
//
// Reopened halls are remembered and sent to peers, since a peer that was cut
// off may still regard them as closed; beyond `kMaxOpened` the oldest are
// forgotten. If this router knows every change up to the revision of a peer's
// state, that state is outdated, whether or not the hall has a state here.
//
// A store that is restored from an older copy (base/store_revision.h) shows the
// halls as they were when the copy was taken, until operators have repeated the
// lost changes. So the first read of a later era changes no hall of which this
// router knows a state; the read can only close other halls. Later changes take
// effect at once. For the other halls, the caller adopts the store's states
// some seconds later with
//
//   halls.AdoptStoreStates();
//
// Owns these states, reads no clock, knows no targets and reports no errors.

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
  // The store's revision of the change that made the state.
  StoreRevision revision;
  bool closed = false;
};

using HallStates = std::map<HallName, HallState>;

class ClosedHalls {
 public:
  // Maximum number of reopened halls that are remembered. A region has some
  // dozen halls at most, so only deleted halls are forgotten.
  static constexpr std::size_t kMaxOpened = 64;

  // Applies a state that the store shows. Returns whether the hall changed
  // between closed and open; `Replace`, `Merge` and `AdoptStoreStates` return
  // the halls that changed so.
  bool ApplyChange(const HallName& hall, const HallState& state) {
    const bool was_closed = IsClosed(hall);
    HallState& current = states_[hall];
    if (current.revision < state.revision) {
      current = state;
      differing_.erase(hall);
    }
    const bool changed = IsClosed(hall) != was_closed;
    ForgetOldest();
    return changed;
  }

  // Applies a complete read of the store at `revision`, with the halls that
  // were closed then.
  std::vector<HallName> Replace(const HallStates& closed,
                                StoreRevision revision) {
    if (applied_up_to_ != StoreRevision() &&
        revision.era > applied_up_to_.era) {
      return CarryOver(closed, revision);
    }
    std::vector<HallName> changed;
    for (const auto& [hall, state] : closed) {
      if (ApplyChange(hall, state)) changed.push_back(hall);
    }
    const HallStates before = states_;
    for (const auto& [hall, state] : before) {
      const bool is_carried = differing_.contains(hall);
      if (closed.contains(hall) || !state.closed || is_carried) continue;
      if (ApplyChange(hall, {revision, false})) changed.push_back(hall);
    }
    SetAppliedUpTo(revision);
    return changed;
  }

  // Whether any hall differs from what the store shows since the first read of
  // a later era.
  bool HasCarried() const { return !differing_.empty(); }
  // Sets the halls that differ to what the store shows.
  std::vector<HallName> AdoptStoreStates() {
    std::vector<HallName> changed;
    for (const auto& [hall, closed] : std::exchange(differing_, {})) {
      states_.at(hall).closed = closed;
      changed.push_back(hall);
    }
    return changed;
  }

  // Applies a peer's states, which may be older than those known here.
  std::vector<HallName> Merge(const HallStates& states) {
    std::vector<HallName> changed;
    for (const auto& [hall, state] : states) {
      const bool is_old = state.revision <= applied_up_to_;
      if (!is_old && ApplyChange(hall, state)) changed.push_back(hall);
    }
    return changed;
  }

  // Marks every change of the store up to this revision as applied.
  void SetAppliedUpTo(StoreRevision revision) {
    applied_up_to_ = std::max(applied_up_to_, revision);
  }

  bool IsClosed(const HallName& hall) const {
    const auto it = states_.find(hall);
    return it != states_.end() && it->second.closed;
  }
  // All states, to be sent to peers.
  const HallStates& states() const { return states_; }
  std::set<HallName> closed() const {
    std::set<HallName> out;
    for (const auto& [hall, state] : states_) {
      if (state.closed) out.insert(hall);
    }
    return out;
  }

 private:
  // Applies the first read of a later era.
  std::vector<HallName> CarryOver(const HallStates& closed,
                                  StoreRevision revision) {
    std::vector<HallName> changed;
    for (auto& [hall, state] : states_) {
      state.revision = revision;
      const bool shown_closed = closed.contains(hall);
      if (shown_closed == state.closed) {
        differing_.erase(hall);
      } else {
        differing_[hall] = shown_closed;
      }
    }
    for (const auto& [hall, state] : closed) {
      if (states_.contains(hall)) continue;
      if (ApplyChange(hall, state)) changed.push_back(hall);
    }
    SetAppliedUpTo(revision);
    return changed;
  }

  void ForgetOldest() {
    if (states_.size() - closed().size() <= kMaxOpened) return;
    auto oldest = states_.end();
    for (auto it = states_.begin(); it != states_.end(); ++it) {
      if (it->second.closed) continue;
      const bool older = oldest == states_.end() ||
                         it->second.revision < oldest->second.revision;
      if (older) oldest = it;
    }
    differing_.erase(oldest->first);
    states_.erase(oldest);
  }

  HallStates states_;
  // Halls whose state differs from what the store shows, and whether the store
  // shows them as closed.
  std::map<HallName, bool> differing_;
  // Every change up to this revision has been applied.
  StoreRevision applied_up_to_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_CLOSED_HALLS_H_
