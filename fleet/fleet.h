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
// `holders_per_hall` of each hall do: those on the largest VMs (below), and
// among equal ones the first by rendezvous hashing (Thaler and Ravishankar
// 1998), so that nobody has to be appointed. The others ask a holder for each
// request, which within a hall costs less than a millisecond.
//
// The reason is that what a router keeps of a budget is lost to the others
// until it is given back, that the prepaid record grows by each router that
// keeps something, and that each write of the record is refused to all who
// write beside it. In a run with 86 routers the record alone took 8.8 store
// calls a second of each (docs/design/prepaid.md).
//
// Size of a VM. Each holder serves an equal part of its hall's customers and
// talks to each router of the hall, whatever its own size, so it is the largest
// VMs that notice it least. Sizes count by doublings (`SizeClass`), and a hash
// decides among VMs of one class: in a fleet of equal VMs it alone does. With
// 295 routers, five halls and three VMs of ten times the link in each, taking
// these refused 0.080 of a day's requests where any three refused 0.101 (one
// play each). A hall that has fewer large VMs than holders fills up with
// others. A VM that is gone keeps its place (as its entry stays), so the roles
// of the others don't move.
//
// Readers. In a larger fleet the holders are also those that read the store for
// all (relay/state_feed.h), since they are linked to whom they have to tell. In
// a small one each router reads for itself, so there are none.
//
// A router that has not read the list keeps no budgets. It would take its fleet
// for a small one, and when all of a large fleet start again under traffic,
// each of them would take part in the record: with 295 members it is 20 times
// as large, and nearly each write of it meets another's.
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
  // Of its VM; larger is larger.
  int size_class = 0;

  bool operator==(const FleetMember&) const = default;
};

// What a VM has; 0 where it isn't known.
struct VmSize {
  double link_mbps = 0;
  // Of a processor.
  double cores = 0;
};

// Counts doublings of what a VM has, of each of both by half: what holders do
// takes processor time and link in about equal parts, and neither makes up for
// a lack of the other.
int SizeClass(const VmSize& size);

// A router's place in an order of all on the list.
struct RendezvousPlace {
  // Routers before it.
  std::size_t rank = 0;
  // On the list.
  std::size_t routers = 1;
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

  // The list was read at least once: before, this router knows only itself and
  // can't tell a small fleet from a large one.
  void MarkRead() { is_read_ = true; }
  bool IsRead() const { return is_read_; }

  bool IsHolder(const VmName& vm) const;
  // Holders in the order in which this router asks them: those of its own hall
  // first, and for one customer always the same first.
  std::vector<VmName> HoldersFor(const CustomerName& customer) const;
  // Those to whom this router keeps links.
  std::vector<FleetMember> MembersToLink() const;
  // Whether the router reads the store for others.
  bool IsReader(const VmName& vm) const { return !IsSmall() && IsHolder(vm); }
  std::size_t readers() const { return IsSmall() ? 0 : holders_.size(); }
  // Readers in the order in which this router asks them, its own hall's first;
  // another router of the hall has another order.
  std::vector<VmName> ReadersToAsk() const;
  // Whether this router, as a reader, tells that one what it reads: all of its
  // hall, and the other readers, who tell theirs.
  bool IsTold(const VmName& vm) const;
  // Where this router stands in the rendezvous order of `key`; nothing before
  // the list was read.
  std::optional<RendezvousPlace> PlaceFor(const std::string& key) const;
  // With this router itself.
  std::size_t size() const { return members_.size(); }
  const FleetMember& self() const { return members_.at(self_); }
  // All routers are linked to all.
  bool IsSmall() const { return members_.size() <= options_.small_fleet; }

 private:
  void ChooseHolders();
  std::vector<FleetMember> OtherHolders() const;
  // All but this router: its own hall's first, each part by their weights.
  std::vector<VmName> HoldersInOrderOf(const std::string& key) const;

  VmName self_;
  FleetOptions options_;
  bool is_read_ = false;
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
