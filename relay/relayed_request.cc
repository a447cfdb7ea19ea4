#include "relay/relayed_request.h"

#include <algorithm>
#include <random>
#include <utility>

#include "relay/budget_driver.h"
#include "relay/config_follower.h"
#include "relay/reach_driver.h"

namespace quaytrack {
namespace {

// Age of the router's knowledge up to which a refusal for the route or the key
// is sent without a question. A configuration has to be in force 2 s after it
// was accepted.
constexpr Duration kTrustedAge = std::chrono::milliseconds(1500);

// How often a request that waits for the end of a probe round looks for it. A
// round that finds the links lost tells the requests (`OnLinksLost`).
constexpr Duration kProbesCheckInterval = std::chrono::milliseconds(20);

// Memory of one possible cause of a crash, with the text of its name.
constexpr std::size_t kCauseBytes = sizeof(CauseId) + 48;

}  // namespace

RelayedRequest::RelayedRequest(const RelayContext& context,
                               std::shared_ptr<CallerConnection> caller,
                               CallerRequest request)
    : context_(context),
      caller_(std::move(caller)),
      request_(std::move(request)),
      machine_(context.chart) {}

void RelayedRequest::Start() {
  const auto self = shared_from_this();
  context_.requests.Add(self);
  caller_->OnGone([self] { self->OnCallerGone(); });
  const auto refused = AdmitByCurrentMap();
  if (refused && !MayTrust(*refused)) {
    if (context_.configs.IsUnreadable())
      return GiveUp(Ran::kNo, RelayCause::kConfigurationInDoubt);
    return context_.configs.AwaitCurrent(
        request_.begun - kTrustedAge,
        [self](bool is_current) { self->OnConfigAsked(is_current); });
  }
  if (refused) return GiveUp(Ran::kNo, *refused);
  if (context_.configs.MayHaveMissedChanges()) {
    return context_.configs.AwaitCurrent(
        context_.configs.resumed_at(),
        [self](bool is_current) { self->OnConfigAsked(is_current); });
  }
  if (IsInDoubt()) return GiveUp(Ran::kNo, RelayCause::kConfigurationInDoubt);
  Begin();
}

std::optional<RelayCause> RelayedRequest::AdmitByCurrentMap() {
  std::uniform_real_distribution<double> draw(0, 1);
  map_ = context_.configs.map();
  admission_ = {};
  return Admit({map_.get(), context_.caller_dialect, request_,
                draw(context_.random), context_.stop.LatestDeadline()},
               admission_);
}

// Whether the refusal holds by every configuration that may be in force.
bool RelayedRequest::MayTrust(RelayCause refused) const {
  if (refused != RelayCause::kNoRoute && refused != RelayCause::kUnknownKey)
    return true;
  return context_.configs.IsCurrentAt(request_.begun - kTrustedAge);
}

// Called when the store or a peer has shown the present configuration, or none
// has answered.
void RelayedRequest::OnConfigAsked(bool is_current) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  const auto refused = AdmitByCurrentMap();
  const bool is_in_doubt =
      refused ? !is_current && !MayTrust(*refused)
              : context_.configs.MayHaveMissedChanges() || IsInDoubt();
  if (is_in_doubt) return GiveUp(Ran::kNo, RelayCause::kConfigurationInDoubt);
  refused ? GiveUp(Ran::kNo, *refused) : Begin();
}

// Whether a later configuration, which isn't in force here, may not allow the
// request.
bool RelayedRequest::IsInDoubt() const {
  return context_.configs.IsOutdated() ||
         (context_.configs.IsUnreadable() && !admission_.route->open_to_all);
}

// Why the request may not be sent any more, by the present configuration.
std::optional<RelayCause> RelayedRequest::RefusalNow() const {
  if (IsInDoubt()) return RelayCause::kConfigurationInDoubt;
  const ServiceMapPtr& map = context_.configs.map();
  if (map == map_) return std::nullopt;
  return RefusalByLater(*map, request_.head, admission_);
}

// Goes on once it is known what was changed while this router stood still. No
// attempt is running or kept meanwhile.
void RelayedRequest::AwaitConfig() {
  if (awaits_config_) return;
  awaits_config_ = true;
  context_.configs.AwaitCurrent(
      context_.configs.resumed_at(),
      [self = shared_from_this()](bool) { self->OnConfigShown(); });
}

void RelayedRequest::OnConfigShown() {
  const auto self = shared_from_this();
  awaits_config_ = false;
  if (machine_.state() == RelayState::kEnded) return;
  if (context_.configs.MayHaveMissedChanges())
    return GiveUp(Ran::kNo, RelayCause::kConfigurationInDoubt);
  Choose();
}

void RelayedRequest::Begin() {
  deadline_timer_ = context_.loop.After(std::max(Left(), Duration::zero()),
                                        [this] { OnDeadline(); });
  if (IsBlamed()) {
    is_test_ = context_.crashes.TakeTest(id(), causes());
    if (!is_test_) return RefuseBlamed();
  }
  ReportMemory();
  context_.retries.OnRequest(context_.clock.Now(), admission_.service->name);
  const bool takes_up = admission_.route->kind == RouteKind::kStreaming &&
                        admission_.facts.takes_up;
  takes_up ? FindStream() : Hold();
}

// Tells the caller's connection what this object holds beside the request, as
// far as callers and targets determine it.
void RelayedRequest::ReportMemory() {
  const std::size_t parts =
      admission_.facts.parts.capacity() + admission_.placement.parts.capacity();
  const std::size_t causes = causes_ ? causes_->parts.capacity() : 0;
  caller_->NoteHeld(parts * sizeof(PromptPart) + causes * kCauseBytes +
                    attempt_.body.capacity() + events_.HeldBytes() +
                    kept_.BodyBytes());
}

// Frees the request, which isn't sent again. Its connection may be closed, so
// that nothing counts its memory.
void RelayedRequest::DropRequest() {
  causes();
  std::exchange(request_.head, {});
  std::string().swap(request_.body);
}

void RelayedRequest::Apply(RelayEvent event) {
  const auto self = shared_from_this();
  why_ = cause_;
  Do(machine_.Apply(event));
}

void RelayedRequest::Do(RelayAction action) {
  switch (action) {
    case RelayAction::kNone:
      return;
    case RelayAction::kTakeHold:
      held_ = true;
      return Choose();
    case RelayAction::kReturnHold:
      return context_.budgets.Settle(*this, 0);
    case RelayAction::kChoose:
      return Choose();
    case RelayAction::kSend:
      return Send();
    case RelayAction::kBeginStream:
      return BeginStream();
    case RelayAction::kReply:
      caller_->Reply(HeadForCaller(attempt_.answer), attempt_.body);
      return End(Ran::kUnknown);
    case RelayAction::kEndStream:
      caller_->EndStream();
      return End(Ran::kUnknown);
    case RelayAction::kAbortStream:
      if (cause_ != RelayCause::kStopped) cause_ = RelayCause::kStreamBroke;
      stream_cut_ = true;
      caller_->Abort();
      return End(Ran::kUnknown);
    case RelayAction::kRefuse:
      return AnswerCaller(Ran::kNo);
    case RelayAction::kFail:
      // Whatever ended the last attempt, a target that may have run the request
      // counts as failed. Only kTimedOut and kStopped stay the cause.
      if (cause_ != RelayCause::kTimedOut && cause_ != RelayCause::kStopped) {
        cause_ = RelayCause::kTargetFailed;
      }
      return AnswerCaller(Ran::kUnknown);
    case RelayAction::kDrop:
      return End(Ran::kNo);
    case RelayAction::kAbandon:
      return End(Ran::kUnknown);
  }
}

std::shared_ptr<RelayedRequest> RunningRequests::Find(
    const RequestId& id) const {
  const auto it = std::find_if(all_.begin(), all_.end(), [&](const auto& that) {
    return that->id() == id;
  });
  return it == all_.end() ? nullptr : *it;
}

std::size_t RunningRequests::CountStartedBefore(Instant time) const {
  return static_cast<std::size_t>(std::count_if(
      all_.begin(), all_.end(),
      [time](const auto& it) { return it->started_at() < time; }));
}

// --- Before a target ---------------------------------------------------------

void RelayedRequest::Hold() {
  const bool unneeded =
      admission_.worst_case == 0 || admission_.customer.empty();
  if (unneeded) return Apply(RelayEvent::kHoldUnneeded);
  switch (context_.budgets.Hold(shared_from_this())) {
    case PrepaidVerdict::kHeld:
      return Apply(RelayEvent::kHoldGranted);
    case PrepaidVerdict::kShort:
      return Apply(RelayEvent::kHoldDelayed);
    case PrepaidVerdict::kExhausted:
      return OnHoldRefused(true);
    case PrepaidVerdict::kCharged:
      return OnHoldCharged();
  }
}

void RelayedRequest::OnHoldRefused(bool exhausted) {
  GiveUp(Ran::kNo, exhausted ? RelayCause::kBudgetExhausted
                             : RelayCause::kBudgetUnavailable);
}

void RelayedRequest::OnHoldReserved(Duration retry_after) {
  retry_after_ = retry_after;
  GiveUp(Ran::kNo, RelayCause::kBudgetReserved);
}

void RelayedRequest::OnHoldCharged() {
  GiveUp(Ran::kNo, RelayCause::kBudgetCharged);
}

// Whether the request is blamed for crashes (relay/crash_watch.h). This is
// checked before each send, as reports may arrive while the request waits or
// runs at another target.
bool RelayedRequest::IsBlamed() {
  return context_.crashes.HasReports() &&
         context_.crashes.Find(causes()) != nullptr;
}

void RelayedRequest::RefuseBlamed() {
  const Blame& blame = *context_.crashes.Find(causes());
  retry_after_ = context_.crashes.Remaining(blame);
  LogBlamedRefused(id(), causes().request, blame, *retry_after_);
  GiveUp(Ran::kNo, RelayCause::kCrashesTargets);
}

void RelayedRequest::Choose() {
  const auto self = shared_from_this();
  probes_timer_.reset();
  if (context_.configs.MayHaveMissedChanges()) {
    if (!GoOnWithKept()) AwaitConfig();
    return;
  }
  if (const auto refused = RefusalNow())
    return GiveUpUnlessKept(Ran::kNo, *refused);
  ForgiveDoubtedTargets();
  const bool passes = is_test_ && attempts_ == 0;
  if (!passes && IsBlamed()) {
    if (!GoOnWithKept()) RefuseBlamed();
    return;
  }
  // A planned stop that began meanwhile may end the request while it runs.
  if (machine_.state() == RelayState::kChoosing &&
      admission_.deadline > context_.stop.LatestDeadline())
    return GiveUp(Ran::kNo, RelayCause::kStopped);
  if (Left() < kMinTimeToSend) {
    if (!GoOnWithKept()) OnDeadline();
    return;
  }
  if (!may_go_on_)
    return GiveUpUnlessKept(Ran::kNo, RelayCause::kVersionUnknown);
  if (earlier_run_) return StopEarlierRun();
  const auto choice = ChooseTarget();
  if (!choice && kept_.empty() && AwaitsProbes()) {
    probes_timer_ =
        context_.loop.After(kProbesCheckInterval, [this] { Choose(); });
    return;
  }
  if (!choice) return GiveUpUnlessKept(Ran::kNo, CauseOfNoChoice());
  const auto path = context_.reach.PathTo(
      choice->target, admission_.placement.residency, tried_peers_);
  if (path.kind == PathKind::kNone)
    return GiveUpUnlessKept(Ran::kNo, RelayCause::kTargetsUnreachable);
  attempt_ = {};
  attempt_.choice = *choice;
  attempt_.path = path;
  Apply(RelayEvent::kTargetChosen);
}

// A request that is bound to one target goes to another if that one may not get
// it.
std::optional<PlacementChoice> RelayedRequest::ChooseTarget() {
  const Instant now = context_.clock.Now();
  PlacementRequest& request = admission_.placement;
  auto out = context_.placement.Choose(now, request);
  if (out || !request.only) return out;
  request.only.reset();
  DropEarlierCache();
  return context_.placement.Choose(now, request);
}

RelayCause RelayedRequest::CauseOfNoChoice() const {
  if (progress_.sends > 0) return RelayCause::kTurnedAway;
  const Placement& placement = context_.placement;
  const PlacementRequest& request = admission_.placement;
  if (request.version &&
      !placement.HasVersion(request.service, *request.version))
    return RelayCause::kVersionGone;
  const Instant now = context_.clock.Now();
  if (placement.HasCold(now, request)) return RelayCause::kTargetsCold;
  if (placement.HasLimited(now, request)) return RelayCause::kTargetsLimited;
  if (placement.IsClosedOff(request)) return RelayCause::kHallsClosed;
  return placement.IsOutsideResidency(request) ? RelayCause::kOutsideResidency
                                               : RelayCause::kNoTarget;
}

// --- Ends --------------------------------------------------------------------

void RelayedRequest::OnDeadline() {
  const auto self = shared_from_this();
  const RelayState state = machine_.state();
  if (state == RelayState::kEnded) return;
  LeaveHoldQueue();
  if (state == RelayState::kAwaitingHold) return OnHoldRefused(false);
  ReportStopped(attempt_);
  const Ran ran = attempt_.ran();
  // A target that is sending events is not at fault for the deadline.
  const bool answering = state == RelayState::kStreaming;
  StopAttempt(answering ? PlacementOutcome::kNeutral
                        : PlacementOutcome::kFailed);
  GiveUp(ran, RelayCause::kTimedOut);
}

// Ends the request as OnDeadline does, but with another cause: the caller
// learns whether the request may have run, and is charged its cost. Otherwise
// the exit of the process would cut the connection without an answer, and
// charge the complete hold.
void RelayedRequest::EndForStop(Duration left) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  LogRequestOverran(admission_, progress_, attempt_, machine_.state(),
                    context_.clock.Now() - request_.begun, left);
  LeaveHoldQueue();
  const Ran ran = attempt_.ran();
  StopAttempt(PlacementOutcome::kNeutral);
  GiveUp(ran, RelayCause::kStopped);
}

void RelayedRequest::LeaveHoldQueue() {
  if (machine_.state() != RelayState::kAwaitingHold) return;
  context_.budgets.Forget(shared_from_this());
}

void RelayedRequest::OnCallerGone() {
  const auto self = shared_from_this();
  const RelayState state = machine_.state();
  if (state == RelayState::kEnded) return;
  LeaveHoldQueue();
  const Ran ran = attempt_.ran();
  // A call that must not be repeated runs on to its end.
  const bool runs_on = ran == Ran::kUnknown &&
                       admission_.route->kind == RouteKind::kNonIdempotent;
  if (runs_on) {
    DropRequest();
    return Apply(RelayEvent::kCallerGoneCallRunsOn);
  }
  ReportStopped(attempt_);
  StopAttempt(PlacementOutcome::kNeutral);
  cause_ = RelayCause::kCallerGone;
  Apply(ran == Ran::kNo ? RelayEvent::kCallerGoneNotRun
                        : RelayEvent::kCallerGoneMayHaveRun);
}

void RelayedRequest::GiveUp(Ran ran, RelayCause cause) {
  cause_ = cause;
  Apply(ran == Ran::kNo ? RelayEvent::kGiveUpNotRun
                        : RelayEvent::kGiveUpMayHaveRun);
}

void RelayedRequest::AnswerCaller(Ran ran) {
  const FinalAnswer answer = MakeFinalAnswer(cause_, ran, retry_after_);
  caller_->Reply(answer.head, answer.body);
  End(ran);
}

// Ends the request. The chart selects an end once per request. `ran` covers all
// attempts together.
void RelayedRequest::End(Ran ran) {
  StopAttempt(outcome_);
  EndAllKept();
  DropEarlierCache();
  overlap_timer_.reset();
  deadline_timer_.reset();
  probes_timer_.reset();
  Tokens cost = 0;
  if (held_) {
    const bool by_event = admission_.service->IsEngine() &&
                          admission_.route->kind == RouteKind::kStreaming;
    const AnswerTokens tokens =
        TokensOfAnswer(by_event, cause_ == RelayCause::kTargetError);
    cost = CostOf({ran, worst_case(), admission_.facts.prompt_tokens, tokens,
                   progress_.events, admission_.service->event_tokens});
    context_.budgets.Settle(*this, cost);
  }
  const Duration took = context_.clock.Now() - request_.begun;
  context_.metrics.CountEnd(customer(), NameOf(cause_), took);
  if (stream_cut_) {
    context_.metrics.CountCutStream(NameOf(EndedByOf(why_, last_fault_)),
                                    NameOf(why_));
  }
  LogRequestEnded(admission_, progress_, attempt_,
                  {cause_, why_, last_fault_, EndStatus(ran), cost,
                   map_ ? map_->version() : 0, took});
  context_.loop.Post(
      [this, self = shared_from_this()] { context_.requests.Remove(self); });
}

int RelayedRequest::EndStatus(Ran ran) const {
  const bool forwarded =
      cause_ == RelayCause::kServed || cause_ == RelayCause::kTargetError;
  if (forwarded) return attempt_.answer.status;
  return stream_cut_ ? 0 : FinalStatus(cause_, ran);
}

}  // namespace quaytrack
