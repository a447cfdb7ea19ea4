// Links between routers, over loopback: which routers are linked, which of them
// get a message, and when a link counts as lost.

#include "relay/peer_mesh.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "kv/testing/scripted_store.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Long enough for a link over loopback to open.
constexpr Duration kOpened = milliseconds(200);
// Longer than the interval between two heartbeats.
constexpr Duration kNextHeartbeat = milliseconds(1200);

// Stands still until the test moves it.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return now; }
  WallTime WallNow() const override { return {}; }
  Instant now = Instant(std::chrono::hours(1));
};

// One router's links, and the calls of its handlers.
struct Router {
  Router(Loop& loop, const char* incarnation)
      : self(incarnation), mesh(loop, clock, self, Handlers()) {
    address = "127.0.0.1:" + std::to_string(mesh.Listen("127.0.0.1:0"));
  }

  PeerMesh::Handlers Handlers() {
    PeerMesh::Handlers out;
    out.message = [this](const PeerMessage& it) { received.push_back(it); };
    out.fill = [this](PeerMessage& it) { it.config_version = version; };
    out.lost = [this](const Incarnation& it) { lost.push_back(it); };
    return out;
  }
  FleetMember Member() const { return {VmOf(self), HallName("h"), address}; }
  int Count(PeerMessageKind kind) const {
    return static_cast<int>(
        std::count_if(received.begin(), received.end(),
                      [&](const PeerMessage& it) { return it.kind == kind; }));
  }

  ManualClock clock;
  Incarnation self;
  std::uint64_t version = 7;
  std::vector<PeerMessage> received;
  std::vector<Incarnation> lost;
  std::string address;
  PeerMesh mesh;
};

struct Fixture {
  // Dials `to` from `from`, and waits until both have received a hello.
  void Link(Router& from, const Router& to) {
    from.mesh.KeepLinksTo({to.Member()});
    RunFor(loop, kOpened);
  }

  Loop loop;
  Router one{loop, "vm-1@a"};
  Router two{loop, "vm-2@a"};
};

BOOST_FIXTURE_TEST_CASE(BothEndsOfALinkLearnWhoIsThere, Fixture) {
  BOOST_TEST(one.mesh.LinkedOn(VmName("vm-2")).empty());
  Link(one, two);
  BOOST_TEST((one.mesh.LinkedOn(VmName("vm-2")) == two.self));
  BOOST_TEST((two.mesh.LinkedOn(VmName("vm-1")) == one.self));
  BOOST_TEST(one.Count(PeerMessageKind::kHello) == 1);
  BOOST_TEST(two.Count(PeerMessageKind::kHello) == 1);
  BOOST_TEST(two.received.at(0).config_version == 7U);
  BOOST_TEST(one.mesh.peers() == 1U);
}

// If both routers dial there are two links; a broadcast uses one of them.
BOOST_FIXTURE_TEST_CASE(APeerWithTwoLinksIsToldOnce, Fixture) {
  one.mesh.KeepLinksTo({two.Member()});
  two.mesh.KeepLinksTo({one.Member()});
  RunFor(loop, kOpened);
  BOOST_TEST(one.mesh.peers() == 1U);
  PeerMessage message;
  message.kind = PeerMessageKind::kTransferRequest;
  message.from = one.self;
  one.mesh.Broadcast(message);
  RunFor(loop, kOpened);
  BOOST_TEST(two.Count(PeerMessageKind::kTransferRequest) == 1);
  one.mesh.SendTo(two.self, message);
  one.mesh.SendTo(Incarnation("vm-2@b"), message);
  RunFor(loop, kOpened);
  BOOST_TEST(two.Count(PeerMessageKind::kTransferRequest) == 2);
}

BOOST_FIXTURE_TEST_CASE(PeersShowWhatIsInForceEachSecondAndAtOnce, Fixture) {
  Link(one, two);
  one.version = 8;
  one.mesh.BroadcastHeartbeat();
  RunFor(loop, kOpened);
  BOOST_TEST(two.Count(PeerMessageKind::kPing) == 1);
  BOOST_TEST(two.received.back().config_version == 8U);
  RunFor(loop, kNextHeartbeat);
  BOOST_TEST(two.Count(PeerMessageKind::kPing) >= 2);
}

// A cut sends no signal: silence closes the link, and it is dialled again.
BOOST_FIXTURE_TEST_CASE(ALinkThatIsSilentIsLostAndDialledAgain, Fixture) {
  Link(one, two);
  one.clock.now += milliseconds(3600);
  RunFor(loop, kNextHeartbeat);
  BOOST_REQUIRE(one.lost.size() == 1U);
  BOOST_TEST((one.lost[0] == two.self));
  RunFor(loop, kOpened);
  BOOST_TEST((one.mesh.LinkedOn(VmName("vm-2")) == two.self));
  BOOST_TEST(one.Count(PeerMessageKind::kHello) == 2);
}

BOOST_FIXTURE_TEST_CASE(ALinkThatWasHeardOfLatelyStays, Fixture) {
  Link(one, two);
  one.clock.now += milliseconds(3400);
  RunFor(loop, kNextHeartbeat);
  BOOST_TEST(one.lost.empty());
  BOOST_TEST(one.Count(PeerMessageKind::kHello) == 1);
}

// A VM runs one router, so the process of the earlier incarnation has ended.
BOOST_FIXTURE_TEST_CASE(ALaterIncarnationEndsTheLinksToAnEarlier, Fixture) {
  Link(one, two);
  Router later{loop, "vm-2@b"};
  later.mesh.KeepLinksTo({one.Member()});
  RunFor(loop, kOpened);
  BOOST_TEST((one.mesh.LinkedOn(VmName("vm-2")) == later.self));
  BOOST_REQUIRE(one.lost.size() == 1U);
  BOOST_TEST((one.lost[0] == two.self));
}

}  // namespace
}  // namespace quaytrack
