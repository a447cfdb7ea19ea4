// Drawn versions, good and bad in several ways, and what the judge makes of
// them: how many good ones are withdrawn, and how many bad answers a bad one
// gives before it is.

#include "rollout/version_judge.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <random>
#include <string>

namespace quaytrack {
namespace {

// The users' bound on what a bad version may do.
constexpr int kMostBadAnswers = 50;
constexpr int kDraws = 200;

struct Way {
  // Part of the answers that fail, and times as long, by route and by how many
  // answers the version has given so far.
  std::function<double(const std::string& route, int given)> fails;
  std::function<double(const std::string& route, int given)> slower;
  // Of both versions.
  double usual_fails = 0.004;
  // Times as long until a version's answers begin, as its caches are empty.
  double cold = 1;
  // The present version's answers, for each of the version's.
  int per_answer = 16;
};

double Nothing(const std::string&, int) { return 0; }
double AsUsual(const std::string&, int) { return 1; }

Way Good() { return {Nothing, AsUsual}; }

struct Drawn {
  bool withdrawn = false;
  // Given before it was.
  int bad_answers = 0;
  int answers = 0;
  bool was_good = false;
};

class Trial {
 public:
  Trial(std::uint32_t seed, Way way) : random_(seed), way_(std::move(way)) {}

  Drawn Run(int most_answers) {
    Drawn out;
    while (out.answers < most_answers) {
      // What routers tell each second.
      for (int n = 0; n < 20; ++n) {
        out.bad_answers += Answer(true, out.answers) ? 1 : 0;
        ++out.answers;
        for (int i = 0; i < way_.per_answer; ++i) Answer(false, 0);
      }
      judge_.Observe(evidence_);
      out.was_good = out.was_good || judge_.IsGood();
      if (!judge_.IsBad()) continue;
      out.withdrawn = true;
      return out;
    }
    return out;
  }

 private:
  // Returns whether it was a bad one.
  bool Answer(bool is_next, int given) {
    const int n = static_cast<int>(random_() % 100);
    const std::string route = n < 45 ? "review" : n < 92 ? "summary" : "chat";
    const double fails = is_next ? way_.fails(route, given) : 0;
    const double slower = is_next ? way_.slower(route, given) : 1;
    AnswerSeen seen;
    seen.failed = Part() < way_.usual_fails + fails;
    if (!seen.failed) {
      const double cold = is_next && Part() < 0.5 ? way_.cold : 1;
      seen.first = Spread(route == "review" ? 1.4 : 1.0) * slower * cold;
      if (route != "summary") seen.pause = Spread(40) * slower;
    }
    evidence_.Add(route, is_next, seen);
    return seen.failed || slower > 1;
  }
  double Part() { return static_cast<double>(random_()) / 4294967296.0; }
  double Spread(double middle) {
    std::normal_distribution<double> log(0, 0.35);
    return middle * std::exp(log(random_));
  }

  std::mt19937 random_;
  Way way_;
  VersionEvidence evidence_;
  VersionJudge judge_;
};

struct Figures {
  int withdrawn = 0;
  int good = 0;
  // Bad versions that gave more bad answers than they may.
  int late = 0;
};

Figures Play(const char* name, const Way& way, int most_answers) {
  Figures out;
  for (std::uint32_t seed = 1; seed <= kDraws; ++seed) {
    const Drawn it = Trial(seed, way).Run(most_answers);
    out.withdrawn += it.withdrawn ? 1 : 0;
    out.good += it.was_good ? 1 : 0;
    out.late += it.bad_answers > kMostBadAnswers ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(name << ": withdrawn " << out.withdrawn << ", good "
                          << out.good << ", late " << out.late << " of "
                          << kDraws);
  return out;
}

void IsKept(const char* name, const Way& way) {
  const Figures it = Play(name, way, 1000);
  BOOST_TEST(it.withdrawn <= kDraws / 100, name);
  BOOST_TEST(it.good >= kDraws * 99 / 100, name);
}

void IsWithdrawn(const char* name, const Way& way, int most_answers = 2000) {
  const Figures it = Play(name, way, most_answers);
  BOOST_TEST(it.withdrawn >= kDraws * 99 / 100, name);
  BOOST_TEST(it.late <= kDraws / 100, name);
}

BOOST_AUTO_TEST_CASE(AGoodVersionIsKept) {
  IsKept("good", Good());
  Way failing = Good();
  failing.usual_fails = 0.14;
  IsKept("good, where one in seven answers fails", failing);
  Way cold = Good();
  cold.cold = 2.5;
  IsKept("good, with empty caches", cold);
}

// Its engines are in a hall that is dark, as many of the present version's are.
BOOST_AUTO_TEST_CASE(ATroubleThatMeetsBothIsNoDifference) {
  Way dark = Good();
  dark.usual_fails = 0.3;
  const Figures it = Play("dark", dark, 1000);
  BOOST_TEST(it.withdrawn <= kDraws / 100);
}

BOOST_AUTO_TEST_CASE(AVersionThatFailsIsWithdrawn) {
  for (const double part : {0.3, 0.6, 1.0}) {
    Way way = Good();
    way.fails = [part](const std::string&, int) { return part; };
    IsWithdrawn("fails", way);
  }
}

BOOST_AUTO_TEST_CASE(AVersionThatFailsOnOneRouteIsWithdrawn) {
  Way way = Good();
  way.fails = [](const std::string& route, int) {
    return route == "chat" ? 0.5 : 0.0;
  };
  IsWithdrawn("fails on one route", way);
}

BOOST_AUTO_TEST_CASE(ASlowVersionIsWithdrawn) {
  for (const double times : {4.0, 8.0}) {
    Way way = Good();
    way.slower = [times](const std::string&, int) { return times; };
    IsWithdrawn("slow", way);
  }
}

// Many good answers at first don't hide it.
BOOST_AUTO_TEST_CASE(AVersionThatTurnsBadLateIsWithdrawn) {
  Way way = Good();
  way.fails = [](const std::string&, int given) {
    return given < 1000 ? 0.0 : 0.4;
  };
  IsWithdrawn("fails late", way, 4000);
}

// Nothing is known of a route that has had none of the version's answers.
BOOST_AUTO_TEST_CASE(ARouteWithoutAnswersIsNoProof) {
  VersionEvidence evidence;
  for (int n = 0; n < 500; ++n) {
    evidence.Add("review", true, {});
    evidence.Add("review", false, {});
    evidence.Add("chat", false, {});
  }
  VersionJudge judge;
  judge.Observe(evidence);
  BOOST_TEST(!judge.IsGood());
  BOOST_TEST(judge.IsLeaningGood());
}

// A router that told of many answers is gone, and its counts with it.
BOOST_AUTO_TEST_CASE(CountsThatFallCountAsNone) {
  VersionEvidence many;
  VersionEvidence few;
  for (int n = 0; n < 100; ++n) {
    many.Add("review", true, {});
    many.Add("review", false, {});
  }
  few.Add("review", true, {true, {}, {}});
  VersionJudge judge;
  judge.Observe(many);
  judge.Observe(few);
  judge.Observe(many);
  BOOST_TEST(!judge.IsBad());
  BOOST_TEST(judge.IsGood());
}

}  // namespace
}  // namespace quaytrack
