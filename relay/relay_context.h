// What a request needs of the router that relays it.

#ifndef QUAYTRACK_RELAY_RELAY_CONTEXT_H_
#define QUAYTRACK_RELAY_RELAY_CONTEXT_H_

#include <memory>
#include <random>
#include <set>

#include "base/clock.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "http/target_connection.h"
#include "relay/dialect.h"
#include "relay/relay_metrics.h"
#include "relay/retry.h"

namespace quaytrack {

class RelayedRequest;
class BudgetDriver;

struct RelayContext {
  Loop& loop;
  const Clock& clock;
  TargetConnections& targets;
  const CallerDialect& callers;
  const TargetDialect& target_dialect;
  Placement& placement;
  BudgetDriver& budgets;
  RelayMetrics& metrics;
  RetryShares& retries;
  // The configuration in force; null before the first.
  ServiceMapPtr map;
  std::set<std::shared_ptr<RelayedRequest>> requests;
  std::minstd_rand random{std::random_device{}()};

  Instant Now() const { return clock.Now(); }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_CONTEXT_H_
