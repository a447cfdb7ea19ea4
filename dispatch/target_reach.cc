#include "dispatch/target_reach.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

void TargetReach::SetTargets(std::vector<TargetName> targets) {
  targets_ = std::move(targets);
  const auto is_gone = [this](const TargetName& it) {
    return std::find(targets_.begin(), targets_.end(), it) == targets_.end();
  };
  std::erase_if(open_failures_,
                [&](const auto& it) { return is_gone(it.first); });
  std::erase_if(broken_, [&](const auto& it) { return is_gone(it.first); });
  std::erase_if(unanswered_, [&](const auto& it) { return is_gone(it.first); });
  for (auto& [peer, failed] : peer_failures_) std::erase_if(failed, is_gone);
}

// --- Evidence ----------------------------------------------------------------

void TargetReach::OnSent(Instant now, const TargetName& target) {
  unanswered_.try_emplace(target, Unanswered{now, now}).first->second.last =
      now;
}

void TargetReach::OnHeard(Instant now, const TargetName& target) {
  heard_at_ = now;
  cleared_rounds_ = 0;
  cleared_checks_ = 0;
  if (!unanswered_.empty()) unanswered_.erase(target);
}

// A connection that opens shows that the links work, but not that requests on
// older connections will be answered.
void TargetReach::OnOpened(Instant now, const TargetName& target) {
  heard_at_ = now;
  open_failures_.clear();
  broken_.clear();
  unanswered_.erase(target);
}

void TargetReach::OnBroken(Instant now, const TargetName& target) {
  broken_[target] = now;
}

void TargetReach::OnOpenFailed(Instant now, const TargetName& target) {
  open_failures_[target] = now;
}

void TargetReach::OnProbe(Instant now, const TargetName& target, bool opened) {
  if (opened) OnOpened(now, target);
  if (!round_) return;
  const auto it = round_->results.find(target);
  if (it == round_->results.end() || it->second) return;
  it->second = opened;
  ++round_->ended;
  if (opened) ++round_->opened;
}

bool TargetReach::OnPeerTried(const VmName& peer, const TargetName& target,
                              bool reached) {
  if (reached) {
    peer_failures_.clear();
    return false;
  }
  auto& failed = peer_failures_[peer];
  failed.insert(target);
  return failed.size() >= SuspectsNeeded();
}

void TargetReach::ForgetEvidence() {
  open_failures_.clear();
  broken_.clear();
  unanswered_.clear();
  peer_failures_.clear();
}

void TargetReach::ExpireEvidence(Instant now) {
  std::erase_if(open_failures_, [now](const auto& it) {
    return now - it.second > kEvidenceTime;
  });
  std::erase_if(broken_, [now](const auto& it) {
    return now - it.second > kBrokenTogether;
  });
  std::erase_if(unanswered_, [now](const auto& it) {
    return now - it.second.last > kEvidenceTime;
  });
}

// --- Decisions ---------------------------------------------------------------

ReachStep TargetReach::Check(Instant now) {
  ReachStep out;
  ExpireEvidence(now);
  // More evidence needs a whole round, at once.
  if (round_ && round_->is_check && IsSuspicious(now)) {
    round_.reset();
    probe_requested_ = true;
  }
  if (round_) {
    const bool is_over = round_->ended == round_->results.size() ||
                         now - round_->started_at >= kProbeTimeout;
    if (!is_over) return out;
    if (const auto event = EndRound(now)) out.action = Apply(now, *event);
  }
  if (const auto event = EventOfPeers(now)) {
    const ReachAction action = Apply(now, *event);
    if (action != ReachAction::kNone) out.action = action;
  }
  if (IsRoundDue(now)) out.probes = StartRound(now);
  return out;
}

ReachAction TargetReach::Apply(Instant now, ReachEvent event) {
  const ReachAction out = machine_.Apply(event);
  if (out == ReachAction::kNone) return out;
  changed_at_ = now;
  some_opened_ = false;
  ForgetEvidence();
  return out;
}

std::optional<ReachEvent> TargetReach::EndRound(Instant now) {
  const Round round = *std::exchange(round_, std::nullopt);
  const bool some = round.opened > 0;
  if (!some && !IsCutOff() && IsDisproved(round)) {
    open_failures_.clear();
    broken_.clear();
    return std::nullopt;
  }
  if (round.is_check && !some) {
    for (const auto& [target, opened] : round.results)
      open_failures_[target] = now;
    probe_requested_ = true;
    return std::nullopt;
  }
  const bool most = round.opened * 2 > round.results.size();
  const bool before = std::exchange(some_opened_, some);
  if (!some) return ReachEvent::kNoneOpened;
  // A cut that was suspected is refuted by one connection. The end of a known
  // one takes more, as long as tunnels serve the requests.
  if (!IsCutOff()) {
    unanswered_.clear();
    int& cleared = round.is_check ? cleared_checks_ : cleared_rounds_;
    cleared = std::min(cleared + 1, kMaxDoublings);
  }
  if (most || before || !IsLost()) return ReachEvent::kOpened;
  return std::nullopt;
}

// Connections that don't open in time while answers arrive on others show that
// the targets are overloaded. A cut that lets open connections live refuses new
// ones at once.
bool TargetReach::IsDisproved(const Round& round) const {
  const std::size_t refused = round.ended - round.opened;
  return refused < SuspectsNeeded() && HasHeardSince(round.started_at);
}

std::optional<ReachEvent> TargetReach::EventOfPeers(Instant now) const {
  if (!IsCutOff()) return std::nullopt;
  if (IsLost() && PeersFail()) return ReachEvent::kPeersFailToo;
  const bool are_due = AreTargetsUnhealthy() && usable_peers_ > 0 &&
                       now - changed_at_ >= kPeersAgain;
  return are_due ? std::optional(ReachEvent::kPeersDue) : std::nullopt;
}

bool TargetReach::PeersFail() const {
  const auto failed = std::count_if(
      peer_failures_.begin(), peer_failures_.end(),
      [this](const auto& it) { return it.second.size() >= SuspectsNeeded(); });
  return static_cast<std::size_t>(failed) >=
         std::min(kMinFailedPeers, usable_peers_);
}

std::size_t TargetReach::SuspectsNeeded() const {
  return std::min(kMinSuspects, targets_.size());
}

bool TargetReach::IsRoundDue(Instant now) const {
  if (round_ || targets_.empty()) return false;
  const Duration since = now - last_round_at_;
  if (IsCutOff()) return since >= kRoundInterval;
  if (probe_requested_) return true;
  if (since < kSuspectInterval * (1 << cleared_rounds_)) return false;
  if (IsSuspicious(now)) return true;
  return HasSilentTarget(now) &&
         now - last_check_at_ >= kSuspectInterval * (1 << cleared_checks_);
}

bool TargetReach::IsSuspicious(Instant now) const {
  return CountSuspects(now) >= SuspectsNeeded();
}

std::size_t TargetReach::CountSuspects(Instant now) const {
  std::size_t out = open_failures_.size();
  for (const auto& [target, at] : broken_) {
    if (!open_failures_.contains(target)) ++out;
  }
  if (now - heard_at_ < kSilence) return out;
  for (const auto& [target, requests] : unanswered_) {
    const bool is_silent = now - requests.first >= kSilence;
    const bool is_counted =
        open_failures_.contains(target) || broken_.contains(target);
    if (is_silent && !is_counted) ++out;
  }
  return out;
}

bool TargetReach::HasSilentTarget(Instant now) const {
  if (now - heard_at_ < kSilence) return false;
  return std::any_of(
      unanswered_.begin(), unanswered_.end(),
      [now](const auto& it) { return now - it.second.first >= kSilence; });
}

// Chooses the targets of a round, in turn, so that a target that is down for
// long doesn't take part in each.
std::vector<TargetName> TargetReach::StartRound(Instant now) {
  std::vector<TargetName> out;
  std::vector<TargetName> suspects;
  Round round;
  round.started_at = now;
  round.is_check = !IsCutOff() && !probe_requested_ && !IsSuspicious(now);
  const std::size_t size = round.is_check ? 1 : kProbesPerRound;
  const std::size_t count = targets_.size();
  std::size_t n = 0;
  for (; n < count && out.size() < size; ++n) {
    const TargetName& it = targets_[(next_probe_ + n) % count];
    const bool is_suspect = open_failures_.contains(it) ||
                            broken_.contains(it) || unanswered_.contains(it);
    (is_suspect ? suspects : out).push_back(it);
  }
  next_probe_ = (next_probe_ + n) % count;
  for (const TargetName& it : suspects) {
    if (out.size() < size) out.push_back(it);
  }
  (round.is_check ? last_check_at_ : last_round_at_) = now;
  probe_requested_ = false;
  for (const TargetName& it : out) round.results[it];
  round_ = std::move(round);
  return out;
}

}  // namespace quaytrack
