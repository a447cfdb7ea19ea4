// FleetDirectory: the routers there are, and which of them keep budgets.
//
//   FleetDirectory fleet({vm, hall, address}, FleetOptions());
//   fleet.Put(members);                      // those that are heard of
//   if (fleet.IsHolder(vm)) ...              // keeps a part of the budgets
//   for (const VmName& it : fleet.HoldersFor(customer)) ...   // whom to ask
//   for (const auto& it : fleet.MembersToLink()) ...          // whom to dial
//
// Who keeps budgets. Input: the list of routers, with the hall of each. In a
// fleet of up to `FleetOptions::small_fleet` routers all do; in a larger one
// `holders_per_hall` of each hall do, the first by rendezvous hashing (Thaler
// and Ravishankar 1998), so that nobody has to be appointed. The others ask a
// holder for each request, which within a hall costs less than a millisecond.
//
// The reason is that what a router keeps of a budget is lost to the others
// until it is given back, that the prepaid record grows by each router that
// keeps something, and that each write of the record is refused to all who
// write beside it. In a run with 86 routers the record alone took 8.8 store
// calls a second of each (docs/design/prepaid.md).
//
// Lists that differ between routers for a while do no harm: a holder is whoever
// takes part in the record, and a router that is asked and doesn't says so.
//
// Whom to link to. Holders link to all other holders, as they move budgets
// between them. Any other router links to the holders of its own hall and to
// `links_to_other_halls` more, so that links don't grow with the fleet.
//
// Why there are two lists of routers. This one belongs to `quaytrack relay`: it
// says whom to ask and whom to dial, so it may be old, and nothing is taken
// from it about who is dead; a later incarnation's hello proves that
// (relay/peer_mesh.h). RouterRegistry (member/registry.h) belongs to
// `quaytrack router`: it holds leases of incarnations and decides, with the VM
// list, whether one is dead for good, so that its grants may be recovered.
//
// The directory owns the list and nothing else; relay/fleet_driver.h fills it.
// It takes any list and reports no errors.

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
  // Routers, up to which each keeps a part of the budgets itself. Commit
  // e7705ae; not compared with other values.
  std::size_t small_fleet = 12;
  // Holders of each hall in a larger fleet. One trial each with 86 routers: two
  // gave worth 0.132; three gave 0.195, and 0.346 after other changes
  // (docs/design/prepaid.md).
  std::size_t holders_per_hall = 3;
  // Holders of other halls that a router which isn't one keeps links to, to ask
  // when it reaches none of its own hall. Not measured.
  std::size_t links_to_other_halls = 2;
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
  // Those to whom this router keeps links.
  std::vector<FleetMember> MembersToLink() const;
  // With this router itself.
  std::size_t size() const { return members_.size(); }
  const FleetMember& self() const { return members_.at(self_); }
  // All routers are linked to all.
  bool IsSmall() const { return members_.size() <= options_.small_fleet; }

 private:
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
