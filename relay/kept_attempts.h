// KeptAttempts: attempts of one request whose targets were silent for too long,
// kept beside the current one because they may still finish.
//
//   KeptAttempts kept;
//   kept.Add(std::move(attempt), AttemptFault::kTimeout, events);
//   if (AttemptState* it = kept.Find(number)) ...   // whose call reports
//   attempt = kept.Take(number);                    // it is current again
//
// A target that is silent for a moment is sound and goes on; one that has ended
// without a sign is silent as well. A router can't tell them apart, so it stops
// a silent attempt only once another one carries on. The rules:
//
//   - Whether the request is sent to another target beside a silent one
//     (`StepAfterSilence`).
//   - Which attempt carries on: the first that brings the next part of the
//     answer. That is the next whole event of a stream, or the whole of another
//     answer, unless that is an error (`StepAfterBytes`, `StepAfterKeptEnd`).
//   - How long two targets may work on one stream: `kMaxOverlap` from the send
//     to the second one. Then one of them is stopped (`StepAfterOverlap`). If
//     the second target is at work, that is the silent one: the second one only
//     has to prefill the prompt. A target that has neither taken the stream nor
//     sent anything else may be silent itself, so the stream stays where it
//     is. A stream that hasn't begun may wait in both queues, whatever else the
//     targets send; until one has taken it, both attempts stay.
//   - What follows the end of the current attempt: a kept one is waited for if
//     no further one is made (`StepAfterEnd`).
//
// KeptAttempts owns the attempts and opens no sockets; RelayedRequest stops
// their calls. Attempts are named by `AttemptState::number`. There are no
// errors.

#ifndef QUAYTRACK_RELAY_KEPT_ATTEMPTS_H_
#define QUAYTRACK_RELAY_KEPT_ATTEMPTS_H_

#include <chrono>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "config/service_map.h"
#include "relay/attempt.h"
#include "relay/attempt_state.h"
#include "relay/events.h"

namespace quaytrack {

// How often a stream whose target is silent is looked at again while no other
// target may be asked. Callers leave after two seconds without an event or
// more, so there are several looks before; each costs one choice of a target.
inline constexpr Duration kRetryCheckInterval = std::chrono::milliseconds(500);

// How long two targets may work on one stream. Engines share their time and
// memory among streams, so the second run slows others down. Refusals, resets
// and errors arrive within a round trip, and so before.
inline constexpr Duration kMaxOverlap = std::chrono::milliseconds(250);

class KeptAttempts {
 public:
  // `kept_for` is why another attempt is made; `reader` has read the stream so
  // far.
  void Add(AttemptState attempt, AttemptFault kept_for, EventReader reader);
  // Returns null if the attempt isn't kept. Valid until the next change.
  AttemptState* Find(int number);
  // Removes and returns the attempt, which must be kept.
  AttemptState Take(int number);

  // Memory of the bodies that the attempts have received, in bytes.
  std::size_t BodyBytes() const;

  // The attempts whose target was silent while it could be reached.
  std::vector<int> SilentNumbers() const;

  bool empty() const { return attempts_.empty(); }
  // The attempt that was added last; there must be one.
  const AttemptState& latest() const { return attempts_.back(); }

 private:
  // In the order in which they were added; at most kMaxSends (relay/retry.h).
  std::vector<AttemptState> attempts_;
};

// What follows when the current attempt is silent for too long.
enum class SilenceStep {
  kWait,        // no other target may ever get the request
  kCheckLater,  // none may at present
  kSendBeside,  // keep the attempt, and send the request to another target
};

struct SilenceFacts {
  // Events of the stream have been forwarded.
  bool has_begun = false;
  // `MaySendAgain` (relay/retry.h).
  bool may_be_sent_again = false;
  // A retry is free and has been taken.
  bool has_retry = false;
};

SilenceStep StepAfterSilence(const SilenceFacts& facts);

// What follows when a kept attempt's call reports something.
enum class KeptStep {
  kStay,  // it stays kept
  kGoOn,  // it carries on; the current attempt is stopped
  kEnd,   // it has failed
};

// Takes bytes of a kept attempt's body. `events` are to be forwarded if it
// carries on.
struct KeptBytes {
  KeptStep step = KeptStep::kStay;
  StreamEvents events;
};

KeptBytes StepAfterBytes(RouteKind kind, AttemptState& attempt,
                         std::string_view bytes);

// `status` is that of the answer.
KeptStep StepAfterKeptEnd(const AttemptResult& result, int status);

// Which run of a stream is stopped when two targets have worked on it for
// `kMaxOverlap`.
enum class OverlapStep {
  kNone,         // both stay; looked at again later
  kStopSilent,   // the kept attempts with a silent target
  kStopCurrent,  // the current one; a kept one is waited for
};

struct OverlapFacts {
  // Events of the stream have been forwarded.
  bool has_begun = false;
  // The head of the current attempt's answer has arrived, with a success.
  bool is_answering = false;
  // Its target has sent part of some answer since the send.
  bool is_target_alive = false;
};

OverlapStep StepAfterOverlap(const OverlapFacts& facts);

// What follows the end of the current attempt without an answer.
enum class EndStep {
  kRetry,      // the request is sent to another target
  kAwaitKept,  // a kept attempt is waited for
  kGiveUp,
};

EndStep StepAfterEnd(bool has_retry, bool has_kept);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_KEPT_ATTEMPTS_H_
