// The targets as the platform lists them: which there are, and which leave.
//
//   registry.Replace(entries);          // a whole list
//   registry.Put(entry); registry.Remove(name);
//
// A target that is leaving, or is no longer listed, gets no new work at once.
// Its running requests end by themselves: it serves on for a while. A start of
// a target is a new name, so an entry never comes back from leaving; one that
// was only lost sight of may be listed again.
//
// While the platform's store is away, entries may lapse although their targets
// live; these are back soon after the store is. So what vanishes around an
// outage stays for a while:
//
//   registry.Hold();                    // the store is lost
//   registry.Release();                 // it has been back for a while
//   for (const TargetName& it : registry.DropMissing()) ...   // gone after all

#ifndef QUAYTRACK_FLEET_TARGET_REGISTRY_H_
#define QUAYTRACK_FLEET_TARGET_REGISTRY_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace quaytrack {

struct TargetEntry {
  // One run of the target's program.
  TargetName name;
  ServiceName service;
  // "host:port".
  std::string address;
  HallName hall;
  int slots = 1;
  bool leaving = false;

  bool operator==(const TargetEntry&) const = default;
};

class TargetRegistry {
 public:
  // Each returns whether anything changed.
  bool Put(const TargetEntry& entry) {
    TargetEntry it = entry;
    if (left_.contains(it.name)) it.leaving = true;
    if (it.leaving) left_.insert(it.name);
    missing_.erase(it.name);
    TargetEntry& at = entries_[it.name];
    if (at == it) return false;
    at = it;
    return true;
  }

  // A target that the platform has lost sight of may be listed again later.
  bool Remove(const TargetName& name) {
    const auto it = entries_.find(name);
    if (it == entries_.end()) return false;
    if (holding_ && !it->second.leaving) {
      missing_.insert(name);
      return false;
    }
    entries_.erase(it);
    return true;
  }

  // From now on, a target that vanishes stays, unless it was leaving.
  void Hold() { holding_ = true; }

  // From now on, what vanishes has gone.
  void Release() { holding_ = false; }

  // Removes what has vanished and was not listed again, and returns it.
  std::set<TargetName> DropMissing() {
    for (const TargetName& it : missing_) entries_.erase(it);
    return std::exchange(missing_, {});
  }
  bool AnyMissing() const { return !missing_.empty(); }

  // What is not in `entries` has gone.
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
  std::map<TargetName, TargetEntry> entries_;
  // Names that were seen leaving; an older entry doesn't bring them back.
  std::set<TargetName> left_;
  bool holding_ = false;
  // Held, and not listed at present.
  std::set<TargetName> missing_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_TARGET_REGISTRY_H_
