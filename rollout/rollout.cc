#include "rollout/rollout.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

constexpr double kQuarter = 0.25;
constexpr double kHalf = 0.5;

}  // namespace

Rollout::Rollout(RolloutOrder order, Instant now, const RolloutChart& chart,
                 Options options)
    : order_(std::move(order)),
      options_(options),
      machine_(chart),
      deadline_(now + order_.duration),
      changed_at_(now) {}

RolloutAction Rollout::Apply(RolloutEvent event, Instant now) {
  const RolloutState before = state();
  const RolloutAction action = machine_.Apply(event);
  if (state() != before) changed_at_ = now;
  return action;
}

Duration Rollout::Part(double part) const {
  return std::chrono::duration_cast<Duration>(order_.duration * part);
}

Duration Rollout::Elapsed(Instant now) const {
  return now - (deadline_ - order_.duration);
}

// --- What others tell --------------------------------------------------------

void Rollout::OnReport(Instant now, const Incarnation& from, bool from_decider,
                       const RolloutReport& report, const RolloutScene& scene) {
  const bool is_this =
      report.version == order_.version && report.order == order_.revision;
  if (!is_this) return;
  const bool is_sum = report.counted_by.empty();
  if (is_sum ? !from_decider : report.counted_by != scene.self) return;
  heard_[from] = {report, now, from_decider};
  if (!from_decider) return;
  // Who has seen the order first knows best when its time is over.
  deadline_ =
      std::min(deadline_, now + std::max(report.left, Duration::zero()));
  if (scene.self != VmOf(from)) Follow(report.state, now);
}

void Rollout::Follow(RolloutState told, Instant now) {
  switch (told) {
    case RolloutState::kUnheard:
      return;
    case RolloutState::kCompleted:
      Apply(RolloutEvent::kCompleted, now);
      return;
    case RolloutState::kReverted:
      Apply(RolloutEvent::kReverted, now);
      return;
    case RolloutState::kWithdrawn:
      Apply(RolloutEvent::kWithdraw, now);
      return;
    default:
      if (state() == RolloutState::kUnheard) Apply(RolloutEvent::kBegun, now);
      while (state() < told && state() < RolloutState::kFull) {
        Apply(RolloutEvent::kAdvance, now);
      }
  }
}

void Rollout::ForgetSilent(Instant now) {
  std::erase_if(heard_, [now](const auto& it) {
    return now - it.second.at > kSilentAfter;
  });
}

bool Rollout::IsAssigned(const Heard& it, const RolloutScene& scene) const {
  return it.report.counted_by == scene.self;
}

bool Rollout::IsCurrent(Instant now, const RolloutScene& scene) const {
  const auto heard =
      std::count_if(heard_.begin(), heard_.end(), [now](const auto& it) {
        return it.second.from_decider && now - it.second.at <= kFreshFor;
      });
  if (!scene.decides) return heard > 0;
  return (static_cast<std::size_t>(heard) + 1) * 2 > scene.deciders;
}

// --- Sums --------------------------------------------------------------------

VersionEvidence Rollout::Total(const RolloutScene& scene) const {
  VersionEvidence out = own_;
  for (const auto& [from, it] : heard_) {
    const bool is_sum = it.report.counted_by.empty();
    if (is_sum || IsAssigned(it, scene)) out.Merge(it.report.evidence);
  }
  return out;
}

bool Rollout::IsDrainedHere(const RolloutScene& scene) const {
  return state() == RolloutState::kFull && scene.running_elsewhere == 0;
}

RolloutReport Rollout::Report(Instant now, const RolloutScene& scene) const {
  RolloutReport out;
  out.version = order_.version;
  out.order = order_.revision;
  out.state = state();
  out.left = deadline_ - now;
  if (IsOver()) return out;
  out.evidence = own_;
  out.drained = IsDrainedHere(scene);
  if (!scene.decides) {
    out.counted_by = scene.counted_by;
    return out;
  }
  for (const auto& [from, it] : heard_) {
    if (!IsAssigned(it, scene)) continue;
    out.evidence.Merge(it.report.evidence);
    out.drained = out.drained && it.report.drained;
    out.routers += it.report.routers;
  }
  return out;
}

// Routers that tell nothing are waited for until they would have told.
bool Rollout::IsDrained(Instant now, const RolloutScene& scene) const {
  const RolloutReport own = Report(now, scene);
  if (!own.drained) return false;
  std::uint64_t routers = own.routers;
  for (const auto& [from, it] : heard_) {
    if (!it.report.counted_by.empty()) continue;
    if (!it.report.drained) return false;
    routers += it.report.routers;
  }
  return routers >= scene.routers || now - changed_at_ > kSilentAfter;
}

// --- Decisions ---------------------------------------------------------------

RolloutAction Rollout::Step(Instant now, const RolloutScene& scene) {
  ForgetSilent(now);
  if (!scene.decides || IsOver() || state() == RolloutState::kWithdrawn) {
    return RolloutAction::kNone;
  }
  if (IsJudged()) {
    judge_.Observe(Total(scene));
    if (judge_.IsBad()) return Apply(RolloutEvent::kWithdraw, now);
  }
  const bool is_late = now > deadline_ - Part(kLastPart);
  if (is_late && state() != RolloutState::kFull) {
    return Apply(RolloutEvent::kWithdraw, now);
  }
  if (!IsCurrent(now, scene)) return RolloutAction::kNone;
  switch (state()) {
    case RolloutState::kTrial:
      return StepOfTrial(now, scene);
    case RolloutState::kQuarter:
    case RolloutState::kHalf:
      return StepOfMove(now);
    case RolloutState::kFull:
      if (!IsDrained(now, scene)) return RolloutAction::kNone;
      return Apply(RolloutEvent::kDrained, now);
    default:
      return RolloutAction::kNone;
  }
}

RolloutAction Rollout::StepOfTrial(Instant now, const RolloutScene& scene) {
  if (!scene.has_next) return RolloutAction::kNone;
  const Duration elapsed = Elapsed(now);
  const bool is_good = judge_.IsGood() && elapsed >= Part(kTrialPart);
  const bool is_time = judge_.IsLeaningGood() && elapsed >= Part(kLongestTrial);
  if (!is_good && !is_time) return RolloutAction::kNone;
  return Apply(RolloutEvent::kAdvance, now);
}

RolloutAction Rollout::StepOfMove(Instant now) {
  if (now - changed_at_ < Part(kStepPart)) return RolloutAction::kNone;
  return Apply(RolloutEvent::kAdvance, now);
}

RolloutRule Rollout::Rule(Instant now, const RolloutScene& scene) const {
  RolloutRule out;
  switch (state()) {
    case RolloutState::kCompleted:
      return {1, false, true};
    case RolloutState::kWithdrawn:
    case RolloutState::kReverted:
      return {0, true, false};
    case RolloutState::kUnheard:
      return out;
    default:
      break;
  }
  if (!IsCurrent(now, scene)) return out;
  switch (state()) {
    case RolloutState::kTrial:
      out.share = options_.trial_share;
      return out;
    case RolloutState::kQuarter:
      out.share = kQuarter;
      return out;
    case RolloutState::kHalf:
      out.share = kHalf;
      return out;
    default:
      return {1, false, true};
  }
}

}  // namespace quaytrack
