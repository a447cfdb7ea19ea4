// One request on its way: from a caller, through its customer's budget, to a
// target, and its answer back.
//
//   admit -> hold budget -> choose a target -> send -> relay -> settle
//
// What is promised, and where it is kept:
//   - a request that may have run is never called not run, and one that must
//     not be repeated is sent again only if it certainly has not run
//     (`OnAttemptEnded`);
//   - an answer is passed on only if the target vouches for it and it answers
//     this request, and one that ends early never looks complete;
//   - the final answer comes at once when the request is given up, and tells
//     when to come back if it has not run (`Refuse`);
//   - what was held of the budget is settled once, in `End`.

#ifndef QUAYTRACK_RELAY_RELAYED_REQUEST_H_
#define QUAYTRACK_RELAY_RELAYED_REQUEST_H_

#include <memory>
#include <string>

#include "config/service_map.h"
#include "http/caller_connection.h"
#include "http/target_connection.h"
#include "relay/admission.h"
#include "relay/attempt.h"
#include "relay/events.h"
#include "relay/final_answer.h"
#include "relay/hold_waiter.h"
#include "relay/ran.h"
#include "relay/relay_context.h"
#include "relay/request_log.h"
#include "relay/retry.h"

namespace quaytrack {

class RelayedRequest : public HoldWaiter,
                       public std::enable_shared_from_this<RelayedRequest> {
 public:
  // `map` is the configuration in force; null before the first.
  RelayedRequest(const RelayContext& context, ServiceMapPtr map,
                 std::shared_ptr<CallerConnection> caller,
                 CallerRequest request);

  void Start();
  // The budget's answer, for a request that had to wait for it.
  void OnHeld() override;
  void OnHoldRefused(bool exhausted) override;

  const RequestId& id() const override { return admission_.facts.id; }
  const CustomerName& customer() const override { return admission_.customer; }
  Tokens worst_case() const override { return admission_.worst_case; }

 private:
  void Hold();
  void Dispatch();
  void Send(const PlacementChoice& choice);
  void WatchAttempt(Duration patience);

  bool OnHead(const HttpHead& head);
  void OnBody(std::string_view bytes);
  void RelayEvents(std::string_view bytes);
  void BeginStream();
  void OnCallEnd(CallEnd end);
  void OnPatienceOver();
  void OnAttemptEnded(Ran ran, PlacementOutcome outcome);
  RetryFacts FactsForRetry(Ran ran) const;
  bool TakeRetry(Ran ran);
  void LogAttempt(Ran ran) const;
  void ReleaseTarget(PlacementOutcome outcome);
  void OnDeadline();
  void OnCallerGone();

  // Final answers, to a request that has not run and to one that may have.
  void Refuse(RelayCause cause);
  void Fail(RelayCause cause);
  void AnswerCaller(RelayCause cause, Ran ran);
  void End(RelayCause cause, int status);
  Tokens Cost() const;
  Duration Left() const;

  const RelayContext& context_;
  const ServiceMapPtr map_;
  const std::shared_ptr<CallerConnection> caller_;
  const CallerRequest request_;
  Admission admission_;
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> patience_timer_;

  bool held_ = false;
  bool waits_for_budget_ = false;

  std::shared_ptr<CallHandle> call_;
  Tokens unread_ = 0;
  bool at_target_ = false;
  bool answering_ = false;
  Instant sent_at_{};
  RequestProgress progress_;
  // Some attempt may have run.
  bool may_have_run_ = false;

  HttpHead answer_;
  std::string body_;
  // What this attempt's answer says; empty until its head has come.
  AnswerFacts answer_facts_;
  EventReader events_;
  bool streaming_ = false;
  bool paused_ = false;
  bool caller_gone_ = false;
  bool ended_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAYED_REQUEST_H_
