// When a network link counts as busy.

#include "dispatch/link_watch.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

constexpr double kLink = 1.25e6;

struct Fixture {
  // Carries `share` of the link capacity for `steps` fifths of a second.
  void Carry(double share, int steps) {
    for (int n = 0; n < steps; ++n) {
      now += std::chrono::milliseconds(200);
      in += share * kLink / 5;
      if (watch.Observe(now, in, in / 2)) ++changes;
    }
  }
  Instant now{std::chrono::hours(1)};
  double in = 0;
  int changes = 0;
  LinkWatch watch{{kLink}};
};

BOOST_FIXTURE_TEST_CASE(AFullLinkIsBusyWithinASecond, Fixture) {
  Carry(0.3, 10);
  BOOST_TEST(!watch.IsBusy());
  Carry(1.0, 5);
  BOOST_TEST(watch.IsBusy());
}

BOOST_FIXTURE_TEST_CASE(ItEasesLowerThanItGetsBusy, Fixture) {
  Carry(0.9, 20);
  Carry(0.52, 20);
  BOOST_TEST(watch.IsBusy());
  Carry(0.2, 10);
  BOOST_TEST(!watch.IsBusy());
  BOOST_TEST(changes == 2);
}

BOOST_FIXTURE_TEST_CASE(SendingAloneFillsALink, Fixture) {
  double out = 0;
  for (int n = 0; n < 20; ++n) {
    now += std::chrono::milliseconds(200);
    out += kLink / 5;
    watch.Observe(now, 0, out);
  }
  BOOST_TEST(watch.IsBusy());
}

BOOST_FIXTURE_TEST_CASE(BusyFromSixTenthsAndEasedBelowFortyFiveHundredths,
                        Fixture) {
  Carry(0.59, 100);
  BOOST_TEST(!watch.IsBusy());
  Carry(0.61, 100);
  BOOST_TEST(watch.IsBusy());
  Carry(0.46, 100);
  BOOST_TEST(watch.IsBusy());
  Carry(0.44, 100);
  BOOST_TEST(!watch.IsBusy());
}

BOOST_FIXTURE_TEST_CASE(TheLoadIsSmoothedOverSevenTenthsOfASecond, Fixture) {
  Carry(0, 1);
  for (int n = 0; n < 7; ++n) {
    now += std::chrono::milliseconds(100);
    in += kLink / 10;
    watch.Observe(now, in, 0);
  }
  // 1 - 1/e of a step after the time constant.
  BOOST_TEST(watch.load() == 0.6321, boost::test_tools::tolerance(1e-3));
}

BOOST_FIXTURE_TEST_CASE(AnUnknownLinkIsNeverBusy, Fixture) {
  watch = LinkWatch({});
  Carry(50, 20);
  BOOST_TEST(!watch.IsBusy());
}

}  // namespace
}  // namespace quaytrack
