// What a request needs of the router that serves it: the router's parts, by
// reference, and three things that only the router as a whole can do. Owned by
// the Router, and outlives every request.

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
  TargetBook& targets;
  RetryBudget& retries;
  BillGate& gate;
  PeerDriver& peers;
  const ForwardChart& chart;
  Incarnation self;
  // Queues by group; made on first use.
  std::map<GroupName, WaitQueue>& queues;
  // Addresses by target, of the bundle in force.
  std::map<TargetName, std::string>& addresses;
  // Whether the router that holds a claim is proven dead.
  std::function<bool(const ClaimEntry&)> owner_is_dead;
  // A target may have room: let waiting requests go.
  std::function<void(const GroupName&)> room_in;
  // The request has ended and can be forgotten.
  std::function<void(const RequestId&)> ended;

  Instant Now() const { return clock.Now(); }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_CONTEXT_H_
