// What is let in over a slow link, when the VM is ready, and whose connections
// end. dispatch/testing/link_load_test.cc has the whole loop.

#include "dispatch/link_admission.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <string>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLink = 1.25e6;
const CustomerName kLarge("large");
const CustomerName kSmall("small");

struct Fixture {
  // Lets `d` pass while the link carries `load` in each direction, besides what
  // is admitted.
  void Pass(Duration d, double load = 0) {
    for (const Instant end = now + d; now < end;) {
      now += LinkAdmission::kObserveInterval;
      other += load * kLink * ToSeconds(LinkAdmission::kObserveInterval);
      const double total = other + admitted;
      if (link.Observe(now, total, total)) ++changes;
      if (!link.IsReady()) unready += LinkAdmission::kObserveInterval;
      if (polls && (now - Instant()) % seconds(1) == Duration::zero())
        link.OnPolled();
    }
  }
  bool Ask(const CustomerName& customer, double bytes, int urgency = 1) {
    const bool out = link.Admit(now, {customer, urgency, bytes});
    if (out) admitted += bytes;
    return out;
  }
  // Requests of 5,000 bytes of both customers, at shares of the link. Returns
  // the share that is admitted of each.
  std::map<CustomerName, double> Offer(Duration d, double large, double small) {
    std::map<CustomerName, double> asked, in;
    const Instant start = now;
    const Instant end = now + d;
    while (now < end) {
      Pass(LinkAdmission::kObserveInterval);
      const double bytes = ToSeconds(now - start) * kLink;
      const auto offer = [&](const CustomerName& it, double share) {
        while (asked[it] < bytes * share) {
          asked[it] += 5000;
          if (Ask(it, 5000)) in[it] += 5000;
        }
      };
      offer(kLarge, large);
      offer(kSmall, small);
    }
    for (auto& [customer, it] : in) it /= asked[customer];
    return in;
  }

  Instant now{std::chrono::hours(1)};
  double other = 0;
  double admitted = 0;
  int changes = 0;
  Duration unready{};
  bool polls = false;
  LinkAdmission link{{.bytes_per_s = kLink}};
};

BOOST_AUTO_TEST_CASE(TheFairLevelIsMaxMin) {
  BOOST_TEST(std::isinf(FairLevel({1, 2, 3}, 6)));
  BOOST_TEST(FairLevel({1, 2, 30}, 9) == 6);
  BOOST_TEST(FairLevel({10, 10}, 4) == 2);
  BOOST_TEST(FairLevel({1}, -1) == 0);
  BOOST_TEST(std::isinf(FairLevel({}, 0)));
}

BOOST_FIXTURE_TEST_CASE(AllThatFitsIsAdmitted, Fixture) {
  const auto in = Offer(seconds(5), 0.4, 0.1);
  BOOST_TEST(in.at(kLarge) == 1);
  BOOST_TEST(in.at(kSmall) == 1);
}

// Guards against one customer that takes the link from the others.
BOOST_FIXTURE_TEST_CASE(TheHeaviestCustomersExcessIsShed, Fixture) {
  const auto in = Offer(seconds(5), 2.5, 0.1);
  BOOST_TEST(in.at(kSmall) >= 0.99);
  // What is left is used, apart from the bytes of the refusals.
  const double refusals = (2.5 - admitted / kLink / 5) * kLink / 5000;
  const double used =
      admitted / kLink / 5 + refusals * LinkAdmission::kRefusalBytes / kLink;
  BOOST_TEST(used > 0.8);
  BOOST_TEST(used <= 1.0);
  BOOST_TEST(link.FactsOf(now, kLarge).level <
             link.FactsOf(now, kLarge).customer_rate);
}

// Guards against large requests that are refused more often than small ones.
BOOST_FIXTURE_TEST_CASE(TheSizeOfARequestDoesNotMatter, Fixture) {
  int large = 0;
  int small = 0;
  for (int n = 0; n < 4000; ++n) {
    Pass(LinkAdmission::kObserveInterval);
    for (int each = 0; each < 4; ++each) {
      large += Ask(kLarge, 12000) ? 1 : 0;
      small += Ask(kLarge, 3000) ? 1 : 0;
    }
  }
  BOOST_TEST(small > 0);
  BOOST_TEST(large >= 0.7 * small);
}

BOOST_FIXTURE_TEST_CASE(TheMoreUrgentAreServedMoreOften, Fixture) {
  std::map<int, int> in;
  for (int n = 0; n < 2000; ++n) {
    Pass(LinkAdmission::kObserveInterval);
    for (int each = 0; each < 4; ++each) {
      for (const int urgency : {2, 1, 0}) {
        in[urgency] += Ask(kLarge, 4000, urgency) ? 1 : 0;
      }
    }
  }
  BOOST_TEST(in[0] >= in[1]);
  BOOST_TEST(in[1] >= in[2]);
  BOOST_TEST(in[0] > in[2]);
}

// Responses and messages of other routers come before new requests.
BOOST_FIXTURE_TEST_CASE(OtherTrafficLeavesLessForRequests, Fixture) {
  Pass(seconds(2), 0.4);
  BOOST_TEST(link.usable_rate() / kLink == 0.53,
             boost::test_tools::tolerance(0.05));
}

BOOST_FIXTURE_TEST_CASE(ASaturatingLinkIsNoticedIn200Ms, Fixture) {
  Pass(seconds(1), 0.2);
  BOOST_TEST(!link.IsUnderPressure());
  Pass(milliseconds(200), 1);
  BOOST_TEST(link.IsUnderPressure());
  BOOST_TEST(link.IsIncomingFull());
}

BOOST_FIXTURE_TEST_CASE(DirectionsAreMeasuredSeparately, Fixture) {
  double in = 0;
  for (int n = 0; n < 40; ++n) {
    now += LinkAdmission::kObserveInterval;
    in += kLink * ToSeconds(LinkAdmission::kObserveInterval);
    link.Observe(now, in, in / 4);
  }
  BOOST_TEST(link.load_in() == 1, boost::test_tools::tolerance(0.05));
  BOOST_TEST(link.load_out() == 0.25, boost::test_tools::tolerance(0.05));
}

// Refused requests are offered load too; otherwise a VM that refuses nearly all
// would turn ready, and saturate again.
BOOST_FIXTURE_TEST_CASE(RefusedRequestsKeepAVmUnready, Fixture) {
  Offer(seconds(20), 4, 0);
  BOOST_TEST(!link.IsReady());
  BOOST_TEST(changes == 1);
  BOOST_TEST(link.offered_load() > 2);
  BOOST_TEST(link.Room() == 0);
}

BOOST_FIXTURE_TEST_CASE(AVmAtRestIsAlwaysReady, Fixture) {
  Pass(seconds(60), 0.3);
  BOOST_TEST(link.IsReady());
  BOOST_TEST(changes == 0);
}

BOOST_FIXTURE_TEST_CASE(AfterASurgeItIsReadyInSeconds, Fixture) {
  Pass(seconds(5), 1);
  BOOST_TEST(!link.IsReady());
  Pass(seconds(4), 0.1);
  BOOST_TEST(link.IsReady());
}

// Guards against a VM that stays unready as its callers stay.
BOOST_FIXTURE_TEST_CASE(AModerateLoadDoesNotKeepItUnreadyForLong, Fixture) {
  Pass(seconds(5), 1);
  Pass(seconds(6), 0.45);
  BOOST_TEST(link.IsReady());
}

// Guards against flapping: each surge soon after the last keeps it unready for
// longer, until a calm period.
BOOST_FIXTURE_TEST_CASE(ThePeriodDoublesAndFallsBack, Fixture) {
  const auto surge = [this] {
    Pass(seconds(4), 1);
    const Duration before = unready;
    while (!link.IsReady()) Pass(milliseconds(100), 0.1);
    return unready - before;
  };
  const Duration first = surge();
  surge();
  surge();
  const Duration fourth = surge();
  BOOST_TEST((fourth >= first + seconds(3)));
  BOOST_TEST((fourth <= seconds(12)));
  Pass(seconds(60), 0.1);
  const Duration later = surge();
  BOOST_TEST((later < first + milliseconds(500)));
}

// Guards against callers that come back to this VM, as the balancer hasn't
// noticed yet that it is unready.
BOOST_FIXTURE_TEST_CASE(CallersMoveOnceTheBalancerHasNoticed, Fixture) {
  Offer(milliseconds(1000), 2, 0.1);
  BOOST_TEST(!link.IsReady());
  BOOST_TEST(!link.WantsMove(now));
  link.OnPolled();
  link.OnPolled();
  BOOST_TEST(link.WantsMove(now));
}

BOOST_FIXTURE_TEST_CASE(WithoutPollsTheyMoveAfterItsDelay, Fixture) {
  Offer(milliseconds(1000), 2, 0.1);
  Offer(milliseconds(2700), 2, 0.1);
  BOOST_TEST(link.WantsMove(now));
}

// Guards against a surge at the next VM: connections end over a second or two,
// the heaviest customer's only, and as many as exceed the share that stays.
BOOST_FIXTURE_TEST_CASE(TheExcessOfTheHeaviestMovesGradually, Fixture) {
  polls = true;
  Offer(seconds(3), 0.9, 0.1);
  BOOST_REQUIRE(link.WantsMove(now));
  const int moved = link.StartMove(now, {{kLarge, 100}, {kSmall, 50}});
  BOOST_TEST(moved >= 45);
  BOOST_TEST(moved <= 70);
  const auto end = [&] {
    int out = 0;
    for (int n = 0; n < 200; ++n) out += link.EndsConnection(now, kLarge);
    return out;
  };
  BOOST_TEST(end() <= 1);
  now += milliseconds(750);
  const int half = end();
  BOOST_TEST(half >= moved / 2 - 1);
  BOOST_TEST(half <= moved / 2 + 1);
  now += milliseconds(750);
  BOOST_TEST(half + end() == moved);
  BOOST_TEST(end() == 0);
  BOOST_TEST(!link.EndsConnection(now, kSmall));
  BOOST_TEST(!link.WantsMove(now));
}

// One connection can't be split, so it would only fill the next VM.
BOOST_FIXTURE_TEST_CASE(ASingleConnectionStays, Fixture) {
  Offer(seconds(4), 0.9, 0);
  BOOST_TEST(link.StartMove(now, {{kLarge, 1}}) == 0);
  now += seconds(2);
  BOOST_TEST(!link.EndsConnection(now, kLarge));
}

BOOST_FIXTURE_TEST_CASE(NobodyMovesIfTheHallHasNoRoom, Fixture) {
  Offer(seconds(4), 2, 0.1);
  BOOST_TEST(link.WantsMove(now));
  link.SetHallRoom(0.2);
  BOOST_TEST(!link.WantsMove(now));
  link.SetHallRoom(0.8);
  BOOST_TEST(link.WantsMove(now));
}

BOOST_FIXTURE_TEST_CASE(RetryAfterDependsOnTheHall, Fixture) {
  BOOST_TEST((link.RetryAfter(2, 0.9) == milliseconds(50)));
  link.SetHallRoom(0.5);
  BOOST_TEST((link.RetryAfter(2, 0.9) == milliseconds(50)));
  link.SetHallRoom(0.02);
  BOOST_TEST((link.RetryAfter(0, 0) >= milliseconds(200)));
  BOOST_TEST((link.RetryAfter(0, 0.99) < link.RetryAfter(2, 0.99)));
  BOOST_TEST((link.RetryAfter(2, 0.999) <= milliseconds(1000)));
  BOOST_TEST((link.RetryAfter(2, 0.1) < link.RetryAfter(2, 0.9)));
}

BOOST_FIXTURE_TEST_CASE(AnUnknownLinkDecidesNothing, Fixture) {
  link = LinkAdmission(LinkAdmissionOptions());
  Offer(seconds(5), 50, 1);
  BOOST_TEST(link.IsReady());
  BOOST_TEST(!link.IsUnderPressure());
  BOOST_TEST(!link.WantsMove(now));
}

// A frozen router reports nothing; what it reported last is soon unknown.
BOOST_AUTO_TEST_CASE(OldRoomsAreUnknown) {
  HallRooms rooms;
  Instant now{std::chrono::hours(1)};
  const HallName hall("h1");
  BOOST_TEST(!rooms.Largest(now, hall, false).has_value());
  rooms.SetHall(VmName("a"), hall);
  rooms.SetHall(VmName("b"), hall);
  rooms.SetHall(VmName("far"), HallName("h2"));
  rooms.OnReport(now, VmName("a"), 0.3, -1);
  rooms.OnReport(now, VmName("b"), 0.1, 0.7);
  rooms.OnReport(now, VmName("far"), 0.9, 0.9);
  rooms.OnReport(now, VmName("unknown"), 0.9, 0.9);
  BOOST_TEST(rooms.Largest(now, hall, false).value() == 0.7);
  BOOST_TEST(rooms.Largest(now, hall, true).value() == 0.3);
  now += seconds(2);
  rooms.OnReport(now, VmName("a"), 0.2, -1);
  now += seconds(2);
  BOOST_TEST(rooms.Largest(now, hall, false).value() == 0.2);
  now += seconds(4);
  BOOST_TEST(!rooms.Largest(now, hall, false).has_value());
}

// A router of an older build reports neither.
BOOST_AUTO_TEST_CASE(AbsentRoomsChangeNothing) {
  HallRooms rooms;
  const Instant now{std::chrono::hours(1)};
  const HallName hall("h1");
  rooms.SetHall(VmName("a"), hall);
  rooms.OnReport(now, VmName("a"), 0.3, -1);
  rooms.OnReport(now, VmName("a"), -1, -1);
  BOOST_TEST(rooms.Largest(now, hall, false).value() == 0.3);
}

}  // namespace
}  // namespace quaytrack
