// Reasons to send a target no work: it is leaving, its hall is closed, it is
// cold, it has a rate limit, or it has asked for a pause.

#include <boost/test/unit_test.hpp>
#include <map>

#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(TargetsOfAClosedHallGetNothing) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kEngines, 12);
  it.SetTargets(kStart, targets);
  it.SetClosedHalls(kStart, {HallName("hall-0"), HallName("hall-of-nobody")});
  for (std::uint64_t part = 1; part <= 40; ++part) {
    const auto choice = it.Choose(kStart, Prompt(part, 900 + part));
    BOOST_TEST((choice->target.hall != HallName("hall-0")));
    // In the meantime all routers prefer another target.
    BOOST_TEST(choice->is_preferred);
  }
  BOOST_TEST(!it.IsOpenToWork(targets.at(TargetName("t0"))));
  BOOST_TEST(it.IsOpenToWork(targets.at(TargetName("t1"))));
  // A target that is listed in the meantime is closed as well.
  TargetEntry late = targets.at(TargetName("t0"));
  late.name = TargetName("late");
  targets[late.name] = late;
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.IsOpenToWork(late));
  it.SetClosedHalls(kStart, {});
  BOOST_TEST(it.IsOpenToWork(late));
}

BOOST_AUTO_TEST_CASE(WithAllHallsClosedThereIsNoTarget) {
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, Targets(kDesk, 3));
  PlacementRequest request;
  request.service = kDesk;
  BOOST_TEST(!it.IsClosedOff(request));
  it.SetClosedHalls(
      kStart, {HallName("hall-0"), HallName("hall-1"), HallName("hall-2")});
  BOOST_TEST(!it.Choose(kStart, request).has_value());
  BOOST_TEST(it.IsClosedOff(request));
  BOOST_TEST(!it.IsClosedOff(Prompt(7, 1)));
}

BOOST_AUTO_TEST_CASE(WhatIsLeavingOrAnotherStartMayGetNoWork) {
  Placement it(HallName("hall-0"));
  auto targets = Targets(kDesk, 2);
  const TargetEntry chosen = targets.at(TargetName("t0"));
  it.SetTargets(kStart, targets);
  BOOST_TEST(it.IsOpenToWork(chosen));
  targets.at(TargetName("t0")).leaving = true;
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.IsOpenToWork(chosen));
  targets.at(TargetName("t0")).leaving = false;
  targets.at(TargetName("t0")).start = TargetStart("t0@7");
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.IsOpenToWork(chosen));
  targets.erase(TargetName("t0"));
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.IsOpenToWork(chosen));
}

// --- Cold targets ------------------------------------------------------------

// Engines with a low rate after a start, at a router that owns all of them, or
// none.
struct ColdFixture {
  explicit ColdFixture(bool is_owner = true) {
    it.SetColdRules({{kEngines, {std::chrono::seconds(3), 6.6}}});
    it.SetPlaceLookup([is_owner](const TargetStart&) {
      return std::optional(RendezvousPlace{is_owner ? 0U : 2U, 7});
    });
    it.SetTargets(kStart, targets);
  }

  // Sends `n` prompts that share a part; returns how many each target got.
  std::map<TargetName, int> Send(Instant now, int n) {
    std::map<TargetName, int> sent;
    for (int i = 0; i < n; ++i) {
      const PlacementRequest request = Prompt(7, 1000 + i);
      const auto choice = it.Choose(now, request);
      if (!choice) break;
      it.OnSent(now, choice->target.name, request, choice->is_preferred);
      it.OnEnded(now, choice->target.name, 0, PlacementOutcome::kNeutral);
      ++sent[choice->target.name];
    }
    return sent;
  }
  TargetName Preferred() {
    return it.Choose(kStart, Prompt(7, 1))->target.name;
  }
  void StartAgain(const TargetName& name, Instant now) {
    targets.at(name).start = TargetStart(name.value + "@2");
    targets.at(name).cold_for = std::chrono::seconds(3);
    it.SetTargets(now, targets);
  }

  std::map<TargetName, TargetEntry> targets = [] {
    auto out = Targets(kEngines, 4);
    for (auto& [name, entry] : out) entry.start = TargetStart(name.value);
    return out;
  }();
  // The router started long ago, so it may send at once.
  Placement it{HallName("hall-0"), PlacementRates{SharedRate(
                                       {}, {std::chrono::seconds(1), 1.5, 5})}};
};

struct NoOwnerFixture : ColdFixture {
  NoOwnerFixture() : ColdFixture(false) {}
};

BOOST_FIXTURE_TEST_CASE(AColdTargetGetsNothingOfWhoDoesntOwnIt,
                        NoOwnerFixture) {
  const TargetName cold = Preferred();
  StartAgain(cold, kStart);
  // In the meantime all routers prefer another target for its parts.
  BOOST_TEST(it.Choose(kStart, Prompt(7, 1))->is_preferred);
  BOOST_TEST(!Send(kStart, 40).contains(cold));
  const Instant later = kStart + std::chrono::seconds(3);
  BOOST_TEST(Send(later, 40).contains(cold));
}

BOOST_FIXTURE_TEST_CASE(AnOwnerSendsItsPart, ColdFixture) {
  for (const auto& [name, entry] : Targets(kEngines, 4)) {
    StartAgain(name, kStart);
  }
  // 6.6 x 1.5 + 5, over four routers that may act at once.
  for (const auto& [name, n] : Send(kStart, 100)) BOOST_TEST(n == 3);
  BOOST_TEST(!it.Choose(kStart, Prompt(7, 1)).has_value());
  BOOST_TEST(it.HasCold(kStart, Prompt(7, 1)));
  BOOST_TEST(Send(kStart + milliseconds(1300), 100).size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(OneThatLeftARequestUnansweredCountsAsCold,
                        NoOwnerFixture) {
  const TargetName lost = Preferred();
  const PlacementRequest request = Prompt(7, 1);
  it.OnSent(kStart, lost, request, true);
  it.OnEnded(kStart, lost, 0, PlacementOutcome::kFailed);
  BOOST_TEST(!Send(kStart + milliseconds(1), 40).contains(lost));
  // An answer to an earlier request shows that it is alive.
  BOOST_TEST(it.HasCold(kStart + milliseconds(500), Prompt(7, 1)));
  it.OnAlive(kStart + milliseconds(500), lost, kStart - milliseconds(1));
  BOOST_TEST(!it.HasCold(kStart + milliseconds(500), Prompt(7, 1)));
}

BOOST_FIXTURE_TEST_CASE(AHallThatOpensAgainIsCold, NoOwnerFixture) {
  const HallName hall = targets.at(Preferred()).hall;
  it.SetClosedHalls(kStart, {hall});
  it.SetClosedHalls(kStart + std::chrono::seconds(5), {});
  const Instant then = kStart + std::chrono::seconds(5);
  for (const auto& [name, n] : Send(then, 40)) {
    BOOST_TEST((targets.at(name).hall != hall));
  }
  const auto changes = it.ColdChanges(then);
  BOOST_REQUIRE(!changes.empty());
  BOOST_TEST((changes[0].reason == ColdSign::kHallOpen));
  BOOST_TEST(it.ColdChanges(then).empty());
  BOOST_TEST(!it.ColdChanges(then + std::chrono::seconds(3)).empty());
}

// The target became cold while the request waited for its connection.
BOOST_FIXTURE_TEST_CASE(WhatWasChosenWarmIsntSentToAColdTarget, ColdFixture) {
  const auto choice = it.Choose(kStart, Prompt(7, 1));
  BOOST_TEST(it.MayStillSend(kStart, *choice, Prompt(7, 1)));
  targets.at(choice->target.name).cold_for = std::chrono::seconds(3);
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.MayStillSend(kStart, *choice, Prompt(7, 1)));
}

BOOST_FIXTURE_TEST_CASE(WithoutARuleColdTargetsAreLikeOthers, NoOwnerFixture) {
  it.SetColdRules({});
  const TargetName cold = Preferred();
  StartAgain(cold, kStart);
  BOOST_TEST(Send(kStart, 40).contains(cold));
  BOOST_TEST(!it.HasCold(kStart, Prompt(7, 1)));
}

// An entry that is read again unchanged carries no new information.
BOOST_FIXTURE_TEST_CASE(AnEntryThatStaysMakesNothingColdAgain, NoOwnerFixture) {
  const TargetName cold = Preferred();
  StartAgain(cold, kStart);
  const Instant later = kStart + std::chrono::seconds(3);
  it.SetTargets(later, targets);
  BOOST_TEST(Send(later, 40).contains(cold));
}

// --- Rate limits, pauses, and what leaves ------------------------------------

RateStatement StatesLimit(double per_s) { return {per_s, false}; }

// A router that owns all targets, or none, and started long ago.
struct LimitFixture : ColdFixture {
  explicit LimitFixture(bool is_owner = true) : ColdFixture(is_owner) {
    const RateAllowance allowance{std::chrono::seconds(4), 1.5, 5};
    it = Placement(HallName("hall-0"),
                   {SharedRate({}, {}), SharedRate({}, allowance)});
    it.SetPlaceLookup([is_owner](const TargetStart&) {
      return std::optional(RendezvousPlace{is_owner ? 0U : 2U, 7});
    });
    it.SetTargets(kStart, targets);
  }
  TargetStart StartOf(const TargetName& name) const {
    return targets.at(name).start;
  }
};

struct NoOwnerLimitFixture : LimitFixture {
  NoOwnerLimitFixture() : LimitFixture(false) {}
};

BOOST_FIXTURE_TEST_CASE(ALimitedTargetGetsAnOwnersPart, LimitFixture) {
  const TargetName limited = Preferred();
  it.OnRate(kStart, StartOf(limited), kStart, StatesLimit(1));
  // A quarter of 1 x 4 x 1.5 + 5.
  BOOST_TEST(Send(kStart, 40).at(limited) == 2);
  BOOST_TEST(!Send(kStart + milliseconds(4200), 40).contains(limited));
  BOOST_TEST(Send(kStart + milliseconds(4300), 40).at(limited) == 2);
}

// Both bounds apply to a target that has just started and announces a limit.
BOOST_FIXTURE_TEST_CASE(AColdTargetWithALimitKeepsToBoth, LimitFixture) {
  it = Placement(HallName("hall-0"),
                 {SharedRate({}, {std::chrono::seconds(1), 1.5, 5}),
                  SharedRate({}, {std::chrono::seconds(4), 1.5, 5})});
  it.SetColdRules({{kEngines, {std::chrono::seconds(3), 6.6}}});
  it.SetPlaceLookup([](const TargetStart&) {
    return std::optional(RendezvousPlace{0, 7});
  });
  it.SetTargets(kStart, targets);
  const TargetName name = Preferred();
  StartAgain(name, kStart);
  BOOST_TEST(Send(kStart, 100).at(name) == 3);
  it.OnRate(kStart, StartOf(name), kStart, StatesLimit(1));
  BOOST_TEST(Send(kStart + milliseconds(1300), 100).at(name) == 2);
  BOOST_TEST(!Send(kStart + milliseconds(2600), 100).contains(name));
}

BOOST_FIXTURE_TEST_CASE(ALimitedTargetGetsNothingOfOthers,
                        NoOwnerLimitFixture) {
  const TargetName limited = Preferred();
  it.OnRate(kStart, StartOf(limited), kStart, StatesLimit(1));
  // In the meantime another target is preferred for its parts.
  BOOST_TEST(it.Choose(kStart, Prompt(7, 1))->is_preferred);
  BOOST_TEST(!Send(kStart, 40).contains(limited));
  BOOST_TEST(it.HasLimited(kStart, Prompt(7, 1)));
}

// The owners are down: the next router in the order sends one request.
BOOST_FIXTURE_TEST_CASE(SilenceLetsAnotherRouterTry, NoOwnerLimitFixture) {
  const TargetName limited = Preferred();
  it.OnRate(kStart, StartOf(limited), kStart, StatesLimit(1));
  const Instant silent = kStart + milliseconds(4300) * 3;
  BOOST_TEST(!Send(silent - milliseconds(1), 40).contains(limited));
  BOOST_TEST(Send(silent, 40).at(limited) == 1);
}

// The target was chosen without a limit, which was announced while the request
// waited for its connection.
BOOST_FIXTURE_TEST_CASE(WhatWasChosenFreelyIsntSentToALimitedTarget,
                        LimitFixture) {
  const auto choice = it.Choose(kStart, Prompt(7, 1));
  it.OnRate(kStart, choice->target.start, kStart, StatesLimit(1));
  BOOST_TEST(!it.MayStillSend(kStart, *choice, Prompt(7, 1)));
  const auto counted = it.Choose(kStart, Prompt(7, 1));
  BOOST_TEST(counted->is_limited);
  BOOST_TEST(it.MayStillSend(kStart, *counted, Prompt(7, 1)));
}

// An entry that lapses and returns does not end the limit.
BOOST_FIXTURE_TEST_CASE(ALimitOutlastsItsTargetsEntry, NoOwnerLimitFixture) {
  const TargetName limited = Preferred();
  it.OnRate(kStart, StartOf(limited), kStart, StatesLimit(1));
  auto lapsed = targets;
  lapsed.erase(limited);
  it.SetTargets(kStart + milliseconds(100), lapsed);
  it.SetTargets(kStart + milliseconds(200), targets);
  BOOST_TEST(!Send(kStart + milliseconds(200), 40).contains(limited));
}

BOOST_FIXTURE_TEST_CASE(APausedTargetGetsNothingUntilItsPauseIsOver,
                        LimitFixture) {
  const TargetName paused = Preferred();
  const auto choice = it.Choose(kStart, Prompt(7, 1));
  it.OnBackOff(kStart, StartOf(paused), milliseconds(2000));
  BOOST_TEST(!it.MayStillSend(kStart, *choice, Prompt(7, 1)));
  // A shorter pause does not end an earlier, longer one.
  it.OnBackOff(kStart + milliseconds(500), StartOf(paused), milliseconds(100));
  BOOST_TEST(!Send(kStart + milliseconds(1999), 40).contains(paused));
  BOOST_TEST(Send(kStart + milliseconds(2000), 40).contains(paused));
}

BOOST_FIXTURE_TEST_CASE(WithAllTargetsPausedThereIsNone, LimitFixture) {
  for (const auto& [name, entry] : targets) {
    it.OnBackOff(kStart, entry.start, milliseconds(2000));
  }
  BOOST_TEST(!it.Choose(kStart, Prompt(7, 1)).has_value());
  BOOST_TEST(it.HasLimited(kStart, Prompt(7, 1)));
  BOOST_TEST(!it.HasLimited(kStart + milliseconds(2000), Prompt(7, 1)));
}

BOOST_FIXTURE_TEST_CASE(APauseOutlastsItsTargetsEntry, LimitFixture) {
  const TargetName paused = Preferred();
  it.OnBackOff(kStart, StartOf(paused), milliseconds(2000));
  it.SetTargets(kStart, {});
  it.SetTargets(kStart + milliseconds(100), targets);
  BOOST_TEST(!Send(kStart + milliseconds(100), 40).contains(paused));
}

// The answer may have come from the new start, whose entry was read later.
BOOST_FIXTURE_TEST_CASE(WhatWasSaidLatelyHoldsForTheNextStart, LimitFixture) {
  const TargetName name = Preferred();
  const TargetEntry before = targets.at(name);
  it.OnLeavingAnnounced(kStart, before);
  targets.at(name).start = TargetStart(name.value + "@2");
  it.SetTargets(kStart + milliseconds(100), targets);
  BOOST_TEST(!Send(kStart + milliseconds(100), 40).contains(name));
  BOOST_TEST(Send(kStart + kMaxEntryDelay, 40).contains(name));
}

BOOST_FIXTURE_TEST_CASE(WhatWasSaidLongAgoDoesntHoldForTheNextStart,
                        LimitFixture) {
  const TargetName name = Preferred();
  it.OnLeavingAnnounced(kStart, targets.at(name));
  it.OnRate(kStart, StartOf(name), kStart, StatesLimit(0));
  it.OnBackOff(kStart, StartOf(name), std::chrono::seconds(60));
  targets.at(name).start = TargetStart(name.value + "@2");
  it.SetTargets(kStart + kMaxEntryDelay, targets);
  BOOST_TEST(Send(kStart + kMaxEntryDelay, 40).contains(name));
}

}  // namespace
}  // namespace quaytrack
