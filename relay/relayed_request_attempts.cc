// The part of RelayedRequest that is about its attempts: sending the request to
// a target, forwarding the answer, and what follows if there is none.

#include <algorithm>
#include <utility>

#include "relay/reach_driver.h"
#include "relay/relayed_request.h"
#include "relay/rollout_driver.h"
#include "relay/version_lookup.h"

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

// Peers that are asked for a tunnel for one request. After that, an attempt at
// another router is the caller's better choice.
constexpr std::size_t kMaxTriedPeers = 2;

}  // namespace

// --- At a target -------------------------------------------------------------

void RelayedRequest::Send() {
  const TargetName& target = progress_.choice.target.name;
  ++progress_.sends;
  admission_.placement.tried.insert(target);
  sent_at_ = context_.clock.Now();
  progress_.head_at.reset();
  first_event_at_.reset();
  may_have_crashed_ = false;
  prefill_ = context_.placement.OnSent(sent_at_, target, admission_.placement,
                                       progress_.choice.is_preferred);
  AnnouncePrompt();
  attempt_events_ = 0;
  answer_facts_ = {};
  body_.clear();
  // Reading was paused for the previous target; the new one is read until the
  // caller's buffer is full again.
  paused_ = false;
  events_.DropPartial();

  CallHandle::Handlers on;
  const auto self = shared_from_this();
  on.head = [self](const HttpHead& head) { return self->OnHead(head); };
  on.body = [self](std::string_view bytes) { self->OnBody(bytes); };
  on.end = [self](CallEnd end) { self->OnCallEnd(end); };
  context_.reach.OnSent(progress_.path, target);
  call_ = context_.targets.Start(MakeCall(), std::move(on));
  const RouteRule& route = *admission_.route;
  SetAttemptTimer(call_->connecting() ? ConnectTimeout(route, Left())
                                      : FirstAnswerTimeout(route, Left()));
}

void RelayedRequest::AnnouncePrompt() const {
  if (!context_.placement.IsWorthReporting(admission_.placement, prefill_))
    return;
  context_.announce_prompt({progress_.choice.target.name, prefill_});
}

TargetCall RelayedRequest::MakeCall() {
  SendFacts facts;
  facts.target = progress_.choice.target.name;
  facts.customer = admission_.customer;
  facts.time_left = duration_cast<milliseconds>(Left());
  facts.priority =
      admission_.customer_priority * kRouteLevels + admission_.route->priority;
  const bool resumes = machine_.state() == RelayState::kResuming;
  if (resumes) facts.last_event = events_.last_id();
  TargetCall out;
  out.address = progress_.choice.target.address;
  out.bytes =
      context_.target_dialect.Head(request_.head, facts, request_.body.size());
  out.bytes += request_.body;
  out.may_send = [this] { return MaySend(); };
  out.via = progress_.path.address;
  return out;
}

// Called when the connection, or the tunnel, has opened.
bool RelayedRequest::MaySend() {
  context_.reach.OnOpened(progress_.path, progress_.choice.target.name);
  return context_.placement.MayStillSend(context_.clock.Now(), progress_.choice,
                                         admission_.placement);
}

void RelayedRequest::SetAttemptTimer(Duration timeout) {
  attempt_timer_ = context_.loop.After(timeout, [this] { OnAttemptTimeout(); });
}

void RelayedRequest::OnAttemptTimeout() {
  const auto self = shared_from_this();
  if (!call_) return;
  if (RanInAttempt() == Ran::kNo) {
    if (!progress_.path.direct()) return OnNoTunnel(AttemptFault::kOpenTimeout);
    OnNotOpened();
    return EndAttempt(Ran::kNo, PlacementOutcome::kFailed,
                      AttemptFault::kOpenTimeout);
  }
  // The connection has opened in time; the answer has its own timeout.
  const Duration waited = context_.clock.Now() - sent_at_;
  const Duration timeout = FirstAnswerTimeout(*admission_.route, Left());
  const bool answering = machine_.state() == RelayState::kStreaming;
  if (!answering && waited < timeout) return SetAttemptTimer(timeout - waited);
  // The attempt is stopped only if the request may be sent to another target,
  // so the retry is taken before the attempt ends. `EndAttempt` takes it
  // afterwards.
  if (!TakeRetry(Ran::kUnknown, AttemptFault::kTimeout)) return;
  ReportStopped();
  StopAttempt(PlacementOutcome::kFailed);
  LogAttempt(Ran::kUnknown, AttemptFault::kTimeout);
  Retry(Ran::kUnknown);
}

bool RelayedRequest::OnHead(const HttpHead& head) {
  const AnswerFacts facts = context_.target_dialect.Read(head);
  if (!AnswersRequest(facts, id())) return false;
  context_.reach.OnHeard(progress_.path, progress_.choice.target.name);
  answer_ = head;
  progress_.status = head.status;
  progress_.head_at = context_.clock.Now();
  answer_facts_ = facts;
  const TargetEntry& target = progress_.choice.target;
  HandleTargetNotices();
  if (!context_.placement.IsListed(target)) return true;
  context_.placement.OnAlive(*progress_.head_at, target.name, sent_at_);
  if (facts.cold_for > milliseconds(0)) {
    context_.placement.OnCold(*progress_.head_at, target.name, facts.cold_for);
  }
  return true;
}

// Applies what the head of the answer states about its target. The target may
// be missing from the list of targets, as an entry can disappear for a while.
void RelayedRequest::HandleTargetNotices() {
  const TargetEntry& target = progress_.choice.target;
  if (answer_facts_.leaving) {
    LogSaysLeaving(id(), target);
    context_.on_target_leaving(target);
  }
  if (answer_facts_.back_off > milliseconds(0)) {
    LogBacksOff(id(), target, answer_facts_.back_off);
    context_.placement.OnBackOff(*progress_.head_at, target.start,
                                 answer_facts_.back_off);
  }
  const RejectionStatement& rejections = answer_facts_.rejections;
  if (rejections.is_stated &&
      context_.placement.OnRejectionLimit(*progress_.head_at, target.service,
                                          rejections.max_rejections)) {
    LogRejectionLimit(target.service, rejections.max_rejections, "answer");
  }
  const bool changed = context_.placement.OnRate(
      *progress_.head_at, target.start, sent_at_, answer_facts_.rate);
  if (!changed) return;
  LogRateLimit(target.start, context_.placement.rate_limits(), "answer");
}

void RelayedRequest::OnBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  if (IsForwardedByEvent(admission_.route->kind, answer_.status,
                         answer_facts_.sealed)) {
    return ForwardEvents(bytes);
  }
  body_.append(bytes);
}

// Forwards complete events. This runs for every chunk of a stream, so it does
// as little as possible: only the first event of an attempt goes through the
// chart.
void RelayedRequest::ForwardEvents(std::string_view bytes) {
  const StreamEvents events = events_.Take(bytes);
  if (events.out_of_order) {
    return EndAttempt(Ran::kUnknown, PlacementOutcome::kFailed,
                      AttemptFault::kInvalid);
  }
  if (events.bytes.empty()) return;
  context_.reach.OnHeard(progress_.path, progress_.choice.target.name);
  const Instant now = context_.clock.Now();
  if (progress_.events == 0) BindToVersion();
  if (machine_.state() != RelayState::kStreaming) {
    OnFirstEvent();
  } else {
    OnLaterEvents(now);
  }
  last_event_at_ = now;
  progress_.events += events.count;
  attempt_events_ += static_cast<int>(events.count);
  caller_->WriteChunk(events.bytes);
  if (!paused_ && caller_->Unsent() > kMaxUnsentBytes) {
    paused_ = true;
    call_->PauseReading();
  }
  // While reading is paused, a missing event says nothing about the target, so
  // the event timeout is off. Data that was read before the pause may still
  // contain events, which arrive here as well.
  if (paused_) return attempt_timer_.reset();
  const RouteRule& route = *admission_.route;
  if (route.Repeatable()) SetAttemptTimer(NextEventTimeout(route));
}

// Called before the first event is passed on. From then on the stream belongs
// to its target's version, also if this router ends and the caller comes back
// elsewhere.
void RelayedRequest::BindToVersion() {
  const auto version = context_.placement.VersionOf(context_.clock.Now(),
                                                    progress_.choice.target);
  if (!version) {
    may_go_on_ = false;
    return;
  }
  admission_.placement.version = version;
  if (!admission_.route->resumable) return;
  const Duration waits =
      admission_.facts.time_left.value_or(admission_.route->timeout);
  const Duration longest = Placement::kMaxStreamAge;
  context_.versions.Announce(id(), *version, std::min(waits, longest));
}

void RelayedRequest::OnFirstEvent() {
  first_event_at_ = context_.clock.Now();
  const Duration waited = context_.clock.Now() - sent_at_;
  progress_.first_event = waited;
  if (progress_.choice.first_event_ms > 0) {
    context_.metrics.ObserveFirstEvent(waited, progress_.choice.first_event_ms);
  }
  const TargetEntry& target = progress_.choice.target;
  if (context_.placement.IsListed(target)) {
    context_.placement.OnAnswering(target.name, prefill_, waited);
  }
  prefill_ = 0;
  Apply(RelayEvent::kFirstEvent);
}

void RelayedRequest::OnLaterEvents(Instant now) {
  progress_.longest_pause =
      std::max(progress_.longest_pause, now - last_event_at_);
}

void RelayedRequest::BeginStream() {
  context_.metrics.ObserveFirstByte(customer(), admission_.route->kind,
                                    context_.clock.Now() - request_.begun);
  caller_->StartStream(HeadForCaller(answer_));
  attempt_timer_.reset();
  caller_->OnDrained([self = shared_from_this()] {
    if (!self->paused_) return;
    self->paused_ = false;
    if (!self->call_) return;
    self->call_->ResumeReading();
    self->last_event_at_ = self->context_.clock.Now();
    const RouteRule& route = *self->admission_.route;
    if (route.Repeatable()) self->SetAttemptTimer(NextEventTimeout(route));
  });
}

void RelayedRequest::OnCallEnd(CallEnd end) {
  const auto self = shared_from_this();
  const RelayState state = machine_.state();
  if (state == RelayState::kEnded) return;
  const bool streaming =
      state == RelayState::kStreaming || state == RelayState::kResuming;
  const AttemptResult result = EvaluateAttempt(
      {end, answer_facts_, answer_.status, events_.InEvent(), streaming});
  if (end == CallEnd::kCancelledBeforeSend) return OnSendHeldBack(result);
  if (end == CallEnd::kNoTunnel) return OnNoTunnel(result.fault);
  if (end == CallEnd::kNotSent) OnNotOpened();
  if (end == CallEnd::kBroken) ReportLost();
  const bool error = IsServerError(answer_.status);
  if (!result.answered || (error && MaySendAgain(FactsForRetry(result.ran)))) {
    return EndAttempt(result.ran, result.outcome, result.fault);
  }
  outcome_ = result.outcome;
  cause_ = IsSuccess(answer_.status) ? RelayCause::kServed
                                     : RelayCause::kTargetError;
  if (cause_ == RelayCause::kServed) ReportRan();
  Apply(RelayEvent::kAnswerComplete);
}

// Called when an attempt ended before a byte was sent, because its target was
// closed to new work in the meantime. The attempt doesn't count as a send and
// uses no retry.
void RelayedRequest::OnSendHeldBack(const AttemptResult& result) {
  LogSendHeldBack(id(), progress_.choice.target);
  context_.metrics.CountHeldBack();
  StopAttempt(result.outcome);
  --progress_.sends;
  Retry(result.ran);
}

// Called when the peer that was to carry the request is unreachable or refuses.
// Nothing was sent, and the target isn't at fault, so it may be chosen again.
void RelayedRequest::OnNoTunnel(AttemptFault fault) {
  context_.reach.OnTunnelFailed(progress_.path);
  tried_peers_.insert(progress_.path.peer);
  UndoSend(PlacementOutcome::kNeutral);
  LogAttempt(Ran::kNo, fault);
  if (tried_peers_.size() >= kMaxTriedPeers)
    return GiveUp(Ran::kNo, RelayCause::kTargetsUnreachable);
  Retry(Ran::kNo);
}

// Ends an attempt of which nothing was sent, as if it had not been made.
void RelayedRequest::UndoSend(PlacementOutcome outcome) {
  StopAttempt(outcome);
  --progress_.sends;
  admission_.placement.tried.erase(progress_.choice.target.name);
}

void RelayedRequest::OnNotOpened() {
  context_.reach.OnOpenFailed(progress_.path, progress_.choice.target.name);
}

bool RelayedRequest::IsSilent() const {
  const Instant heard = std::max(
      {sent_at_, progress_.head_at.value_or(sent_at_), last_event_at_});
  return context_.clock.Now() - heard >= TargetReach::kSilence &&
         context_.reach.IsSilent(admission_.service->name);
}

void RelayedRequest::OnLinksLost(const ServiceName& service) {
  const auto self = shared_from_this();
  if (!call_ || admission_.service->name != service) return;
  const Ran ran = RanInAttempt();
  switch (
      StepAfterLostLinks({progress_.path.direct(), ran, paused_, IsSilent()})) {
    case LostLinksStep::kKeep:
      return;
    case LostLinksStep::kUndo:
      UndoSend(PlacementOutcome::kNeutral);
      break;
    case LostLinksStep::kRetry:
      if (!TakeRetry(ran, AttemptFault::kPathChanged)) return;
      StopAttempt(PlacementOutcome::kNeutral);
      break;
  }
  LogAttempt(ran, AttemptFault::kPathChanged);
  Retry(ran);
}

// --- After an attempt --------------------------------------------------------

std::optional<Duration> RelayedRequest::TimeSinceFirstEvent() const {
  if (!first_event_at_) return std::nullopt;
  return context_.clock.Now() - *first_event_at_;
}

void RelayedRequest::ReportRan() {
  if (context_.crashes.HasReports()) context_.crashes.OnRan(fingerprint());
}

// Whether the target may have ended because of its load, or the connection
// because of the peer in between, so that the request can't be blamed.
bool RelayedRequest::MayEndUnderLoad() const {
  return !progress_.path.direct() ||
         context_.placement.rejection_limits().IsLimited(
             context_.clock.Now(), admission_.service->name);
}

// Called when the target closed the connection. The target may have crashed,
// possibly because of this request.
void RelayedRequest::ReportLost() {
  if (MayEndUnderLoad()) return;
  if (CrashWatch::HasPassedStartPhase(TimeSinceFirstEvent())) {
    passed_start_phase_ = true;
    ReportRan();
  }
  if (passed_start_phase_) return;
  may_have_crashed_ = true;
  context_.crashes.OnLost(MakeLostAttempt());
}

// Called when this router stops the attempt. The target may be about to end, or
// hang, because of the request.
void RelayedRequest::ReportStopped() {
  const bool at_target = RanInAttempt() == Ran::kUnknown;
  if (!at_target || MayEndUnderLoad() || passed_start_phase_ ||
      CrashWatch::HasPassedStartPhase(TimeSinceFirstEvent()))
    return;
  context_.crashes.OnStopped(MakeLostAttempt());
}

LostAttempt RelayedRequest::MakeLostAttempt() {
  const Instant since = progress_.head_at.value_or(sent_at_);
  return {id(), fingerprint(), progress_.choice.target,
          context_.clock.Now() - since};
}

Ran RelayedRequest::RanInAttempt() const {
  return call_ && call_->sent() ? Ran::kUnknown : Ran::kNo;
}

// Ends the call to the target, if there is one. Each end of an attempt calls
// this.
void RelayedRequest::StopAttempt(PlacementOutcome outcome) {
  if (!call_) return;
  ReportAnswer(outcome);
  call_->Cancel();
  call_.reset();
  context_.reach.OnEnded(progress_.path);
  attempt_timer_.reset();
  const TargetEntry& target = progress_.choice.target;
  if (context_.placement.IsListed(target)) {
    context_.placement.OnEnded(context_.clock.Now(), target.name, prefill_,
                               outcome);
  }
  prefill_ = 0;
}

// Reports the answer for the evaluation of a version that is being rolled out.
// Rejections that are no failure, and attempts that this router stopped, say
// nothing about the version.
void RelayedRequest::ReportAnswer(PlacementOutcome outcome) const {
  const TargetEntry& target = progress_.choice.target;
  if (!context_.rollouts.IsEvaluating(target.service)) return;
  const bool has_head = progress_.head_at.has_value();
  const bool error =
      has_head && !answer_facts_.not_run && IsServerError(answer_.status);
  const bool failed = outcome == PlacementOutcome::kFailed || error;
  if (!failed && outcome != PlacementOutcome::kGood) return;
  AttemptOutcome seen;
  seen.failed = failed;
  if (!failed && has_head) seen.first_event = FirstOverExpected();
  if (first_event_at_ && attempt_events_ >= kMinEventsForMeanPause) {
    seen.pause = ToSeconds(last_event_at_ - *first_event_at_) * 1000 /
                 (attempt_events_ - 1);
  }
  context_.rollouts.OnAnswer(target.service, target.version,
                             admission_.route->name, seen);
}

double RelayedRequest::FirstOverExpected() const {
  const Instant first = first_event_at_.value_or(*progress_.head_at);
  const double took_ms = ToSeconds(first - sent_at_) * 1000;
  const double expected_ms = progress_.choice.first_event_ms;
  return expected_ms > 0 ? took_ms / expected_ms : took_ms;
}

// Called when the attempt has failed, by its timeout or at its target. A
// deadline and a caller that leaves end the whole request instead, and log no
// line about the attempt.
void RelayedRequest::EndAttempt(Ran ran, PlacementOutcome outcome,
                                AttemptFault fault) {
  const auto self = shared_from_this();
  StopAttempt(outcome);
  LogAttempt(ran, fault);
  if (machine_.state() == RelayState::kCallerLeft) {
    return GiveUp(ran, RelayCause::kCallerGone);
  }
  if (TakeRetry(ran, fault)) return Retry(ran);
  GiveUp(ran, RelayCause::kTurnedAway);
}

RetryFacts RelayedRequest::FactsForRetry(Ran ran) {
  const RouteRule& route = *admission_.route;
  RetryFacts out;
  out.ran = ran;
  out.caller_gone = machine_.state() == RelayState::kCallerLeft;
  out.left = Left();
  out.sends = progress_.sends;
  out.crashes_targets =
      may_have_crashed_ && context_.crashes.IsOneCrashFromBlame(fingerprint());
  out.repeatable = route.Repeatable();
  out.max_attempts = route.max_attempts;
  return out;
}

bool RelayedRequest::TakeRetry(Ran ran, AttemptFault fault) {
  RetryFacts facts = FactsForRetry(ran);
  facts.was_sent = !IsUnsent(fault);
  facts.links_in_doubt = progress_.path.direct() &&
                         context_.reach.IsInDoubt(admission_.service->name);
  if (!CountsAsSend(facts)) {
    UncountSend();
    facts.sends = progress_.sends;
  }
  const bool taken = context_.retries.TakeRetry(
      context_.clock.Now(), facts, context_.placement, admission_.placement);
  if (taken) context_.metrics.CountRetry();
  return taken;
}

void RelayedRequest::UncountSend() {
  --progress_.sends;
  unopened_.insert(progress_.choice.target.name);
  if (!context_.reach.IsCutOff(admission_.service->name)) return;
  for (const TargetName& it : unopened_) admission_.placement.tried.erase(it);
  unopened_.clear();
}

void RelayedRequest::Retry(Ran ran) {
  Apply(ran == Ran::kNo ? RelayEvent::kRetryNotRun
                        : RelayEvent::kRetryMayHaveRun);
}

void RelayedRequest::LogAttempt(Ran ran, AttemptFault fault) {
  last_fault_ = fault;
  context_.metrics.CountAttemptFault(NameOf(fault));
  AttemptEnd end;
  end.ran = ran;
  end.fault = fault;
  end.now = context_.clock.Now();
  end.took = end.now - sent_at_;
  if (ran != Ran::kNo) end.fingerprint = fingerprint();
  LogAttemptEnded(id(), progress_, end);
}

const Fingerprint& RelayedRequest::fingerprint() {
  if (fingerprint_.empty()) {
    fingerprint_ = FingerprintOf(request_.head, request_.body, customer());
  }
  return fingerprint_;
}

}  // namespace quaytrack
