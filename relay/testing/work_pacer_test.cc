// How much of the time paced work takes.

#include "relay/work_pacer.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr int kRest = 3;
constexpr Duration kLongest = milliseconds(200);

// Part of a minute that work takes which wants to run all the time.
double PartOf(Duration work) {
  WorkPacer it(kRest, kLongest);
  Duration worked{};
  const Instant end = kStart + std::chrono::minutes(1);
  for (Instant now = kStart; now < end; now += milliseconds(1)) {
    if (!it.MayWork(now)) continue;
    it.OnWork(now, now + work);
    now += work;
    worked += work;
  }
  return ToSeconds(worked) / 60;
}

// Holders of a fleet of 985 wrote one large record without a pause, and
// answered nobody meanwhile.
BOOST_AUTO_TEST_CASE(WorkThatTakesLongLeavesMostOfTheTime) {
  for (const int ms : {5, 20, 50}) {
    BOOST_TEST(PartOf(milliseconds(ms)) <= 0.26);
    BOOST_TEST(PartOf(milliseconds(ms)) >= 0.2);
  }
}

BOOST_AUTO_TEST_CASE(WorkThatTakesNoTimeIsNotHeldUp) {
  WorkPacer it(kRest, kLongest);
  it.OnWork(kStart, kStart);
  BOOST_TEST(it.MayWork(kStart));
}

// A process that stood still in the middle of it goes on soon.
BOOST_AUTO_TEST_CASE(NoRestIsLongerThanTheLongest) {
  WorkPacer it(kRest, kLongest);
  it.OnWork(kStart, kStart + std::chrono::seconds(4));
  BOOST_TEST(!it.MayWork(kStart + milliseconds(4199)));
  BOOST_TEST(it.MayWork(kStart + milliseconds(4200)));
}

}  // namespace
}  // namespace quaytrack
