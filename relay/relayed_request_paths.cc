// The part of RelayedRequest that is about the way to a target: this router's
// own links, or a tunnel through a peer, and what follows when either fails.

#include "relay/reach_driver.h"
#include "relay/relayed_request.h"

namespace quaytrack {
namespace {

// Peers that may refuse one request a tunnel. After that, an attempt at
// another router is the caller's better choice.
constexpr int kMaxRefusedTunnels = 2;

}  // namespace

// Called when the peer that was to carry the request is unreachable or refuses.
// Nothing was sent, and the target isn't at fault, so it may be chosen again.
void RelayedRequest::OnNoTunnel(AttemptFault fault) {
  LeavePeer(attempt_.path);
  UndoSend(PlacementOutcome::kNeutral);
  LogAttempt(attempt_, Ran::kNo, fault);
  if (++refused_tunnels_ >= kMaxRefusedTunnels)
    return GiveUpUnlessKept(Ran::kNo, RelayCause::kTargetsUnreachable);
  Retry(Ran::kNo);
}

// Called when the peer that carried the request has ended before the answer
// did. The target isn't at fault, so it may be chosen again, through another
// peer.
void RelayedRequest::OnTunnelBroken(const AttemptResult& result) {
  LeavePeer(attempt_.path);
  admission_.placement.tried.erase(attempt_.choice.target.name);
  EndAttempt(result.ran, result.outcome, result.fault);
}

void RelayedRequest::LeavePeer(const TargetPath& path) {
  context_.reach.OnTunnelFailed(path);
  tried_peers_.insert(path.peer);
}

// Ends an attempt of which nothing was sent, as if it had not been made.
void RelayedRequest::UndoSend(PlacementOutcome outcome) {
  StopAttempt(outcome);
  --progress_.sends;
  admission_.placement.tried.erase(attempt_.choice.target.name);
}

void RelayedRequest::OnNotOpened() {
  context_.reach.OnOpenFailed(attempt_.path, attempt_.choice.target.name);
}

bool RelayedRequest::IsSilent() const {
  return context_.clock.Now() - attempt_.HeardAt() >= TargetReach::kSilence &&
         context_.reach.IsSilent(admission_.service->name);
}

void RelayedRequest::OnLinksLost(const ServiceName& service) {
  const auto self = shared_from_this();
  if (!admission_.service || admission_.service->name != service) return;
  if (probes_timer_) return Choose();
  if (!attempt_.call) return;
  const Ran ran = attempt_.ran();
  switch (StepAfterLostLinks(
      {attempt_.path.direct(), ran, attempt_.paused, IsSilent()})) {
    case LostLinksStep::kKeep:
      return;
    case LostLinksStep::kUndo:
      UndoSend(PlacementOutcome::kNeutral);
      LogAttempt(attempt_, ran, AttemptFault::kPathChanged);
      return Retry(ran);
    case LostLinksStep::kRetry:
      if (!TakeRetry(ran, AttemptFault::kPathChanged)) return;
      KeepAttempt(AttemptFault::kPathChanged);
      return Retry(ran);
  }
}

// Called when a direct connection ended before the answer did. The target may
// have ended, or the links may be lost.
void RelayedRequest::OnBroken(const AttemptState& attempt) {
  if (attempt.path.direct())
    doubted_targets_.insert(attempt.choice.target.name);
  context_.reach.OnBroken(attempt.path, attempt.choice.target.name);
  ReportLost(attempt);
}

void RelayedRequest::UncountSend() {
  --progress_.sends;
  doubted_targets_.insert(attempt_.choice.target.name);
  ForgiveDoubtedTargets();
}

// Whether the request may have been sent over links that are lost, which a
// probe round is about to tell.
bool RelayedRequest::AwaitsProbes() const {
  return !doubted_targets_.empty() &&
         context_.reach.IsBeingProbed(admission_.service->name);
}

// Once the links are known to be lost, the targets behind them aren't at fault.
void RelayedRequest::ForgiveDoubtedTargets() {
  if (doubted_targets_.empty()) return;
  if (!context_.reach.IsCutOff(admission_.service->name)) return;
  for (const TargetName& it : doubted_targets_)
    admission_.placement.tried.erase(it);
  doubted_targets_.clear();
}

}  // namespace quaytrack
