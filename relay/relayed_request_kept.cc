// The part of RelayedRequest that is about kept attempts: those that were
// silent for too long and may still finish, beside the current one.

#include <utility>

#include "relay/reach_driver.h"
#include "relay/relayed_request.h"

namespace quaytrack {

// Lets the current attempt go on while the request is sent to another target.
void RelayedRequest::KeepAttempt(AttemptFault kept_for) {
  const Instant now = context_.clock.Now();
  const TargetEntry& target = attempt_.choice.target;
  const bool is_silent = kept_for == AttemptFault::kTimeout;
  const TargetPath& path = attempt_.path;
  const SilentPart silent =
      WhoIsSilent(path.direct(), context_.reach.IsPeerAlive(path));
  attempt_.target_was_silent = is_silent && silent == SilentPart::kTarget;
  if (is_silent && silent == SilentPart::kPeer) LeavePeer(path);
  if (attempt_.target_was_silent && context_.placement.IsListed(target))
    context_.placement.OnSilent(now, target.name);
  attempt_timer_.reset();
  LogAttemptKept(id(), progress_, attempt_, kept_for, now);
  context_.metrics.CountKept();
  kept_.Add(std::exchange(attempt_, {}), kept_for, events_);
}

void RelayedRequest::OnKeptBody(AttemptState& attempt, std::string_view bytes) {
  const auto self = shared_from_this();
  const int number = attempt.number;
  const KeptBytes read = StepAfterBytes(admission_.route->kind, attempt, bytes);
  switch (read.step) {
    case KeptStep::kStay:
      return ReportMemory();
    case KeptStep::kEnd:
      return EndKept(number, PlacementOutcome::kFailed, AttemptFault::kInvalid);
    case KeptStep::kGoOn:
      GoOnWith(number);
      return Forward(read.events);
  }
}

void RelayedRequest::OnKeptEnd(AttemptState& attempt, CallEnd seen) {
  const auto self = shared_from_this();
  const CallEnd end =
      IsByEvent(attempt) ? EndOfStream(seen, attempt.answer,
                                       attempt.reader.InEvent(), attempt.events)
                         : seen;
  const bool streaming = progress_.events > 0;
  const AttemptResult result =
      EvaluateAttempt({end, attempt.facts, attempt.answer.status,
                       attempt.reader.InEvent(), streaming});
  const KeptStep step = StepAfterKeptEnd(result, attempt.answer.status);
  if (step == KeptStep::kGoOn) {
    GoOnWith(attempt.number);
    return OnCallEnd(end);
  }
  if (end == CallEnd::kBroken) OnBroken(attempt);
  if (end == CallEnd::kTunnelBroken) LeavePeer(attempt.path);
  EndKept(attempt.number, result.outcome, result.fault);
}

// How long the request has been sent to another target as well, as `attempt`
// ends. The current attempt is the latest.
Duration RelayedRequest::TimeBesideAnother(const AttemptState& attempt) const {
  const bool is_current = attempt.number == attempt_.number;
  const bool has_other = is_current ? !kept_.empty() : true;
  return has_other ? context_.clock.Now() - attempt_.sent_at : Duration::zero();
}

// Called when the current attempt has been sent.
void RelayedRequest::LimitOverlap() {
  const bool overlaps = admission_.route->kind == RouteKind::kStreaming &&
                        !kept_.SilentNumbers().empty();
  if (!overlaps) return;
  overlap_timer_ =
      context_.loop.After(kMaxOverlap, [this, number = attempt_.number] {
        if (attempt_.number == number && attempt_.call) OnOverlapOver();
      });
}

void RelayedRequest::OnOverlapOver() {
  const auto self = shared_from_this();
  OverlapFacts facts;
  facts.has_begun = progress_.events > 0;
  facts.is_answering = IsByEvent(attempt_);
  facts.is_target_alive = context_.reach.HasHeardFrom(
      attempt_.choice.target.name, attempt_.sent_at);
  switch (StepAfterOverlap(facts)) {
    case OverlapStep::kNone:
      return LimitOverlap();
    case OverlapStep::kStopSilent:
      return EndSilentKept();
    case OverlapStep::kStopCurrent:
      if (!kept_.SilentNumbers().empty()) StopCurrentForKept();
      return;
  }
}

void RelayedRequest::StopCurrentForKept() {
  const TargetEntry stopped = attempt_.choice.target;
  ReportStopped(attempt_);
  StopAttempt(PlacementOutcome::kNeutral);
  LogAttempt(attempt_, Ran::kUnknown, AttemptFault::kNoSign);
  if (GoOnWithKept()) StopRunAt(stopped);
}

void RelayedRequest::EndSilentKept() {
  for (const int number : kept_.SilentNumbers()) {
    const AttemptState& it = *kept_.Find(number);
    ReportStopped(it);
    StopRunAt(it.choice.target);
    EndKept(number,
            it.target_was_silent ? PlacementOutcome::kFailed
                                 : PlacementOutcome::kNeutral,
            it.kept_for);
  }
}

// Ends a kept attempt while another one goes on.
void RelayedRequest::EndKept(int number, PlacementOutcome outcome,
                             AttemptFault fault) {
  AttemptState attempt = kept_.Take(number);
  Stop(attempt, outcome);
  LogAttempt(attempt, Ran::kUnknown, fault);
  NoteRunLeft(attempt, fault);
  if (attempt_.call) EndRunsLeft();
}

// Stops the kept attempts, as the answer has gone on elsewhere or the request
// ends.
void RelayedRequest::EndAllKept() {
  while (!kept_.empty()) {
    const AttemptState& it = kept_.latest();
    ReportStopped(it);
    if (attempt_.call) StopRunAt(it.choice.target);
    EndKept(it.number,
            it.target_was_silent ? PlacementOutcome::kFailed
                                 : PlacementOutcome::kNeutral,
            it.kept_for);
  }
}

// Called when a kept attempt has brought the next part of the answer. Stops the
// current one.
void RelayedRequest::GoOnWith(int number) {
  const Ran ran = attempt_.ran();
  const TargetEntry stopped = attempt_.choice.target;
  ReportStopped(attempt_);
  StopAttempt(PlacementOutcome::kNeutral);
  LogAttempt(attempt_, ran, AttemptFault::kSuperseded);
  MakeCurrent(number);
  if (ran == Ran::kUnknown) StopRunAt(stopped);
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
  MakeCurrent(kept_.latest().number);
  LogAttemptWentOn(id(), progress_, attempt_, false, context_.clock.Now());
  const SilenceStep step = StepAfterSilence(FactsOfSilence(false));
  if (step == SilenceStep::kCheckLater) SetAttemptTimer(kRetryCheckInterval);
  return true;
}

void RelayedRequest::MakeCurrent(int number) {
  overlap_timer_.reset();
  attempt_ = kept_.Take(number);
  attempt_.kept_for = AttemptFault::kNone;
  events_ = attempt_.reader;
  EndRunsLeft();
  Apply(RelayEvent::kAttemptGoesOn);
}

void RelayedRequest::GiveUpUnlessKept(Ran ran, RelayCause cause) {
  if (!GoOnWithKept()) GiveUp(ran, cause);
}

}  // namespace quaytrack
