#include "relay/attempt.h"

#include <algorithm>

namespace quaytrack {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How long a connection to a target may take to open; nothing of the request
// has run by then, so another target may take it. Not measured.
constexpr Duration kConnectTimeout = milliseconds(250);

// The timeout of the first event of a stream, in parts of the time in which
// the route wants it (`RouteRule::target_latency`). Raised from 1.25 by commit
// 9ed3aa6, whose trial (scale-1, one run) had found 731,000 of 3.7M tokens
// spent on sends that the router itself had given up. That commit changed three
// other things as well: by itself this figure was not measured.
constexpr double kStreamTimeoutFactor = 2.6;

// The same for the whole answer of another route. Under 1, so that a second
// target can still answer in time. Not measured.
constexpr double kCallTimeoutFactor = 0.8;

// The timeout of the next event, in parts of the longest pause that the
// route allows (`RouteRule::target_gap`), and the least of it: going on
// elsewhere costs another read of the prompt. Neither was measured.
constexpr double kEventTimeoutFactor = 2.5;
constexpr Duration kLeastEventTimeout = milliseconds(1000);

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
  return std::max(kLeastEventTimeout,
                  Scaled(route.target_gap, kEventTimeoutFactor));
}

bool AnswersRequest(const AnswerFacts& answer, const RequestId& request) {
  if (answer.request == request) return true;
  return answer.request.empty() && answer.not_run;
}

HttpHead HeadForCaller(const HttpHead& head) {
  HttpHead out;
  out.status = head.status;
  out.reason = head.reason;
  for (const HttpHeader& it : head.headers) {
    if (!IsHopHeader(head, it.name)) out.headers.push_back(it);
  }
  return out;
}

AttemptVerdict JudgeAttempt(const AttemptFacts& facts) {
  if (facts.end == CallEnd::kHeldBack) {
    return {false, Ran::kNo, PlacementOutcome::kNeutral};
  }
  if (facts.end == CallEnd::kNotSent) {
    return {false, Ran::kNo, PlacementOutcome::kFailed};
  }
  const AttemptVerdict failed = {false, Ran::kUnknown,
                                 PlacementOutcome::kFailed};
  if (facts.end == CallEnd::kBroken) return failed;
  if (facts.answer.not_run) {
    return {false, Ran::kNo, PlacementOutcome::kTurnedAway};
  }
  if (!MayPassOn(facts.status, facts.answer.sealed)) return failed;
  if (facts.in_event) return failed;
  // A stream that has begun can't end in another answer.
  if (facts.streaming && !IsSuccess(facts.status)) return failed;
  // An error may be the request's own fault as well as the target's.
  const PlacementOutcome outcome = IsServerError(facts.status)
                                       ? PlacementOutcome::kNeutral
                                       : PlacementOutcome::kGood;
  return {true, Ran::kUnknown, outcome};
}

}  // namespace quaytrack
