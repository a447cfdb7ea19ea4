// TargetReach: whether this router's own links reach the targets of a service.
//
//   TargetReach reach(chart);
//   reach.SetTargets(names);              // those that may get work
//   reach.OnSent(now, target);            // over this router's own links,
//   reach.OnHeard(now, target);           // as are the other three
//   reach.OnOpened(now, target);
//   reach.OnOpenFailed(now, target);
//   const ReachStep step = reach.Check(now);
//   for (it : step.probes) ...            // open a connection, then OnProbe
//   if (reach.IsLost()) ...               // use a tunnel (tunnel_peers.h)
//
// A router may lose its links to all targets while callers, the store and other
// routers still reach it. Single targets that end or hang are no concern of
// this class (dispatch/outlier_ejection.h); it looks for failures at several
// targets at once, and lets probes decide.
//
// Suspicion. Opening failed at `kMinSuspects` targets, and no connection opened
// since. Targets at which requests wait count as well while nothing was
// received from the service for `kSilence`. A service with a single target
// needs only that one. Where a single target is silent and others exist, one
// connection to another target is opened; if that fails as well, there are two
// suspects, and a probe round follows at once.
//
// Probe round. Connections are opened to up to `kProbesPerRound` targets, those
// that aren't suspected first. If none opens within `kProbeTimeout`, the links
// are lost. So targets that crash don't look like a cut as long as one of those
// probed is up. Nor do targets that are too busy to accept connections, as long
// as something arrives from the service during the round: a cut that leaves
// open connections alone refuses new ones at once. While the links are lost,
// rounds follow every `kRoundInterval` until most connections of a round open,
// or some in two rounds; if the targets are unhealthy, until one opens.
//
// Peers. Where two peers each fail to reach two targets as well, and none has
// reached a target since, or all peers say that they are cut off, the targets
// are unhealthy rather than this router's links. Peers are then asked again
// after `kPeersAgain`.
//
// Owns its evidence, which expires. Nothing fails; the clock is passed in and
// never goes back.

#ifndef QUAYTRACK_DISPATCH_TARGET_REACH_H_
#define QUAYTRACK_DISPATCH_TARGET_REACH_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/reach_chart.h"

namespace quaytrack {

// What the owner of a TargetReach has to do.
struct ReachStep {
  ReachAction action = ReachAction::kNone;
  // Targets to open connections to. Call `Check` again after `kProbeTimeout`.
  std::vector<TargetName> probes;
};

class TargetReach {
 public:
  // One target may have ended; it says nothing about the links.
  static constexpr std::size_t kMinSuspects = 2;
  // Peers that must have failed before the targets count as unhealthy, if there
  // are as many.
  static constexpr std::size_t kMinFailedPeers = 2;
  // Engines may take several hundred milliseconds for a first event, but
  // rarely send nothing for all requests of a router.
  static constexpr Duration kSilence = std::chrono::milliseconds(400);
  // How long a failed opening, or a request without an answer, is evidence:
  // longer than a second, so that the requests of a router with few callers add
  // up, and short, as targets restart.
  static constexpr Duration kEvidenceTime = std::chrono::milliseconds(2000);
  // Connections to several targets that break within this time may have been
  // broken by a loss of the links, which resets all at once.
  static constexpr Duration kBrokenTogether = std::chrono::milliseconds(100);
  // Enough that targets that are down by themselves rarely make up a round.
  static constexpr std::size_t kProbesPerRound = 3;
  // As the timeout of a request's connection (relay/attempt.cc).
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  // Start of a round to the start of the next one: while the links are lost,
  // which bounds the return to them, and at least while they work. The latter
  // doubles, at most `kMaxDoublings` times, with each round that finds nothing
  // wrong before an answer arrives: some services just answer slowly. The same
  // holds for checks of a single silent target.
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(400);
  static constexpr Duration kSuspectInterval = std::chrono::milliseconds(500);
  static constexpr int kMaxDoublings = 3;
  // The interval of peers' heartbeats, in which they report what they reach.
  static constexpr Duration kPeersAgain = std::chrono::milliseconds(1000);

  // `chart` must outlive this object.
  explicit TargetReach(const ReachChart& chart) : machine_(chart) {}

  // Sets the targets that may get work, in a fixed order.
  void SetTargets(std::vector<TargetName> targets);

  // Evidence of this router's own links. `OnHeard`: part of an answer arrived.
  void OnSent(Instant now, const TargetName& target);
  void OnHeard(Instant now, const TargetName& target);
  void OnOpened(Instant now, const TargetName& target);
  void OnOpenFailed(Instant now, const TargetName& target);
  // A connection that carried a request ended before its answer.
  void OnBroken(Instant now, const TargetName& target);
  // The outcome of a connection that `Check` asked for.
  void OnProbe(Instant now, const TargetName& target, bool opened);
  // Starts a probe round with the next `Check`, once none is running.
  void RequestProbes() { probe_requested_ = true; }
  // Whether a peer has reached the target. Peers that refuse say nothing.
  // Returns whether the peer has failed to reach so many targets that it is
  // likely to be cut off as well.
  bool OnPeerTried(const VmName& peer, const TargetName& target, bool reached);
  // Number of peers that don't say that they are cut off from the service.
  void SetPeers(std::size_t usable) { usable_peers_ = usable; }

  // Decides. Call this after evidence and several times a second.
  ReachStep Check(Instant now);

  // Whether nobody is known to reach the targets.
  bool AreTargetsUnhealthy() const {
    return machine_.state() == ReachState::kUnhealthy;
  }
  // Whether requests should go through peers.
  bool IsLost() const { return machine_.state() == ReachState::kLost; }
  // Whether this router can't reach the targets over its own links, and so
  // can't carry requests of peers.
  bool IsCutOff() const { return machine_.state() != ReachState::kDirect; }
  // Whether a probe round is about to tell if the links are lost.
  bool IsBeingProbed() const {
    return !IsCutOff() && round_.has_value() && !round_->is_check;
  }
  // Whether this router's own links are lost, or are being probed.
  bool IsInDoubt() const { return IsCutOff() || round_.has_value(); }
  // Whether this router's own links have worked after `time`.
  bool HasHeardSince(Instant time) const { return heard_at_ > time; }
  ReachState state() const { return machine_.state(); }

 private:
  struct Round {
    Instant started_at{};
    // One connection, because of a single silent target: it decides nothing.
    bool is_check = false;
    std::map<TargetName, std::optional<bool>> results;
    std::size_t opened = 0;
    std::size_t ended = 0;
  };

  // Requests to a target since something was received from it.
  struct Unanswered {
    Instant first{};
    Instant last{};
  };

  ReachAction Apply(Instant now, ReachEvent event);
  std::optional<ReachEvent> EndRound(Instant now);
  bool IsDisproved(const Round& round) const;
  std::optional<ReachEvent> EventOfPeers(Instant now) const;
  bool PeersFail() const;
  bool IsRoundDue(Instant now) const;
  bool IsSuspicious(Instant now) const;
  std::size_t CountSuspects(Instant now) const;
  bool HasSilentTarget(Instant now) const;
  std::size_t SuspectsNeeded() const;
  std::vector<TargetName> StartRound(Instant now);
  void ForgetEvidence();
  void ExpireEvidence(Instant now);

  ChartMachine<ReachState, ReachEvent, ReachAction> machine_;
  Instant changed_at_{};
  std::vector<TargetName> targets_;
  // The index in `targets_` at which the next round starts.
  std::size_t next_probe_ = 0;
  Instant heard_at_{};
  // Targets at which opening failed since a connection last opened.
  std::map<TargetName, Instant> open_failures_;
  // Targets to which a connection broke within `kBrokenTogether`, since a
  // connection last opened.
  std::map<TargetName, Instant> broken_;
  std::map<TargetName, Unanswered> unanswered_;
  bool probe_requested_ = false;
  std::optional<Round> round_;
  Instant last_round_at_{};
  // Checks don't delay rounds, so each has its times.
  Instant last_check_at_{};
  // Rounds and checks that found nothing wrong since an answer arrived.
  int cleared_rounds_ = 0;
  int cleared_checks_ = 0;
  // Whether a connection of the previous round opened.
  bool some_opened_ = false;
  // Targets that each peer failed to reach since a peer reached one.
  std::map<VmName, std::set<TargetName>> peer_failures_;
  std::size_t usable_peers_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TARGET_REACH_H_
