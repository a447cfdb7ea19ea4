// VersionEvidence: counts of the answers of a service by route, separately for
// the version that is rolled out and for the others. The counts of many routers
// can be added.
//
//   VersionEvidence it;
//   it.Add("review", /*is_next=*/true, outcome);
//   total.Merge(it);
//
// The new version and the others are counted at the same time and on the same
// routes, so that load, unreachable halls and problems of callers affect all
// alike and count against none.

#ifndef QUAYTRACK_ROLLOUT_EVIDENCE_H_
#define QUAYTRACK_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rollout/time_histogram.h"

namespace quaytrack {

// How one attempt at a target ended.
struct AttemptOutcome {
  // Whether the target failed: it answered with an error of its own, or not
  // completely.
  bool failed = false;
  // Time until the answer began, divided by the time expected for the tokens to
  // be prefilled; if no such time is known, the time itself in milliseconds.
  std::optional<double> first_event;
  // Milliseconds between two events, on average.
  std::optional<double> pause;
};

struct RouteEvidence {
  std::uint64_t answers = 0;
  std::uint64_t failed = 0;
  TimeHistogram first_event;
  TimeHistogram pause;

  bool operator==(const RouteEvidence&) const = default;
};

// The evidence on each route, by the route's name.
using RoutesEvidence = std::map<std::string, RouteEvidence>;

// The evidence on one service.
struct VersionEvidence {
  // Evidence on the version that is rolled out.
  RoutesEvidence next;
  // Evidence on all other versions.
  RoutesEvidence current;

  void Add(const std::string& route, bool is_next,
           const AttemptOutcome& outcome);
  void Merge(const VersionEvidence& other);

  bool operator==(const VersionEvidence&) const = default;
};

// Number of answers on all routes.
std::uint64_t AnswersOf(const RoutesEvidence& routes);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_EVIDENCE_H_
