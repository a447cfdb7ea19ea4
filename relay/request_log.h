// The log lines about a request: `attempt_ended`, for each attempt that gave
// the caller no answer, and `relay_ended`, for each request. Together they tell
// which way it went; docs/ON-CALL-relay.md shows how to read them.
// `request_overran` names those that a planned stop has no more time for.
//
//   RequestProgress progress;             // kept by the request on its way
//   LogAttemptEnded(id, progress, {Ran::kUnknown, now, took, fingerprint});
//   LogRequestEnded(admission, progress, {cause, status, cost, version, took});

#ifndef QUAYTRACK_RELAY_REQUEST_LOG_H_
#define QUAYTRACK_RELAY_REQUEST_LOG_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/placement.h"
#include "dispatch/rate_limits.h"
#include "relay/admission.h"
#include "relay/final_answer.h"
#include "relay/ran.h"
#include "relay/relay_chart.h"

namespace quaytrack {

// How far a request has come, over all its attempts.
struct RequestProgress {
  // Times that it was sent.
  int sends = 0;
  // Events of the stream that were passed on.
  int events = 0;
  // The target of the latest attempt, and what decided for it.
  PlacementChoice choice;
  // Status of the latest answer's head; 0 before the first. An attempt without
  // an answer leaves what the one before it got.
  int status = 0;
  // When the latest attempt's answer began; nothing if it has none.
  std::optional<Instant> head_at;
  // From the latest send to its first event, if one has come.
  Duration first_event{};
  // The longest between two events of one attempt, as they came here.
  Duration longest_pause{};
};

struct RequestEnd {
  RelayCause cause = RelayCause::kServed;
  // What the caller got: the target's status or the relay's own, or 0 if a
  // stream was cut or the caller had gone.
  int status = 0;
  Tokens cost = 0;
  // Of the configuration that it was admitted under; 0 without one.
  std::uint64_t config_version = 0;
  // From its first byte.
  Duration took{};
};

// The attempt that is over.
struct AttemptEnd {
  Ran ran = Ran::kUnknown;
  Instant now{};
  // From its send.
  Duration took{};
  // Of the request, if its target may have ended under it; else empty.
  Fingerprint fingerprint;
};

void LogAttemptEnded(const RequestId& id, const RequestProgress& progress,
                     const AttemptEnd& end);

// A request that is refused as one that crashes targets, for `left` from now.
void LogBlamedRefused(const RequestId& id, const Fingerprint& fingerprint,
                      Duration left);

// A request that was not written to a target, as that may get no work any more.
void LogSendHeldBack(const RequestId& id, const TargetEntry& target);

// What an answer says of its target: that it leaves, or wants nothing of this
// router for a while.
void LogSaysLeaving(const RequestId& id, const TargetEntry& target);
void LogBacksOff(const RequestId& id, const TargetEntry& target, Duration wait);

// A target's rate limit has changed; `by` says who told of it.
void LogRateLimit(const TargetStart& target, const RateLimits& limits,
                  const std::string& by);

void LogRequestEnded(const Admission& admission,
                     const RequestProgress& progress, const RequestEnd& end);

// A request that still runs when a planned stop has no more time for requests:
// how far it has come. `state` is its chart's, `since` its time from its first
// byte, and `left` the time until the process is killed.
void LogRequestOverran(const Admission& admission,
                       const RequestProgress& progress, RelayState state,
                       Duration since, Duration left);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REQUEST_LOG_H_
