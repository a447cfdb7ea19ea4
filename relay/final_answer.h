// The router's own answer to a caller, sent when no target's answer is
// forwarded: the status, the cause, whether the request has run, and when to
// retry. Every such status and Retry-After is defined in final_answer.cc.
//
//   const FinalAnswer it = MakeFinalAnswer(RelayCause::kNoTarget, Ran::kNo);
//   caller.Reply(it.head, it.body);   // 503, Retry-After: 0.20
//
// The body is one line of JSON: {"error":"no_target","ran":"no"}.
//
// A refusal (`Ran::kNo`) guarantees that the request has not run and won't run.
// A refusal is sent as soon as that is known, so that the caller has the rest
// of its time for another attempt. A 503 states when a retry is likely to
// succeed: the shortest time after which the reason may have passed. Refusals
// that only the caller can fix (400, 401, 402, 404) carry no Retry-After.
// Neither do answers to requests that may have run (502, 504): whether to
// repeat those is the caller's decision.

#ifndef QUAYTRACK_RELAY_FINAL_ANSWER_H_
#define QUAYTRACK_RELAY_FINAL_ANSWER_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/enum_table.h"
#include "net/http_message.h"
#include "relay/ran.h"

namespace quaytrack {

// Why a request ended. The log and the metrics name this cause.
enum class RelayCause {
  kServed,
  kTargetError,  // an error from the target, forwarded
  kNoConfiguration,
  // The configuration may have been replaced, and a later one may decide
  // otherwise.
  kConfigurationInDoubt,
  kMalformed,
  kNoRoute,
  kUnknownKey,
  kBudgetExhausted,
  kBudgetUnavailable,
  kBudgetReserved,  // scarce, and kept for more urgent requests
  kBudgetCharged,   // the rest is charged for dead routers, without proof
  kNoTarget,
  kTargetsCold,         // just started, at their limit for now
  kTargetsLimited,      // at the rate limits that they announced
  kHallsClosed,         // operators closed the halls of all targets
  kOutsideResidency,    // no target in an allowed region
  kVersionUnknown,      // of a stream that its caller takes up
  kVersionGone,         // no target of the version that began the stream
  kTargetsUnreachable,  // by this router, and no peer carries the request
  kTurnedAway,          // no attempt has run; no retry is allowed
  kTargetFailed,        // the request may have run
  kTimedOut,
  kStreamBroke,
  kCallerGone,
  kStopped,         // a planned stop has no time left for it
  kCrashesTargets,  // relay/crash_watch.h
};

template <>
struct EnumTable<RelayCause> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RelayCause>>(
      {{RelayCause::kServed, "served"},
       {RelayCause::kTargetError, "target_error"},
       {RelayCause::kNoConfiguration, "no_configuration"},
       {RelayCause::kConfigurationInDoubt, "configuration_in_doubt"},
       {RelayCause::kMalformed, "malformed"},
       {RelayCause::kNoRoute, "no_route"},
       {RelayCause::kUnknownKey, "unknown_key"},
       {RelayCause::kBudgetExhausted, "budget_exhausted"},
       {RelayCause::kBudgetUnavailable, "budget_unavailable"},
       {RelayCause::kBudgetReserved, "budget_reserved"},
       {RelayCause::kBudgetCharged, "budget_charged"},
       {RelayCause::kNoTarget, "no_target"},
       {RelayCause::kTargetsCold, "targets_cold"},
       {RelayCause::kTargetsLimited, "targets_limited"},
       {RelayCause::kHallsClosed, "halls_closed"},
       {RelayCause::kOutsideResidency, "outside_residency"},
       {RelayCause::kVersionUnknown, "version_unknown"},
       {RelayCause::kVersionGone, "version_gone"},
       {RelayCause::kTargetsUnreachable, "targets_unreachable"},
       {RelayCause::kTurnedAway, "turned_away"},
       {RelayCause::kTargetFailed, "target_failed"},
       {RelayCause::kTimedOut, "timed_out"},
       {RelayCause::kStreamBroke, "stream_broke"},
       {RelayCause::kCallerGone, "caller_gone"},
       {RelayCause::kStopped, "stopped"},
       {RelayCause::kCrashesTargets, "crashes_targets"}});
};

struct FinalAnswer {
  HttpHead head;
  std::string body;
};

// The status of the router's own answer; 0 if a request that ends for this
// cause gets no such answer (a target's answer, a cut stream, a caller that has
// left).
int FinalStatus(RelayCause cause, Ran ran);

// When a caller that was refused for `cause` should retry; zero if it gets no
// Retry-After. For kCrashesTargets and kBudgetReserved, the longest
// possible time.
Duration RetryAfter(RelayCause cause);

// The answer for a cause whose status is not 0. `retry_after` overrides the
// time that the cause implies.
FinalAnswer MakeFinalAnswer(RelayCause cause, Ran ran,
                            std::optional<Duration> retry_after = std::nullopt);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FINAL_ANSWER_H_
