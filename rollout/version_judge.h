// VersionJudge: whether a version is worse than the one that it replaces.
//
//   VersionJudge judge;
//   judge.Observe(evidence);            // counts so far, again and again
//   if (judge.IsBad()) ...
//   if (judge.IsGood()) ...
//
// Three things are looked at for each route: the part of the answers that fail,
// the part that begins late, and the part whose events come slowly. Late and
// slow mean several times what is usual for the present version on that route
// (constants in the .cc). Each is a sequential probability ratio test (Wald
// 1945) between "no worse than the present version, with some allowance" and
// "worse by a fifth of the answers". The present version's part is measured
// beside it, so a trouble that meets both is no difference.
//
// Bad: a cumulative sum (Page 1954) of one of these passes `kAlarm`. It starts
// anew whenever it falls to nothing, so a version that turns bad late is found
// as soon as one that was bad from the beginning.
//
// Good: over all routes, the test of failures accepts with `kAccept`, no sum is
// near its alarm, and each route that has its share of the requests has been
// answered some times.
//
// It reads no clock and keeps the counts of the last call. Counts that have
// fallen, as a router that told of them is gone, count as none.

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

class VersionJudge {
 public:
  // A sum that a version no worse than the present one passes with a
  // probability of about e^-10 for each of its starts.
  static constexpr double kAlarm = 10;
  // A version that is worse by what the test looks for is accepted with a
  // probability of e^-4.6, 1 in 100.
  static constexpr double kAccept = -4.6;

  // What decided, for the log.
  struct Finding {
    std::string route;
    Symptom symptom = Symptom::kFailed;
    // Of the version that is rolled out.
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    // The part that the present version has.
    double usual = 0;
    // The cumulative sum.
    double sum = 0;
  };

  void Observe(const VersionEvidence& evidence);
  bool IsBad() const { return worst_.sum >= kAlarm; }
  bool IsGood() const;
  // Nothing speaks against it, though little is known.
  bool IsLeaningGood() const { return accepted_ <= 0 && worst_.sum < kNear; }
  // The largest sum.
  const Finding& worst() const { return worst_; }

 private:
  // Half of an alarm.
  static constexpr double kNear = kAlarm / 2;

  struct Count {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
  };
  struct Line {
    Count seen;
    double sum = 0;
  };

  void ObserveRoute(const std::string& route, const RouteEvidence& next,
                    const RouteEvidence& current);
  void ObserveSlower(const std::string& route, Symptom symptom, double factor,
                     const TimeHistogram& next, const TimeHistogram& current);
  double Step(const std::string& route, Symptom symptom, const Count& next,
              const Count& current);

  std::map<std::pair<std::string, Symptom>, Line> lines_;
  // Of the test of failures over all routes.
  double accepted_ = 0;
  // A route has had too few answers of the version for its part of the
  // requests.
  bool is_short_ = true;
  Finding worst_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_VERSION_JUDGE_H_
