// Placement: which target of a service takes a request.
//
//   Placement placement(hall);
//   placement.SetTargets(entries);
//   const auto choice = placement.Choose(now, request);
//   Tokens prefill = placement.OnSent(now, choice->target.name, request,
//                                     choice->is_preferred);
//   placement.OnAnswering(name, prefill, waited);     // a first event
//   placement.OnEnded(now, name, 0, PlacementOutcome::kGood);
//
// The rule. Targets that may get no work (`TakesWork`: they are leaving, or
// their hall is closed), those in a region where the request may not be
// processed (base/residency.h) and those that had it before are out. So are
// those that have asked this router for a pause (dispatch/back_off.h), and so
// are cold ones and those that have named a rate limit
// (dispatch/rate_limits.h), unless this router may send there
// (dispatch/shared_rate.h); those compete like any other. While operators move
// a service to another version, a request goes to targets of the version whose
// turn it is (dispatch/version_gate.h); one that is listed for the first time
// beside others waits a moment for operators' word on it, if others can serve.
// But a target whose limit was last heard of a while ago comes first where this
// router may send to it, since only an answer of it shows that its limit has
// ended. Of the others, ejected ones (dispatch/outlier_ejection.h) are taken
// only if all are ejected. Among equals the one with the lowest expected cost
// is chosen, in milliseconds:
//
//   engines         (tokens to be prefilled there x time of each, as learned
//                    (dispatch/prefill_speed.h)
//                    + a charge for each running request
//                    + a charge unless it is the preferred target
//                    + base time) x slowness
//   other services  (running requests / slots x base time
//                    + base time) x slowness
//   both            + a charge for another hall + failure share x its charge
//
// The charges, with their units and where they come from, stand at the top of
// placement.cc. `relay_ended` of the log shows what decided: `target`, `home`
// (whether it was the preferred target) and `expected_ms` (its cost).
//
// Why tokens. An engine that has the prompt's shared parts in its prefix cache
// prefills only the rest, and what it prefills holds up everything beside it.
// "Tokens to be prefilled" are those of requests that were sent there and have
// no answer yet, and those of this prompt that aren't cached there
// (dispatch/prefix_cache.h).
//
// Why peers are told. A router sends an engine a fraction of its prompts, so it
// doesn't see most of what a prompt would wait behind. In a fleet where all are
// linked, each tells the others of a prompt that keeps an engine busy, and they
// charge the time until it is done. It bought 0.006 to 0.011 of what callers
// are owed on days with trouble; telling the cached parts as well bought
// nothing, so they aren't told. With it goes the learned speed (0.008 to 0.019
// against a fixed one of 50 tokens in a millisecond, on engines that prefill
// 32).
//
// Not done: engines of their own for long prompts. It served a tenth more short
// prompts in time and a twentieth fewer long ones, which are the more urgent
// (docs/policy/).
//
// Why a preferred target. What an engine has cached is known only for this
// router's own requests. To make routers agree without talking, the prompt's
// deepest shared part has a preferred target: the first in a rendezvous order
// (Thaler and Ravishankar 1998) of the warm targets that may get work. It is
// taken to have all shared parts. Under load, waiting there costs more than
// prefilling the parts elsewhere, so the load of one target is bounded, as in
// consistent hashing with bounded loads (Mirrokni et al. 2018).
//
// It owns what this router knows of each target, and relies on the list of
// targets (fleet/target_registry.h) and on being told of each send and each
// end. A target that is no longer listed is forgotten; reports on it are
// ignored. Nothing here fails: the one bad answer is that there is no target.
//
// `quaytrack router` chooses by route/target_book.h. That is another decision:
// its targets report their load, there are many of them, and it samples a few;
// here no target reports anything, and all are compared.

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
#include "dispatch/shared_rate.h"
#include "dispatch/target_warmth.h"
#include "dispatch/version_gate.h"
#include "fleet/hall_regions.h"
#include "fleet/target_registry.h"

namespace quaytrack {

// How a service's targets bear requests after a start.
struct ColdRule {
  // How long one stays cold.
  Duration start{};
  // Requests a second that a cold one bears; 0 if nothing is known to bound it.
  double per_s = 0;
};

// What all routers together may send to targets that take few requests.
struct PlacementRates {
  SharedRate cold{Instant{}, RateAllowance{}};
  SharedRate limited{Instant{}, RateAllowance{}};
};

struct PlacementRequest {
  ServiceName service;
  // Empty for services other than engines.
  std::vector<PromptPart> parts;
  Tokens prompt_tokens = 0;
  // The longest pause between events of an answer in time; no limit if 0.
  Duration pause_limit{};
  // Where it may be processed.
  Residency residency;
  // Targets that must not be chosen, as they have had the request.
  std::set<TargetName> tried;

  bool ForEngine() const { return prompt_tokens > 0; }
};

// How a request ended at a target, as far as it speaks for or against it.
enum class PlacementOutcome {
  kGood,
  kFailed,      // no answer, or none that counts: it may have ended
  kTurnedAway,  // refused for lack of room; counts as a failure
  kNeutral,     // says nothing about the target
};

// A target, and what decided for it.
struct PlacementChoice {
  TargetEntry target;
  // Milliseconds.
  double cost_ms = 0;
  // It is the preferred target of the prompt's deepest shared part.
  bool is_preferred = false;
  // Milliseconds until the first event is expected; 0 where no engine is asked.
  double first_event_ms = 0;
  // It is cold, or has a rate limit, and this router may send there.
  bool is_cold = false;
  bool is_limited = false;
};

class Placement {
 public:
  // `hall` is the one that this router is in.
  explicit Placement(HallName hall, PlacementRates rates = {},
                     HallRegions regions = {})
      : hall_(std::move(hall)),
        regions_(std::move(regions)),
        rates_(std::move(rates)) {}

  // What is known of a target that stays is kept; of one that has started again
  // nothing is, but that it is cold. `now` is when `entries` were read.
  void SetTargets(Instant now,
                  const std::map<TargetName, TargetEntry>& entries);

  // Halls that are closed to new work (fleet/closed_halls.h). The targets of
  // one that is opened again count as cold, since they had nothing to do.
  void SetClosedHalls(Instant now, std::set<HallName> halls);

  // How cold targets bear requests, by service; without a rule they do like
  // warm ones.
  void SetColdRules(std::map<ServiceName, ColdRule> rules) {
    cold_rules_ = std::move(rules);
  }
  // How a service moves to another version. `begin` in [0, 1) is where this
  // router begins to count.
  void SetVersionRule(const ServiceName& service, VersionRule rule,
                      double begin);
  // Whether some target of that version may get work.
  bool HasVersion(const ServiceName& service, const VersionName& version) const;
  // Requests of this router that run at other versions of the service.
  std::size_t RunningElsewhere(const ServiceName& service,
                               const VersionName& version) const;

  // This router's place among those that send to a target which takes few
  // requests; nothing if it isn't known. Asked again after each call of this.
  using PlaceOf =
      std::function<std::optional<RendezvousPlace>(const TargetStart&)>;
  void SetPlaces(PlaceOf place_of);

  // Whether anything further may be sent to a target: it is listed as that
  // start, isn't leaving, and its hall isn't closed. Every rule that keeps work
  // from a target for good stands here.
  bool IsOpenToWork(const TargetEntry& target) const;
  // Whether a request may still be sent as it was chosen: asked again just
  // before its bytes are written, if it had to wait for its connection.
  bool MayStillSend(Instant now, const PlacementChoice& choice,
                    const PlacementRequest& request) const;

  // Whether it is there as that start. What a request learns of another one,
  // which has ended, says nothing of it.
  bool IsListed(const TargetEntry& target) const;

  // Nothing if no target of the service may get work, but for those tried. It
  // costs one hash and one comparison for each target.
  std::optional<PlacementChoice> Choose(Instant now,
                                        const PlacementRequest& request) const;

  // Why there is no choice. Whether some target could get the request, and is
  // cold.
  bool HasCold(Instant now, const PlacementRequest& request) const;
  // The same, and has a rate limit or has asked for a pause.
  bool HasLimited(Instant now, const PlacementRequest& request) const;
  // Whether some target could get the request if its hall weren't closed.
  bool IsClosedOff(const PlacementRequest& request) const;
  // The same if the request were not bound to regions.
  bool IsOutsideResidency(const PlacementRequest& request) const;

  // Returns the tokens that the target is expected to prefill for the request;
  // 0 for services other than engines. `is_preferred` is as `Choose` found it.
  Tokens OnSent(Instant now, const TargetName& name,
                const PlacementRequest& request, bool is_preferred);
  // The answer began `waited` after the send, so the prompt has been prefilled.
  // `prefill` is what OnSent returned.
  void OnAnswering(const TargetName& name, Tokens prefill, Duration waited);
  // The target has answered a request that was sent at `sent_at`.
  void OnAlive(Instant now, const TargetName& name, Instant sent_at);
  // Whoever is at the address has ended connections for no reason that is
  // known.
  void OnConnectionsLost(Instant now, const std::string& address);
  // The target says that it stays cold for so long.
  void OnCold(Instant now, const TargetName& name, Duration remaining);
  // The target wants nothing from this router for so long.
  void OnBackOff(Instant now, const TargetStart& target, Duration wait);
  // The target has said in an answer that it leaves. Its next start is left
  // alone until that answer can't have been one of the next start.
  void OnSaysLeaving(Instant now, const TargetEntry& target);
  // What an answer to a request that was sent at `sent_at` says of its target's
  // rate limit. Returns whether the limit has changed.
  bool OnRate(Instant now, const TargetStart& target, Instant sent_at,
              const RateStatement& said);
  // What a peer knows of rate limits. Returns the targets whose limit has
  // changed.
  std::vector<TargetStart> OnRateReports(Instant now,
                                         const RateReports& reports);
  // For the peers (dispatch/rate_limits.h).
  RateReports TakeUntoldRates(Instant now, bool forwards) {
    return rate_limits_.TakeUntold(now, forwards);
  }
  const RateLimits& rate_limits() const { return rate_limits_; }
  // `prefill` is what OnSent returned, or 0 after OnAnswering.
  void OnEnded(Instant now, const TargetName& name, Tokens prefill,
               PlacementOutcome outcome);

  // A peer sent a prompt there, of which `prefill` tokens aren't cached.
  void OnPeerSent(Instant now, const TargetName& name, Tokens prefill);
  // Whether peers should hear of a prompt of which `prefill` tokens aren't
  // cached: it keeps an engine busy for a time that matters to others.
  bool IsWorthTelling(const PlacementRequest& request, Tokens prefill) const;

  // Targets that have become cold or warm since this was last called.
  struct ColdChange {
    TargetName target;
    bool cold = false;
    ColdSign sign = ColdSign::kEntry;
  };
  std::vector<ColdChange> ColdChanges(Instant now);
  // Targets that are cold.
  std::size_t cold(Instant now) const;

  // How fast the engines of each service prefill, for the peers; and what a
  // peer has learned, which a router takes that has seen too little itself.
  using Speeds = std::map<ServiceName, SpeedLine>;
  Speeds Learned() const;
  void SetPeerSpeeds(const Speeds& speeds);

 private:
  // One target, as this router knows it.
  struct State {
    TargetEntry entry;
    // Of its hall; empty if it isn't known.
    RegionName region;
    bool hall_closed = false;
    // When its version was first listed.
    Instant version_since = Instant::min();
    // Gets requests of a version that has only a part of them.
    bool takes_part = false;
    TargetWarmth warmth;
    // As `ColdChanges` last told.
    bool told_cold = false;
    // Of this start; asked for when it is needed.
    mutable std::optional<RendezvousPlace> place;
    // This router sends it nothing before.
    Instant pause_until{};
    // As `RateLimits` knows it.
    std::optional<double> limit_per_s;
    // Requests of this router that are running there.
    int running = 0;
    // Tokens that the target still has to prefill for them.
    Tokens prefill = 0;
    // Until when it prefills what peers sent.
    Instant peers_busy_until{};
    // Times of answers over the expected ones, smoothed; 1 or more.
    double slowness = 1;
    OutlierEjection health;
    PrefixCache prefixes;
  };

  // What one choice compares its candidates by; looked up once for all.
  struct Candidates {
    Instant now{};
    const PlacementRequest& request;
    const PrefillSpeed& speed;
    const VersionGate& gate;
    VersionTurn turn = VersionTurn::kAny;
    // Targets of versions that were listed a moment ago are left out.
    bool only_settled = false;
    const State* preferred = nullptr;

    bool IsPreferred(const State& state) const { return &state == preferred; }
    bool Suits(const State& state) const;
  };

  static bool TakesWork(const State& state) {
    return !state.entry.leaving && !state.hall_closed;
  }
  // Whether the request could ever go there, as things are.
  static bool IsEligible(const State& state, const PlacementRequest& request) {
    return state.entry.service == request.service && TakesWork(state) &&
           request.residency.Allows(state.region);
  }
  // Null if the target isn't listed as that start.
  const State* Find(const TargetEntry& target) const;
  bool IsCold(Instant now, const State& state) const;
  const std::optional<RendezvousPlace>& OwnPlace(const State& state) const;
  bool MaySendCold(Instant now, const State& state) const;
  bool MaySendLimited(Instant now, const State& state) const;
  // As far as it takes few requests.
  bool MaySend(Instant now, const State& state) const;
  bool IsDue(Instant now, const State& state) const;
  // A target that is listed, in this start, for the first time, or again.
  void Begin(Instant now, const TargetEntry& entry, State& state);
  // After a change in `rate_limits_`.
  void NoteLimit(const TargetStart& target);
  // One that isn't listed has none.
  const ColdRule& RuleOf(const ServiceName& service) const;
  // Of a service without answers, the first guess or what peers have learned.
  const PrefillSpeed& SpeedOf(const ServiceName& service) const;
  static double FirstEventMs(const State& state, const Candidates& among);
  static double EngineMs(const State& state, const Candidates& among);
  // Until what peers sent there is prefilled; 0 or more.
  static double PeersMs(Instant now, const State& state);
  static double QueueMs(const State& state);
  double Cost(const State& state, const Candidates& among) const;
  const State* PreferredTarget(const Candidates& among) const;
  std::optional<PlacementChoice> ChooseAmong(Candidates among) const;

  // Versions.
  const VersionGate& GateOf(const ServiceName& service) const;
  static bool IsSettled(Instant now, const State& state,
                        const VersionGate& gate);
  bool HasSettled(Instant now, const PlacementRequest& request,
                  const VersionGate& gate) const;
  VersionTurn TurnOf(const PlacementRequest& request,
                     const VersionGate& gate) const;
  bool IsNextAlone(const PlacementRequest& request,
                   const VersionGate& gate) const;
  void NoteVersion(Instant now, State& state);
  void ChoosePartTakers(const ServiceName& service);

  HallName hall_;
  HallRegions regions_;
  std::set<HallName> closed_halls_;
  std::map<TargetName, State> targets_;
  std::map<ServiceName, ColdRule> cold_rules_;
  PlacementRates rates_;
  RateLimits rate_limits_;
  BackOffs back_offs_;
  // By name; of what was said in the last `kEntryTellsWithin`.
  struct SaidLeaving {
    TargetStart start;
    Instant at{};
  };
  std::map<TargetName, SaidLeaving> said_leaving_;
  // Nobody owns a target before it is set.
  PlaceOf place_of_;
  std::map<ServiceName, VersionGate> gates_;
  // When each version of a service was first listed.
  struct ServiceVersions {
    Instant first_listed_at{};
    std::map<VersionName, Instant> since;
  };
  std::map<ServiceName, ServiceVersions> versions_;
  // The latest of these.
  Instant latest_version_ = Instant::min();
  // One entry for each service of which answers or peers have told.
  std::map<ServiceName, PrefillSpeed> speeds_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PLACEMENT_H_
