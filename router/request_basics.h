// What the router knows of a request once it has been read and checked; the
// same for model calls and service calls. It doesn't change until the request
// ends.

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
  // The most that the request can cost; what is held of the budget.
  Tokens worst_case = 0;
  Instant arrived{};
  Instant deadline{};
  // May be sent again although an attempt may have run.
  bool repeatable = true;
  // Claimed in the key-value service before it is sent.
  bool needs_claim = false;
  // Digest of method, path and body; set if a key needs it.
  std::string digest;
  // Silence of a target after which an attempt has failed.
  Duration attempt_timeout = std::chrono::seconds(30);
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_BASICS_H_
