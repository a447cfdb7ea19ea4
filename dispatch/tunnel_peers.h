// TunnelPeers: which peer carries a request to a target that this router's own
// links don't reach (dispatch/target_reach.h).
//
//   TunnelPeers peers(self, hall);
//   const TunnelPeer* it = peers.Choose(now, candidates, tried);
//   peers.OnStarted(it->member.vm);
//   peers.OnOpened(now, vm);     // or OnFailed(now, vm)
//   peers.OnEnded(vm);           // when the request has left the tunnel
//
// Rule. Peers that say that they don't reach the service, that were tried for
// the request, or that failed a moment ago are left out. Of the others, those
// that are known to carry (linked, or used within `kKnownFor`) come first, as
// an entry in the list of routers may be of a VM that is gone. Peers of a
// version that can't tell the end of an answer come after them. Among equals,
// the one with the fewest tunnels of this router is chosen; being in another
// hall counts as `kOtherHall` tunnels. The order of equals is a rendezvous
// order of this router, so that routers that are cut off together choose
// different peers.
//
// A peer that fails is left out for `kFirstPause`, twice as long with each
// further failure, at most for `kFirstPause` x 2^`kMaxDoublings`.
//
// Owns counts and times for each peer; reads no clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_TUNNEL_PEERS_H_
#define QUAYTRACK_DISPATCH_TUNNEL_PEERS_H_

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet.h"

namespace quaytrack {

// A peer that might carry a request.
struct TunnelPeer {
  FleetMember member;
  bool is_linked = false;
  // The peer says that it doesn't reach the service either.
  bool is_cut_off = false;
};

class TunnelPeers {
 public:
  // A peer that is full or restarting may have room again this soon.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(500);
  static constexpr int kMaxDoublings = 3;
  // Longer than a peer's link takes to count as lost (relay/peer_mesh.h).
  static constexpr Duration kKnownFor = std::chrono::seconds(5);
  // Traffic between halls takes longer and may be charged for, but a few peers
  // of the hall must not carry everything.
  static constexpr int kOtherHall = 4;

  TunnelPeers(VmName self, HallName hall)
      : self_(std::move(self)), hall_(std::move(hall)) {}

  // Returns null if no candidate may carry the request.
  const TunnelPeer* Choose(Instant now,
                           const std::vector<TunnelPeer>& candidates,
                           const std::set<VmName>& tried) const;
  void OnStarted(const VmName& vm) { ++peers_[vm].tunnels; }
  void OnEnded(const VmName& vm);
  // `states_end`: the peer tells how the target's connection ends
  // (http/tunnel.h).
  void OnOpened(Instant now, const VmName& vm, bool states_end = true);
  void OnFailed(Instant now, const VmName& vm);
  // Number of tunnels in use.
  int tunnels() const;

 private:
  struct Record {
    int tunnels = 0;
    int failures = 0;
    Instant paused_until{};
    // When a tunnel last opened.
    Instant opened_at{};
    // Whether the latest tunnel stated the end of the target's connection.
    bool states_end = true;
  };
  // Returns a default record if nothing is known of the peer.
  Record RecordOf(const VmName& vm) const;

  VmName self_;
  HallName hall_;
  std::map<VmName, Record> peers_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TUNNEL_PEERS_H_
