// TargetRegistry: the targets that the platform lists, and which of them are
// leaving.
//
//   TargetRegistry registry;
//   registry.Replace(entries);               // a complete list
//   registry.Put(entry);                     // a new or changed target
//   registry.Remove(name);                   // a target no longer listed
//   for (const auto& [name, entry] : registry.entries()) ...
//
// A target that is leaving or no longer listed gets no new work, except for
// targets that are kept around an outage (below). It keeps serving for a while,
// so its running requests can end. A start of a target (one run of its process)
// that was once seen leaving stays leaving, whatever is listed later; a start
// that merely disappeared from the list may be listed again as ready.
//
// A target may also announce itself that it is leaving, before its entry shows
// it or while entries can't be read:
//
//   registry.MarkLeaving(name, started_at);
//   send(registry.announced_leaving());      // to the peers
//
// A target may start again under its name. Its starts are distinguished by
// their times, and a new start has a new state: an earlier start that left
// doesn't make it leave, and a late entry of an earlier start changes nothing.
// Entries of one name that have no time count as one start.
//
// Around an outage of the platform's store, entries may lapse although their
// targets are alive. So targets that disappear then can be kept for a while:
//
//   registry.KeepMissing();                  // the store doesn't answer
//   registry.StopKeeping();                  // it has answered for a while
//   for (const TargetName& it : registry.DropMissing()) ...   // not relisted
//
// relay/target_follower.h decides when to call these.
//
// The registry owns only the entries and reads no clock. It accepts any entry
// and reports no errors.

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
  // Identifies the start. State that is remembered about a target belongs to
  // one start.
  TargetStart start;
  // Time of the start by the target's clock; 0 if the target doesn't report the
  // time.
  WallTime started_at{};
  ServiceName service;
  // Version of the target's software; empty if the target doesn't report one.
  VersionName version;
  // "host:port".
  std::string address;
  HallName hall;
  // Requests that the target serves at the same time.
  int slots = 1;
  // Whether the target ends soon and takes no new work.
  bool leaving = false;
  // How much longer the target is cold, from the time its entry was written. A
  // cold target is slow and gets fewer requests (dispatch/shared_rate.h).
  Duration cold_for{};

  bool operator==(const TargetEntry&) const = default;
};

// Targets that are leaving, with the time of the start that is leaving.
using LeavingStarts = std::map<TargetName, WallTime>;

// The longest time from the end of a target until routers know that its entry
// has lapsed or was replaced. An entry lapses after three missed writes, which
// is 3.6 s at the deployment's interval of 1.2 s, and routers learn of the
// lapse within 2 s.
inline constexpr Duration kMaxEntryDelay = std::chrono::milliseconds(5600);

class TargetRegistry {
 public:
  // Adds or replaces an entry. `Put`, `Remove` and `Replace` return whether
  // anything changed.
  bool Put(const TargetEntry& entry) {
    if (IsOfEarlierStart(entry)) return false;
    TargetEntry it = entry;
    if (HasLeft(it)) it.leaving = true;
    if (it.leaving) RememberLeft(it.name, it.started_at);
    if (entry.leaving || !it.leaving) {
      announced_leaving_.erase(it.name);
    } else {
      announced_leaving_[it.name] = it.started_at;
    }
    missing_.erase(it.name);
    TargetEntry& current = entries_[it.name];
    if (current == it) return false;
    current = it;
    return true;
  }

  // Marks this start of a target, and earlier ones, as leaving, whatever is
  // listed. Returns whether that changed the listed entry.
  bool MarkLeaving(const TargetName& name, WallTime started_at) {
    RememberLeft(name, started_at);
    const auto it = entries_.find(name);
    if (it == entries_.end()) return false;
    if (it->second.leaving || !HasLeft(it->second)) return false;
    it->second.leaving = true;
    announced_leaving_[name] = it->second.started_at;
    return true;
  }

  // Listed starts that are known to leave although their entries don't show it.
  const LeavingStarts& announced_leaving() const { return announced_leaving_; }

  // Whether `entry` shows another start of a listed target than the listed one,
  // and not an earlier start.
  bool IsNewStart(const TargetEntry& entry) const {
    const auto it = entries_.find(entry.name);
    return it != entries_.end() && it->second.start != entry.start &&
           !IsOfEarlierStart(entry);
  }

  // Removes a target that is no longer listed, or, after `KeepMissing`, keeps
  // it as missing unless it was leaving. Returns whether `entries` changed. The
  // target may be listed again later as ready, unless it was leaving.
  bool Remove(const TargetName& name) {
    const auto it = entries_.find(name);
    if (it == entries_.end()) return false;
    if (keeps_missing_ && !it->second.leaving) {
      missing_.insert(name);
      return false;
    }
    entries_.erase(it);
    announced_leaving_.erase(name);
    return true;
  }

  // From now on, targets that disappear from the list stay in the registry,
  // unless they were leaving.
  void KeepMissing() { keeps_missing_ = true; }

  // From now on, targets that disappear are removed at once. Targets that are
  // missing already stay until `DropMissing`.
  void StopKeeping() { keeps_missing_ = false; }

  // Removes and returns the kept targets that were not listed again.
  std::set<TargetName> DropMissing() {
    for (const TargetName& it : missing_) {
      entries_.erase(it);
      announced_leaving_.erase(it);
    }
    return std::exchange(missing_, {});
  }
  bool HasMissing() const { return !missing_.empty(); }

  // Applies a complete list: targets not in `entries` are no longer listed.
  bool Replace(const std::vector<TargetEntry>& entries) {
    std::set<TargetName> unlisted;
    for (const auto& [name, entry] : entries_) unlisted.insert(name);
    bool changed = false;
    for (const TargetEntry& it : entries) {
      unlisted.erase(it.name);
      changed |= Put(it);
    }
    for (const TargetName& it : unlisted) changed |= Remove(it);
    return changed;
  }

  const std::map<TargetName, TargetEntry>& entries() const { return entries_; }

 private:
  // Maximum number of names in `left_`; beyond it the oldest name is forgotten.
  // Late updates about a target arrive within seconds, so several times the
  // number of targets in a large fleet is enough.
  static constexpr std::size_t kMaxLeft = 8192;

  bool IsOfEarlierStart(const TargetEntry& entry) const {
    const auto it = entries_.find(entry.name);
    return it != entries_.end() && entry.started_at != WallTime{} &&
           entry.started_at < it->second.started_at;
  }

  // Whether the start in `entry`, or a later start of that target, was seen
  // leaving.
  bool HasLeft(const TargetEntry& entry) const {
    const auto it = left_.find(entry.name);
    return it != left_.end() && entry.started_at <= it->second;
  }

  void RememberLeft(const TargetName& name, WallTime started_at) {
    const auto [it, is_new] = left_.try_emplace(name, started_at);
    it->second = std::max(it->second, started_at);
    if (!is_new) return;
    left_order_.push_back(name);
    if (left_order_.size() <= kMaxLeft) return;
    left_.erase(left_order_.front());
    left_order_.pop_front();
  }

  std::map<TargetName, TargetEntry> entries_;
  // For each target, the time of the latest start that was seen leaving. A
  // later listing as ready doesn't make this start ready again.
  std::map<TargetName, WallTime> left_;
  // The names in `left_`, the oldest first.
  std::deque<TargetName> left_order_;
  LeavingStarts announced_leaving_;
  bool keeps_missing_ = false;
  // Targets that are kept in `entries_` but not listed now.
  std::set<TargetName> missing_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_TARGET_REGISTRY_H_
