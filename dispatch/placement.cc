#include "dispatch/placement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <compare>
#include <cstdint>

#include "base/digest.h"

namespace quaytrack {
namespace {

// The charges of the rule in placement.h.

// Milliseconds for each running request of an engine, and for an engine that is
// not the preferred one. `kNotPreferredMs` keeps equal costs from spreading a
// part over all engines, each of which would have to prefill it.
constexpr double kPerRunningMs = 3;
constexpr double kNotPreferredMs = 150;
// Milliseconds for a target in another hall.
constexpr double kOtherHallMs = 8;
// Milliseconds for a target all of whose recent requests failed.
constexpr double kFailureMs = 4000;
// Milliseconds for the answer of a service other than engines; also the cost of
// waiting for one occupied slot.
constexpr double kBaseAnswerMs = 40;
// Weight of the newest answer in a target's slowness.
constexpr double kSlownessWeight = 0.2;
// Bound on the ratio of actual to expected time of one answer. Most answers
// that take longer waited for prompts of other routers, which shows nothing
// about the target. A higher bound makes prompts leave engines that have their
// parts cached.
constexpr double kMaxSlowness = 2;

// Peers are notified of a prompt that keeps its engine busy for this fraction
// of the pause that streams may make; a shorter time is no reason to choose
// another engine.
constexpr double kReportedPauseShare = 0.1;
// Bound in milliseconds on the busy time from reports of peers, so that reports
// never exclude an engine for long.
constexpr double kMaxPeerBusyMs = 3000;

// A rate limit that was last confirmed this long ago is probed again. This is
// well within the span over which limits are kept, so that a limit that has
// ended costs its target little.
constexpr Duration kProbeAfter = std::chrono::seconds(2);

// A target with a rejection limit that has rejected a request gets nothing from
// this router for this long: the span over which it counts rejections.
constexpr Duration kRejectionPause = std::chrono::milliseconds(1000);

// Candidates are compared by the members of Rank in their order; the least
// candidate is chosen.
struct Rank {
  bool is_ejected = false;
  bool is_no_probe_due = false;
  double cost_ms = 0;

  auto operator<=>(const Rank&) const = default;
};

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double Milliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// The deepest part that other requests may share. The last part belongs to its
// request alone.
std::optional<std::uint64_t> DeepestSharedPart(
    const PlacementRequest& request) {
  if (request.parts.size() < 2) return std::nullopt;
  return request.parts[request.parts.size() - 2].id;
}

// Tokens of the prompt that an engine has to prefill. The preferred target is
// assumed to have all shared parts, including those sent by other routers.
Tokens PrefillTokens(const PrefixCache& prefixes,
                     const PlacementRequest& request, bool is_preferred) {
  const Tokens cached = is_preferred ? SharedTokens(request.parts)
                                     : prefixes.CachedTokens(request.parts);
  return std::max<Tokens>(0, request.prompt_tokens - cached);
}

}  // namespace

void Placement::SetTargets(Instant now,
                           const std::map<TargetName, TargetEntry>& entries) {
  std::erase_if(targets_, [&](const auto& it) {
    if (entries.contains(it.first)) return false;
    NoteRemoved(now, it.second.entry);
    return true;
  });
  for (const auto& [name, entry] : entries) {
    const auto [it, is_new] = targets_.try_emplace(name);
    State& state = it->second;
    const bool restarted = !is_new && state.entry.start != entry.start;
    const bool cold_changed = is_new || state.entry.cold_for != entry.cold_for;
    const bool other_version =
        is_new || restarted || state.entry.version != entry.version;
    if (other_version && !is_new) NoteRemoved(now, state.entry);
    // Of what is known of the previous start, only a recent limit or pause may
    // be true of the new one.
    if (restarted) {
      rate_limits_.OnRestart(now, state.entry.start, entry.start);
      back_offs_.OnRestart(now, state.entry.start, entry.start);
      state = State{};
    }
    state.entry = entry;
    if (other_version) NoteVersion(now, state);
    state.region = regions_.RegionOf(entry.hall);
    if (is_new || restarted) RestoreLimits(now, entry, state);
    state.hall_closed = closed_halls_.contains(entry.hall);
    if (cold_changed)
      state.warmth.OnCold(now, entry.cold_for, ColdSign::kEntry);
    if (restarted) {
      state.warmth.OnCold(now, RuleOf(entry.service).cold_time,
                          ColdSign::kStart);
    }
  }
  for (const auto& [service, gate] : gates_) ChooseShareTargets(service);
}

void Placement::RestoreLimits(Instant now, const TargetEntry& entry,
                              State& state) {
  state.limit_per_s = rate_limits_.LimitOf(entry.start);
  state.pause_until = back_offs_.EndOf(entry.start);
  const auto notice = leaving_notices_.find(entry.name);
  if (notice == leaving_notices_.end() || notice->second.start == entry.start)
    return;
  const Instant until = notice->second.at + kMaxEntryDelay;
  if (until > now) state.pause_until = std::max(state.pause_until, until);
}

void Placement::SetClosedHalls(Instant now, std::set<HallName> halls) {
  closed_halls_ = std::move(halls);
  for (auto& [name, state] : targets_) {
    const bool was_closed = state.hall_closed;
    state.hall_closed = closed_halls_.contains(state.entry.hall);
    if (!was_closed || state.hall_closed) continue;
    state.warmth.OnCold(now, RuleOf(state.entry.service).cold_time,
                        ColdSign::kHallOpen);
  }
}

// --- Cold targets ------------------------------------------------------------

const ColdRule& Placement::RuleOf(const ServiceName& service) const {
  static const ColdRule kNone;
  const auto it = cold_rules_.find(service);
  return it == cold_rules_.end() ? kNone : it->second;
}

void Placement::SetPlaceLookup(PlaceLookup place_of) {
  place_lookup_ = std::move(place_of);
  for (auto& [name, state] : targets_) state.place.reset();
}

const std::optional<RendezvousPlace>& Placement::LocalPlace(
    const State& state) const {
  if (!state.place && place_lookup_)
    state.place = place_lookup_(state.entry.start);
  return state.place;
}

bool Placement::IsCold(Instant now, const State& state) const {
  return state.warmth.IsCold(now) && RuleOf(state.entry.service).per_s > 0;
}

bool Placement::MaySendCold(Instant now, const State& state) const {
  const auto& place = LocalPlace(state);
  if (!place) return false;
  const OwnerShare part =
      rates_.cold.ShareOf(RuleOf(state.entry.service).per_s, place->routers);
  return part.IsOwner(*place) &&
         rates_.cold.MaySend(now, state.entry.start, part);
}

bool Placement::MaySend(Instant now, const State& state) const {
  if (now < state.pause_until || IsAtSlotShare(now, state)) return false;
  if (IsCold(now, state) && !MaySendCold(now, state)) return false;
  return !state.limit_per_s || MaySendLimited(now, state);
}

// --- Rate limits -------------------------------------------------------------

bool Placement::MaySendLimited(Instant now, const State& state) const {
  const auto& place = LocalPlace(state);
  if (!place) return false;
  const TargetStart& start = state.entry.start;
  const OwnerShare part =
      rates_.limited.ShareOf(*state.limit_per_s, place->routers);
  return part.IsActive(*place, now - rate_limits_.ConfirmedAt(start)) &&
         rates_.limited.MaySend(now, start, part.For(*place));
}

bool Placement::IsProbeDue(Instant now, const State& state) const {
  if (!state.limit_per_s) return false;
  return now - rate_limits_.ConfirmedAt(state.entry.start) >= kProbeAfter;
}

void Placement::NoteLimit(const TargetStart& target) {
  for (auto& [name, state] : targets_) {
    if (state.entry.start != target) continue;
    state.limit_per_s = rate_limits_.LimitOf(target);
  }
}

bool Placement::OnRate(Instant now, const TargetStart& target, Instant sent_at,
                       const RateStatement& statement) {
  bool changed = false;
  if (statement.per_s) {
    changed = rate_limits_.OnLimit(now, target, sent_at, *statement.per_s);
  } else if (statement.is_unlimited) {
    changed = rate_limits_.OnNoLimit(now, target, sent_at);
  }
  if (changed) NoteLimit(target);
  return changed;
}

std::vector<TargetStart> Placement::OnRateReports(Instant now,
                                                  const RateReports& reports) {
  std::vector<TargetStart> changed;
  for (const auto& [target, report] : reports) {
    if (!rate_limits_.OnPeer(now, target, report)) continue;
    NoteLimit(target);
    changed.push_back(target);
  }
  return changed;
}

// --- Rejection limits --------------------------------------------------------

bool Placement::IsAtSlotShare(Instant now, const State& state) const {
  return rejection_limits_.IsLimited(now, state.entry.service) &&
         state.running >= SlotShareAt(state);
}

// A router that has no share of any target of the service may send each one
// request at a time: else its callers would all be refused. Pauses after a
// rejection (`kRejectionPause`) bound what such routers cause.
int Placement::SlotShareAt(const State& state) const {
  const auto& place = LocalPlace(state);
  if (!place) return 1;
  const int bound = SlotShare(state.entry.slots, *place);
  return bound == 0 && HasNoSlotShare(state.entry.service) ? 1 : bound;
}

bool Placement::HasNoSlotShare(const ServiceName& service) const {
  return std::none_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    if (state.entry.service != service || !AcceptsWork(state)) return false;
    const auto& place = LocalPlace(state);
    return place && SlotShare(state.entry.slots, *place) > 0;
  });
}

// --- Pauses ------------------------------------------------------------------

void Placement::OnBackOff(Instant now, const TargetStart& target,
                          Duration wait) {
  back_offs_.Note(now, target, wait);
  for (auto& [name, state] : targets_) {
    if (state.entry.start != target) continue;
    state.pause_until = std::max(state.pause_until, back_offs_.EndOf(target));
  }
}

void Placement::OnLeavingAnnounced(Instant now, const TargetEntry& target) {
  std::erase_if(leaving_notices_, [now](const auto& it) {
    return now - it.second.at >= kMaxEntryDelay;
  });
  leaving_notices_[target.name] = {target.start, now};
}

// --- Observations of targets -------------------------------------------------

void Placement::OnAlive(Instant now, const TargetName& name, Instant sent_at) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  state.warmth.OnAlive(now, sent_at, RuleOf(state.entry.service).cold_time);
}

void Placement::OnSilent(Instant now, const TargetName& name) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  it->second.warmth.OnLost(now);
  it->second.health.Record(now, true);
}

void Placement::OnConnectionsLost(Instant now, const std::string& address) {
  for (auto& [name, state] : targets_) {
    if (state.entry.address == address) state.warmth.OnLost(now);
  }
}

void Placement::OnCold(Instant now, const TargetName& name,
                       Duration remaining) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  it->second.warmth.OnCold(now, remaining, ColdSign::kAnswer);
}

std::vector<Placement::ColdChange> Placement::ColdChanges(Instant now) {
  std::vector<ColdChange> out;
  for (auto& [name, state] : targets_) {
    const bool cold = IsCold(now, state);
    if (cold == state.reported_cold) continue;
    state.reported_cold = cold;
    out.push_back({name, cold, state.warmth.reason()});
  }
  return out;
}

std::size_t Placement::cold(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(),
                    [&](const auto& it) { return IsCold(now, it.second); }));
}

// --- The choice --------------------------------------------------------------

const Placement::State* Placement::Find(const TargetEntry& target) const {
  const auto it = targets_.find(target.name);
  const bool listed =
      it != targets_.end() && it->second.entry.start == target.start;
  return listed ? &it->second : nullptr;
}

bool Placement::IsListed(const TargetEntry& target) const {
  return Find(target) != nullptr;
}

bool Placement::IsOpenToWork(const TargetEntry& target) const {
  const State* state = Find(target);
  return state != nullptr && AcceptsWork(*state);
}

bool Placement::MayStillSend(Instant now, const PlacementChoice& choice,
                             const PlacementRequest& request) const {
  const State* state = Find(choice.target);
  if (state == nullptr || !IsEligible(*state, request)) return false;
  if (!GateOf(request.service).Admits(state->entry.version)) return false;
  if (request.version && MayHaveRestarted(now, *state)) return false;
  if (now < state->pause_until) return false;
  if (IsCold(now, *state) && !choice.is_cold) return false;
  return !state->limit_per_s || choice.is_limited;
}

bool Placement::HasCold(Instant now, const PlacementRequest& request) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return IsEligible(state, request) && IsCold(now, state);
  });
}

bool Placement::HasLimited(Instant now, const PlacementRequest& request) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return IsEligible(state, request) &&
           (state.limit_per_s || now < state.pause_until ||
            IsAtSlotShare(now, state));
  });
}

bool Placement::IsClosedOff(const PlacementRequest& request) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return state.entry.service == request.service && !state.entry.leaving &&
           request.residency.Allows(state.region) && state.hall_closed;
  });
}

bool Placement::IsOutsideResidency(const PlacementRequest& request) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return state.entry.service == request.service && AcceptsWork(state) &&
           !request.residency.Allows(state.region);
  });
}

const PrefillSpeed& Placement::SpeedOf(const ServiceName& service) const {
  static const PrefillSpeed kInitial;
  const auto it = speeds_.find(service);
  return it == speeds_.end() ? kInitial : it->second;
}

const Placement::State* Placement::PreferredTarget(
    const ChoiceContext& context) const {
  const Instant now = context.now;
  const auto part = DeepestSharedPart(context.request);
  if (!part) return nullptr;
  const std::string key = std::to_string(*part);
  const State* out = nullptr;
  std::uint64_t best = 0;
  for (const auto& [name, state] : targets_) {
    if (!context.IsCandidate(state)) continue;
    if (IsCold(now, state) || !MaySend(now, state)) continue;
    const std::uint64_t weight = RendezvousWeight(name.value, key);
    if (out != nullptr && weight <= best) continue;
    out = &state;
    best = weight;
  }
  return out;
}

double Placement::PeerPrefillMs(Instant now, const State& state) {
  return std::max(0.0, Milliseconds(state.peers_busy_until - now));
}

double Placement::FirstEventMs(const State& state,
                               const ChoiceContext& context) {
  const Tokens tokens =
      state.prefill + PrefillTokens(state.prefixes, context.request,
                                    context.IsPreferred(state));
  return context.speed.FirstEventMs(tokens) + PeerPrefillMs(context.now, state);
}

double Placement::EngineMs(const State& state, const ChoiceContext& context) {
  double out = FirstEventMs(state, context);
  out += state.running * kPerRunningMs;
  if (!context.IsPreferred(state)) out += kNotPreferredMs;
  return out;
}

double Placement::QueueMs(const State& state) {
  const double slots = std::max(1, state.entry.slots);
  return state.running / slots * kBaseAnswerMs;
}

double Placement::Cost(const State& state, const ChoiceContext& context) const {
  const double work = context.request.ForEngine()
                          ? EngineMs(state, context)
                          : QueueMs(state) + kBaseAnswerMs;
  double out = work * state.slowness;
  if (state.entry.hall != hall_) out += kOtherHallMs;
  out += state.health.FailureShare(context.now) * kFailureMs;
  return out;
}

bool Placement::ChoiceContext::IsCandidate(const State& state) const {
  if (!IsEligible(state, request)) return false;
  if (!gate.MayTake(turn, state.entry.version)) return false;
  const bool is_partial = turn == VersionTurn::kNext && gate.rule().share < 1;
  if (is_partial && !state.serves_share) return false;
  if (request.version && MayHaveRestarted(now, state)) return false;
  return !only_ready_versions || IsVersionReady(now, state, gate);
}

std::optional<PlacementChoice> Placement::Choose(
    Instant now, const PlacementRequest& request) const {
  const VersionGate& gate = GateOf(request.service);
  ChoiceContext context{now, request, SpeedOf(request.service), gate};
  context.turn = TurnOf(request, gate);
  context.only_ready_versions = HasReadyVersion(now, request, gate);
  if (auto out = ChooseIn(context)) return out;
  if (context.turn == VersionTurn::kNext) {
    context.turn = VersionTurn::kOthers;
  } else if (IsNextAlone(request, gate)) {
    context.turn = VersionTurn::kAny;
  } else {
    return std::nullopt;
  }
  return ChooseIn(context);
}

std::optional<PlacementChoice> Placement::ChooseIn(
    ChoiceContext context) const {
  const Instant now = context.now;
  const PlacementRequest& request = context.request;
  context.preferred = PreferredTarget(context);
  const State* best = nullptr;
  Rank best_rank;
  for (const auto& [name, state] : targets_) {
    if (!context.IsCandidate(state)) continue;
    if (request.only && name != *request.only) continue;
    if (request.tried.contains(name)) continue;
    if (!MaySend(now, state)) continue;
    const Rank rank{state.health.IsEjected(now), !IsProbeDue(now, state),
                    Cost(state, context)};
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &state;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  PlacementChoice out{best->entry, best_rank.cost_ms,
                      context.IsPreferred(*best)};
  if (request.ForEngine()) out.first_event_ms = FirstEventMs(*best, context);
  out.is_cold = IsCold(now, *best);
  out.is_limited = best->limit_per_s.has_value();
  return out;
}

Tokens Placement::OnSent(Instant now, const TargetName& name,
                         const PlacementRequest& request, bool is_preferred) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return 0;
  State& state = it->second;
  if (IsCold(now, state)) rates_.cold.OnSent(now, state.entry.start);
  if (state.limit_per_s) rates_.limited.OnSent(now, state.entry.start);
  const auto gate = gates_.find(state.entry.service);
  if (gate != gates_.end()) gate->second.OnSent(state.entry.version);
  ++state.running;
  if (!request.ForEngine()) return 0;
  const Tokens prefill = PrefillTokens(state.prefixes, request, is_preferred);
  state.prefill += prefill;
  state.prefixes.OnSent(now, request.parts);
  return prefill;
}

bool Placement::IsWorthReporting(const PlacementRequest& request,
                                 Tokens prefill) const {
  const double ms = SpeedOf(request.service).PrefillMs(prefill);
  return ms > Milliseconds(request.pause_limit) * kReportedPauseShare;
}

// Engines prefill one prompt after the other, so the times add up. No report
// says when a prompt is done or given up; the time is estimated from the
// learned speed.
void Placement::OnPeerSent(Instant now, const TargetName& name,
                           Tokens prefill) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  const double added = SpeedOf(state.entry.service).PrefillMs(prefill);
  const double busy =
      std::min(PeerPrefillMs(now, state) + added, kMaxPeerBusyMs);
  state.peers_busy_until = now + FromMs(busy);
}

void Placement::OnAnswering(const TargetName& name, Tokens prefill,
                            Duration waited) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  PrefillSpeed& speed = speeds_[state.entry.service];
  // The expected time is at least a millisecond, which bounds the ratio.
  const double expected = std::max(1.0, speed.FirstEventMs(state.prefill));
  const double ratio =
      std::clamp(Milliseconds(waited) / expected, 1.0, kMaxSlowness);
  speed.OnFirstEvent(state.prefill, Milliseconds(waited));
  state.slowness += (ratio - state.slowness) * kSlownessWeight;
  state.prefill = std::max<Tokens>(0, state.prefill - prefill);
}

Placement::Speeds Placement::LearnedSpeeds() const {
  Speeds out;
  for (const auto& [service, speed] : speeds_) out[service] = speed.line();
  return out;
}

void Placement::SetPeerSpeeds(const Speeds& speeds) {
  for (const auto& [service, line] : speeds) {
    speeds_[service].OnPeerLine(line);
  }
}

void Placement::OnEnded(Instant now, const TargetName& name, Tokens prefill,
                        PlacementOutcome outcome) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  state.running = std::max(0, state.running - 1);
  state.prefill = std::max<Tokens>(0, state.prefill - prefill);
  if (outcome == PlacementOutcome::kFailed) state.warmth.OnLost(now);
  if (outcome == PlacementOutcome::kRefused &&
      rejection_limits_.IsLimited(now, state.entry.service)) {
    state.pause_until = std::max(state.pause_until, now + kRejectionPause);
  }
  if (outcome == PlacementOutcome::kNeutral) return;
  state.health.Record(now, outcome != PlacementOutcome::kGood);
}

void Placement::ForgetFailures(const ServiceName& service) {
  for (auto& [name, state] : targets_) {
    if (state.entry.service != service) continue;
    state.health = OutlierEjection();
    state.warmth.ForgetLost();
  }
}

}  // namespace quaytrack
