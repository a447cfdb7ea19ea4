// VersionEvaluator: decides whether a version is worse than the one that it
// replaces.
//
//   VersionEvaluator evaluator;
//   evaluator.Observe(evidence);        // repeatedly, with the counts so far
//   if (evaluator.IsBad()) ...
//   if (evaluator.IsGood()) ...
//
// Three symptoms are tested on each route: the share of answers that fail, the
// share that begins late, and the share whose events come slowly. Late and slow
// mean several times the median of the current version on that route (constants
// in the .cc). Each is a sequential probability ratio test (Wald 1945) between
// "no worse than the current version, with an allowance" and "worse by a fifth
// of the answers". The current version's share is measured at the same time, so
// a problem that affects both versions makes no difference.
//
// Bad: a cumulative sum (Page 1954) of one test passes `kAlarm`. The sum never
// falls below zero, so a version that turns bad later is found as fast as one
// that was bad from the start.
//
// Good: over all routes, the sum of the test of failures has fallen to
// `kAccept`, no cumulative sum is near `kAlarm`, and the version has given some
// answers on each route that has a sufficient share of the requests.
//
// Does not read the clock. Keeps the counts of the last call. Counts that have
// fallen, because a router that reported them is gone, count as no new answers.

#ifndef QUAYTRACK_ROLLOUT_VERSION_JUDGE_H_
#define QUAYTRACK_ROLLOUT_VERSION_JUDGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/enum_table.h"
#include "rollout/evidence.h"

namespace quaytrack {

enum class Symptom { kFailed, kLate, kSlow };

template <>
struct EnumTable<Symptom> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<Symptom>>({{Symptom::kFailed, "failed"},
                                         {Symptom::kLate, "late"},
                                         {Symptom::kSlow, "slow"}});
};

class VersionEvaluator {
 public:
  // The cumulative sum of a version that is no worse than the current one
  // reaches this value with a probability of about e^-10 each time it starts
  // from zero.
  static constexpr double kAlarm = 10;
  // Value of the sum of the test of failures at which a version is accepted. A
  // version that is worse by the margin of the test is accepted with a
  // probability of e^-4.6, 1 in 100.
  static constexpr double kAccept = -4.6;

  // The result of one test, for the log.
  struct Finding {
    std::string route;
    Symptom symptom = Symptom::kFailed;
    // Number of answers of the version that is rolled out, and of bad ones
    // among them.
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    // The share of bad answers of the current version.
    double baseline = 0;
    // The cumulative sum.
    double sum = 0;
  };

  void Observe(const VersionEvidence& evidence);
  bool IsBad() const { return worst_.sum >= kAlarm; }
  bool IsGood() const;
  // Whether there is no evidence against the version, though there may be few
  // answers.
  bool IsProbablyGood() const {
    return accepted_ <= 0 && worst_.sum < kNearAlarm;
  }
  // The finding with the largest sum.
  const Finding& worst() const { return worst_; }

 private:
  // A sum from which an alarm counts as near.
  static constexpr double kNearAlarm = kAlarm / 2;

  struct Count {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
  };
  struct Cusum {
    Count counted;
    double sum = 0;
  };

  void ObserveRoute(const std::string& route, const RouteEvidence& next,
                    const RouteEvidence& current);
  void ObserveSlower(const std::string& route, Symptom symptom, double factor,
                     const TimeHistogram& next, const TimeHistogram& current);
  double Update(const std::string& route, Symptom symptom, const Count& next,
                const Count& current);

  std::map<std::pair<std::string, Symptom>, Cusum> cusums_;
  // Sum of the test of failures over all routes.
  double accepted_ = 0;
  // Whether some route with a sufficient share of the requests has too few
  // answers of the version.
  bool has_too_few_answers_ = true;
  Finding worst_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_VERSION_JUDGE_H_
