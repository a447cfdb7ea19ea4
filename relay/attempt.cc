#include "relay/attempt.h"

#include <algorithm>

namespace quaytrack {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How long a connection to a target may take to open. Nothing of the request
// has run by then, so another target may take it.
constexpr Duration kConnectTimeout = milliseconds(250);

// The timeout of a stream's first event, as a multiple of the route's target
// for it (`RouteRule::target_latency`). A send that the router gives up has
// used its engine in vain, so a slow one is left more time than a lost one
// would need.
constexpr double kStreamTimeoutFactor = 2.6;

// The timeout of the complete answer on other routes, as a multiple of
// `RouteRule::target_latency`. The factor is below 1, so that a second target
// can still answer in time.
constexpr double kCallTimeoutFactor = 0.8;

// The timeout of the next event, as a multiple of the longest pause that the
// route allows (`RouteRule::target_gap`), and its minimum. Both are long, since
// continuing at another target costs another prefill of the prompt.
constexpr double kEventTimeoutFactor = 2.5;
constexpr Duration kMinEventTimeout = milliseconds(1000);

Duration Scaled(milliseconds d, double x) {
  return duration_cast<Duration>(std::chrono::duration<double, std::milli>(
      static_cast<double>(d.count()) * x));
}

}  // namespace

Duration FirstAnswerTimeout(const RouteRule& route, Duration left) {
  if (!route.Repeatable()) return left;
  const bool stream = route.kind == RouteKind::kStreaming;
  return Scaled(route.target_latency,
                stream ? kStreamTimeoutFactor : kCallTimeoutFactor);
}

Duration ConnectTimeout(const RouteRule& route, Duration left) {
  return std::min(kConnectTimeout, FirstAnswerTimeout(route, left));
}

Duration NextEventTimeout(const RouteRule& route) {
  return std::max(kMinEventTimeout,
                  Scaled(route.target_gap, kEventTimeoutFactor));
}

bool AnswersRequest(const AnswerFacts& answer, const RequestId& request,
                    bool is_first_call) {
  if (answer.request == request) return true;
  return answer.request.empty() && answer.not_run && is_first_call;
}

HttpHead HeadForCaller(const HttpHead& head) {
  HttpHead out;
  out.status = head.status;
  out.reason = head.reason;
  const HopHeaders hop(head);
  for (const HttpHeader& it : head.headers) {
    if (!hop.Contains(it.name)) out.headers.push_back(it);
  }
  return out;
}

LostLinksStep StepAfterLostLinks(const LostLinksFacts& facts) {
  if (!facts.is_direct) return LostLinksStep::kKeep;
  if (facts.ran == Ran::kNo) return LostLinksStep::kUndo;
  // Connections may live on while new ones are refused.
  if (facts.is_paused || !facts.is_silent) return LostLinksStep::kKeep;
  return LostLinksStep::kRetry;
}

AttemptResult EvaluateAttempt(const AttemptFacts& facts) {
  if (facts.end == CallEnd::kCancelledBeforeSend) {
    return {false, Ran::kNo, PlacementOutcome::kNeutral,
            AttemptFault::kHeldBack};
  }
  if (facts.end == CallEnd::kNoTunnel) {
    return {false, Ran::kNo, PlacementOutcome::kNeutral,
            AttemptFault::kNoTunnel};
  }
  if (facts.end == CallEnd::kNotSent) {
    return {false, Ran::kNo, PlacementOutcome::kFailed,
            AttemptFault::kNotOpened};
  }
  // The peer's process or the path to it has ended; the target may be sound.
  if (facts.end == CallEnd::kTunnelBroken) {
    return {false, Ran::kUnknown, PlacementOutcome::kNeutral,
            AttemptFault::kTunnelBroken};
  }
  AttemptResult failed;
  if (facts.end == CallEnd::kBroken) {
    failed.fault = AttemptFault::kBroken;
    return failed;
  }
  if (facts.end == CallEnd::kMalformed) {
    failed.fault = AttemptFault::kMalformed;
    return failed;
  }
  if (facts.answer.not_run) {
    return {false, Ran::kNo, PlacementOutcome::kRefused,
            AttemptFault::kTurnedAway};
  }
  if (!MayForward(facts.status, facts.answer.sealed)) return failed;
  if (facts.in_event) return failed;
  // A stream that has started can't end with another answer.
  if (facts.streaming && !IsSuccess(facts.status)) return failed;
  // An error may be the fault of the request rather than of the target.
  if (PromisesNotRun(facts.status)) {
    return {false, Ran::kUnknown, PlacementOutcome::kNeutral,
            AttemptFault::kUnproven};
  }
  if (IsServerError(facts.status)) {
    return {true, Ran::kUnknown, PlacementOutcome::kNeutral,
            AttemptFault::kServerError};
  }
  return {true, Ran::kUnknown, PlacementOutcome::kGood, AttemptFault::kNone};
}

}  // namespace quaytrack
