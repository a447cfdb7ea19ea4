#include "route/target_book.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/digest.h"

namespace quaytrack {
namespace {

// Points on the ring for each target; more points even out the shares.
constexpr int kRingPoints = 32;

// Weight of the newest service time in the running mean.
constexpr double kServiceSmoothing = 0.1;

// A report older than this, in units of `report_decay`, is ignored.
constexpr double kMaxReportAge = 4;

// Cost of a fully loaded batch, in mean service times.
constexpr double kBatchSlowdown = 0.5;

}  // namespace

TargetTable::TargetTable(TargetTableOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void TargetTable::SetTargets(const std::vector<TargetSpec>& specs) {
  std::vector<Target> before = std::exchange(targets_, {});
  const auto names_before = std::exchange(by_name_, {});
  for (const TargetSpec& spec : specs) {
    by_name_[spec.name] = targets_.size();
    auto existing = names_before.find(spec.name);
    if (existing == names_before.end()) {
      targets_.emplace_back(spec, options_.breaker);
      continue;
    }
    Target& it = before[existing->second];
    it.spec = spec;
    it.limit.SetSlots(spec.slots);
    targets_.push_back(std::move(it));
  }
  for (Target& it : targets_) {
    SetLeaving(it.spec.name, LeavingCause::kBundle, it.spec.leaving);
  }
  BuildGroups();
}

void TargetTable::BuildGroups() {
  groups_.clear();
  for (TargetIndex n = 0; n < targets_.size(); ++n) {
    const Target& target = targets_[n];
    for (const GroupName& name : target.spec.groups) {
      Group& group = groups_[name];
      group.members.push_back(n);
      group.in_flight += target.in_flight;
      for (int point = 0; point < kRingPoints; ++point) {
        group.ring.push_back(
            {StableHash(target.spec.name.value + "#" + std::to_string(point)),
             n});
      }
    }
  }
  for (auto& [name, group] : groups_) {
    std::sort(
        group.ring.begin(), group.ring.end(),
        [](const RingPoint& a, const RingPoint& b) { return a.hash < b.hash; });
  }
}

std::optional<TargetIndex> TargetTable::Find(const TargetName& name) const {
  auto it = by_name_.find(name);
  if (it == by_name_.end()) return std::nullopt;
  return it->second;
}

bool TargetTable::Usable(Instant now, const Target& it) const {
  return it.responsive && it.leaving.empty() && it.breaker.Allows(now);
}

bool TargetTable::HasRoom(const Target& it) const {
  return it.in_flight < it.limit.limit();
}

double TargetTable::Load(Instant now, const Target& it) const {
  const double age =
      ToSeconds(now - it.reported_at) / ToSeconds(options_.report_decay);
  // An old report doesn't even show which of two idle targets is better.
  const double weight = age > kMaxReportAge ? 0 : std::exp(-age);
  return it.in_flight + it.reported_other_load * weight;
}

double TargetTable::Cost(Instant now, const Target& it, bool has_prefix) const {
  const double load = Load(now, it);
  const double slots = it.spec.slots;
  const double waiting = std::max(0.0, load + 1 - slots) / slots;
  const double busy = std::min(1.0, load / slots);
  double cost = it.mean_service * (waiting + kBatchSlowdown * busy);
  if (it.spec.hall != options_.local_hall) {
    cost += ToSeconds(options_.remote_hall_cost);
  }
  if (has_prefix) cost -= ToSeconds(options_.prefix_saving);
  return cost;
}

TargetIndex TargetTable::RingOwner(const Group& group,
                                   std::uint64_t hash) const {
  auto it = std::lower_bound(
      group.ring.begin(), group.ring.end(), hash,
      [](const RingPoint& a, std::uint64_t h) { return a.hash < h; });
  return it == group.ring.end() ? group.ring.front().target : it->target;
}

bool TargetTable::WithinAffinityBound(Instant now, const Group& group,
                                      const Target& it) const {
  const double mean = static_cast<double>(group.in_flight + 1) /
                      static_cast<double>(group.members.size());
  const double bound = std::ceil(options_.affinity_overload * mean);
  return it.in_flight < bound && Load(now, it) < it.spec.slots;
}

std::optional<TargetIndex> TargetTable::Choose(
    Instant now, const GroupName& name, std::uint64_t prefix_hash,
    const std::set<TargetName>& excluded) {
  auto found = groups_.find(name);
  if (found == groups_.end()) return std::nullopt;
  const Group& group = found->second;
  std::optional<TargetIndex> best;
  double best_cost = 0;
  const auto consider = [&](TargetIndex n, bool has_prefix) {
    const Target& it = targets_[n];
    if (!Usable(now, it) || !HasRoom(it)) return;
    if (excluded.contains(it.spec.name)) return;
    const double cost = Cost(now, it, has_prefix);
    if (best && cost >= best_cost) return;
    best = n;
    best_cost = cost;
  };
  if (prefix_hash != 0) {
    const TargetIndex owner = RingOwner(group, prefix_hash);
    const bool bounded = WithinAffinityBound(now, group, targets_[owner]);
    consider(owner, bounded);
  }
  std::uniform_int_distribution<std::size_t> any(0, group.members.size() - 1);
  for (int n = 0; n < options_.samples; ++n) {
    consider(group.members[any(random_)], false);
  }
  if (best) return best;
  return FirstWithRoom(now, group, excluded);
}

// Finds a target with room when all samples were full or unusable, by a scan
// from a random position. The scan ends at the first match, so it is long only
// under overload.
std::optional<TargetIndex> TargetTable::FirstWithRoom(
    Instant now, const Group& group, const std::set<TargetName>& excluded) {
  const std::size_t size = group.members.size();
  std::uniform_int_distribution<std::size_t> any(0, size - 1);
  const std::size_t start = any(random_);
  for (std::size_t n = 0; n < size; ++n) {
    const TargetIndex index = group.members[(start + n) % size];
    const Target& it = targets_[index];
    if (!Usable(now, it) || !HasRoom(it)) continue;
    if (!excluded.contains(it.spec.name)) return index;
  }
  return std::nullopt;
}

bool TargetTable::AnyUsable(Instant now, const GroupName& group) const {
  auto it = groups_.find(group);
  if (it == groups_.end()) return false;
  return std::any_of(it->second.members.begin(), it->second.members.end(),
                     [&](TargetIndex n) { return Usable(now, targets_[n]); });
}

void TargetTable::OnSent(Instant now, TargetIndex n) {
  Target& it = targets_[n];
  ++it.in_flight;
  it.breaker.OnSent(now);
  for (const GroupName& name : it.spec.groups) ++groups_[name].in_flight;
}

bool TargetTable::OnEnd(Instant now, const TargetName& name,
                        TargetOutcome outcome, Duration service_time) {
  const auto n = Find(name);
  if (!n) return false;
  Target& it = targets_[*n];
  const BreakerState state_before = it.breaker.state();
  const int before = it.in_flight;
  it.in_flight = std::max(0, it.in_flight - 1);
  for (const GroupName& group : it.spec.groups) --groups_[group].in_flight;
  switch (outcome) {
    case TargetOutcome::kOk:
      if (it.breaker.state() != BreakerState::kClosed) {
        it.limit.EnterSlowStart();
      }
      it.breaker.OnSuccess();
      it.limit.OnSuccess(before);
      it.mean_service +=
          kServiceSmoothing * (ToSeconds(service_time) - it.mean_service);
      break;
    case TargetOutcome::kOverloaded:
      it.breaker.OnInconclusive();
      it.limit.OnOverload();
      break;
    case TargetOutcome::kFailed:
      it.breaker.OnFailure(now);
      break;
    case TargetOutcome::kCancelled:
      it.breaker.OnInconclusive();
      break;
  }
  return it.breaker.state() == BreakerState::kOpen &&
         state_before != BreakerState::kOpen;
}

void TargetTable::OnLoadReport(Instant now, const TargetName& name,
                               const LoadReport& report) {
  const auto n = Find(name);
  if (!n) return;
  Target& it = targets_[*n];
  const int total = report.running + report.queued;
  it.reported_other_load = std::max(0, total - it.in_flight);
  it.reported_at = now;
}

void TargetTable::SetResponsive(const TargetName& name, bool responsive) {
  if (const auto n = Find(name)) targets_[*n].responsive = responsive;
}

void TargetTable::SetLeaving(const TargetName& name, LeavingCause cause,
                             bool leaving) {
  const auto n = Find(name);
  if (!n) return;
  if (leaving) {
    targets_[*n].leaving.insert(cause);
  } else {
    targets_[*n].leaving.erase(cause);
  }
}

Duration TargetTable::MeanService(const GroupName& group) const {
  auto found = groups_.find(group);
  if (found == groups_.end() || found->second.members.empty()) return {};
  double sum = 0;
  for (TargetIndex n : found->second.members) sum += targets_[n].mean_service;
  const double mean = sum / static_cast<double>(found->second.members.size());
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(mean));
}

}  // namespace quaytrack
