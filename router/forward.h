// One forwarded request: takes it from a caller through claim, budget and queue
// to a target, and returns the answer. Its states and transitions are in
// chart/charts/forward.json; this class implements their actions.
//
//   auto it = std::make_shared<Forward<ModelJob>>(context, exchange, basics,
//                                                 std::move(job));
//   it->Start();
//
// Forward consists of the claim (router/request_claim.h), the budget
// (router/request_budget.h), and the job, which has all code that differs
// between model calls and service calls (router/forward_job.h). It owns the
// caller's exchange and the attempt at a target, and keeps itself alive while
// the exchange or the attempt can still report. Every request ends in one of
// three ways: with its answer, with a refusal (router/refusal.h), or without a
// reply because its caller disconnected before it was sent. In the last case
// the request leaves no hold, no claim and no queue entry behind.
//
// router/forward_impl.h implements the steps before a target is chosen and the
// end of a request, router/forward_attempt_impl.h the attempts at targets.

#ifndef QUAYTRACK_ROUTER_FORWARD_H_
#define QUAYTRACK_ROUTER_FORWARD_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/log.h"
#include "router/context.h"
#include "router/forward_job.h"
#include "router/refusal.h"
#include "router/request_basics.h"
#include "router/request_budget.h"
#include "router/request_claim.h"

namespace quaytrack {

template <ForwardJob Job>
class Forward : public std::enable_shared_from_this<Forward<Job>> {
 public:
  Forward(RouterContext& context, std::shared_ptr<HttpExchange> exchange,
          RequestBasics basics, Job job);

  void Start();
  void Refuse(Refusal refusal);

  // Events from other components of the router.
  void OnHoldGranted() { Apply(ForwardEvent::kHoldGranted); }
  void OnHoldRefused(HoldRefusal reason) { Refuse(budget_.RefusalFor(reason)); }
  void OnClaimWon();
  void OnClaimAnswer(const ClaimAnswer& answer);
  // Assigns the request to a target that has room; returns false if none has.
  bool TryAssign();
  void OnQueueExpired(Duration retry_after);
  void OnTargetUnresponsive(const TargetName& target);
  void OnBillSafe(BillSafety safety);
  void OnClaimStored();
  // Call when the time that a planned stop allows for requests is over. Ends
  // this request, and reports to its caller whether it may have run. A bill may
  // follow.
  void OnDrainDeadline();
  void Tick(Instant now);

  ForwardState state() const { return machine_.state(); }

 private:
  void Apply(ForwardEvent event);
  void Perform(ForwardAction action);

  void Claim();
  void Hold();
  void FindTarget();
  void Enqueue();
  void Send();
  void OnHead(int status);
  void OnData(evbuffer* data);
  void OnEnd(const HttpResult& result);
  void TimeOutAttempt();
  void BreakAttempt();
  void RefuseUnsent();
  void AbortAttempt();
  void OnAttemptFailed(const HttpResult& result, AnswerKind kind);
  void ReleaseTarget(TargetOutcome outcome);
  void SettleAs(Tokens cost);
  void FinishIfStored();
  void ReplyRefusal();
  void Abandon();
  void Cancel();
  void Finish();
  void End();

  RouterContext& context_;
  std::shared_ptr<HttpExchange> exchange_;
  RequestBasics basics_;
  Job job_;
  RequestClaim claim_;
  RequestBudget budget_;
  ChartMachine<ForwardState, ForwardEvent, ForwardAction> machine_;
  RequestHistograms histograms_;

  std::shared_ptr<HttpCall> call_;
  std::optional<TargetIndex> target_index_;
  TargetName target_name_;
  std::set<TargetName> tried_targets_;
  Instant queued_at_{};
  Instant sent_at_{};
  Instant last_event_{};
  bool streaming_ = false;
  bool paused_ = false;
  bool bill_safe_ = false;
  Instant settled_at_{};
  bool was_sent_ = false;
  bool past_drain_deadline_ = false;
  bool answered_ = false;
  // Answer to send: a stored one of an earlier call, or the error that the
  // target reported.
  std::optional<StoredAnswer> replay_;
  Refusal refusal_;
  // Whether some attempt may have run the call.
  bool may_have_run_ = false;
};

}  // namespace quaytrack

// Member functions.
#include "router/forward_attempt_impl.h"
#include "router/forward_impl.h"

#endif  // QUAYTRACK_ROUTER_FORWARD_H_
