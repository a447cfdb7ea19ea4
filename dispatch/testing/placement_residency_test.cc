// The choice of targets for requests that are bound to regions.

#include <boost/test/unit_test.hpp>
#include <map>

#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Halls 0 and 1 are in the north. Hall 2, with every third target, is in the
// south.
struct Fixture {
  Fixture() { it.SetTargets(kStart, targets); }

  static Placement InRegions() {
    return Placement(
        HallName("hall-0"), {},
        *HallRegions::Parse("hall-0=north,hall-1=north,hall-2=south"));
  }
  static PlacementRequest Bound(const char* region, std::uint64_t part = 7) {
    PlacementRequest out = Prompt(part, 1000 + part);
    out.residency = Residency({RegionName(region)});
    return out;
  }

  std::map<TargetName, TargetEntry> targets = Targets(kEngines, 12);
  Placement it = InRegions();
};

BOOST_FIXTURE_TEST_CASE(ABoundRequestStaysInItsRegion, Fixture) {
  for (std::uint64_t part = 1; part <= 40; ++part) {
    const auto choice = it.Choose(kStart, Bound("south", part));
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST((choice->target.hall == HallName("hall-2")));
    // All routers prefer the same target of that region for its parts.
    BOOST_TEST(choice->is_preferred);
  }
}

BOOST_FIXTURE_TEST_CASE(ARetryStaysThereToo, Fixture) {
  PlacementRequest request = Bound("south");
  for (int n = 0; n < 4; ++n) {
    const auto choice = it.Choose(kStart, request);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST((choice->target.hall == HallName("hall-2")));
    request.tried.insert(choice->target.name);
  }
  BOOST_TEST(!it.Choose(kStart, request).has_value());
  BOOST_TEST(it.IsOutsideResidency(request));
}

BOOST_FIXTURE_TEST_CASE(BusyTargetsOfTheRegionAreNoReasonToLeaveIt, Fixture) {
  const PlacementRequest request = Bound("south");
  for (int n = 0; n < 400; ++n) {
    const auto choice = it.Choose(kStart, request);
    it.OnSent(kStart, choice->target.name, request, choice->is_preferred);
    BOOST_TEST((choice->target.hall == HallName("hall-2")));
  }
}

BOOST_FIXTURE_TEST_CASE(WithoutATargetThereTheReasonIsTheRegion, Fixture) {
  const PlacementRequest nobody = Bound("east");
  BOOST_TEST(!it.Choose(kStart, nobody).has_value());
  BOOST_TEST(it.IsOutsideResidency(nobody));
  BOOST_TEST(!it.IsClosedOff(nobody));
  BOOST_TEST(!it.IsOutsideResidency(Prompt(7, 1)));
}

BOOST_FIXTURE_TEST_CASE(AClosedHallBindsBesideTheRegion, Fixture) {
  it.SetClosedHalls(kStart, {HallName("hall-2")});
  const PlacementRequest south = Bound("south");
  BOOST_TEST(!it.Choose(kStart, south).has_value());
  BOOST_TEST(it.IsClosedOff(south));
  const auto north = it.Choose(kStart, Bound("north"));
  BOOST_REQUIRE(north.has_value());
  BOOST_TEST((north->target.hall != HallName("hall-2")));
}

BOOST_FIXTURE_TEST_CASE(LeavingTargetsOfTheRegionGetNothing, Fixture) {
  for (auto& [name, entry] : targets) {
    entry.leaving = entry.hall == HallName("hall-2");
  }
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.Choose(kStart, Bound("south")).has_value());
}

// A hall that is not in the settings may be in any region.
BOOST_FIXTURE_TEST_CASE(ATargetOfAnUnknownHallGetsNoBoundRequest, Fixture) {
  for (auto& [name, entry] : targets) entry.hall = HallName("hall-9");
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.Choose(kStart, Bound("north")).has_value());
  BOOST_TEST(it.Choose(kStart, Prompt(7, 1)).has_value());
}

// The entry of the target was rewritten with another hall while the request
// waited for its connection.
BOOST_FIXTURE_TEST_CASE(TheRegionIsLookedAtAgainBeforeTheBytesGo, Fixture) {
  const PlacementRequest request = Bound("south");
  const auto choice = it.Choose(kStart, request);
  BOOST_TEST(it.MayStillSend(kStart, *choice, request));
  targets.at(choice->target.name).hall = HallName("hall-0");
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.MayStillSend(kStart, *choice, request));
}

BOOST_FIXTURE_TEST_CASE(ColdTargetsElsewhereAreNotTheReason, Fixture) {
  it.SetColdRules({{kEngines, {std::chrono::seconds(3), 6.6}}});
  for (auto& [name, entry] : targets) {
    if (entry.hall != HallName("hall-2")) {
      entry.cold_for = std::chrono::seconds(3);
    }
  }
  it.SetTargets(kStart, targets);
  BOOST_TEST(it.HasCold(kStart, Bound("north")));
  BOOST_TEST(!it.HasCold(kStart, Bound("south")));
}

}  // namespace
}  // namespace quaytrack
