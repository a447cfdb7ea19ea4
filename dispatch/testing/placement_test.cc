// The choice of a target, and the bound on retries.

#include "dispatch/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "dispatch/retry_share.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(RoutersAgreeOnThePreferredTargetOfAPart) {
  Placement one(HallName("hall-0"));
  Placement other(HallName("hall-2"));
  const auto targets = Targets(kEngines, 12);
  one.SetTargets(kStart, targets);
  other.SetTargets(kStart, targets);
  std::set<TargetName> preferred;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    const auto a = one.Choose(kStart, Prompt(part, 900 + part));
    const auto b = other.Choose(kStart, Prompt(part, 700 + part));
    BOOST_TEST((a->target.name == b->target.name));
    BOOST_TEST(a->is_preferred);
    preferred.insert(a->target.name);
  }
  // The preferred targets are spread.
  BOOST_TEST(preferred.size() >= 8U);
}

BOOST_AUTO_TEST_CASE(AFloodOfOnePartSpillsOver) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kEngines, 12));
  std::map<TargetName, int> sent;
  for (std::uint64_t n = 0; n < 60; ++n) {
    const PlacementRequest request = Prompt(7, 1000 + n);
    const auto choice = it.Choose(kStart, request);
    it.OnSent(kStart, choice->target.name, request, choice->is_preferred);
    ++sent[choice->target.name];
  }
  BOOST_TEST(sent.size() > 3U);
  for (const auto& [name, n] : sent) BOOST_TEST(n < 30);
}

BOOST_AUTO_TEST_CASE(OnlyThePartsOfTheDeadTargetMove) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kEngines, 12);
  it.SetTargets(kStart, targets);
  std::map<std::uint64_t, TargetName> before;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    before[part] = it.Choose(kStart, Prompt(part, 1))->target.name;
  }
  targets.erase(TargetName("t3"));
  it.SetTargets(kStart, targets);
  for (const auto& [part, target] : before) {
    const TargetName now = it.Choose(kStart, Prompt(part, 1))->target.name;
    if (target == TargetName("t3")) continue;
    BOOST_TEST((now == target));
  }
}

// Guards against a stream that goes on at another target than the one that has
// its cache, and at that one although it leaves.
BOOST_AUTO_TEST_CASE(ABoundRequestGoesToItsTargetOnly) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kDesk, 3);
  it.SetTargets(kStart, targets);
  PlacementRequest request;
  request.service = kDesk;
  for (const char* name : {"t0", "t1", "t2"}) {
    request.only = TargetName(name);
    BOOST_TEST((it.Choose(kStart, request)->target.name == *request.only));
  }
  targets[TargetName("t2")].leaving = true;
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.Choose(kStart, request).has_value());
}

BOOST_AUTO_TEST_CASE(ALeavingOrTriedTargetIsNotChosen) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kDesk, 3);
  targets[TargetName("t0")].leaving = true;
  it.SetTargets(kStart, targets);
  PlacementRequest request;
  request.service = kDesk;
  request.tried = {TargetName("t1")};
  BOOST_TEST((it.Choose(kStart, request)->target.name == TargetName("t2")));
  request.tried.insert(TargetName("t2"));
  BOOST_TEST(!it.Choose(kStart, request).has_value());
}

BOOST_AUTO_TEST_CASE(AFailingTargetIsLeftAndTriedAgain) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kDesk, 3));
  PlacementRequest request;
  request.service = kDesk;
  const TargetName bad = it.Choose(kStart, request)->target.name;
  for (int n = 0; n < 4; ++n) {
    it.OnSent(kStart, bad, request, false);
    it.OnEnded(kStart, bad, 0, PlacementOutcome::kFailed);
  }
  BOOST_TEST((it.Choose(kStart, request)->target.name != bad));
  const Instant later = kStart + std::chrono::seconds(60);
  BOOST_TEST((it.Choose(later, request)->target.name == bad));
}

BOOST_AUTO_TEST_CASE(AnEjectedTargetIsBetterThanNone) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kDesk, 1));
  PlacementRequest request;
  request.service = kDesk;
  for (int n = 0; n < 10; ++n) {
    it.OnSent(kStart, TargetName("t0"), request, false);
    it.OnEnded(kStart, TargetName("t0"), 0, PlacementOutcome::kFailed);
  }
  BOOST_TEST(it.Choose(kStart, request).has_value());
}

BOOST_AUTO_TEST_CASE(PlainCallsGoToTheLeastBusyOfTheirHall) {
  Placement it(HallName("hall-1"));
  it.SetTargets(kStart, Targets(kDesk, 3));
  PlacementRequest request;
  request.service = kDesk;
  BOOST_TEST((it.Choose(kStart, request)->target.name == TargetName("t1")));
  for (int n = 0; n < 6; ++n)
    it.OnSent(kStart, TargetName("t1"), request, false);
  BOOST_TEST((it.Choose(kStart, request)->target.name != TargetName("t1")));
}

// Two targets of one service. `busy` is so loaded that the other is cheaper,
// whatever the charge for its failures.
struct OneBusyTarget {
  OneBusyTarget() {
    it.SetTargets(kStart, Targets(kDesk, 2));
    request.service = kDesk;
    for (int n = 0; n < 1200; ++n) it.OnSent(kStart, busy, request, false);
  }

  void Fail(int times, PlacementOutcome outcome = PlacementOutcome::kFailed) {
    for (int n = 0; n < times; ++n) {
      it.OnSent(kStart, other, request, false);
      it.OnEnded(kStart, other, 0, outcome);
    }
  }

  bool OtherIsChosen(Duration after) const {
    return it.Choose(kStart + after, request)->target.name == other;
  }

  const TargetName busy{"t0"};
  const TargetName other{"t1"};
  Placement it{HallName("hall-0")};
  PlacementRequest request;
};

BOOST_FIXTURE_TEST_CASE(AnEjectedTargetIsNotChosenHoweverBusyTheOthersAre,
                        OneBusyTarget) {
  Fail(2);
  BOOST_TEST(OtherIsChosen(Duration::zero()));
  Fail(1);
  BOOST_TEST(!OtherIsChosen(Duration::zero()));
  BOOST_TEST(!OtherIsChosen(milliseconds(499)));
  BOOST_TEST(OtherIsChosen(milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(AnEjectionDoublesWithEachFailureUpToFourSeconds) {
  for (const auto& [failures, ms] : std::map<int, int>{
           {3, 500}, {4, 1000}, {5, 2000}, {6, 4000}, {7, 4000}, {40, 4000}}) {
    OneBusyTarget pair;
    pair.Fail(failures);
    BOOST_TEST(!pair.OtherIsChosen(milliseconds(ms - 1)), failures);
    BOOST_TEST(pair.OtherIsChosen(milliseconds(ms)), failures);
  }
}

BOOST_FIXTURE_TEST_CASE(ASuccessEndsAnEjectionAndTheRowOfFailures,
                        OneBusyTarget) {
  Fail(3);
  Fail(1, PlacementOutcome::kGood);
  BOOST_TEST(OtherIsChosen(Duration::zero()));
  Fail(2);
  BOOST_TEST(OtherIsChosen(Duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(BeingTurnedAwayCountsAsAFailureAndNeutralAsNothing,
                        OneBusyTarget) {
  Fail(9, PlacementOutcome::kNeutral);
  BOOST_TEST(OtherIsChosen(Duration::zero()));
  Fail(2);
  Fail(9, PlacementOutcome::kNeutral);
  Fail(1, PlacementOutcome::kRefused);
  BOOST_TEST(!OtherIsChosen(Duration::zero()));
}

BOOST_AUTO_TEST_CASE(AFailureIsChargedAndHalvesInThreeSeconds) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kDesk, 1));
  PlacementRequest request;
  request.service = kDesk;
  const auto cost = [&](Duration after) {
    return it.Choose(kStart + after, request)->cost_ms;
  };
  BOOST_TEST(cost(Duration::zero()) == 40);
  it.OnSent(kStart, TargetName("t0"), request, false);
  it.OnEnded(kStart, TargetName("t0"), 0, PlacementOutcome::kFailed);
  BOOST_TEST(cost(Duration::zero()) == 40 + 800,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(cost(milliseconds(3000)) == 40 + 400,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(cost(milliseconds(6000)) == 40 + 200,
             boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(ALeavingTargetIsNotPreferred) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kEngines, 6);
  it.SetTargets(kStart, targets);
  const TargetName preferred = it.Choose(kStart, Prompt(7, 1))->target.name;
  targets[preferred].leaving = true;
  it.SetTargets(kStart, targets);
  const auto choice = it.Choose(kStart, Prompt(7, 1));
  BOOST_TEST((choice->target.name != preferred));
  BOOST_TEST(choice->is_preferred);
}

BOOST_AUTO_TEST_CASE(ATargetOfAnotherServiceIsNotChosen) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kEngines, 6);
  targets[TargetName("t5")].service = kDesk;
  it.SetTargets(kStart, targets);
  for (std::uint64_t part = 1; part <= 40; ++part) {
    const auto choice = it.Choose(kStart, Prompt(part, 900 + part));
    BOOST_TEST((choice->target.name != TargetName("t5")));
    BOOST_TEST(choice->is_preferred);
  }
}

// One engine in the router's hall; its expected cost shows what is known of it.
struct OneEngine {
  OneEngine() { it.SetTargets(kStart, Targets(kEngines, 1)); }

  double Cost(const PlacementRequest& request) const {
    return it.Choose(kStart, request)->cost_ms;
  }
  Tokens Send(const PlacementRequest& request, bool is_preferred) {
    return it.OnSent(kStart, engine, request, is_preferred);
  }

  const TargetName engine{"t0"};
  Placement it{HallName("hall-0")};
};

BOOST_FIXTURE_TEST_CASE(AnEngineIsChargedWhatItHasYetToPrefill, OneEngine) {
  // Preferred: only the last part, 3000 tokens at 50 a millisecond, plus 40 ms.
  BOOST_TEST(Cost(Prompt(7, 1)) == 60 + 40);
  const Tokens prefill = Send(Prompt(7, 1), true);
  BOOST_TEST(prefill == 3000);
  // A second one: also the 60 ms of the first, and 3 ms for each running
  // request.
  BOOST_TEST(Cost(Prompt(7, 2)) == 60 + 60 + 3 + 40);
  it.OnAnswering(engine, prefill, milliseconds(100));
  BOOST_TEST(Cost(Prompt(7, 2)) == 60 + 3 + 40);
  it.OnEnded(kStart, engine, 0, PlacementOutcome::kGood);
  BOOST_TEST(Cost(Prompt(7, 2)) == 60 + 40);
}

BOOST_FIXTURE_TEST_CASE(ThePrefillOfARequestEndsWithIt, OneEngine) {
  const Tokens prefill = Send(Prompt(7, 1), true);
  it.OnEnded(kStart, engine, prefill, PlacementOutcome::kNeutral);
  BOOST_TEST(Cost(Prompt(7, 2)) == 60 + 40);
}

BOOST_FIXTURE_TEST_CASE(AnEngineKeepsThePartsThatItWasSentTogether, OneEngine) {
  PlacementRequest request;
  request.service = kEngines;
  request.parts = {{1, 1000}, {2, 2000}, {3, 4000}, {4, 500}};
  request.prompt_tokens = 7500;
  BOOST_TEST(Send(request, false) == 7500);
  BOOST_TEST(Send(request, false) == 500);
  // Parts count only if all parts before them are cached.
  request.parts[1].id = 9;
  BOOST_TEST(Send(request, false) == 6500);
}

BOOST_FIXTURE_TEST_CASE(ThePartsLeastRecentlySentAreForgotten, OneEngine) {
  Instant now = kStart;
  for (std::uint64_t part = 1; part <= 257; ++part) {
    now += milliseconds(1);
    it.OnSent(now, engine, Prompt(part, 9000 + part), false);
  }
  BOOST_TEST(Send(Prompt(2, 1), false) == 3000);
  BOOST_TEST(Send(Prompt(1, 1), false) == 16000);
}

BOOST_FIXTURE_TEST_CASE(ASlowAnswerMakesAnEngineDearer, OneEngine) {
  const Tokens prefill = Send(Prompt(7, 1), true);
  // Ten times the expected 100 ms.
  it.OnAnswering(engine, prefill, milliseconds(1000));
  it.OnEnded(kStart, engine, 0, PlacementOutcome::kGood);
  BOOST_TEST(Cost(Prompt(7, 2)) == 100 * 1.2,
             boost::test_tools::tolerance(1e-6));
  // An answer that is faster than expected counts as expected.
  const Tokens next = Send(Prompt(7, 3), true);
  it.OnAnswering(engine, next, milliseconds(1));
  it.OnEnded(kStart, engine, 0, PlacementOutcome::kGood);
  BOOST_TEST(Cost(Prompt(7, 2)) == 100 * 1.16,
             boost::test_tools::tolerance(1e-6));
}

BOOST_FIXTURE_TEST_CASE(ASlownessIsBoundedAtTwice, OneEngine) {
  const Tokens prefill = Send(Prompt(7, 1), true);
  it.OnAnswering(engine, prefill, std::chrono::hours(1));
  it.OnEnded(kStart, engine, 0, PlacementOutcome::kGood);
  BOOST_TEST(Cost(Prompt(7, 2)) == 100 * 1.2,
             boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(APartStaysAtItsTargetUntilAnotherIsCheaperByTheCharge) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kEngines, 2));
  int sent = 0;
  for (std::uint64_t n = 1; n <= 20; ++n) {
    const PlacementRequest request = Prompt(7, 1000 + n);
    const auto choice = it.Choose(kStart, request);
    if (!choice->is_preferred) break;
    it.OnSent(kStart, choice->target.name, request, true);
    ++sent;
  }
  // At the preferred target: 100 ms, and 63 ms for each one before. Elsewhere:
  // 320 ms to prefill all, 40 ms, and 150 ms for not being preferred.
  BOOST_TEST(sent == 7);
}

BOOST_AUTO_TEST_CASE(ATargetThatStaysKeepsWhatIsKnownOfIt) {
  OneEngine one;
  one.Send(Prompt(7, 1), true);
  one.it.SetTargets(kStart, Targets(kEngines, 1));
  BOOST_TEST(one.Cost(Prompt(7, 2)) == 60 + 60 + 3 + 40);
  // A target that was gone starts without history when it is listed again.
  one.it.SetTargets(kStart, {});
  one.it.SetTargets(kStart, Targets(kEngines, 1));
  BOOST_TEST(one.Cost(Prompt(7, 2)) == 60 + 40);
}

BOOST_AUTO_TEST_CASE(AllRoutersTogetherKeepToTheRetryRule) {
  RetryShareOptions options;
  options.ratio = 0.2;
  options.slack = 54;
  constexpr int kRouters = 7;
  constexpr int kRequests = 200;
  int retries = 0;
  for (int router = 0; router < kRouters; ++router) {
    RetryShare it(options);
    it.SetRouters(kRouters);
    // The worst case: all load at one router.
    const int requests = router == 0 ? kRequests : 0;
    for (int n = 0; n < requests; ++n) it.OnRequest(kStart);
    for (int n = 0; n < 1000; ++n) retries += it.TryRetry(kStart) ? 1 : 0;
  }
  BOOST_TEST(retries > 0);
  BOOST_TEST(retries <= options.ratio * kRequests + options.slack);
}

// Half of what the requests allow, and four fifths of the slack.
BOOST_AUTO_TEST_CASE(APartOfTheAllowedRetriesIsLeftUnused) {
  RetryShareOptions options;
  options.ratio = 0.2;
  options.slack = 50;
  RetryShare it(options);
  it.SetRouters(1);
  for (int n = 0; n < 100; ++n) it.OnRequest(kStart);
  int retries = 0;
  while (it.TryRetry(kStart)) ++retries;
  BOOST_TEST(retries == 100 / 10 + 40);
}

BOOST_AUTO_TEST_CASE(RetriesComeBackWhenTheWindowHasPassed) {
  RetryShare it({});
  it.SetRouters(1);
  while (it.TryRetry(kStart)) continue;
  const Duration window = RetryShareOptions().window + RetryShare::kMaxArrival;
  BOOST_TEST(!it.TryRetry(kStart + window - milliseconds(1)));
  BOOST_TEST(it.TryRetry(kStart + window + milliseconds(1)));
}

// --- Reports of peers --------------------------------------------------------

BOOST_AUTO_TEST_CASE(ANewRouterTakesThePrefillSpeedFromItsPeers) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kEngines, 1));
  // 3,000 tokens at the initial speed, and at 30 tokens a millisecond.
  BOOST_TEST(it.Choose(kStart, Prompt(7, 1))->first_event_ms == 60 + 40);
  it.SetPeerSpeeds({{kEngines, {1.0 / 30, 70, 100}}});
  BOOST_TEST(it.Choose(kStart, Prompt(7, 1))->first_event_ms == 100 + 70,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(APeersNonsenseLeavesEveryPromptATarget) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kEngines, 12));
  for (const double value : {0.0, 1e-300, 1e300}) {
    it.SetPeerSpeeds({{kEngines, {value, value, 1000}}});
    const auto choice = it.Choose(kStart, Prompt(7, 1));
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->first_event_ms >= 0);
    BOOST_TEST(choice->first_event_ms < 1e6);
  }
}

BOOST_AUTO_TEST_CASE(WhatAPeerSentIsWaitedForUntilItIsPrefilled) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kEngines, 1));
  const auto cost = [&](Duration after) {
    return it.Choose(kStart + after, Prompt(7, 1))->cost_ms;
  };
  const double alone = cost(Duration::zero());
  it.OnPeerSent(kStart, TargetName("t0"), 10000);
  it.OnPeerSent(kStart, TargetName("t0"), 5000);
  BOOST_TEST(cost(Duration::zero()) == alone + 300);
  BOOST_TEST(cost(milliseconds(200)) == alone + 100);
  BOOST_TEST(cost(milliseconds(300)) == alone);
  // However much is reported, the engine is not excluded for long.
  it.OnPeerSent(kStart, TargetName("t0"), 1'000'000'000);
  BOOST_TEST(cost(Duration::zero()) == alone + 3000);
  it.OnPeerSent(kStart, TargetName("gone"), 5000);
}

BOOST_AUTO_TEST_CASE(APromptAvoidsAnEngineThatAPeerKeepsBusy) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kEngines, 12));
  const TargetName preferred = it.Choose(kStart, Prompt(7, 1))->target.name;
  // Five prompts of the same part, 16,000 tokens each: 1.6 s.
  for (int n = 0; n < 5; ++n) it.OnPeerSent(kStart, preferred, 16000);
  BOOST_TEST((it.Choose(kStart, Prompt(7, 1))->target.name != preferred));
  const Instant later = kStart + milliseconds(1600);
  BOOST_TEST((it.Choose(later, Prompt(7, 1))->target.name == preferred));
}

// A target that restarted has no cached prompts, running requests or failures.
BOOST_AUTO_TEST_CASE(ATargetThatStartsAgainIsKnownAnew) {
  Placement it{HallName("hall-1")};
  TargetEntry entry;
  entry.name = TargetName("t0");
  entry.start = TargetStart("t0@1");
  entry.service = ServiceName("llm");
  it.SetTargets(kStart, {{entry.name, entry}});
  PlacementRequest request;
  request.service = entry.service;
  request.prompt_tokens = 10'000;
  const double fresh_ms = it.Choose(kStart, request)->cost_ms;
  for (int n = 0; n < 9; ++n) {
    const Tokens prefill = it.OnSent(kStart, entry.name, request, false);
    it.OnEnded(kStart, entry.name, prefill, PlacementOutcome::kFailed);
    it.OnSent(kStart, entry.name, request, false);
  }
  BOOST_TEST(it.Choose(kStart, request)->cost_ms > fresh_ms);
  const TargetEntry before = entry;
  entry.start = TargetStart("t0@2");
  it.SetTargets(kStart, {{entry.name, entry}});
  BOOST_TEST(it.Choose(kStart, request)->cost_ms == fresh_ms);
  BOOST_TEST(!it.IsListed(before));
  BOOST_TEST(it.IsListed(entry));
}

}  // namespace
}  // namespace quaytrack
