#include "member/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// Orders `members` by a hash of their names and `salt`, highest first.
void SortByWeight(const std::string& salt, std::vector<FleetMember>& members) {
  const auto weight = [&](const FleetMember& it) {
    return StableHash(it.vm.value + "/" + salt);
  };
  std::sort(members.begin(), members.end(),
            [&](const FleetMember& a, const FleetMember& b) {
              return weight(a) > weight(b);
            });
}

std::vector<VmName> NamesOf(const std::vector<FleetMember>& members) {
  std::vector<VmName> out;
  for (const FleetMember& it : members) out.push_back(it.vm);
  return out;
}

}  // namespace

FleetDirectory::FleetDirectory(FleetMember self, FleetOptions options)
    : self_(self.vm), options_(options) {
  members_[self_] = std::move(self);
}

bool FleetDirectory::Put(const FleetMember& member) {
  FleetMember& at = members_[member.vm];
  if (at == member) return false;
  at = member;
  return true;
}

std::vector<FleetMember> FleetDirectory::Holders() const {
  std::map<HallName, std::vector<FleetMember>> halls;
  for (const auto& [vm, member] : members_)
    halls[member.hall].push_back(member);
  std::vector<FleetMember> out;
  for (auto& [hall, members] : halls) {
    if (!IsSmall() && members.size() > options_.holders_per_hall) {
      SortByWeight("holder", members);
      members.resize(options_.holders_per_hall);
    }
    out.insert(out.end(), members.begin(), members.end());
  }
  return out;
}

bool FleetDirectory::IsHolder(const VmName& vm) const {
  const std::vector<FleetMember> holders = Holders();
  return std::any_of(holders.begin(), holders.end(),
                     [&](const FleetMember& it) { return it.vm == vm; });
}

std::vector<VmName> FleetDirectory::HoldersFor(
    const CustomerName& customer) const {
  std::vector<FleetMember> holders = Holders();
  std::erase_if(holders, [&](const FleetMember& it) { return it.vm == self_; });
  SortByWeight(customer.value, holders);
  const HallName& hall = self().hall;
  std::stable_partition(holders.begin(), holders.end(),
                        [&](const FleetMember& it) { return it.hall == hall; });
  return NamesOf(holders);
}

std::vector<FleetMember> FleetDirectory::Linked() const {
  std::vector<FleetMember> out = Holders();
  std::erase_if(out, [&](const FleetMember& it) { return it.vm == self_; });
  if (IsSmall() || IsHolder(self_)) return out;
  const auto elsewhere = std::stable_partition(
      out.begin(), out.end(),
      [&](const FleetMember& it) { return it.hall == self().hall; });
  std::vector<FleetMember> others(elsewhere, out.end());
  out.erase(elsewhere, out.end());
  SortByWeight(self_.value, others);
  others.resize(std::min(others.size(), options_.links_elsewhere));
  out.insert(out.end(), others.begin(), others.end());
  return out;
}

std::string EncodeMember(const FleetMember& member) {
  const auto bytes = Json::to_cbor(Json{{"vm", member.vm.value},
                                        {"hall", member.hall.value},
                                        {"address", member.address}});
  return {bytes.begin(), bytes.end()};
}

std::optional<FleetMember> DecodeMember(std::string_view bytes) {
  const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!json.is_object()) return std::nullopt;
  try {
    FleetMember out;
    out.vm = VmName(json.at("vm").get<std::string>());
    out.hall = HallName(json.at("hall").get<std::string>());
    out.address = json.at("address").get<std::string>();
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quaytrack
