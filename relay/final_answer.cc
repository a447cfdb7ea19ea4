#include "relay/final_answer.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "dispatch/crash_blame.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// When a caller should come back, by how long the reason is likely to last. All
// of them are guesses that were not measured.
//
// Targets free room, and the list of targets changes, all the time: a short
// wait leaves the caller most of its time for another attempt.
constexpr Duration kWhenTargetsChange = milliseconds(200);
// A router that has just started reads its configuration from the store in a
// few round trips.
constexpr Duration kWhenConfigured = milliseconds(500);
// A part of a budget that could not be had from the store and the peers within
// the time that a request waits for it (relay/hold_patience.h) is not to be
// had a moment later either.
constexpr Duration kWhenGranted = milliseconds(1000);

// Operators close halls and bind requests to regions for some seconds at least,
// and nobody says for how long.
constexpr Duration kWhenOperatorsChange = milliseconds(2000);

// Another router can take it at once, if the balancer has one. A longer wait
// would make the answer late for certain, to spare some callers another refusal
// by a router that stops as well.
constexpr Duration kWhenElsewhere = milliseconds(50);

std::string SecondsText(Duration d) {
  char out[32];
  std::snprintf(out, sizeof out, "%.2f", ToSeconds(d));
  return out;
}

}  // namespace

int FinalStatus(RelayCause cause, Ran ran) {
  switch (cause) {
    case RelayCause::kMalformed:
      return 400;
    case RelayCause::kUnknownKey:
      return 401;
    case RelayCause::kBudgetExhausted:
      return 402;
    case RelayCause::kNoRoute:
      return 404;
    case RelayCause::kNoConfiguration:
    case RelayCause::kBudgetUnavailable:
    case RelayCause::kNoTarget:
    case RelayCause::kTargetsCold:
    case RelayCause::kTargetsLimited:
    case RelayCause::kHallsClosed:
    case RelayCause::kOutsideResidency:
    case RelayCause::kTurnedAway:
    case RelayCause::kCrashesTargets:
      return 503;
    case RelayCause::kTargetFailed:
      return 502;
    case RelayCause::kTimedOut:
      return ran == Ran::kNo ? 503 : 504;
    case RelayCause::kStopped:
      return ran == Ran::kNo ? 503 : 502;
    case RelayCause::kServed:
    case RelayCause::kTargetError:
    case RelayCause::kStreamBroke:
    case RelayCause::kCallerGone:
      return 0;
  }
  return 0;
}

Duration RetryAfter(RelayCause cause) {
  switch (cause) {
    case RelayCause::kNoTarget:
    case RelayCause::kTargetsCold:
    case RelayCause::kTargetsLimited:
    case RelayCause::kTurnedAway:
    case RelayCause::kTimedOut:
      return kWhenTargetsChange;
    case RelayCause::kNoConfiguration:
      return kWhenConfigured;
    case RelayCause::kBudgetUnavailable:
      return kWhenGranted;
    case RelayCause::kHallsClosed:
    case RelayCause::kOutsideResidency:
      return kWhenOperatorsChange;
    case RelayCause::kStopped:
      return kWhenElsewhere;
    case RelayCause::kCrashesTargets:
      return kCrashMemory;
    default:
      return Duration::zero();
  }
}

FinalAnswer MakeFinalAnswer(RelayCause cause, Ran ran,
                            std::optional<Duration> known_wait) {
  FinalAnswer out;
  out.head.status = FinalStatus(cause, ran);
  out.head.headers.push_back({"Content-Type", "application/json"});
  const Duration wait = known_wait.value_or(RetryAfter(cause));
  if (ran == Ran::kNo && wait > Duration::zero()) {
    out.head.headers.push_back({"Retry-After", SecondsText(wait)});
  }
  const nlohmann::ordered_json body = {{"error", NameOf(cause)},
                                       {"ran", NameOf(ran)}};
  out.body = body.dump() + "\n";
  return out;
}

}  // namespace quaytrack
