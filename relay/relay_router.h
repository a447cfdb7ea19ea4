// RelayRouter wires the parts of `quaytrack relay` together. Every VM runs one,
// and all are alike.
//
//   RelayRouter router(loop, clock, settings, {callers, targets, state},
//                      connections, store, charts);
//   if (!router.Listen()) return kExitRefused;
//   router.Start();
//   loop.Run();                   // until a planned stop is over
//
// The parts and what they decide:
//
//   a request              relay/relayed_request.h
//   its target             dispatch/placement.h
//   budgets                relay/budget_driver.h, prepaid/prepaid_ledger.h
//   the configuration      relay/config_follower.h
//   the list of targets    relay/target_follower.h
//   what crashes targets   relay/crash_watch.h, dispatch/crash_blame.h
//   a service's versions   relay/rollout_driver.h, rollout/rollout.h
//   a stream's version     relay/version_lookup.h, relay/stream_versions.h
//   the list of routers    relay/fleet_driver.h, fleet/fleet.h
//   links to other routers relay/peer_mesh.h
//   the way to the targets relay/reach_driver.h, dispatch/target_reach.h
//   the VM's network link  relay/link_monitor.h, dispatch/link_watch.h
//   a planned stop         relay/planned_stop.h
//
// This class itself decides only readiness, which the balancer polls. A router
// is ready if it has a configuration, no planned stop has started, its network
// link is not busy, and it refuses nobody for want of a peer: one that carries
// requests to targets which its own links don't reach, or one that keeps
// budgets, if it keeps none. Losing the store or the peers doesn't make a
// router unready that still serves requests, be it with what it has of the
// budgets: otherwise callers would lose all routers at once.
//
// RelayRouter owns all of the parts above. Interface, connections, store,
// charts and loop must outlive it.

#ifndef QUAYTRACK_RELAY_RELAY_ROUTER_H_
#define QUAYTRACK_RELAY_RELAY_ROUTER_H_

#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "chart/drain_chart.h"
#include "http/caller_server.h"
#include "http/target_connection.h"
#include "http/tunnel_server.h"
#include "net/loop.h"
#include "relay/accept_gate.h"
#include "relay/budget_driver.h"
#include "relay/config_follower.h"
#include "relay/crash_watch.h"
#include "relay/fleet_driver.h"
#include "relay/link_monitor.h"
#include "relay/peer_mesh.h"
#include "relay/planned_stop.h"
#include "relay/reach_driver.h"
#include "relay/relay_chart.h"
#include "relay/relay_context.h"
#include "relay/relay_metrics.h"
#include "relay/relay_settings.h"
#include "relay/retry.h"
#include "relay/rollout_driver.h"
#include "relay/run_stopper.h"
#include "relay/running_requests.h"
#include "relay/target_follower.h"
#include "relay/version_lookup.h"

namespace quaytrack {

// The parts that differ between interfaces; they must outlive the router.
struct RelayInterface {
  const CallerDialect& callers;
  const TargetDialect& targets;
  const SharedStateReader& state;
};

class RelayRouter {
 public:
  RelayRouter(Loop& loop, const Clock& clock, const RelaySettings& settings,
              const RelayInterface& interface, TargetConnections& connections,
              KvStore& store, const RelayCharts& charts);

  // Binds the addresses; returns false, and logs the setting, if one can't be
  // bound.
  bool Listen();
  void Start();
  // Starts a planned stop; `Loop::Run` returns when it is over.
  void StartPlannedStop() { stop_.Start(); }

 private:
  BudgetDriver::Handlers BudgetHandlers();
  FeedLinks LinksOfFeeds();
  Incarnation CheckingPeer() const;
  std::vector<Incarnation> LinkedReaders() const;
  ConfigFollower::Handlers ConfigHandlers();
  TargetFollower::Handlers TargetHandlers();
  CrashWatch::Handlers CrashHandlers();
  RolloutDriver::Handlers RolloutHandlers();
  RolloutContext SceneOfRollouts() const;
  VersionLookup::Handlers VersionHandlers();
  // Holders of budgets, by their halls.
  enum class HolderSet { kAll, kOwnHall, kOtherHalls };
  std::vector<Incarnation> LinkedHolders(HolderSet set) const;
  ReachDriver::Handlers ReachHandlers();
  TunnelStatus MayCarry(const std::string& address) const;
  void UpdateReachableTargets();
  void OnReachChanged(const ServiceName& service, ReachAction action);
  std::array<StateFeed*, 3> Feeds();
  PeerMesh::Handlers PeerHandlers();
  PlannedStop::Handlers StopHandlers();
  void ServeCallers();
  bool IsReady() const;
  // Whether requests are refused for want of a peer that another router may
  // find.
  bool LacksPeer() const;
  // Sends `message` with this router as its sender.
  void SendTo(const Incarnation& peer, PeerMessage message);
  void Broadcast(PeerMessage message);
  void OnStoreReachable(bool reachable);
  void OnStoreEra();
  void OnFleetChanged();
  void SetFeedRoles();
  void OnConfigAdopted();
  void OnPeerMessage(const PeerMessage& message);
  void BroadcastPrompt(const SentPrompt& sent);
  void CheckRouterCount(const PeerMessage& message);
  void OnTargetLeaving(const TargetEntry& target);
  void CheckStoreEra(const PeerMessage& message);
  void ApplyRateLimits(const PeerMessage& message);
  void BroadcastRateLimits();
  void FillHeartbeat(PeerMessage& message);
  void FillMarks(PeerMessage& message);
  void AnswerAdmin(const std::shared_ptr<CallerConnection>& caller,
                   const CallerRequest& request);
  void AnswerMetrics(const std::shared_ptr<CallerConnection>& caller);
  void CheckLink();
  void CheckDelay();
  void LogShedCallers();
  void LogColdTargets();

  Loop& loop_;
  const Clock& clock_;
  RelaySettings settings_;
  Incarnation self_;
  TargetConnections& connections_;
  KvStore& store_;
  Placement placement_;
  ReachDriver reach_;
  TunnelServer tunnels_;
  RelayMetrics metrics_;
  FleetDriver fleet_;
  BudgetDriver budgets_;
  ConfigFollower configs_;
  TargetFollower targets_;
  CrashWatch crashes_;
  RolloutDriver rollouts_;
  VersionLookup versions_;
  RunStopper run_stops_;
  PeerMesh peers_;
  RetryShares retries_;
  RunningRequests requests_;
  // Chooses among the services of a route.
  std::minstd_rand random_{std::random_device{}()};
  const RelayContext context_;
  CallerServer caller_server_;
  CallerServer admin_server_;
  CallerServer metrics_server_;
  PlannedStop stop_;
  LinkMonitor link_;
  AcceptGate accept_gate_;
  std::unique_ptr<Timer> accept_timer_;
  std::unique_ptr<Timer> check_timer_;
  bool announced_ready_ = false;
  // Number of callers' connections that `callers_shed` has told of, and when.
  std::uint64_t shed_logged_ = 0;
  Instant shed_logged_at_{};
  // The latest era of the store that a peer has sent.
  std::int64_t peer_era_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_ROUTER_H_
