// Where requests go, and how many retries there are.

#include "dispatch/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "dispatch/retry_share.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const ServiceName kEngines("llm");
const ServiceName kDesk("desk");
constexpr Instant kStart{std::chrono::hours(1)};

std::map<TargetName, TargetEntry> Targets(const ServiceName& service, int n) {
  std::map<TargetName, TargetEntry> out;
  for (int i = 0; i < n; ++i) {
    TargetEntry it;
    it.name = TargetName("t" + std::to_string(i));
    it.service = service;
    it.hall = HallName("hall-" + std::to_string(i % 3));
    it.slots = 6;
    out[it.name] = it;
  }
  return out;
}

PlacementRequest Prompt(std::uint64_t shared, std::uint64_t own) {
  PlacementRequest out;
  out.service = kEngines;
  out.parts = {{shared, 13000}, {own, 3000}};
  out.prompt_tokens = 16000;
  return out;
}

PlacementOptions InHall(const char* hall) {
  PlacementOptions out;
  out.hall = HallName(hall);
  return out;
}

BOOST_AUTO_TEST_CASE(RoutersAgreeOnTheHomeOfAPart) {
  Placement one(InHall("hall-0"));
  Placement other(InHall("hall-2"));
  const auto targets = Targets(kEngines, 12);
  one.SetTargets(targets);
  other.SetTargets(targets);
  std::set<TargetName> homes;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    const auto a = one.Choose(kStart, Prompt(part, 900 + part));
    const auto b = other.Choose(kStart, Prompt(part, 700 + part));
    BOOST_TEST((a->target.name == b->target.name));
    BOOST_TEST(a->is_home);
    homes.insert(a->target.name);
  }
  // Spread over the targets, and not all at one.
  BOOST_TEST(homes.size() >= 8U);
}

BOOST_AUTO_TEST_CASE(AFloodOfOnePartSpillsOver) {
  Placement it(InHall("hall-0"));
  it.SetTargets(Targets(kEngines, 12));
  std::map<TargetName, int> sent;
  for (std::uint64_t n = 0; n < 60; ++n) {
    const PlacementRequest request = Prompt(7, 1000 + n);
    const auto choice = it.Choose(kStart, request);
    it.OnSent(kStart, choice->target.name, request, choice->is_home);
    ++sent[choice->target.name];
  }
  BOOST_TEST(sent.size() > 3U);
  for (const auto& [name, n] : sent) BOOST_TEST(n < 30);
}

BOOST_AUTO_TEST_CASE(OnlyThePartsOfTheDeadTargetMove) {
  Placement it(InHall("hall-0"));
  auto targets = Targets(kEngines, 12);
  it.SetTargets(targets);
  std::map<std::uint64_t, TargetName> before;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    before[part] = it.Choose(kStart, Prompt(part, 1))->target.name;
  }
  targets.erase(TargetName("t3"));
  it.SetTargets(targets);
  for (const auto& [part, home] : before) {
    const TargetName now = it.Choose(kStart, Prompt(part, 1))->target.name;
    if (home == TargetName("t3")) continue;
    BOOST_TEST((now == home));
  }
}

BOOST_AUTO_TEST_CASE(ALeavingOrTriedTargetIsNotChosen) {
  Placement it(InHall("hall-0"));
  auto targets = Targets(kDesk, 3);
  targets[TargetName("t0")].leaving = true;
  it.SetTargets(targets);
  PlacementRequest request;
  request.service = kDesk;
  request.tried = {TargetName("t1")};
  BOOST_TEST((it.Choose(kStart, request)->target.name == TargetName("t2")));
  request.tried.insert(TargetName("t2"));
  BOOST_TEST(!it.Choose(kStart, request).has_value());
  BOOST_TEST(it.Count(kDesk) == 2);
}

BOOST_AUTO_TEST_CASE(AFailingTargetIsLeftAndTriedAgain) {
  Placement it(InHall("hall-0"));
  it.SetTargets(Targets(kDesk, 3));
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

BOOST_AUTO_TEST_CASE(ARestingTargetIsBetterThanNone) {
  Placement it(InHall("hall-0"));
  it.SetTargets(Targets(kDesk, 1));
  PlacementRequest request;
  request.service = kDesk;
  for (int n = 0; n < 10; ++n) {
    it.OnSent(kStart, TargetName("t0"), request, false);
    it.OnEnded(kStart, TargetName("t0"), 0, PlacementOutcome::kFailed);
  }
  BOOST_TEST(it.Choose(kStart, request).has_value());
}

BOOST_AUTO_TEST_CASE(PlainCallsGoToTheLeastBusyOfTheirHall) {
  Placement it(InHall("hall-1"));
  it.SetTargets(Targets(kDesk, 3));
  PlacementRequest request;
  request.service = kDesk;
  BOOST_TEST((it.Choose(kStart, request)->target.name == TargetName("t1")));
  for (int n = 0; n < 6; ++n)
    it.OnSent(kStart, TargetName("t1"), request, false);
  BOOST_TEST((it.Choose(kStart, request)->target.name != TargetName("t1")));
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
    // All of the load may be at one router.
    const int requests = router == 0 ? kRequests : 0;
    for (int n = 0; n < requests; ++n) it.OnRequest(kStart);
    for (int n = 0; n < 1000; ++n) retries += it.TryRetry(kStart) ? 1 : 0;
  }
  BOOST_TEST(retries > 0);
  BOOST_TEST(retries <= options.ratio * kRequests + options.slack);
}

BOOST_AUTO_TEST_CASE(RetriesComeBackWhenTheWindowHasPassed) {
  RetryShare it({});
  while (it.TryRetry(kStart)) continue;
  BOOST_TEST(!it.TryRetry(kStart + milliseconds(9000)));
  BOOST_TEST(it.TryRetry(kStart + milliseconds(10001)));
}

}  // namespace
}  // namespace quaytrack
