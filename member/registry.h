// The routers that are registered in the key-value service.
//
// Each incarnation (one run of a router process) registers under a key with a
// lease. `RouterRegistry` contains the entries from reads and watches, and
// decides from them and from the VM list (member/vm_tracker.h) whether an
// incarnation is proven dead. It also chooses the witness of a router
// (ledger/witness.h).

#ifndef QUAYTRACK_MEMBER_REGISTRY_H_
#define QUAYTRACK_MEMBER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "member/vm_tracker.h"

namespace quaytrack {

struct RouterEntry {
  Incarnation incarnation;
  HallName hall;
  std::string peer_address;
  std::string admin_address;
  std::uint64_t bundle_version = 0;
  // Revision at which the registration key was created; orders the incarnations
  // of one VM.
  std::int64_t created = 0;
};

std::string EncodeRouter(const RouterEntry& entry);
std::optional<RouterEntry> DecodeRouter(std::string_view text);

class RouterRegistry {
 public:
  // Replaces all entries after a full read.
  void Reset(const std::vector<RouterEntry>& entries);
  void Put(const RouterEntry& entry);
  void Remove(const Incarnation& incarnation);

  const std::map<Incarnation, RouterEntry>& entries() const { return entries_; }

  // Whether `incarnation` is proven dead: the VM list has lacked its VM for
  // longer than the list's lag, or a later incarnation of the same VM has
  // registered. `created` is the revision at which `incarnation` registered.
  // One VM runs one router, so a later registration means that the earlier
  // process has ended.
  bool ProvenDead(Instant now, const Incarnation& incarnation,
                  std::int64_t created, const VmTracker& vms) const;

  // Returns the registered peer that should keep copies of `self`'s unwritten
  // bills, by rendezvous hash: a peer in another hall if there is one, else a
  // peer on another VM. Returns an empty name if there is none. `avoid` is not
  // chosen.
  Incarnation WitnessFor(const RouterEntry& self,
                         const Incarnation& avoid) const;

 private:
  std::map<Incarnation, RouterEntry> entries_;
  // The latest registration ever seen on each VM. `ProvenDead` compares the
  // incarnation too: a router whose lease lapsed registers again at a later
  // revision, which doesn't prove it dead.
  std::map<VmName, RouterEntry> latest_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_MEMBER_REGISTRY_H_
