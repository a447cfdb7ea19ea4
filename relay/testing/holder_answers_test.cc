// Tests HolderAnswers. The failure that matters most is a holder that counts as
// silent although it would answer, as its requests are then refused unasked.

#include "relay/holder_answers.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const Incarnation kHolder("h1@1");

struct Fixture {
  // Counts `n` unanswered requests, sent `every` apart, each timed out after
  // 200 ms. Advances `now` to the last timeout.
  bool Lose(int n, Duration every) {
    bool silent = false;
    for (int it = 0; it < n; ++it) {
      now += every;
      silent =
          answers.OnUnanswered(now, kHolder, now - milliseconds(200)) || silent;
    }
    return silent;
  }

  Instant now{std::chrono::hours(1)};
  HolderAnswers answers;
};

BOOST_FIXTURE_TEST_CASE(AnUnknownHolderAnswers, Fixture) {
  BOOST_TEST(answers.Answers(now, kHolder));
}

// Guards against refusals after one lost burst.
BOOST_FIXTURE_TEST_CASE(ABurstWithoutAnAnswerDoesNotMakeItSilent, Fixture) {
  BOOST_TEST(!Lose(50, milliseconds(1)));
  BOOST_TEST(answers.Answers(now, kHolder));
}

BOOST_FIXTURE_TEST_CASE(FewUnansweredRequestsDoNotMakeItSilent, Fixture) {
  BOOST_TEST(!Lose(4, milliseconds(100)));
  BOOST_TEST(answers.Answers(now, kHolder));
}

BOOST_FIXTURE_TEST_CASE(ManyOverTwoTimeoutsMakeItSilent, Fixture) {
  BOOST_TEST(Lose(5, milliseconds(60)));
  BOOST_TEST(!answers.Answers(now, kHolder));
}

BOOST_FIXTURE_TEST_CASE(OneAnswerInTimeEndsTheSilence, Fixture) {
  BOOST_TEST(Lose(5, milliseconds(60)));
  answers.OnAnswered(kHolder, now);
  BOOST_TEST(answers.Answers(now, kHolder));
  // Requests sent before the answered one may still time out.
  for (int it = 0; it < 20; ++it) {
    answers.OnUnanswered(now + milliseconds(100), kHolder, now);
  }
  BOOST_TEST(answers.Answers(now + milliseconds(100), kHolder));
}

// Guards against a refusal of the first request after a pause.
BOOST_FIXTURE_TEST_CASE(OldEvidenceDoesNotCount, Fixture) {
  BOOST_TEST(Lose(5, milliseconds(60)));
  BOOST_TEST(!answers.Answers(now + milliseconds(499), kHolder));
  BOOST_TEST(answers.Answers(now + milliseconds(500), kHolder));
}

BOOST_FIXTURE_TEST_CASE(ProbesAreSpaced, Fixture) {
  BOOST_TEST(Lose(5, milliseconds(60)));
  BOOST_TEST(answers.TakeProbe(now, kHolder));
  BOOST_TEST(!answers.TakeProbe(now + milliseconds(99), kHolder));
  BOOST_TEST(answers.TakeProbe(now + milliseconds(100), kHolder));
}

// A mixed load: half of the answers are late. Requests must go on being asked.
BOOST_FIXTURE_TEST_CASE(AHolderThatAnswersSomeInTimeIsNeverSilent, Fixture) {
  for (int it = 0; it < 1000; ++it) {
    now += milliseconds(10);
    const Instant asked_at = now - milliseconds(200);
    if (it % 4 == 0) {
      answers.OnAnswered(kHolder, now - milliseconds(150));
    } else {
      answers.OnUnanswered(now, kHolder, asked_at);
    }
    BOOST_REQUIRE(answers.Answers(now, kHolder));
  }
}

}  // namespace
}  // namespace quaytrack
