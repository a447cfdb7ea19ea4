// ReachDriver finds the way from this router to a target: over its own links,
// or over a tunnel through a peer.
//
//   ReachDriver reach({loop, clock, chart, connections}, self, handlers);
//   const TargetPath path = reach.PathTo(target, residency, tried_peers);
//   if (path.kind == PathKind::kNone) ...     // refuse the request at once
//   reach.OnSent(path, target);
//   reach.OnOpened(path, target);             // a connection was opened
//   reach.OnHeard(path, target);              // part of an answer arrived
//   reach.OnEnded(path);                      // the attempt has ended
//   reach.Check();                            // several times a second
//
// dispatch/target_reach.h decides for each service whether the router's own
// links reach it, and dispatch/tunnel_peers.h which peer carries a request.
// This class opens the probes, knows the peers' reports, and logs changes. If
// the links to one service are lost, it probes the others at once.
//
// Where neither this router nor a peer opens connections to the targets, a
// request is sent only on a kept connection of a service that still answers on
// those; others would wait for nothing.
//
// A request that must not leave some regions is carried only by peers in halls
// of those regions.
//
// For peers, the driver says whether this router carries a tunnel
// (`MayCarry`): only to a target that may get work, over its own links, and
// while there is room.
//
// Owns the state of each service and of each peer. Reports of peers are kept
// until the peer's link is lost. Loop, clock, chart and connections must
// outlive the driver.

#ifndef QUAYTRACK_RELAY_REACH_DRIVER_H_
#define QUAYTRACK_RELAY_REACH_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/residency.h"
#include "dispatch/target_reach.h"
#include "dispatch/tunnel_peers.h"
#include "fleet/hall_regions.h"
#include "fleet/target_registry.h"
#include "http/target_connection.h"
#include "http/tunnel.h"
#include "net/loop.h"
#include "relay/peer_messages.h"

namespace quaytrack {

enum class PathKind {
  kDirect,  // over this router's own links
  kTunnel,  // through a peer
  kNone,    // no connection opens, and no peer carries the request
};

struct TargetPath {
  PathKind kind = PathKind::kDirect;
  ServiceName service;
  // kTunnel: the peer, and its address.
  VmName peer;
  std::string address;

  bool direct() const { return kind == PathKind::kDirect; }
};

class ReachDriver {
 public:
  struct Context {
    Loop& loop;
    const Clock& clock;
    const ReachChart& chart;
    TargetConnections& connections;
  };
  struct Handlers {
    // All other routers on the list of routers.
    std::function<std::vector<FleetMember>()> members;
    // Called after a service's path has changed, and not from inside another
    // call; peers are to be told.
    std::function<void(const ServiceName&, ReachAction)> changed;
    // Called when a probe has opened.
    std::function<void()> links_work;
  };

  // Tunnels that this router carries at once, at most. Each takes two
  // descriptors and up to four times TunnelServer::kMaxBufferedBytes, so all
  // take at most 32 MiB.
  static constexpr std::size_t kMaxCarried = 256;
  // How long a router that refused a request for want of a path reports that it
  // isn't ready: long enough for the balancer's next check, and short, as peers
  // may have room again.
  static constexpr Duration kLacksPathFor = std::chrono::milliseconds(1000);

  // Longest time between two heartbeats of a running peer
  // (PeerMesh::kCheckInterval), with a margin for a busy one.
  static constexpr Duration kPeerAliveFor = std::chrono::milliseconds(1100);

  ReachDriver(const Context& context, const FleetMember& self,
              HallRegions regions, Handlers handlers);

  // Sets the targets that may get work.
  void SetTargets(const std::map<TargetName, TargetEntry>& entries,
                  const std::function<bool(const TargetEntry&)>& may_get_work);

  // `tried` are peers that refused the request.
  TargetPath PathTo(const TargetEntry& target, const Residency& residency,
                    const std::set<VmName>& tried);

  // Events of attempts. `sees_end`: CallHandle::sees_end.
  void OnSent(const TargetPath& path, const TargetName& target);
  void OnOpened(const TargetPath& path, const TargetName& target,
                bool sees_end = true);
  void OnHeard(const TargetPath& path, const TargetName& target);
  // The target couldn't be connected to, by this router or by the peer.
  void OnOpenFailed(const TargetPath& path, const TargetName& target);
  // The connection ended before the answer. Says nothing of a tunnel: see
  // `OnTunnelFailed`.
  void OnBroken(const TargetPath& path, const TargetName& target);
  // The peer couldn't be reached, refused the tunnel, or ended it.
  void OnTunnelFailed(const TargetPath& path);
  void OnEnded(const TargetPath& path);

  // A connection for a tunnel of a peer has opened, or failed to.
  void OnDialed(const std::string& address, bool opened);

  void OnPeer(const PeerMessage& message);
  void OnPeerLost(const Incarnation& peer);
  void Check();

  // Services that this router can't reach over its own links.
  std::set<ServiceName> CutOff() const;
  // Whether this router's own links have carried something after `time`.
  bool HasHeardSince(Instant time) const { return heard_at_ > time; }
  // Whether some answer of the target has arrived after `time`, on any path.
  bool HasHeardFrom(const TargetName& target, Instant time) const;
  bool IsSilent(const ServiceName& service) const;
  // Whether this router's own links to the service are lost.
  bool IsCutOff(const ServiceName& service) const;
  // The same, or they are being probed.
  bool IsInDoubt(const ServiceName& service) const;
  // Whether a probe round is about to tell if the links are lost.
  bool IsBeingProbed(const ServiceName& service) const;
  // Whether the peer of the tunnel was heard from a moment ago, so that a
  // silence is the target's.
  bool IsPeerAlive(const TargetPath& path) const;
  // Probes the targets of the service, to find out whether the links work.
  void RequestProbes(const ServiceName& service);
  // Whether a request that any router may serve was refused a moment ago, as no
  // peer carries it.
  bool LacksPath() const;
  // Whether this router carries a tunnel to the address, if it has room.
  TunnelStatus MayCarry(const std::string& address) const;
  int tunnels() const { return peers_.tunnels(); }

 private:
  struct Service {
    explicit Service(const ReachChart& chart) : reach(chart) {}
    TargetReach reach;
    std::map<TargetName, std::string> addresses;
    std::unique_ptr<Timer> round_timer;
  };
  struct Report {
    Incarnation peer;
    std::set<ServiceName> cut_off;
    Instant heard_at{};
  };

  std::vector<TunnelPeer> PeersFor(const ServiceName& service,
                                   const Residency& residency) const;
  std::size_t UsablePeers(const ServiceName& service) const;
  TargetReach* Find(const ServiceName& service);
  const TargetReach* Find(const ServiceName& service) const;
  TargetPath PathToUnhealthy(const TargetEntry& target) const;
  void CloseIdle(const Service& service);
  void CheckService(const ServiceName& name, Service& service);
  // Probes the services whose links aren't known to be lost.
  void ProbeOthers(const ServiceName& lost);
  void StartProbes(const ServiceName& name, Service& service,
                   const std::vector<TargetName>& targets);
  void OnProbe(const ServiceName& name, const TargetName& target, bool opened);
  void LogChange(const ServiceName& name, const Service& service,
                 ReachAction action) const;

  Context context_;
  FleetMember self_;
  HallRegions regions_;
  Handlers on_;
  std::map<ServiceName, Service> services_;
  TunnelPeers peers_;
  std::map<VmName, Report> reports_;
  // When this router's own links last carried something.
  Instant heard_at_{};
  // When part of an answer last arrived from each listed target, on any path.
  std::map<TargetName, Instant> targets_heard_at_;
  // When a request was last refused for want of a path.
  Instant path_missing_at_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REACH_DRIVER_H_
