#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "base/cbor.h"
#include "base/digest.h"

namespace quaytrack {
namespace {

// Bounds of a size class that is read; real ones are the logarithms of a VM's
// link and cores.
constexpr std::int64_t kMinSizeClass = -64;
constexpr std::int64_t kMaxSizeClass = 64;

// Orders `members` by their rendezvous weights for `key`, highest first.
void SortByWeight(const std::string& key, std::vector<FleetMember>& members) {
  std::map<VmName, std::uint64_t> weights;
  for (const FleetMember& it : members) {
    weights[it.vm] = RendezvousWeight(it.vm.value, key);
  }
  std::sort(members.begin(), members.end(),
            [&](const FleetMember& a, const FleetMember& b) {
              return weights.at(a.vm) > weights.at(b.vm);
            });
}

std::vector<VmName> NamesOf(const std::vector<FleetMember>& members) {
  std::vector<VmName> out;
  for (const FleetMember& it : members) out.push_back(it.vm);
  return out;
}

// Orders `members` by size class, the largest first, and within a class by
// their rendezvous weights.
void SortBySize(std::vector<FleetMember>& members) {
  SortByWeight("holder", members);
  std::stable_sort(members.begin(), members.end(),
                   [](const FleetMember& a, const FleetMember& b) {
                     return a.size_class > b.size_class;
                   });
}

double Log2OrZero(double amount) { return amount > 0 ? std::log2(amount) : 0; }

}  // namespace

int SizeClass(const VmSize& size) {
  const double both = Log2OrZero(size.link_mbps) + Log2OrZero(size.cores);
  return static_cast<int>(std::floor(both / 2));
}

FleetDirectory::FleetDirectory(FleetMember self, FleetOptions options)
    : self_(self.vm), options_(options) {
  Put({std::move(self)});
}

bool FleetDirectory::Put(const std::vector<FleetMember>& members) {
  bool changed = false;
  for (const FleetMember& it : members) {
    FleetMember& at = members_[it.vm];
    changed |= at != it;
    at = it;
  }
  if (changed) ChooseHolders();
  return changed;
}

void FleetDirectory::ChooseHolders() {
  std::map<HallName, std::vector<FleetMember>> halls;
  for (const auto& [vm, member] : members_) {
    halls[member.hall].push_back(member);
  }
  holders_.clear();
  readers_.clear();
  for (auto& [hall, members] : halls) {
    if (!IsSmall() && members.size() > options_.holders_per_hall) {
      SortBySize(members);
      members.resize(options_.holders_per_hall);
    }
    holders_.insert(holders_.end(), members.begin(), members.end());
    if (!IsSmall()) ChooseReaders(members);
  }
}

// Adds the readers among the holders of a hall.
void FleetDirectory::ChooseReaders(const std::vector<FleetMember>& holders) {
  const auto larger = [](const FleetMember& a, const FleetMember& b) {
    return a.size_class < b.size_class;
  };
  const int largest =
      std::max_element(holders.begin(), holders.end(), larger)->size_class;
  std::vector<VmName> out;
  for (const FleetMember& it : holders) {
    if (it.size_class == largest) out.push_back(it.vm);
  }
  if (out.size() < options_.min_readers_per_hall) out = NamesOf(holders);
  readers_.insert(out.begin(), out.end());
}

bool FleetDirectory::IsHolder(const VmName& vm) const {
  return std::any_of(holders_.begin(), holders_.end(),
                     [&](const FleetMember& it) { return it.vm == vm; });
}

std::vector<FleetMember> FleetDirectory::OtherHolders() const {
  std::vector<FleetMember> out = holders_;
  std::erase_if(out, [&](const FleetMember& it) { return it.vm == self_; });
  return out;
}

std::vector<FleetMember> FleetDirectory::Others() const {
  std::vector<FleetMember> out;
  for (const auto& [vm, member] : members_) {
    if (vm != self_) out.push_back(member);
  }
  return out;
}

std::vector<VmName> FleetDirectory::HoldersFor(
    const CustomerName& customer) const {
  return HoldersInOrderOf(customer.value);
}

std::vector<VmName> FleetDirectory::LinkableHolders() const {
  return NamesOf(OtherHolders());
}

HallName FleetDirectory::HallOf(const VmName& vm) const {
  const auto it = members_.find(vm);
  return it == members_.end() ? HallName() : it->second.hall;
}

std::vector<VmName> FleetDirectory::ReadersToAsk() const {
  std::vector<VmName> out = HoldersInOrderOf(self_.value);
  std::erase_if(out, [&](const VmName& it) { return !IsReader(it); });
  return out;
}

bool FleetDirectory::SendsUpdatesTo(const VmName& vm) const {
  const auto it = members_.find(vm);
  const bool same_hall = it != members_.end() && it->second.hall == self().hall;
  return same_hall || IsReader(vm);
}

std::optional<RendezvousPlace> FleetDirectory::PlaceFor(
    const std::string& key) const {
  if (!is_read_) return std::nullopt;
  const std::uint64_t self_weight = RendezvousWeight(self_.value, key);
  RendezvousPlace out{0, members_.size()};
  for (const auto& [vm, member] : members_) {
    if (RendezvousWeight(vm.value, key) > self_weight) ++out.rank;
  }
  return out;
}

std::vector<VmName> FleetDirectory::HoldersInOrderOf(
    const std::string& key) const {
  std::vector<FleetMember> holders = OtherHolders();
  SortByWeight(key, holders);
  const HallName& hall = self().hall;
  std::stable_partition(holders.begin(), holders.end(),
                        [&](const FleetMember& it) { return it.hall == hall; });
  return NamesOf(holders);
}

std::vector<FleetMember> FleetDirectory::MembersToLink() const {
  std::vector<FleetMember> out = OtherHolders();
  if (IsHolder(self_)) return out;
  const auto same_hall_end = std::stable_partition(
      out.begin(), out.end(),
      [&](const FleetMember& it) { return it.hall == self().hall; });
  std::vector<FleetMember> other_halls(same_hall_end, out.end());
  out.erase(same_hall_end, out.end());
  SortByWeight(self_.value, other_halls);
  other_halls.resize(
      std::min(other_halls.size(), options_.links_to_other_halls));
  out.insert(out.end(), other_halls.begin(), other_halls.end());
  return out;
}

std::string EncodeMember(const FleetMember& member) {
  return ToCbor({{"vm", member.vm.value},
                 {"hall", member.hall.value},
                 {"address", member.address},
                 {"size", member.size_class}});
}

std::optional<FleetMember> DecodeMember(std::string_view bytes) {
  return FromCbor(bytes, [](const nlohmann::json& json) {
    FleetMember out;
    out.vm = VmName(json.at("vm").get<std::string>());
    out.hall = HallName(json.at("hall").get<std::string>());
    out.address = json.at("address").get<std::string>();
    out.size_class = static_cast<int>(std::clamp<std::int64_t>(
        json.value("size", std::int64_t{0}), kMinSizeClass, kMaxSizeClass));
    return out;
  });
}

}  // namespace quaytrack
