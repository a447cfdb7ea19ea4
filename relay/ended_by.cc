#include "relay/ended_by.h"

namespace quaytrack {
namespace {

bool IsFailureOfTarget(AttemptFault fault) {
  switch (fault) {
    case AttemptFault::kNotOpened:
    case AttemptFault::kBroken:
    case AttemptFault::kMalformed:
    case AttemptFault::kServerError:
    case AttemptFault::kTurnedAway:
    case AttemptFault::kUnproven:
    case AttemptFault::kInvalid:
      return true;
    case AttemptFault::kNone:
    case AttemptFault::kOpenTimeout:
    case AttemptFault::kTimeout:
    case AttemptFault::kNoTunnel:
    case AttemptFault::kTunnelBroken:
    case AttemptFault::kPathChanged:
    case AttemptFault::kHeldBack:
    case AttemptFault::kSuperseded:
    case AttemptFault::kNoSign:
      return false;
  }
  return false;
}

}  // namespace

EndedBy EndedByOf(RelayCause why, AttemptFault fault) {
  switch (why) {
    case RelayCause::kServed:
    case RelayCause::kTargetError:
      return EndedBy::kTarget;
    case RelayCause::kTimedOut:
      return EndedBy::kDeadline;
    case RelayCause::kStopped:
      return EndedBy::kStop;
    case RelayCause::kCallerGone:
      return EndedBy::kCaller;
    case RelayCause::kTurnedAway:
    case RelayCause::kTargetFailed:
      return IsFailureOfTarget(fault) ? EndedBy::kTarget : EndedBy::kRouter;
    default:
      return EndedBy::kRouter;
  }
}

}  // namespace quaytrack
