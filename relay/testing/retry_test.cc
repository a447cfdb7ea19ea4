// Tests when a request may be sent to another target, and that retries stay
// within each service's share.

#include "relay/retry.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const ServiceName kService{"desk"};
const Instant kNow{std::chrono::seconds(100)};

// An attempt that has failed, of a request that may be repeated.
RetryFacts Facts(Ran ran) {
  RetryFacts out;
  out.ran = ran;
  out.left = milliseconds(2000);
  out.sends = 1;
  out.repeatable = true;
  out.max_attempts = 2;
  return out;
}

BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsSentAgainOnlyIfItMayBeRepeated) {
  RetryFacts facts = Facts(Ran::kUnknown);
  BOOST_TEST(MaySendAgain(facts));
  facts.repeatable = false;
  BOOST_TEST(!MaySendAgain(facts));
  // Also if the route allows more targets.
  facts.max_attempts = 9;
  BOOST_TEST(!MaySendAgain(facts));
}

BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsSentToAsManyTargetsAsItsRouteAllows) {
  RetryFacts facts = Facts(Ran::kUnknown);
  facts.sends = 2;
  BOOST_TEST(!MaySendAgain(facts));
  facts.max_attempts = 3;
  BOOST_TEST(MaySendAgain(facts));
}

// Guards against a retry that is taken for a stream that may not go on at
// another target, since nothing could answer it.
BOOST_AUTO_TEST_CASE(AStreamOfUnknownVersionIsNotSentAgain) {
  for (const Ran ran : {Ran::kNo, Ran::kUnknown}) {
    RetryFacts facts = Facts(ran);
    facts.may_go_on = false;
    BOOST_TEST(!MaySendAgain(facts));
  }
}

// Guards against a stream that is given up because all targets look lost while
// a probe round is about to show that this router's links are.
BOOST_AUTO_TEST_CASE(ARetryWithoutATargetWaitsOnlyForAProbeRound) {
  const Placement placement(HallName("hall-1"));
  PlacementRequest request;
  request.service = kService;
  RetryShares shares{RetryShareOptions()};
  shares.SetRouters(1);
  shares.SetHasPredecessor(false);
  RetryFacts facts = Facts(Ran::kUnknown);
  BOOST_TEST(!shares.TakeRetry(kNow, facts, placement, request));
  facts.awaits_probes = true;
  BOOST_TEST(shares.TakeRetry(kNow, facts, placement, request));
  facts.sends = 2;
  BOOST_TEST(!shares.TakeRetry(kNow, facts, placement, request));
}

BOOST_AUTO_TEST_CASE(WhatHasNotRunIsSentAgainWhateverItsRouteAllows) {
  RetryFacts facts = Facts(Ran::kNo);
  facts.repeatable = false;
  facts.max_attempts = 1;
  BOOST_TEST(MaySendAgain(facts));
}

BOOST_AUTO_TEST_CASE(NothingIsSentMoreThanThreeTimes) {
  for (const Ran ran : {Ran::kNo, Ran::kUnknown}) {
    RetryFacts facts = Facts(ran);
    facts.max_attempts = 9;
    facts.sends = 2;
    BOOST_TEST(MaySendAgain(facts));
    facts.sends = 3;
    BOOST_TEST(!MaySendAgain(facts));
  }
}

BOOST_AUTO_TEST_CASE(NothingIsSentAgainForACallerThatCantUseIt) {
  for (const Ran ran : {Ran::kNo, Ran::kUnknown}) {
    RetryFacts facts = Facts(ran);
    facts.caller_gone = true;
    BOOST_TEST(!MaySendAgain(facts));
    facts.caller_gone = false;
    facts.left = milliseconds(30);
    BOOST_TEST(MaySendAgain(facts));
    facts.left = milliseconds(29);
    BOOST_TEST(!MaySendAgain(facts));
  }
}

struct Fixture {
  Fixture() : placement(HallName()), shares(Options()) {
    request.service = kService;
    SetTargets({"a", "b"}, kService);
    request.tried.insert(TargetName("a"));
    for (int n = 0; n < 10; ++n) shares.OnRequest(kNow, kService);
  }

  // Allows two retries for ten requests: half of the ratio is used.
  static RetryShareOptions Options() {
    RetryShareOptions out;
    out.ratio = 0.4;
    out.slack = 0;
    out.margin = 1;
    return out;
  }

  void SetTargets(const std::vector<std::string>& names,
                  const ServiceName& service) {
    std::map<TargetName, TargetEntry> entries;
    for (const std::string& it : names) {
      TargetEntry entry;
      entry.name = TargetName(it);
      entry.service = service;
      entry.slots = 4;
      entries[entry.name] = entry;
    }
    placement.SetTargets(Instant{}, entries);
  }

  bool Take(const RetryFacts& facts) {
    return shares.TakeRetry(kNow, facts, placement, request);
  }

  Placement placement;
  PlacementRequest request;
  RetryShares shares;
};

BOOST_FIXTURE_TEST_CASE(RetriesKeepToTheServicesShare, Fixture) {
  BOOST_TEST(Take(Facts(Ran::kUnknown)));
  BOOST_TEST(Take(Facts(Ran::kNo)));
  BOOST_TEST(!Take(Facts(Ran::kNo)));
  BOOST_TEST(!Take(Facts(Ran::kUnknown)));
}

// Guards against requests that are refused without a further attempt because
// connections that didn't open have used up the retries.
BOOST_FIXTURE_TEST_CASE(AnAttemptThatSentNothingUsesNoRetry, Fixture) {
  RetryFacts unsent = Facts(Ran::kNo);
  unsent.was_sent = false;
  for (int n = 0; n < 20; ++n) BOOST_TEST(Take(unsent));
  BOOST_TEST(Take(Facts(Ran::kNo)));
  BOOST_TEST(Take(Facts(Ran::kUnknown)));
  BOOST_TEST(!Take(Facts(Ran::kUnknown)));
  // The bound on the sends of one request still holds.
  unsent.sends = kMaxSends;
  BOOST_TEST(!Take(unsent));
}

BOOST_FIXTURE_TEST_CASE(ARetryThatCantBeSentIsNotCounted, Fixture) {
  RetryFacts expired = Facts(Ran::kNo);
  expired.left = {};
  for (int n = 0; n < 5; ++n) BOOST_TEST(!Take(expired));
  SetTargets({"a"}, kService);
  for (int n = 0; n < 5; ++n) BOOST_TEST(!Take(Facts(Ran::kNo)));
  SetTargets({"a", "b"}, kService);
  BOOST_TEST(Take(Facts(Ran::kNo)));
  BOOST_TEST(Take(Facts(Ran::kNo)));
}

BOOST_FIXTURE_TEST_CASE(EachServiceHasAShareOfItsOwn, Fixture) {
  BOOST_TEST(Take(Facts(Ran::kNo)));
  BOOST_TEST(Take(Facts(Ran::kNo)));
  BOOST_TEST(!Take(Facts(Ran::kNo)));
  const ServiceName other("other");
  request.service = other;
  SetTargets({"a", "b"}, other);
  BOOST_TEST(!Take(Facts(Ran::kNo)));
  for (int n = 0; n < 5; ++n) shares.OnRequest(kNow, other);
  BOOST_TEST(Take(Facts(Ran::kNo)));
}

// The slack of a service is split among all routers.
BOOST_AUTO_TEST_CASE(TheSlackIsSharedAmongTheRouters) {
  Fixture fixture;
  RetryShareOptions options = Fixture::Options();
  options.ratio = 0;
  options.slack = 4;
  fixture.shares = RetryShares(options);
  fixture.shares.SetRouters(4);
  BOOST_TEST(fixture.Take(Facts(Ran::kNo)));
  BOOST_TEST(!fixture.Take(Facts(Ran::kNo)));
  fixture.shares.SetRouters(2);
  BOOST_TEST(fixture.Take(Facts(Ran::kNo)));
}

// Guards against a fresh share of a process that has just started: the one
// before it may have used up the VM's share.
BOOST_AUTO_TEST_CASE(AProcessThatHasJustStartedHasNoSlack) {
  RetryShareOptions options = Fixture::Options();
  options.slack = 4;
  options.started_at = kNow;
  RetryShare share(options);
  share.SetRouters(2);
  const Duration wait = options.window + RetryShare::kMaxArrival;
  BOOST_TEST(!share.TryRetry(kNow + wait - milliseconds(1)));
  BOOST_TEST(share.TryRetry(kNow + wait));
  // The first process on a VM has it at once.
  RetryShare first(options);
  first.SetRouters(2);
  first.SetHasPredecessor(false);
  BOOST_TEST(first.TryRetry(kNow));
}

// Guards against a router that takes itself for the only one.
BOOST_AUTO_TEST_CASE(ARouterThatDoesntKnowTheOthersHasNoSlack) {
  RetryShareOptions options = Fixture::Options();
  options.slack = 4;
  RetryShare share(options);
  BOOST_TEST(!share.TryRetry(kNow));
  share.SetRouters(4);
  BOOST_TEST(share.TryRetry(kNow));
}

// Guards against a request that is refused, though a peer could carry it,
// because its attempts showed that this router's links are lost.
BOOST_AUTO_TEST_CASE(AnUnsentAttemptOverLostLinksIsNoSend) {
  RetryFacts facts = Facts(Ran::kNo);
  facts.was_sent = false;
  BOOST_TEST(CountsAsSend(facts));
  facts.links_in_doubt = true;
  BOOST_TEST(!CountsAsSend(facts));
  facts.was_sent = true;
  BOOST_TEST(CountsAsSend(facts));
}

}  // namespace
}  // namespace quaytrack
