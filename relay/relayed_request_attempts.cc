// The part of RelayedRequest that is about its attempts: sending the request to
// a target, forwarding the answer, and what follows if there is none.

#include <algorithm>
#include <utility>

#include "relay/config_follower.h"
#include "relay/reach_driver.h"
#include "relay/relayed_request.h"
#include "relay/rollout_driver.h"

namespace quaytrack {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Bytes that are buffered for a slow caller. Beyond this, reading from the
// target stops until the buffer has drained.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;

// The mean pause between events is reported only from this many events on.
constexpr int kMinEventsForMeanPause = 3;

// A target receives a single priority: the customer's priority is the major
// part, and within it routes are ranked on this many levels.
constexpr int kRouteLevels = 3;

}  // namespace

// --- At a target -------------------------------------------------------------

void RelayedRequest::Send() {
  const TargetName& target = attempt_.choice.target.name;
  admission_.placement.only.reset();
  ++progress_.sends;
  admission_.placement.tried.insert(target);
  attempt_.number = ++attempts_;
  attempt_.sent_at = context_.clock.Now();
  may_have_crashed_ = false;
  attempt_.prefill =
      context_.placement.OnSent(attempt_.sent_at, target, admission_.placement,
                                attempt_.choice.is_preferred);
  AnnouncePrompt();
  events_.DropPartial();
  context_.reach.OnSent(attempt_.path, target);
  attempt_.call =
      context_.targets.Start(MakeCall(), HandlersOf(attempt_.number));
  attempt_.connection = attempt_.call->connection_number();
  EndRunsLeft();
  if (!attempt_.call->connecting()) LimitOverlap();
  const RouteRule& route = *admission_.route;
  SetAttemptTimer(attempt_.call->connecting()
                      ? ConnectTimeout(route, Left())
                      : FirstAnswerTimeout(route, Left()));
}

// A call that has ended, or was cancelled, calls none of its handlers, so each
// attempt that they refer to is the current one or kept.
CallHandle::Handlers RelayedRequest::HandlersOf(int number) {
  const auto self = shared_from_this();
  CallHandle::Handlers on;
  on.head = [self, number](const HttpHead& head) {
    AttemptState* kept = self->kept_.Find(number);
    return self->OnHead(kept ? *kept : self->attempt_, head);
  };
  on.body = [self, number](std::string_view bytes) {
    AttemptState* kept = self->kept_.Find(number);
    kept ? self->OnKeptBody(*kept, bytes) : self->OnBody(bytes);
  };
  on.end = [self, number](CallEnd end) {
    AttemptState* kept = self->kept_.Find(number);
    kept ? self->OnKeptEnd(*kept, end) : self->OnCallEnd(end);
  };
  return on;
}

void RelayedRequest::AnnouncePrompt() const {
  const Tokens prefill = attempt_.prefill;
  if (!context_.placement.IsWorthReporting(admission_.placement, prefill))
    return;
  context_.announce_prompt({attempt_.choice.target.name, prefill});
}

TargetCall RelayedRequest::MakeCall() {
  SendFacts facts;
  facts.target = attempt_.choice.target.name;
  facts.customer = admission_.customer;
  facts.time_left = duration_cast<milliseconds>(Left());
  facts.priority =
      admission_.customer_priority * kRouteLevels + admission_.route->priority;
  const bool resumes = machine_.state() == RelayState::kResuming;
  if (resumes) facts.last_event = events_.last_id();
  facts.cache_from = context_.target_dialect.CacheFrom(
      stopped_run_, std::exchange(earlier_cache_, {}));
  TargetCall out;
  out.address = attempt_.choice.target.address;
  out.bytes =
      context_.target_dialect.Head(request_.head, facts, request_.body.size());
  out.bytes += request_.body;
  out.may_send = [this] { return MaySend(); };
  out.via = attempt_.path.address;
  out.request = id().value;
  return out;
}

// Called when the connection, or the tunnel, has opened.
bool RelayedRequest::MaySend() {
  const bool sees_end = !attempt_.call || attempt_.call->sees_end();
  context_.reach.OnOpened(attempt_.path, attempt_.choice.target.name, sees_end);
  if (context_.configs.MayHaveMissedChanges() || RefusalNow()) return false;
  const bool may_send = context_.placement.MayStillSend(
      context_.clock.Now(), attempt_.choice, admission_.placement);
  if (may_send) LimitOverlap();
  return may_send;
}

void RelayedRequest::SetAttemptTimer(Duration timeout) {
  attempt_timer_ = context_.loop.After(timeout, [this] { OnAttemptTimeout(); });
}

void RelayedRequest::OnAttemptTimeout() {
  const auto self = shared_from_this();
  if (!attempt_.call) return;
  if (attempt_.ran() == Ran::kNo) {
    if (!attempt_.path.direct()) return OnNoTunnel(AttemptFault::kOpenTimeout);
    OnNotOpened();
    return EndAttempt(Ran::kNo, PlacementOutcome::kFailed,
                      AttemptFault::kOpenTimeout);
  }
  // The connection has opened in time; the answer has its own timeout.
  const Duration waited = context_.clock.Now() - attempt_.sent_at;
  const Duration timeout = FirstAnswerTimeout(*admission_.route, Left());
  const bool answering = machine_.state() == RelayState::kStreaming;
  if (!answering && waited < timeout) return SetAttemptTimer(timeout - waited);
  const bool has_retry = TakeRetry(Ran::kUnknown, AttemptFault::kTimeout);
  switch (StepAfterSilence(FactsOfSilence(has_retry))) {
    case SilenceStep::kWait:
      return;
    case SilenceStep::kCheckLater:
      return SetAttemptTimer(kRetryCheckInterval);
    case SilenceStep::kSendBeside:
      KeepAttempt(AttemptFault::kTimeout);
      return Retry(Ran::kUnknown);
  }
}

SilenceFacts RelayedRequest::FactsOfSilence(bool has_retry) {
  return {progress_.events > 0, MaySendAgain(FactsForRetry(Ran::kUnknown)),
          has_retry};
}

bool RelayedRequest::OnHead(AttemptState& attempt, const HttpHead& head) {
  const AnswerFacts facts = context_.target_dialect.Read(head);
  if (!AnswersRequest(facts, id(), attempt.call->is_first())) return false;
  context_.reach.OnHeard(attempt.path, attempt.choice.target.name);
  attempt.answer = head;
  attempt.head_at = context_.clock.Now();
  attempt.facts = facts;
  const TargetEntry& target = attempt.choice.target;
  HandleTargetNotices(attempt);
  if (!context_.placement.IsListed(target)) return true;
  context_.placement.OnAlive(*attempt.head_at, target.name, attempt.sent_at);
  if (facts.cold_for > milliseconds(0)) {
    context_.placement.OnCold(*attempt.head_at, target.name, facts.cold_for);
  }
  return true;
}

// Applies what the head of the answer states about its target. The target may
// be missing from the list of targets, as an entry can disappear for a while.
void RelayedRequest::HandleTargetNotices(const AttemptState& attempt) {
  const TargetEntry& target = attempt.choice.target;
  if (attempt.facts.leaving) {
    LogSaysLeaving(id(), target);
    context_.on_target_leaving(target);
  }
  if (attempt.facts.back_off > milliseconds(0)) {
    LogBacksOff(id(), target, attempt.facts.back_off);
    context_.placement.OnBackOff(*attempt.head_at, target.start,
                                 attempt.facts.back_off);
  }
  const RejectionStatement& rejections = attempt.facts.rejections;
  if (rejections.is_stated &&
      context_.placement.OnRejectionLimit(*attempt.head_at, target.service,
                                          rejections.max_rejections)) {
    LogRejectionLimit(target.service, rejections.max_rejections, "answer");
  }
  const bool changed = context_.placement.OnRate(
      *attempt.head_at, target.start, attempt.sent_at, attempt.facts.rate);
  if (!changed) return;
  LogRateLimit(target.start, context_.placement.rate_limits(), "answer");
}

void RelayedRequest::OnBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  if (!IsByEvent(attempt_)) {
    if (!attempt_.TakeBody(bytes)) return EndInvalid();
    return ReportMemory();
  }
  const StreamEvents events = events_.Take(bytes);
  if (events_.HeldBytes() > EventReader::kMaxSpareBytes) ReportMemory();
  if (!events.valid()) return EndInvalid();
  if (!events.bytes.empty()) Forward(events);
}

void RelayedRequest::EndInvalid() {
  EndAttempt(Ran::kUnknown, PlacementOutcome::kFailed, AttemptFault::kInvalid);
}

// Forwards complete events. This runs for every chunk of a stream, so it does
// as little as possible: only the first event of an attempt, or after a silence
// in which another was begun, goes through the chart.
void RelayedRequest::Forward(const StreamEvents& events) {
  EndAllKept();
  context_.reach.OnHeard(attempt_.path, attempt_.choice.target.name);
  const Instant now = context_.clock.Now();
  NoteAlive(now);
  if (progress_.events == 0 || !may_go_on_) {
    BindToVersion();
  } else if (!attempt_.first_event_at) {
    AnnounceRun();
  }
  attempt_.first_event_at ? OnLaterEvents(now) : OnFirstEvent(now);
  if (machine_.state() != RelayState::kStreaming)
    Apply(RelayEvent::kFirstEvent);
  attempt_.last_event_at = now;
  progress_.events += events.count;
  attempt_.events += events.count;
  caller_->WriteChunk(events.bytes);
  if (!attempt_.paused && caller_->Unsent() > kMaxUnsentBytes) {
    attempt_.paused = true;
    attempt_.was_paused = true;
    attempt_.call->PauseReading();
  }
  // While reading is paused, a missing event says nothing about the target, so
  // the event timeout is off. Data that was read before the pause may still
  // contain events, which arrive here as well.
  if (attempt_.paused) return attempt_timer_.reset();
  const RouteRule& route = *admission_.route;
  if (route.Repeatable()) SetAttemptTimer(NextEventTimeout(route));
}

// Events that waited while reading was paused don't show that their target is
// still there.
void RelayedRequest::NoteAlive(Instant now) const {
  const TargetEntry& target = attempt_.choice.target;
  if (attempt_.was_paused || !context_.placement.IsListed(target)) return;
  context_.placement.OnAlive(now, target.name, attempt_.sent_at);
}

void RelayedRequest::OnFirstEvent(Instant now) {
  attempt_.first_event_at = now;
  const Duration waited = now - attempt_.sent_at;
  progress_.first_event = waited;
  const double expected_ms = attempt_.choice.first_event_ms;
  if (expected_ms > 0) context_.metrics.ObserveFirstEvent(waited, expected_ms);
  const TargetEntry& target = attempt_.choice.target;
  if (context_.placement.IsListed(target)) {
    context_.placement.OnAnswering(target.name, attempt_.prefill, waited);
  }
  attempt_.prefill = 0;
}

void RelayedRequest::OnLaterEvents(Instant now) {
  progress_.longest_pause =
      std::max(progress_.longest_pause, now - attempt_.last_event_at);
  const Duration with_events = now - *attempt_.first_event_at;
  if (attempt_.reported_ran || !CrashWatch::HasPassedStartPhase(with_events))
    return;
  attempt_.reported_ran = true;
  ReportRan(attempt_);
}

void RelayedRequest::BeginStream() {
  context_.metrics.ObserveFirstByte(customer(), admission_.route->kind,
                                    context_.clock.Now() - request_.begun);
  caller_->StartStream(HeadForCaller(attempt_.answer));
  attempt_timer_.reset();
  caller_->OnDrained([self = shared_from_this()] {
    if (!self->attempt_.paused) return;
    self->attempt_.paused = false;
    if (!self->attempt_.call) return;
    self->attempt_.call->ResumeReading();
    self->attempt_.last_event_at = self->context_.clock.Now();
    const RouteRule& route = *self->admission_.route;
    if (route.Repeatable()) self->SetAttemptTimer(NextEventTimeout(route));
  });
}

bool RelayedRequest::IsByEvent(const AttemptState& attempt) const {
  return IsForwardedByEvent(admission_.route->kind, attempt.answer.status,
                            attempt.facts.sealed);
}

void RelayedRequest::OnCallEnd(CallEnd seen) {
  const auto self = shared_from_this();
  const RelayState state = machine_.state();
  if (state == RelayState::kEnded) return;
  const CallEnd end = IsByEvent(attempt_)
                          ? EndOfStream(seen, attempt_.answer,
                                        events_.InEvent(), attempt_.events)
                          : seen;
  const bool streaming =
      state == RelayState::kStreaming || state == RelayState::kResuming;
  const AttemptResult result =
      EvaluateAttempt({end, attempt_.facts, attempt_.answer.status,
                       events_.InEvent(), streaming});
  if (end == CallEnd::kCancelledBeforeSend) return OnSendHeldBack(result);
  if (end == CallEnd::kNoTunnel) return OnNoTunnel(result.fault);
  if (end == CallEnd::kTunnelBroken) return OnTunnelBroken(result);
  if (end == CallEnd::kNotSent) OnNotOpened();
  if (end == CallEnd::kBroken) OnBroken(attempt_);
  const bool error = IsServerError(attempt_.answer.status);
  const bool may_be_served =
      !kept_.empty() || MaySendAgain(FactsForRetry(result.ran));
  if (!result.answered || (error && may_be_served)) {
    return EndAttempt(result.ran, result.outcome, result.fault);
  }
  EndAllKept();
  outcome_ = result.outcome;
  cause_ = IsSuccess(attempt_.answer.status) ? RelayCause::kServed
                                             : RelayCause::kTargetError;
  if (cause_ == RelayCause::kServed && ShowsGoodRun(attempt_.answer))
    ReportRan(attempt_);
  Apply(RelayEvent::kAnswerComplete);
}

// Called when an attempt ended before a byte was sent, because its target was
// closed to new work in the meantime. The attempt doesn't count as a send and
// uses no retry.
void RelayedRequest::OnSendHeldBack(const AttemptResult& result) {
  LogSendHeldBack(id(), attempt_.choice.target);
  context_.metrics.CountHeldBack();
  StopAttempt(result.outcome);
  --progress_.sends;
  Retry(result.ran);
}

// --- After an attempt --------------------------------------------------------

// Events show that the request ran; silence after the last one doesn't.
std::optional<Duration> RelayedRequest::TimeWithEvents(
    const AttemptState& attempt) {
  if (!attempt.first_event_at) return std::nullopt;
  return attempt.last_event_at - *attempt.first_event_at;
}

// Called when the attempt has shown that the request doesn't crash its target.
void RelayedRequest::ReportRan(const AttemptState& attempt) {
  const Instant began = attempt.first_event_at.value_or(
      attempt.head_at.value_or(attempt.sent_at));
  if (!admission_.facts.parts.empty())
    context_.crashes.OnPartsRan(PartCauses(), began);
  if (context_.crashes.HasReports())
    context_.crashes.OnRan(causes().request, began);
}

// Whether the target may have ended because of its load, or the connection
// because of the peer in between, so that the request can't be blamed.
bool RelayedRequest::MayEndUnderLoad(const AttemptState& attempt) const {
  return !attempt.path.direct() ||
         context_.placement.rejection_limits().IsLimited(
             context_.clock.Now(), admission_.service->name);
}

// Called when the target closed the connection. The target may have crashed,
// possibly because of this request.
void RelayedRequest::ReportLost(const AttemptState& attempt) {
  if (MayEndUnderLoad(attempt)) return;
  if (CrashWatch::HasPassedStartPhase(TimeWithEvents(attempt))) {
    passed_start_phase_ = true;
    ReportRan(attempt);
  }
  if (passed_start_phase_) return;
  may_have_crashed_ = true;
  context_.crashes.OnLost(MakeLostAttempt(attempt));
}

// Called when this router stops the attempt. The target may be about to end, or
// hang, because of the request.
void RelayedRequest::ReportStopped(const AttemptState& attempt) {
  const bool at_target = attempt.ran() == Ran::kUnknown;
  if (!at_target || MayEndUnderLoad(attempt) || passed_start_phase_ ||
      CrashWatch::HasPassedStartPhase(TimeWithEvents(attempt)))
    return;
  context_.crashes.OnStopped(MakeLostAttempt(attempt));
}

LostAttempt RelayedRequest::MakeLostAttempt(const AttemptState& attempt) {
  const Instant since = attempt.head_at.value_or(attempt.sent_at);
  return {id(), causes(), attempt.choice.target, context_.clock.Now() - since};
}

void RelayedRequest::StopAttempt(PlacementOutcome outcome) {
  if (!attempt_.call) return;
  attempt_timer_.reset();
  Stop(attempt_, outcome);
}

// Ends the call to the target, if there is one. Each end of an attempt calls
// this.
void RelayedRequest::Stop(AttemptState& attempt, PlacementOutcome outcome) {
  if (!attempt.call) return;
  ReportAnswer(attempt, outcome);
  attempt.call->Cancel();
  attempt.call.reset();
  context_.reach.OnEnded(attempt.path);
  const TargetEntry& target = attempt.choice.target;
  if (context_.placement.IsListed(target)) {
    // The placement knows already that a kept attempt failed (`OnSilent`).
    const bool is_known = attempt.kept_for == AttemptFault::kTimeout &&
                          outcome == PlacementOutcome::kFailed;
    context_.placement.OnEnded(context_.clock.Now(), target.name,
                               attempt.prefill,
                               is_known ? PlacementOutcome::kNeutral : outcome);
  }
  attempt.prefill = 0;
}

// Reports the answer for the evaluation of a version that is being rolled out.
// Rejections that are no failure, and attempts that this router stopped, say
// nothing about the version.
void RelayedRequest::ReportAnswer(const AttemptState& attempt,
                                  PlacementOutcome outcome) const {
  const TargetEntry& target = attempt.choice.target;
  if (!context_.rollouts.IsEvaluating(target.service)) return;
  const bool has_head = attempt.head_at.has_value();
  const bool error = has_head && !attempt.facts.not_run &&
                     IsServerError(attempt.answer.status);
  const bool failed = outcome == PlacementOutcome::kFailed || error;
  if (!failed && outcome != PlacementOutcome::kGood) return;
  AttemptOutcome seen;
  seen.failed = failed;
  if (!failed && has_head) seen.first_event = FirstOverExpected(attempt);
  if (attempt.first_event_at && attempt.events >= kMinEventsForMeanPause) {
    seen.pause = ToSeconds(attempt.last_event_at - *attempt.first_event_at) *
                 1000 / (attempt.events - 1);
  }
  context_.rollouts.OnAnswer(target.service, target.version,
                             admission_.route->name, seen);
}

double RelayedRequest::FirstOverExpected(const AttemptState& attempt) {
  const Instant first = attempt.first_event_at.value_or(*attempt.head_at);
  const double took_ms = ToSeconds(first - attempt.sent_at) * 1000;
  const double expected_ms = attempt.choice.first_event_ms;
  return expected_ms > 0 ? took_ms / expected_ms : took_ms;
}

// Called when the attempt has failed, by its timeout or at its target. A
// deadline and a caller that leaves end the whole request instead, and log no
// line about the attempt.
void RelayedRequest::EndAttempt(Ran ran, PlacementOutcome outcome,
                                AttemptFault fault) {
  const auto self = shared_from_this();
  StopAttempt(outcome);
  LogAttempt(attempt_, ran, fault);
  NoteRunLeft(attempt_, fault);
  if (machine_.state() == RelayState::kCallerLeft) {
    return GiveUp(ran, RelayCause::kCallerGone);
  }
  switch (StepAfterEnd(TakeRetry(ran, fault), !kept_.empty())) {
    case EndStep::kRetry:
      return Retry(ran);
    case EndStep::kAwaitKept:
      GoOnWithKept();
      return;
    case EndStep::kGiveUp:
      return GiveUp(ran, may_go_on_ ? RelayCause::kTurnedAway
                                    : RelayCause::kVersionUnknown);
  }
}

RetryFacts RelayedRequest::FactsForRetry(Ran ran) {
  const RouteRule& route = *admission_.route;
  RetryFacts out;
  out.ran = ran;
  out.caller_gone = machine_.state() == RelayState::kCallerLeft;
  out.left = Left();
  out.sends = progress_.sends;
  out.crashes_targets =
      IsBlamed() ||
      (may_have_crashed_ && context_.crashes.IsOneCrashFromBlame(causes()));
  out.may_go_on = may_go_on_;
  out.repeatable = route.Repeatable();
  out.max_attempts = route.max_attempts;
  return out;
}

bool RelayedRequest::TakeRetry(Ran ran, AttemptFault fault) {
  RetryFacts facts = FactsForRetry(ran);
  facts.was_sent = !IsUnsent(fault);
  facts.links_in_doubt = attempt_.path.direct() &&
                         context_.reach.IsInDoubt(admission_.service->name);
  facts.awaits_probes = AwaitsProbes();
  if (!CountsAsSend(facts)) {
    UncountSend();
    facts.sends = progress_.sends;
  }
  const bool taken = context_.retries.TakeRetry(
      context_.clock.Now(), facts, context_.placement, admission_.placement);
  if (taken) context_.metrics.CountRetry();
  return taken;
}

void RelayedRequest::Retry(Ran ran) {
  Apply(ran == Ran::kNo ? RelayEvent::kRetryNotRun
                        : RelayEvent::kRetryMayHaveRun);
}

void RelayedRequest::LogAttempt(const AttemptState& attempt, Ran ran,
                                AttemptFault fault) {
  if (fault != AttemptFault::kSuperseded) last_fault_ = fault;
  context_.metrics.CountAttemptFault(NameOf(fault));
  AttemptEnd end;
  end.ran = ran;
  end.fault = fault;
  end.now = context_.clock.Now();
  end.beside = TimeBesideAnother(attempt);
  if (ran != Ran::kNo) {
    end.fingerprint = causes().request;
    end.parts = SharedParts(admission_.facts.parts);
  }
  LogAttemptEnded(id(), progress_, attempt, end);
}

const RequestCauses& RelayedRequest::causes() {
  if (!causes_) {
    const Fingerprint request =
        FingerprintOf(request_.head, request_.body, customer());
    causes_ = RequestCauses{request, PartCauses()};
    ReportMemory();
  }
  return *causes_;
}

std::vector<CauseId> RelayedRequest::PartCauses() const {
  return CausesOfParts(admission_.service->name,
                       SharedParts(admission_.facts.parts));
}

}  // namespace quaytrack
