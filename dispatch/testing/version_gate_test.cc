// How many requests of a router each version gets.

#include "dispatch/version_gate.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace quaytrack {
namespace {

const VersionName kOld("v1");
const VersionName kNew("v2");

VersionRule Share(double share) {
  VersionRule out;
  out.next = kNew;
  out.share = share;
  return out;
}

// Returns how many of `n` requests went to the next version.
int Send(VersionGate& it, int n) {
  int out = 0;
  for (int i = 0; i < n; ++i) {
    const bool is_next = it.Turn() == VersionTurn::kNext;
    it.OnSent(is_next ? kNew : kOld);
    out += is_next ? 1 : 0;
  }
  return out;
}

BOOST_AUTO_TEST_CASE(WithoutARuleAnyVersionTakesTurns) {
  VersionGate it;
  BOOST_TEST((it.Turn() == VersionTurn::kAny));
  BOOST_TEST(it.MayTake(VersionTurn::kAny, kOld));
  BOOST_TEST(it.MayTake(VersionTurn::kAny, VersionName()));
}

BOOST_AUTO_TEST_CASE(AVersionGetsItsShareOfARoutersRequests) {
  for (const double share : {0.06, 0.25, 0.5}) {
    VersionGate it;
    it.SetRule(Share(share), 0);
    BOOST_TEST(Send(it, 1000) <= 1000 * share);
    BOOST_TEST(Send(it, 1000) >= 1000 * share - 1);
  }
}

// About a thousand routers with a few requests each: the share of one router is
// less than one request.
BOOST_AUTO_TEST_CASE(RoutersWithFewRequestsSendTheirPartTogether) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> offset(0, 1);
  int sent = 0;
  for (int n = 0; n < 985; ++n) {
    VersionGate it;
    it.SetRule(Share(0.06), offset(random));
    sent += Send(it, 3);
  }
  BOOST_TEST(sent >= 985 * 3 * 0.06 * 0.7);
  BOOST_TEST(sent <= 985 * 3 * 0.06 * 1.3);
}

BOOST_AUTO_TEST_CASE(ALargerShareMakesUpForNothing) {
  VersionGate it;
  it.SetRule(Share(0.06), 0);
  Send(it, 1000);
  it.SetRule(Share(0.25), 0);
  BOOST_TEST(Send(it, 100) == 25);
}

BOOST_AUTO_TEST_CASE(WhatIsWithdrawnGetsNothing) {
  VersionGate it;
  VersionRule rule = Share(0);
  rule.allow_next_alone = false;
  it.SetRule(rule, 0.99);
  BOOST_TEST((it.Turn() == VersionTurn::kOthers));
  BOOST_TEST(!it.Admits(kNew));
  BOOST_TEST(it.Admits(kOld));
}

BOOST_AUTO_TEST_CASE(WhatIsCompletedGetsAll) {
  VersionGate it;
  VersionRule rule = Share(1);
  rule.allow_others = false;
  it.SetRule(rule, 0);
  BOOST_TEST((it.Turn() == VersionTurn::kAny));
  BOOST_TEST(it.MayTake(VersionTurn::kAny, kNew));
  BOOST_TEST(!it.MayTake(VersionTurn::kAny, kOld));
}

BOOST_AUTO_TEST_CASE(ABarredVersionGetsNothing) {
  VersionGate it;
  VersionRule rule;
  rule.barred = {kNew};
  it.SetRule(rule, 0);
  BOOST_TEST(!it.Admits(kNew));
  BOOST_TEST(it.MayTake(VersionTurn::kAny, kOld));
}

}  // namespace
}  // namespace quaytrack
