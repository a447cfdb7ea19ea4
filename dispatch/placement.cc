#include "dispatch/placement.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/digest.h"

namespace quaytrack {
namespace {

// The charges of the rule in placement.h. "First version" is commit df506c1,
// which gives no measurement of them.

// Prompt tokens that an engine prefills in a millisecond. Not measured; the
// sites' sheets of the two deployments state 50.7.
constexpr double kPrefillTokensPerMs = 50;
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
// Milliseconds of an answer that don't depend on its prompt; also what a wait
// for one occupied slot costs. Not measured; first version.
constexpr double kBaseAnswerMs = 40;
// Weight of the newest answer in a target's slowness. Not measured; first
// version.
constexpr double kSlownessWeight = 0.2;
// The most that one answer counts, in expected times, so that a stalled one
// doesn't rule its target out for long. Not measured; first version.
constexpr double kMaxSlowness = 20;

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

void Placement::SetTargets(const std::map<TargetName, TargetEntry>& entries) {
  std::erase_if(targets_,
                [&](const auto& it) { return !entries.contains(it.first); });
  for (const auto& [name, entry] : entries) targets_[name].entry = entry;
}

const Placement::State* Placement::PreferredTarget(
    const PlacementRequest& request) const {
  const auto part = DeepestSharedPart(request);
  if (!part) return nullptr;
  const std::string key = std::to_string(*part);
  const State* out = nullptr;
  std::uint64_t best = 0;
  for (const auto& [name, state] : targets_) {
    const TargetEntry& entry = state.entry;
    if (entry.service != request.service || entry.leaving) continue;
    const std::uint64_t weight = RendezvousWeight(name.value, key);
    if (out != nullptr && weight <= best) continue;
    out = &state;
    best = weight;
  }
  return out;
}

double Placement::EngineMs(const State& state, const PlacementRequest& request,
                           bool is_preferred) {
  const Tokens tokens =
      state.prefill + PrefillTokens(state.prefixes, request, is_preferred);
  double out = static_cast<double>(tokens) / kPrefillTokensPerMs;
  out += state.running * kPerRunningMs;
  if (!is_preferred) out += kNotPreferredMs;
  return out;
}

double Placement::QueueMs(const State& state) {
  const double slots = std::max(1, state.entry.slots);
  return state.running / slots * kBaseAnswerMs;
}

double Placement::Cost(Instant now, const State& state,
                       const PlacementRequest& request,
                       bool is_preferred) const {
  const double work = request.ForEngine()
                          ? EngineMs(state, request, is_preferred)
                          : QueueMs(state);
  double out = (work + kBaseAnswerMs) * state.slowness;
  if (state.entry.hall != hall_) out += kOtherHallMs;
  out += state.health.FailureShare(now) * kFailureMs;
  return out;
}

std::optional<PlacementChoice> Placement::Choose(
    Instant now, const PlacementRequest& request) const {
  const State* preferred = PreferredTarget(request);
  const State* best = nullptr;
  bool best_is_ejected = false;
  double best_cost = 0;
  for (const auto& [name, state] : targets_) {
    const TargetEntry& entry = state.entry;
    if (entry.service != request.service || entry.leaving) continue;
    if (request.tried.contains(name)) continue;
    const bool ejected = state.health.IsEjected(now);
    const double cost = Cost(now, state, request, &state == preferred);
    const bool cheaper =
        ejected == best_is_ejected ? cost < best_cost : best_is_ejected;
    if (best != nullptr && !cheaper) continue;
    best = &state;
    best_is_ejected = ejected;
    best_cost = cost;
  }
  if (best == nullptr) return std::nullopt;
  return PlacementChoice{best->entry, best_cost, best == preferred};
}

Tokens Placement::OnSent(Instant now, const TargetName& name,
                         const PlacementRequest& request, bool is_preferred) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return 0;
  State& state = it->second;
  ++state.running;
  if (!request.ForEngine()) return 0;
  const Tokens prefill = PrefillTokens(state.prefixes, request, is_preferred);
  state.prefill += prefill;
  state.prefixes.OnSent(now, request.parts);
  return prefill;
}

void Placement::OnAnswering(const TargetName& name, Tokens prefill,
                            Duration waited) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  const double expected =
      kBaseAnswerMs + static_cast<double>(state.prefill) / kPrefillTokensPerMs;
  const double ratio =
      std::clamp(Milliseconds(waited) / expected, 1.0, kMaxSlowness);
  state.slowness += (ratio - state.slowness) * kSlownessWeight;
  state.prefill = std::max<Tokens>(0, state.prefill - prefill);
}

void Placement::OnEnded(Instant now, const TargetName& name, Tokens prefill,
                        PlacementOutcome outcome) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  State& state = it->second;
  state.running = std::max(0, state.running - 1);
  state.prefill = std::max<Tokens>(0, state.prefill - prefill);
  if (outcome == PlacementOutcome::kNeutral) return;
  state.health.Record(now, outcome != PlacementOutcome::kGood);
}

}  // namespace quaytrack
