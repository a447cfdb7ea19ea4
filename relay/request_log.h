// The log lines about a request: `attempt_ended`, for each attempt that gave
// the caller no answer, and `relay_ended`, for each request. Together they show
// the request's path; the on-call guide explains how to read them.
// `request_overran` names requests for which a planned stop has no more time.
//
//   RequestProgress progress;             // updated by the request
//   LogAttemptEnded(id, progress, attempt, {Ran::kUnknown, fault, now, ...});
//   LogRequestEnded(admission, progress, attempt, {cause, why, ...});
//
// The functions keep no state and report no errors. Times are durations of
// std::chrono, costs are tokens.

#ifndef QUAYTRACK_RELAY_REQUEST_LOG_H_
#define QUAYTRACK_RELAY_REQUEST_LOG_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/crash_blame.h"
#include "dispatch/rate_limits.h"
#include "relay/admission.h"
#include "relay/attempt.h"
#include "relay/attempt_state.h"
#include "relay/ended_by.h"
#include "relay/final_answer.h"
#include "relay/ran.h"
#include "relay/relay_chart.h"
#include "relay/stream_versions.h"

namespace quaytrack {

// The progress of a request, over all its attempts.
struct RequestProgress {
  // Number of sends.
  int sends = 0;
  // Events of the stream that were forwarded.
  int events = 0;
  // Time from the latest send to its first event, if one has arrived.
  Duration first_event{};
  // The longest pause between two events of one attempt, as received.
  Duration longest_pause{};
};

struct RequestEnd {
  RelayCause cause = RelayCause::kServed;
  // Why the request was given up. `cause` is what the caller was told: a stream
  // that was cut is `kStreamBroke` for whatever reason.
  RelayCause why = RelayCause::kServed;
  // Fault of the last attempt that ended without an answer.
  AttemptFault fault = AttemptFault::kNone;
  // The status that the caller got, from the target or the router; 0 if a
  // stream was cut or the caller had left.
  int status = 0;
  Tokens cost = 0;
  // Version of the configuration that the request was admitted under; 0 without
  // one.
  std::uint64_t config_version = 0;
  // Time from the request's first byte to its end.
  Duration took{};
};

// An attempt that has ended.
struct AttemptEnd {
  Ran ran = Ran::kUnknown;
  AttemptFault fault = AttemptFault::kNone;
  Instant now{};
  // How long another attempt has run beside this one.
  Duration beside{};
  // Fingerprint of the request if it may have run in this attempt; else empty.
  Fingerprint fingerprint;
  // The shared parts of its prompt.
  std::vector<PartId> parts;
};

void LogAttemptEnded(const RequestId& id, const RequestProgress& progress,
                     const AttemptState& attempt, const AttemptEnd& end);

// Logs that an attempt without an answer goes on while the request is sent to
// another target, for the reason `kept_for`.
void LogAttemptKept(const RequestId& id, const RequestProgress& progress,
                    const AttemptState& attempt, AttemptFault kept_for,
                    Instant now);

// Logs that a kept attempt is the current one again: it has answered, or it is
// the only one that may still finish.
void LogAttemptWentOn(const RequestId& id, const RequestProgress& progress,
                      const AttemptState& attempt, bool has_answered,
                      Instant now);

// Logs that a request was refused, because it or its parts crash targets. It
// will be refused for the time `left` from now.
void LogBlamedRefused(const RequestId& id, const Fingerprint& fingerprint,
                      const Blame& blame, Duration left);

// What shows the version of a stream that a caller takes up.
enum class VersionSource {
  kNote,  // a router that has heard of the stream
  kList,  // the list of targets, which has had one version
  kNone,  // nothing
};

template <>
struct EnumTable<VersionSource> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<VersionSource>>({{VersionSource::kNote, "note"},
                                               {VersionSource::kList, "list"},
                                               {VersionSource::kNone, "none"}});
};

// Logs a request whose caller takes a stream up, the version that began it, and
// the run that had the stream; both are unset if nothing shows them.
void LogStreamTakenUp(const Admission& admission,
                      const std::optional<VersionName>& version,
                      VersionSource source,
                      const std::optional<StreamRun>& run);

// Logs a request that was not written to a target, as the target may no longer
// receive work.
void LogSendHeldBack(const RequestId& id, const TargetEntry& target);

// The next two functions log that an answer states that its target leaves, or
// that its target accepts nothing from this router for `wait`.
void LogSaysLeaving(const RequestId& id, const TargetEntry& target);
void LogBacksOff(const RequestId& id, const TargetEntry& target, Duration wait);

// Logs a service's new rejection limit, or its end if `max_rejections` is
// unset; `by` names the source.
void LogRejectionLimit(const ServiceName& service,
                       std::optional<int> max_rejections,
                       const std::string& by);

// Logs that a target's rate limit has changed; `by` names the source.
void LogRateLimit(const TargetStart& target, const RateLimits& limits,
                  const std::string& by);

// `attempt` is the latest one.
void LogRequestEnded(const Admission& admission,
                     const RequestProgress& progress,
                     const AttemptState& attempt, const RequestEnd& end);

// Logs a request that still runs when a planned stop has no more time for
// requests. `state` is its chart's state, `since` the time from its first byte,
// and `left` the time until the process is killed.
void LogRequestOverran(const Admission& admission,
                       const RequestProgress& progress,
                       const AttemptState& attempt, RelayState state,
                       Duration since, Duration left);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REQUEST_LOG_H_
