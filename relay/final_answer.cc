#include "relay/final_answer.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "dispatch/crash_blame.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Retry-After values, by how long the reason is likely to last.
//
// Targets free capacity, and the list of targets changes, all the time: a short
// wait leaves the caller most of its time for another attempt.
constexpr Duration kRetryAfterTargetChange = milliseconds(200);
// A router that has just started reads its configuration from the store in a
// few round trips.
constexpr Duration kRetryAfterConfiguration = milliseconds(500);
// Tokens that neither the store nor the peers granted within the time that a
// request waits for them (relay/hold_patience.h) won't be available a moment
// later either.
constexpr Duration kRetryAfterGrant = milliseconds(1000);

// A budget that is scarce has a horizon of some seconds; prepaid/scarcity.h
// gives each request a shorter time.
constexpr Duration kRetryAfterReserved = milliseconds(2500);

// A charge without proof is taken back only by an operator who raises the
// limit, which takes minutes.
constexpr Duration kRetryAfterCharge = std::chrono::seconds(60);

// Operators close halls and restrict requests to regions for some seconds at
// least, without stating for how long.
constexpr Duration kRetryAfterOperatorChange = milliseconds(2000);

// Another router can take the request at once, if the balancer has one. A
// longer wait would delay every answer, only to spare some callers a second
// refusal by a router that is stopping too.
constexpr Duration kRetryAfterOtherRouter = milliseconds(50);

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
    case RelayCause::kConfigurationInDoubt:
    case RelayCause::kBudgetUnavailable:
    case RelayCause::kBudgetReserved:
    case RelayCause::kBudgetCharged:
    case RelayCause::kNoTarget:
    case RelayCause::kTargetsCold:
    case RelayCause::kTargetsLimited:
    case RelayCause::kHallsClosed:
    case RelayCause::kOutsideResidency:
    case RelayCause::kVersionUnknown:
    case RelayCause::kVersionGone:
    case RelayCause::kTargetsUnreachable:
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
    case RelayCause::kVersionUnknown:
    case RelayCause::kVersionGone:
      return kRetryAfterTargetChange;
    case RelayCause::kNoConfiguration:
      return kRetryAfterConfiguration;
    case RelayCause::kBudgetUnavailable:
      return kRetryAfterGrant;
    case RelayCause::kBudgetReserved:
      return kRetryAfterReserved;
    case RelayCause::kBudgetCharged:
      return kRetryAfterCharge;
    case RelayCause::kHallsClosed:
    case RelayCause::kOutsideResidency:
      return kRetryAfterOperatorChange;
    case RelayCause::kConfigurationInDoubt:
    case RelayCause::kTargetsUnreachable:
    case RelayCause::kStopped:
      return kRetryAfterOtherRouter;
    case RelayCause::kCrashesTargets:
      return kCrashMemory;
    default:
      return Duration::zero();
  }
}

FinalAnswer MakeFinalAnswer(RelayCause cause, Ran ran,
                            std::optional<Duration> retry_after) {
  FinalAnswer out;
  out.head.status = FinalStatus(cause, ran);
  out.head.headers.push_back({"Content-Type", "application/json"});
  const Duration wait = retry_after.value_or(RetryAfter(cause));
  if (ran == Ran::kNo && wait > Duration::zero()) {
    out.head.headers.push_back({"Retry-After", SecondsText(wait)});
  }
  const nlohmann::ordered_json body = {{"error", NameOf(cause)},
                                       {"ran", NameOf(ran)}};
  out.body = body.dump() + "\n";
  return out;
}

}  // namespace quaytrack
