// Member functions of Forward that concern an attempt at a target: sending the
// call, passing the answer on, and what follows from each end of an attempt.
// Included by router/forward.h only.

#ifndef QUAYTRACK_ROUTER_FORWARD_ATTEMPT_IMPL_H_
#define QUAYTRACK_ROUTER_FORWARD_ATTEMPT_IMPL_H_

#include <utility>

#include "router/forward.h"

namespace quaytrack {

// Bytes. A caller that takes less than it is sent is buffered up to this; then
// reading from the target stops until the buffer has drained. Not measured.
inline constexpr std::size_t kUnsentHighWater = 16 * 1024;
// Attempts at different targets for one request. Not measured.
inline constexpr std::size_t kMostAttempts = 3;
// How long to wait for an engine's count of a cancelled request. Not measured.
inline constexpr Duration kCancelPatience = std::chrono::seconds(1);

template <ForwardJob Job>
void Forward<Job>::Send() {
  sent_at_ = context_.Now();
  histograms_.queue_wait->Observe(ToSeconds(sent_at_ - queued_at_));
  target_ = context_.targets.Spec(*chosen_).name;
  tried_.insert(target_);
  context_.targets.OnSent(sent_at_, *chosen_);
  sent_once_ = true;
  HttpRequest request = job_.Request(context_.addresses[target_]);
  request.headers.push_back({kRequestIdHeader, basics_.request.value});
  request.headers.push_back({"X-Customer", basics_.headers.customer.value});
  request.headers.push_back(
      {kPriorityHeader, std::string(NameOf(basics_.headers.priority))});
  if (!basics_.headers.key.empty()) {
    request.headers.push_back({kKeyHeader, basics_.headers.key.value});
  }
  request.idle_timeout = basics_.attempt_timeout;
  request.fresh_connection = !basics_.repeatable;
  // Told before the target is, so that no request runs unknown to the witness.
  if (Job::kCancellable || !basics_.repeatable) {
    context_.peers.OnIntent(
        job_.MakeIntent(request.address, budget_.MakeBill(basics_.worst_case)));
  }
  HttpCall::Handlers on;
  const auto self = this->shared_from_this();
  if (job_.streams()) {
    on.head = [self](int status, const std::string&) { self->OnHead(status); };
    on.data = [self](evbuffer* data) { self->OnData(data); };
  }
  on.end = [self](const HttpResult& result) { self->OnEnd(result); };
  call_ = context_.http.Start(std::move(request), std::move(on));
}

template <ForwardJob Job>
void Forward<Job>::OnHead(int status) {
  if (status != 200) return;
  Apply(ForwardEvent::kAnswerBegan);
  exchange_->OnDrained([weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->paused_ || !self->call_) return;
    self->paused_ = false;
    self->call_->ResumeReading();
  });
}

template <ForwardJob Job>
void Forward<Job>::OnData(evbuffer* data) {
  if (!streaming_) return;
  const int events = job_.Relay(data, *exchange_);
  if (events > 0) {
    const Instant now = context_.Now();
    if (last_event_ == Instant{}) {
      histograms_.first_token->Observe(ToSeconds(now - basics_.arrived));
    } else {
      histograms_.between_tokens->Observe(ToSeconds(now - last_event_) /
                                          events);
    }
    last_event_ = now;
  }
  if (paused_ || exchange_->UnsentBytes() <= kUnsentHighWater) return;
  paused_ = true;
  call_->PauseReading();
}

template <ForwardJob Job>
void Forward<Job>::OnEnd(const HttpResult& result) {
  call_.reset();
  const AnswerKind kind = job_.Judge(result);
  if (kind == AnswerKind::kComplete) {
    ReleaseTarget(TargetOutcome::kOk);
    return Apply(ForwardEvent::kAnswerComplete);
  }
  if (kind == AnswerKind::kPassedOn) {
    ReleaseTarget(TargetOutcome::kOk);
    replay_ =
        KeptAnswer{result.status, result.content_type, result.body, false};
    return Refuse({});
  }
  OnAttemptFailed(result, kind);
}

template <ForwardJob Job>
void Forward<Job>::OnAttemptFailed(const HttpResult& result, AnswerKind kind) {
  const bool overloaded = kind == AnswerKind::kOverloaded;
  const bool not_run = overloaded || result.end == HttpEnd::kNotSent;
  LogEvent(Event::kTargetFailed, {{"target", target_.value},
                                  {"request", basics_.request.value},
                                  {"status", std::to_string(result.status)},
                                  {"ran", not_run ? "no" : "unknown"}});
  ReleaseTarget(overloaded ? TargetOutcome::kOverloaded
                           : TargetOutcome::kFailed);
  if (streaming_) {
    refusal_ = {RefusalCode::kOutcomeUnknown, "the stream broke at its target",
                "", kShortRetryAfter};
    return Apply(ForwardEvent::kAnswerBroke);
  }
  const bool may_retry = (not_run || basics_.repeatable) &&
                         tried_.size() < kMostAttempts &&
                         context_.Now() < basics_.deadline;
  if (may_retry && context_.retries.TryRetry()) {
    context_.metrics.CountRetry();
    return Apply(ForwardEvent::kTryAgain);
  }
  if (not_run) {
    const RefusalCode code =
        overloaded ? RefusalCode::kOverloaded : RefusalCode::kTargetFailed;
    return Refuse({code, "target '" + target_.value + "' didn't take the call",
                   "", kShortRetryAfter});
  }
  refusal_ = {RefusalCode::kOutcomeUnknown,
              "target '" + target_.value + "' failed; the call may have run",
              "", kShortRetryAfter};
  // A call that may be repeated is repeated by its caller, and billed then.
  Apply(basics_.repeatable ? ForwardEvent::kRefused
                           : ForwardEvent::kAnswerBroke);
}

template <ForwardJob Job>
void Forward<Job>::OnTargetUnresponsive(const TargetName& target) {
  const bool waits_there = state() == ForwardState::kSent && target_ == target;
  if (waits_there && basics_.repeatable) GiveUpAttempt();
}

// Ends an attempt that has not begun to answer.
template <ForwardJob Job>
void Forward<Job>::GiveUpAttempt() {
  if (call_) call_->Cancel();
  call_.reset();
  HttpResult timed_out;
  timed_out.end = HttpEnd::kTimedOut;
  OnAttemptFailed(timed_out, AnswerKind::kFailed);
}

// Ends an attempt that may have run, and doesn't try again. A model call is
// cancelled as if its caller had left, since then its engine tells what ran.
template <ForwardJob Job>
void Forward<Job>::CutAttempt() {
  refusal_ = {RefusalCode::kOutcomeUnknown,
              "this router stopped before the answer was whole", "",
              kShortRetryAfter};
  if (Job::kCancellable) return Apply(ForwardEvent::kCallerGone);
  if (call_) call_->Cancel();
  call_.reset();
  ReleaseTarget(TargetOutcome::kCancelled);
  // A call that may be repeated is repeated by its caller, and billed then.
  Apply(basics_.repeatable ? ForwardEvent::kRefused
                           : ForwardEvent::kAnswerBroke);
}

template <ForwardJob Job>
void Forward<Job>::ReleaseTarget(TargetOutcome outcome) {
  if (!chosen_) return;
  chosen_.reset();
  const Instant now = context_.Now();
  if (context_.targets.OnEnd(now, target_, outcome, now - sent_at_)) {
    LogEvent(Event::kBreakerOpened, {{"target", target_.value}});
  }
  context_.room_in(basics_.group);
}

template <ForwardJob Job>
void Forward<Job>::Cancel() {
  if (call_) call_->Cancel();
  call_.reset();
  ReleaseTarget(TargetOutcome::kCancelled);
  if (!time_up_) {
    LogEvent(Event::kCallerGone, {{"request", basics_.request.value}});
  }
  HttpRequest request =
      job_.CancelRequest(context_.addresses[target_], basics_.request);
  request.idle_timeout = kCancelPatience;
  HttpCall::Handlers on;
  on.end = [self = this->shared_from_this()](const HttpResult& result) {
    self->job_.OnCancelled(result);
    self->SettleAs(self->job_.CostIfCut());
  };
  context_.http.Start(std::move(request), std::move(on));
}

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_FORWARD_ATTEMPT_IMPL_H_
