#include "relay/relay_router.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "relay/relay_options.h"
#include "relay/relayed_request.h"

namespace quaytrack {
namespace {

// How often the planned stop, the feeds and the link's load are checked. The
// interval is short compared with the 700 ms over which the load is smoothed.
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

// Random bytes that distinguish the runs of the process on one VM.
constexpr std::size_t kIncarnationBytes = 4;

// Returns the id of the machine's present boot, or an empty string if the id
// can't be read.
std::string BootId() {
  std::ifstream in("/proc/sys/kernel/random/boot_id");
  std::string out;
  std::getline(in, out);
  return out;
}

FleetMember SelfFrom(const RelaySettings& settings) {
  FleetMember out;
  out.vm = VmName(settings.vm);
  out.hall = HallName(settings.hall);
  out.size_class = SizeClass({settings.link_mbps, settings.cores});
  return out;
}

// Binds `server` to `address` and writes the bound port into `address`. On
// failure the log names the setting.
template <class Server>
bool ListenAt(const char* setting, std::string& address, Server& server) {
  const std::uint16_t port = server.Listen(address);
  if (port == 0) {
    LogEvent(Event::kSettingRejected,
             {{"setting", setting}, {"address", address}});
    return false;
  }
  address = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
  return true;
}

}  // namespace

RelayRouter::RelayRouter(Loop& loop, const Clock& clock,
                         const RelaySettings& settings,
                         const RelayInterface& interface,
                         TargetConnections& connections, KvStore& store,
                         const RelayCharts& charts)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      self_(settings.vm + "@" + RandomHex(kIncarnationBytes)),
      connections_(connections),
      store_(store),
      placement_(HallName(settings.hall), RatesFrom(settings, clock.Now()),
                 HallRegions::Parse(settings.regions).value_or(HallRegions())),
      reach_({loop, clock, charts.reach, connections}, SelfFrom(settings),
             HallRegions::Parse(settings.regions).value_or(HallRegions()),
             ReachHandlers()),
      tunnels_(loop, connections.dialer(),
               {[this](const std::string& it) { return MayCarry(it); },
                [this](const std::string& address, bool opened) {
                  reach_.OnDialed(address, opened);
                }}),
      fleet_(loop, store, SelfFrom(settings), FleetOptionsFrom(settings)),
      budgets_(loop, clock, store, fleet_.directory(),
               {self_, BootId(), clock.Now()}, PrepaidPolicyFrom(settings)),
      configs_({loop, clock, store, charts.feed}, interface.state,
               ConfigHandlers()),
      targets_({loop, clock, store, charts.feed}, interface.state,
               TargetHandlers()),
      crashes_({loop, clock, store, charts.feed}, VmName(settings.vm),
               CrashHandlers()),
      rollouts_({clock, store, charts.rollout}, interface.state,
                RolloutOptionsFrom(settings), RolloutHandlers()),
      versions_(loop, clock, VersionHandlers()),
      run_stops_(loop, clock, connections, interface.targets, metrics_),
      peers_(loop, clock, self_, PeerHandlers(), PeerMesh::DrawFirstCheck()),
      retries_(RetryOptionsFrom(settings, clock.Now())),
      context_{
          .loop = loop,
          .clock = clock,
          .chart = charts.request,
          .caller_dialect = interface.callers,
          .target_dialect = interface.targets,
          .requests = requests_,
          .configs = configs_,
          .random = random_,
          .budgets = budgets_,
          .placement = placement_,
          .target_list = targets_,
          .reach = reach_,
          .targets = connections,
          .retries = retries_,
          .crashes = crashes_,
          .rollouts = rollouts_,
          .versions = versions_,
          .run_stops = run_stops_,
          .metrics = metrics_,
          .stop = stop_,
          .announce_prompt =
              [this](const SentPrompt& it) { BroadcastPrompt(it); },
          .on_target_leaving =
              [this](const TargetEntry& it) { OnTargetLeaving(it); },
      },
      caller_server_(loop, clock),
      admin_server_(loop, clock),
      metrics_server_(loop, clock),
      stop_(loop, clock, charts.drain, PlannedStopTimesFrom(settings),
            StopHandlers()),
      link_(loop, clock, settings.link_mbps) {
  fleet_.OnChanged([this] { OnFleetChanged(); });
  fleet_.OnFirstRead([this] {
    const FleetDirectory& directory = fleet_.directory();
    budgets_.OnFleetRead();
    targets_.Start(directory.IsSmall() ? 0 : directory.size());
    crashes_.Start(!directory.IsSmall());
  });
  store_.OnNewEra([this] { loop_.Post([this] { OnStoreEra(); }); });
  budgets_.SetHandlers(BudgetHandlers());
  peers_.OnOther(
      [this](std::shared_ptr<TcpSocket> socket, std::string_view first_bytes) {
        tunnels_.Accept(std::move(socket), first_bytes);
      });
  connections_.OnUnexpectedEnd([this](const std::string& address) {
    placement_.OnConnectionsLost(clock_.Now(), address);
  });
  ServeCallers();
}

void RelayRouter::ServeCallers() {
  caller_server_.SetBounds(CallerBoundsFrom(settings_));
  admin_server_.SetBounds(kAdminBounds);
  metrics_server_.SetBounds(kAdminBounds);
  caller_server_.SetGate(
      [this] { return accept_gate_.MayAccept(clock_.Now()); });
  caller_server_.Serve(
      [this](std::shared_ptr<CallerConnection> caller, CallerRequest request) {
        std::make_shared<RelayedRequest>(context_, std::move(caller),
                                         std::move(request))
            ->Start();
      });
  admin_server_.Serve(
      [this](const std::shared_ptr<CallerConnection>& caller,
             const CallerRequest& request) { AnswerAdmin(caller, request); });
  metrics_server_.Serve(
      [this](const std::shared_ptr<CallerConnection>& caller,
             const CallerRequest&) { AnswerMetrics(caller); });
}

bool RelayRouter::Listen() {
  const bool metrics =
      settings_.metrics_listen.empty() ||
      ListenAt("metrics-listen", settings_.metrics_listen, metrics_server_);
  const bool all =
      metrics && ListenAt("listen", settings_.listen, caller_server_) &&
      ListenAt("admin-listen", settings_.admin_listen, admin_server_) &&
      ListenAt("peer-listen", settings_.peer_listen, peers_);
  if (!all) return false;
  fleet_.SetAddress(settings_.peer_listen);
  // The program that started this process reads the addresses from this line.
  std::printf("listening %s %s\n", settings_.listen.c_str(),
              settings_.admin_listen.c_str());
  std::fflush(stdout);
  return true;
}

void RelayRouter::Start() {
  LogEvent(Event::kStarted, {{"incarnation", self_.value},
                             {"hall", settings_.hall},
                             {"listen", settings_.listen}});
  check_timer_ = loop_.Every(kCheckInterval, [this] {
    stop_.Check();
    configs_.Check();
    for (StateFeed* it : Feeds()) it->Check();
    crashes_.Check();
    rollouts_.Check();
    reach_.Check();
    caller_server_.CloseAfterAnswers(LacksPeer());
    LogColdTargets();
    BroadcastRateLimits();
    CheckLink();
    LogShedCallers();
  });
  accept_timer_ = loop_.Every(AcceptGate::kTick, [this] { CheckDelay(); });
  configs_.Start();
  fleet_.Start();
  budgets_.Start();
}

// --- Connections between the parts -------------------------------------------

void RelayRouter::SendTo(const Incarnation& peer, PeerMessage message) {
  message.from = self_;
  peers_.SendTo(peer, message);
}

void RelayRouter::Broadcast(PeerMessage message) {
  message.from = self_;
  peers_.Broadcast(message);
}

BudgetDriver::Handlers RelayRouter::BudgetHandlers() {
  BudgetDriver::Handlers out;
  out.broadcast = [this](const PeerMessage& it) { peers_.Broadcast(it); };
  out.send = [this](const Incarnation& peer, const PeerMessage& it) {
    peers_.SendTo(peer, it);
  };
  out.linked = [this](const VmName& vm) { return peers_.LinkedOn(vm); };
  out.is_scarce = [this](const CustomerName& it) {
    return budgets_.IsScarce(it);
  };
  out.store_reachable = [this](bool it) { OnStoreReachable(it); };
  return out;
}

FeedLinks RelayRouter::LinksOfFeeds() {
  FeedLinks out;
  out.send = [this](const Incarnation& peer, PeerMessage it) {
    SendTo(peer, std::move(it));
  };
  out.publish = [this](PeerMessage it) {
    it.from = self_;
    peers_.SendToMatching(
        [this](const VmName& vm) {
          return fleet_.directory().SendsUpdatesTo(vm);
        },
        it);
  };
  out.is_reader = [this](const Incarnation& peer) {
    return fleet_.directory().IsReader(VmOf(peer));
  };
  out.readers = [this] { return LinkedReaders(); };
  out.checking_peer = [this] { return CheckingPeer(); };
  out.peers = [this] { return peers_.Linked(); };
  out.partial_bytes = [this](const Incarnation& peer) {
    return peers_.PartialBytes(peer);
  };
  return out;
}

// The first, in the order of names, of the linked peers that follow the store
// as this router does; empty if this router comes before it.
Incarnation RelayRouter::CheckingPeer() const {
  const FleetDirectory& directory = fleet_.directory();
  const bool small = directory.IsSmall();
  if (!small && !directory.IsReader(directory.self().vm)) return {};
  const auto peers = small ? peers_.Linked() : LinkedReaders();
  const auto it = std::min_element(peers.begin(), peers.end());
  return it == peers.end() || self_ < *it ? Incarnation() : *it;
}

std::vector<Incarnation> RelayRouter::LinkedReaders() const {
  std::vector<Incarnation> out;
  for (const VmName& it : fleet_.directory().ReadersToAsk()) {
    Incarnation peer = peers_.LinkedOn(it);
    if (!peer.empty()) out.push_back(std::move(peer));
  }
  return out;
}

ConfigFollower::Handlers RelayRouter::ConfigHandlers() {
  ConfigFollower::Handlers out;
  out.feed = LinksOfFeeds();
  out.adopted = [this] { OnConfigAdopted(); };
  out.send = [this](const Incarnation& peer, PeerMessage it) {
    SendTo(peer, std::move(it));
  };
  out.store_reachable = [this](bool it) { OnStoreReachable(it); };
  out.halls_changed = [this] {
    placement_.SetClosedHalls(clock_.Now(), configs_.halls().closed());
    UpdateReachableTargets();
  };
  out.rollout_ordered = [this](const ServiceName& service,
                               const RolloutOrder* order) {
    rollouts_.OnOrder(service, order);
  };
  return out;
}

TargetFollower::Handlers RelayRouter::TargetHandlers() {
  TargetFollower::Handlers out;
  out.feed = LinksOfFeeds();
  out.changed = [this] {
    placement_.SetTargets(clock_.Now(), targets_.registry().entries());
    UpdateReachableTargets();
  };
  out.restarted = [this](const TargetEntry& before) {
    connections_.CloseIdle(before.address);
    crashes_.OnEnded(before.start);
  };
  out.vanished = [this](const TargetEntry& gone) {
    crashes_.OnEnded(gone.start);
  };
  out.store_reachable = [this](bool it) { OnStoreReachable(it); };
  return out;
}

CrashWatch::Handlers RelayRouter::CrashHandlers() {
  CrashWatch::Handlers out;
  out.feed = LinksOfFeeds();
  out.broadcast = [this](PeerMessage it) { Broadcast(std::move(it)); };
  out.is_open_to_work = [this](const TargetEntry& it) {
    return placement_.IsOpenToWork(it);
  };
  out.fleet_size = [this] { return fleet_.directory().size(); };
  out.links_work_since = [this](const TargetEntry& target, Instant time) {
    if (reach_.HasHeardSince(time)) return true;
    reach_.RequestProbes(target.service);
    return false;
  };
  return out;
}

// --- The way to the targets --------------------------------------------------

ReachDriver::Handlers RelayRouter::ReachHandlers() {
  ReachDriver::Handlers out;
  out.members = [this] { return fleet_.directory().Others(); };
  out.changed = [this](const ServiceName& service, ReachAction action) {
    OnReachChanged(service, action);
  };
  out.links_work = [this] { crashes_.OnLinksWork(); };
  return out;
}

void RelayRouter::UpdateReachableTargets() {
  reach_.SetTargets(
      targets_.registry().entries(),
      [this](const TargetEntry& it) { return placement_.IsOpenToWork(it); });
}

void RelayRouter::OnReachChanged(const ServiceName& service,
                                 ReachAction action) {
  peers_.BroadcastHeartbeat();
  if (action != ReachAction::kUseTunnels) return;
  placement_.ForgetFailures(service);
  context_.requests.ForEach(
      [&](RelayedRequest& it) { it.OnLinksLost(service); });
}

// Whether this router opens a tunnel for a peer. A router that stops or whose
// link is busy leaves that to others.
TunnelStatus RelayRouter::MayCarry(const std::string& address) const {
  // The tunnel that asks is one of `tunnels_`.
  const bool has_room = !stop_.started() && !link_.IsBusy() &&
                        tunnels_.size() <= ReachDriver::kMaxCarried;
  return has_room ? reach_.MayCarry(address) : TunnelStatus::kNoRoom;
}

RolloutDriver::Handlers RelayRouter::RolloutHandlers() {
  RolloutDriver::Handlers out;
  out.rule = [this](const ServiceName& service, const VersionRule& rule,
                    double begin) {
    placement_.SetVersionRule(service, rule, begin);
  };
  out.scene = [this] { return SceneOfRollouts(); };
  out.has_version = [this](const ServiceName& service,
                           const VersionName& version) {
    return placement_.HasVersion(service, version);
  };
  out.running_elsewhere = [this](const ServiceName& service,
                                 const VersionName& version) {
    return placement_.RunningAtOtherVersions(service, version);
  };
  out.is_decider = [this](const Incarnation& peer) {
    const FleetDirectory& directory = fleet_.directory();
    return directory.IsSmall() || directory.IsReader(VmOf(peer));
  };
  out.broadcast_heartbeat = [this] { peers_.BroadcastHeartbeat(); };
  return out;
}

// A router whose list of routers hasn't settled may take a large fleet for a
// small one, so it decides nothing.
RolloutContext RelayRouter::SceneOfRollouts() const {
  const FleetDirectory& directory = fleet_.directory();
  const VmName& self = directory.self().vm;
  const bool small = directory.IsSmall();
  RolloutContext out;
  out.self = self;
  out.is_decider = fleet_.settled() && (small || directory.IsReader(self));
  out.deciders = small ? directory.size() : directory.readers();
  out.routers = directory.size();
  const auto readers = LinkedReaders();
  if (!readers.empty()) out.counted_by = VmOf(readers.front());
  return out;
}

VersionLookup::Handlers RelayRouter::VersionHandlers() {
  VersionLookup::Handlers out;
  out.send = [this](const Incarnation& peer, PeerMessage it) {
    SendTo(peer, std::move(it));
  };
  out.witnesses = [this] { return LinkedHolders(HolderSet::kOwnHall); };
  out.to_ask = [this] { return LinkedHolders(HolderSet::kAll); };
  out.to_ask_for_others = [this] {
    return LinkedHolders(HolderSet::kOtherHalls);
  };
  out.has_others = [this] { return !fleet_.directory().Others().empty(); };
  out.is_linked = [this](const Incarnation& it) {
    return peers_.LinkedOn(VmOf(it)) == it;
  };
  out.is_served = [this](const RequestId& it) {
    const auto request = context_.requests.Find(it);
    return request && request->HasCaller();
  };
  return out;
}

// In a small fleet, where all routers are holders and halls don't matter, each
// set but that of other halls has all linked peers.
std::vector<Incarnation> RelayRouter::LinkedHolders(HolderSet set) const {
  const FleetDirectory& directory = fleet_.directory();
  if (directory.IsSmall()) {
    if (set == HolderSet::kOtherHalls) return {};
    return peers_.Linked();
  }
  std::vector<Incarnation> out;
  for (const VmName& it : directory.LinkableHolders()) {
    const bool own_hall = directory.HallOf(it) == directory.self().hall;
    if (set == HolderSet::kOwnHall && !own_hall) continue;
    if (set == HolderSet::kOtherHalls && own_hall) continue;
    Incarnation peer = peers_.LinkedOn(it);
    if (!peer.empty()) out.push_back(std::move(peer));
  }
  return out;
}

std::array<StateFeed*, 3> RelayRouter::Feeds() {
  return {&configs_.feed(), &targets_.feed(), &crashes_.feed()};
}

PeerMesh::Handlers RelayRouter::PeerHandlers() {
  PeerMesh::Handlers out;
  out.message = [this](const PeerMessage& it) { OnPeerMessage(it); };
  out.fill = [this](PeerMessage& it) { FillHeartbeat(it); };
  out.lost = [this](const Incarnation& it) {
    budgets_.OnPeerLost(it);
    reach_.OnPeerLost(it);
  };
  return out;
}

PlannedStop::Handlers RelayRouter::StopHandlers() {
  PlannedStop::Handlers out;
  out.report_unready = [this] {
    LogEvent(Event::kDrainStarted, {{"incarnation", self_.value}});
    caller_server_.StartClosing();
    budgets_.StopServing();
  };
  out.stop_listening = [this] { caller_server_.StopListening(); };
  out.close_idle = [this] { caller_server_.CloseIdle(); };
  out.return_grants = [this] { budgets_.StartLeaving(); };
  out.requests = [this] {
    return context_.requests.size() + caller_server_.Unfinished() +
           tunnels_.size();
  };
  out.grants_returned = [this] { return budgets_.HasLeft(); };
  out.requests_before = [this](Instant time) {
    return context_.requests.CountStartedBefore(time) +
           caller_server_.Unfinished() + tunnels_.size();
  };
  out.end_unfinished = [this](Duration left) {
    context_.requests.ForEach(
        [left](RelayedRequest& it) { it.EndForStop(left); });
  };
  out.finished = [this](Duration left) {
    LogEvent(Event::kDrainFinished, {{"incarnation", self_.value},
                                     {"left_ms", MillisecondsText(left)}});
  };
  return out;
}

// Called by every client of the store: the followers and the budgets.
void RelayRouter::OnStoreReachable(bool reachable) {
  if (reachable) {
    configs_.RestartStoreWait();
    crashes_.feed().RestartWait();
  }
  targets_.OnStoreReachable(reachable);
}

// Called in a later era of the store (kv/store.h): what this router reads may
// be older than before, and what it wrote may be lost.
void RelayRouter::OnStoreEra() {
  configs_.feed().OnStoreEra();
  targets_.feed().OnStoreEra();
  crashes_.OnStoreEra();
  rollouts_.OnStoreEra();
  fleet_.OnStoreEra();
  budgets_.OnStoreEra();
  peers_.BroadcastHeartbeat();
}

void RelayRouter::OnFleetChanged() {
  const FleetDirectory& directory = fleet_.directory();
  retries_.SetRouters(directory.IsRead() ? directory.size() : 0);
  retries_.SetHasPredecessor(fleet_.has_predecessor());
  peers_.KeepLinksTo(directory.MembersToLink());
  SetFeedRoles();
  if (!fleet_.settled()) return;
  placement_.SetPlaceLookup([this](const TargetStart& it) {
    return fleet_.directory().PlaceFor(it.value);
  });
  budgets_.JoinIfHolder();
}

// Sets whether this router is a reader, from the first read of the list of
// routers on: a superfluous reader costs some calls until the list has settled,
// and without readers no router gets the list of targets.
void RelayRouter::SetFeedRoles() {
  const FleetDirectory& directory = fleet_.directory();
  if (!directory.IsRead()) return;
  const bool self_is_reader = directory.IsReader(directory.self().vm);
  for (StateFeed* it : Feeds()) it->SetRole(self_is_reader);
}

void RelayRouter::OnConfigAdopted() {
  const ServiceMapPtr& map = configs_.map();
  caller_server_.SetLimits(CallerLimitsFrom(map->limits()));
  budgets_.SetConfig(*map);
  placement_.SetColdRules(ColdRulesFrom(*map));
  peers_.BroadcastHeartbeat();
  if (announced_ready_) return;
  announced_ready_ = true;
  LogEvent(Event::kReady, {{"config", std::to_string(map->version())}});
}

}  // namespace quaytrack
