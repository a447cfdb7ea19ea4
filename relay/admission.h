// Admission reads the head of a caller's request and yields either what is
// needed to serve it, or the cause of its refusal.
//
//   Admission admission;
//   const auto refused = Admit({map, dialect, request, draw}, admission);
//   if (refused) ...  // the final answer, by relay/final_answer.h
//
// Checks, in this order; the first that fails decides:
//   1. A configuration is in force.
//   2. The head can be read, and has a request id.
//   3. A route matches its host and path, and could be read.
//   4. Its key is known to be one customer's, if the route needs one.
//   5. The service that the route selects is configured.
//   6. Route and customer have an allowed region in common (base/residency.h).
//   7. The deadline falls within the time that a planned stop, if there is one,
//      leaves for requests: a request cut by the stop is lost, but a refused
//      one can go to another router.
//
// The inputs are the current configuration, the request, one random number and
// the stop's latest deadline; equal inputs give equal results. Budgets
// (relay/budget_driver.h) and targets (dispatch/placement.h) are checked later.
// Deadlines are instants of the router's clock, costs are tokens.

#ifndef QUAYTRACK_RELAY_ADMISSION_H_
#define QUAYTRACK_RELAY_ADMISSION_H_

#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "http/caller_connection.h"
#include "relay/dialect.h"
#include "relay/final_answer.h"

namespace quaytrack {

struct AdmissionInput {
  // The current configuration; null before the router has read one.
  const ServiceMap* map = nullptr;
  const CallerDialect& dialect;
  const CallerRequest& request;
  // Random number, uniform in [0, 1), that selects one of the route's services.
  double draw = 0;
  // The value of PlannedStop::LatestDeadline (relay/planned_stop.h).
  Instant latest_deadline = Instant::max();
};

struct Admission {
  RequestFacts facts;
  // The configuration owns the objects that `route` and `service` point to.
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  // The customer whose key the request has; empty on routes that need no key.
  CustomerName customer;
  int customer_priority = 0;
  // The latest time at which the final answer is sent.
  Instant deadline{};
  // Upper bound of the request's cost in tokens; 0 for requests that no budget
  // pays for.
  Tokens worst_case = 0;
  // Input to the choice of a target.
  PlacementRequest placement;
};

// Returns std::nullopt if the request is admitted, else the cause of its
// refusal. On a refusal, `out` holds what was read up to that point, for the
// log.
std::optional<RelayCause> Admit(const AdmissionInput& input, Admission& out);

// Returns why an admitted request may not be sent, now that `map` is in force:
// its key isn't its customer's any more, or is needed only now. The rest of an
// admission stays as it was. `head` is that of the request.
std::optional<RelayCause> RefusalByLater(const ServiceMap& map,
                                         const HttpHead& head,
                                         const Admission& admission);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ADMISSION_H_
