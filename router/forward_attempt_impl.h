// Member functions of Forward for an attempt at a target: sending the call,
// relaying the answer, and handling each way in which an attempt ends. Included
// by router/forward.h only.

#ifndef QUAYTRACK_ROUTER_FORWARD_ATTEMPT_IMPL_H_
#define QUAYTRACK_ROUTER_FORWARD_ATTEMPT_IMPL_H_

#include <utility>

#include "router/forward.h"

namespace quaytrack {

// Bytes. When more than this is buffered for a slow caller, reading from the
// target pauses until the buffer has drained.
inline constexpr std::size_t kUnsentHighWater = 16 * 1024;
// Maximum number of attempts of a request, each at a different target.
inline constexpr std::size_t kMaxAttempts = 3;
// Maximum wait for an engine's usage report of a cancelled request.
inline constexpr Duration kCancelTimeout = std::chrono::seconds(1);

template <ForwardJob Job>
void Forward<Job>::Send() {
  sent_at_ = context_.Now();
  histograms_.queue_wait->Observe(ToSeconds(sent_at_ - queued_at_));
  target_name_ = context_.targets.Spec(*target_index_).name;
  tried_targets_.insert(target_name_);
  context_.targets.OnSent(sent_at_, *target_index_);
  was_sent_ = true;
  HttpRequest request = job_.Request(context_.addresses[target_name_]);
  request.headers.push_back({kRequestIdHeader, basics_.request.value});
  request.headers.push_back({"X-Customer", basics_.headers.customer.value});
  request.headers.push_back(
      {kPriorityHeader, std::string(NameOf(basics_.headers.priority))});
  if (!basics_.headers.key.empty()) {
    request.headers.push_back({kKeyHeader, basics_.headers.key.value});
  }
  request.idle_timeout = basics_.attempt_timeout;
  request.fresh_connection = !basics_.repeatable;
  // The witness is notified before the target, so that it knows of every
  // request that may run.
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
  if (job_.IsBroken()) return BreakAttempt();
  if (paused_ || exchange_->UnsentBytes() <= kUnsentHighWater) return;
  paused_ = true;
  call_->PauseReading();
}

template <ForwardJob Job>
void Forward<Job>::OnEnd(const HttpResult& result) {
  call_.reset();
  const AnswerKind kind = job_.Classify(result);
  if (kind == AnswerKind::kComplete) {
    ReleaseTarget(TargetOutcome::kOk);
    return Apply(ForwardEvent::kAnswerComplete);
  }
  if (kind == AnswerKind::kRejected) {
    ReleaseTarget(TargetOutcome::kOk);
    replay_ =
        StoredAnswer{result.status, result.content_type, result.body, false};
    return Refuse({});
  }
  OnAttemptFailed(result, kind);
}

template <ForwardJob Job>
void Forward<Job>::OnAttemptFailed(const HttpResult& result, AnswerKind kind) {
  const bool overloaded =
      kind == AnswerKind::kOverloaded || kind == AnswerKind::kUnproven;
  const bool not_run =
      kind == AnswerKind::kOverloaded || result.end == HttpEnd::kNotSent;
  may_have_run_ = may_have_run_ || !not_run;
  LogEvent(Event::kTargetFailed, {{"target", target_name_.value},
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
                         tried_targets_.size() < kMaxAttempts &&
                         context_.Now() < basics_.deadline;
  if (may_retry && context_.retries.TryRetry()) {
    context_.metrics.CountRetry();
    return Apply(ForwardEvent::kTryAgain);
  }
  if (not_run) {
    const RefusalCode code =
        overloaded ? RefusalCode::kOverloaded : RefusalCode::kTargetFailed;
    return Refuse({code,
                   "target '" + target_name_.value + "' didn't take the call",
                   "", kShortRetryAfter});
  }
  refusal_ = {
      RefusalCode::kOutcomeUnknown,
      "target '" + target_name_.value + "' failed; the call may have run", "",
      kShortRetryAfter};
  // A repeatable call is billed when its caller repeats it.
  Apply(basics_.repeatable ? ForwardEvent::kRefused
                           : ForwardEvent::kAnswerBroke);
}

template <ForwardJob Job>
void Forward<Job>::OnTargetUnresponsive(const TargetName& target) {
  const bool waiting_there =
      state() == ForwardState::kSent && target_name_ == target;
  if (waiting_there && basics_.repeatable) TimeOutAttempt();
}

// Ends an attempt whose answer has not started, as timed out.
template <ForwardJob Job>
void Forward<Job>::TimeOutAttempt() {
  if (call_) call_->Cancel();
  call_.reset();
  HttpResult timed_out;
  timed_out.end = HttpEnd::kTimedOut;
  OnAttemptFailed(timed_out, AnswerKind::kFailed);
}

// Ends an attempt whose answer can't be relayed.
template <ForwardJob Job>
void Forward<Job>::BreakAttempt() {
  if (call_) call_->Cancel();
  call_.reset();
  OnAttemptFailed({}, AnswerKind::kFailed);
}

// Ends an attempt that may have run, without a retry. A model call is cancelled
// as if its caller had disconnected, since its engine then reports the usage.
template <ForwardJob Job>
void Forward<Job>::AbortAttempt() {
  refusal_ = {RefusalCode::kOutcomeUnknown,
              "this router stopped before the answer was whole", "",
              kShortRetryAfter};
  if (Job::kCancellable) return Apply(ForwardEvent::kCallerGone);
  if (call_) call_->Cancel();
  call_.reset();
  ReleaseTarget(TargetOutcome::kCancelled);
  // A repeatable call is billed when its caller repeats it.
  Apply(basics_.repeatable ? ForwardEvent::kRefused
                           : ForwardEvent::kAnswerBroke);
}

template <ForwardJob Job>
void Forward<Job>::ReleaseTarget(TargetOutcome outcome) {
  if (!target_index_) return;
  target_index_.reset();
  const Instant now = context_.Now();
  if (context_.targets.OnEnd(now, target_name_, outcome, now - sent_at_)) {
    LogEvent(Event::kBreakerOpened, {{"target", target_name_.value}});
  }
  context_.on_capacity(basics_.group);
}

template <ForwardJob Job>
void Forward<Job>::Cancel() {
  if (call_) call_->Cancel();
  call_.reset();
  ReleaseTarget(TargetOutcome::kCancelled);
  if (!past_drain_deadline_) {
    LogEvent(Event::kCallerGone, {{"request", basics_.request.value}});
  }
  HttpRequest request =
      job_.CancelRequest(context_.addresses[target_name_], basics_.request);
  request.idle_timeout = kCancelTimeout;
  HttpCall::Handlers on;
  on.end = [self = this->shared_from_this()](const HttpResult& result) {
    self->job_.OnCancelled(result);
    self->SettleAs(self->job_.CostIfIncomplete());
  };
  context_.http.Start(std::move(request), std::move(on));
}

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_FORWARD_ATTEMPT_IMPL_H_
