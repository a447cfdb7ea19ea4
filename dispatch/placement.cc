#include "dispatch/placement.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace quaytrack {
namespace {

// Prompt tokens that an engine prefills in a millisecond.
constexpr double kPrefillTokensPerMs = 50;
constexpr double kPerRunningMs = 3;
constexpr double kOtherHallMs = 8;
// For a target that isn't the preferred one, so that equal costs don't spread a
// part over all of them.
constexpr double kNotPreferredMs = 150;
// What a target that fails every request is charged.
constexpr double kFailureMs = 4000;
// Weight of the newest answer in a target's slowness.
constexpr double kSmoothing = 0.2;
constexpr double kMostSlowness = 20;
// First part of an answer's time that doesn't depend on the prompt.
constexpr double kFixedAnswerMs = 40;

double Milliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// The deepest part that other requests may share; the last is its own.
std::optional<std::uint64_t> SharedPart(const PlacementRequest& request) {
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
  const auto part = SharedPart(request);
  if (!part) return nullptr;
  const std::string key = std::to_string(*part);
  const State* out = nullptr;
  std::uint64_t best = 0;
  for (const auto& [name, state] : targets_) {
    const bool fits =
        state.entry.service == request.service && !state.entry.leaving;
    if (!fits) continue;
    const std::uint64_t weight = RendezvousWeight(name.value, key);
    if (out != nullptr && weight <= best) continue;
    out = &state;
    best = weight;
  }
  return out;
}

double Placement::Cost(Instant now, const State& state,
                       const PlacementRequest& request,
                       bool is_preferred) const {
  double out = 0;
  if (request.ForEngine()) {
    const Tokens tokens =
        state.prefill + PrefillTokens(state.prefixes, request, is_preferred);
    out += static_cast<double>(tokens) / kPrefillTokensPerMs;
    out += state.running * kPerRunningMs;
    if (!is_preferred) out += kNotPreferredMs;
  } else {
    const double slots = std::max(1, state.entry.slots);
    out += state.running / slots * kFixedAnswerMs;
  }
  out = (out + kFixedAnswerMs) * state.slowness;
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
    const bool better =
        best == nullptr ||
        (ejected == best_is_ejected ? cost < best_cost : best_is_ejected);
    if (!better) continue;
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
      kFixedAnswerMs + static_cast<double>(state.prefill) / kPrefillTokensPerMs;
  const double ratio =
      std::clamp(Milliseconds(waited) / expected, 1.0, kMostSlowness);
  state.slowness += (ratio - state.slowness) * kSmoothing;
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
