// When a router treats a target as cold, in particular if it may have
// restarted.

#include "dispatch/target_warmth.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr Duration kColdStart = seconds(3);

BOOST_AUTO_TEST_CASE(ATargetIsColdForAsLongAsItSays) {
  TargetWarmth it;
  BOOST_TEST(!it.IsCold(kStart));
  it.OnCold(kStart, seconds(2), ColdSign::kEntry);
  BOOST_TEST(it.IsCold(kStart + milliseconds(1999)));
  BOOST_TEST(!it.IsCold(kStart + seconds(2)));
}

// A shorter time may be from an older report.
BOOST_AUTO_TEST_CASE(NothingMakesItWarmSooner) {
  TargetWarmth it;
  it.OnCold(kStart, seconds(3), ColdSign::kStart);
  it.OnCold(kStart + seconds(1), milliseconds(0), ColdSign::kEntry);
  BOOST_TEST(it.IsCold(kStart + milliseconds(2999)));
  BOOST_TEST((it.reason() == ColdSign::kStart));
}

BOOST_AUTO_TEST_CASE(OneThatSaysYearsIsNotShutOut) {
  TargetWarmth it;
  it.OnCold(kStart, std::chrono::hours(24 * 365), ColdSign::kEntry);
  BOOST_TEST(!it.IsCold(kStart + TargetWarmth::kLongestCold));
  it.OnCold(kStart, -seconds(5), ColdSign::kEntry);
  BOOST_TEST(!it.IsCold(kStart + TargetWarmth::kLongestCold));
}

BOOST_AUTO_TEST_CASE(OneThatLeftARequestUnansweredMayHaveEnded) {
  TargetWarmth it;
  it.OnLost(kStart);
  BOOST_TEST(it.IsCold(kStart));
  BOOST_TEST((it.reason() == ColdSign::kLost));
  BOOST_TEST(
      it.IsCold(kStart + TargetWarmth::kUncertainTime - milliseconds(1)));
  BOOST_TEST(!it.IsCold(kStart + TargetWarmth::kUncertainTime));
}

BOOST_AUTO_TEST_CASE(AnAnswerToALaterRequestMayComeFromANewStart) {
  TargetWarmth it;
  it.OnLost(kStart);
  const Instant answered = kStart + seconds(5);
  it.OnAlive(answered, answered - milliseconds(20), kColdStart);
  BOOST_TEST(it.IsCold(answered + kColdStart - milliseconds(1)));
  BOOST_TEST(!it.IsCold(answered + kColdStart));
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierRequestShowsThatItDidntEnd) {
  TargetWarmth it;
  it.OnLost(kStart);
  it.OnAlive(kStart + seconds(1), kStart - seconds(2), kColdStart);
  BOOST_TEST(!it.IsCold(kStart + seconds(1)));
}

// Guards against streams of unknown version at a target that has answered a
// later request, and whose earlier streams go on.
BOOST_AUTO_TEST_CASE(AnEarlierStreamThatGoesOnShowsThatItDidntStartAgain) {
  TargetWarmth it;
  it.OnLost(kStart);
  it.OnAlive(kStart + seconds(1), kStart + milliseconds(500), kColdStart);
  BOOST_TEST(it.MayHaveRestarted(kStart + seconds(1)));
  it.OnAlive(kStart + seconds(2), kStart - seconds(2), kColdStart);
  BOOST_TEST(!it.MayHaveRestarted(kStart + seconds(2)));
}

// The answer may have been in flight when the target ended.
BOOST_AUTO_TEST_CASE(AnAnswerThatWasOnItsWayShowsNothing) {
  TargetWarmth it;
  it.OnLost(kStart);
  it.OnAlive(kStart + milliseconds(10), kStart - seconds(2), kColdStart);
  BOOST_TEST(it.IsCold(kStart + seconds(1)));
}

}  // namespace
}  // namespace quaytrack
