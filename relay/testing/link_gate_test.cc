// What LinkGate reports to other routers, and what it leaves to a planned stop.

#include "relay/link_gate.h"

#include <boost/test/unit_test.hpp>

#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

class NoDialect final : public CallerDialect {
 public:
  boost::leaf::result<RequestFacts> Read(const HttpHead&) const override {
    return RequestFacts();
  }
};

// A link of 1 Mbit/s, in bytes a second.
constexpr double kLink = 125000;

struct Fixture {
  explicit Fixture(double mbps = 1)
      : gate({loop, clock, dialect, HallName("h"), mbps}, Handlers()) {
    gate.Start();
    caller.route = &route;
    caller.customer = CustomerName("a");
  }

  LinkGate::Handlers Handlers() {
    LinkGate::Handlers out;
    out.map = [] { return ServiceMapPtr(); };
    out.is_stopping = [this] { return stopping; };
    out.connections = [] {
      return std::map<CustomerName, int>{{CustomerName("a"), 20}};
    };
    out.close_idle = [this](std::size_t) {
      ++idle_checks;
      return std::size_t{0};
    };
    return out;
  }
  // Requests three times what the link carries, and carries all that is let in,
  // for `d`.
  void Overload(Duration d) {
    CallerRequest request;
    request.body.resize(1000);
    const Instant start = clock.Now();
    double asked = 0;
    while (clock.Now() < start + d) {
      const double due = 3 * kLink * ToSeconds(clock.Now() - start);
      for (; asked < due; asked += 2500) {
        if (gate.Refuses(request, caller)) {
          ++refused;
          continue;
        }
        loop.traffic().bytes_in += 2500;
        loop.traffic().bytes_out += 2500;
      }
      RunFor(loop, milliseconds(20));
    }
  }
  PeerMessage Heartbeat(const char* from, double room, double hall_room) {
    PeerMessage out;
    out.kind = PeerMessageKind::kHello;
    out.from = Incarnation(from);
    out.hall = HallName("h");
    out.room = room;
    out.hall_room = hall_room;
    return out;
  }

  Loop loop;
  SystemClock clock;
  NoDialect dialect;
  bool stopping = false;
  int idle_checks = 0;
  int refused = 0;
  RouteRule route;
  Admission caller;
  LinkGate gate;
};

struct UnknownLink : Fixture {
  UnknownLink() : Fixture(0) {}
};
struct FastLink : Fixture {
  FastLink() : Fixture(1000) {}
};

BOOST_FIXTURE_TEST_CASE(AnOverloadedLinkRefusesAndMovesCallers, Fixture) {
  Overload(milliseconds(4500));
  BOOST_TEST(refused > 0);
  BOOST_TEST(!gate.IsReady());
  BOOST_TEST(gate.EndsConnection(CustomerName("a")));
  BOOST_TEST(!gate.EndsConnection(CustomerName("b")));
  BOOST_TEST(idle_checks > 0);
  PeerMessage out;
  gate.Fill(out, false);
  BOOST_TEST(out.room == 0);
  BOOST_TEST(out.hall_room == kUnknownRoom);
}

// A planned stop closes connections by its own rules.
BOOST_FIXTURE_TEST_CASE(APlannedStopTakesPrecedence, Fixture) {
  stopping = true;
  Overload(milliseconds(4500));
  BOOST_TEST(refused > 0);
  BOOST_TEST(!gate.EndsConnection(CustomerName("a")));
  BOOST_TEST(idle_checks == 0);
}

BOOST_FIXTURE_TEST_CASE(HoldersReportTheLargestShareOfTheirHall, Fixture) {
  gate.OnPeer(Heartbeat("v1@1", 0.4, kUnknownRoom));
  // What another holder reports of others isn't passed on: it would never
  // get old.
  gate.OnPeer(Heartbeat("v2@1", 0.1, 0.95));
  Overload(milliseconds(1500));
  PeerMessage out;
  gate.Fill(out, true);
  BOOST_TEST(out.hall_room == 0.4);
}

BOOST_FIXTURE_TEST_CASE(BodiesLeaveInTurnsWhenTheLinkIsFull, Fixture) {
  std::string order;
  while (gate.SendsNow(2000)) {
  }
  gate.Queue(5, "a", 100, [&] { order += 'l'; });
  gate.Queue(0, "a", 100, [&] { order += 'f'; });
  RunFor(loop, milliseconds(60));
  BOOST_TEST(order == "fl");
  BOOST_TEST(gate.waiting_sends() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AnUnknownLinkChangesNothing, UnknownLink) {
  Overload(milliseconds(500));
  BOOST_TEST(refused == 0);
  BOOST_TEST(gate.IsReady());
  BOOST_TEST(gate.ReceiveBuffer() == 0);
  BOOST_TEST(gate.SendsNow(1 << 30));
  BOOST_TEST(gate.SendsNow(1 << 30));
  BOOST_TEST(idle_checks == 0);
  PeerMessage out;
  gate.Fill(out, true);
  BOOST_TEST(out.room == kUnknownRoom);
  BOOST_TEST(out.hall_room == kUnknownRoom);
}

BOOST_FIXTURE_TEST_CASE(AFastLinkKeepsTheKernelsBuffers, FastLink) {
  BOOST_TEST(gate.ReceiveBuffer() == 0);
  Overload(milliseconds(500));
  BOOST_TEST(refused == 0);
  BOOST_TEST(gate.IsReady());
}

BOOST_FIXTURE_TEST_CASE(ASlowLinkHasSmallReceiveBuffers, Fixture) {
  BOOST_TEST(gate.ReceiveBuffer() >= 1024);
  BOOST_TEST(gate.ReceiveBuffer() <= 2048);
}

}  // namespace
}  // namespace quaytrack
