#include "dispatch/placement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <compare>
#include <cstdint>

#include "base/digest.h"

namespace quaytrack {
namespace {

// The charges of the rule in placement.h. "First version" is commit df506c1,
// which gives no measurement of them.

// Milliseconds for each running request of an engine, and for an engine that
// isn't the preferred one, so that equal costs don't spread a part over all.
// Chosen together in the trial of commit 195581d: of 0, 80 and 150 ms (the last
// with 3 in place of 1 for each running request), 150 ms read the fewest shared
// tokens again and had the most credit on quiet-1 (journal runs c5c6b1d8,
// a7c8164e and 9852fa4a).
constexpr double kPerRunningMs = 3;
constexpr double kNotPreferredMs = 150;
// Milliseconds for a target in another hall. Not measured; first version.
constexpr double kOtherHallMs = 8;
// Milliseconds for a target all of whose recent requests failed. Not measured;
// first version.
constexpr double kFailureMs = 4000;
// Milliseconds of a plain service's answer; also what a wait for one occupied
// slot costs. Not measured; first version.
constexpr double kBaseAnswerMs = 40;
// Weight of the newest answer in a target's slowness. Not measured; first
// version.
constexpr double kSlownessWeight = 0.2;
// The most that one answer counts, in expected times. Most answers that take
// longer waited for prompts of other routers, which says nothing about the
// target: with 20, prompts left the engines that had their parts cached. Trials
// on several sets of days: with 20 callers got 0.006 to 0.011 less of what they
// are owed; 1 to 2 differ by less than the spread.
constexpr double kMaxSlowness = 2;

// Peers are told of a prompt that keeps its engine busy for this part of the
// pause that streams may make: less is no reason to go elsewhere.
constexpr double kWorthTelling = 0.1;
// The most that peers can keep an engine busy, in milliseconds, so that what
// they tell never rules one out for long.
constexpr double kLongestBusyMs = 3000;

// A rate limit that was last heard of so long ago is asked for again. It is
// well within the span over which limits are kept, so that one that has ended
// costs its target little.
constexpr Duration kAskAgainAfter = std::chrono::seconds(2);

// Operators' word on a version that is listed for the first time is known by
// then: both are read from the store, one after the other.
constexpr Duration kOrderTellsWithin = std::chrono::milliseconds(1000);
// Targets that share what a version gets on trial, at the least.
constexpr std::size_t kLeastPartTakers = 2;

// What candidates are compared by, in this order; the least is chosen.
struct Merit {
  bool is_ejected = false;
  bool is_not_due = false;
  double cost_ms = 0;

  auto operator<=>(const Merit&) const = default;
};

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double Milliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// The deepest part that other requests may share; the last is its own.
std::optional<std::uint64_t> DeepestSharedPart(
    const PlacementRequest& request) {
  if (request.parts.size() < 2) return std::nullopt;
  return request.parts[request.parts.size() - 2].id;
}

// Tokens of the prompt that an engine has to prefill. The preferred target is
// taken to have all shared parts, whoever sent them.
Tokens PrefillTokens(const PrefixCache& prefixes,
                     const PlacementRequest& request, bool is_preferred) {
  const Tokens cached = is_preferred ? SharedTokens(request.parts)
                                     : prefixes.CachedTokens(request.parts);
  return std::max<Tokens>(0, request.prompt_tokens - cached);
}

}  // namespace

void Placement::SetTargets(Instant now,
                           const std::map<TargetName, TargetEntry>& entries) {
  std::erase_if(targets_,
                [&](const auto& it) { return !entries.contains(it.first); });
  for (const auto& [name, entry] : entries) {
    const auto [it, is_new] = targets_.try_emplace(name);
    State& state = it->second;
    const bool restarted = !is_new && state.entry.start != entry.start;
    const bool told = is_new || state.entry.cold_for != entry.cold_for;
    // Another start holds nothing and runs nothing of what is known here.
    if (restarted) {
      rate_limits_.OnStartedAgain(now, state.entry.start, entry.start);
      back_offs_.OnStartedAgain(now, state.entry.start, entry.start);
      state = State{};
    }
    const bool other_version =
        is_new || restarted || state.entry.version != entry.version;
    state.entry = entry;
    if (other_version) NoteVersion(now, state);
    state.region = regions_.RegionOf(entry.hall);
    if (is_new || restarted) Begin(now, entry, state);
    state.hall_closed = closed_halls_.contains(entry.hall);
    if (told) state.warmth.OnCold(now, entry.cold_for, ColdSign::kEntry);
    if (restarted) {
      state.warmth.OnCold(now, RuleOf(entry.service).start, ColdSign::kStart);
    }
  }
  for (const auto& [service, gate] : gates_) ChoosePartTakers(service);
}

void Placement::Begin(Instant now, const TargetEntry& entry, State& state) {
  state.limit_per_s = rate_limits_.LimitOf(entry.start);
  state.pause_until = back_offs_.EndOf(entry.start);
  const auto said = said_leaving_.find(entry.name);
  if (said == said_leaving_.end() || said->second.start == entry.start) return;
  const Instant until = said->second.at + kEntryTellsWithin;
  if (until > now) state.pause_until = std::max(state.pause_until, until);
}

void Placement::SetClosedHalls(Instant now, std::set<HallName> halls) {
  closed_halls_ = std::move(halls);
  for (auto& [name, state] : targets_) {
    const bool was_closed = state.hall_closed;
    state.hall_closed = closed_halls_.contains(state.entry.hall);
    if (!was_closed || state.hall_closed) continue;
    state.warmth.OnCold(now, RuleOf(state.entry.service).start,
                        ColdSign::kHallOpen);
  }
}

// --- Cold targets ------------------------------------------------------------

const ColdRule& Placement::RuleOf(const ServiceName& service) const {
  static const ColdRule kNone;
  const auto it = cold_rules_.find(service);
  return it == cold_rules_.end() ? kNone : it->second;
}

void Placement::SetPlaces(PlaceOf place_of) {
  place_of_ = std::move(place_of);
  for (auto& [name, state] : targets_) state.place.reset();
}

const std::optional<RendezvousPlace>& Placement::OwnPlace(
    const State& state) const {
  if (!state.place && place_of_) state.place = place_of_(state.entry.start);
  return state.place;
}

bool Placement::IsCold(Instant now, const State& state) const {
  return state.warmth.IsCold(now) && RuleOf(state.entry.service).per_s > 0;
}

bool Placement::MaySendCold(Instant now, const State& state) const {
  const auto& place = OwnPlace(state);
  if (!place) return false;
  const OwnerPart part =
      rates_.cold.PartOf(RuleOf(state.entry.service).per_s, place->routers);
  return part.IsOwner(*place) &&
         rates_.cold.MaySend(now, state.entry.start, part);
}

bool Placement::MaySend(Instant now, const State& state) const {
  if (now < state.pause_until) return false;
  if (IsCold(now, state) && !MaySendCold(now, state)) return false;
  return !state.limit_per_s || MaySendLimited(now, state);
}

// --- Rate limits -------------------------------------------------------------

bool Placement::MaySendLimited(Instant now, const State& state) const {
  const auto& place = OwnPlace(state);
  if (!place) return false;
  const TargetStart& start = state.entry.start;
  const OwnerPart part =
      rates_.limited.PartOf(*state.limit_per_s, place->routers);
  return part.Acts(*place, now - rate_limits_.HeardAt(start)) &&
         rates_.limited.MaySend(now, start, part.For(*place));
}

bool Placement::IsDue(Instant now, const State& state) const {
  if (!state.limit_per_s) return false;
  return now - rate_limits_.HeardAt(state.entry.start) >= kAskAgainAfter;
}

void Placement::NoteLimit(const TargetStart& target) {
  for (auto& [name, state] : targets_) {
    if (state.entry.start != target) continue;
    state.limit_per_s = rate_limits_.LimitOf(target);
  }
}

bool Placement::OnRate(Instant now, const TargetStart& target, Instant sent_at,
                       const RateStatement& said) {
  bool changed = false;
  if (said.per_s) {
    changed = rate_limits_.OnNamed(now, target, sent_at, *said.per_s);
  } else if (said.is_unlimited) {
    changed = rate_limits_.OnNotNamed(now, target, sent_at);
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

// --- Pauses ------------------------------------------------------------------

void Placement::OnBackOff(Instant now, const TargetStart& target,
                          Duration wait) {
  back_offs_.Note(now, target, wait);
  for (auto& [name, state] : targets_) {
    if (state.entry.start != target) continue;
    state.pause_until = std::max(state.pause_until, back_offs_.EndOf(target));
  }
}

void Placement::OnSaysLeaving(Instant now, const TargetEntry& target) {
  std::erase_if(said_leaving_, [now](const auto& it) {
    return now - it.second.at >= kEntryTellsWithin;
  });
  said_leaving_[target.name] = {target.start, now};
}

// --- What targets show -------------------------------------------------------

void Placement::OnAlive(Instant now, const TargetName& name, Instant sent_at) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  state.warmth.OnAlive(now, sent_at, RuleOf(state.entry.service).start);
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
    if (cold == state.told_cold) continue;
    state.told_cold = cold;
    out.push_back({name, cold, state.warmth.sign()});
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
  return state != nullptr && TakesWork(*state);
}

bool Placement::MayStillSend(Instant now, const PlacementChoice& choice,
                             const PlacementRequest& request) const {
  const State* state = Find(choice.target);
  if (state == nullptr || !IsEligible(*state, request)) return false;
  if (!GateOf(request.service).Admits(state->entry.version)) return false;
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
           (state.limit_per_s || now < state.pause_until);
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
    return state.entry.service == request.service && TakesWork(state) &&
           !request.residency.Allows(state.region);
  });
}

const PrefillSpeed& Placement::SpeedOf(const ServiceName& service) const {
  static const PrefillSpeed kFirstGuess;
  const auto it = speeds_.find(service);
  return it == speeds_.end() ? kFirstGuess : it->second;
}

const Placement::State* Placement::PreferredTarget(
    const Candidates& among) const {
  const Instant now = among.now;
  const auto part = DeepestSharedPart(among.request);
  if (!part) return nullptr;
  const std::string key = std::to_string(*part);
  const State* out = nullptr;
  std::uint64_t best = 0;
  for (const auto& [name, state] : targets_) {
    if (!among.Suits(state)) continue;
    if (IsCold(now, state) || !MaySend(now, state)) continue;
    const std::uint64_t weight = RendezvousWeight(name.value, key);
    if (out != nullptr && weight <= best) continue;
    out = &state;
    best = weight;
  }
  return out;
}

// --- Versions ----------------------------------------------------------------

const VersionGate& Placement::GateOf(const ServiceName& service) const {
  static const VersionGate kNone;
  const auto it = gates_.find(service);
  return it == gates_.end() ? kNone : it->second;
}

void Placement::SetVersionRule(const ServiceName& service, VersionRule rule,
                               double begin) {
  gates_[service].SetRule(std::move(rule), begin);
  ChoosePartTakers(service);
}

bool Placement::HasVersion(const ServiceName& service,
                           const VersionName& version) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return state.entry.service == service && TakesWork(state) &&
           state.entry.version == version;
  });
}

std::size_t Placement::RunningElsewhere(const ServiceName& service,
                                        const VersionName& version) const {
  std::size_t out = 0;
  for (const auto& [name, state] : targets_) {
    if (state.entry.service != service) continue;
    if (state.entry.version == version) continue;
    out += static_cast<std::size_t>(state.running);
  }
  return out;
}

// All versions of a service's first list were there before this router.
void Placement::NoteVersion(Instant now, State& state) {
  ServiceVersions& known = versions_[state.entry.service];
  if (known.since.empty()) known.first_listed_at = now;
  const bool is_first = known.first_listed_at == now;
  const auto [it, is_new] = known.since.try_emplace(
      state.entry.version, is_first ? Instant::min() : now);
  state.version_since = it->second;
  latest_version_ = std::max(latest_version_, it->second);
}

bool Placement::IsSettled(Instant now, const State& state,
                          const VersionGate& gate) {
  return gate.IsNext(state.entry.version) ||
         now - kOrderTellsWithin >= state.version_since;
}

bool Placement::HasSettled(Instant now, const PlacementRequest& request,
                           const VersionGate& gate) const {
  if (now - kOrderTellsWithin >= latest_version_) return false;
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    return IsEligible(it.second, request) && IsSettled(now, it.second, gate);
  });
}

// A request that has met the next version goes on at the others.
VersionTurn Placement::TurnOf(const PlacementRequest& request,
                              const VersionGate& gate) const {
  const VersionTurn turn = gate.Turn();
  if (turn != VersionTurn::kNext) return turn;
  for (const TargetName& it : request.tried) {
    const auto target = targets_.find(it);
    if (target == targets_.end()) continue;
    if (gate.IsNext(target->second.entry.version)) return VersionTurn::kOthers;
  }
  return turn;
}

bool Placement::IsNextAlone(const PlacementRequest& request,
                            const VersionGate& gate) const {
  if (gate.rule().next.empty() || !gate.rule().next_alone) return false;
  return std::none_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const State& state = it.second;
    return IsEligible(state, request) &&
           gate.Takes(VersionTurn::kOthers, state.entry.version);
  });
}

// A version that gets a part of the requests gets it at that part of its
// targets, so that they bear what the others do. All routers take the same.
void Placement::ChoosePartTakers(const ServiceName& service) {
  const VersionGate& gate = GateOf(service);
  std::vector<std::pair<std::uint64_t, State*>> next;
  std::size_t others = 0;
  for (auto& [name, state] : targets_) {
    if (state.entry.service != service || !TakesWork(state)) continue;
    state.takes_part = false;
    if (!gate.IsNext(state.entry.version)) {
      ++others;
      continue;
    }
    const std::string& version = state.entry.version.value;
    next.emplace_back(RendezvousWeight(name.value, version), &state);
  }
  const auto wanted = static_cast<std::size_t>(
      std::lround(gate.rule().share * static_cast<double>(others)));
  const std::size_t takers =
      std::min(next.size(), std::max(kLeastPartTakers, wanted));
  std::sort(next.rbegin(), next.rend());
  for (std::size_t n = 0; n < takers; ++n) next[n].second->takes_part = true;
}

double Placement::PeersMs(Instant now, const State& state) {
  return std::max(0.0, Milliseconds(state.peers_busy_until - now));
}

double Placement::FirstEventMs(const State& state, const Candidates& among) {
  const Tokens tokens =
      state.prefill +
      PrefillTokens(state.prefixes, among.request, among.IsPreferred(state));
  return among.speed.FirstEventMs(tokens) + PeersMs(among.now, state);
}

double Placement::EngineMs(const State& state, const Candidates& among) {
  double out = FirstEventMs(state, among);
  out += state.running * kPerRunningMs;
  if (!among.IsPreferred(state)) out += kNotPreferredMs;
  return out;
}

double Placement::QueueMs(const State& state) {
  const double slots = std::max(1, state.entry.slots);
  return state.running / slots * kBaseAnswerMs;
}

double Placement::Cost(const State& state, const Candidates& among) const {
  const double work = among.request.ForEngine()
                          ? EngineMs(state, among)
                          : QueueMs(state) + kBaseAnswerMs;
  double out = work * state.slowness;
  if (state.entry.hall != hall_) out += kOtherHallMs;
  out += state.health.FailureShare(among.now) * kFailureMs;
  return out;
}

bool Placement::Candidates::Suits(const State& state) const {
  if (!IsEligible(state, request)) return false;
  if (!gate.Takes(turn, state.entry.version)) return false;
  const bool has_part = turn == VersionTurn::kNext && gate.rule().share < 1;
  if (has_part && !state.takes_part) return false;
  return !only_settled || IsSettled(now, state, gate);
}

std::optional<PlacementChoice> Placement::Choose(
    Instant now, const PlacementRequest& request) const {
  const VersionGate& gate = GateOf(request.service);
  Candidates among{now, request, SpeedOf(request.service), gate};
  among.turn = TurnOf(request, gate);
  among.only_settled = HasSettled(now, request, gate);
  if (auto out = ChooseAmong(among)) return out;
  if (among.turn == VersionTurn::kNext) {
    among.turn = VersionTurn::kOthers;
  } else if (IsNextAlone(request, gate)) {
    among.turn = VersionTurn::kAny;
  } else {
    return std::nullopt;
  }
  return ChooseAmong(among);
}

std::optional<PlacementChoice> Placement::ChooseAmong(Candidates among) const {
  const Instant now = among.now;
  const PlacementRequest& request = among.request;
  among.preferred = PreferredTarget(among);
  const State* best = nullptr;
  Merit best_merit;
  for (const auto& [name, state] : targets_) {
    if (!among.Suits(state)) continue;
    if (request.tried.contains(name)) continue;
    if (!MaySend(now, state)) continue;
    const Merit merit{state.health.IsEjected(now), !IsDue(now, state),
                      Cost(state, among)};
    if (best != nullptr && !(merit < best_merit)) continue;
    best = &state;
    best_merit = merit;
  }
  if (best == nullptr) return std::nullopt;
  PlacementChoice out{best->entry, best_merit.cost_ms,
                      among.IsPreferred(*best)};
  if (request.ForEngine()) out.first_event_ms = FirstEventMs(*best, among);
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

bool Placement::IsWorthTelling(const PlacementRequest& request,
                               Tokens prefill) const {
  const double ms = SpeedOf(request.service).PrefillMs(prefill);
  return ms > Milliseconds(request.pause_limit) * kWorthTelling;
}

// Engines prefill one prompt after the other, so the times add up. Nobody says
// when a prompt is done or given up: the learned speed does.
void Placement::OnPeerSent(Instant now, const TargetName& name,
                           Tokens prefill) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  const double added = SpeedOf(state.entry.service).PrefillMs(prefill);
  const double busy = std::min(PeersMs(now, state) + added, kLongestBusyMs);
  state.peers_busy_until = now + FromMs(busy);
}

void Placement::OnAnswering(const TargetName& name, Tokens prefill,
                            Duration waited) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  PrefillSpeed& speed = speeds_[state.entry.service];
  // At least a millisecond, as nothing comes in no time.
  const double expected = std::max(1.0, speed.FirstEventMs(state.prefill));
  const double ratio =
      std::clamp(Milliseconds(waited) / expected, 1.0, kMaxSlowness);
  speed.OnFirstEvent(state.prefill, Milliseconds(waited));
  state.slowness += (ratio - state.slowness) * kSlownessWeight;
  state.prefill = std::max<Tokens>(0, state.prefill - prefill);
}

Placement::Speeds Placement::Learned() const {
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
  if (outcome == PlacementOutcome::kNeutral) return;
  state.health.Record(now, outcome != PlacementOutcome::kGood);
}

}  // namespace quaytrack
