#include "relay/relayed_request.h"

#include <algorithm>
#include <random>
#include <utility>

#include "relay/budget_driver.h"
#include "relay/request_cost.h"

namespace quaytrack {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A caller that takes less than it is sent is buffered up to this; then reading
// from the target stops until it has drained.
constexpr std::size_t kMostUnsent = 64 * 1024;
// Urgency levels of routes below one of customers.
constexpr int kRouteLevels = 3;

}  // namespace

RelayedRequest::RelayedRequest(const RelayContext& context, ServiceMapPtr map,
                               std::shared_ptr<CallerConnection> caller,
                               CallerRequest request)
    : context_(context),
      map_(std::move(map)),
      caller_(std::move(caller)),
      request_(std::move(request)) {}

void RelayedRequest::Start() {
  const auto self = shared_from_this();
  context_.requests.Add(self);
  caller_->OnGone([self] { self->OnCallerGone(); });
  std::uniform_real_distribution<double> draw(0, 1);
  const auto refused =
      Admit({map_.get(), context_.callers, request_, draw(context_.random)},
            admission_);
  if (refused) return Refuse(*refused);
  deadline_timer_ = context_.loop.After(std::max(Left(), Duration::zero()),
                                        [this] { OnDeadline(); });
  context_.retries.OnRequest(context_.clock.Now(), admission_.service->name);
  Hold();
}

// --- The budget --------------------------------------------------------------

void RelayedRequest::Hold() {
  if (admission_.worst_case == 0 || admission_.customer.empty())
    return Dispatch();
  switch (context_.budgets.Hold(shared_from_this())) {
    case PrepaidVerdict::kHeld:
      return OnHeld();
    case PrepaidVerdict::kShort:
      waits_for_budget_ = true;
      return;
    case PrepaidVerdict::kExhausted:
      return OnHoldRefused(true);
  }
}

void RelayedRequest::OnHeld() {
  // Granted while the request ended.
  if (ended_) return context_.budgets.Settle(*this, 0);
  held_ = true;
  waits_for_budget_ = false;
  Dispatch();
}

void RelayedRequest::OnHoldRefused(bool exhausted) {
  // Refused while the request ended.
  if (ended_) return;
  waits_for_budget_ = false;
  if (exhausted) return Refuse(RelayCause::kBudgetExhausted);
  Refuse(RelayCause::kBudgetUnavailable);
}

// --- Attempts ----------------------------------------------------------------

Duration RelayedRequest::Left() const {
  return admission_.deadline - context_.clock.Now();
}

void RelayedRequest::Dispatch() {
  if (Left() < kLeastTimeToSend) return OnDeadline();
  const auto choice =
      context_.placement.Choose(context_.clock.Now(), admission_.placement);
  if (choice) return Send(*choice);
  if (may_have_run_) return Fail(RelayCause::kTargetFailed);
  const RelayCause cause =
      progress_.sends > 0 ? RelayCause::kTurnedAway : RelayCause::kNoTarget;
  Refuse(cause);
}

void RelayedRequest::Send(const PlacementChoice& choice) {
  const TargetEntry& target = choice.target;
  progress_.choice = choice;
  ++progress_.sends;
  admission_.placement.tried.insert(target.name);
  sent_at_ = context_.clock.Now();
  unread_ = context_.placement.OnSent(sent_at_, target.name,
                                      admission_.placement, choice.is_home);
  at_target_ = true;
  answering_ = false;
  answer_facts_ = {};
  body_.clear();
  events_.DropPartial();

  SendFacts facts;
  facts.target = target.name;
  facts.customer = admission_.customer;
  facts.time_left = duration_cast<milliseconds>(Left());
  facts.priority =
      admission_.customer_priority * kRouteLevels + admission_.route->priority;
  if (streaming_) facts.last_event = events_.last_id();
  TargetCall call;
  call.address = target.address;
  call.bytes =
      context_.target_dialect.Head(request_.head, facts, request_.body.size());
  call.bytes += request_.body;
  CallHandle::Handlers on;
  const auto self = shared_from_this();
  on.head = [self](const HttpHead& head) { return self->OnHead(head); };
  on.body = [self](std::string_view bytes) { self->OnBody(bytes); };
  on.end = [self](CallEnd end) { self->OnCallEnd(end); };
  call_ = context_.targets.Start(call, std::move(on));
  const RouteRule& route = *admission_.route;
  WatchAttempt(call_->connecting() ? ConnectPatience(route, Left())
                                   : FirstAnswerPatience(route, Left()));
}

void RelayedRequest::WatchAttempt(Duration patience) {
  patience_timer_ = context_.loop.After(patience, [this] { OnPatienceOver(); });
}

void RelayedRequest::OnPatienceOver() {
  const auto self = shared_from_this();
  if (!call_) return;
  if (!call_->sent()) {
    call_->Cancel();
    call_.reset();
    return OnAttemptEnded(Ran::kNo, PlacementOutcome::kFailed);
  }
  const Duration waited = context_.clock.Now() - sent_at_;
  const Duration patience = FirstAnswerPatience(*admission_.route, Left());
  if (!answering_ && waited < patience) return WatchAttempt(patience - waited);
  // Not stopped for nothing: only if it may be sent to another target.
  if (!TakeRetry(Ran::kUnknown)) return;
  call_->Cancel();
  call_.reset();
  may_have_run_ = true;
  ReleaseTarget(PlacementOutcome::kFailed);
  LogAttempt(Ran::kUnknown);
  Dispatch();
}

bool RelayedRequest::OnHead(const HttpHead& head) {
  const AnswerFacts facts = context_.target_dialect.Read(head);
  if (!AnswersRequest(facts, id())) return false;
  answer_ = head;
  progress_.status = head.status;
  answer_facts_ = facts;
  return true;
}

void RelayedRequest::OnBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (ended_) return;
  if (IsPassedOnByEvent(admission_.route->kind, answer_.status,
                        answer_facts_.sealed)) {
    return RelayEvents(bytes);
  }
  body_.append(bytes);
}

void RelayedRequest::RelayEvents(std::string_view bytes) {
  const StreamEvents events = events_.Take(bytes);
  if (events.out_of_order) {
    call_->Cancel();
    call_.reset();
    return OnAttemptEnded(Ran::kUnknown, PlacementOutcome::kFailed);
  }
  if (events.bytes.empty()) return;
  if (!answering_) {
    answering_ = true;
    const Duration waited = context_.clock.Now() - sent_at_;
    progress_.first_event = waited;
    context_.placement.OnAnswering(progress_.choice.target.name, unread_,
                                   waited);
    unread_ = 0;
  }
  if (!streaming_) BeginStream();
  progress_.events += events.count;
  caller_->WriteChunk(events.bytes);
  const RouteRule& route = *admission_.route;
  if (route.Repeatable()) WatchAttempt(NextEventPatience(route));
  if (paused_ || caller_->Unsent() <= kMostUnsent) return;
  paused_ = true;
  call_->PauseReading();
}

void RelayedRequest::BeginStream() {
  streaming_ = true;
  context_.metrics.ObserveFirstByte(admission_.customer, admission_.route->kind,
                                    context_.clock.Now() - request_.begun);
  caller_->StartStream(HeadForCaller(answer_));
  patience_timer_.reset();
  caller_->OnDrained([self = shared_from_this()] {
    if (!self->paused_) return;
    self->paused_ = false;
    if (self->call_) self->call_->ResumeReading();
  });
}

void RelayedRequest::OnCallEnd(CallEnd end) {
  const auto self = shared_from_this();
  call_.reset();
  if (ended_) return;
  const AttemptVerdict verdict = JudgeAttempt(
      {end, answer_facts_, answer_.status, events_.InEvent(), streaming_});
  const bool error = IsServerError(answer_.status);
  if (!verdict.answered ||
      (error && MaySendAgain(FactsForRetry(verdict.ran)))) {
    return OnAttemptEnded(verdict.ran, verdict.outcome);
  }
  may_have_run_ = true;
  if (streaming_) {
    caller_->EndStream();
  } else if (!caller_gone_) {
    caller_->Reply(HeadForCaller(answer_), body_);
  }
  ReleaseTarget(verdict.outcome);
  End(IsSuccess(answer_.status) ? RelayCause::kServed
                                : RelayCause::kTargetError,
      answer_.status);
}

void RelayedRequest::ReleaseTarget(PlacementOutcome outcome) {
  patience_timer_.reset();
  if (!at_target_) return;
  at_target_ = false;
  context_.placement.OnEnded(context_.clock.Now(), progress_.choice.target.name,
                             unread_, outcome);
  unread_ = 0;
}

RetryFacts RelayedRequest::FactsForRetry(Ran ran) const {
  const RouteRule& route = *admission_.route;
  RetryFacts out;
  out.ran = ran;
  out.caller_gone = caller_gone_;
  out.left = Left();
  out.sends = progress_.sends;
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

void RelayedRequest::LogAttempt(Ran ran) const {
  LogAttemptEnded(id(), progress_, ran, context_.clock.Now() - sent_at_);
}

void RelayedRequest::OnAttemptEnded(Ran ran, PlacementOutcome outcome) {
  const auto self = shared_from_this();
  if (ran == Ran::kUnknown) may_have_run_ = true;
  ReleaseTarget(outcome);
  LogAttempt(ran);
  if (caller_gone_) return End(RelayCause::kCallerGone, 0);
  if (TakeRetry(ran)) return Dispatch();
  // A stream that has begun can't end in another answer.
  if (may_have_run_ || streaming_) return Fail(RelayCause::kTargetFailed);
  Refuse(RelayCause::kTurnedAway);
}

// --- Ends --------------------------------------------------------------------

void RelayedRequest::OnDeadline() {
  const auto self = shared_from_this();
  if (ended_) return;
  if (waits_for_budget_) {
    context_.budgets.Forget(self);
    return OnHoldRefused(false);
  }
  const bool sent = may_have_run_ || (call_ && call_->sent());
  if (call_) call_->Cancel();
  call_.reset();
  ReleaseTarget(answering_ ? PlacementOutcome::kNeutral
                           : PlacementOutcome::kFailed);
  may_have_run_ = sent;
  if (sent) return Fail(RelayCause::kTimedOut);
  Refuse(RelayCause::kTimedOut);
}

void RelayedRequest::OnCallerGone() {
  const auto self = shared_from_this();
  if (ended_) return;
  caller_gone_ = true;
  if (waits_for_budget_) context_.budgets.Forget(self);
  const bool may_stop = admission_.route == nullptr ||
                        admission_.route->kind != RouteKind::kNonIdempotent;
  // A call that must not be repeated is left to end by itself.
  if (call_ && !may_stop && call_->sent()) return;
  may_have_run_ = may_have_run_ || (call_ && call_->sent());
  if (call_) call_->Cancel();
  call_.reset();
  ReleaseTarget(PlacementOutcome::kNeutral);
  End(RelayCause::kCallerGone, 0);
}

void RelayedRequest::Refuse(RelayCause cause) { AnswerCaller(cause, Ran::kNo); }

// Gives up a request that may have run.
void RelayedRequest::Fail(RelayCause cause) {
  if (streaming_) {
    caller_->Abort();
    return End(RelayCause::kStreamBroke, 0);
  }
  AnswerCaller(cause, Ran::kUnknown);
}

void RelayedRequest::AnswerCaller(RelayCause cause, Ran ran) {
  const FinalAnswer answer = MakeFinalAnswer(cause, ran);
  caller_->Reply(answer.head, answer.body);
  End(cause, answer.head.status);
}

Tokens RelayedRequest::Cost() const {
  if (!held_) return 0;
  const Ran ran = may_have_run_ || streaming_ ? Ran::kUnknown : Ran::kNo;
  return CostOf({ran, admission_.worst_case, admission_.facts.prompt_tokens,
                 progress_.events, admission_.service->event_tokens});
}

void RelayedRequest::End(RelayCause cause, int status) {
  if (ended_) return;
  ended_ = true;
  deadline_timer_.reset();
  patience_timer_.reset();
  if (held_) context_.budgets.Settle(*this, Cost());
  const Duration took = context_.clock.Now() - request_.begun;
  context_.metrics.CountEnd(admission_.customer, NameOf(cause), took);
  LogRequestEnded(admission_, progress_,
                  {cause, status, Cost(), map_ ? map_->version() : 0, took});
  context_.loop.Post(
      [this, self = shared_from_this()] { context_.requests.Remove(self); });
}

}  // namespace quaytrack
