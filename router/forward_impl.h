// Member functions of Forward for the steps before a target is chosen and for
// the end of a request. They are templates on the job, hence in a header, which
// only router/forward.h includes; see there for what Forward does.

#ifndef QUAYTRACK_ROUTER_FORWARD_IMPL_H_
#define QUAYTRACK_ROUTER_FORWARD_IMPL_H_

#include <algorithm>
#include <utility>

#include "router/forward.h"

namespace quaytrack {

// Maximum time to write a claim, after which the caller is refused, and to
// write the claim's end, after which the answer is sent although the end isn't
// stored.
inline constexpr Duration kClaimTimeout = std::chrono::milliseconds(1500);

template <ForwardJob Job>
Forward<Job>::Forward(RouterContext& context,
                      std::shared_ptr<HttpExchange> exchange,
                      RequestBasics basics, Job job)
    : context_(context),
      exchange_(std::move(exchange)),
      basics_(std::move(basics)),
      job_(std::move(job)),
      claim_(context, basics_),
      budget_(context, basics_),
      machine_(context.chart),
      histograms_(context.metrics.For(basics_.headers.customer,
                                      basics_.headers.priority)) {}

template <ForwardJob Job>
void Forward<Job>::Start() {
  exchange_->OnGone([weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    // A call that can't be cancelled runs to its end, so that its answer is
    // stored for a retry of the caller.
    const bool sent = self->was_sent_;
    if (sent && !Job::kCancellable) return;
    self->Apply(ForwardEvent::kCallerGone);
  });
  Apply(basics_.needs_claim ? ForwardEvent::kNeedClaim
                            : ForwardEvent::kNeedBudget);
}

template <ForwardJob Job>
void Forward<Job>::Apply(ForwardEvent event) {
  const auto keep = this->shared_from_this();
  Perform(machine_.Apply(event));
}

template <ForwardJob Job>
void Forward<Job>::Perform(ForwardAction action) {
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
      if (claim_.owned()) claim_.OnRan(job_.AnswerToStore());
      return SettleAs(job_.Cost());
    case ForwardAction::kSettleBroken:
      claim_.OnOutcomeUnknown();
      return SettleAs(job_.CostIfIncomplete());
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
  // What the last attempt didn't run, an earlier one may have.
  const bool denies_run = !replay_ && InfoOf(refusal_.code).ran == Ran::kNo;
  if (may_have_run_ && denies_run) refusal_.code = RefusalCode::kOutcomeUnknown;
  Apply(ForwardEvent::kRefused);
}

// --- Claim and budget ------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::Claim() {
  if (const auto answer = claim_.Begin()) OnClaimAnswer(*answer);
}

template <ForwardJob Job>
void Forward<Job>::OnClaimWon() {
  claim_.OnWon();
  Apply(ForwardEvent::kClaimWon);
}

template <ForwardJob Job>
void Forward<Job>::OnClaimAnswer(const ClaimAnswer& answer) {
  if (answer.kind != ClaimAnswerKind::kReplay) {
    return Refuse(claim_.RefusalFor(answer));
  }
  replay_ = answer.entry.answer;
  Refuse({});
}

template <ForwardJob Job>
void Forward<Job>::Hold() {
  switch (budget_.Hold()) {
    case HoldOutcome::kHeld:
      return Apply(ForwardEvent::kHoldGranted);
    case HoldOutcome::kWaiting:
      return;
    case HoldOutcome::kExhausted:
    case HoldOutcome::kUnknownBudget:
      return OnHoldRefused(HoldRefusal::kExhausted);
    case HoldOutcome::kUnavailable:
      return OnHoldRefused(HoldRefusal::kUnavailable);
    case HoldOutcome::kFenced:
      return OnHoldRefused(HoldRefusal::kFenced);
  }
}

// --- Queue -----------------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::FindTarget() {
  queued_at_ = context_.Now();
  const auto queue = context_.queues.find(basics_.group);
  const bool first =
      queue == context_.queues.end() || queue->second.size() == 0;
  if (first && TryAssign()) return;
  if (!tried_targets_.empty()) {
    return Refuse({RefusalCode::kTargetFailed,
                   "the call failed at " +
                       std::to_string(tried_targets_.size()) +
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
  target_index_ = context_.targets.Choose(context_.Now(), basics_.group,
                                          basics_.prefix_hash, tried_targets_);
  if (!target_index_) return false;
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
    case QueueVerdict::kMissesDeadline:
      return OnQueueExpired(answer.retry_after);
  }
}

template <ForwardJob Job>
void Forward<Job>::OnQueueExpired(Duration retry_after) {
  Refuse({RefusalCode::kDeadlineUnreachable,
          "the queue is too long for the request's deadline", kDeadlineHeader,
          std::max(retry_after, kShortRetryAfter)});
}

// --- The end ---------------------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::SettleAs(Tokens cost) {
  settled_at_ = context_.Now();
  const auto [bill, seq] = budget_.Settle(settled_at_, cost);
  if (seq == 0) {
    context_.peers.OnRelease(basics_.request);
    context_.loop.Post([self = this->shared_from_this()] {
      self->OnBillSafe(BillSafety::kWritten);
    });
    return;
  }
  context_.metrics.CountBilled(bill.tokens);
  context_.gate.Wait(settled_at_, basics_.request, seq);
  context_.peers.OnBill(bill, seq);
}

template <ForwardJob Job>
void Forward<Job>::OnBillSafe(BillSafety safety) {
  if (safety == BillSafety::kUnprotected) {
    context_.metrics.CountUnprotectedBill();
    LogEvent(Event::kBillUnprotected, {{"request", basics_.request.value}});
  }
  bill_safe_ = true;
  FinishIfStored();
}

// Sends the answer if its bill is safe too. A caller that has its answer may
// retry immediately, at any router; so the answer is stored before it is sent.
template <ForwardJob Job>
void Forward<Job>::OnClaimStored() {
  claim_.OnStored();
  FinishIfStored();
}

template <ForwardJob Job>
void Forward<Job>::FinishIfStored() {
  if (bill_safe_ && !claim_.storing()) Apply(ForwardEvent::kBillStored);
}

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

// Releases the request's queue entry, hold and claim, and ends the request.
// Called only if no part of its call ran, or if the call may be repeated: such
// a call is billed when its caller repeats it.
template <ForwardJob Job>
void Forward<Job>::Abandon() {
  auto queue = context_.queues.find(basics_.group);
  if (queue != context_.queues.end()) queue->second.Remove(basics_.request);
  budget_.Release();
  if (was_sent_) context_.peers.OnRelease(basics_.request);
  claim_.Withdraw();
  End();
}

template <ForwardJob Job>
void Forward<Job>::Finish() {
  if (!exchange_->gone()) {
    if (answered_) {
      job_.Deliver(*exchange_);
    } else if (streaming_) {
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
                                       {"target", target_name_.value},
                                       {"whole", answered_ ? "yes" : "no"}});
  }
  End();
}

template <ForwardJob Job>
void Forward<Job>::End() {
  context_.on_request_ended(basics_.request);
}

// --- End of a planned stop -------------------------------------------------

template <ForwardJob Job>
void Forward<Job>::OnDrainDeadline() {
  const bool ends_itself =
      state() == ForwardState::kStoring || state() == ForwardState::kEnded;
  if (ends_itself) return;
  past_drain_deadline_ = true;
  const bool sent =
      state() == ForwardState::kSent || state() == ForwardState::kAnswering;
  LogEvent(Event::kDrainTimedOut, {{"request", basics_.request.value},
                                   {"ran", sent ? "unknown" : "no"}});
  if (sent) return AbortAttempt();
  RefuseUnsent();
}

template <ForwardJob Job>
void Forward<Job>::RefuseUnsent() {
  // A request that is still claiming may have joined another call with the same
  // key; that other call may have run.
  const bool joined = state() == ForwardState::kClaiming && claim_.joined();
  if (joined) {
    return Refuse({RefusalCode::kInProgress,
                   "a call with this key was running when this router stopped",
                   kKeyHeader, kShortRetryAfter});
  }
  Refuse({RefusalCode::kRouterStopping,
          "this router stopped before it sent the request; ask another", "",
          kShortRetryAfter});
}

template <ForwardJob Job>
void Forward<Job>::Tick(Instant now) {
  const bool past_deadline = now >= basics_.deadline;
  if (state() == ForwardState::kClaiming) {
    const bool timed_out = now - basics_.arrived >= kClaimTimeout;
    if (past_deadline || (timed_out && !claim_.joined())) {
      Refuse({RefusalCode::kClaimsUnavailable,
              "the call could not be claimed; it was not run", "",
              kOutageRetryAfter});
    }
    return;
  }
  const bool stuck =
      claim_.storing() && bill_safe_ && now - settled_at_ >= kClaimTimeout;
  if (state() == ForwardState::kStoring && stuck) return OnClaimStored();
  if (state() == ForwardState::kSent && past_deadline) TimeOutAttempt();
}

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_FORWARD_IMPL_H_
