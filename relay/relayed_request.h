// RelayedRequest carries one request from its caller, through its customer's
// budget, to a target, and the answer back.
//
//   admit -> hold budget -> choose a target -> send -> forward -> settle
//
//   std::make_shared<RelayedRequest>(context, map, caller, request)->Start();
//
// The states and transitions are those of chart/charts/relay.json
// (relay/relay_chart.h): each occurrence goes through the chart as an event,
// and this class performs the action that the chart returns. The rules are
// implemented elsewhere, without sockets and timers:
//
//   relay/admission.h     which requests are admitted, and their deadline
//   dispatch/placement.h  which target
//   relay/attempt.h       timeouts of an attempt, and what its answer means
//   relay/retry.h         whether the request is sent to another target
//   relay/kept_attempts.h which attempt carries on, and when one is waited for
//   relay/final_answer.h  the router's own answer, and its Retry-After
//   relay/request_cost.h  what the customer is charged
//   relay/request_log.h   log lines about the request
//
// A request owns its caller's exchange, its calls to targets, its entry in
// RunningRequests, the hold on its customer's budget and its timers. It
// releases them all when it ends, and it ends once. The objects in RelayContext
// must outlive it.
//
// Kept attempts. An attempt that is silent for too long isn't stopped when the
// request is sent to another target: it is kept (`KeepAttempt`) until one of
// them brings the next part of the answer. That one goes on (`GoOnWith`), and
// the others are stopped. Where no further attempt is made, the request waits
// for a kept one (`GoOnWithKept`) until its deadline. Only requests that may be
// repeated have kept attempts; the rules of relay/retry.h bound the number of
// all attempts. Two targets work on one stream only for a moment
// (`LimitOverlap`).
//
// Guarantees, and where they are implemented:
//   - A request is refused for its route or its key only by a configuration
//     that is known to be current (`OnConfigAsked`), and isn't sent by one that
//     is known to be replaced (`IsInDoubt`).
//   - A request is sent only while its key is its customer's, also if it waited
//     or goes on at another target (`RefusalNow`).
//   - A request that may have run is never reported as not run (the chart). One
//     that must not be repeated is sent again only if it certainly has not run
//     (`MaySendAgain`).
//   - A request isn't given up while an attempt may still finish
//     (`GiveUpUnlessKept`), but for its deadline, its caller and a planned
//     stop.
//   - An answer is forwarded only if its target vouches for it and it answers
//     this request. An answer that is cut short never looks complete
//     (`EvaluateAttempt`, `AbortStream`).
//   - The final answer is sent at once when the request is given up (`GiveUp`).
//   - A stream goes on only at the version that began it, in this answer
//     (`BindToVersion`) and if its caller takes it up (`FindStream`); the run
//     that had it is ended first, if its target can be reached
//     (`StopEarlierRun`).
//   - A stream goes on from an earlier run's cache only if its caller names the
//     try of that run (`OnEarlierRunStopped`).
//   - A hold on the budget is settled once (`End`).

#ifndef QUAYTRACK_RELAY_RELAYED_REQUEST_H_
#define QUAYTRACK_RELAY_RELAYED_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/service_map.h"
#include "http/caller_connection.h"
#include "http/target_connection.h"
#include "relay/admission.h"
#include "relay/attempt.h"
#include "relay/attempt_state.h"
#include "relay/crash_watch.h"
#include "relay/events.h"
#include "relay/final_answer.h"
#include "relay/fingerprint.h"
#include "relay/hold_waiter.h"
#include "relay/kept_attempts.h"
#include "relay/relay_chart.h"
#include "relay/relay_context.h"
#include "relay/request_cost.h"
#include "relay/request_log.h"
#include "relay/retry.h"
#include "relay/stream_versions.h"

namespace quaytrack {

class RelayedRequest : public HoldWaiter,
                       public std::enable_shared_from_this<RelayedRequest> {
 public:
  RelayedRequest(const RelayContext& context,
                 std::shared_ptr<CallerConnection> caller,
                 CallerRequest request);

  void Start();

  // Results of a hold that the request had to wait for.
  void OnHeld() override { Apply(RelayEvent::kHoldGranted); }
  void OnHoldRefused(bool exhausted) override;
  void OnHoldReserved(Duration retry_after) override;
  void OnHoldCharged() override;

  // Ends the request when a planned stop has no more time for it. `left` is the
  // time until the process is killed.
  void EndForStop(Duration left);

  // Called when the service's targets are found to be out of reach of this
  // router's own links. Sends the request another way if it waits for a
  // connection, or if it may run twice and the links have been silent.
  void OnLinksLost(const ServiceName& service);

  // Whether the caller is still there and awaits the answer, or the rest of it.
  bool HasCaller() const {
    const RelayState state = machine_.state();
    return state != RelayState::kEnded && state != RelayState::kCallerLeft;
  }

  Instant started_at() const { return request_.begun; }

  const RequestId& id() const override { return admission_.facts.id; }
  const CustomerName& customer() const override { return admission_.customer; }
  Tokens worst_case() const override { return admission_.worst_case; }
  int urgency() const override { return admission_.route->priority; }

 private:
  void Apply(RelayEvent event);
  void Do(RelayAction action);

  std::optional<RelayCause> AdmitByCurrentMap();
  bool MayTrust(RelayCause refused) const;
  void OnConfigAsked(bool is_current);
  bool IsInDoubt() const;
  std::optional<RelayCause> RefusalNow() const;
  void AwaitConfig();
  void OnConfigShown();
  void Begin();
  void ReportMemory();
  void DropRequest();

  // Streams that callers take up (relayed_request_take_up.cc).
  void FindStream();
  void OnStreamFound(const std::optional<StreamNote>& note);
  std::optional<VersionName> OnlyVersion() const;
  void OnListAsked(bool is_current);
  void TakeUpAt(std::optional<VersionName> version, VersionSource source);
  void BindToVersion();
  void AnnounceRun();
  Fingerprint StreamKey();
  void NoteEarlierRun(const StreamRun& run);
  void StopEarlierRun();
  void OnEarlierRunStopped(const TargetName& next, const StoppedRun& stopped);
  void DropEarlierCache();
  void StopRunAt(const TargetEntry& target) const;
  void NoteRunLeft(const AttemptState& attempt, AttemptFault fault);
  void EndRunsLeft();
  void EndRunAt(const TargetEntry& target) const;

  void NoteAlive(Instant now) const;
  void Hold();
  void Choose();
  std::optional<PlacementChoice> ChooseTarget();
  RelayCause CauseOfNoChoice() const;
  bool IsBlamed();
  void RefuseBlamed();

  // One attempt at one target.
  void Send();
  void AnnouncePrompt() const;
  TargetCall MakeCall();
  CallHandle::Handlers HandlersOf(int number);
  bool MaySend();
  void SetAttemptTimer(Duration timeout);
  void OnAttemptTimeout();
  SilenceFacts FactsOfSilence(bool has_retry);
  bool OnHead(AttemptState& attempt, const HttpHead& head);
  void HandleTargetNotices(const AttemptState& attempt);
  void OnBody(std::string_view bytes);
  void EndInvalid();
  void Forward(const StreamEvents& events);
  void OnFirstEvent(Instant now);
  void OnLaterEvents(Instant now);
  void BeginStream();
  bool IsByEvent(const AttemptState& attempt) const;
  void OnCallEnd(CallEnd seen);
  void OnSendHeldBack(const AttemptResult& result);
  void OnNoTunnel(AttemptFault fault);
  void OnTunnelBroken(const AttemptResult& result);
  void LeavePeer(const TargetPath& path);
  void UndoSend(PlacementOutcome outcome);
  void OnNotOpened();
  void OnBroken(const AttemptState& attempt);
  bool IsSilent() const;
  static std::optional<Duration> TimeWithEvents(const AttemptState& attempt);
  void ReportRan(const AttemptState& attempt);
  bool MayEndUnderLoad(const AttemptState& attempt) const;
  void ReportLost(const AttemptState& attempt);
  void ReportStopped(const AttemptState& attempt);
  LostAttempt MakeLostAttempt(const AttemptState& attempt);
  void StopAttempt(PlacementOutcome outcome);
  void Stop(AttemptState& attempt, PlacementOutcome outcome);
  void ReportAnswer(const AttemptState& attempt,
                    PlacementOutcome outcome) const;
  static double FirstOverExpected(const AttemptState& attempt);
  void EndAttempt(Ran ran, PlacementOutcome outcome, AttemptFault fault);
  RetryFacts FactsForRetry(Ran ran);
  bool TakeRetry(Ran ran, AttemptFault fault);
  void UncountSend();
  bool AwaitsProbes() const;
  void ForgiveDoubtedTargets();
  void Retry(Ran ran);
  void LogAttempt(const AttemptState& attempt, Ran ran, AttemptFault fault);
  const RequestCauses& causes();
  std::vector<CauseId> PartCauses() const;

  // Kept attempts (relayed_request_kept.cc).
  void KeepAttempt(AttemptFault kept_for);
  void OnKeptBody(AttemptState& attempt, std::string_view bytes);
  void OnKeptEnd(AttemptState& attempt, CallEnd seen);
  void EndKept(int number, PlacementOutcome outcome, AttemptFault fault);
  void EndAllKept();
  void GoOnWith(int number);
  bool GoOnWithKept();
  Duration TimeBesideAnother(const AttemptState& attempt) const;
  void LimitOverlap();
  void OnOverlapOver();
  void EndSilentKept();
  void StopCurrentForKept();
  void MakeCurrent(int number);
  void GiveUpUnlessKept(Ran ran, RelayCause cause);

  void OnDeadline();
  void OnCallerGone();
  void LeaveHoldQueue();

  // Ends of the request. `ran` tells whether the last attempt, if any, may have
  // run the request; the chart's state covers the attempts before it and
  // selects the action.
  void GiveUp(Ran ran, RelayCause cause);
  void AnswerCaller(Ran ran);
  void End(Ran ran);
  int EndStatus(Ran ran) const;

  Duration Left() const { return admission_.deadline - context_.clock.Now(); }

  const RelayContext& context_;
  // The configuration by which the request was admitted or refused; null if the
  // router hadn't read one.
  ServiceMapPtr map_;
  const std::shared_ptr<CallerConnection> caller_;
  CallerRequest request_;
  ChartMachine<RelayState, RelayEvent, RelayAction> machine_;
  Admission admission_;
  std::unique_ptr<Timer> deadline_timer_;
  // The request holds tokens of the budget, which must be settled.
  bool held_ = false;

  // The current attempt; after its end, it keeps the values of the latest one.
  AttemptState attempt_;
  KeptAttempts kept_;
  // Number of attempts so far.
  int attempts_ = 0;
  std::unique_ptr<Timer> attempt_timer_;
  // Runs from the send of an attempt beside a kept one.
  std::unique_ptr<Timer> overlap_timer_;
  // Outcome of the current attempt, as reported to the placement.
  PlacementOutcome outcome_ = PlacementOutcome::kNeutral;

  // The run that had the stream which the caller takes up, until it is known
  // to have ended; and whether its target has been asked.
  std::optional<StreamRun> earlier_run_;
  bool is_stopping_run_ = false;
  // The run that was ended, and its cache until something goes on from it.
  StreamRun stopped_run_;
  std::string earlier_cache_;
  // Targets whose answers couldn't be read, until their runs are ended.
  std::vector<TargetEntry> runs_left_;

  // Peers that refused the request a tunnel, couldn't be reached, or broke it
  // off.
  std::set<VmName> tried_peers_;
  // Number of tunnels that were not opened.
  int refused_tunnels_ = 0;
  // Targets whose connection didn't open or broke while the links were in
  // doubt. They may be chosen again once peers are used.
  std::set<TargetName> doubted_targets_;
  // Runs while the request waits to learn whether the links are lost.
  std::unique_ptr<Timer> probes_timer_;
  // The request waits to learn the present configuration before it is sent.
  bool awaits_config_ = false;

  // State of all attempts. What may be the cause of a crash is unset until it
  // is first needed.
  std::optional<RequestCauses> causes_;
  EventReader events_;
  RequestProgress progress_;
  // Whether the stream may go on at another target; not if its version isn't
  // known.
  bool may_go_on_ = true;
  // The caller received the start of a stream, but not its end.
  bool stream_cut_ = false;
  // Some attempt has run past its start phase (CrashWatch::kStartPhase).
  bool passed_start_phase_ = false;
  // The request is the test of a part that is blamed (CrashWatch::TakeTest).
  bool is_test_ = false;
  // The request may have crashed the target of the last attempt.
  bool may_have_crashed_ = false;
  // Overrides the Retry-After that `cause_` implies.
  std::optional<Duration> retry_after_;
  // Why the request ends; set before the event that ends it.
  RelayCause cause_ = RelayCause::kServed;
  // The same, as it was before the chart chose what the caller is told.
  RelayCause why_ = RelayCause::kServed;
  // Fault of the last attempt that ended without an answer.
  AttemptFault last_fault_ = AttemptFault::kNone;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAYED_REQUEST_H_
