// The steps of a roll-out at one router, by what it sees, hears and is told by
// the store.

#include "rollout/rollout.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
const ServiceName kService("llm");
const Incarnation kPeer("vm-2@1");

const RolloutChart& TheChart() {
  static const RolloutChart chart = BindRolloutChart().value();
  return chart;
}

RolloutOrder Order() { return {kService, VersionName("v2"), seconds(20), 7}; }

// A router that decides alone.
struct Fixture {
  Fixture() {
    scene.self = VmName("vm-1");
    scene.decides = true;
    scene.has_next = true;
  }

  // Answers of both versions, some of the next one's failed.
  void Answers(int n, int failed) {
    for (int i = 0; i < n; ++i) {
      AnswerSeen seen;
      seen.failed = i < failed;
      it.OnAnswer("review", true, seen);
      it.OnAnswer("review", false, {});
    }
  }
  RolloutAction StepAt(Duration after) {
    return it.Step(kStart + after, scene);
  }
  double ShareAt(Duration after) const {
    return it.Rule(kStart + after, scene).share;
  }
  void Begin() { it.OnStored(RolloutEvent::kBegun, kStart); }
  // A good version, at its full share.
  void Move() {
    Begin();
    Answers(100, 0);
    for (Duration at = seconds(6); at <= seconds(12); at += milliseconds(200)) {
      StepAt(at);
    }
    BOOST_REQUIRE((it.state() == RolloutState::kFull));
  }
  RolloutReport PeerSays(RolloutState state) const {
    RolloutReport out;
    out.version = VersionName("v2");
    out.order = 7;
    out.state = state;
    out.left = seconds(20);
    return out;
  }

  RolloutScene scene;
  Rollout it{Order(), kStart, TheChart(), {0.06}};
};

BOOST_FIXTURE_TEST_CASE(NothingGoesThereBeforeTheStoreNamesIt, Fixture) {
  BOOST_TEST(ShareAt(seconds(1)) == 0);
  BOOST_TEST(it.Rule(kStart, scene).next_alone);
  Begin();
  BOOST_TEST(ShareAt(seconds(1)) == 0.06);
}

BOOST_FIXTURE_TEST_CASE(AGoodVersionGetsMoreByAndBy, Fixture) {
  Begin();
  Answers(100, 0);
  StepAt(seconds(5));
  BOOST_TEST((it.state() == RolloutState::kTrial));
  StepAt(seconds(6));
  BOOST_TEST(ShareAt(seconds(6)) == 0.25);
  StepAt(milliseconds(7399));
  BOOST_TEST(ShareAt(seconds(7)) == 0.25);
  StepAt(milliseconds(7400));
  BOOST_TEST(ShareAt(seconds(8)) == 0.5);
  StepAt(milliseconds(8800));
  BOOST_TEST(ShareAt(seconds(9)) == 1);
  BOOST_TEST(!it.Rule(kStart + seconds(9), scene).others);
}

BOOST_FIXTURE_TEST_CASE(ItIsCompletedOnceNothingRunsElsewhere, Fixture) {
  Move();
  scene.running_elsewhere = 1;
  BOOST_TEST((StepAt(seconds(13)) == RolloutAction::kNone));
  scene.running_elsewhere = 0;
  BOOST_TEST((StepAt(seconds(13)) == RolloutAction::kReportCompleted));
  it.OnStored(RolloutEvent::kCompleted, kStart + seconds(13));
  BOOST_TEST(it.IsOver());
  BOOST_TEST(!it.Rule(kStart + seconds(14), scene).others);
}

BOOST_FIXTURE_TEST_CASE(ABadVersionIsWithdrawnAtEachStep, Fixture) {
  Begin();
  Answers(100, 0);
  StepAt(seconds(6));
  BOOST_REQUIRE((it.state() == RolloutState::kQuarter));
  Answers(30, 20);
  BOOST_TEST((StepAt(seconds(7)) == RolloutAction::kReportReverted));
  const RolloutRule rule = it.Rule(kStart + seconds(7), scene);
  BOOST_TEST(rule.share == 0);
  BOOST_TEST(!rule.next_alone);
}

BOOST_FIXTURE_TEST_CASE(WithoutAnswersNothingMovesUntilTheTimeIsOver, Fixture) {
  Begin();
  scene.has_next = false;
  for (Duration at = seconds(1); at < seconds(19); at += milliseconds(200)) {
    BOOST_TEST((StepAt(at) == RolloutAction::kNone));
  }
  BOOST_TEST((it.state() == RolloutState::kTrial));
  BOOST_TEST((StepAt(milliseconds(19'001)) == RolloutAction::kReportReverted));
}

// What moves a version is what nobody speaks against, where few requests come.
BOOST_FIXTURE_TEST_CASE(AServiceWithFewRequestsMovesLate, Fixture) {
  Begin();
  Answers(3, 0);
  StepAt(seconds(10));
  BOOST_TEST((it.state() == RolloutState::kTrial));
  StepAt(seconds(11));
  BOOST_TEST((it.state() == RolloutState::kQuarter));
}

// Requests that run at the other versions are not cut for a deadline.
BOOST_FIXTURE_TEST_CASE(AMoveThatIsLateIsStillFinished, Fixture) {
  Move();
  scene.running_elsewhere = 1;
  BOOST_TEST((StepAt(seconds(30)) == RolloutAction::kNone));
  BOOST_TEST((it.state() == RolloutState::kFull));
}

BOOST_FIXTURE_TEST_CASE(OthersAreFollowedForwardsOnly, Fixture) {
  scene.decides = false;
  it.OnReport(kStart, kPeer, true, PeerSays(RolloutState::kHalf), scene);
  BOOST_TEST(ShareAt(seconds(1)) == 0.5);
  it.OnReport(kStart, kPeer, true, PeerSays(RolloutState::kTrial), scene);
  BOOST_TEST(ShareAt(seconds(1)) == 0.5);
  it.OnReport(kStart, kPeer, true, PeerSays(RolloutState::kWithdrawn), scene);
  BOOST_TEST(ShareAt(seconds(1)) == 0);
  it.OnReport(kStart, kPeer, true, PeerSays(RolloutState::kFull), scene);
  BOOST_TEST((it.state() == RolloutState::kWithdrawn));
}

// It couldn't hear that the version is withdrawn.
BOOST_FIXTURE_TEST_CASE(WhoHearsOfNoDeciderSendsNothingThere, Fixture) {
  scene.decides = false;
  it.OnReport(kStart, kPeer, true, PeerSays(RolloutState::kFull), scene);
  BOOST_TEST(ShareAt(milliseconds(1500)) == 1);
  BOOST_TEST(ShareAt(milliseconds(1501)) == 0);
  BOOST_TEST(it.Rule(kStart + seconds(2), scene).others);
}

BOOST_FIXTURE_TEST_CASE(ADeciderThatIsCutOffTakesNoStep, Fixture) {
  scene.deciders = 3;
  Begin();
  Answers(100, 0);
  StepAt(seconds(6));
  BOOST_TEST((it.state() == RolloutState::kTrial));
  BOOST_TEST(ShareAt(seconds(6)) == 0);
  it.OnReport(kStart + seconds(6), kPeer, true, PeerSays(RolloutState::kTrial),
              scene);
  StepAt(seconds(6));
  BOOST_TEST((it.state() == RolloutState::kQuarter));
}

BOOST_FIXTURE_TEST_CASE(WhatItSeesWithdrawsItEvenSo, Fixture) {
  scene.deciders = 3;
  Begin();
  Answers(30, 30);
  BOOST_TEST((StepAt(seconds(1)) == RolloutAction::kReportReverted));
}

BOOST_FIXTURE_TEST_CASE(ReportsOnAnotherOrderChangeNothing, Fixture) {
  scene.decides = false;
  RolloutReport other_version = PeerSays(RolloutState::kCompleted);
  other_version.version = VersionName("v3");
  RolloutReport other_order = PeerSays(RolloutState::kCompleted);
  other_order.order = 6;
  it.OnReport(kStart, kPeer, true, other_version, scene);
  it.OnReport(kStart, kPeer, true, other_order, scene);
  // Nor does a sum of a router that is no decider.
  it.OnReport(kStart, kPeer, false, PeerSays(RolloutState::kCompleted), scene);
  BOOST_TEST((it.state() == RolloutState::kUnheard));
}

BOOST_FIXTURE_TEST_CASE(EachRoutersAnswersAreCountedOnce, Fixture) {
  RolloutReport assigned = PeerSays(RolloutState::kTrial);
  assigned.counted_by = VmName("vm-1");
  assigned.evidence.Add("review", true, {});
  RolloutReport elsewhere = assigned;
  elsewhere.counted_by = VmName("vm-9");
  RolloutReport sum = PeerSays(RolloutState::kTrial);
  for (int n = 0; n < 5; ++n) sum.evidence.Add("review", true, {});
  it.OnReport(kStart, Incarnation("vm-3@1"), false, assigned, scene);
  it.OnReport(kStart, Incarnation("vm-3@1"), false, assigned, scene);
  it.OnReport(kStart, Incarnation("vm-4@1"), false, elsewhere, scene);
  it.OnReport(kStart, kPeer, true, sum, scene);
  it.OnAnswer("review", true, {});
  BOOST_TEST(AnswersOf(it.Total(scene).next) == 7U);
  // A sum has no other decider's.
  BOOST_TEST(AnswersOf(it.Report(kStart, scene).evidence.next) == 2U);
  BOOST_TEST(it.Report(kStart, scene).routers == 2U);
}

BOOST_FIXTURE_TEST_CASE(ARouterThatStillSendsElsewhereHoldsItUp, Fixture) {
  Move();
  scene.routers = 2;
  RolloutReport peer = PeerSays(RolloutState::kFull);
  peer.counted_by = VmName("vm-1");
  it.OnReport(kStart + seconds(12), kPeer, false, peer, scene);
  BOOST_TEST((StepAt(seconds(12)) == RolloutAction::kNone));
  peer.drained = true;
  it.OnReport(kStart + seconds(12), kPeer, false, peer, scene);
  BOOST_TEST((StepAt(seconds(12)) == RolloutAction::kReportCompleted));
}

// Its VM may be gone for good.
BOOST_FIXTURE_TEST_CASE(ASilentRouterIsNotWaitedForWithoutEnd, Fixture) {
  Move();
  scene.routers = 2;
  BOOST_TEST((StepAt(seconds(12)) == RolloutAction::kNone));
  BOOST_TEST((StepAt(seconds(16)) == RolloutAction::kReportCompleted));
}

BOOST_FIXTURE_TEST_CASE(TheFirstWordOfTheStoreStays, Fixture) {
  Begin();
  it.OnStored(RolloutEvent::kReverted, kStart);
  it.OnStored(RolloutEvent::kCompleted, kStart);
  BOOST_TEST((it.state() == RolloutState::kReverted));
  // Withdrawn here, and completed there before it could say so.
  Rollout other(Order(), kStart, TheChart(), {0.06});
  other.OnStored(RolloutEvent::kBegun, kStart);
  other.OnReport(kStart, kPeer, true, PeerSays(RolloutState::kWithdrawn),
                 scene);
  other.OnStored(RolloutEvent::kCompleted, kStart);
  BOOST_TEST((other.state() == RolloutState::kCompleted));
}

}  // namespace
}  // namespace quaytrack
