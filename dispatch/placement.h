// Placement: chooses the target of a service that gets a request.
//
//   Placement placement(hall);
//   placement.SetTargets(entries);
//   const auto choice = placement.Choose(now, request);
//   Tokens prefill = placement.OnSent(now, choice->target.name, request,
//                                     choice->is_preferred);
//   placement.OnAnswering(name, prefill, waited);     // first event received
//   placement.OnEnded(now, name, 0, PlacementOutcome::kGood);
//
// A start of a target is one run of its process (TargetStart).
//
// Rule. A target is excluded if it is leaving or its hall is closed
// (`AcceptsWork`), if the request may not be processed in the target's region
// (base/residency.h), or if the request was sent there before. A target is also
// excluded while a pause that it requested lasts (dispatch/back_off.h), while
// it has a rejection limit and this router's share of its slots in use
// (dispatch/rejection_limits.h), and, if it is cold or has announced a rate
// limit (dispatch/rate_limits.h), unless this router may send there
// (dispatch/shared_rate.h); then the target competes like any other. While
// operators move a service to another version, a request goes to targets of the
// version whose turn it is (dispatch/version_gate.h). The rest of a stream goes
// to the version that began it, whosever turn it is. If targets of other
// versions can serve, a version that is listed for the first time beside others
// gets no requests until an order of the operators about the version would be
// known. A target whose limit was last confirmed a while ago comes first if
// this router may send to it, because only its answer can show that the limit
// has ended. Of the other targets, ejected ones (dispatch/outlier_ejection.h)
// are used only if all are ejected. Among equals, the target with the lowest
// expected cost in milliseconds is chosen:
//
//   engines         (tokens to be prefilled there x learned time per token
//                    (dispatch/prefill_speed.h)
//                    + a charge for each running request
//                    + a charge unless it is the preferred target
//                    + base time) x slowness
//   other services  (running requests / slots x base time
//                    + base time) x slowness
//   all services    + a charge for another hall + failure share x its charge
//
// The charges and their units are at the top of placement.cc. The log event
// `relay_ended` shows what decided: `target`, `home` (whether it was the
// preferred target) and `expected_ms` (its cost).
//
// Why tokens: an engine that has the shared parts of a prompt in its prefix
// cache prefills only the rest, and each prefill delays everything else on that
// engine. "Tokens to be prefilled" are those of requests that were sent there
// and are not answered yet, plus those of this prompt that are not cached there
// (dispatch/prefix_cache.h).
//
// Why peers are notified: a router sends an engine only a fraction of its
// prompts, so it does not see most of what a prompt would wait behind. In a
// fleet where all routers are linked, each notifies the others of a prompt that
// keeps an engine busy, and they charge the time until it is done. The time is
// derived from the learned speed, as engines differ in it. Cached parts aren't
// reported: the preferred target already makes routers agree on them.
//
// Not done: dedicated engines for long prompts. They favour short prompts over
// long ones, which are more urgent.
//
// Why a preferred target: a router knows only what its own requests left in an
// engine's cache. To make routers agree without communication, the prompt's
// deepest shared part has a preferred target: the first in a rendezvous order
// (Thaler and Ravishankar 1998) of the warm targets that may get work. The
// preferred target is assumed to have all shared parts cached. Under load,
// waiting there costs more than prefilling the parts elsewhere, so the load of
// one target is bounded, as in consistent hashing with bounded loads (Mirrokni
// et al. 2018).
//
// Owns what this router knows of each target. Relies on the list of targets
// (fleet/target_registry.h) and on notification of each send and each end. A
// target that is no longer listed is forgotten; reports on it are ignored.
// Nothing here fails; the only negative result is that there is no target.
//
// `quaytrack router` uses route/target_book.h instead: its targets report their
// load, there are many of them, and it samples a few. The targets of `quaytrack
// relay`, which uses Placement, report no load, and all are compared.

#ifndef QUAYTRACK_DISPATCH_PLACEMENT_H_
#define QUAYTRACK_DISPATCH_PLACEMENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/residency.h"
#include "dispatch/back_off.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/prefill_speed.h"
#include "dispatch/prefix_cache.h"
#include "dispatch/rate_limits.h"
#include "dispatch/rejection_limits.h"
#include "dispatch/shared_rate.h"
#include "dispatch/target_warmth.h"
#include "dispatch/version_gate.h"
#include "fleet/hall_regions.h"
#include "fleet/target_registry.h"

namespace quaytrack {

// How the targets of a service behave after a start.
struct ColdRule {
  // How long a target stays cold.
  Duration cold_time{};
  // Requests a second that a cold target can handle; 0 if no bound is known.
  double per_s = 0;
};

// Bounds on what all routers together may send to cold targets and to targets
// with a rate limit.
struct PlacementRates {
  SharedRate cold{Instant{}, RateAllowance{}};
  SharedRate limited{Instant{}, RateAllowance{}};
};

struct PlacementRequest {
  ServiceName service;
  // The parts of the prompt; empty for services other than engines.
  std::vector<PromptPart> parts;
  Tokens prompt_tokens = 0;
  // The longest pause between events with which an answer is in time; 0 means
  // no limit.
  Duration pause_limit{};
  // Where the request may be processed.
  Residency residency;
  // The only version that the request may go to; unset if any may serve it.
  std::optional<VersionName> version;
  // The only target that may be chosen; unset if any may.
  std::optional<TargetName> only;
  // Targets that the request was sent to and that must not be chosen again.
  std::set<TargetName> tried;

  bool ForEngine() const { return prompt_tokens > 0; }
};

// How a request ended at a target, as far as this shows whether the target is
// healthy.
enum class PlacementOutcome {
  kGood,
  kFailed,   // no valid answer; the target may have ended
  kRefused,  // refused for lack of capacity; counts as a failure
  kNeutral,  // shows nothing about the target
};

// A chosen target, and why it was chosen.
struct PlacementChoice {
  TargetEntry target;
  double cost_ms = 0;
  // Whether the target is preferred for the prompt's deepest shared part.
  bool is_preferred = false;
  // Expected time until the first event; 0 for services other than engines.
  double first_event_ms = 0;
  // Whether the target is cold, and whether it has a rate limit; in both cases
  // this router may send there.
  bool is_cold = false;
  bool is_limited = false;
};

class Placement {
 public:
  // A stream's caller comes back within this time of its first event.
  static constexpr Duration kMaxStreamAge = std::chrono::seconds(60);
  // Streams of a version may be taken up for this long after its last target
  // was listed, as a target serves on for a while.
  static constexpr Duration kVersionMemory = kMaxStreamAge + kMaxEntryDelay;

  // `hall` is the hall of this router.
  explicit Placement(HallName hall, PlacementRates rates = {},
                     HallRegions regions = {})
      : hall_(std::move(hall)),
        regions_(std::move(regions)),
        rates_(std::move(rates)) {}

  // Replaces the list of targets, and keeps what is known of targets that stay.
  // Of a target that has restarted, it keeps only that it is cold, and a recent
  // rate limit or pause. `now` is when `entries` were read.
  void SetTargets(Instant now,
                  const std::map<TargetName, TargetEntry>& entries);

  // Sets the halls that are closed to new work (fleet/closed_halls.h). The
  // targets of a hall that is reopened count as cold, because they were idle.
  void SetClosedHalls(Instant now, std::set<HallName> halls);

  // Sets how targets behave while cold, by service. Cold targets of a service
  // without a rule are treated like warm ones.
  void SetColdRules(std::map<ServiceName, ColdRule> rules) {
    cold_rules_ = std::move(rules);
  }
  // Sets how a service moves to another version. `offset`, in [0, 1), is added
  // to the number of requests that are due to the next version
  // (dispatch/version_gate.h).
  void SetVersionRule(const ServiceName& service, VersionRule rule,
                      double offset);
  // Whether some target of the version may get work.
  bool HasVersion(const ServiceName& service, const VersionName& version) const;
  // The version of a target that a request was sent to; std::nullopt if it may
  // have started again since its entry was written, perhaps as another version.
  std::optional<VersionName> VersionOf(Instant now,
                                       const TargetEntry& target) const;
  // The only version of the service that this router has seen listed within
  // `kVersionMemory`, if it has known the service's list for `min_time`;
  // std::nullopt otherwise. After `kMaxStreamAge`, each stream that a caller
  // can take up began there, if the list is current and was complete meanwhile
  // (relay/target_follower.h).
  std::optional<VersionName> OnlyVersion(Instant now,
                                         const ServiceName& service,
                                         Duration min_time) const;
  // Number of this router's requests that run at other versions of the service.
  std::size_t RunningAtOtherVersions(const ServiceName& service,
                                     const VersionName& version) const;

  // The place of this router in the rendezvous order of a target that accepts
  // few requests; std::nullopt if it is not known. `SetPlaceLookup` discards
  // the places that were looked up before.
  using PlaceLookup =
      std::function<std::optional<RendezvousPlace>(const TargetStart&)>;
  void SetPlaceLookup(PlaceLookup place_lookup);

  // Whether further requests may be sent to a target: this start of the target
  // is listed, the target is not leaving, and its hall is not closed. Every
  // rule that keeps work from a target permanently belongs here.
  bool IsOpenToWork(const TargetEntry& target) const;
  // Whether a request may still be sent as it was chosen. Checked again just
  // before its bytes are written if it had to wait for its connection.
  bool MayStillSend(Instant now, const PlacementChoice& choice,
                    const PlacementRequest& request) const;

  // Whether this start of the target is listed. What a request learns of an
  // earlier start, which has ended, does not apply to the current one.
  bool IsListed(const TargetEntry& target) const;

  // Returns the target that gets the request; std::nullopt if no target of the
  // service may get it. Costs one hash and one comparison for each target.
  std::optional<PlacementChoice> Choose(Instant now,
                                        const PlacementRequest& request) const;

  // The next four functions explain why there is no choice.
  //
  // Whether some target could get the request, but is cold.
  bool HasCold(Instant now, const PlacementRequest& request) const;
  // Whether some target could get the request, but has a rate limit, has asked
  // for a pause, or has a rejection limit and its share of this router's
  // requests.
  bool HasLimited(Instant now, const PlacementRequest& request) const;
  // Whether some target could get the request if its hall were not closed.
  bool IsClosedOff(const PlacementRequest& request) const;
  // Whether some target could get the request if the request were not bound to
  // regions.
  bool IsOutsideResidency(const PlacementRequest& request) const;

  // Notes that a request was sent to the target. Returns the tokens that the
  // target is expected to prefill for the request; 0 for services other than
  // engines. `is_preferred` is from `Choose`.
  Tokens OnSent(Instant now, const TargetName& name,
                const PlacementRequest& request, bool is_preferred);
  // Notes that an answer began `waited` after the request was sent, so the
  // prompt has been prefilled. `prefill` is the result of OnSent.
  void OnAnswering(const TargetName& name, Tokens prefill, Duration waited);
  // Notes that the target has answered a request that was sent at `sent_at`, or
  // sent an event of the answer.
  void OnAlive(Instant now, const TargetName& name, Instant sent_at);
  // Notes that a request was without an answer at the target for too long. It
  // counts as a failure; the request still runs there.
  void OnSilent(Instant now, const TargetName& name);
  // Notes that connections to the address were closed for no known reason.
  void OnConnectionsLost(Instant now, const std::string& address);
  // Notes that the target has announced that it stays cold for `remaining`.
  void OnCold(Instant now, const TargetName& name, Duration remaining);
  // Notes that the target has asked this router to pause for `wait`.
  void OnBackOff(Instant now, const TargetStart& target, Duration wait);
  // Notes that the target has announced in an answer that it is leaving. The
  // target may have restarted before that answer, so after its next restart it
  // gets no requests either until `kMaxEntryDelay` has passed since the answer.
  void OnLeavingAnnounced(Instant now, const TargetEntry& target);
  // Takes what an answer to a request that was sent at `sent_at` states about
  // the rate limit of its target. Returns whether the limit has changed.
  bool OnRate(Instant now, const TargetStart& target, Instant sent_at,
              const RateStatement& statement);
  // Takes the rate limits that a peer knows. Returns the targets whose limit
  // has changed.
  std::vector<TargetStart> OnRateReports(Instant now,
                                         const RateReports& reports);
  // Returns the reports that are due to the peers (dispatch/rate_limits.h).
  RateReports TakeUnreportedRates(Instant now, bool forwards) {
    return rate_limits_.TakeUnreported(now, forwards);
  }
  const RateLimits& rate_limits() const { return rate_limits_; }
  // Takes what an answer of the service states about how much its targets bear
  // (dispatch/rejection_limits.h). Returns whether this has changed.
  bool OnRejectionLimit(Instant now, const ServiceName& service,
                        std::optional<int> max_rejections) {
    return rejection_limits_.OnAnswer(now, service, max_rejections);
  }
  RejectionLimits& rejection_limits() { return rejection_limits_; }
  // Notes that a request has ended at the target. `prefill` is the result of
  // OnSent, or 0 after OnAnswering.
  void OnEnded(Instant now, const TargetName& name, Tokens prefill,
               PlacementOutcome outcome);

  // Forgets failures of the service's targets, and that these may have
  // restarted. Called when this router's links were found to be the cause.
  void ForgetFailures(const ServiceName& service);

  // Notes that a peer sent the target a prompt of which `prefill` tokens are
  // not cached.
  void OnPeerSent(Instant now, const TargetName& name, Tokens prefill);
  // Whether to notify peers of a prompt of which `prefill` tokens are not
  // cached, because it keeps an engine busy for a time that matters to them.
  bool IsWorthReporting(const PlacementRequest& request, Tokens prefill) const;

  // A target that has become cold or warm.
  struct ColdChange {
    TargetName target;
    bool cold = false;
    ColdSign reason = ColdSign::kEntry;
  };
  // Returns the targets that have become cold or warm since the last call.
  std::vector<ColdChange> ColdChanges(Instant now);
  // Number of targets that are cold.
  std::size_t cold(Instant now) const;

  // The learned prefill speeds by service, to be sent to peers. A router that
  // has seen too few answers itself uses the speeds of a peer.
  using Speeds = std::map<ServiceName, SpeedLine>;
  Speeds LearnedSpeeds() const;
  void SetPeerSpeeds(const Speeds& speeds);

 private:
  // What this router knows of one target.
  struct State {
    TargetEntry entry;
    // Region of the target's hall; empty if unknown.
    RegionName region;
    bool hall_closed = false;
    // When the target's version was first listed; `Instant::min()` for versions
    // in the first list of the service.
    Instant version_since = Instant::min();
    // Whether the target is one of those that get the next version's share of
    // the requests.
    bool serves_share = false;
    TargetWarmth warmth;
    // Whether the target was cold when `ColdChanges` was last called.
    bool reported_cold = false;
    // This router's place in the rendezvous order of this start; looked up when
    // it is needed.
    mutable std::optional<RendezvousPlace> place;
    // This router sends the target no requests before this time.
    Instant pause_until{};
    // The target's limit in `rate_limits_`.
    std::optional<double> limit_per_s;
    // Number of this router's requests that are running at the target.
    int running = 0;
    // Prompt tokens of this router's requests that the target still has to
    // prefill.
    Tokens prefill = 0;
    // When the target will have prefilled what peers sent.
    Instant peers_busy_until{};
    // Ratio of actual to expected answer times, smoothed; 1 or more.
    double slowness = 1;
    OutlierEjection health;
    PrefixCache prefixes;
  };

  // What one choice needs to compare targets; looked up once for all targets.
  struct ChoiceContext {
    Instant now{};
    const PlacementRequest& request;
    const PrefillSpeed& speed;
    const VersionGate& gate;
    VersionTurn turn = VersionTurn::kAny;
    // Whether to leave out targets of versions that were first listed a moment
    // ago.
    bool only_ready_versions = false;
    const State* preferred = nullptr;

    bool IsPreferred(const State& state) const { return &state == preferred; }
    bool IsCandidate(const State& state) const;
  };

  static bool AcceptsWork(const State& state) {
    return !state.entry.leaving && !state.hall_closed;
  }
  // Whether the request could go to the target in the present state of targets
  // and halls.
  static bool IsEligible(const State& state, const PlacementRequest& request) {
    return state.entry.service == request.service && AcceptsWork(state) &&
           request.residency.Allows(state.region) &&
           (!request.version || state.entry.version == *request.version);
  }
  // Whether the target may be another one by now than its entry says.
  static bool MayHaveRestarted(Instant now, const State& state) {
    return state.entry.started_at != WallTime{} &&
           state.warmth.MayHaveRestarted(now);
  }
  // Returns null if this start of the target is not listed.
  const State* Find(const TargetEntry& target) const;
  bool IsCold(Instant now, const State& state) const;
  const std::optional<RendezvousPlace>& LocalPlace(const State& state) const;
  bool MaySendCold(Instant now, const State& state) const;
  bool MaySendLimited(Instant now, const State& state) const;
  bool IsAtSlotShare(Instant now, const State& state) const;
  int SlotShareAt(const State& state) const;
  bool HasNoSlotShare(const ServiceName& service) const;
  // Checks the pause, cold, rate and rejection rules together.
  bool MaySend(Instant now, const State& state) const;
  bool IsProbeDue(Instant now, const State& state) const;
  // Restores the known limit and pauses of a target whose start is listed for
  // the first time, or again.
  void RestoreLimits(Instant now, const TargetEntry& entry, State& state);
  // Copies a changed limit from `rate_limits_`.
  void NoteLimit(const TargetStart& target);
  // The cold rule of the service; the default rule if it has none.
  const ColdRule& RuleOf(const ServiceName& service) const;
  // The prefill speed of the service; the initial values or those of peers if
  // there were no answers.
  const PrefillSpeed& SpeedOf(const ServiceName& service) const;
  static double FirstEventMs(const State& state, const ChoiceContext& context);
  static double EngineMs(const State& state, const ChoiceContext& context);
  // Milliseconds until the target has prefilled what peers sent; 0 or more.
  static double PeerPrefillMs(Instant now, const State& state);
  static double QueueMs(const State& state);
  double Cost(const State& state, const ChoiceContext& context) const;
  const State* PreferredTarget(const ChoiceContext& context) const;
  std::optional<PlacementChoice> ChooseIn(ChoiceContext context) const;

  // Versions.
  const VersionGate& GateOf(const ServiceName& service) const;
  static bool IsVersionReady(Instant now, const State& state,
                             const VersionGate& gate);
  bool HasReadyVersion(Instant now, const PlacementRequest& request,
                       const VersionGate& gate) const;
  VersionTurn TurnOf(const PlacementRequest& request,
                     const VersionGate& gate) const;
  bool IsNextAlone(const PlacementRequest& request,
                   const VersionGate& gate) const;
  void NoteVersion(Instant now, State& state);
  void NoteRemoved(Instant now, const TargetEntry& entry);
  std::set<VersionName> RecentVersions(Instant now,
                                       const ServiceName& service) const;
  void ChooseShareTargets(const ServiceName& service);

  HallName hall_;
  HallRegions regions_;
  std::set<HallName> closed_halls_;
  std::map<TargetName, State> targets_;
  std::map<ServiceName, ColdRule> cold_rules_;
  PlacementRates rates_;
  RateLimits rate_limits_;
  BackOffs back_offs_;
  RejectionLimits rejection_limits_;
  // A target's announcement that it is leaving.
  struct LeavingNotice {
    TargetStart start;
    Instant at{};
  };
  // The latest announcement of each target within `kMaxEntryDelay`.
  std::map<TargetName, LeavingNotice> leaving_notices_;
  // While this is unset, no place is known, so this router sends nothing to
  // targets that accept few requests.
  PlaceLookup place_lookup_;
  std::map<ServiceName, VersionGate> gates_;
  // When each version of a service was first listed.
  struct ServiceVersions {
    Instant first_listed_at{};
    std::map<VersionName, Instant> since;
    // When a target of the version was last removed from the list.
    std::map<VersionName, Instant> removed_at;
  };
  std::map<ServiceName, ServiceVersions> versions_;
  // The latest time in `versions_`.
  Instant latest_version_ = Instant::min();
  // The speeds of services for which answers or peers have given one.
  std::map<ServiceName, PrefillSpeed> speeds_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PLACEMENT_H_
