// The choice of a target by the pace of engines, overdue answers, and what is
// known of services with few slots.

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::map<TargetName, TargetEntry> Engines(int n) {
  auto out = Targets(kEngines, n);
  for (auto& [name, it] : out) it.start = TargetStart(name.value + "@1");
  return out;
}

// A router that was told that some of twelve engines take twice as long.
struct PacedRouter {
  explicit PacedRouter(const std::string& hall, const std::set<int>& slow)
      : it(HallName(hall)) {
    it.SetTargets(kStart, Engines(12));
    PaceReports reports;
    for (const int n : slow) {
      const TargetStart start("t" + std::to_string(n) + "@1");
      reports[kEngines][start] = {0, 2.1, 100, {}};
    }
    for (; now < kStart + seconds(5); now += milliseconds(200)) {
      it.pace().OnReport(now, {PaceScope::kAll, ""}, reports);
      it.UpdatePace(now);
    }
  }

  Instant now = kStart;
  Placement it;
};

// Guards against slow engines that are preferred for as many prefixes as the
// others, and against routers that prefer different engines.
BOOST_AUTO_TEST_CASE(ASlowEngineIsPreferredForFewerParts) {
  const PacedRouter one("hall-0", {0, 1, 2});
  const PacedRouter other("hall-1", {0, 1, 2});
  const PacedRouter before("hall-0", {});
  int slow = 0;
  int slow_before = 0;
  int moved = 0;
  for (std::uint64_t part = 1; part <= 600; ++part) {
    const auto choice = one.it.Choose(one.now, Prompt(part, 1));
    BOOST_TEST(choice->is_preferred);
    BOOST_TEST((choice->target.name ==
                other.it.Choose(other.now, Prompt(part, 2))->target.name));
    const auto was = before.it.Choose(before.now, Prompt(part, 1));
    slow += choice->pace > 1 ? 1 : 0;
    const bool was_slow = one.it.pace().RatioOf(was->target.start) > 1;
    slow_before += was_slow ? 1 : 0;
    if (choice->target.name == was->target.name) continue;
    // Only parts of the slow engines move.
    BOOST_TEST(was_slow);
    ++moved;
  }
  // A quarter of the engines: 150 parts. With half the weight: 86.
  BOOST_TEST(slow_before > 120);
  BOOST_TEST(slow > 60);
  BOOST_TEST(slow < 110);
  BOOST_TEST(moved == slow_before - slow);
}

// Guards against routes whose pauses a slow engine makes too long.
BOOST_AUTO_TEST_CASE(AnEngineThatMakesARouteLateIsNotPreferredForIt) {
  PacedRouter router("hall-0", {0, 1, 2});
  // The usual pause is 50 ms, and the longest 80 ms.
  for (int n = 0; n < 100; ++n) {
    router.it.OnPauses(router.now, TargetName("t7"), milliseconds(50),
                       milliseconds(80));
  }
  const auto slow = [&](int pause_limit_ms) {
    int out = 0;
    for (std::uint64_t part = 1; part <= 200; ++part) {
      PlacementRequest request = Prompt(part, 1);
      request.pause_limit = milliseconds(pause_limit_ms);
      out += router.it.Choose(router.now, request)->pace > 1 ? 1 : 0;
    }
    return out;
  };
  BOOST_TEST(slow(400) > 0);
  BOOST_TEST(slow(120) == 0);
  // No engine is fast enough, so the pace decides nothing more.
  BOOST_TEST(slow(20) > 0);
}

BOOST_AUTO_TEST_CASE(TheCostHasThePaceInsteadOfTheSlowness) {
  PacedRouter router("hall-0", {0});
  std::uint64_t part = 1;
  while (router.it.Choose(router.now, Prompt(part, 1))->target.name !=
         TargetName("t0"))
    ++part;
  const auto choice = router.it.Choose(router.now, Prompt(part, 1));
  BOOST_TEST(choice->pace == 2);
  BOOST_TEST(choice->cost_ms == 200);
  // The time by which a version is judged doesn't contain the pace.
  BOOST_TEST(choice->first_event_ms == 100);
}

// Guards against requests that follow another into an engine that does not
// answer for a moment, and against routers that all choose another one then.
BOOST_AUTO_TEST_CASE(AnOverdueEngineIsPassedOverUntilItAnswers) {
  std::set<TargetName> stand_ins;
  for (const char* hall : {"hall-0", "hall-1", "hall-2"}) {
    Placement it{HallName(hall)};
    it.SetTargets(kStart, Engines(12));
    const PlacementRequest request = Prompt(7, 1);
    const auto first = it.Choose(kStart, request);
    const Tokens prefill = it.OnSent(kStart, first->target.name, request, true);
    it.ExpectAnswer(kStart, *first);
    // 100 ms are expected, and twice as much and 40 ms are not late.
    const auto at = [&](int ms) {
      return *it.Choose(kStart + milliseconds(ms), Prompt(7, 2));
    };
    BOOST_TEST((at(239).target.name == first->target.name));
    const PlacementChoice late = at(240);
    BOOST_TEST((late.target.name != first->target.name));
    BOOST_TEST((late.overdue == first->target.name));
    BOOST_TEST(!late.is_preferred);
    stand_ins.insert(late.target.name);
    BOOST_TEST((at(740).target.name == first->target.name));
    it.OnAnswering(kStart + milliseconds(300), first->target.name, prefill,
                   milliseconds(300));
    BOOST_TEST((at(300).target.name == first->target.name));
    BOOST_TEST(at(300).overdue.empty());
  }
  BOOST_TEST(stand_ins.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IfAllEnginesAreOverdueOneIsChosen) {
  Placement it{HallName("hall-0")};
  it.SetTargets(kStart, Engines(1));
  const auto choice = it.Choose(kStart, Prompt(7, 1));
  it.OnSent(kStart, choice->target.name, Prompt(7, 1), true);
  it.ExpectAnswer(kStart, *choice);
  const auto late = it.Choose(kStart + milliseconds(400), Prompt(7, 2));
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST(late->is_preferred);
  BOOST_TEST(late->overdue.empty());
}

// --- Halls -------------------------------------------------------------------

// A router of hall-1 with twelve engines, four in each hall.
struct HallRouter {
  explicit HallRouter(std::size_t routers_in_hall) {
    it.SetTargets(kStart, Engines(12));
    it.SetRoutersInHall(routers_in_hall);
  }

  // Sends requests of one part, each answered before the next; returns the
  // targets of the second half.
  std::map<TargetName, int> Send(std::uint64_t part, int requests,
                                 Duration interval) {
    std::map<TargetName, int> out;
    for (int n = 0; n < requests; ++n) {
      now += interval;
      const auto choice = it.Choose(now, Prompt(part, 1));
      const TargetName& name = choice->target.name;
      const Tokens prefill =
          it.OnSent(now, name, Prompt(part, 1), choice->is_preferred);
      it.OnAnswering(now, name, prefill, milliseconds(100));
      it.OnEnded(now, name, 0, PlacementOutcome::kGood);
      BOOST_TEST(choice->is_preferred);
      if (n >= requests / 2) ++out[name];
    }
    return out;
  }

  Instant now = kStart;
  Placement it{HallName("hall-1")};
};

// A part whose preferred engine is in another hall than the router's.
std::uint64_t FarPart() {
  Placement it{HallName("hall-1")};
  it.SetTargets(kStart, Engines(12));
  for (std::uint64_t part = 1;; ++part) {
    if (it.Choose(kStart, Prompt(part, 1))->target.hall != HallName("hall-1"))
      return part;
  }
}

// Guards against prefixes that are prefilled in each hall for few requests.
BOOST_AUTO_TEST_CASE(ARarePartKeepsOneEngineForAllHalls) {
  HallRouter router(16);
  const auto sent = router.Send(FarPart(), 20, seconds(8));
  BOOST_REQUIRE(sent.size() == 1U);
  const TargetName& name = sent.begin()->first;
  BOOST_TEST((Engines(12)[name].hall != HallName("hall-1")));
}

BOOST_AUTO_TEST_CASE(APartInHighDemandStaysInTheHall) {
  HallRouter router(16);
  const auto sent = router.Send(FarPart(), 40, milliseconds(2000));
  BOOST_TEST(sent.size() >= 1U);
  for (const auto& [name, n] : sent)
    BOOST_TEST((Engines(12)[name].hall == HallName("hall-1")));
}

// Guards against one engine that gets a part which needs several.
BOOST_AUTO_TEST_CASE(APartIsSpreadOverAsManyEnginesAsItsDemandNeeds) {
  // Two requests a second of 3,000 tokens at 50 a millisecond, by each of 8
  // routers, take 0.96 of one engine's time, so 3 engines.
  HallRouter router(8);
  const auto sent = router.Send(FarPart(), 120, milliseconds(500));
  BOOST_TEST(sent.size() == 3U);
  for (const auto& [name, n] : sent) BOOST_TEST(n == 20);
}

// A router that does not know its hall, as before its list has settled.
BOOST_AUTO_TEST_CASE(WithoutTheNumberOfRoutersNoPartIsInHighDemand) {
  HallRouter router(0);
  const auto sent = router.Send(FarPart(), 40, milliseconds(100));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((Engines(12)[sent.begin()->first].hall != HallName("hall-1")));
}

// --- Services with few slots -------------------------------------------------

// Seven targets: hall-0 has three, hall-1 and hall-2 have two each.
struct DeskRouter {
  explicit DeskRouter(const char* hall) : it(HallName(hall)) {
    it.SetTargets(kStart, Targets(kDesk, 7));
    request.service = kDesk;
  }

  TargetName Send(Duration after, PlacementOutcome outcome) {
    const Instant now = kStart + after;
    TargetName out = it.Choose(now, request)->target.name;
    it.OnSent(now, out, request, false);
    it.OnEnded(now, out, 0, outcome);
    return out;
  }

  Placement it;
  PlacementRequest request;
};

// Guards against a target that gets all of a router's requests while others are
// free.
BOOST_AUTO_TEST_CASE(SendsAlternateBetweenTheTargetsOfTheHall) {
  DeskRouter router("hall-1");
  std::map<TargetName, int> sent;
  TargetName last;
  for (int n = 0; n < 20; ++n) {
    const TargetName to =
        router.Send(milliseconds(n * 100), PlacementOutcome::kGood);
    BOOST_TEST((to != last));
    last = to;
    ++sent[to];
  }
  BOOST_TEST(sent.size() == 2U);
  BOOST_TEST(sent[TargetName("t1")] == 10);
  BOOST_TEST(sent[TargetName("t4")] == 10);
}

// Guards against a hall's only target that gets all requests of its hall, and
// against other halls' first target that gets all the rest.
BOOST_AUTO_TEST_CASE(AHallsOnlyTargetAlternatesWithThoseOfOtherHalls) {
  DeskRouter router("hall-1");
  auto targets = Targets(kDesk, 7);
  targets.erase(TargetName("t4"));
  router.it.SetTargets(kStart, targets);
  std::map<TargetName, int> sent;
  for (int n = 0; n < 20; ++n)
    ++sent[router.Send(milliseconds(n * 100), PlacementOutcome::kGood)];
  BOOST_TEST(sent[TargetName("t1")] == 10);
  BOOST_TEST(sent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(ATargetThatRefusedIsLeftForAMoment) {
  DeskRouter router("hall-1");
  const TargetName refused =
      router.Send(Duration::zero(), PlacementOutcome::kRefused);
  for (int n = 1; n < 10; ++n) {
    BOOST_TEST((router.Send(milliseconds(n * 20), PlacementOutcome::kGood) !=
                refused));
  }
}

BOOST_AUTO_TEST_CASE(ATargetThatDelayedARequestIsLeftForAMoment) {
  DeskRouter router("hall-1");
  const TargetName slow("t1");
  for (int n = 0; n < 20; ++n)
    router.it.OnAnswered(kStart, TargetName("t4"), milliseconds(30));
  BOOST_TEST((router.it.Choose(kStart, router.request)->target.name == slow));
  router.it.OnAnswered(kStart, slow, milliseconds(60));
  BOOST_TEST((router.it.Choose(kStart, router.request)->target.name != slow));
  const Instant later = kStart + milliseconds(200);
  BOOST_TEST((router.it.Choose(later, router.request)->target.name == slow));
}

}  // namespace
}  // namespace quaytrack
