// Tests of the bound on the bytes of requests at one target. They guard against
// a target that crashes as the requests that it holds outgrow its memory.

#include <boost/test/unit_test.hpp>

#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

constexpr std::size_t kLimit = 100'000;

struct Fixture {
  Fixture() {
    placement.SetByteLimit(kLimit);
    placement.SetTargets(kStart, Targets(kDesk, 2));
  }
  static PlacementRequest Of(std::size_t bytes) {
    PlacementRequest out;
    out.service = kDesk;
    out.bytes = bytes;
    return out;
  }
  // Sends a request; returns its target, or an empty name if there is none.
  TargetName Send(std::size_t bytes) {
    const PlacementRequest request = Of(bytes);
    const auto choice = placement.Choose(kStart, request);
    if (!choice) return {};
    placement.OnSent(kStart, choice->target.name, request, false);
    return choice->target.name;
  }
  void End(const TargetName& target, std::size_t bytes) {
    placement.OnEnded(kStart, target, 0, PlacementOutcome::kGood, bytes);
  }

  Placement placement{HallName("hall-0")};
};

BOOST_FIXTURE_TEST_CASE(NoTargetHoldsMoreThanTheBound, Fixture) {
  for (int n = 0; n < 4; ++n) BOOST_TEST(!Send(50'000).empty());
  BOOST_TEST(Send(1).empty());
  BOOST_TEST(placement.HasFullOfBytes(Fixture::Of(1)));
  // A request without a body adds nothing.
  BOOST_TEST(!Send(0).empty());
}

BOOST_FIXTURE_TEST_CASE(WhatHasEndedLeavesRoom, Fixture) {
  const TargetName first = Send(100'000);
  BOOST_TEST(!Send(100'000).empty());
  BOOST_TEST(Send(30'000).empty());
  End(first, 100'000);
  BOOST_TEST((Send(30'000) == first));
}

// Guards against a request that can never be sent, as it alone is larger.
BOOST_FIXTURE_TEST_CASE(ATargetThatHoldsNothingGetsAnyRequest, Fixture) {
  BOOST_TEST(!Send(5 * kLimit).empty());
  BOOST_TEST(!Send(5 * kLimit).empty());
  BOOST_TEST(Send(5 * kLimit).empty());
}

BOOST_FIXTURE_TEST_CASE(AnotherStartOfATargetHoldsNothing, Fixture) {
  Send(100'000);
  Send(100'000);
  auto targets = Targets(kDesk, 2);
  targets[TargetName("t0")].start = TargetStart("t0@2");
  placement.SetTargets(kStart, targets);
  BOOST_TEST((Send(100'000) == TargetName("t0")));
}

BOOST_FIXTURE_TEST_CASE(WithoutABoundAllMayGoToOneTarget, Fixture) {
  placement.SetByteLimit(0);
  for (int n = 0; n < 100; ++n) BOOST_TEST(!Send(kLimit).empty());
  BOOST_TEST(!placement.HasFullOfBytes(Fixture::Of(kLimit)));
}

}  // namespace
}  // namespace quaytrack
