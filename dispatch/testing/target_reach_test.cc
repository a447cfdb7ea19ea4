// When a router's own links count as lost, and when the targets do.

#include "dispatch/target_reach.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::hours(1)};

const ReachChart& TheChart() {
  static const ReachChart kChart = BindReachChart().value();
  return kChart;
}

TargetName Name(int n) { return TargetName("t" + std::to_string(n)); }

class Fixture {
 public:
  explicit Fixture(int targets) : reach(TheChart()) {
    std::vector<TargetName> names;
    for (int n = 0; n < targets; ++n) names.push_back(Name(n));
    reach.SetTargets(names);
    reach.SetPeers(5);
  }

  // Runs one probe round in which the first `opening` connections open.
  ReachAction Round(std::size_t opening) {
    const ReachStep begun = reach.Check(now);
    probed = begun.probes;
    if (begun.action != ReachAction::kNone) return begun.action;
    std::size_t n = 0;
    for (const TargetName& it : probed) reach.OnProbe(now, it, n++ < opening);
    return reach.Check(now).action;
  }
  void Wait(Duration d) { now += d; }
  void LoseLinks() {
    reach.OnOpenFailed(now, Name(0));
    reach.OnOpenFailed(now, Name(1));
    BOOST_REQUIRE(Round(0) == ReachAction::kUseTunnels);
  }

  bool Fail(const char* peer, int target) {
    return reach.OnPeerTried(VmName(peer), Name(target), false);
  }

  TargetReach reach;
  Instant now = kStart;
  std::vector<TargetName> probed;
};

// Guards against probes while nothing is wrong.
BOOST_AUTO_TEST_CASE(NoEvidenceNeedsNoProbes) {
  Fixture it(4);
  it.reach.OnSent(it.now, Name(0));
  it.reach.OnHeard(it.now, Name(0));
  it.Wait(std::chrono::seconds(10));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
  BOOST_TEST(!it.reach.IsCutOff());
}

// Guards against a target that is down and looks like lost links.
BOOST_AUTO_TEST_CASE(OneTargetThatDoesntOpenIsNoCut) {
  Fixture it(4);
  for (int n = 0; n < 20; ++n) {
    it.reach.OnOpenFailed(it.now, Name(0));
    BOOST_TEST(it.reach.Check(it.now).probes.empty());
    it.Wait(milliseconds(50));
  }
}

// Guards against a reset of all links that goes unnoticed until new connections
// have failed.
BOOST_AUTO_TEST_CASE(ConnectionsThatBreakTogetherNeedARound) {
  Fixture it(4);
  it.reach.OnBroken(it.now, Name(0));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
  it.reach.OnBroken(it.now, Name(1));
  BOOST_TEST((it.Round(0) == ReachAction::kUseTunnels));
}

// Guards against targets that end one after the other and look like lost links.
BOOST_AUTO_TEST_CASE(ConnectionsThatBreakApartNeedNoRound) {
  Fixture it(4);
  for (int n = 0; n < 4; ++n) {
    it.reach.OnBroken(it.now, Name(n));
    BOOST_TEST(it.reach.Check(it.now).probes.empty());
    it.Wait(TargetReach::kBrokenTogether * 2);
  }
}

// Guards against failures that add up although the links work.
BOOST_AUTO_TEST_CASE(AConnectionThatOpensClearsTheFailuresBeforeIt) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.reach.OnOpened(it.now, Name(2));
  it.reach.OnOpenFailed(it.now, Name(1));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
}

// Guards against a crash of some targets that looks like lost links.
BOOST_AUTO_TEST_CASE(TwoTargetsDownAndOthersUpAreNoCut) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.reach.OnOpenFailed(it.now, Name(1));
  BOOST_TEST((it.Round(1) == ReachAction::kNone));
  BOOST_TEST(it.probed.size() == TargetReach::kProbesPerRound);
  // Targets that aren't suspected are probed first.
  BOOST_TEST((it.probed[0] == Name(2)));
  BOOST_TEST((it.probed[1] == Name(3)));
  BOOST_TEST(!it.reach.IsCutOff());
}

// Guards against lost links that go unnoticed.
BOOST_AUTO_TEST_CASE(NoConnectionOfARoundOpensSoTheLinksAreLost) {
  Fixture it(4);
  it.LoseLinks();
  BOOST_TEST(it.reach.IsLost());
}

// Guards against overloaded targets that look like lost links: they accept no
// connection in time, and still answer on those that are open.
BOOST_AUTO_TEST_CASE(AnAnswerDuringARoundThatHangsShowsThatTheLinksWork) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.reach.OnOpenFailed(it.now, Name(1));
  BOOST_TEST(it.reach.Check(it.now).probes.size() == 3U);
  it.Wait(TargetReach::kProbeTimeout / 2);
  it.reach.OnHeard(it.now, Name(1));
  it.Wait(TargetReach::kProbeTimeout / 2);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kNone));
  BOOST_TEST(!it.reach.IsCutOff());
}

// Guards against a cut that refuses new connections and lets open ones live.
BOOST_AUTO_TEST_CASE(RefusedConnectionsAreACutWhateverOpenOnesCarry) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.reach.OnOpenFailed(it.now, Name(1));
  const ReachStep step = it.reach.Check(it.now);
  it.Wait(milliseconds(1));
  it.reach.OnHeard(it.now, Name(1));
  for (const TargetName& target : step.probes)
    it.reach.OnProbe(it.now, target, false);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kUseTunnels));
}

// Guards against connections that hang and keep a round from ending.
BOOST_AUTO_TEST_CASE(ARoundWithoutAnswersEndsInTime) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.reach.OnOpenFailed(it.now, Name(1));
  BOOST_TEST(it.reach.Check(it.now).probes.size() == 3U);
  it.Wait(TargetReach::kProbeTimeout - milliseconds(1));
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kNone));
  it.Wait(milliseconds(1));
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kUseTunnels));
}

// Guards against lost links on which old connections just hang.
BOOST_AUTO_TEST_CASE(SilenceAtSeveralTargetsIsProbed) {
  Fixture it(4);
  it.reach.OnHeard(it.now, Name(3));
  it.reach.OnSent(it.now, Name(0));
  it.reach.OnSent(it.now, Name(1));
  it.Wait(TargetReach::kSilence - milliseconds(1));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
  it.Wait(milliseconds(1));
  BOOST_TEST((it.Round(0) == ReachAction::kUseTunnels));
}

// Guards against lost links that are noticed late where requests are few: one
// waits on a kept connection, and the next can't open one.
BOOST_AUTO_TEST_CASE(ASilentTargetAndOneThatDoesntOpenAreProbed) {
  Fixture it(4);
  it.reach.OnSent(it.now, Name(0));
  it.Wait(TargetReach::kSilence);
  it.reach.OnOpenFailed(it.now, Name(1));
  BOOST_TEST((it.Round(0) == ReachAction::kUseTunnels));
  BOOST_TEST(it.probed.size() == TargetReach::kProbesPerRound);
}

// Guards against lost links that are noticed late where requests are few: one
// that waits alone has one connection opened elsewhere, and only a round after
// that decides.
BOOST_AUTO_TEST_CASE(ARequestThatWaitsAloneIsCheckedWithOneConnection) {
  Fixture it(4);
  it.reach.OnSent(it.now, Name(0));
  it.Wait(TargetReach::kSilence - milliseconds(1));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
  it.Wait(milliseconds(1));
  const ReachStep check = it.reach.Check(it.now);
  BOOST_REQUIRE(check.probes.size() == 1U);
  BOOST_TEST((check.probes[0] != Name(0)));
  it.Wait(TargetReach::kProbeTimeout);
  const ReachStep round = it.reach.Check(it.now);
  BOOST_TEST((round.action == ReachAction::kNone));
  BOOST_TEST(round.probes.size() == TargetReach::kProbesPerRound);
  it.Wait(TargetReach::kProbeTimeout);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kUseTunnels));
  // With checks every 200 ms and a request right after one.
  BOOST_TEST((it.now - kStart + milliseconds(100) <= milliseconds(1000)));
}

// Guards against probes that a single slow target causes again and again.
BOOST_AUTO_TEST_CASE(ASlowTargetIsNoCutAndIsCheckedLessAndLess) {
  Fixture it(4);
  int probes = 0;
  for (int n = 0; n < 100; ++n) {
    it.reach.OnSent(it.now, Name(0));
    it.Wait(milliseconds(100));
    BOOST_TEST((it.Round(3) == ReachAction::kNone));
    probes += static_cast<int>(it.probed.size());
  }
  // One connection each time: at 0.4 s, then after 1, 2, 4 and 4 s.
  BOOST_TEST(probes <= 5);
}

// Guards against probes that a slow service causes again and again.
BOOST_AUTO_TEST_CASE(AServiceThatIsJustSlowIsProbedLessAndLess) {
  Fixture it(4);
  int rounds = 0;
  for (int n = 0; n < 100; ++n) {
    it.reach.OnSent(it.now, Name(n % 4));
    it.Wait(milliseconds(100));
    it.Round(3);
    if (!it.probed.empty()) ++rounds;
  }
  // In 10 s; without doubling it would be a round every 0.5 s.
  BOOST_TEST(rounds <= 5);
  it.reach.OnHeard(it.now, Name(0));
  it.reach.OnSent(it.now, Name(0));
  it.reach.OnSent(it.now, Name(1));
  it.Wait(TargetReach::kSilence);
  it.Round(0);
  BOOST_TEST(it.reach.IsLost());
}

// Guards against slow targets that look like lost links.
BOOST_AUTO_TEST_CASE(AnAnswerFromAnyTargetEndsTheSilence) {
  Fixture it(4);
  it.reach.OnSent(it.now, Name(0));
  it.reach.OnSent(it.now, Name(1));
  it.Wait(TargetReach::kSilence);
  it.reach.OnHeard(it.now, Name(2));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
}

// Guards against lost links of a service that can show no second failure.
BOOST_AUTO_TEST_CASE(AServiceWithOneTargetNeedsOnlyThatOne) {
  Fixture it(1);
  it.reach.OnOpenFailed(it.now, Name(0));
  BOOST_TEST((it.Round(0) == ReachAction::kUseTunnels));
  BOOST_TEST(it.probed.size() == 1U);
}

// Guards against detours over peers after a cut has ended.
BOOST_AUTO_TEST_CASE(MostConnectionsOfARoundEndTheCut) {
  Fixture it(4);
  it.LoseLinks();
  it.Wait(TargetReach::kRoundInterval);
  BOOST_TEST((it.Round(2) == ReachAction::kUseLinks));
  BOOST_TEST(!it.reach.IsCutOff());
}

// Guards against detours that last because some targets are down.
BOOST_AUTO_TEST_CASE(FewConnectionsInTwoRoundsEndTheCut) {
  Fixture it(4);
  it.LoseLinks();
  it.Wait(TargetReach::kRoundInterval);
  BOOST_TEST((it.Round(1) == ReachAction::kNone));
  BOOST_TEST(it.reach.IsLost());
  it.Wait(TargetReach::kRoundInterval);
  BOOST_TEST((it.Round(1) == ReachAction::kUseLinks));
}

// Guards against requests that are passed around while a service is down.
BOOST_AUTO_TEST_CASE(WherePeersFailTooTheTargetsAreUnhealthy) {
  Fixture it(4);
  it.LoseLinks();
  BOOST_TEST(!it.Fail("vm-1", 0));
  BOOST_TEST(!it.Fail("vm-2", 0));
  BOOST_TEST(it.Fail("vm-1", 1));
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kNone));
  BOOST_TEST(it.Fail("vm-2", 1));
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kLeavePeers));
  BOOST_TEST(it.reach.IsCutOff());
  BOOST_TEST(!it.reach.IsLost());
}

// The peer may have been cut off a moment ago.
BOOST_AUTO_TEST_CASE(OnePeerThatReachesNothingIsNoSignOfUnhealthyTargets) {
  Fixture it(4);
  it.LoseLinks();
  for (int n = 0; n < 4; ++n) it.Fail("vm-1", n);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kNone));
  it.reach.SetPeers(1);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kLeavePeers));
}

// Guards against peers that are left although one of them reaches the targets.
BOOST_AUTO_TEST_CASE(OnePeerThatReachesATargetOutweighsFailuresBefore) {
  Fixture it(4);
  it.LoseLinks();
  it.Fail("vm-1", 0);
  it.Fail("vm-1", 1);
  it.reach.OnPeerTried(VmName("vm-3"), Name(2), true);
  it.Fail("vm-2", 0);
  it.Fail("vm-2", 1);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kNone));
  BOOST_TEST(it.reach.IsLost());
}

// Guards against refusals that outlast the trouble of the peers.
BOOST_AUTO_TEST_CASE(PeersAreAskedAgainOnceSomeReachTheTargets) {
  Fixture it(4);
  it.LoseLinks();
  it.reach.SetPeers(0);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kLeavePeers));
  it.Wait(TargetReach::kPeersAgain);
  it.Round(0);
  BOOST_TEST(it.reach.AreTargetsUnhealthy());
  it.reach.SetPeers(2);
  BOOST_TEST((it.reach.Check(it.now).action == ReachAction::kUseTunnels));
}

// Guards against refusals that outlast the trouble of the targets.
BOOST_AUTO_TEST_CASE(OneConnectionShowsThatTargetsAreWellAgain) {
  Fixture it(4);
  it.LoseLinks();
  it.reach.SetPeers(0);
  it.reach.Check(it.now);
  it.Wait(TargetReach::kRoundInterval);
  BOOST_TEST((it.Round(1) == ReachAction::kUseLinks));
}

// Guards against planned ends of targets that look like lost links.
BOOST_AUTO_TEST_CASE(TargetsThatAreGoneAreNoEvidence) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.reach.OnOpenFailed(it.now, Name(1));
  it.reach.SetTargets({Name(2), Name(3)});
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
}

// Guards against failures that add up over a long time.
BOOST_AUTO_TEST_CASE(OldEvidenceExpires) {
  Fixture it(4);
  it.reach.OnOpenFailed(it.now, Name(0));
  it.Wait(TargetReach::kEvidenceTime + milliseconds(1));
  it.reach.OnOpenFailed(it.now, Name(1));
  BOOST_TEST(it.reach.Check(it.now).probes.empty());
}

}  // namespace
}  // namespace quaytrack
