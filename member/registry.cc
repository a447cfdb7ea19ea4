#include "member/registry.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace quaytrack {

using Json = nlohmann::json;

std::string EncodeRouter(const RouterEntry& entry) {
  return Json{{"incarnation", entry.incarnation.value},
              {"hall", entry.hall.value},
              {"peer", entry.peer_address},
              {"admin", entry.admin_address},
              {"bundle_version", entry.bundle_version}}
      .dump();
}

std::optional<RouterEntry> DecodeRouter(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    RouterEntry out;
    out.incarnation.value = json.at("incarnation").get<std::string>();
    out.hall.value = json.at("hall").get<std::string>();
    out.peer_address = json.at("peer").get<std::string>();
    out.admin_address = json.at("admin").get<std::string>();
    out.bundle_version = json.at("bundle_version").get<std::uint64_t>();
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void RouterRegistry::Reset(const std::vector<RouterEntry>& entries) {
  entries_.clear();
  for (const RouterEntry& it : entries) Put(it);
}

void RouterRegistry::Put(const RouterEntry& entry) {
  entries_[entry.incarnation] = entry;
  RouterEntry& latest = latest_[VmOf(entry.incarnation)];
  if (entry.created >= latest.created) latest = entry;
}

void RouterRegistry::Remove(const Incarnation& incarnation) {
  entries_.erase(incarnation);
}

bool RouterRegistry::ProvenDead(Instant now, const Incarnation& incarnation,
                                std::int64_t created,
                                const VmTracker& vms) const {
  const VmName vm = VmOf(incarnation);
  if (vms.Dropped(now, vm)) return true;
  if (entries_.contains(incarnation)) return false;
  if (vms.Absent(now, vm)) return true;
  auto latest = latest_.find(vm);
  if (latest == latest_.end() || created == 0) return false;
  return latest->second.incarnation != incarnation &&
         latest->second.created > created;
}

Incarnation RouterRegistry::WitnessFor(const RouterEntry& self,
                                       const Incarnation& avoid) const {
  Incarnation best;
  bool best_in_other_hall = false;
  std::uint64_t best_score = 0;
  for (const auto& [name, it] : entries_) {
    if (VmOf(name) == VmOf(self.incarnation) || name == avoid) continue;
    const bool in_other_hall = it.hall != self.hall;
    const std::uint64_t score =
        StableHash(self.incarnation.value + "|" + name.value);
    const bool better =
        best.empty() || (in_other_hall && !best_in_other_hall) ||
        (in_other_hall == best_in_other_hall && score > best_score);
    if (!better) continue;
    best = name;
    best_in_other_hall = in_other_hall;
    best_score = score;
  }
  return best;
}

}  // namespace quaytrack
