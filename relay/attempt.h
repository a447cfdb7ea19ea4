// The rules of one attempt, that is, of sending a request to one target: how
// long to wait for the answer, and what the end of the attempt means. They are
// stateless and read no clock. RelayedRequest keeps the call and its timers,
// and relay/retry.h decides what comes next.
//
//   timer = loop.After(FirstAnswerTimeout(route, left), ...);
//   const AttemptResult it = EvaluateAttempt({end, answer, status, ...});
//   if (!it.answered) ...  // `it.ran` decides whether it may be sent again
//
// Timeouts. An attempt that takes too long isn't stopped, as its target may be
// sound and go on: the request is sent to another target beside it, if it may
// be (relay/relayed_request.h). An attempt whose connection doesn't open in
// time is always stopped, as nothing of it has run.
//
// Answers. A success is forwarded only if it is complete and carries the seal
// by which its target vouches for it. Errors carry no seal and are forwarded as
// they are. A request counts as not run only if the target states so
// explicitly, or if no byte left this VM. Without such a statement, an error
// whose status promises its caller that nothing has run isn't forwarded: the
// target may have run the request and then answered so.

#ifndef QUAYTRACK_RELAY_ATTEMPT_H_
#define QUAYTRACK_RELAY_ATTEMPT_H_

#include "base/clock.h"
#include "base/enum_table.h"
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

// Returns the timeout from the send to the first useful byte of the answer's
// body: the first event of a stream, or the end of any other answer. `left` is
// the time until the request's deadline.
Duration FirstAnswerTimeout(const RouteRule& route, Duration left);

// Returns the timeout from the send until the connection has opened and
// accepted a first byte.
Duration ConnectTimeout(const RouteRule& route, Duration left);

// Returns the timeout from one event of a stream to the next.
Duration NextEventTimeout(const RouteRule& route);

// --- Answers -----------------------------------------------------------------

// Whether an answer belongs to this attempt. On a kept-alive connection a
// target may send an answer to another request. An answer without a request id
// counts only if it states that nothing has run, and if it can't belong to an
// earlier call: `is_first_call` is CallHandle::is_first.
bool AnswersRequest(const AnswerFacts& answer, const RequestId& request,
                    bool is_first_call);

// Whether an answer with `status` may be forwarded to the caller. `sealed`
// states that its target vouches for it.
inline bool MayForward(int status, bool sealed) {
  return sealed || !IsSuccess(status);
}

// Whether an answer is forwarded event by event as it arrives.
inline bool IsForwardedByEvent(RouteKind kind, int status, bool sealed) {
  return kind == RouteKind::kStreaming && sealed && IsSuccess(status);
}

// Returns the head that the caller receives: `head` without hop-by-hop headers.
HttpHead HeadForCaller(const HttpHead& head);

// How an attempt failed. Failures to open a connection point at the path to the
// target; the others at the target, or at the path.
enum class AttemptFault {
  kNone,
  kNotOpened,     // the connection was refused
  kOpenTimeout,   // the connection didn't open in time
  kBroken,        // the connection ended before the answer did
  kMalformed,     // bytes that are no answer
  kTimeout,       // no answer, or no further event, before another's
  kServerError,   // the target answered with an error
  kTurnedAway,    // the target states that it didn't run the request
  kUnproven,      // a refusal that doesn't state so
  kInvalid,       // an answer that can't be forwarded
  kNoTunnel,      // no tunnel through the chosen peer; not sent
  kTunnelBroken,  // the tunnel ended before the answer did
  kPathChanged,   // the way to the target has changed
  kHeldBack,      // not sent, as the target may no longer receive work
  kSuperseded,    // stopped, as an earlier attempt has answered
  kNoSign,        // stopped beside a silent attempt, as the target was silent
};

template <>
struct EnumTable<AttemptFault> {
  static constexpr auto kEntries = std::to_array<EnumEntry<AttemptFault>>(
      {{AttemptFault::kNone, "none"},
       {AttemptFault::kNotOpened, "not_opened"},
       {AttemptFault::kOpenTimeout, "open_timeout"},
       {AttemptFault::kBroken, "broken"},
       {AttemptFault::kMalformed, "malformed"},
       {AttemptFault::kTimeout, "timeout"},
       {AttemptFault::kServerError, "server_error"},
       {AttemptFault::kTurnedAway, "turned_away"},
       {AttemptFault::kUnproven, "unproven"},
       {AttemptFault::kInvalid, "invalid"},
       {AttemptFault::kNoTunnel, "no_tunnel"},
       {AttemptFault::kTunnelBroken, "tunnel_broken"},
       {AttemptFault::kPathChanged, "path_changed"},
       {AttemptFault::kHeldBack, "held_back"},
       {AttemptFault::kSuperseded, "superseded"},
       {AttemptFault::kNoSign, "no_sign"}});
};

// Whether the target sent something that isn't the answer. It lives, and may
// work on the request.
inline bool IsUnreadableAnswer(AttemptFault fault) {
  return fault == AttemptFault::kMalformed || fault == AttemptFault::kInvalid;
}

// Whether nothing of the attempt was sent.
inline bool IsUnsent(AttemptFault fault) {
  return fault == AttemptFault::kNotOpened ||
         fault == AttemptFault::kOpenTimeout;
}

// Who a silent attempt shows to be silent. Behind a peer that has stopped, the
// target may be sound.
enum class SilentPart { kTarget, kPeer };

inline SilentPart WhoIsSilent(bool is_direct, bool is_peer_alive) {
  return is_direct || is_peer_alive ? SilentPart::kTarget : SilentPart::kPeer;
}

// What becomes of an attempt when its router's own links are found lost.
enum class LostLinksStep {
  kKeep,   // it goes on, or ends by itself
  kUndo,   // it ends as if it had not been made, as nothing of it was sent
  kRetry,  // it ends, if the request may be sent again
};

struct LostLinksFacts {
  // The attempt uses the links.
  bool is_direct = true;
  // Whether the attempt may have run the request.
  Ran ran = Ran::kUnknown;
  // Reading is paused for a slow caller, so silence is no sign.
  bool is_paused = false;
  // Nothing has arrived on the links for a while.
  bool is_silent = false;
};

LostLinksStep StepAfterLostLinks(const LostLinksFacts& facts);

// What is known when the connection reports the end of a call.
struct AttemptFacts {
  CallEnd end = CallEnd::kNotSent;
  // The contents of the answer's head, if it has arrived.
  AnswerFacts answer;
  int status = 0;
  // The body ended within an event of a stream.
  bool in_event = false;
  // Events of this request have been forwarded, by this attempt or another.
  bool streaming = false;
};

struct AttemptResult {
  // The answer is complete and can be forwarded.
  bool answered = false;
  Ran ran = Ran::kUnknown;
  // What the placement records about the target.
  PlacementOutcome outcome = PlacementOutcome::kFailed;
  AttemptFault fault = AttemptFault::kInvalid;
};

AttemptResult EvaluateAttempt(const AttemptFacts& facts);

// Whether the complete answer shows that its target ran the request to the end.
// An answer with neither a length nor chunks ends with its connection, as it
// does if the target crashes.
inline bool ShowsGoodRun(const HttpHead& answer) {
  return answer.chunked || answer.content_length.has_value();
}

// How a call that streams events has ended. The end of the connection ends an
// answer with neither a length nor chunks, but inside an event or before the
// first one it shows that the target broke off. `events` are those of the
// attempt.
inline CallEnd EndOfStream(CallEnd end, const HttpHead& answer, bool in_event,
                           int events) {
  const bool broken_off = in_event || events == 0;
  return end == CallEnd::kComplete && !ShowsGoodRun(answer) && broken_off
             ? CallEnd::kBroken
             : end;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ATTEMPT_H_
