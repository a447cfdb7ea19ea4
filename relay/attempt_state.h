// AttemptState: what a request (relay/relayed_request.h) knows of one attempt,
// that is, of its send to one target.
//
//   AttemptState attempt;
//   attempt.call = targets.Start(call, handlers);
//   if (attempt.ran() == Ran::kUnknown) ...
//
// It owns the call. There are no errors; times are those of the router's clock.

#ifndef QUAYTRACK_RELAY_ATTEMPT_STATE_H_
#define QUAYTRACK_RELAY_ATTEMPT_STATE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/placement.h"
#include "http/target_connection.h"
#include "net/http_message.h"
#include "relay/attempt.h"
#include "relay/dialect.h"
#include "relay/events.h"
#include "relay/ran.h"
#include "relay/reach_driver.h"

namespace quaytrack {

// Largest answer that is forwarded only when it is complete, in bytes. Streams
// are forwarded as they come and have no such bound.
inline constexpr std::size_t kMaxBufferedAnswer = 1024 * 1024;

struct AttemptState {
  // Distinguishes the attempts of one request.
  int number = 0;
  // The target, and the way to it.
  PlacementChoice choice;
  TargetPath path;
  // The call to the target; null before the send and after the end.
  std::shared_ptr<CallHandle> call;
  // CallHandle::connection_number of the call.
  std::uint64_t connection = 0;
  Instant sent_at{};
  // Arrival of the answer's head, of its first event, and of its latest events.
  std::optional<Instant> head_at;
  std::optional<Instant> first_event_at;
  Instant last_event_at{};
  // Events that this attempt brought.
  int events = 0;
  // Tokens of the prompt that the target has yet to prefill.
  Tokens prefill = 0;
  // Head of the answer, and its contents; empty until it arrives.
  HttpHead answer;
  AnswerFacts facts;
  // Body of an answer that is forwarded only when it is complete.
  std::string body;
  // It has run past its start phase, and that was reported.
  bool reported_ran = false;
  // The caller reads too slowly, so reading from the target is paused.
  bool paused = false;
  // Reading was paused at some time.
  bool was_paused = false;
  // Of a kept attempt: why another one was begun, and the events read so far.
  AttemptFault kept_for = AttemptFault::kNone;
  EventReader reader;
  // Of a kept attempt: its target is the one that was silent, not a peer.
  bool target_was_silent = false;

  // Appends bytes to `body`. Returns false if it would be too large.
  bool TakeBody(std::string_view bytes) {
    if (body.size() + bytes.size() > kMaxBufferedAnswer) return false;
    body.append(bytes);
    return true;
  }
  // Whether the target may have run the request.
  Ran ran() const { return call && call->sent() ? Ran::kUnknown : Ran::kNo; }
  // When something was last heard of the target, or the send.
  Instant HeardAt() const {
    return std::max({sent_at, head_at.value_or(sent_at), last_event_at});
  }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ATTEMPT_STATE_H_
