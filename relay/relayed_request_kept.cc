// The part of RelayedRequest that is about kept attempts: those that were
// silent for too long and may still finish, beside the current one.

#include <algorithm>
#include <utility>

#include "relay/reach_driver.h"
#include "relay/relayed_request.h"

namespace quaytrack {

// Lets the current attempt go on while the request is sent to another target.
void RelayedRequest::KeepAttempt(AttemptFault kept_for) {
  const Instant now = context_.clock.Now();
  const TargetEntry& target = attempt_.choice.target;
  const bool is_silent = kept_for == AttemptFault::kTimeout;
  if (is_silent && context_.placement.IsListed(target))
    context_.placement.OnSilent(now, target.name);
  attempt_timer_.reset();
  attempt_.kept_for = kept_for;
  attempt_.reader = events_;
  LogAttemptKept(id(), progress_, attempt_, now);
  context_.metrics.CountKept();
  kept_.push_back(std::exchange(attempt_, {}));
}

// Returns null if the attempt isn't a kept one.
AttemptState* RelayedRequest::FindKept(int number) {
  const auto it = std::find_if(
      kept_.begin(), kept_.end(),
      [number](const AttemptState& one) { return one.number == number; });
  return it == kept_.end() ? nullptr : &*it;
}

void RelayedRequest::OnKeptBody(AttemptState& attempt, std::string_view bytes) {
  const auto self = shared_from_this();
  const bool by_event = IsForwardedByEvent(
      admission_.route->kind, attempt.answer.status, attempt.facts.sealed);
  if (!by_event) {
    attempt.body.append(bytes);
    return;
  }
  const StreamEvents events = attempt.reader.Take(bytes);
  if (events.out_of_order) {
    return EndKept(attempt.number, PlacementOutcome::kFailed,
                   AttemptFault::kInvalid);
  }
  if (events.bytes.empty()) return;
  GoOnWith(attempt.number);
  Forward(events);
}

void RelayedRequest::OnKeptEnd(AttemptState& attempt, CallEnd end) {
  const auto self = shared_from_this();
  const bool streaming = progress_.events > 0;
  const AttemptResult result =
      EvaluateAttempt({end, attempt.facts, attempt.answer.status,
                       attempt.reader.InEvent(), streaming});
  if (result.answered && !IsServerError(attempt.answer.status)) {
    GoOnWith(attempt.number);
    return OnCallEnd(end);
  }
  if (end == CallEnd::kBroken) ReportLost(attempt);
  EndKept(attempt.number, result.outcome, result.fault);
}

// Ends a kept attempt while another one goes on.
void RelayedRequest::EndKept(int number, PlacementOutcome outcome,
                             AttemptFault fault) {
  const auto at = std::find_if(
      kept_.begin(), kept_.end(),
      [number](const AttemptState& one) { return one.number == number; });
  AttemptState attempt = std::move(*at);
  kept_.erase(at);
  Stop(attempt, outcome);
  LogAttempt(attempt, Ran::kUnknown, fault);
}

// Stops the kept attempts, as the answer has gone on elsewhere or the request
// ends.
void RelayedRequest::EndAllKept() {
  while (!kept_.empty()) {
    const AttemptState& it = kept_.back();
    ReportStopped(it);
    const bool is_silent = it.kept_for == AttemptFault::kTimeout;
    EndKept(it.number,
            is_silent ? PlacementOutcome::kFailed : PlacementOutcome::kNeutral,
            it.kept_for);
  }
}

// Called when a kept attempt has brought the next part of the answer. Stops the
// current one.
void RelayedRequest::GoOnWith(int number) {
  const Ran ran = attempt_.ran();
  ReportStopped(attempt_);
  StopAttempt(PlacementOutcome::kNeutral);
  LogAttempt(attempt_, ran, AttemptFault::kSuperseded);
  MakeCurrent(number);
  const TargetEntry& target = attempt_.choice.target;
  const Instant now = context_.clock.Now();
  // It is the process that got the request, so it has not restarted.
  if (context_.placement.IsListed(target))
    context_.placement.OnAlive(now, target.name, attempt_.sent_at);
  LogAttemptWentOn(id(), progress_, attempt_, true, now);
}

// Waits for the latest of the kept attempts, as the current one has ended and
// no further one is made. Returns false if there is none.
bool RelayedRequest::GoOnWithKept() {
  if (kept_.empty()) return false;
  MakeCurrent(kept_.back().number);
  LogAttemptWentOn(id(), progress_, attempt_, false, context_.clock.Now());
  CheckAgainLater();
  return true;
}

void RelayedRequest::MakeCurrent(int number) {
  const auto at = std::find_if(
      kept_.begin(), kept_.end(),
      [number](const AttemptState& one) { return one.number == number; });
  attempt_ = std::move(*at);
  kept_.erase(at);
  attempt_.kept_for = AttemptFault::kNone;
  events_ = attempt_.reader;
  Apply(RelayEvent::kAttemptGoesOn);
}

void RelayedRequest::GiveUpUnlessKept(Ran ran, RelayCause cause) {
  if (!GoOnWithKept()) GiveUp(ran, cause);
}

}  // namespace quaytrack
