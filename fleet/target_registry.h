// TargetRegistry: the targets as the platform lists them, which there are and
// which are leaving.
//
//   TargetRegistry registry;
//   registry.Replace(entries);               // a whole list
//   registry.Put(entry);                     // one that is new or has changed
//   registry.Remove(name);                   // one that is no longer listed
//   for (const auto& [name, entry] : registry.entries()) ...
//
// A target that is leaving, or is no longer listed, gets no new work from then
// on, but for what is kept around an outage (below).
// Its running requests end by themselves, as it serves on for a while. A start
// of a target that was once seen leaving stays leaving whatever is listed
// later; one that was only lost sight of may be listed again as ready.
//
// A target may also say itself that it leaves, before its entry does or while
// entries can't be read:
//
//   registry.MarkLeaving(name, started_at);
//   tell(registry.said_leaving());           // what peers can't read either
//
// A target may start again under its name. It is told from its earlier starts
// by its time of start, and begins anew: an earlier start that left doesn't
// make it leave, and an entry of an earlier start that comes late changes
// nothing. Of entries without a time, a name has one start.
//
// Around an outage of the platform's store, entries may lapse although their
// targets live. So what vanishes then can be kept for a while:
//
//   registry.KeepMissing();                  // the store is lost
//   registry.StopKeeping();                  // it has been back for a while
//   for (const TargetName& it : registry.DropMissing()) ...   // gone after all
//
// When to do which, and for how long, is decided in relay/target_follower.h.
//
// The registry owns the entries and nothing else, and reads no clock. It takes
// any entry, and reports no errors.

#ifndef QUAYTRACK_FLEET_TARGET_REGISTRY_H_
#define QUAYTRACK_FLEET_TARGET_REGISTRY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

struct TargetEntry {
  TargetName name;
  // One run of the target's program: what is remembered of a target is
  // remembered of that.
  TargetStart start;
  // By the target's own clock; nothing (0) if it doesn't say.
  WallTime started_at{};
  ServiceName service;
  // Of its software; empty if it doesn't say.
  VersionName version;
  // "host:port".
  std::string address;
  HallName hall;
  // Requests that it serves at the same time.
  int slots = 1;
  // It ends soon and takes no new work.
  bool leaving = false;
  // How much longer it is slow, as of its entry's writing; it bears fewer
  // requests until then (dispatch/shared_rate.h).
  Duration cold_for{};

  bool operator==(const TargetEntry&) const = default;
};

// Targets that are leaving, with the time of the start that does.
using LeavingStarts = std::map<TargetName, WallTime>;

// After a target has ended, its entry has been written anew or has lapsed
// within this time, and routers know of it: entries lapse after three missed
// writes, 3.6 s at the users' 1.2 s, and are read of within 2 s. Reckoned, not
// measured.
inline constexpr Duration kEntryTellsWithin = std::chrono::milliseconds(5600);

class TargetRegistry {
 public:
  // Adds or replaces an entry. Returns whether anything changed, as `Remove`
  // and `Replace` do.
  bool Put(const TargetEntry& entry) {
    if (IsOfEarlierStart(entry)) return false;
    TargetEntry it = entry;
    if (HasLeft(it)) it.leaving = true;
    if (it.leaving) RememberLeft(it.name, it.started_at);
    if (entry.leaving || !it.leaving) {
      said_leaving_.erase(it.name);
    } else {
      said_leaving_[it.name] = it.started_at;
    }
    missing_.erase(it.name);
    TargetEntry& at = entries_[it.name];
    if (at == it) return false;
    at = it;
    return true;
  }

  // That start of a target, and earlier ones, are leaving, whatever is listed.
  // Returns whether a listed one wasn't.
  bool MarkLeaving(const TargetName& name, WallTime started_at) {
    RememberLeft(name, started_at);
    const auto it = entries_.find(name);
    if (it == entries_.end()) return false;
    if (it->second.leaving || !HasLeft(it->second)) return false;
    it->second.leaving = true;
    said_leaving_[name] = it->second.started_at;
    return true;
  }

  // Listed starts that are known to leave though their entry doesn't say so.
  const LeavingStarts& said_leaving() const { return said_leaving_; }

  // Whether `entry`, if it is put, is another start of a listed target.
  bool StartsAgain(const TargetEntry& entry) const {
    const auto it = entries_.find(entry.name);
    return it != entries_.end() && it->second.start != entry.start &&
           !IsOfEarlierStart(entry);
  }

  // The target is no longer listed. It may be listed again later, unless it was
  // leaving.
  bool Remove(const TargetName& name) {
    const auto it = entries_.find(name);
    if (it == entries_.end()) return false;
    if (keeps_missing_ && !it->second.leaving) {
      missing_.insert(name);
      return false;
    }
    entries_.erase(it);
    said_leaving_.erase(name);
    return true;
  }

  // From now on, a target that vanishes stays, unless it was leaving.
  void KeepMissing() { keeps_missing_ = true; }

  // From now on, what vanishes is gone at once. What is missing already stays
  // until `DropMissing`.
  void StopKeeping() { keeps_missing_ = false; }

  // Removes what has vanished and was not listed again, and returns it.
  std::set<TargetName> DropMissing() {
    for (const TargetName& it : missing_) {
      entries_.erase(it);
      said_leaving_.erase(it);
    }
    return std::exchange(missing_, {});
  }
  bool HasMissing() const { return !missing_.empty(); }

  // Takes a whole list: what is not in `entries` is no longer listed.
  bool Replace(const std::vector<TargetEntry>& entries) {
    std::set<TargetName> gone;
    for (const auto& [name, entry] : entries_) gone.insert(name);
    bool changed = false;
    for (const TargetEntry& it : entries) {
      gone.erase(it.name);
      changed |= Put(it);
    }
    for (const TargetName& it : gone) changed |= Remove(it);
    return changed;
  }

  const std::map<TargetName, TargetEntry>& entries() const { return entries_; }

 private:
  // Names of which it is remembered that they left; the oldest is forgotten
  // beyond that. Some times as many as there are targets in a large fleet, as
  // late news of a target come within seconds.
  static constexpr std::size_t kMostLeft = 8192;

  bool IsOfEarlierStart(const TargetEntry& entry) const {
    const auto it = entries_.find(entry.name);
    return it != entries_.end() && entry.started_at != WallTime{} &&
           entry.started_at < it->second.started_at;
  }

  // This start, or a later one of the name, was seen leaving.
  bool HasLeft(const TargetEntry& entry) const {
    const auto it = left_.find(entry.name);
    return it != left_.end() && entry.started_at <= it->second;
  }

  void RememberLeft(const TargetName& name, WallTime started_at) {
    const auto [it, is_new] = left_.try_emplace(name, started_at);
    it->second = std::max(it->second, started_at);
    if (!is_new) return;
    left_order_.push_back(name);
    if (left_order_.size() <= kMostLeft) return;
    left_.erase(left_order_.front());
    left_order_.pop_front();
  }

  std::map<TargetName, TargetEntry> entries_;
  // When the latest start began that was seen leaving; an older entry doesn't
  // bring it back.
  std::map<TargetName, WallTime> left_;
  std::deque<TargetName> left_order_;
  LeavingStarts said_leaving_;
  bool keeps_missing_ = false;
  // Kept in `entries_`, and not listed at present.
  std::set<TargetName> missing_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_TARGET_REGISTRY_H_
