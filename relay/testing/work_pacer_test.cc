// The share of the time that paced work takes.

#include "relay/work_pacer.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr int kRestFactor = 3;
constexpr Duration kMaxRest = milliseconds(200);

// The share of a minute that work takes if it is always due.
double ShareOf(Duration work) {
  WorkPacer it(kRestFactor, kMaxRest);
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

// Guards against work without pauses: in a fleet of 985, holders wrote one
// large record all the time and answered no other router meanwhile.
BOOST_AUTO_TEST_CASE(WorkThatTakesLongLeavesMostOfTheTime) {
  for (const int ms : {5, 20, 50}) {
    BOOST_TEST(ShareOf(milliseconds(ms)) <= 0.26);
    BOOST_TEST(ShareOf(milliseconds(ms)) >= 0.2);
  }
}

BOOST_AUTO_TEST_CASE(WorkThatTakesNoTimeIsNotHeldUp) {
  WorkPacer it(kRestFactor, kMaxRest);
  it.OnWork(kStart, kStart);
  BOOST_TEST(it.MayWork(kStart));
}

// A process that froze during the work continues after the maximum rest.
BOOST_AUTO_TEST_CASE(NoRestIsLongerThanTheLongest) {
  WorkPacer it(kRestFactor, kMaxRest);
  it.OnWork(kStart, kStart + std::chrono::seconds(4));
  BOOST_TEST(!it.MayWork(kStart + milliseconds(4199)));
  BOOST_TEST(it.MayWork(kStart + milliseconds(4200)));
}

}  // namespace
}  // namespace quaytrack
