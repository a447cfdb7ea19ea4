// Tests when those that wait for current state are served, and how often it is
// asked for.

#include "relay/currency_wait_list.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  Instant At(int ms) const { return Instant(milliseconds(ms)); }
  void Await(Instant at) {
    waits.Await(at, [this](bool it) { answers.push_back(it); });
  }

  Loop loop;
  Instant current_at{};
  int asked = 0;
  std::vector<bool> answers;
  CurrencyWaitList waits{loop, [this](Instant at) { return current_at >= at; },
                         [this] { ++asked; }};
};

BOOST_FIXTURE_TEST_CASE(AnAnswerServesThoseThatNeedNoLaterState, Fixture) {
  Await(At(10));
  Await(At(20));
  BOOST_TEST(asked == 1);
  current_at = At(10);
  waits.Serve();
  BOOST_TEST((answers == std::vector<bool>{true}));
  current_at = At(20);
  waits.ServeLater();
  BOOST_TEST(answers.size() == 1U);
  RunFor(loop, milliseconds(5));
  BOOST_TEST((answers == std::vector<bool>{true, true}));
}

// Guards against a wait that is refused because the question that it shares was
// sent before it began.
BOOST_FIXTURE_TEST_CASE(ItAsksAgainForThoseThatAreLeft, Fixture) {
  Await(At(10));
  RunFor(loop, 2 * CurrencyWaitList::kAskInterval + milliseconds(25));
  BOOST_TEST(asked == 3);
  current_at = At(10);
  waits.Serve();
  RunFor(loop, 2 * CurrencyWaitList::kAskInterval);
  BOOST_TEST(asked == 3);
}

BOOST_FIXTURE_TEST_CASE(WithoutAnAnswerItEndsInTime, Fixture) {
  Await(At(10));
  RunFor(loop, CurrencyWaitList::kAnswerTime + milliseconds(50));
  BOOST_TEST((answers == std::vector<bool>{false}));
}

// Guards against a callback that begins another wait.
BOOST_FIXTURE_TEST_CASE(AWaitMayBeginWhileAnotherIsServed, Fixture) {
  waits.Await(At(10), [this](bool) { Await(At(5)); });
  current_at = At(10);
  waits.Serve();
  BOOST_TEST(answers.empty());
  waits.Serve();
  BOOST_TEST((answers == std::vector<bool>{true}));
}

}  // namespace
}  // namespace quaytrack
