// What answers show of a service's versions: counts by route, of the version
// that is rolled out and of the others, which many routers add up.
//
//   VersionEvidence it;
//   it.Add("review", answer);
//   total.Merge(it);
//
// Both versions are counted at the same time on the same routes, so that load,
// dark halls and troubles of callers, which meet both, speak against neither.

#ifndef QUAYTRACK_ROLLOUT_EVIDENCE_H_
#define QUAYTRACK_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rollout/time_histogram.h"

namespace quaytrack {

// How one attempt at a target ended.
struct AnswerSeen {
  // A failure of the target: an error of its own, or no whole answer.
  bool failed = false;
  // Time until the answer began, over the time that was expected for what had
  // to be prefilled; in milliseconds where nothing is expected.
  std::optional<double> first;
  // Milliseconds between two events, on average.
  std::optional<double> pause;
};

struct RouteEvidence {
  std::uint64_t answers = 0;
  std::uint64_t failed = 0;
  TimeHistogram first;
  TimeHistogram pause;

  bool operator==(const RouteEvidence&) const = default;
};

// By the route's name.
using RoutesEvidence = std::map<std::string, RouteEvidence>;

// Of one service.
struct VersionEvidence {
  // The version that is rolled out, and all others.
  RoutesEvidence next;
  RoutesEvidence current;

  void Add(const std::string& route, bool is_next, const AnswerSeen& answer);
  void Merge(const VersionEvidence& other);

  bool operator==(const VersionEvidence&) const = default;
};

// Answers on all routes.
std::uint64_t AnswersOf(const RoutesEvidence& routes);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_EVIDENCE_H_
