// Member functions of Forward; included by router/forward.h only.

#ifndef QUAYTRACK_ROUTER_FORWARD_IMPL_H_
#define QUAYTRACK_ROUTER_FORWARD_IMPL_H_

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "router/forward.h"

namespace quaytrack {

// A caller that takes less than it is sent is buffered up to this; then reading
// from the target stops until the buffer has drained.
inline constexpr std::size_t kUnsentHighWater = 16 * 1024;
// Attempts at different targets for one request.
inline constexpr std::size_t kMostAttempts = 3;
// How long a claim may take to be written before the caller is refused.
inline constexpr Duration kClaimPatience = std::chrono::milliseconds(1500);
inline constexpr Duration kShortRetryAfter = std::chrono::seconds(1);
inline constexpr Duration kOutageRetryAfter = std::chrono::seconds(5);
// How long to wait for an engine's count of a cancelled request.
inline constexpr Duration kCancelPatience = std::chrono::seconds(1);

template <ForwardJob Job>
Forward<Job>::Forward(RouterContext& context,
                      std::shared_ptr<HttpExchange> exchange,
                      RequestBasics basics, Job job)
    : context_(context),
      exchange_(std::move(exchange)),
      basics_(std::move(basics)),
      job_(std::move(job)),
      machine_(context.chart),
      histograms_(context.metrics.For(basics_.headers.customer,
                                      basics_.headers.priority)) {}

template <ForwardJob Job>
void Forward<Job>::Start() {
  exchange_->OnGone([weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    // A call that must not be repeated goes on to its end, so that its answer
    // is there when the caller asks again.
    const bool sent = self->sent_once_;
    if (sent && !Job::kCancellable) return;
    self->Apply(ForwardEvent::kCallerGone);
  });
  Apply(basics_.needs_claim ? ForwardEvent::kNeedClaim
                            : ForwardEvent::kNeedBudget);
}

template <ForwardJob Job>
void Forward<Job>::Apply(ForwardEvent event) {
  const auto keep = this->shared_from_this();
  Do(machine_.Apply(event));
}

template <ForwardJob Job>
void Forward<Job>::Do(ForwardAction action) {
  switch (action) {
    case ForwardAction::kNone:
      return;
    case ForwardAction::kClaim:
      return Claim();
    case ForwardAction::kHold:
      return Hold();
    case ForwardAction::kFindTarget:
      return FindTarget();
    case ForwardAction::kSend:
      return Send();
    case ForwardAction::kRelay:
      streaming_ = true;
      return job_.Begin(*exchange_);
    case ForwardAction::kSettle:
      answered_ = true;
      EndClaim(true);
      return SettleAs(job_.Cost());
    case ForwardAction::kSettleBroken:
      EndClaim(false);
      return SettleAs(job_.CostIfCut());
    case ForwardAction::kCancel:
      return Cancel();
    case ForwardAction::kRefuse:
      return ReplyRefusal();
    case ForwardAction::kAbandon:
      return Abandon();
    case ForwardAction::kFinish:
      return Finish();
  }
}

template <ForwardJob Job>
void Forward<Job>::Refuse(Refusal refusal) {
  refusal_ = std::move(refusal);
  Apply(ForwardEvent::kRefused);
}

// --- Claim -----------------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::Claim() {
  const ClaimKey key{basics_.headers.customer, basics_.headers.key};
  const ClaimAnswer answer = context_.claims.book().Begin(
      context_.Now(), key, basics_.digest, basics_.request,
      context_.clock.WallNow().time_since_epoch().count());
  context_.claims.Kick();
  joined_ = answer.kind == ClaimAnswerKind::kJoin;
  const bool must_wait = joined_ || answer.kind == ClaimAnswerKind::kWait;
  if (!must_wait) OnClaimAnswer(answer);
}

template <ForwardJob Job>
void Forward<Job>::OnClaimWon() {
  claimed_ = true;
  Apply(ForwardEvent::kClaimWon);
}

template <ForwardJob Job>
void Forward<Job>::OnClaimAnswer(const ClaimAnswer& answer) {
  switch (answer.kind) {
    case ClaimAnswerKind::kReplay:
      replay_ = answer.entry.answer;
      return Refuse({});
    case ClaimAnswerKind::kMismatch:
      return Refuse({RefusalCode::kKeyMismatch,
                     "the key was used for another call",
                     kKeyHeader,
                     {}});
    case ClaimAnswerKind::kElsewhere:
      if (!context_.owner_is_dead(answer.entry)) {
        return Refuse({RefusalCode::kInProgress,
                       "a call with this key is running", kKeyHeader,
                       kShortRetryAfter});
      }
      [[fallthrough]];
    default:
      LogEvent(Event::kClaimUnknown,
               {{"customer", basics_.headers.customer.value},
                {"owner", answer.entry.owner.value}});
      return Refuse({RefusalCode::kOutcomeUnknown,
                     "a call with this key may have run; it will not be run "
                     "again",
                     kKeyHeader,
                     {}});
  }
}

template <ForwardJob Job>
void Forward<Job>::EndClaim(bool answered) {
  if (!claimed_) return;
  claimed_ = false;
  storing_claim_ = true;
  const ClaimKey key{basics_.headers.customer, basics_.headers.key};
  ClaimBook& book = context_.claims.book();
  if (answered) {
    book.Done(context_.Now(), key, job_.Kept());
  } else {
    book.Lost(context_.Now(), key);
  }
  context_.claims.Kick();
}

// --- Budget ----------------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::Hold() {
  const HoldOutcome outcome = context_.ledger.sync().Hold(
      context_.Now(), basics_.request, basics_.budget, basics_.worst_case);
  switch (outcome) {
    case HoldOutcome::kHeld:
      held_ = true;
      return Apply(ForwardEvent::kHoldGranted);
    case HoldOutcome::kWaiting:
      held_ = true;
      return context_.ledger.Kick();
    case HoldOutcome::kExhausted:
    case HoldOutcome::kUnknownBudget:
      return OnHoldRefused(HoldRefusal::kExhausted);
    case HoldOutcome::kUnavailable:
      return OnHoldRefused(HoldRefusal::kUnavailable);
    case HoldOutcome::kFenced:
      return OnHoldRefused(HoldRefusal::kFenced);
  }
}

template <ForwardJob Job>
void Forward<Job>::OnHoldRefused(HoldRefusal why) {
  const std::string budget = basics_.budget.value;
  switch (why) {
    case HoldRefusal::kExhausted:
      return Refuse({RefusalCode::kBudgetExhausted,
                     "budget '" + budget + "' can't cover " +
                         std::to_string(basics_.worst_case) + " tokens",
                     "budget",
                     {}});
    case HoldRefusal::kUnavailable:
      return Refuse({RefusalCode::kBudgetUnavailable,
                     "this router's part of budget '" + budget +
                         "' is used up and the ledger can't be reached",
                     "budget", kOutageRetryAfter});
    case HoldRefusal::kFenced:
      return Refuse({RefusalCode::kRouterStopping, "this router is stopping",
                     "", kShortRetryAfter});
  }
}

template <ForwardJob Job>
Bill Forward<Job>::MakeBill(Tokens tokens) const {
  Bill out;
  out.bill_id = BillId();
  out.customer = basics_.headers.customer;
  out.budget = basics_.budget;
  out.request_id = basics_.request;
  out.tokens = tokens;
  out.at_ms = context_.clock.WallNow().time_since_epoch().count();
  out.marker = Marker();
  return out;
}

template <ForwardJob Job>
void Forward<Job>::SettleAs(Tokens cost) {
  Bill bill = MakeBill(cost);
  if (cost > basics_.worst_case) {
    LogEvent(Event::kUsageTooLarge,
             {{"request", basics_.request.value},
              {"cost", std::to_string(cost)},
              {"held", std::to_string(basics_.worst_case)}});
  }
  const Instant now = context_.Now();
  settled_at_ = now;
  const std::uint64_t seq = context_.ledger.sync().Settle(now, bill);
  context_.ledger.Kick();
  held_ = false;
  if (seq == 0) {
    context_.peers.OnRelease(basics_.request);
    context_.loop.Post([self = this->shared_from_this()] {
      self->OnBillSafe(BillSafety::kWritten);
    });
    return;
  }
  context_.metrics.CountBilled(bill.tokens);
  context_.gate.Wait(now, basics_.request, seq);
  context_.peers.OnBill(bill, seq);
}

// The caller's key makes a retry elsewhere the same request; the digest keeps
// one key used for two different calls from being billed as one.
template <ForwardJob Job>
std::string Forward<Job>::BillId() const {
  if (basics_.headers.key.empty()) return basics_.request.value;
  return basics_.headers.customer.value + "/" + basics_.headers.key.value +
         "/" + basics_.digest.substr(0, 12);
}

// A claimed call runs once, so its bill needs no mark of its own.
template <ForwardJob Job>
std::string Forward<Job>::Marker() const {
  if (basics_.headers.key.empty() || basics_.needs_claim) return "";
  return basics_.headers.customer.value + "/" + Sha256Hex(BillId());
}

template <ForwardJob Job>
void Forward<Job>::OnBillSafe(BillSafety safety) {
  if (safety == BillSafety::kUnprotected) {
    context_.metrics.CountUnprotectedBill();
    LogEvent(Event::kBillUnprotected, {{"request", basics_.request.value}});
  }
  bill_safe_ = true;
  FinishWhenStored();
}

// A caller that has its answer may ask again at once, at any router; the kept
// answer must be there by then.
template <ForwardJob Job>
void Forward<Job>::OnClaimStored() {
  storing_claim_ = false;
  FinishWhenStored();
}

template <ForwardJob Job>
void Forward<Job>::FinishWhenStored() {
  if (bill_safe_ && !storing_claim_) Apply(ForwardEvent::kBillStored);
}

// --- Target ----------------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::FindTarget() {
  queued_at_ = context_.Now();
  const auto queue = context_.queues.find(basics_.group);
  const bool first =
      queue == context_.queues.end() || queue->second.size() == 0;
  if (first && TryAssign()) return;
  if (!tried_.empty()) {
    return Refuse({RefusalCode::kTargetFailed,
                   "the call failed at " + std::to_string(tried_.size()) +
                       " target(s) and no other has room",
                   "", kShortRetryAfter});
  }
  if (!context_.targets.AnyUsable(queued_at_, basics_.group)) {
    return Refuse({RefusalCode::kNoTarget,
                   "no target for '" + basics_.group.value + "' is usable", "",
                   kShortRetryAfter});
  }
  Enqueue();
}

template <ForwardJob Job>
bool Forward<Job>::TryAssign() {
  chosen_ = context_.targets.Choose(context_.Now(), basics_.group,
                                    basics_.prefix_hash, tried_);
  if (!chosen_) return false;
  Apply(ForwardEvent::kTargetFound);
  return true;
}

template <ForwardJob Job>
void Forward<Job>::Enqueue() {
  WaitQueue& queue =
      context_.queues.try_emplace(basics_.group, WaitQueueOptions{})
          .first->second;
  QueuedRequest it;
  it.request = basics_.request;
  it.customer = basics_.headers.customer;
  it.customer_weight = basics_.customer_weight;
  it.priority = basics_.headers.priority;
  it.deadline = basics_.deadline;
  const QueueAnswer answer =
      queue.Push(queued_at_, it, context_.targets.MeanService(basics_.group));
  switch (answer.verdict) {
    case QueueVerdict::kQueued:
      return;
    case QueueVerdict::kFull:
      return Refuse({RefusalCode::kOverloaded, "the queue is full", "",
                     answer.retry_after});
    case QueueVerdict::kTooLate:
      return OnQueueExpired(answer.retry_after);
  }
}

template <ForwardJob Job>
void Forward<Job>::OnQueueExpired(Duration retry_after) {
  Refuse({RefusalCode::kDeadlineUnreachable,
          "the queue is too long for the request's deadline", kDeadlineHeader,
          std::max(retry_after, kShortRetryAfter)});
}

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
        job_.MakeIntent(request.address, MakeBill(basics_.worst_case)));
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
  if (paused_ || exchange_->Unsent() <= kUnsentHighWater) return;
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
  if (streaming_) return Apply(ForwardEvent::kAnswerBroke);
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
  LogEvent(Event::kCallerGone, {{"request", basics_.request.value}});
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

// --- The end ---------------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::ReplyRefusal() {
  Abandon();
  if (replay_) {
    HttpReply reply;
    reply.status = replay_->status;
    reply.content_type = replay_->content_type;
    reply.body = replay_->body;
    if (basics_.needs_claim) reply.headers.push_back({"X-Replayed", "true"});
    if (replay_->too_large) reply.headers.push_back({"X-Answer-Kept", "no"});
    exchange_->Reply(reply);
    return;
  }
  context_.metrics.CountRefusal(refusal_.code);
  if (LogEnabled(Event::kRequestRefused)) {
    LogEvent(Event::kRequestRefused,
             {{"request", basics_.request.value},
              {"code", std::string(InfoOf(refusal_.code).name)}});
  }
  exchange_->Reply(ReplyFor(refusal_));
}

// Gives back whatever was taken; nothing of this request ran, or it may be
// repeated.
template <ForwardJob Job>
void Forward<Job>::Abandon() {
  auto queue = context_.queues.find(basics_.group);
  if (queue != context_.queues.end()) queue->second.Remove(basics_.request);
  if (held_) {
    context_.ledger.sync().Release(basics_.request, basics_.budget);
    context_.ledger.Kick();
  }
  held_ = false;
  if (sent_once_) context_.peers.OnRelease(basics_.request);
  if (basics_.needs_claim) {
    const ClaimKey key{basics_.headers.customer, basics_.headers.key};
    context_.claims.book().Abandon(context_.Now(), key, basics_.request);
    context_.claims.Kick();
  }
  claimed_ = false;
  End();
}

template <ForwardJob Job>
void Forward<Job>::Finish() {
  if (!exchange_->gone()) {
    if (answered_) {
      job_.Deliver(*exchange_);
    } else if (streaming_) {
      refusal_ = {RefusalCode::kOutcomeUnknown,
                  "the stream broke at its target", "", kShortRetryAfter};
      exchange_->Write(StreamErrorFor(refusal_));
      exchange_->EndStream();
    } else {
      exchange_->Reply(ReplyFor(refusal_));
    }
  }
  if (!answered_) context_.metrics.CountRefusal(RefusalCode::kOutcomeUnknown);
  histograms_.total->Observe(ToSeconds(context_.Now() - basics_.arrived));
  if (LogEnabled(Event::kRequestFinished)) {
    LogEvent(Event::kRequestFinished, {{"request", basics_.request.value},
                                       {"target", target_.value},
                                       {"whole", answered_ ? "yes" : "no"}});
  }
  End();
}

template <ForwardJob Job>
void Forward<Job>::End() {
  context_.ended(basics_.request);
}

template <ForwardJob Job>
void Forward<Job>::Tick(Instant now) {
  const bool late = now >= basics_.deadline;
  if (state() == ForwardState::kClaiming) {
    const bool too_long = now - basics_.arrived >= kClaimPatience;
    if (late || (too_long && !joined_)) {
      Refuse({RefusalCode::kClaimsUnavailable,
              "the call could not be claimed; it was not run", "",
              kOutageRetryAfter});
    }
    return;
  }
  const bool stuck =
      storing_claim_ && bill_safe_ && now - settled_at_ >= kClaimPatience;
  if (state() == ForwardState::kStoring && stuck) return OnClaimStored();
  if (state() == ForwardState::kSent && late) GiveUpAttempt();
}

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_FORWARD_IMPL_H_
