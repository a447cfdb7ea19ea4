#include "relay/relayed_request.h"

#include <algorithm>
#include <random>
#include <utility>

#include "relay/budget_driver.h"
#include "relay/rollout_driver.h"

namespace quaytrack {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A caller that takes less than it is sent is buffered up to this many bytes;
// then reading from the target stops until the buffer has drained. Not
// measured.
constexpr std::size_t kMostUnsent = 64 * 1024;

// Events of an attempt from which the pause between them is reckoned.
constexpr int kLeastEventsOfAPause = 3;

// Targets are told one priority: the customer's goes first, and routes are told
// apart by this many levels within it. Not measured.
constexpr int kRouteLevels = 3;

}  // namespace

RelayedRequest::RelayedRequest(const RelayContext& context, ServiceMapPtr map,
                               std::shared_ptr<CallerConnection> caller,
                               CallerRequest request)
    : context_(context),
      map_(std::move(map)),
      caller_(std::move(caller)),
      request_(std::move(request)),
      machine_(context.chart) {}

void RelayedRequest::Start() {
  const auto self = shared_from_this();
  context_.requests.Add(self);
  caller_->OnGone([self] { self->OnCallerGone(); });
  std::uniform_real_distribution<double> draw(0, 1);
  const auto refused =
      Admit({map_.get(), context_.callers, request_, draw(context_.random),
             context_.stop.LatestDeadline()},
            admission_);
  if (refused) return GiveUp(Ran::kNo, *refused);
  deadline_timer_ = context_.loop.After(std::max(Left(), Duration::zero()),
                                        [this] { OnDeadline(); });
  if (IsBlamed()) return RefuseBlamed();
  context_.retries.OnRequest(context_.clock.Now(), admission_.service->name);
  Hold();
}

void RelayedRequest::Apply(RelayEvent event) {
  const auto self = shared_from_this();
  Do(machine_.Apply(event));
}

void RelayedRequest::Do(RelayAction action) {
  switch (action) {
    case RelayAction::kNone:
      return;
    case RelayAction::kTakeHold:
      held_ = true;
      return Choose();
    case RelayAction::kReturnHold:
      return context_.budgets.Settle(*this, 0);
    case RelayAction::kChoose:
      return Choose();
    case RelayAction::kSend:
      return Send();
    case RelayAction::kBeginStream:
      return BeginStream();
    case RelayAction::kReply:
      caller_->Reply(HeadForCaller(answer_), body_);
      return End(Ran::kUnknown);
    case RelayAction::kEndStream:
      caller_->EndStream();
      return End(Ran::kUnknown);
    case RelayAction::kAbortStream:
      if (cause_ != RelayCause::kStopped) cause_ = RelayCause::kStreamBroke;
      stream_cut_ = true;
      caller_->Abort();
      return End(Ran::kUnknown);
    case RelayAction::kRefuse:
      return AnswerCaller(Ran::kNo);
    case RelayAction::kFail:
      // Whatever ended the last attempt, the request has failed at a target
      // that may have run it.
      if (cause_ != RelayCause::kTimedOut && cause_ != RelayCause::kStopped) {
        cause_ = RelayCause::kTargetFailed;
      }
      return AnswerCaller(Ran::kUnknown);
    case RelayAction::kDrop:
      return End(Ran::kNo);
    case RelayAction::kAbandon:
      return End(Ran::kUnknown);
  }
}

std::size_t RunningRequests::CountBegunBefore(Instant time) const {
  return static_cast<std::size_t>(
      std::count_if(all_.begin(), all_.end(),
                    [time](const auto& it) { return it->begun() < time; }));
}

// --- Before a target ---------------------------------------------------------

void RelayedRequest::Hold() {
  const bool unneeded =
      admission_.worst_case == 0 || admission_.customer.empty();
  if (unneeded) return Apply(RelayEvent::kHoldUnneeded);
  switch (context_.budgets.Hold(shared_from_this())) {
    case PrepaidVerdict::kHeld:
      return Apply(RelayEvent::kHoldGranted);
    case PrepaidVerdict::kShort:
      return Apply(RelayEvent::kHoldDelayed);
    case PrepaidVerdict::kExhausted:
      return OnHoldRefused(true);
  }
}

void RelayedRequest::OnHoldRefused(bool exhausted) {
  GiveUp(Ran::kNo, exhausted ? RelayCause::kBudgetExhausted
                             : RelayCause::kBudgetUnavailable);
}

// What is known of it may have come while it waited or ran elsewhere.
bool RelayedRequest::IsBlamed() {
  return context_.crashes.IsWatching() &&
         context_.crashes.IsBlamed(fingerprint());
}

void RelayedRequest::RefuseBlamed() {
  wait_ = context_.crashes.Remaining(fingerprint());
  LogBlamedRefused(id(), fingerprint(), *wait_);
  GiveUp(Ran::kNo, RelayCause::kCrashesTargets);
}

void RelayedRequest::Choose() {
  if (IsBlamed()) return RefuseBlamed();
  if (Left() < kLeastTimeToSend) return OnDeadline();
  const auto choice =
      context_.placement.Choose(context_.clock.Now(), admission_.placement);
  if (!choice) return GiveUp(Ran::kNo, CauseOfNoChoice());
  progress_.choice = *choice;
  Apply(RelayEvent::kTargetChosen);
}

RelayCause RelayedRequest::CauseOfNoChoice() const {
  if (progress_.sends > 0) return RelayCause::kTurnedAway;
  const Placement& placement = context_.placement;
  const PlacementRequest& request = admission_.placement;
  const Instant now = context_.clock.Now();
  if (placement.HasCold(now, request)) return RelayCause::kTargetsCold;
  if (placement.HasLimited(now, request)) return RelayCause::kTargetsLimited;
  if (placement.IsClosedOff(request)) return RelayCause::kHallsClosed;
  return placement.IsOutsideResidency(request) ? RelayCause::kOutsideResidency
                                               : RelayCause::kNoTarget;
}

// --- At a target -------------------------------------------------------------

void RelayedRequest::Send() {
  const TargetName& target = progress_.choice.target.name;
  ++progress_.sends;
  admission_.placement.tried.insert(target);
  sent_at_ = context_.clock.Now();
  progress_.head_at.reset();
  events_since_.reset();
  may_have_crashed_ = false;
  prefill_ = context_.placement.OnSent(sent_at_, target, admission_.placement,
                                       progress_.choice.is_preferred);
  TellPeersOfPrompt();
  attempt_events_ = 0;
  answer_facts_ = {};
  body_.clear();
  // Of the target before; this one is read until its bytes wait as well.
  paused_ = false;
  events_.DropPartial();

  CallHandle::Handlers on;
  const auto self = shared_from_this();
  on.head = [self](const HttpHead& head) { return self->OnHead(head); };
  on.body = [self](std::string_view bytes) { self->OnBody(bytes); };
  on.end = [self](CallEnd end) { self->OnCallEnd(end); };
  call_ = context_.targets.Start(MakeCall(), std::move(on));
  const RouteRule& route = *admission_.route;
  SetAttemptTimer(call_->connecting() ? ConnectTimeout(route, Left())
                                      : FirstAnswerTimeout(route, Left()));
}

void RelayedRequest::TellPeersOfPrompt() const {
  if (!context_.placement.IsWorthTelling(admission_.placement, prefill_))
    return;
  context_.tell_peers({progress_.choice.target.name, prefill_});
}

TargetCall RelayedRequest::MakeCall() const {
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
  out.may_send = [this] {
    return context_.placement.MayStillSend(
        context_.clock.Now(), progress_.choice, admission_.placement);
  };
  return out;
}

void RelayedRequest::SetAttemptTimer(Duration timeout) {
  attempt_timer_ = context_.loop.After(timeout, [this] { OnAttemptTimeout(); });
}

void RelayedRequest::OnAttemptTimeout() {
  const auto self = shared_from_this();
  if (!call_) return;
  if (RanInAttempt() == Ran::kNo) {
    return EndAttempt(Ran::kNo, PlacementOutcome::kFailed);
  }
  // The connection has opened in time; the answer has a timeout of its own.
  const Duration waited = context_.clock.Now() - sent_at_;
  const Duration timeout = FirstAnswerTimeout(*admission_.route, Left());
  const bool answering = machine_.state() == RelayState::kStreaming;
  if (!answering && waited < timeout) return SetAttemptTimer(timeout - waited);
  // Not stopped for nothing: only if it may be sent to another target. So the
  // retry is taken first here, and last in `EndAttempt`.
  if (!TakeRetry(Ran::kUnknown)) return;
  ReportStopped();
  StopAttempt(PlacementOutcome::kFailed);
  LogAttempt(Ran::kUnknown);
  Retry(Ran::kUnknown);
}

bool RelayedRequest::OnHead(const HttpHead& head) {
  const AnswerFacts facts = context_.target_dialect.Read(head);
  if (!AnswersRequest(facts, id())) return false;
  answer_ = head;
  progress_.status = head.status;
  progress_.head_at = context_.clock.Now();
  answer_facts_ = facts;
  const TargetEntry& target = progress_.choice.target;
  HeedTarget();
  if (!context_.placement.IsListed(target)) return true;
  context_.placement.OnAlive(*progress_.head_at, target.name, sent_at_);
  if (facts.cold_for > milliseconds(0)) {
    context_.placement.OnCold(*progress_.head_at, target.name, facts.cold_for);
  }
  return true;
}

// What the answer's head says of its target, whether that is still listed or
// not: an entry may be missing for a while.
void RelayedRequest::HeedTarget() {
  const TargetEntry& target = progress_.choice.target;
  if (answer_facts_.leaving) {
    LogSaysLeaving(id(), target);
    context_.target_leaves(target);
  }
  if (answer_facts_.back_off > milliseconds(0)) {
    LogBacksOff(id(), target, answer_facts_.back_off);
    context_.placement.OnBackOff(*progress_.head_at, target.start,
                                 answer_facts_.back_off);
  }
  const bool changed = context_.placement.OnRate(
      *progress_.head_at, target.start, sent_at_, answer_facts_.rate);
  if (!changed) return;
  LogRateLimit(target.start, context_.placement.rate_limits(), "answer");
}

void RelayedRequest::OnBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  if (IsPassedOnByEvent(admission_.route->kind, answer_.status,
                        answer_facts_.sealed)) {
    return PassOnEvents(bytes);
  }
  body_.append(bytes);
}

// Runs for every piece of a stream, so it does no more than it must: only the
// first event of an attempt goes through the chart.
void RelayedRequest::PassOnEvents(std::string_view bytes) {
  const StreamEvents events = events_.Take(bytes);
  if (events.out_of_order) {
    return EndAttempt(Ran::kUnknown, PlacementOutcome::kFailed);
  }
  if (events.bytes.empty()) return;
  const Instant now = context_.clock.Now();
  if (machine_.state() != RelayState::kStreaming) {
    OnFirstEvent();
  } else {
    OnLaterEvents(now);
  }
  events_at_ = now;
  progress_.events += events.count;
  attempt_events_ += static_cast<int>(events.count);
  caller_->WriteChunk(events.bytes);
  if (!paused_ && caller_->Unsent() > kMostUnsent) {
    paused_ = true;
    call_->PauseReading();
  }
  // Nothing is read, so its time for the next event says nothing of the target.
  // What was read before the pause may hold further events, and comes here too.
  if (paused_) return attempt_timer_.reset();
  const RouteRule& route = *admission_.route;
  if (route.Repeatable()) SetAttemptTimer(NextEventTimeout(route));
}

void RelayedRequest::OnFirstEvent() {
  events_since_ = context_.clock.Now();
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
  progress_.longest_pause = std::max(progress_.longest_pause, now - events_at_);
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
    self->events_at_ = self->context_.clock.Now();
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
  const AttemptVerdict verdict = JudgeAttempt(
      {end, answer_facts_, answer_.status, events_.InEvent(), streaming});
  if (end == CallEnd::kHeldBack) return ChooseAnew(verdict);
  if (end == CallEnd::kBroken) ReportLost();
  const bool error = IsServerError(answer_.status);
  if (!verdict.answered ||
      (error && MaySendAgain(FactsForRetry(verdict.ran)))) {
    return EndAttempt(verdict.ran, verdict.outcome);
  }
  outcome_ = verdict.outcome;
  cause_ = IsSuccess(answer_.status) ? RelayCause::kServed
                                     : RelayCause::kTargetError;
  if (cause_ == RelayCause::kServed) ReportRan();
  Apply(RelayEvent::kAnswerComplete);
}

// Its target may get no work any more, and nothing was written to it: this was
// no send, and takes nothing from the share of retries.
void RelayedRequest::ChooseAnew(const AttemptVerdict& held_back) {
  LogSendHeldBack(id(), progress_.choice.target);
  context_.metrics.CountHeldBack();
  StopAttempt(held_back.outcome);
  --progress_.sends;
  Retry(held_back.ran);
}

// --- After an attempt --------------------------------------------------------

std::optional<Duration> RelayedRequest::EventsFor() const {
  if (!events_since_) return std::nullopt;
  return context_.clock.Now() - *events_since_;
}

void RelayedRequest::ReportRan() {
  if (context_.crashes.IsWatching()) context_.crashes.OnRan(fingerprint());
}

// The target has ended the connection: it may have crashed, and this request
// may be why.
void RelayedRequest::ReportLost() {
  if (CrashWatch::HasOutlived(EventsFor())) {
    outlived_ = true;
    ReportRan();
  }
  if (outlived_) return;
  may_have_crashed_ = true;
  context_.crashes.OnLost(LostNow());
}

// The attempt is stopped from this side. Its target may be about to end, or
// hang, because of it.
void RelayedRequest::ReportStopped() {
  const bool at_target = RanInAttempt() == Ran::kUnknown;
  if (!at_target || outlived_ || CrashWatch::HasOutlived(EventsFor())) return;
  context_.crashes.OnStopped(LostNow());
}

LostAttempt RelayedRequest::LostNow() {
  const Instant since = progress_.head_at.value_or(sent_at_);
  return {id(), fingerprint(), progress_.choice.target,
          context_.clock.Now() - since};
}

Ran RelayedRequest::RanInAttempt() const {
  return call_ && call_->sent() ? Ran::kUnknown : Ran::kNo;
}

// Leaves the target, if the request is at one: every way out of an attempt
// comes through here.
void RelayedRequest::StopAttempt(PlacementOutcome outcome) {
  if (!call_) return;
  ReportAnswer(outcome);
  call_->Cancel();
  call_.reset();
  attempt_timer_.reset();
  const TargetEntry& target = progress_.choice.target;
  if (context_.placement.IsListed(target)) {
    context_.placement.OnEnded(context_.clock.Now(), target.name, prefill_,
                               outcome);
  }
  prefill_ = 0;
}

// For the verdict on a version that is being rolled out. A refusal that is no
// failure, and an end that came from this side, say nothing of it.
void RelayedRequest::ReportAnswer(PlacementOutcome outcome) const {
  const TargetEntry& target = progress_.choice.target;
  if (!context_.rollouts.IsJudging(target.service)) return;
  const bool has_head = progress_.head_at.has_value();
  const bool error =
      has_head && !answer_facts_.not_run && IsServerError(answer_.status);
  const bool failed = outcome == PlacementOutcome::kFailed || error;
  if (!failed && outcome != PlacementOutcome::kGood) return;
  AnswerSeen seen;
  seen.failed = failed;
  if (!failed && has_head) seen.first = FirstOverExpected();
  if (events_since_ && attempt_events_ >= kLeastEventsOfAPause) {
    seen.pause =
        ToSeconds(events_at_ - *events_since_) * 1000 / (attempt_events_ - 1);
  }
  context_.rollouts.OnAnswer(target.service, target.version,
                             admission_.route->name, seen);
}

double RelayedRequest::FirstOverExpected() const {
  const Instant first = events_since_.value_or(*progress_.head_at);
  const double took_ms = ToSeconds(first - sent_at_) * 1000;
  const double expected_ms = progress_.choice.first_event_ms;
  return expected_ms > 0 ? took_ms / expected_ms : took_ms;
}

// The attempt has failed, by itself or by its target. The deadline and a caller
// that leaves end the whole request, and write no line about the attempt.
void RelayedRequest::EndAttempt(Ran ran, PlacementOutcome outcome) {
  const auto self = shared_from_this();
  StopAttempt(outcome);
  LogAttempt(ran);
  if (machine_.state() == RelayState::kCallerLeft) {
    return GiveUp(ran, RelayCause::kCallerGone);
  }
  if (TakeRetry(ran)) return Retry(ran);
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
      may_have_crashed_ && context_.crashes.IsAtItsLast(fingerprint());
  out.repeatable = route.Repeatable();
  out.max_attempts = route.max_attempts;
  return out;
}

bool RelayedRequest::TakeRetry(Ran ran) {
  const bool taken =
      context_.retries.TakeRetry(context_.clock.Now(), FactsForRetry(ran),
                                 context_.placement, admission_.placement);
  if (taken) context_.metrics.CountRetry();
  return taken;
}

void RelayedRequest::Retry(Ran ran) {
  Apply(ran == Ran::kNo ? RelayEvent::kRetryNotRun
                        : RelayEvent::kRetryMayHaveRun);
}

void RelayedRequest::LogAttempt(Ran ran) {
  AttemptEnd end;
  end.ran = ran;
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

// --- Ends --------------------------------------------------------------------

void RelayedRequest::OnDeadline() {
  const auto self = shared_from_this();
  const RelayState state = machine_.state();
  if (state == RelayState::kEnded) return;
  LeaveHoldQueue();
  if (state == RelayState::kAwaitingHold) return OnHoldRefused(false);
  ReportStopped();
  const Ran ran = RanInAttempt();
  // A target that is sending events is not to blame for the time.
  const bool answering = state == RelayState::kStreaming;
  StopAttempt(answering ? PlacementOutcome::kNeutral
                        : PlacementOutcome::kFailed);
  GiveUp(ran, RelayCause::kTimedOut);
}

// As at the deadline, but for the cause: what is known of the request is said,
// and it costs what was handed out. Without it the exit of the process would
// cut each of these connections without an answer, and charge the whole hold.
void RelayedRequest::EndForStop(Duration left) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  LogRequestOverran(admission_, progress_, machine_.state(),
                    context_.clock.Now() - request_.begun, left);
  LeaveHoldQueue();
  const Ran ran = RanInAttempt();
  StopAttempt(PlacementOutcome::kNeutral);
  GiveUp(ran, RelayCause::kStopped);
}

void RelayedRequest::LeaveHoldQueue() {
  if (machine_.state() != RelayState::kAwaitingHold) return;
  context_.budgets.Forget(shared_from_this());
}

void RelayedRequest::OnCallerGone() {
  const auto self = shared_from_this();
  const RelayState state = machine_.state();
  if (state == RelayState::kEnded) return;
  LeaveHoldQueue();
  const Ran ran = RanInAttempt();
  // A call that must not be repeated is left to end by itself.
  const bool runs_on = ran == Ran::kUnknown &&
                       admission_.route->kind == RouteKind::kNonIdempotent;
  if (runs_on) return Apply(RelayEvent::kCallerGoneCallRunsOn);
  ReportStopped();
  StopAttempt(PlacementOutcome::kNeutral);
  cause_ = RelayCause::kCallerGone;
  Apply(ran == Ran::kNo ? RelayEvent::kCallerGoneNotRun
                        : RelayEvent::kCallerGoneMayHaveRun);
}

void RelayedRequest::GiveUp(Ran ran, RelayCause cause) {
  cause_ = cause;
  Apply(ran == Ran::kNo ? RelayEvent::kGiveUpNotRun
                        : RelayEvent::kGiveUpMayHaveRun);
}

void RelayedRequest::AnswerCaller(Ran ran) {
  const FinalAnswer answer = MakeFinalAnswer(cause_, ran, wait_);
  caller_->Reply(answer.head, answer.body);
  End(ran);
}

// The chart leads here once. `ran` is of all attempts together.
void RelayedRequest::End(Ran ran) {
  StopAttempt(outcome_);
  deadline_timer_.reset();
  Tokens cost = 0;
  if (held_) {
    cost = CostOf({ran, worst_case(), admission_.facts.prompt_tokens,
                   progress_.events, admission_.service->event_tokens});
    context_.budgets.Settle(*this, cost);
  }
  const Duration took = context_.clock.Now() - request_.begun;
  context_.metrics.CountEnd(customer(), NameOf(cause_), took);
  LogRequestEnded(
      admission_, progress_,
      {cause_, EndStatus(ran), cost, map_ ? map_->version() : 0, took});
  context_.loop.Post(
      [this, self = shared_from_this()] { context_.requests.Remove(self); });
}

int RelayedRequest::EndStatus(Ran ran) const {
  const bool passed_on =
      cause_ == RelayCause::kServed || cause_ == RelayCause::kTargetError;
  if (passed_on) return answer_.status;
  return stream_cut_ ? 0 : FinalStatus(cause_, ran);
}

}  // namespace quaytrack
