// Chooses the target of a request among those of its service.
//
//   placement.SetTargets(entries);
//   auto choice = placement.Choose(now, request);
//   Tokens prefill = placement.OnSent(now, name, request, choice.is_preferred);
//   placement.OnAnswering(now, name, prefill, waited);
//   placement.OnEnded(now, name, 0, PlacementOutcome::kGood);
//
// Engines. A prompt is a list of parts, of which all but the last are shared
// between requests. An engine that keeps the shared parts reads only the rest,
// and all that is read holds up everything beside it. So each target is given
// an expected cost in milliseconds, and the cheapest is chosen:
//
//     tokens waiting to be read there / reading speed
//   + tokens of this prompt that it isn't taken to keep / reading speed
//   + a little for each running request, and for a target in another hall
//   + a penalty for recent failures and slowness
//
// What an engine keeps is known only for this router's own sends. To make the
// routers agree without talking, the deepest shared part has a home: the first
// of a rendezvous order (Thaler and Ravishankar 1998) over the targets, which
// is taken to keep it. Under load the cost of waiting at the home exceeds that
// of reading the part elsewhere, so the load is bounded as in consistent
// hashing with bounded loads (Mirrokni et al. 2018).
//
// Other services: the least of outstanding requests per slot, same hall first.

#ifndef QUAYTRACK_DISPATCH_PLACEMENT_H_
#define QUAYTRACK_DISPATCH_PLACEMENT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/prefix_cache.h"
#include "fleet/target_registry.h"

namespace quaytrack {

struct PlacementRequest {
  ServiceName service;
  // Empty for services other than engines.
  std::vector<PromptPart> parts;
  Tokens prompt_tokens = 0;
  // Targets that must not be chosen.
  std::set<TargetName> tried;

  bool ForEngine() const { return prompt_tokens > 0; }
};

// How a request ended at a target, as far as it speaks for or against it.
enum class PlacementOutcome { kGood, kFailed, kTurnedAway, kNeutral };

// A target, and what decided for it.
struct PlacementChoice {
  TargetEntry target;
  double cost_ms = 0;
  // It is the preferred target of the prompt's shared part.
  bool is_preferred = false;
};

class Placement {
 public:
  // `hall` is the one that this router is in.
  explicit Placement(HallName hall) : hall_(std::move(hall)) {}

  // What is known of a target that stays is kept.
  void SetTargets(const std::map<TargetName, TargetEntry>& entries);

  // The target, or nothing if every one is leaving or tried. An ejected
  // target is chosen only if all are ejected.
  std::optional<PlacementChoice> Choose(Instant now,
                                        const PlacementRequest& request) const;

  // Returns the tokens that the target is expected to read for it.
  // `is_preferred` is as `Choose` has found it.
  Tokens OnSent(Instant now, const TargetName& name,
                const PlacementRequest& request, bool is_preferred);
  // Its answer began, after `waited`; `prefill` is what OnSent returned.
  void OnAnswering(const TargetName& name, Tokens prefill, Duration waited);
  // `prefill`: what OnSent returned, or 0 after OnAnswering.
  void OnEnded(Instant now, const TargetName& name, Tokens prefill,
               PlacementOutcome outcome);

 private:
  struct State {
    TargetEntry entry;
    int running = 0;
    Tokens prefill = 0;
    // Answer times over expected ones, smoothed.
    double slowness = 1;
    OutlierEjection health;
    PrefixCache prefixes;
  };

  double Cost(Instant now, const State& state, const PlacementRequest& request,
              bool is_preferred) const;
  const State* PreferredTarget(const PlacementRequest& request) const;

  HallName hall_;
  std::map<TargetName, State> targets_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PLACEMENT_H_
