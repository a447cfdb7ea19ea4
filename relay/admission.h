// Admission: from the head of a caller's request to what the rest of its way
// needs, or to the cause why it is refused at once.
//
//   Admission admission;
//   const auto refused = Admit({map, dialect, request, draw}, admission);
//   if (refused) ...  // the final answer, by relay/final_answer.h
//
// The rule, in this order, first failure first:
//   1. a configuration is in force;
//   2. the head can be read, and has a request id;
//   3. a route takes its host and path;
//   4. its key is known, where the route needs one;
//   5. the service that the route sends it to is configured;
//   6. route and customer allow some region in common (base/residency.h);
//   7. a planned stop, if there is one, leaves it the time until its deadline:
//      what a stop cuts is lost, what it refuses can go to another router.
//
// Inputs are the configuration in force, the request, one random number and the
// stop's latest deadline, so the same inputs give the same verdict.
// Budgets (relay/budget_driver.h) and targets (dispatch/placement.h) come
// later.

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
  // The configuration in force; null before the first.
  const ServiceMap* map = nullptr;
  const CallerDialect& dialect;
  const CallerRequest& request;
  // Uniform in [0, 1): which of a route's services takes the request.
  double draw = 0;
  // See relay/planned_stop.h.
  Instant latest_deadline = Instant::max();
};

struct Admission {
  RequestFacts facts;
  // Both belong to the configuration.
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  // Empty on routes that need no key.
  CustomerName customer;
  int customer_priority = 0;
  // When the final answer leaves at the latest.
  Instant deadline{};
  // The most that it may cost, in tokens; 0 for what no budget pays for.
  Tokens worst_case = 0;
  // What a target is chosen by.
  PlacementRequest placement;
};

// Nothing if the request is admitted, else why it is not. A refusal leaves in
// `out` what was understood up to there, for the log.
std::optional<RelayCause> Admit(const AdmissionInput& input, Admission& out);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ADMISSION_H_
