// The part of Placement that is about a service's versions, while operators
// move it from one to another (dispatch/version_gate.h).

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "dispatch/placement.h"

namespace quaytrack {
namespace {

// When a version is listed for the first time, the operators' order about the
// version is known within this time: targets and orders are read from the
// store, one after the other.
constexpr Duration kOrderKnownWithin = std::chrono::milliseconds(1000);
// Minimum number of targets that serve the share of the next version.
constexpr std::size_t kMinShareTargets = 2;

}  // namespace

const VersionGate& Placement::GateOf(const ServiceName& service) const {
  static const VersionGate kNone;
  const auto it = gates_.find(service);
  return it == gates_.end() ? kNone : it->second;
}

void Placement::SetVersionRule(const ServiceName& service, VersionRule rule,
                               double offset) {
  gates_[service].SetRule(std::move(rule), offset);
  ChooseShareTargets(service);
}

bool Placement::HasVersion(const ServiceName& service,
                           const VersionName& version) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return state.entry.service == service && AcceptsWork(state) &&
           state.entry.version == version;
  });
}

std::optional<VersionName> Placement::VersionOf(
    Instant now, const TargetEntry& target) const {
  const auto it = targets_.find(target.name);
  if (it == targets_.end()) return target.version;
  const State& state = it->second;
  const bool is_same = state.entry.start == target.start &&
                       state.entry.version == target.version;
  if (!is_same || MayHaveRestarted(now, state)) return std::nullopt;
  return target.version;
}

std::optional<VersionName> Placement::OnlyVersion(Instant now,
                                                  const ServiceName& service,
                                                  Duration min_time) const {
  const auto it = versions_.find(service);
  if (it == versions_.end()) return std::nullopt;
  if (now - it->second.first_listed_at < min_time) return std::nullopt;
  const std::set<VersionName> versions = RecentVersions(now, service);
  if (versions.size() != 1) return std::nullopt;
  return *versions.begin();
}

// The versions that are listed, or were within `kVersionMemory`.
std::set<VersionName> Placement::RecentVersions(
    Instant now, const ServiceName& service) const {
  std::set<VersionName> out;
  for (const auto& [name, state] : targets_) {
    if (state.entry.service == service) out.insert(state.entry.version);
  }
  for (const auto& [version, removed_at] : versions_.at(service).removed_at) {
    if (now - removed_at < kVersionMemory) out.insert(version);
  }
  return out;
}

std::size_t Placement::RunningAtOtherVersions(
    const ServiceName& service, const VersionName& version) const {
  std::size_t out = 0;
  for (const auto& [name, state] : targets_) {
    if (state.entry.service != service) continue;
    if (state.entry.version == version) continue;
    out += static_cast<std::size_t>(state.running);
  }
  return out;
}

// Notes when the version of a target was first listed. All versions in the
// first list of a service existed before this router started, so they need not
// wait.
void Placement::NoteVersion(Instant now, State& state) {
  ServiceVersions& known = versions_[state.entry.service];
  if (known.since.empty()) known.first_listed_at = now;
  const bool is_first = known.first_listed_at == now;
  const auto [it, is_new] = known.since.try_emplace(
      state.entry.version, is_first ? Instant::min() : now);
  state.version_since = it->second;
  latest_version_ = std::max(latest_version_, it->second);
}

void Placement::NoteRemoved(Instant now, const TargetEntry& entry) {
  versions_[entry.service].removed_at[entry.version] = now;
}

bool Placement::IsVersionReady(Instant now, const State& state,
                               const VersionGate& gate) {
  return gate.IsNext(state.entry.version) ||
         now - kOrderKnownWithin >= state.version_since;
}

bool Placement::HasReadyVersion(Instant now, const PlacementRequest& request,
                                const VersionGate& gate) const {
  if (now - kOrderKnownWithin >= latest_version_) return false;
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    return IsEligible(it.second, request) &&
           IsVersionReady(now, it.second, gate);
  });
}

// Which version gets the request. A request that was already sent to the next
// version is retried at the others.
VersionTurn Placement::TurnOf(const PlacementRequest& request,
                              const VersionGate& gate) const {
  if (request.version) return VersionTurn::kAny;
  const VersionTurn turn = gate.Turn();
  if (turn != VersionTurn::kNext) return turn;
  for (const TargetName& it : request.tried) {
    const auto target = targets_.find(it);
    if (target == targets_.end()) continue;
    if (gate.IsNext(target->second.entry.version)) return VersionTurn::kOthers;
  }
  return turn;
}

bool Placement::IsNextAlone(const PlacementRequest& request,
                            const VersionGate& gate) const {
  if (gate.rule().next.empty() || !gate.rule().allow_next_alone) return false;
  return std::none_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return IsEligible(state, request) &&
           gate.MayTake(VersionTurn::kOthers, state.entry.version);
  });
}

// Chooses the targets of the next version that serve its share of the requests.
// Their number is the same share of the number of other targets, but at least
// `kMinShareTargets`, so that each bears about the same load as any other
// target. All routers choose the same targets.
void Placement::ChooseShareTargets(const ServiceName& service) {
  const VersionGate& gate = GateOf(service);
  std::vector<std::pair<std::uint64_t, State*>> next;
  std::size_t others = 0;
  for (auto& [name, state] : targets_) {
    if (state.entry.service != service || !AcceptsWork(state)) continue;
    state.serves_share = false;
    if (!gate.IsNext(state.entry.version)) {
      ++others;
      continue;
    }
    const std::string& version = state.entry.version.value;
    next.emplace_back(RendezvousWeight(name.value, version), &state);
  }
  const auto wanted = static_cast<std::size_t>(
      std::lround(gate.rule().share * static_cast<double>(others)));
  const std::size_t chosen =
      std::min(next.size(), std::max(kMinShareTargets, wanted));
  std::sort(next.rbegin(), next.rend());
  for (std::size_t n = 0; n < chosen; ++n) next[n].second->serves_share = true;
}

}  // namespace quaytrack
