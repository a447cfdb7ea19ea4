#include "relay/request_log.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "base/log.h"

namespace quaytrack {
namespace {

// Bounds the length of a log line.
constexpr std::size_t kMaxLoggedParts = 8;

// "5c1e07a2,91bd3f06": as callers name the parts.
std::string PartsText(const std::vector<PartId>& parts) {
  std::string out;
  for (std::size_t n = 0; n < std::min(parts.size(), kMaxLoggedParts); ++n) {
    if (n > 0) out += ',';
    out += HexText(parts[n]);
  }
  return out;
}

}  // namespace

void LogAttemptEnded(const RequestId& id, const RequestProgress& progress,
                     const AttemptState& attempt, const AttemptEnd& end) {
  const auto& head_at = attempt.head_at;
  LogEvent(
      Event::kAttemptEnded,
      {{"request", id.value},
       {"target", attempt.choice.target.name.value},
       {"via", attempt.path.peer.value},
       {"connection", std::to_string(attempt.connection)},
       {"ran", std::string(NameOf(end.ran))},
       {"fault", std::string(NameOf(end.fault))},
       {"status", std::to_string(attempt.answer.status)},
       {"events", std::to_string(progress.events)},
       {"sends", std::to_string(progress.sends)},
       {"ms", MillisecondsText(end.now - attempt.sent_at)},
       {"begun_ms", head_at ? MillisecondsText(end.now - *head_at) : "none"},
       {"beside_ms", MillisecondsText(end.beside)},
       {"fingerprint", end.fingerprint.value},
       {"parts", PartsText(end.parts)}});
}

void LogAttemptKept(const RequestId& id, const RequestProgress& progress,
                    const AttemptState& attempt, AttemptFault kept_for,
                    Instant now) {
  LogEvent(Event::kAttemptKept,
           {{"request", id.value},
            {"target", attempt.choice.target.name.value},
            {"via", attempt.path.peer.value},
            {"for", std::string(NameOf(kept_for))},
            {"events", std::to_string(progress.events)},
            {"sends", std::to_string(progress.sends)},
            {"silent_ms", MillisecondsText(now - attempt.HeardAt())}});
}

void LogAttemptWentOn(const RequestId& id, const RequestProgress& progress,
                      const AttemptState& attempt, bool has_answered,
                      Instant now) {
  LogEvent(Event::kAttemptWentOn,
           {{"request", id.value},
            {"target", attempt.choice.target.name.value},
            {"by", has_answered ? "answer" : "no_other"},
            {"events", std::to_string(progress.events)},
            {"sends", std::to_string(progress.sends)},
            {"silent_ms", MillisecondsText(now - attempt.HeardAt())}});
}

void LogBlamedRefused(const RequestId& id, const Fingerprint& fingerprint,
                      const Blame& blame, Duration left) {
  const auto left_s = std::chrono::ceil<std::chrono::seconds>(left).count();
  const bool is_part = blame.kind == CauseKind::kPart;
  LogEvent(Event::kBlamedRefused,
           {{"request", id.value},
            {"fingerprint", fingerprint.value},
            {"left_s", std::to_string(left_s)},
            {"parts", is_part ? JoinedNames(blame.causes) : ""},
            {"since", TimeText(blame.first)},
            {"crashes", std::to_string(blame.targets.size())},
            {"targets", JoinedNames(blame.targets)}});
}

void LogStreamTakenUp(const Admission& admission,
                      const std::optional<VersionName>& version,
                      VersionSource source,
                      const std::optional<StreamRun>& run) {
  const StreamRun earlier = run.value_or(StreamRun());
  LogEvent(Event::kStreamTakenUp,
           {{"request", admission.facts.id.value},
            {"first", admission.facts.first_try.value},
            {"known", version ? "yes" : "no"},
            {"by", std::string(NameOf(source))},
            {"version", version.value_or(VersionName()).value},
            {"run", earlier.id.value},
            {"target", earlier.target.value}});
}

void LogSendHeldBack(const RequestId& id, const TargetEntry& target) {
  LogEvent(Event::kSendHeldBack, {{"request", id.value},
                                  {"target", target.name.value},
                                  {"hall", target.hall.value}});
}

void LogSaysLeaving(const RequestId& id, const TargetEntry& target) {
  LogEvent(Event::kTargetSaysLeaving, {{"request", id.value},
                                       {"target", target.name.value},
                                       {"start", target.start.value}});
}

void LogBacksOff(const RequestId& id, const TargetEntry& target,
                 Duration wait) {
  LogEvent(Event::kTargetBacksOff, {{"request", id.value},
                                    {"target", target.name.value},
                                    {"for_ms", MillisecondsText(wait)}});
}

void LogRateLimit(const TargetStart& target, const RateLimits& limits,
                  const std::string& by) {
  const auto per_s = limits.LimitOf(target);
  LogEvent(per_s ? Event::kTargetLimited : Event::kTargetUnlimited,
           {{"start", target.value},
            {"per_s", per_s ? std::to_string(*per_s) : "none"},
            {"by", by}});
}

void LogRejectionLimit(const ServiceName& service,
                       std::optional<int> max_rejections,
                       const std::string& by) {
  if (!max_rejections) {
    return LogEvent(Event::kRejectionsUnlimited,
                    {{"service", service.value}, {"by", by}});
  }
  LogEvent(Event::kRejectionsLimited,
           {{"service", service.value},
            {"max_rejections", std::to_string(*max_rejections)},
            {"by", by}});
}

void LogRequestEnded(const Admission& admission,
                     const RequestProgress& progress,
                     const AttemptState& attempt, const RequestEnd& end) {
  const RouteRule* route = admission.route;
  const PlacementChoice& choice = attempt.choice;
  LogEvent(Event::kRelayEnded,
           {{"request", admission.facts.id.value},
            {"route", route == nullptr ? "" : route->name},
            {"customer", admission.customer.value},
            {"cause", std::string(NameOf(end.cause))},
            {"status", std::to_string(end.status)},
            {"target", choice.target.name.value},
            {"via", attempt.path.peer.value},
            {"version", choice.target.version.value},
            {"sends", std::to_string(progress.sends)},
            {"home", choice.is_preferred ? "yes" : "no"},
            {"expected_ms", std::to_string(std::lround(choice.cost_ms))},
            {"first_expected_ms",
             std::to_string(std::lround(choice.first_event_ms))},
            {"first_ms", MillisecondsText(progress.first_event)},
            {"pause_ms", MillisecondsText(progress.longest_pause)},
            {"events", std::to_string(progress.events)},
            {"held", std::to_string(admission.worst_case)},
            {"cost", std::to_string(end.cost)},
            {"config", std::to_string(end.config_version)},
            {"ms", MillisecondsText(end.took)},
            {"by", std::string(NameOf(EndedByOf(end.why, end.fault)))},
            {"why", std::string(NameOf(end.why))},
            {"fault", std::string(NameOf(end.fault))}});
}

void LogRequestOverran(const Admission& admission,
                       const RequestProgress& progress,
                       const AttemptState& attempt, RelayState state,
                       Duration since, Duration left) {
  LogEvent(Event::kRequestOverran,
           {{"request", admission.facts.id.value},
            {"route", admission.route == nullptr ? "" : admission.route->name},
            {"target", attempt.choice.target.name.value},
            {"state", std::string(NameOf(state))},
            {"events", std::to_string(progress.events)},
            {"first_ms", MillisecondsText(progress.first_event)},
            {"ms", MillisecondsText(since)},
            {"left_ms", MillisecondsText(left)}});
}

}  // namespace quaytrack
