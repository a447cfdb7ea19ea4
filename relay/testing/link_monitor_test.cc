// Which traffic counts as load of the VM's network link.

#include "relay/link_monitor.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

class ManualClock final : public Clock {
 public:
  Instant Now() const override { return now; }
  WallTime WallNow() const override { return {}; }
  Instant now = Instant(std::chrono::hours(1));
};

// Long compared with the time over which the load is smoothed.
constexpr int kSeconds = 8;

struct Fixture {
  // Carries the same traffic in each of `kSeconds` seconds.
  void Carry(LinkMonitor& monitor, const Traffic& each) {
    monitor.Observe();
    for (int n = 0; n < kSeconds; ++n) {
      loop.traffic().bytes_in += each.bytes_in;
      loop.traffic().bytes_out += each.bytes_out;
      loop.traffic().pieces_in += each.pieces_in;
      loop.traffic().pieces_out += each.pieces_out;
      clock.now += std::chrono::seconds(1);
      monitor.Observe();
    }
  }

  Loop loop;
  ManualClock clock;
  // 125,000 bytes a second each way; busy from 75,000 a second.
  LinkMonitor link{loop, clock, 1};
};

BOOST_FIXTURE_TEST_CASE(EachDirectionCounts, Fixture) {
  Carry(link, {100000, 0, 0, 0});
  BOOST_TEST(link.IsBusy());
  Carry(link, {});
  BOOST_TEST(!link.IsBusy());
  Carry(link, {0, 100000, 0, 0});
  BOOST_TEST(link.IsBusy());
}

BOOST_FIXTURE_TEST_CASE(DirectionsArentAdded, Fixture) {
  Carry(link, {50000, 50000, 0, 0});
  BOOST_TEST(!link.IsBusy());
  // 50,000 bytes, 34.5 headers for them, and half as many acknowledgements.
  BOOST_TEST(link.load() == 0.425, boost::test_tools::tolerance(0.01));
}

// Small reads or writes cost more in headers than in payload, in either
// direction.
BOOST_FIXTURE_TEST_CASE(HeadersCount, Fixture) {
  Carry(link, {0, 0, 700, 700});
  BOOST_TEST(link.load() == 0.672, boost::test_tools::tolerance(0.01));
  BOOST_TEST(link.IsBusy());
}

// A data packet in one direction is acknowledged in the other.
BOOST_FIXTURE_TEST_CASE(HeadersCountInBothDirections, Fixture) {
  Carry(link, {60000, 0, 300, 0});
  BOOST_TEST(link.load() == 0.644, boost::test_tools::tolerance(0.01));
  Carry(link, {0, 60000, 300, 0});
  BOOST_TEST(link.load() == 0.644, boost::test_tools::tolerance(0.01));
}

// Guards against an estimate that is too low where a read takes many packets:
// it showed 0.65 when the link was saturated.
BOOST_FIXTURE_TEST_CASE(LargeReadsCountAHeaderForEachPacket, Fixture) {
  Carry(link, {100000, 0, 10, 0});
  const WireTotals it = link.Totals();
  BOOST_TEST(it.in == kSeconds * (100000 + 60 * 10 + 60 * 100000 / 1448.0),
             boost::test_tools::tolerance(1e-6));
  // Half as many acknowledgements go the other way.
  BOOST_TEST(it.out == kSeconds * (60 * 10 + 30 * 100000 / 1448.0),
             boost::test_tools::tolerance(1e-6));
}

BOOST_FIXTURE_TEST_CASE(ALinkThatIsNotKnownIsNeverBusy, Fixture) {
  LinkMonitor unknown(loop, clock, 0);
  Carry(unknown, {1000000, 1000000, 1000, 1000});
  BOOST_TEST(!unknown.IsBusy());
}

}  // namespace
}  // namespace quaytrack
