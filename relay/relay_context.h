// RelayContext holds references to the parts of the router that a request uses.
//
// Each must outlive every request; RelayRouter owns them or was given them. A
// request changes them only through their own interfaces, and never changes the
// context itself. The configuration is not part of it: a request keeps the one
// that it was admitted under.

#ifndef QUAYTRACK_RELAY_RELAY_CONTEXT_H_
#define QUAYTRACK_RELAY_RELAY_CONTEXT_H_

#include <functional>
#include <random>

#include "base/clock.h"
#include "dispatch/placement.h"
#include "http/target_connection.h"
#include "net/loop.h"
#include "relay/dialect.h"
#include "relay/planned_stop.h"
#include "relay/relay_chart.h"
#include "relay/relay_metrics.h"
#include "relay/retry.h"
#include "relay/running_requests.h"

namespace quaytrack {

class BudgetDriver;
class ConfigFollower;
class CrashWatch;
class ReachDriver;
class RolloutDriver;
class RunStopper;
class TargetFollower;
class VersionLookup;

// A prompt that was sent to an engine, as announced to peers.
struct SentPrompt {
  TargetName target;
  // Tokens of the prompt that the engine has not cached.
  Tokens prefill = 0;
};

struct RelayContext {
  Loop& loop;
  const Clock& clock;
  const RelayChart& chart;
  const CallerDialect& caller_dialect;
  const TargetDialect& target_dialect;
  // Each request uses the parts below.
  RunningRequests& requests;
  ConfigFollower& configs;
  std::minstd_rand& random;
  BudgetDriver& budgets;
  Placement& placement;
  TargetFollower& target_list;
  ReachDriver& reach;
  TargetConnections& targets;
  RetryShares& retries;
  CrashWatch& crashes;
  RolloutDriver& rollouts;
  VersionLookup& versions;
  RunStopper& run_stops;
  RelayMetrics& metrics;
  const PlannedStop& stop;
  std::function<void(const SentPrompt& sent)> announce_prompt;
  // Called when a target's answer states that the target is leaving.
  std::function<void(const TargetEntry& target)> on_target_leaving;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_CONTEXT_H_
