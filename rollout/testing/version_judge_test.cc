// Simulates good versions, and versions that are bad in several ways, with
// fixed random seeds: how many good ones are withdrawn, and how many bad
// answers a bad one gives before it is withdrawn.

#include "rollout/version_judge.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <random>
#include <string>

namespace quaytrack {
namespace {

// The platform's limit on the bad answers that a bad version may give.
constexpr int kMaxBadAnswers = 50;
constexpr int kSeeds = 200;

struct Scenario {
  // Share of the version's answers that fail, and the factor on their times, by
  // route and by the number of answers that the version has given so far.
  std::function<double(const std::string& route, int given)> fails;
  std::function<double(const std::string& route, int given)> slower;
  // Share of answers that fail in both versions.
  double base_fails = 0.004;
  // Factor on the time until an answer of the version begins, while its caches
  // are empty.
  double cold = 1;
  // Answers of the current version for each answer of the new one.
  int per_answer = 16;
};

double Zero(const std::string&, int) { return 0; }
double One(const std::string&, int) { return 1; }

Scenario Good() { return {Zero, One}; }

struct Outcome {
  bool withdrawn = false;
  // Answers before it was withdrawn.
  int bad_answers = 0;
  int answers = 0;
  bool was_good = false;
};

class SimulatedRollout {
 public:
  SimulatedRollout(std::uint32_t seed, Scenario scenario)
      : random_(seed), scenario_(std::move(scenario)) {}

  Outcome Run(int max_answers) {
    Outcome out;
    while (out.answers < max_answers) {
      // The reports of one second.
      for (int n = 0; n < 20; ++n) {
        out.bad_answers += Answer(true, out.answers) ? 1 : 0;
        ++out.answers;
        for (int i = 0; i < scenario_.per_answer; ++i) Answer(false, 0);
      }
      evaluator_.Observe(evidence_);
      out.was_good = out.was_good || evaluator_.IsGood();
      if (!evaluator_.IsBad()) continue;
      out.withdrawn = true;
      return out;
    }
    return out;
  }

 private:
  // Returns whether it was a bad answer.
  bool Answer(bool is_next, int given) {
    const int n = static_cast<int>(random_() % 100);
    const std::string route = n < 45 ? "review" : n < 92 ? "summary" : "chat";
    const double fails = is_next ? scenario_.fails(route, given) : 0;
    const double slower = is_next ? scenario_.slower(route, given) : 1;
    AttemptOutcome seen;
    seen.failed = Uniform() < scenario_.base_fails + fails;
    if (!seen.failed) {
      const double cold = is_next && Uniform() < 0.5 ? scenario_.cold : 1;
      seen.first_event = Spread(route == "review" ? 1.4 : 1.0) * slower * cold;
      if (route != "summary") seen.pause = Spread(40) * slower;
    }
    evidence_.Add(route, is_next, seen);
    return seen.failed || slower > 1;
  }
  double Uniform() { return static_cast<double>(random_()) / 4294967296.0; }
  double Spread(double middle) {
    std::normal_distribution<double> log(0, 0.35);
    return middle * std::exp(log(random_));
  }

  std::mt19937 random_;
  Scenario scenario_;
  VersionEvidence evidence_;
  VersionEvaluator evaluator_;
};

struct Results {
  int withdrawn = 0;
  int good = 0;
  // Versions that gave more bad answers than they may.
  int over_limit = 0;
};

Results Simulate(const char* name, const Scenario& scenario, int max_answers) {
  Results out;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome it = SimulatedRollout(seed, scenario).Run(max_answers);
    out.withdrawn += it.withdrawn ? 1 : 0;
    out.good += it.was_good ? 1 : 0;
    out.over_limit += it.bad_answers > kMaxBadAnswers ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(name << ": withdrawn " << out.withdrawn << ", good "
                          << out.good << ", late " << out.over_limit << " of "
                          << kSeeds);
  return out;
}

void ExpectKept(const char* name, const Scenario& scenario) {
  const Results it = Simulate(name, scenario, 1000);
  BOOST_TEST(it.withdrawn <= kSeeds / 100, name);
  BOOST_TEST(it.good >= kSeeds * 99 / 100, name);
}

void ExpectWithdrawn(const char* name, const Scenario& scenario,
                     int max_answers = 2000) {
  const Results it = Simulate(name, scenario, max_answers);
  BOOST_TEST(it.withdrawn >= kSeeds * 99 / 100, name);
  BOOST_TEST(it.over_limit <= kSeeds / 100, name);
}

BOOST_AUTO_TEST_CASE(AGoodVersionIsKept) {
  ExpectKept("good", Good());
  Scenario failing = Good();
  failing.base_fails = 0.14;
  ExpectKept("good, where one in seven answers fails", failing);
  Scenario cold = Good();
  cold.cold = 2.5;
  ExpectKept("good, with empty caches", cold);
}

// The version has engines in a dark hall, and so does the current version.
BOOST_AUTO_TEST_CASE(ATroubleThatMeetsBothIsNoDifference) {
  Scenario dark = Good();
  dark.base_fails = 0.3;
  const Results it = Simulate("dark", dark, 1000);
  BOOST_TEST(it.withdrawn <= kSeeds / 100);
}

BOOST_AUTO_TEST_CASE(AVersionThatFailsIsWithdrawn) {
  for (const double share : {0.3, 0.6, 1.0}) {
    Scenario scenario = Good();
    scenario.fails = [share](const std::string&, int) { return share; };
    ExpectWithdrawn("fails", scenario);
  }
}

BOOST_AUTO_TEST_CASE(AVersionThatFailsOnOneRouteIsWithdrawn) {
  Scenario scenario = Good();
  scenario.fails = [](const std::string& route, int) {
    return route == "chat" ? 0.5 : 0.0;
  };
  ExpectWithdrawn("fails on one route", scenario);
}

BOOST_AUTO_TEST_CASE(ASlowVersionIsWithdrawn) {
  for (const double times : {4.0, 8.0}) {
    Scenario scenario = Good();
    scenario.slower = [times](const std::string&, int) { return times; };
    ExpectWithdrawn("slow", scenario);
  }
}

// Many good answers at the start do not hide later failures.
BOOST_AUTO_TEST_CASE(AVersionThatTurnsBadLateIsWithdrawn) {
  Scenario scenario = Good();
  scenario.fails = [](const std::string&, int given) {
    return given < 1000 ? 0.0 : 0.4;
  };
  ExpectWithdrawn("fails late", scenario, 4000);
}

// There is no evidence for a route without answers of the version.
BOOST_AUTO_TEST_CASE(ARouteWithoutAnswersIsNoProof) {
  VersionEvidence evidence;
  for (int n = 0; n < 500; ++n) {
    evidence.Add("review", true, {});
    evidence.Add("review", false, {});
    evidence.Add("chat", false, {});
  }
  VersionEvaluator evaluator;
  evaluator.Observe(evidence);
  BOOST_TEST(!evaluator.IsGood());
  BOOST_TEST(evaluator.IsProbablyGood());
}

// A router that reported many answers is gone, and its counts with it.
BOOST_AUTO_TEST_CASE(CountsThatFallCountAsNone) {
  VersionEvidence many;
  VersionEvidence few;
  for (int n = 0; n < 100; ++n) {
    many.Add("review", true, {});
    many.Add("review", false, {});
  }
  few.Add("review", true, {true, {}, {}});
  VersionEvaluator evaluator;
  evaluator.Observe(many);
  evaluator.Observe(few);
  evaluator.Observe(many);
  BOOST_TEST(!evaluator.IsBad());
  BOOST_TEST(evaluator.IsGood());
}

}  // namespace
}  // namespace quaytrack
