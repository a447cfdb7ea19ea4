// One request on its way: from a caller, through claim, budget and queue, to a
// target, and its answer back. chart/charts/forward.json is the map; this class
// does what each arrow says.
//
//   auto it = std::make_shared<Forward<ModelJob>>(context, exchange, basics,
//                                                 std::move(job));
//   it->Start();
//
// Its parts: the claim (router/request_claim.h), the budget
// (router/request_budget.h), and the job, which is all that differs between
// model calls and service calls (router/forward_job.h). It owns the caller's
// exchange and the attempt at a target, and keeps itself alive while one of
// them can still report. Every request ends in one of three ways: its answer, a
// refusal (router/refusal.h), or nothing because its caller left before it was
// sent; then it has no hold, no claim and no place in a queue.
//
// router/forward_impl.h has the way up to a target and the end,
// router/forward_attempt_impl.h the attempts and what follows from each.

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

  // Events from the rest of the router.
  void OnHoldGranted() { Apply(ForwardEvent::kHoldGranted); }
  void OnHoldRefused(HoldRefusal why) { Refuse(budget_.RefusalFor(why)); }
  void OnClaimWon();
  void OnClaimAnswer(const ClaimAnswer& answer);
  // Takes a target if one has room; false if none has.
  bool TryAssign();
  void OnQueueExpired(Duration retry_after);
  void OnTargetUnresponsive(const TargetName& target);
  void OnBillSafe(BillSafety safety);
  void OnClaimStored();
  // The time that a planned stop leaves for requests is over: ends this one,
  // and tells its caller what may have run of it. Its bill may follow.
  void OnTimeUp();
  void Tick(Instant now);

  ForwardState state() const { return machine_.state(); }

 private:
  void Apply(ForwardEvent event);
  void Do(ForwardAction action);

  void Claim();
  void Hold();
  void FindTarget();
  void Enqueue();
  void Send();
  void OnHead(int status);
  void OnData(evbuffer* data);
  void OnEnd(const HttpResult& result);
  void GiveUpAttempt();
  void RefuseUnsent();
  void CutAttempt();
  void OnAttemptFailed(const HttpResult& result, AnswerKind kind);
  void ReleaseTarget(TargetOutcome outcome);
  void SettleAs(Tokens cost);
  void FinishWhenStored();
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
  std::optional<TargetIndex> chosen_;
  TargetName target_;
  std::set<TargetName> tried_;
  Instant queued_at_{};
  Instant sent_at_{};
  Instant last_event_{};
  bool streaming_ = false;
  bool paused_ = false;
  bool bill_safe_ = false;
  Instant settled_at_{};
  bool sent_once_ = false;
  bool time_up_ = false;
  bool answered_ = false;
  // An answer that is given instead of the target's.
  std::optional<KeptAnswer> replay_;
  Refusal refusal_;
};

}  // namespace quaytrack

// Member functions.
#include "router/forward_attempt_impl.h"
#include "router/forward_impl.h"

#endif  // QUAYTRACK_ROUTER_FORWARD_H_
