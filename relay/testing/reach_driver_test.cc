// The way to a target, without a network: connections open or fail as the test
// says.

#include "relay/reach_driver.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const ServiceName kLlm("llm");
const VmName kSelf("vm-0");
const HallName kHall("hall-0");

class FakeClock final : public Clock {
 public:
  Instant Now() const override { return now; }
  WallTime WallNow() const override { return WallTime(); }
  Instant now{std::chrono::hours(1)};
};

FleetMember Member(const std::string& vm, const std::string& hall) {
  FleetMember out;
  out.vm = VmName(vm);
  out.hall = HallName(hall);
  out.address = vm + ":1";
  return out;
}

struct Fixture {
  Fixture() {
    for (int n = 0; n < 4; ++n) AddTarget("t" + std::to_string(n), kLlm);
    for (const FleetMember& it : members) Report(it.vm, {});
  }

  void AddTarget(const std::string& name, const ServiceName& service) {
    TargetEntry it;
    it.name = TargetName(name);
    it.service = service;
    it.address = name + ":1";
    entries[it.name] = it;
    reach.SetTargets(entries, [](const TargetEntry&) { return true; });
  }
  ReachDriver::Handlers Handlers() {
    ReachDriver::Handlers out;
    out.members = [this] { return members; };
    out.changed = [this](const ServiceName&, ReachAction it) {
      changes.push_back(it);
    };
    out.links_work = [] {};
    return out;
  }
  void Report(const VmName& vm, std::set<ServiceName> cut_off) {
    PeerMessage it;
    it.kind = PeerMessageKind::kPing;
    it.from = Incarnation(vm.value + "@1");
    it.cut_off = std::move(cut_off);
    reach.OnPeer(it);
  }
  // No connection opens, neither those of requests nor the probes.
  void LoseLinks() {
    TargetPath direct;
    direct.service = kLlm;
    reach.OnOpenFailed(direct, TargetName("t0"));
    reach.OnOpenFailed(direct, TargetName("t1"));
    RunFor(loop, milliseconds(20));
  }
  TargetPath Path(const Residency& residency = {},
                  const std::set<VmName>& tried = {}) {
    return reach.PathTo(entries.begin()->second, residency, tried);
  }

  FakeClock clock;
  Loop loop;
  ReachChart chart = BindReachChart().value();
  TargetConnections connections{
      loop, clock,
      [](Loop&, const std::string&, const TcpOptions&,
         const TcpSocket::Handlers&) { return std::shared_ptr<TcpSocket>(); }};
  std::vector<FleetMember> members = {Member("vm-1", "hall-0"),
                                      Member("vm-2", "hall-1")};
  std::map<TargetName, TargetEntry> entries;
  std::vector<ReachAction> changes;
  ReachDriver reach{{loop, clock, chart, connections},
                    Member(kSelf.value, kHall.value),
                    HallRegions::Parse("hall-0=north,hall-1=south").value(),
                    Handlers()};
};

// Guards against detours without a cause.
BOOST_FIXTURE_TEST_CASE(RequestsAreDirectWhileTheLinksWork, Fixture) {
  BOOST_TEST(Path().direct());
  BOOST_TEST(reach.CutOff().empty());
}

// Guards against a change of paths that stops an attempt which is just being
// ended for the failure that caused the change.
BOOST_FIXTURE_TEST_CASE(AChangeIsToldAfterTheEventThatCausedIt, Fixture) {
  TargetPath direct;
  direct.service = kLlm;
  reach.OnOpenFailed(direct, TargetName("t0"));
  reach.OnOpenFailed(direct, TargetName("t1"));
  // The probe round is over with this event.
  clock.now += TargetReach::kProbeTimeout;
  reach.OnOpenFailed(direct, TargetName("t2"));
  BOOST_TEST(reach.CutOff().contains(kLlm));
  BOOST_TEST(changes.empty());
  RunFor(loop, milliseconds(20));
  BOOST_TEST(changes.size() == 1U);
}

// Guards against a reset of the links that is noticed only when new connections
// fail.
BOOST_FIXTURE_TEST_CASE(ConnectionsThatBreakTogetherShowLostLinks, Fixture) {
  TargetPath direct;
  direct.service = kLlm;
  reach.OnBroken(direct, TargetName("t0"));
  BOOST_TEST(!reach.IsInDoubt(kLlm));
  reach.OnBroken(direct, TargetName("t1"));
  BOOST_TEST(reach.IsBeingProbed(kLlm));
  RunFor(loop, milliseconds(20));
  BOOST_TEST(reach.IsCutOff(kLlm));
  BOOST_TEST(!reach.IsBeingProbed(kLlm));
}

// Guards against tunnels that break with their peer and look like lost links.
BOOST_FIXTURE_TEST_CASE(TunnelsThatBreakSayNothingOfTheOwnLinks, Fixture) {
  TargetPath tunnel;
  tunnel.kind = PathKind::kTunnel;
  tunnel.service = kLlm;
  tunnel.peer = VmName("vm-1");
  reach.OnBroken(tunnel, TargetName("t0"));
  reach.OnBroken(tunnel, TargetName("t1"));
  BOOST_TEST(!reach.IsInDoubt(kLlm));
}

// Guards against a peer that has stopped and counts as alive.
BOOST_FIXTURE_TEST_CASE(APeerIsAliveWhileItsHeartbeatsCome, Fixture) {
  TargetPath tunnel;
  tunnel.kind = PathKind::kTunnel;
  tunnel.peer = VmName("vm-1");
  BOOST_TEST(reach.IsPeerAlive(tunnel));
  clock.now += ReachDriver::kPeerAliveFor;
  BOOST_TEST(!reach.IsPeerAlive(tunnel));
  Report(tunnel.peer, {});
  BOOST_TEST(reach.IsPeerAlive(tunnel));
  tunnel.peer = VmName("unknown");
  BOOST_TEST(!reach.IsPeerAlive(tunnel));
}

// Guards against refusals while a peer reaches the targets.
BOOST_FIXTURE_TEST_CASE(LostLinksAreReplacedByAPeer, Fixture) {
  LoseLinks();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0] == ReachAction::kUseTunnels));
  const TargetPath it = Path();
  BOOST_TEST((it.kind == PathKind::kTunnel));
  BOOST_TEST((it.peer == VmName("vm-1")));
  BOOST_TEST(it.address == "vm-1:1");
  BOOST_TEST((Path({}, {VmName("vm-1")}).peer == VmName("vm-2")));
}

// Guards against lost links that a service with few requests notices late.
BOOST_FIXTURE_TEST_CASE(LostLinksToOneServiceMakeTheOthersProbed, Fixture) {
  const ServiceName desk("desk");
  AddTarget("d0", desk);
  BOOST_TEST(!reach.CutOff().contains(desk));
  LoseLinks();
  BOOST_TEST(reach.CutOff().contains(desk));
}

// Guards against a body that leaves its router for another region.
BOOST_FIXTURE_TEST_CASE(APeerInAnotherRegionCarriesNoBoundRequest, Fixture) {
  LoseLinks();
  const Residency south({RegionName("south")});
  BOOST_TEST((Path(south).peer == VmName("vm-2")));
  const Residency west({RegionName("west")});
  BOOST_TEST((Path(west).kind == PathKind::kNone));
  // The router still serves others, so it stays ready.
  BOOST_TEST(!reach.LacksPath());
}

// Guards against a router that refuses its callers and looks well.
BOOST_FIXTURE_TEST_CASE(WithoutAPeerWithRoomTheRouterIsNotReady, Fixture) {
  LoseLinks();
  for (int n = 0; n < 2; ++n) reach.OnTunnelFailed(Path());
  BOOST_TEST((Path().kind == PathKind::kNone));
  BOOST_TEST(reach.LacksPath());
  clock.now += ReachDriver::kLacksPathFor;
  BOOST_TEST(!reach.LacksPath());
  BOOST_TEST((Path().kind == PathKind::kTunnel));
}

// Guards against requests that are passed around although nobody reaches the
// targets.
BOOST_FIXTURE_TEST_CASE(WhereAllAreCutOffNobodyIsAsked, Fixture) {
  for (const FleetMember& it : members) Report(it.vm, {kLlm});
  LoseLinks();
  BOOST_TEST((Path().kind == PathKind::kNone));
  BOOST_TEST(!reach.LacksPath());
  BOOST_TEST(reach.CutOff().contains(kLlm));
}

// Guards against requests that are handed on twice.
BOOST_FIXTURE_TEST_CASE(OnlyARouterWithLinksCarriesForPeers, Fixture) {
  BOOST_TEST((reach.MayCarry("t1:1") == TunnelStatus::kOpen));
  BOOST_TEST((reach.MayCarry("other:1") == TunnelStatus::kNoTarget));
  LoseLinks();
  BOOST_TEST((reach.MayCarry("t1:1") == TunnelStatus::kNoRoom));
}

// Guards against a target that gets work from a peer after it may get none.
BOOST_FIXTURE_TEST_CASE(NoTunnelLeadsToATargetThatMayGetNoWork, Fixture) {
  reach.SetTargets(entries, [](const TargetEntry& it) {
    return it.name != TargetName("t1");
  });
  BOOST_TEST((reach.MayCarry("t1:1") == TunnelStatus::kNoTarget));
  BOOST_TEST((reach.MayCarry("t2:1") == TunnelStatus::kOpen));
}

// Guards against a router that carries for peers while its own links are lost,
// as it has few callers and learns of it late.
BOOST_FIXTURE_TEST_CASE(FailedTunnelsOfPeersShowLostLinks, Fixture) {
  reach.OnDialed("t0:1", false);
  reach.OnDialed("t1:1", false);
  RunFor(loop, milliseconds(20));
  BOOST_TEST(reach.CutOff().contains(kLlm));
}

}  // namespace
}  // namespace quaytrack
