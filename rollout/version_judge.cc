#include "rollout/version_judge.h"

#include <algorithm>
#include <cmath>

namespace quaytrack {
namespace {

// A version without failures of its own may have this part more than the
// present one, whose part is known from few answers, too.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowed = 0.02;
// What the test looks for beyond that.
constexpr double kWorseBy = 0.2;
constexpr double kMostUsual = 0.6;
constexpr double kMostWorse = 0.95;
// Answers of the present version, and failures among them, that are assumed
// before any is seen.
constexpr double kPriorAnswers = 10;
constexpr double kPriorBad = 0.5;

// Begins late: what wasn't prefilled yet costs up to three times what is cached
// already.
constexpr double kLateFactor = 4;
// Comes slowly: events don't depend on what is cached.
constexpr double kSlowFactor = 2.5;
// Times of the present version that make a usual one.
constexpr std::uint64_t kLeastTimes = 15;

// Answers of the version on a route that has at least this part of the
// service's requests.
constexpr double kLeastPart = 0.05;
constexpr std::uint64_t kLeastAnswers = 12;

// Log likelihood ratio of one answer.
double Ratio(double usual, double worse, bool bad) {
  return bad ? std::log(worse / usual) : std::log((1 - worse) / (1 - usual));
}

std::uint64_t Risen(std::uint64_t now, std::uint64_t before) {
  return now > before ? now - before : 0;
}

}  // namespace

double VersionJudge::Step(const std::string& route, Symptom symptom,
                          const Count& next, const Count& current) {
  const double part = (static_cast<double>(current.bad) + kPriorBad) /
                      (static_cast<double>(current.answers) + kPriorAnswers);
  const double usual = std::min(kMostUsual, part * kAllowedFactor + kAllowed);
  const double worse = std::min(kMostWorse, usual + kWorseBy);
  Line& line = lines_[{route, symptom}];
  const std::uint64_t answers = Risen(next.answers, line.seen.answers);
  const std::uint64_t bad = std::min(answers, Risen(next.bad, line.seen.bad));
  line.seen = next;
  const double change =
      static_cast<double>(bad) * Ratio(usual, worse, true) +
      static_cast<double>(answers - bad) * Ratio(usual, worse, false);
  line.sum = std::max(0.0, line.sum + change);
  if (line.sum > worst_.sum) {
    worst_ = {route, symptom, next.answers, next.bad, part, line.sum};
  }
  return change;
}

void VersionJudge::ObserveSlower(const std::string& route, Symptom symptom,
                                 double factor, const TimeHistogram& next,
                                 const TimeHistogram& current) {
  if (current.total() < kLeastTimes) return;
  const double limit = current.Median() * factor;
  Step(route, symptom, {next.total(), next.CountAbove(limit)},
       {current.total(), current.CountAbove(limit)});
}

void VersionJudge::ObserveRoute(const std::string& route,
                                const RouteEvidence& next,
                                const RouteEvidence& current) {
  accepted_ += Step(route, Symptom::kFailed, {next.answers, next.failed},
                    {current.answers, current.failed});
  ObserveSlower(route, Symptom::kLate, kLateFactor, next.first, current.first);
  ObserveSlower(route, Symptom::kSlow, kSlowFactor, next.pause, current.pause);
}

void VersionJudge::Observe(const VersionEvidence& evidence) {
  static const RouteEvidence kNone;
  worst_ = {};
  for (const auto& [route, it] : evidence.next) {
    const auto current = evidence.current.find(route);
    const bool known = current != evidence.current.end();
    ObserveRoute(route, it, known ? current->second : kNone);
  }
  const auto all = static_cast<double>(AnswersOf(evidence.current));
  is_short_ = false;
  for (const auto& [route, it] : evidence.current) {
    if (static_cast<double>(it.answers) < all * kLeastPart) continue;
    const auto next = evidence.next.find(route);
    const bool known = next != evidence.next.end();
    if (!known || next->second.answers < kLeastAnswers) is_short_ = true;
  }
}

bool VersionJudge::IsGood() const {
  return !is_short_ && accepted_ <= kAccept && worst_.sum < kNear;
}

}  // namespace quaytrack
