// The properties of a request that has been read and checked, for model calls
// and service calls alike. They don't change until the request ends. All
// amounts are prepaid tokens (base/ids.h).

#ifndef QUAYTRACK_ROUTER_REQUEST_BASICS_H_
#define QUAYTRACK_ROUTER_REQUEST_BASICS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "route/target_book.h"
#include "router/request_reader.h"

namespace quaytrack {

struct RequestBasics {
  RequestId request;
  CallerHeaders headers;
  BudgetName budget;
  int customer_weight = 1;
  GroupName group;
  std::uint64_t prefix_hash = 0;
  // Upper bound of the cost; this amount is held of the budget.
  Tokens worst_case = 0;
  Instant arrived{};
  Instant deadline{};
  // Whether the call may be sent again although an earlier attempt may have
  // run.
  bool repeatable = true;
  // Whether the call must be claimed in the key-value service (claim/claim.h)
  // before it is sent.
  bool needs_claim = false;
  // Digest of the call: path and body of a model call (set only if the caller
  // sent a key); method, paths and body of a service call.
  std::string digest;
  // An attempt fails when its target sends nothing for this long.
  Duration attempt_timeout = std::chrono::seconds(30);
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_BASICS_H_
