// One attempt: a request is sent to one target, and something comes back, or
// nothing. The rules here say how long to wait, and what it means when the
// attempt is over. They hold no state and read no clock; RelayedRequest keeps
// the call and its timers, and relay/retry.h decides what comes next.
//
//   timer = loop.After(FirstAnswerTimeout(route, left), ...);
//   const AttemptVerdict it = JudgeAttempt({end, answer, status, ...});
//   if (!it.answered) ...  // `it.ran` decides whether it may be sent again
//
// Timeouts. An attempt that takes too long is stopped only if the request may
// be sent to another target; else waiting on is the best that can be done for
// the caller, and only its deadline ends it. An attempt whose connection has
// not opened in time is ended in any case, as nothing of it has run.
//
// What an answer means. A success is passed on only with the seal by which its
// target vouches for it, and only whole. Errors carry no seal and are passed on
// as they are. Only an explicit statement of the target, or the knowledge that
// no byte left this VM, says that a request has not run.

#ifndef QUAYTRACK_RELAY_ATTEMPT_H_
#define QUAYTRACK_RELAY_ATTEMPT_H_

#include "base/clock.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "http/target_connection.h"
#include "net/http_message.h"
#include "relay/dialect.h"
#include "relay/ran.h"

namespace quaytrack {

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }
inline bool IsServerError(int status) { return status >= 500; }

// --- Timeouts ----------------------------------------------------------------

// From the send to the first byte of the answer's body that counts: the first
// event of a stream, or the end of another answer. `left` is the time until the
// request's deadline.
Duration FirstAnswerTimeout(const RouteRule& route, Duration left);

// From the send until the connection has opened and taken a first byte.
Duration ConnectTimeout(const RouteRule& route, Duration left);

// From one event of a stream to the next.
Duration NextEventTimeout(const RouteRule& route);

// --- Answers -----------------------------------------------------------------

// Whether an answer is one that this attempt waits for. A target may send an
// answer to another request on a kept connection; one without any request's id
// counts only if it says that nothing has run.
bool AnswersRequest(const AnswerFacts& answer, const RequestId& request);

// Whether the caller may get an answer with that status.
inline bool MayPassOn(int status, bool sealed) {
  return sealed || !IsSuccess(status);
}

// Whether an answer is passed on event by event, while it comes.
inline bool IsPassedOnByEvent(RouteKind kind, int status, bool sealed) {
  return kind == RouteKind::kStreaming && sealed && IsSuccess(status);
}

// A target's head as the caller gets it.
HttpHead HeadForCaller(const HttpHead& head);

// What is known when the connection says that a call is over.
struct AttemptFacts {
  CallEnd end = CallEnd::kNotSent;
  // Of the answer, if its head has come.
  AnswerFacts answer;
  int status = 0;
  // The body ended inside an event of a stream.
  bool in_event = false;
  // Events of this request have been passed on, of this attempt or another.
  bool streaming = false;
};

struct AttemptVerdict {
  // The answer is whole, and is the caller's.
  bool answered = false;
  Ran ran = Ran::kUnknown;
  // What it says for or against the target.
  PlacementOutcome outcome = PlacementOutcome::kFailed;
};

AttemptVerdict JudgeAttempt(const AttemptFacts& facts);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ATTEMPT_H_
