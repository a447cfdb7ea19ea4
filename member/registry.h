// The routers that are registered in the key-value service.
//
// Each incarnation registers under a key with a lease. `RouterRegistry` holds
// what is known of them from reads and watches, and combines it with the VM
// list into the one question that matters: is this incarnation dead for good?

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
  // Revision at which the key was created: orders incarnations of one VM.
  std::int64_t created = 0;
};

std::string EncodeRouter(const RouterEntry& entry);
std::optional<RouterEntry> DecodeRouter(std::string_view text);

class RouterRegistry {
 public:
  // Replaces everything after a full read.
  void Reset(const std::vector<RouterEntry>& entries);
  void Put(const RouterEntry& entry);
  void Remove(const Incarnation& incarnation);

  const std::map<Incarnation, RouterEntry>& entries() const { return entries_; }

  // Proof of death: the VM list has dropped the VM for longer than its lag, or
  // a later incarnation of the same VM has registered. `created` is the
  // revision at which `incarnation` itself registered. One VM runs one router,
  // so a later registration means that the earlier process has ended.
  bool ProvenDead(Instant now, const Incarnation& incarnation,
                  std::int64_t created, const VmTracker& vms) const;

  // The registered peer that should keep copies of `self`'s unwritten bills:
  // by rendezvous hash among other halls' routers, else among all others.
  // Empty if there is none. `avoid` is not chosen.
  Incarnation WitnessFor(const RouterEntry& self,
                         const Incarnation& avoid) const;

 private:
  std::map<Incarnation, RouterEntry> entries_;
  // The latest registration ever seen on each VM. Its incarnation matters: a
  // router whose lease lapsed registers again, later, and is no successor of
  // itself.
  std::map<VmName, RouterEntry> latest_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_MEMBER_REGISTRY_H_
