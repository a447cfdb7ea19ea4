#include "rollout/version_judge.h"

#include <algorithm>
#include <cmath>

namespace quaytrack {
namespace {

// Allowance: a share of bad answers of the version that is up to this much
// above that of the current version counts as no worse. The share of the
// current version also has an error, as it may come from few answers.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 0.02;
// The excess over the allowance that the test detects.
constexpr double kWorseBy = 0.2;
constexpr double kMaxAllowed = 0.6;
constexpr double kMaxWorse = 0.95;
// Answers of the current version, and bad ones among them, that are assumed
// before any is seen.
constexpr double kPriorAnswers = 10;
constexpr double kPriorBad = 0.5;

// An answer begins late if it takes more than this many medians. A prompt that
// is not cached costs up to three times as much as a cached one.
constexpr double kLateFactor = 4;
// Events come slowly if the pause between them is above this many medians; the
// pause does not depend on caches.
constexpr double kSlowFactor = 2.5;
// Minimum number of times of the current version for a median.
constexpr std::uint64_t kMinTimes = 15;

// Minimum number of answers of the version on each route that has at least
// `kMinRouteShare` of the requests of the service.
constexpr double kMinRouteShare = 0.05;
constexpr std::uint64_t kMinRouteAnswers = 12;

// Log likelihood ratio of one answer.
double LogLikelihoodRatio(double allowed, double worse, bool bad) {
  return bad ? std::log(worse / allowed)
             : std::log((1 - worse) / (1 - allowed));
}

std::uint64_t Increase(std::uint64_t now, std::uint64_t before) {
  return now > before ? now - before : 0;
}

}  // namespace

double VersionEvaluator::Update(const std::string& route, Symptom symptom,
                                const Count& next, const Count& current) {
  const double baseline =
      (static_cast<double>(current.bad) + kPriorBad) /
      (static_cast<double>(current.answers) + kPriorAnswers);
  const double allowed =
      std::min(kMaxAllowed, baseline * kAllowedFactor + kAllowedExtra);
  const double worse = std::min(kMaxWorse, allowed + kWorseBy);
  Cusum& cusum = cusums_[{route, symptom}];
  const std::uint64_t answers = Increase(next.answers, cusum.counted.answers);
  const std::uint64_t bad =
      std::min(answers, Increase(next.bad, cusum.counted.bad));
  cusum.counted = next;
  const double change =
      static_cast<double>(bad) * LogLikelihoodRatio(allowed, worse, true) +
      static_cast<double>(answers - bad) *
          LogLikelihoodRatio(allowed, worse, false);
  cusum.sum = std::max(0.0, cusum.sum + change);
  if (cusum.sum > worst_.sum) {
    worst_ = {route, symptom, next.answers, next.bad, baseline, cusum.sum};
  }
  return change;
}

void VersionEvaluator::ObserveSlower(const std::string& route, Symptom symptom,
                                     double factor, const TimeHistogram& next,
                                     const TimeHistogram& current) {
  if (current.total() < kMinTimes) return;
  const double limit = current.Median() * factor;
  Update(route, symptom, {next.total(), next.CountAbove(limit)},
         {current.total(), current.CountAbove(limit)});
}

void VersionEvaluator::ObserveRoute(const std::string& route,
                                    const RouteEvidence& next,
                                    const RouteEvidence& current) {
  accepted_ += Update(route, Symptom::kFailed, {next.answers, next.failed},
                      {current.answers, current.failed});
  ObserveSlower(route, Symptom::kLate, kLateFactor, next.first_event,
                current.first_event);
  ObserveSlower(route, Symptom::kSlow, kSlowFactor, next.pause, current.pause);
}

void VersionEvaluator::Observe(const VersionEvidence& evidence) {
  static const RouteEvidence kNone;
  worst_ = {};
  for (const auto& [route, it] : evidence.next) {
    const auto current = evidence.current.find(route);
    const bool known = current != evidence.current.end();
    ObserveRoute(route, it, known ? current->second : kNone);
  }
  const auto all = static_cast<double>(AnswersOf(evidence.current));
  has_too_few_answers_ = false;
  for (const auto& [route, it] : evidence.current) {
    if (static_cast<double>(it.answers) < all * kMinRouteShare) continue;
    const auto next = evidence.next.find(route);
    const bool known = next != evidence.next.end();
    if (!known || next->second.answers < kMinRouteAnswers)
      has_too_few_answers_ = true;
  }
}

bool VersionEvaluator::IsGood() const {
  return !has_too_few_answers_ && accepted_ <= kAccept &&
         worst_.sum < kNearAlarm;
}

}  // namespace quaytrack
