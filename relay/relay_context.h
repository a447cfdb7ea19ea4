// What a request needs of the router that relays it.

#ifndef QUAYTRACK_RELAY_RELAY_CONTEXT_H_
#define QUAYTRACK_RELAY_RELAY_CONTEXT_H_

#include <map>
#include <memory>
#include <random>
#include <set>

#include "base/clock.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "dispatch/retry_share.h"
#include "http/target_connection.h"
#include "relay/dialect.h"
#include "relay/relay_metrics.h"

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
  RetryShareOptions retry_options;
  std::size_t routers = 1;
  // The configuration in force; null before the first.
  ServiceMapPtr map;
  // Retries by service; made on first use.
  std::map<ServiceName, RetryShare> retries;
  std::set<std::shared_ptr<RelayedRequest>> requests;
  std::minstd_rand random{std::random_device{}()};

  Instant Now() const { return clock.Now(); }
  RetryShare& RetriesOf(const ServiceName& service) {
    auto& out = retries.try_emplace(service, retry_options).first->second;
    out.SetRouters(routers);
    return out;
  }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_CONTEXT_H_
