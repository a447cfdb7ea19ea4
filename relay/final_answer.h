// What a caller is told when no target's answer is passed on: the status, the
// cause, whether the request has run, and when to come back. Every status and
// every Retry-After of the relay's own stands in final_answer.cc.
//
//   const FinalAnswer it = MakeFinalAnswer(RelayCause::kNoTarget, Ran::kNo);
//   caller.Reply(it.head, it.body);   // 503, Retry-After: 0.20
//
// The body is one line of JSON: {"error":"no_target","ran":"no"}.
//
// A refusal (`Ran::kNo`) promises that the request has not run and won't. It
// goes out as soon as that is known, so that the caller has the rest of its
// time for another attempt, and a 503 tells it when one is likely to succeed:
// the least time after which the reason may have passed. Refusals that the
// caller alone can mend (400, 401, 402, 404) name no time. Neither do answers
// to requests that may have run (502, 504): whether to repeat those is the
// caller's decision.

#ifndef QUAYTRACK_RELAY_FINAL_ANSWER_H_
#define QUAYTRACK_RELAY_FINAL_ANSWER_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/enum_table.h"
#include "net/http_message.h"
#include "relay/ran.h"

namespace quaytrack {

// Why a request ended as it did; one word of the log and of the metrics.
enum class RelayCause {
  kServed,
  kTargetError,  // the target's own error, passed on
  kNoConfiguration,
  kMalformed,
  kNoRoute,
  kUnknownKey,
  kBudgetExhausted,
  kBudgetUnavailable,
  kNoTarget,
  kTargetsCold,     // they have just started, and bear no more for now
  kTargetsLimited,  // they have named rate limits, which allow no more for now
  kHallsClosed,     // operators have closed the halls of all its targets
  kOutsideResidency,  // it may be processed in no region that has a target
  kTurnedAway,        // no attempt has run, and no further one is allowed
  kTargetFailed,      // may have run
  kTimedOut,
  kStreamBroke,
  kCallerGone,
  kStopped,         // a planned stop of this router had no more time for it
  kCrashesTargets,  // relay/crash_watch.h
};

template <>
struct EnumTable<RelayCause> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RelayCause>>(
      {{RelayCause::kServed, "served"},
       {RelayCause::kTargetError, "target_error"},
       {RelayCause::kNoConfiguration, "no_configuration"},
       {RelayCause::kMalformed, "malformed"},
       {RelayCause::kNoRoute, "no_route"},
       {RelayCause::kUnknownKey, "unknown_key"},
       {RelayCause::kBudgetExhausted, "budget_exhausted"},
       {RelayCause::kBudgetUnavailable, "budget_unavailable"},
       {RelayCause::kNoTarget, "no_target"},
       {RelayCause::kTargetsCold, "targets_cold"},
       {RelayCause::kTargetsLimited, "targets_limited"},
       {RelayCause::kHallsClosed, "halls_closed"},
       {RelayCause::kOutsideResidency, "outside_residency"},
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

// The status of the relay's own answer; 0 if a request that ends for this cause
// gets none (a cut stream, a caller that has gone) or a target's answer.
int FinalStatus(RelayCause cause, Ran ran);

// When a caller that was refused for `cause` should come back; zero to leave it
// to the caller. For a request that crashes targets, the longest that it may
// be.
Duration RetryAfter(RelayCause cause);

// The answer for a cause whose status is not 0. `wait` is when to come back, if
// more is known of it than the cause.
FinalAnswer MakeFinalAnswer(RelayCause cause, Ran ran,
                            std::optional<Duration> wait = std::nullopt);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FINAL_ANSWER_H_
