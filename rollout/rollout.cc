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

Duration Rollout::ShareOfDuration(double share) const {
  return std::chrono::duration_cast<Duration>(order_.duration * share);
}

Duration Rollout::Elapsed(Instant now) const {
  return now - (deadline_ - order_.duration);
}

// --- Reports of other routers ------------------------------------------------

void Rollout::OnReport(Instant now, const Incarnation& from, bool from_decider,
                       const RolloutReport& report,
                       const RolloutContext& context) {
  const bool is_this =
      report.version == order_.version && report.order == order_.revision;
  if (!is_this) return;
  const bool is_sum = report.counted_by.empty();
  if (is_sum ? !from_decider : report.counted_by != context.self) return;
  reports_[from] = {report, now, from_decider};
  if (!from_decider) return;
  // The router that saw the order first knows its deadline best.
  deadline_ =
      std::min(deadline_, now + std::max(report.left, Duration::zero()));
  if (context.self != VmOf(from)) Follow(report.state, now);
}

void Rollout::Follow(RolloutState reported, Instant now) {
  switch (reported) {
    case RolloutState::kUnconfirmed:
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
      if (state() == RolloutState::kUnconfirmed)
        Apply(RolloutEvent::kStarted, now);
      while (state() < reported && state() < RolloutState::kFull) {
        Apply(RolloutEvent::kAdvance, now);
      }
  }
}

void Rollout::ForgetSilent(Instant now) {
  std::erase_if(reports_, [now](const auto& it) {
    return now - it.second.at > kReportTimeout;
  });
}

bool Rollout::IsAssigned(const ReceivedReport& it,
                         const RolloutContext& context) const {
  return it.report.counted_by == context.self;
}

bool Rollout::IsCurrent(Instant now, const RolloutContext& context) const {
  const auto reporting =
      std::count_if(reports_.begin(), reports_.end(), [now](const auto& it) {
        return it.second.from_decider && now - it.second.at <= kDeciderTimeout;
      });
  if (!context.is_decider) return reporting > 0;
  return (static_cast<std::size_t>(reporting) + 1) * 2 > context.deciders;
}

// --- Sums --------------------------------------------------------------------

VersionEvidence Rollout::Total(const RolloutContext& context) const {
  VersionEvidence out = local_evidence_;
  for (const auto& [from, it] : reports_) {
    const bool is_sum = it.report.counted_by.empty();
    if (is_sum || IsAssigned(it, context)) out.Merge(it.report.evidence);
  }
  return out;
}

bool Rollout::IsDrainedHere(const RolloutContext& context) const {
  return state() == RolloutState::kFull &&
         context.running_at_other_versions == 0;
}

RolloutReport Rollout::Report(Instant now,
                              const RolloutContext& context) const {
  RolloutReport out;
  out.version = order_.version;
  out.order = order_.revision;
  out.state = state();
  out.left = deadline_ - now;
  if (IsOver()) return out;
  out.evidence = local_evidence_;
  out.drained = IsDrainedHere(context);
  if (!context.is_decider) {
    out.counted_by = context.counted_by;
    return out;
  }
  for (const auto& [from, it] : reports_) {
    if (!IsAssigned(it, context)) continue;
    out.evidence.Merge(it.report.evidence);
    out.drained = out.drained && it.report.drained;
    out.routers += it.report.routers;
  }
  return out;
}

// Whether no router has requests running at the other versions. Routers without
// a report are waited for until `kReportTimeout` has passed since the last
// change of state.
bool Rollout::IsDrained(Instant now, const RolloutContext& context) const {
  const RolloutReport local = Report(now, context);
  if (!local.drained) return false;
  std::uint64_t routers = local.routers;
  for (const auto& [from, it] : reports_) {
    if (!it.report.counted_by.empty()) continue;
    if (!it.report.drained) return false;
    routers += it.report.routers;
  }
  return routers >= context.routers || now - changed_at_ > kReportTimeout;
}

// --- Decisions ---------------------------------------------------------------

RolloutAction Rollout::Step(Instant now, const RolloutContext& context) {
  ForgetSilent(now);
  if (!context.is_decider || IsOver() || state() == RolloutState::kWithdrawn) {
    return RolloutAction::kNone;
  }
  if (IsEvaluated()) {
    evaluator_.Observe(Total(context));
    if (evaluator_.IsBad()) return Apply(RolloutEvent::kWithdraw, now);
  }
  const bool is_near_deadline =
      now > deadline_ - ShareOfDuration(kReservedShare);
  if (is_near_deadline && state() != RolloutState::kFull) {
    return Apply(RolloutEvent::kWithdraw, now);
  }
  if (!IsCurrent(now, context)) return RolloutAction::kNone;
  switch (state()) {
    case RolloutState::kTrial:
      return StepOfTrial(now, context);
    case RolloutState::kQuarter:
    case RolloutState::kHalf:
      return StepOfMove(now);
    case RolloutState::kFull:
      if (!IsDrained(now, context)) return RolloutAction::kNone;
      return Apply(RolloutEvent::kDrained, now);
    default:
      return RolloutAction::kNone;
  }
}

RolloutAction Rollout::StepOfTrial(Instant now, const RolloutContext& context) {
  if (!context.has_next) return RolloutAction::kNone;
  const Duration elapsed = Elapsed(now);
  const bool is_good =
      evaluator_.IsGood() && elapsed >= ShareOfDuration(kTrialShare);
  const bool is_time =
      evaluator_.IsProbablyGood() && elapsed >= ShareOfDuration(kMaxTrialShare);
  if (!is_good && !is_time) return RolloutAction::kNone;
  return Apply(RolloutEvent::kAdvance, now);
}

RolloutAction Rollout::StepOfMove(Instant now) {
  if (now - changed_at_ < ShareOfDuration(kStepShare))
    return RolloutAction::kNone;
  return Apply(RolloutEvent::kAdvance, now);
}

RolloutRule Rollout::Rule(Instant now, const RolloutContext& context) const {
  RolloutRule out;
  switch (state()) {
    case RolloutState::kCompleted:
      return {1, false, true};
    case RolloutState::kWithdrawn:
    case RolloutState::kReverted:
      return {0, true, false};
    case RolloutState::kUnconfirmed:
      return out;
    default:
      break;
  }
  if (!IsCurrent(now, context)) return out;
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
