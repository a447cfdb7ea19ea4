// Tests Scarcity: who is refused while a budget doesn't cover its demand.

#include "prepaid/scarcity.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <optional>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CustomerName kCustomer("clinic");
constexpr Tokens kAmount = 1000;
constexpr Duration kHorizon = seconds(8);
// More than the demand of `Fixture::Run` over the horizon.
constexpr Tokens kPlenty = 1'000'000;

struct Fixture {
  // Requests of `urgent_per_s` and `other_per_s` of urgency 0 and 1, each of
  // `kAmount`; urgent ones are held.
  void Run(Duration time, int urgent_per_s, int other_per_s) {
    const Instant end = now + time;
    Instant urgent = now;
    Instant other = now;
    while (now < end) {
      now += milliseconds(10);
      while (urgent_per_s > 0 && urgent < now) {
        Request(0);
        scarcity.OnHeld(now, {kCustomer, 0, kAmount});
        urgent += milliseconds(1000 / urgent_per_s);
      }
      while (other_per_s > 0 && other < now) {
        Request(1);
        other += milliseconds(1000 / other_per_s);
      }
    }
  }
  void Request(int urgency) {
    scarcity.OnRequested(now, {kCustomer, urgency, kAmount});
  }
  std::optional<ReserveRefusal> Check(int urgency, Tokens reach,
                                      Tokens amount = kAmount,
                                      Duration next_read = seconds(6)) const {
    return scarcity.Check(now, {kCustomer, urgency, amount}, {reach, next_read},
                          0.5);
  }
  // Uses up the share that every class keeps.
  void HoldOther(int requests) {
    for (int n = 0; n < requests; ++n) {
      scarcity.OnHeld(now, {kCustomer, 1, kAmount});
    }
  }

  Instant now{std::chrono::hours(1)};
  Scarcity scarcity{kHorizon};
};

BOOST_FIXTURE_TEST_CASE(DemandIsMeasuredSoon, Fixture) {
  Run(milliseconds(2100), 20, 10);
  const double demand = scarcity.DemandPerSecond(now, kCustomer);
  BOOST_TEST(demand > 30000 * 0.9);
  BOOST_TEST(demand < 30000 * 1.1);
}

BOOST_FIXTURE_TEST_CASE(LessUrgentRequestsLeaveWhatMoreUrgentOnesNeed,
                        Fixture) {
  Run(seconds(6), 20, 10);
  HoldOther(20);
  // Urgent requests need 20,000 tokens a second for 8 s.
  BOOST_TEST(Check(1, 150000).has_value());
  BOOST_TEST(!Check(1, 175000).has_value());
  BOOST_TEST(!Check(0, 150000).has_value());
  BOOST_TEST(!Check(0, 0).has_value());
}

// Guards against small requests of a class that go where its large ones are
// refused, and the other way round.
BOOST_FIXTURE_TEST_CASE(TheSizeOfARequestDoesNotDecide, Fixture) {
  Run(seconds(6), 20, 10);
  HoldOther(20);
  BOOST_TEST(Check(1, 150000, 1).has_value());
  BOOST_TEST(!Check(1, 175000, 170000).has_value());
}

BOOST_FIXTURE_TEST_CASE(ATopUpReleasesTheReserveAtOnce, Fixture) {
  Run(seconds(6), 20, 10);
  HoldOther(20);
  BOOST_TEST(Check(1, 1000).has_value());
  BOOST_TEST(!Check(1, kPlenty).has_value());
}

// Guards against tokens that stay reserved for a class that requests nothing
// any more, while others are refused.
BOOST_FIXTURE_TEST_CASE(AClassThatStopsReleasesItsReserve, Fixture) {
  Run(seconds(6), 20, 10);
  HoldOther(20);
  BOOST_TEST(Check(1, 1000).has_value());
  Run(milliseconds(700), 0, 10);
  BOOST_TEST(!Check(1, 1000).has_value());
}

BOOST_FIXTURE_TEST_CASE(AClassWithDemandKeepsAShare, Fixture) {
  Run(seconds(6), 20, 10);
  BOOST_TEST(!Check(1, 100000).has_value());
  // A tenth of all: 20 urgent requests a second leave about 2.
  HoldOther(20);
  BOOST_TEST(Check(1, 100000).has_value());
  Run(seconds(6), 20, 10);
  BOOST_TEST(!Check(1, 100000).has_value());
  BOOST_TEST(Check(1, 500).has_value());
}

// Guards against a class that is served more often than a more urgent one while
// they compete for the same tokens.
BOOST_FIXTURE_TEST_CASE(NoClassIsServedMoreOftenThanAMoreUrgentOne, Fixture) {
  for (int n = 0; n < 1000; ++n) {
    now += milliseconds(10);
    if (n % 5 == 0) Request(0);
    if (n % 20 == 0) scarcity.OnHeld(now, {kCustomer, 0, kAmount});
    if (n % 50 == 0) Request(1);
  }
  // A quarter of the urgent requests was held, and nothing of the others.
  BOOST_TEST(!Check(1, 15000).has_value());
  HoldOther(8);
  const auto refusal = Check(1, 15000);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->by_parity);
  // Tokens that last for longer aren't contested.
  const auto uncontested = Check(1, 60000);
  BOOST_REQUIRE(uncontested.has_value());
  BOOST_TEST(!uncontested->by_parity);
}

// Guards against many small requests that are refused for the sake of a few
// large ones: those get no reserve, only parity.
BOOST_FIXTURE_TEST_CASE(LargeRequestsTakeNoReserveFromSmallOnes, Fixture) {
  for (int n = 0; n < 600; ++n) {
    now += milliseconds(10);
    if (n % 10 != 0) continue;
    scarcity.OnRequested(now, {kCustomer, 0, 10 * kAmount});
    scarcity.OnHeld(now, {kCustomer, 0, 10 * kAmount});
    Request(1);
    HoldOther(1);
  }
  BOOST_TEST(scarcity.IsScarce(now, kCustomer, 300000));
  BOOST_TEST(!Check(1, 300000).has_value());
  BOOST_TEST(!Check(1, 50000).has_value());
}

BOOST_FIXTURE_TEST_CASE(OneUrgencyIsServedAsBefore, Fixture) {
  Run(seconds(6), 0, 30);
  BOOST_TEST(scarcity.IsScarce(now, kCustomer, 1000));
  BOOST_TEST(!Check(1, 0).has_value());
}

// A router that has just started has no estimate of the demand.
BOOST_FIXTURE_TEST_CASE(NothingIsRefusedBeforeDemandIsKnown, Fixture) {
  Run(milliseconds(1900), 20, 10);
  HoldOther(20);
  BOOST_TEST(!Check(1, 1000).has_value());
  BOOST_TEST(!scarcity.IsScarce(now, kCustomer, 1000));
  Run(milliseconds(200), 20, 10);
  HoldOther(20);
  BOOST_TEST(Check(1, 1000).has_value());
  // The demand is forgotten after a long pause.
  now += seconds(20);
  Run(milliseconds(1000), 20, 10);
  BOOST_TEST(!Check(1, 1000).has_value());
}

BOOST_FIXTURE_TEST_CASE(IsScarceComparesReachAndDemand, Fixture) {
  Run(seconds(6), 20, 10);
  BOOST_TEST(scarcity.IsScarce(now, kCustomer, 200000));
  BOOST_TEST(!scarcity.IsScarce(now, kCustomer, 300000));
  BOOST_TEST(!scarcity.IsScarce(now, CustomerName("other"), 0));
}

BOOST_FIXTURE_TEST_CASE(WithoutAHorizonNothingIsRefused, Fixture) {
  scarcity = Scarcity(Duration::zero());
  Run(seconds(6), 20, 10);
  BOOST_TEST(!Check(1, 0).has_value());
  BOOST_TEST(!scarcity.IsScarce(now, kCustomer, 0));
}

BOOST_FIXTURE_TEST_CASE(MoreUrgentRequestsMayRetrySooner, Fixture) {
  for (int n = 0; n < 400; ++n) {
    now += milliseconds(10);
    for (int urgency = 0; urgency < 3; ++urgency) Request(urgency);
    scarcity.OnHeld(now, {kCustomer, 0, kAmount});
  }
  HoldOther(300);
  scarcity.OnHeld(now, {kCustomer, 2, 300 * kAmount});
  const auto middle = Check(1, 1000);
  const auto last = Check(2, 1000);
  BOOST_REQUIRE(middle.has_value());
  BOOST_REQUIRE(last.has_value());
  BOOST_TEST(ToSeconds(middle->retry_after) <
             ToSeconds(last->retry_after) * 0.6);
  // The next read of the record may show more tokens.
  const auto soon = Check(2, 1000, kAmount, milliseconds(600));
  BOOST_REQUIRE(soon.has_value());
  BOOST_TEST(ToSeconds(soon->retry_after) < 0.7);
}

// Urgencies come from peers' messages, which may hold any number.
BOOST_FIXTURE_TEST_CASE(AnyUrgencyIsAccepted, Fixture) {
  Run(seconds(3), 20, 10);
  Request(-5);
  Request(1 << 30);
  BOOST_TEST(!Check(-5, 0).has_value());
  BOOST_TEST(Check(1 << 30, 0).has_value());
}

// For any mix: with more tokens in reach a request isn't refused where it was
// accepted with fewer, the most urgent class is never refused, and what is
// reserved is no more than the demand over the horizon.
BOOST_AUTO_TEST_CASE(DecisionsAreMonotonic) {
  const bool ok = rc::check("decisions are monotonic", [] {
    Fixture it;
    const int steps = *rc::gen::inRange(200, 500);
    const int intervals[] = {*rc::gen::inRange(1, 40), *rc::gen::inRange(1, 40),
                             *rc::gen::inRange(1, 40)};
    double requested = 0;
    for (int n = 0; n < steps; ++n) {
      it.now += milliseconds(10);
      for (int urgency = 0; urgency < 3; ++urgency) {
        if (n % intervals[urgency] != 0) continue;
        it.Request(urgency);
        requested += kAmount;
        if (urgency == 0) it.scarcity.OnHeld(it.now, {kCustomer, 0, kAmount});
      }
    }
    // Uses up the share of the other classes.
    it.scarcity.OnHeld(it.now, {kCustomer, 1, kPlenty});
    it.scarcity.OnHeld(it.now, {kCustomer, 2, kPlenty});
    const Tokens reach = *rc::gen::inRange<Tokens>(0, kPlenty);
    RC_ASSERT(!it.Check(0, reach).has_value());
    for (int urgency = 1; urgency < 3; ++urgency) {
      const auto refusal = it.Check(urgency, reach);
      if (!refusal) {
        RC_ASSERT(!it.Check(urgency, reach + 1000).has_value());
        continue;
      }
      RC_ASSERT(refusal->by_parity || refusal->reserved >= reach);
      RC_ASSERT(static_cast<double>(refusal->reserved) <=
                requested * ToSeconds(kHorizon) / 2);
      RC_ASSERT(refusal->retry_after > Duration::zero());
    }
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace quaytrack
