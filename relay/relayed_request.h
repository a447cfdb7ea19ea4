// One request on its way: from a caller, through its customer's budget, to a
// target, and its answer back.
//
//   admit -> hold budget -> choose a target -> send -> pass on -> settle
//
//   std::make_shared<RelayedRequest>(context, map, caller, request)->Start();
//
// chart/charts/relay.json is the map of this way (relay/relay_chart.h): what
// happens to the request goes through the chart as an event, and this class
// does what the arrow says. The rules that decide stand elsewhere, without
// sockets and timers:
//
//   relay/admission.h     which requests are taken, and their deadline
//   dispatch/placement.h  which target
//   relay/attempt.h       how long to wait for it, and what its answer means
//   relay/retry.h         whether another target gets the request
//   relay/final_answer.h  what the caller is told, and when to come back
//   relay/request_cost.h  what the customer is charged
//   relay/request_log.h   what the log says about it
//
// What a request owns: its caller's exchange, at most one call to a target, its
// place in RunningRequests, the hold on its customer's budget and its timers.
// All are given back when it ends, and it ends once. It relies on the parts in
// RelayContext to outlive it.
//
// What is promised, and where it is kept:
//   - a request that may have run is never called not run (the chart), and one
//     that must not be repeated is sent again only if it certainly has not run
//     (`MaySendAgain`);
//   - an answer is passed on only if the target vouches for it and it answers
//     this request, and one that ends early never looks complete
//     (`JudgeAttempt`, `AbortStream`);
//   - the final answer comes at once when the request is given up
//     (`GiveUp`);
//   - what was held of the budget is settled once (`End`).

#ifndef QUAYTRACK_RELAY_RELAYED_REQUEST_H_
#define QUAYTRACK_RELAY_RELAYED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/service_map.h"
#include "http/caller_connection.h"
#include "http/target_connection.h"
#include "relay/admission.h"
#include "relay/attempt.h"
#include "relay/crash_watch.h"
#include "relay/events.h"
#include "relay/final_answer.h"
#include "relay/fingerprint.h"
#include "relay/hold_waiter.h"
#include "relay/relay_chart.h"
#include "relay/relay_context.h"
#include "relay/request_cost.h"
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
  void OnHeld() override { Apply(RelayEvent::kHoldGranted); }
  void OnHoldRefused(bool exhausted) override;

  // The planned stop's time is up: the request ends. `left` until the process
  // is killed.
  void EndForStop(Duration left);

  Instant begun() const { return request_.begun; }

  const RequestId& id() const override { return admission_.facts.id; }
  const CustomerName& customer() const override { return admission_.customer; }
  Tokens worst_case() const override { return admission_.worst_case; }

 private:
  void Apply(RelayEvent event);
  void Do(RelayAction action);

  void Hold();
  void Choose();
  RelayCause CauseOfNoChoice() const;
  bool IsBlamed();
  void RefuseBlamed();

  // The attempt at one target.
  void Send();
  void TellPeersOfPrompt() const;
  TargetCall MakeCall() const;
  void SetAttemptTimer(Duration timeout);
  void OnAttemptTimeout();
  bool OnHead(const HttpHead& head);
  void HeedTarget();
  void OnBody(std::string_view bytes);
  void PassOnEvents(std::string_view bytes);
  void OnFirstEvent();
  void OnLaterEvents(Instant now);
  void BeginStream();
  void OnCallEnd(CallEnd end);
  void ChooseAnew(const AttemptVerdict& held_back);
  Ran RanInAttempt() const;
  std::optional<Duration> EventsFor() const;
  void ReportRan();
  void ReportLost();
  void ReportStopped();
  LostAttempt LostNow();
  void StopAttempt(PlacementOutcome outcome);
  void ReportAnswer(PlacementOutcome outcome) const;
  double FirstOverExpected() const;
  void EndAttempt(Ran ran, PlacementOutcome outcome);
  RetryFacts FactsForRetry(Ran ran);
  bool TakeRetry(Ran ran);
  void Retry(Ran ran);
  void LogAttempt(Ran ran);
  const Fingerprint& fingerprint();

  void OnDeadline();
  void OnCallerGone();
  void LeaveHoldQueue();

  // The ends. `ran` is what is known of the attempt that is over, if any; the
  // chart knows of those before it, and chooses the end.
  void GiveUp(Ran ran, RelayCause cause);
  void AnswerCaller(Ran ran);
  void End(Ran ran);
  int EndStatus(Ran ran) const;

  Duration Left() const { return admission_.deadline - context_.clock.Now(); }

  const RelayContext& context_;
  const ServiceMapPtr map_;
  const std::shared_ptr<CallerConnection> caller_;
  const CallerRequest request_;
  ChartMachine<RelayState, RelayEvent, RelayAction> machine_;
  Admission admission_;
  std::unique_ptr<Timer> deadline_timer_;
  // Part of the budget is held, and must be settled.
  bool held_ = false;

  // The attempt. `call_` is there while the request is at a target; the rest
  // stays as the latest attempt has left it.
  std::shared_ptr<CallHandle> call_;
  std::unique_ptr<Timer> attempt_timer_;
  Instant sent_at_{};
  // When the latest events of this attempt came, and how many have come.
  Instant events_at_{};
  int attempt_events_ = 0;
  // Tokens of the prompt that its target has still to prefill.
  Tokens prefill_ = 0;
  HttpHead answer_;
  // What this attempt's answer says; empty until its head has come.
  AnswerFacts answer_facts_;
  // Of an answer that is passed on when it is whole.
  std::string body_;
  // The caller takes less than it is sent, so the target isn't read.
  bool paused_ = false;
  // How the attempt ended, as far as it speaks for or against its target.
  PlacementOutcome outcome_ = PlacementOutcome::kNeutral;

  // Of all attempts.
  // Empty until it was asked for.
  Fingerprint fingerprint_;
  EventReader events_;
  RequestProgress progress_;
  // The caller got the beginning of a stream, and not its end.
  bool stream_cut_ = false;
  // When the first event of this attempt came.
  std::optional<Instant> events_since_;
  // An attempt ran well beyond its beginning.
  bool outlived_ = false;
  // The last attempt's target may have ended because of this request.
  bool may_have_crashed_ = false;
  // When the caller should come back, if more is known than the cause says.
  std::optional<Duration> wait_;
  // Why the request ends; set with the event that ends it.
  RelayCause cause_ = RelayCause::kServed;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAYED_REQUEST_H_
