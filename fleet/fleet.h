// FleetDirectory: the routers there are, and which of them keep budgets.
//
//   FleetDirectory fleet({vm, hall, address}, FleetOptions());
//   fleet.Put(members);                      // those that are heard of
//   if (fleet.IsHolder(vm)) ...              // takes part in the record
//   for (const VmName& it : fleet.HoldersFor(customer)) ...   // whom to ask
//   for (const auto& it : fleet.Linked()) ...                 // whom to dial
//
// Why not every router. What a router keeps of a budget is lost to the others
// until it is given back, the record grows by each that keeps something, and
// each write of the record is refused to all who write beside it. In a run with
// 86 routers the record alone took 8.8 store calls a second of each
// (docs/design/prepaid.md). So in a large fleet only a few routers of each hall
// keep budgets; the others ask them for each request, which within a hall costs
// less than a millisecond.
//
// Who keeps budgets follows from the list of routers alone, by rendezvous
// hashing (Thaler and Ravishankar 1998), so that nobody has to be appointed.
// Lists that differ do no harm: a holder is whoever takes part in the record,
// and one that doesn't says so.

#ifndef QUAYTRACK_FLEET_FLEET_H_
#define QUAYTRACK_FLEET_FLEET_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace quaytrack {

// A router as others see it.
struct FleetMember {
  VmName vm;
  HallName hall;
  // Where its peers reach it, "host:port".
  std::string address;

  bool operator==(const FleetMember&) const = default;
};

struct FleetOptions {
  // Up to so many routers, each keeps a part of the budgets itself.
  std::size_t small_fleet = 12;
  // Beyond that, so many of each hall do.
  std::size_t holders_per_hall = 3;
  // Holders of other halls that a router which isn't one keeps links to.
  std::size_t links_elsewhere = 2;
};

class FleetDirectory {
 public:
  FleetDirectory(FleetMember self, FleetOptions options);

  // Adds or replaces members; returns whether anything changed.
  bool Put(const std::vector<FleetMember>& members);

  bool IsHolder(const VmName& vm) const;
  // Holders in the order in which this router asks them: those of its own hall
  // first, and for one customer always the same first.
  std::vector<VmName> HoldersFor(const CustomerName& customer) const;
  // Those that this router keeps links to.
  std::vector<FleetMember> Linked() const;
  std::size_t size() const { return members_.size(); }
  const FleetMember& self() const { return members_.at(self_); }

 private:
  bool IsSmall() const { return members_.size() <= options_.small_fleet; }
  void ChooseHolders();
  std::vector<FleetMember> OtherHolders() const;

  VmName self_;
  FleetOptions options_;
  std::map<VmName, FleetMember> members_;
  // Of all halls; asked for with each request, so they are kept.
  std::vector<FleetMember> holders_;
};

// CBOR, as a router's entry in the store.
std::string EncodeMember(const FleetMember& member);
// Empty when `bytes` isn't an entry.
std::optional<FleetMember> DecodeMember(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_FLEET_H_
