// The steps of a roll-out at one router, depending on its answers, reports of
// peers and the store.

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

// A router that is the only decider.
struct Fixture {
  Fixture() {
    context.self = VmName("vm-1");
    context.is_decider = true;
    context.has_next = true;
  }

  // Adds `n` answers of each version; `failed` of those of the next version
  // failed.
  void AddAnswers(int n, int failed) {
    for (int i = 0; i < n; ++i) {
      AttemptOutcome seen;
      seen.failed = i < failed;
      it.OnAnswer("review", true, seen);
      it.OnAnswer("review", false, {});
    }
  }
  RolloutAction StepAt(Duration after) {
    return it.Step(kStart + after, context);
  }
  double ShareAt(Duration after) const {
    return it.Rule(kStart + after, context).share;
  }
  void Begin() { it.OnStored(RolloutEvent::kStarted, kStart); }
  // Brings a good version to its full share.
  void ReachFullShare() {
    Begin();
    AddAnswers(100, 0);
    for (Duration at = seconds(6); at <= seconds(12); at += milliseconds(200)) {
      StepAt(at);
    }
    BOOST_REQUIRE((it.state() == RolloutState::kFull));
  }
  RolloutReport PeerReport(RolloutState state) const {
    RolloutReport out;
    out.version = VersionName("v2");
    out.order = 7;
    out.state = state;
    out.left = seconds(20);
    return out;
  }

  RolloutContext context;
  Rollout it{Order(), kStart, TheChart(), {0.06}};
};

BOOST_FIXTURE_TEST_CASE(NothingGoesThereBeforeTheStoreNamesIt, Fixture) {
  BOOST_TEST(ShareAt(seconds(1)) == 0);
  BOOST_TEST(it.Rule(kStart, context).allow_next_alone);
  Begin();
  BOOST_TEST(ShareAt(seconds(1)) == 0.06);
}

BOOST_FIXTURE_TEST_CASE(AGoodVersionGetsMoreByAndBy, Fixture) {
  Begin();
  AddAnswers(100, 0);
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
  BOOST_TEST(!it.Rule(kStart + seconds(9), context).allow_others);
}

BOOST_FIXTURE_TEST_CASE(ItIsCompletedOnceNothingRunsElsewhere, Fixture) {
  ReachFullShare();
  context.running_at_other_versions = 1;
  BOOST_TEST((StepAt(seconds(13)) == RolloutAction::kNone));
  context.running_at_other_versions = 0;
  BOOST_TEST((StepAt(seconds(13)) == RolloutAction::kReportCompleted));
  it.OnStored(RolloutEvent::kCompleted, kStart + seconds(13));
  BOOST_TEST(it.IsOver());
  BOOST_TEST(!it.Rule(kStart + seconds(14), context).allow_others);
}

BOOST_FIXTURE_TEST_CASE(ABadVersionIsWithdrawnAtEachStep, Fixture) {
  Begin();
  AddAnswers(100, 0);
  StepAt(seconds(6));
  BOOST_REQUIRE((it.state() == RolloutState::kQuarter));
  AddAnswers(30, 20);
  BOOST_TEST((StepAt(seconds(7)) == RolloutAction::kReportReverted));
  const RolloutRule rule = it.Rule(kStart + seconds(7), context);
  BOOST_TEST(rule.share == 0);
  BOOST_TEST(!rule.allow_next_alone);
}

BOOST_FIXTURE_TEST_CASE(WithoutAnswersNothingMovesUntilTheTimeIsOver, Fixture) {
  Begin();
  context.has_next = false;
  for (Duration at = seconds(1); at < seconds(19); at += milliseconds(200)) {
    BOOST_TEST((StepAt(at) == RolloutAction::kNone));
  }
  BOOST_TEST((it.state() == RolloutState::kTrial));
  BOOST_TEST((StepAt(milliseconds(19'001)) == RolloutAction::kReportReverted));
}

// With few requests there is not enough evidence that the version is good, so
// it moves only after kMaxTrialShare of the time, if there is no evidence
// against it.
BOOST_FIXTURE_TEST_CASE(AServiceWithFewRequestsMovesLate, Fixture) {
  Begin();
  AddAnswers(3, 0);
  StepAt(seconds(10));
  BOOST_TEST((it.state() == RolloutState::kTrial));
  StepAt(seconds(11));
  BOOST_TEST((it.state() == RolloutState::kQuarter));
}

// Requests that run at the other versions are not aborted because of a
// deadline.
BOOST_FIXTURE_TEST_CASE(AMoveThatIsLateIsStillFinished, Fixture) {
  ReachFullShare();
  context.running_at_other_versions = 1;
  BOOST_TEST((StepAt(seconds(30)) == RolloutAction::kNone));
  BOOST_TEST((it.state() == RolloutState::kFull));
}

BOOST_FIXTURE_TEST_CASE(OthersAreFollowedForwardsOnly, Fixture) {
  context.is_decider = false;
  it.OnReport(kStart, kPeer, true, PeerReport(RolloutState::kHalf), context);
  BOOST_TEST(ShareAt(seconds(1)) == 0.5);
  it.OnReport(kStart, kPeer, true, PeerReport(RolloutState::kTrial), context);
  BOOST_TEST(ShareAt(seconds(1)) == 0.5);
  it.OnReport(kStart, kPeer, true, PeerReport(RolloutState::kWithdrawn),
              context);
  BOOST_TEST(ShareAt(seconds(1)) == 0);
  it.OnReport(kStart, kPeer, true, PeerReport(RolloutState::kFull), context);
  BOOST_TEST((it.state() == RolloutState::kWithdrawn));
}

// The router could not learn that the version was withdrawn.
BOOST_FIXTURE_TEST_CASE(WhoHearsOfNoDeciderSendsNothingThere, Fixture) {
  context.is_decider = false;
  it.OnReport(kStart, kPeer, true, PeerReport(RolloutState::kFull), context);
  BOOST_TEST(ShareAt(milliseconds(1500)) == 1);
  BOOST_TEST(ShareAt(milliseconds(1501)) == 0);
  BOOST_TEST(it.Rule(kStart + seconds(2), context).allow_others);
}

BOOST_FIXTURE_TEST_CASE(ADeciderThatIsCutOffTakesNoStep, Fixture) {
  context.deciders = 3;
  Begin();
  AddAnswers(100, 0);
  StepAt(seconds(6));
  BOOST_TEST((it.state() == RolloutState::kTrial));
  BOOST_TEST(ShareAt(seconds(6)) == 0);
  it.OnReport(kStart + seconds(6), kPeer, true,
              PeerReport(RolloutState::kTrial), context);
  StepAt(seconds(6));
  BOOST_TEST((it.state() == RolloutState::kQuarter));
}

BOOST_FIXTURE_TEST_CASE(WhatItSeesWithdrawsItEvenSo, Fixture) {
  context.deciders = 3;
  Begin();
  AddAnswers(30, 30);
  BOOST_TEST((StepAt(seconds(1)) == RolloutAction::kReportReverted));
}

BOOST_FIXTURE_TEST_CASE(ReportsOnAnotherOrderChangeNothing, Fixture) {
  context.is_decider = false;
  RolloutReport other_version = PeerReport(RolloutState::kCompleted);
  other_version.version = VersionName("v3");
  RolloutReport other_order = PeerReport(RolloutState::kCompleted);
  other_order.order = 6;
  it.OnReport(kStart, kPeer, true, other_version, context);
  it.OnReport(kStart, kPeer, true, other_order, context);
  // A sum from a router that is no decider is ignored too.
  it.OnReport(kStart, kPeer, false, PeerReport(RolloutState::kCompleted),
              context);
  BOOST_TEST((it.state() == RolloutState::kUnconfirmed));
}

BOOST_FIXTURE_TEST_CASE(EachRoutersAnswersAreCountedOnce, Fixture) {
  RolloutReport assigned = PeerReport(RolloutState::kTrial);
  assigned.counted_by = VmName("vm-1");
  assigned.evidence.Add("review", true, {});
  RolloutReport elsewhere = assigned;
  elsewhere.counted_by = VmName("vm-9");
  RolloutReport sum = PeerReport(RolloutState::kTrial);
  for (int n = 0; n < 5; ++n) sum.evidence.Add("review", true, {});
  it.OnReport(kStart, Incarnation("vm-3@1"), false, assigned, context);
  it.OnReport(kStart, Incarnation("vm-3@1"), false, assigned, context);
  it.OnReport(kStart, Incarnation("vm-4@1"), false, elsewhere, context);
  it.OnReport(kStart, kPeer, true, sum, context);
  it.OnAnswer("review", true, {});
  BOOST_TEST(AnswersOf(it.Total(context).next) == 7U);
  // A sum does not include the sums of other deciders.
  BOOST_TEST(AnswersOf(it.Report(kStart, context).evidence.next) == 2U);
  BOOST_TEST(it.Report(kStart, context).routers == 2U);
}

BOOST_FIXTURE_TEST_CASE(ARouterThatStillSendsElsewhereHoldsItUp, Fixture) {
  ReachFullShare();
  context.routers = 2;
  RolloutReport peer = PeerReport(RolloutState::kFull);
  peer.counted_by = VmName("vm-1");
  it.OnReport(kStart + seconds(12), kPeer, false, peer, context);
  BOOST_TEST((StepAt(seconds(12)) == RolloutAction::kNone));
  peer.drained = true;
  it.OnReport(kStart + seconds(12), kPeer, false, peer, context);
  BOOST_TEST((StepAt(seconds(12)) == RolloutAction::kReportCompleted));
}

// Its VM may be gone permanently.
BOOST_FIXTURE_TEST_CASE(ASilentRouterIsNotWaitedForWithoutEnd, Fixture) {
  ReachFullShare();
  context.routers = 2;
  BOOST_TEST((StepAt(seconds(12)) == RolloutAction::kNone));
  BOOST_TEST((StepAt(seconds(16)) == RolloutAction::kReportCompleted));
}

BOOST_FIXTURE_TEST_CASE(TheFirstWordOfTheStoreStays, Fixture) {
  Begin();
  it.OnStored(RolloutEvent::kReverted, kStart);
  it.OnStored(RolloutEvent::kCompleted, kStart);
  BOOST_TEST((it.state() == RolloutState::kReverted));
  // Withdrawn here, but completed in the store before this router could write
  // the result.
  Rollout other(Order(), kStart, TheChart(), {0.06});
  other.OnStored(RolloutEvent::kStarted, kStart);
  other.OnReport(kStart, kPeer, true, PeerReport(RolloutState::kWithdrawn),
                 context);
  other.OnStored(RolloutEvent::kCompleted, kStart);
  BOOST_TEST((other.state() == RolloutState::kCompleted));
}

}  // namespace
}  // namespace quaytrack
