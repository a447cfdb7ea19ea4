// FleetDirectory: the routers of the fleet, and which of them hold budgets.
//
//   FleetDirectory fleet({vm, hall, address}, FleetOptions());
//   fleet.Put(members);                      // new or changed routers
//   if (fleet.IsHolder(vm)) ...              // has grants from the budgets
//   for (const VmName& it : fleet.HoldersFor(customer)) ...   // to ask
//   for (const auto& it : fleet.MembersToLink()) ...          // to connect to
//
// Choice of holders. The input is the list of routers, with the hall of each.
// In a fleet of up to `FleetOptions::small_fleet` routers all are holders; in a
// larger fleet, `holders_per_hall` routers of each hall are holders: those on
// the largest VMs (below), and among equal VMs the first by rendezvous hashing
// (Thaler and Ravishankar 1998), so that routers choose alike without an
// election. The other routers ask a holder for each request, which within a
// hall costs less than a millisecond.
//
// Holders are few because a router's grant is unavailable to the others until
// it is returned, because the prepaid record grows with each router that has
// grants, and because each write of the record makes all concurrent writes
// fail.
//
// Size of a VM. Each holder serves an equal share of its hall's customers and
// communicates with each router of the hall, whatever its size, so the largest
// VMs carry this load best. VMs are compared by size class (`SizeClass`), and a
// hash decides among VMs of one class. A hall that has fewer large VMs than
// holders also takes smaller ones. A VM that is gone stays in the list, so the
// roles of the others don't change.
//
// Readers. In a larger fleet the holders also read the store for all routers
// (relay/state_feed.h), since they are linked to the routers that need the
// updates. Of a hall's holders only those on its largest VMs do, if these are
// at least `FleetOptions::min_readers_per_hall`: a change may be as large as a
// small VM's link carries in a second, and a reader sends it to its whole hall.
// In a small fleet each router reads the store for itself, so there are no
// readers.
//
// A router that has not read the list must not become a holder. It would take
// its fleet for a small one; when all routers of a large fleet restart under
// traffic, each of them would join the record. With 295 members the record is
// 20 times as large, and nearly every write of it conflicts with another.
//
// Lists that differ between routers for a while do no harm: the members of the
// record are the holders, and a router that is asked but isn't a holder replies
// that it isn't.
//
// Links. Holders link to all other holders, as they transfer grants among
// themselves. Any other router links to the holders of its hall and to
// `links_to_other_halls` more, so that the number of links doesn't grow with
// the fleet.
//
// There are two lists of routers. FleetDirectory belongs to `quaytrack relay`:
// it gives the routers to ask and to connect to, so it may be outdated, and it
// doesn't prove that a router is dead; the hello of a later incarnation does
// (relay/peer_mesh.h). RouterRegistry (member/registry.h) belongs to `quaytrack
// router`: it holds leases of incarnations and decides, with the VM list,
// whether one is dead for good, so that its grants may be recovered.
//
// The directory owns only the list; relay/fleet_driver.h fills it. It accepts
// any list and reports no errors.

#ifndef QUAYTRACK_FLEET_FLEET_H_
#define QUAYTRACK_FLEET_FLEET_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace quaytrack {

// A router as others see it.
struct FleetMember {
  VmName vm;
  HallName hall;
  // The address for its peers, "host:port".
  std::string address;
  // The VM's `SizeClass`.
  int size_class = 0;

  bool operator==(const FleetMember&) const = default;
};

// The resources of a VM; 0 where unknown.
struct VmSize {
  double link_mbps = 0;
  // Number of processor cores; may be a fraction.
  double cores = 0;
};

// A VM's size on a logarithmic scale: the mean of the binary logarithms of
// `link_mbps` and `cores`, rounded down. A holder's work needs processor time
// and link about equally, and neither makes up for a lack of the other.
int SizeClass(const VmSize& size);

// A router's place in an order of all routers on the list.
struct RendezvousPlace {
  // Number of routers before this one.
  std::size_t rank = 0;
  // Number of routers on the list.
  std::size_t routers = 1;
};

struct FleetOptions {
  // Number of routers up to which every router is a holder.
  std::size_t small_fleet = 12;
  // Holders of each hall in a larger fleet: enough that the loss of one leaves
  // the others room for its work.
  std::size_t holders_per_hall = 3;
  // Readers of a hall that are enough without VMs of a lower size class.
  std::size_t min_readers_per_hall = 2;
  // Holders in other halls to which a router that isn't a holder keeps links.
  // Such a router asks them when it can reach no holder of its hall.
  std::size_t links_to_other_halls = 2;
};

class FleetDirectory {
 public:
  FleetDirectory(FleetMember self, FleetOptions options);

  // Adds or replaces members; returns whether anything changed.
  bool Put(const std::vector<FleetMember>& members);

  // Records that the list was read at least once. Before that, this router
  // knows only itself and can't distinguish a small fleet from a large one.
  void MarkRead() { is_read_ = true; }
  bool IsRead() const { return is_read_; }

  bool IsHolder(const VmName& vm) const;
  // Holders in the order in which this router asks them: those of its hall come
  // first, and the order for one customer is always the same.
  std::vector<VmName> HoldersFor(const CustomerName& customer) const;
  // The routers to which this router keeps links.
  std::vector<FleetMember> MembersToLink() const;
  // Whether the router reads the store for other routers.
  bool IsReader(const VmName& vm) const { return readers_.contains(vm); }
  std::size_t readers() const { return readers_.size(); }
  // All holders but this router.
  std::vector<VmName> LinkableHolders() const;
  // The hall of a router on the list; empty if it isn't.
  HallName HallOf(const VmName& vm) const;
  // Readers in the order in which this router asks them: those of its hall come
  // first. The order differs between the routers of a hall.
  std::vector<VmName> ReadersToAsk() const;
  // Whether this router, if it is a reader, sends what it reads to `vm`. A
  // reader sends to all routers of its hall, and to the other readers, which
  // send to the routers of their halls.
  bool SendsUpdatesTo(const VmName& vm) const;
  // This router's place in the rendezvous order of `key`; std::nullopt before
  // the list was read.
  std::optional<RendezvousPlace> PlaceFor(const std::string& key) const;
  // All routers but this one.
  std::vector<FleetMember> Others() const;
  // Number of routers, including this one.
  std::size_t size() const { return members_.size(); }
  const FleetMember& self() const { return members_.at(self_); }
  // Whether all routers are holders, and so linked to each other.
  bool IsSmall() const { return members_.size() <= options_.small_fleet; }

 private:
  void ChooseHolders();
  std::vector<FleetMember> OtherHolders() const;
  void ChooseReaders(const std::vector<FleetMember>& holders);
  // All holders but this router: those of its hall come first, and both groups
  // are ordered by their rendezvous weights for `key`.
  std::vector<VmName> HoldersInOrderOf(const std::string& key) const;

  VmName self_;
  FleetOptions options_;
  bool is_read_ = false;
  std::map<VmName, FleetMember> members_;
  // The holders of all halls. Cached, as each request needs them.
  std::vector<FleetMember> holders_;
  std::set<VmName> readers_;
};

// Returns a router's entry in the store, as CBOR.
std::string EncodeMember(const FleetMember& member);
// Returns std::nullopt if `bytes` isn't an entry.
std::optional<FleetMember> DecodeMember(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_FLEET_H_
