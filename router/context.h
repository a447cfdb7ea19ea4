// The components of the router that its requests use, by reference, and three
// callbacks into the Router. The Router owns the context, which outlives every
// request.

#ifndef QUAYTRACK_ROUTER_CONTEXT_H_
#define QUAYTRACK_ROUTER_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "bundle/bundle.h"
#include "evhttp/http_client.h"
#include "net/loop.h"
#include "route/retry_budget.h"
#include "route/target_book.h"
#include "route/wait_queue.h"
#include "router/bill_gate.h"
#include "router/charts.h"
#include "router/claim_driver.h"
#include "router/ledger_driver.h"
#include "router/metrics.h"
#include "router/peer_driver.h"

namespace quaytrack {

struct RouterContext {
  Loop& loop;
  const Clock& clock;
  HttpClient& http;
  Metrics& metrics;
  LedgerDriver& ledger;
  ClaimDriver& claims;
  TargetTable& targets;
  RetryBudget& retries;
  BillGate& gate;
  PeerDriver& peers;
  const ForwardChart& chart;
  Incarnation self;
  // Wait queues by group; each is created on first use.
  std::map<GroupName, WaitQueue>& queues;
  // Addresses by target. A removed target keeps its address, as requests in
  // flight may need the address.
  std::map<TargetName, std::string>& addresses;
  // Whether the router that owns a claim is proven dead.
  std::function<bool(const ClaimEntry&)> owner_is_dead;
  // Called when a target of the group may have room: assigns waiting requests
  // to targets.
  std::function<void(const GroupName&)> on_capacity;
  // Called when a request has ended and can be removed.
  std::function<void(const RequestId&)> on_request_ended;

  Instant Now() const { return clock.Now(); }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_CONTEXT_H_
