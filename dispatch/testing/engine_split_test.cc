// Whether long prompts get engines of their own, and how many.

#include "dispatch/engine_split.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

// A tenth of the streams is held up, and short prompts are a quarter of the
// work.
EngineWork Work() {
  EngineWork out;
  out.short_ms = 5000;
  out.long_ms = 15000;
  out.short_streams = 100;
  out.short_seconds = 200;
  out.watched_seconds = 195;
  out.held_up = 10.5;
  return out;
}

BOOST_AUTO_TEST_CASE(TheEnginesAreDividedAsTheWorkIs) {
  EngineSplit it;
  BOOST_TEST(!it.is_split());
  it.Decide(Work(), 12);
  BOOST_TEST(it.for_short() == 3);
  BOOST_TEST(it.IsForShort(2));
  BOOST_TEST(!it.IsForShort(3));
}

BOOST_AUTO_TEST_CASE(TheyStayAsTheyAreWhileTheWorkChangesLittle) {
  EngineSplit it;
  it.Decide(Work(), 12);
  EngineWork work = Work();
  // 3.7 of 12 engines.
  work.short_ms = 6700;
  it.Decide(work, 12);
  BOOST_TEST(it.for_short() == 3);
  // 3.9 of 12.
  work.short_ms = 7250;
  it.Decide(work, 12);
  BOOST_TEST(it.for_short() == 4);
}

BOOST_AUTO_TEST_CASE(EachKindHasAnEngineHoweverLittleItsWork) {
  EngineSplit it;
  EngineWork work = Work();
  work.short_ms = 1;
  it.Decide(work, 12);
  BOOST_TEST(it.for_short() == 1);
  work.short_ms = 1e9;
  it.Decide(work, 12);
  BOOST_TEST(it.for_short() == 11);
}

BOOST_AUTO_TEST_CASE(OneEngineOrOneKindOfPromptIsNotDivided) {
  EngineSplit it;
  it.Decide(Work(), 1);
  BOOST_TEST(!it.is_split());
  EngineWork work = Work();
  work.long_ms = 0;
  it.Decide(work, 12);
  BOOST_TEST(!it.is_split());
  it.Decide(EngineWork(), 12);
  BOOST_TEST(!it.is_split());
}

// Parted at 8 in 100, together again below 3, so that a share in between
// doesn't move the cached parts back and forth.
BOOST_AUTO_TEST_CASE(BetweenTheTwoSharesNothingChanges) {
  EngineWork few = Work();
  few.held_up = 5;
  EngineWork hardly_any = Work();
  hardly_any.held_up = 2;
  EngineSplit it;
  it.Decide(few, 12);
  BOOST_TEST(!it.is_split());
  it.Decide(Work(), 12);
  BOOST_TEST(it.is_split());
  it.Decide(few, 12);
  BOOST_TEST(it.is_split());
  it.Decide(hardly_any, 12);
  BOOST_TEST(!it.is_split());
}

BOOST_AUTO_TEST_CASE(StreamsOnEnginesForShortPromptsSayNothingOfTheOthers) {
  EngineSplit it;
  it.Decide(Work(), 12);
  it.OnStreamed(kStart, false, 0, seconds(2), true);
  BOOST_TEST(it.Seen(kStart).watched_seconds == 0);
  BOOST_TEST(it.Seen(kStart).held_up == 0);
  BOOST_TEST(it.Seen(kStart).short_streams == 1);
  it.OnStreamed(kStart, true, 7, milliseconds(400), true);
  BOOST_TEST(it.Seen(kStart).watched_seconds == 0.4);
  BOOST_TEST(it.Seen(kStart).held_up == 1);
  BOOST_TEST(it.Seen(kStart).short_streams == 1);
}

BOOST_AUTO_TEST_CASE(WhatWasSeenHalvesInTwentySeconds) {
  EngineSplit it;
  it.OnSent(kStart, true, 100);
  it.OnSent(kStart, false, 40);
  const EngineWork later = it.Seen(kStart + seconds(20));
  BOOST_TEST(later.long_ms == 50, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(later.short_ms == 20, boost::test_tools::tolerance(1e-9));
  const EngineWork faded = EngineSplit::Faded(it.Seen(kStart), seconds(20));
  BOOST_TEST(faded.long_ms == later.long_ms,
             boost::test_tools::tolerance(1e-9));
}

// A clock that steps back must not make old sights count more than they did.
BOOST_AUTO_TEST_CASE(TimeThatGoesBackCountsAsNone) {
  EngineSplit it;
  it.OnSent(kStart, true, 100);
  BOOST_TEST(it.Seen(kStart - seconds(3600)).long_ms == 100);
  it.OnSent(kStart - seconds(3600), true, 100);
  BOOST_TEST(it.Seen(kStart).long_ms == 200);
  BOOST_TEST(EngineSplit::Faded(it.Seen(kStart), -seconds(9)).long_ms == 200);
  it.OnStreamed(kStart, false, 0, -seconds(2), true);
  BOOST_TEST(it.Seen(kStart).short_streams == 0);
}

BOOST_AUTO_TEST_CASE(TheShareGrowsWithTheLengthOfShortStreams) {
  EngineWork work = Work();
  const double share = ShareHeldUp(work);
  BOOST_TEST(share > 0.09);
  BOOST_TEST(share < 0.11);
  work.short_seconds *= 10;
  BOOST_TEST(ShareHeldUp(work) > 0.6);
  BOOST_TEST(ShareHeldUp(work) < 1);
  BOOST_TEST(ShareHeldUp(EngineWork()) == 0);
}

}  // namespace
}  // namespace quaytrack
