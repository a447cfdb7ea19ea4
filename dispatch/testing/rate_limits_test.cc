// The rate limits that a router applies after answers and peer reports in
// various orders.

#include "dispatch/rate_limits.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow{std::chrono::hours(1)};
const TargetStart kTarget("i-1@5");

struct Fixture {
  std::optional<double> Limit() const { return it.LimitOf(kTarget); }
  RateLimits it;
};

BOOST_FIXTURE_TEST_CASE(ALimitHoldsUntilALaterAnswerNamesNone, Fixture) {
  BOOST_TEST(it.OnLimit(kNow, kTarget, kNow - seconds(1), 2));
  BOOST_TEST(Limit().value_or(-1) == 2);
  // The request was sent before the limit was learned, so the answer may be
  // older than the one that stated the limit.
  BOOST_TEST(!it.OnNoLimit(kNow + seconds(2), kTarget, kNow - milliseconds(1)));
  BOOST_TEST(Limit().has_value());
  BOOST_TEST(it.OnNoLimit(kNow + seconds(2), kTarget, kNow + milliseconds(1)));
  BOOST_TEST(!Limit().has_value());
}

BOOST_FIXTURE_TEST_CASE(ALowerLimitHoldsAtOnceAndAHigherOneWhenProven,
                        Fixture) {
  it.OnLimit(kNow, kTarget, kNow - seconds(1), 2);
  it.OnLimit(kNow + seconds(1), kTarget, kNow - seconds(1), 0.5);
  BOOST_TEST(Limit().value_or(-1) == 0.5);
  it.OnLimit(kNow + seconds(2), kTarget, kNow, 2);
  BOOST_TEST(Limit().value_or(-1) == 0.5);
  it.OnLimit(kNow + seconds(4), kTarget, kNow + seconds(3), 2);
  BOOST_TEST(Limit().value_or(-1) == 2);
}

BOOST_FIXTURE_TEST_CASE(ALateReportOfAPeerTurnsNothingBack, Fixture) {
  RateLimits peer;
  peer.OnLimit(kNow, kTarget, kNow, 2);
  const RateReports named = peer.TakeUnreported(kNow, false);
  peer.OnNoLimit(kNow + seconds(1), kTarget, kNow + seconds(1));
  const RateReports ended = peer.TakeUnreported(kNow + seconds(1), false);
  BOOST_TEST(it.OnPeer(kNow, kTarget, named.at(kTarget)));
  BOOST_TEST(it.OnPeer(kNow + seconds(2), kTarget, ended.at(kTarget)));
  BOOST_TEST(!it.OnPeer(kNow + seconds(3), kTarget, named.at(kTarget)));
  BOOST_TEST(!Limit().has_value());
  // The target states the limit again, and the earlier report of its end
  // arrives late.
  it.OnLimit(kNow + seconds(4), kTarget, kNow + seconds(4), 2);
  BOOST_TEST(!it.OnPeer(kNow + seconds(5), kTarget, ended.at(kTarget)));
  BOOST_TEST(Limit().value_or(-1) == 2);
}

BOOST_FIXTURE_TEST_CASE(OfTwoChangesAtOnceTheLowerLimitHolds, Fixture) {
  it.OnLimit(kNow, kTarget, kNow, 2);
  BOOST_TEST(!it.OnPeer(kNow, kTarget, {3.0, 1, {}}));
  BOOST_TEST(!it.OnPeer(kNow, kTarget, {std::nullopt, 1, {}}));
  BOOST_TEST(Limit().value_or(-1) == 2);
  BOOST_TEST(it.OnPeer(kNow, kTarget, {1.0, 1, {}}));
  BOOST_TEST(Limit().value_or(-1) == 1);
}

BOOST_FIXTURE_TEST_CASE(WhatWasHeardAtAPeerIsAsOldAsItSays, Fixture) {
  it.OnPeer(kNow, kTarget, {1.0, 1, seconds(5)});
  BOOST_TEST((it.ConfirmedAt(kTarget) == kNow - seconds(5)));
  it.OnPeer(kNow + seconds(1), kTarget, {1.0, 1, seconds(9)});
  BOOST_TEST((it.ConfirmedAt(kTarget) == kNow - seconds(5)));
}

BOOST_FIXTURE_TEST_CASE(OnlyWhoForwardsTellsWhatPeersSaid, Fixture) {
  it.OnPeer(kNow, kTarget, {1.0, 1, {}});
  BOOST_TEST(it.TakeUnreported(kNow, false).empty());
  BOOST_TEST(it.TakeUnreported(kNow, true).size() == 1U);
  BOOST_TEST(it.TakeUnreported(kNow, true).empty());
  BOOST_TEST(it.All(kNow).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ALimitThatStaysIsToldNowAndThen, Fixture) {
  int reports = 0;
  for (int n = 0; n < 100; ++n) {
    const Instant now = kNow + milliseconds(100) * n;
    it.OnLimit(now, kTarget, now, 1);
    reports += static_cast<int>(it.TakeUnreported(now, false).size());
  }
  BOOST_TEST(reports == 3);
}

// Regression: an answer of a new start was received before the entry of that
// start was read. The limit was attributed to the previous start and forgotten
// with it.
BOOST_FIXTURE_TEST_CASE(ALimitHeardLatelyStaysWithTheNextStart, Fixture) {
  const TargetStart next("i-1@9");
  it.OnLimit(kNow, kTarget, kNow, 1);
  BOOST_TEST(it.OnRestart(kNow + seconds(5), kTarget, next));
  BOOST_TEST(it.LimitOf(next).value_or(-1) == 1);
  const TargetStart later("i-1@20");
  BOOST_TEST(!it.OnRestart(kNow + seconds(9), next, later));
  BOOST_TEST(!it.LimitOf(later).has_value());
}

BOOST_FIXTURE_TEST_CASE(WhatIsRememberedIsBounded, Fixture) {
  for (int n = 0; n < 10000; ++n) {
    const Instant now = kNow + milliseconds(n);
    it.OnLimit(now, TargetStart("i-" + std::to_string(n)), now, 1);
  }
  BOOST_TEST(it.size() <= 4096U);
  BOOST_TEST(it.LimitOf(TargetStart("i-9999")).has_value());
}

}  // namespace
}  // namespace quaytrack
