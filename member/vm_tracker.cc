#include "member/vm_tracker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quaytrack {

using Json = nlohmann::json;

std::optional<std::vector<VmEntry>> DecodeVmList(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    std::vector<VmEntry> out;
    for (const Json& it : json.at("vms")) {
      const auto state = FromName<VmState>(it.at("state").get<std::string>());
      if (!state) return std::nullopt;
      out.push_back({VmName(it.at("name").get<std::string>()), *state});
    }
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void VmTracker::OnList(Instant now, const std::vector<VmEntry>& list) {
  const bool after_gap = !continuous_since_ || now - last_ > options_.max_gap;
  if (after_gap) {
    continuous_since_ = now;
    absent_since_.clear();
  }
  last_ = now;
  std::map<VmName, VmState> before;
  before.swap(listed_);
  for (const VmEntry& it : list) {
    listed_[it.name] = it.state;
    absent_since_.erase(it.name);
  }
  for (const auto& [vm, state] : before) {
    if (!listed_.contains(vm)) absent_since_.emplace(vm, now);
  }
}

bool VmTracker::Leaving(const VmName& vm) const {
  auto it = listed_.find(vm);
  return it != listed_.end() && it->second == VmState::kLeaving;
}

// Whether there have been lists and the time since the last one isn't a gap.
bool VmTracker::ListsCurrent(Instant now) const {
  return continuous_since_ && now - last_ <= options_.max_gap;
}

bool VmTracker::Dropped(Instant now, const VmName& vm) const {
  auto it = absent_since_.find(vm);
  if (!ListsCurrent(now) || it == absent_since_.end()) return false;
  return last_ - it->second > options_.lag;
}

bool VmTracker::Absent(Instant now, const VmName& vm) const {
  if (!ListsCurrent(now) || listed_.contains(vm)) return false;
  if (absent_since_.contains(vm)) return Dropped(now, vm);
  return last_ - *continuous_since_ > options_.lag;
}

}  // namespace quaytrack
