#include "relay/reach_driver.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace quaytrack {

ReachDriver::ReachDriver(const Context& context, const FleetMember& self,
                         HallRegions regions, Handlers handlers)
    : context_(context),
      self_(self),
      regions_(std::move(regions)),
      on_(std::move(handlers)),
      peers_(self.vm, self.hall) {}

void ReachDriver::SetTargets(
    const std::map<TargetName, TargetEntry>& entries,
    const std::function<bool(const TargetEntry&)>& may_get_work) {
  std::map<ServiceName, std::map<TargetName, std::string>> addresses;
  for (const auto& [name, entry] : entries) {
    if (may_get_work(entry)) addresses[entry.service][name] = entry.address;
  }
  for (const auto& [name, unused] : addresses) {
    services_.try_emplace(name, context_.chart);
  }
  for (auto& [name, service] : services_) {
    service.addresses = std::move(addresses[name]);
    std::vector<TargetName> targets;
    for (const auto& [target, unused] : service.addresses)
      targets.push_back(target);
    service.reach.SetTargets(std::move(targets));
  }
  std::erase_if(targets_heard_at_,
                [&](const auto& it) { return !entries.contains(it.first); });
}

TargetReach* ReachDriver::Find(const ServiceName& service) {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second.reach;
}

const TargetReach* ReachDriver::Find(const ServiceName& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second.reach;
}

// --- Paths -------------------------------------------------------------------

TargetPath ReachDriver::PathTo(const TargetEntry& target,
                               const Residency& residency,
                               const std::set<VmName>& tried) {
  TargetPath out;
  out.service = target.service;
  const TargetReach* reach = Find(target.service);
  if (reach == nullptr || !reach->IsCutOff()) return out;
  if (reach->AreTargetsUnhealthy()) return PathToUnhealthy(target);
  const Instant now = context_.clock.Now();
  const auto candidates = PeersFor(target.service, residency);
  const TunnelPeer* peer = peers_.Choose(now, candidates, tried);
  if (peer == nullptr) {
    out.kind = PathKind::kNone;
    // A request that is bound to this router's region may be refused although
    // others are carried.
    if (!residency.IsBound()) path_missing_at_ = now;
    return out;
  }
  out.kind = PathKind::kTunnel;
  out.peer = peer->member.vm;
  out.address = peer->member.address;
  return out;
}

TargetPath ReachDriver::PathToUnhealthy(const TargetEntry& target) const {
  TargetPath out;
  out.service = target.service;
  const bool may_answer =
      !IsSilent(target.service) && context_.connections.HasIdle(target.address);
  if (!may_answer) out.kind = PathKind::kNone;
  return out;
}

std::vector<TunnelPeer> ReachDriver::PeersFor(
    const ServiceName& service, const Residency& residency) const {
  std::vector<TunnelPeer> out;
  for (FleetMember& it : on_.members()) {
    if (!residency.Allows(regions_.RegionOf(it.hall))) continue;
    const auto report = reports_.find(it.vm);
    const bool is_linked = report != reports_.end();
    const bool is_cut_off =
        is_linked && report->second.cut_off.contains(service);
    out.push_back({std::move(it), is_linked, is_cut_off});
  }
  return out;
}

std::size_t ReachDriver::UsablePeers(const ServiceName& service) const {
  return static_cast<std::size_t>(std::count_if(
      reports_.begin(), reports_.end(),
      [&](const auto& it) { return !it.second.cut_off.contains(service); }));
}

// --- Events ------------------------------------------------------------------

void ReachDriver::OnSent(const TargetPath& path, const TargetName& target) {
  if (!path.direct()) return peers_.OnStarted(path.peer);
  if (TargetReach* it = Find(path.service))
    it->OnSent(context_.clock.Now(), target);
}

void ReachDriver::OnOpened(const TargetPath& path, const TargetName& target,
                           bool sees_end) {
  const Instant now = context_.clock.Now();
  TargetReach* it = Find(path.service);
  if (path.direct()) {
    heard_at_ = now;
    if (it != nullptr) it->OnOpened(now, target);
    return;
  }
  peers_.OnOpened(now, path.peer, sees_end);
  if (it != nullptr) it->OnPeerTried(path.peer, target, true);
}

void ReachDriver::OnHeard(const TargetPath& path, const TargetName& target) {
  const Instant now = context_.clock.Now();
  targets_heard_at_[target] = now;
  if (!path.direct()) return;
  heard_at_ = now;
  if (TargetReach* it = Find(path.service)) it->OnHeard(now, target);
}

void ReachDriver::OnOpenFailed(const TargetPath& path,
                               const TargetName& target) {
  const auto it = services_.find(path.service);
  if (it == services_.end()) return;
  if (path.direct()) {
    it->second.reach.OnOpenFailed(context_.clock.Now(), target);
  } else {
    const bool is_cut_off =
        it->second.reach.OnPeerTried(path.peer, target, false);
    if (is_cut_off) OnTunnelFailed(path);
  }
  CheckService(it->first, it->second);
}

void ReachDriver::OnBroken(const TargetPath& path, const TargetName& target) {
  const auto it = services_.find(path.service);
  if (!path.direct() || it == services_.end()) return;
  it->second.reach.OnBroken(context_.clock.Now(), target);
  CheckService(it->first, it->second);
}

void ReachDriver::OnTunnelFailed(const TargetPath& path) {
  peers_.OnFailed(context_.clock.Now(), path.peer);
}

void ReachDriver::OnEnded(const TargetPath& path) {
  if (path.kind == PathKind::kTunnel) peers_.OnEnded(path.peer);
}

void ReachDriver::OnDialed(const std::string& address, bool opened) {
  for (const auto& [name, service] : services_) {
    const auto it = std::find_if(
        service.addresses.begin(), service.addresses.end(),
        [&](const auto& target) { return target.second == address; });
    if (it == service.addresses.end()) continue;
    TargetPath path;
    path.service = name;
    return opened ? OnOpened(path, it->first) : OnOpenFailed(path, it->first);
  }
}

void ReachDriver::OnPeer(const PeerMessage& message) {
  const bool is_report = message.kind == PeerMessageKind::kHello ||
                         message.kind == PeerMessageKind::kPing;
  if (!is_report) return;
  reports_[VmOf(message.from)] = {message.from, message.cut_off,
                                  context_.clock.Now()};
}

void ReachDriver::OnPeerLost(const Incarnation& peer) {
  const auto it = reports_.find(VmOf(peer));
  if (it != reports_.end() && it->second.peer == peer) reports_.erase(it);
}

// --- Decisions ---------------------------------------------------------------

void ReachDriver::Check() {
  for (auto& [name, service] : services_) CheckService(name, service);
}

void ReachDriver::CheckService(const ServiceName& name, Service& service) {
  service.reach.SetPeers(UsablePeers(name));
  const bool was_direct = !service.reach.IsCutOff();
  const ReachStep step = service.reach.Check(context_.clock.Now());
  if (!step.probes.empty()) StartProbes(name, service, step.probes);
  if (step.action == ReachAction::kNone) return;
  if (step.action == ReachAction::kUseTunnels && IsSilent(name))
    CloseIdle(service);
  LogChange(name, service, step.action);
  if (was_direct) ProbeOthers(name);
  // Posted, because a request that is just ending an attempt may be affected.
  context_.loop.Post([this, name, action = step.action] {
    on_.changed(name, action);
    Check();
  });
}

// What cuts the links to one service often cuts those to the others, and one
// with few requests would take long to show it.
void ReachDriver::ProbeOthers(const ServiceName& lost) {
  for (auto& [name, service] : services_) {
    if (name != lost && !service.reach.IsCutOff())
      service.reach.RequestProbes();
  }
}

// A request on a kept connection that was silently cut would count as one that
// may have run.
void ReachDriver::CloseIdle(const Service& service) {
  for (const auto& [target, address] : service.addresses)
    context_.connections.CloseIdle(address);
}

void ReachDriver::StartProbes(const ServiceName& name, Service& service,
                              const std::vector<TargetName>& targets) {
  for (const TargetName& it : targets) {
    context_.connections.Probe(
        service.addresses[it],
        [this, name, it](bool opened) { OnProbe(name, it, opened); });
  }
  service.round_timer = context_.loop.After(
      TargetReach::kProbeTimeout,
      [this, name] { CheckService(name, services_.at(name)); });
}

void ReachDriver::OnProbe(const ServiceName& name, const TargetName& target,
                          bool opened) {
  const Instant now = context_.clock.Now();
  if (opened) heard_at_ = now;
  Service& service = services_.at(name);
  service.reach.OnProbe(now, target, opened);
  CheckService(name, service);
  if (opened) on_.links_work();
}

void ReachDriver::RequestProbes(const ServiceName& service) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  it->second.reach.RequestProbes();
  CheckService(it->first, it->second);
}

void ReachDriver::LogChange(const ServiceName& name, const Service& service,
                            ReachAction action) const {
  const bool is_back = action == ReachAction::kUseLinks;
  LogEvent(is_back ? Event::kTargetLinksBack : Event::kTargetLinksLost,
           {{"service", name.value},
            {"state", std::string(NameOf(service.reach.state()))},
            {"targets", std::to_string(service.addresses.size())},
            {"peers", std::to_string(reports_.size())},
            {"tunnels", std::to_string(peers_.tunnels())}});
}

// --- Reports -----------------------------------------------------------------

std::set<ServiceName> ReachDriver::CutOff() const {
  std::set<ServiceName> out;
  for (const auto& [name, service] : services_) {
    if (service.reach.IsCutOff()) out.insert(name);
  }
  return out;
}

bool ReachDriver::IsSilent(const ServiceName& service) const {
  const TargetReach* it = Find(service);
  return it != nullptr &&
         !it->HasHeardSince(context_.clock.Now() - TargetReach::kSilence);
}

bool ReachDriver::HasHeardFrom(const TargetName& target, Instant time) const {
  const auto it = targets_heard_at_.find(target);
  return it != targets_heard_at_.end() && it->second > time;
}

bool ReachDriver::IsCutOff(const ServiceName& service) const {
  const TargetReach* it = Find(service);
  return it != nullptr && it->IsCutOff();
}

bool ReachDriver::IsInDoubt(const ServiceName& service) const {
  const TargetReach* it = Find(service);
  return it != nullptr && it->IsInDoubt();
}

bool ReachDriver::IsBeingProbed(const ServiceName& service) const {
  const TargetReach* it = Find(service);
  return it != nullptr && it->IsBeingProbed();
}

bool ReachDriver::IsPeerAlive(const TargetPath& path) const {
  const auto it = reports_.find(path.peer);
  return it != reports_.end() &&
         context_.clock.Now() - it->second.heard_at < kPeerAliveFor;
}

bool ReachDriver::LacksPath() const {
  return path_missing_at_ != Instant() &&
         context_.clock.Now() - path_missing_at_ < kLacksPathFor;
}

TunnelStatus ReachDriver::MayCarry(const std::string& address) const {
  for (const auto& [name, service] : services_) {
    const bool is_target =
        std::any_of(service.addresses.begin(), service.addresses.end(),
                    [&](const auto& it) { return it.second == address; });
    if (!is_target) continue;
    return service.reach.IsCutOff() ? TunnelStatus::kNoRoom
                                    : TunnelStatus::kOpen;
  }
  return TunnelStatus::kNoTarget;
}

}  // namespace quaytrack
