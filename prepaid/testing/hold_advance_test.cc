// Tests HoldAdvances and AdvanceToGive: when a router asks for tokens in
// advance, what it draws, when it stops, and how much a holder gives.

#include "prepaid/hold_advance.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const CustomerName kCustomer("c");
const Incarnation kHolder("h1@1");

struct Fixture {
  // Counts `n` requests of 100 tokens, `every` apart.
  void Load(int n, Duration every) {
    for (int it = 0; it < n; ++it) {
      now += every;
      advances.Count(now, kCustomer, 100);
    }
  }

  void Give(const std::string& id, Tokens amount) {
    advances.OnGiven(now, RequestId(id), kHolder, kCustomer, amount, now);
  }

  bool Draw(const std::string& id, Tokens amount = 100) {
    return advances.Draw(now, RequestId(id), kCustomer, amount,
                         [this](const Incarnation&) { return linked; });
  }

  Instant now{std::chrono::hours(1)};
  bool linked = true;
  HoldAdvances advances;
};

// --- Asking ------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(FewRequestsAskForNothing, Fixture) {
  Load(50, milliseconds(200));
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) == 0);
}

BOOST_FIXTURE_TEST_CASE(ManyRequestsAskForAQuarterSecond, Fixture) {
  Load(500, milliseconds(10));
  // 10,000 tokens a second.
  const Tokens amount = advances.AmountToAsk(now, kCustomer);
  BOOST_TEST(amount > 2400);
  BOOST_TEST(amount < 2600);
}

BOOST_FIXTURE_TEST_CASE(OneAskAtATimeAndAPauseAfterARefusal, Fixture) {
  Load(500, milliseconds(10));
  advances.OnAsked(kCustomer);
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) == 0);
  advances.OnRefused(now, kCustomer);
  Load(99, milliseconds(10));
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) == 0);
  Load(1, milliseconds(10));
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) > 0);
}

BOOST_FIXTURE_TEST_CASE(TheNextIsAskedForBeforeTheLastIsUsedUp, Fixture) {
  Load(500, milliseconds(10));
  Give("a", 2500);
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) == 0);
  for (int it = 0; it < 13; ++it) Draw("r" + std::to_string(it));
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) > 0);
}

// Guards against asking for every request while the holder has little left.
BOOST_FIXTURE_TEST_CASE(AnAdvanceTooSmallForARequestIsReturned, Fixture) {
  Load(500, milliseconds(10));
  Give("a", 99);
  BOOST_TEST(!Draw("r", 50));
  BOOST_TEST(advances.TakeFinished(now).size() == 1U);
  BOOST_TEST(advances.AmountToAsk(now, kCustomer) == 0);
}

// --- Drawing -----------------------------------------------------------------

// Guards against spending more than was given.
BOOST_FIXTURE_TEST_CASE(NoMoreIsDrawnThanWasGiven, Fixture) {
  Give("a", 250);
  BOOST_TEST(Draw("r1"));
  BOOST_TEST(Draw("r2"));
  BOOST_TEST(!Draw("r3"));
  advances.Settle(RequestId("r1"), 60);
  BOOST_TEST(!Draw("r4"));
  advances.Settle(RequestId("r2"), 30);
  BOOST_TEST(Draw("r5"));
}

// Guards against a second bill of one request.
BOOST_FIXTURE_TEST_CASE(ADrawIsChargedOnce, Fixture) {
  Give("a", 250);
  BOOST_TEST(Draw("r"));
  advances.Settle(RequestId("r"), 60);
  advances.Settle(RequestId("r"), 60);
  advances.CloseAll();
  const auto finished = advances.TakeFinished(now);
  BOOST_REQUIRE(finished.size() == 1U);
  BOOST_TEST(finished[0].cost == 60);
  BOOST_TEST(advances.TakeFinished(now).empty());
}

// Two callers may choose the same id.
BOOST_FIXTURE_TEST_CASE(AnIdInUseIsNotDrawnAgain, Fixture) {
  Give("a", 250);
  BOOST_TEST(Draw("r"));
  BOOST_TEST(!Draw("r"));
}

BOOST_FIXTURE_TEST_CASE(NothingIsDrawnWithoutALinkToTheHolder, Fixture) {
  Give("a", 250);
  linked = false;
  BOOST_TEST(!Draw("r"));
}

// --- The end -----------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(ItIsSettledAfterItsLastDraw, Fixture) {
  Give("a", 250);
  BOOST_TEST(Draw("r"));
  advances.CloseAt(kHolder);
  BOOST_TEST(!Draw("s"));
  BOOST_TEST(advances.TakeFinished(now).empty());
  advances.Settle(RequestId("r"), 70);
  const auto finished = advances.TakeFinished(now);
  BOOST_REQUIRE(finished.size() == 1U);
  BOOST_TEST(finished[0].cost == 70);
  BOOST_TEST(advances.empty());
}

BOOST_FIXTURE_TEST_CASE(UnusedItIsReturned, Fixture) {
  Give("a", 250);
  now += milliseconds(999);
  BOOST_TEST(advances.TakeFinished(now).empty());
  now += milliseconds(1);
  BOOST_TEST(!Draw("r"));
  BOOST_TEST(advances.TakeFinished(now).size() == 1U);
}

// Guards against drawing long after a holder's death.
BOOST_FIXTURE_TEST_CASE(ItEndsAfterItsLifetimeEvenInUse, Fixture) {
  Give("a", 10000);
  for (int it = 0; it < 19; ++it) {
    now += milliseconds(100);
    BOOST_TEST(Draw("r" + std::to_string(it)));
  }
  now += milliseconds(100);
  BOOST_TEST(!Draw("last"));
}

// Guards against drawing by a router that was frozen.
BOOST_FIXTURE_TEST_CASE(AfterAFreezeNothingIsDrawn, Fixture) {
  Give("a", 10000);
  BOOST_TEST(Draw("r"));
  now += std::chrono::seconds(10);
  BOOST_TEST(!Draw("s"));
}

BOOST_FIXTURE_TEST_CASE(OnlyTheCustomersAdvancesAreClosed, Fixture) {
  Give("a", 250);
  advances.OnGiven(now, RequestId("b"), kHolder, CustomerName("d"), 250, now);
  advances.CloseFor(CustomerName("d"));
  BOOST_TEST(advances.TakeFinished(now).size() == 1U);
  BOOST_TEST(Draw("r"));
}

// --- The holder --------------------------------------------------------------

BOOST_AUTO_TEST_CASE(AHolderGivesASmallPartOfWhatItHas) {
  const AdvancePolicy policy;
  BOOST_TEST(AdvanceToGive(policy, 1000, 80000, 0) == 1000);
  BOOST_TEST(AdvanceToGive(policy, 20000, 80000, 0) == 10000);
  // Too little of what was asked for.
  BOOST_TEST(AdvanceToGive(policy, 50000, 80000, 0) == 0);
  BOOST_TEST(AdvanceToGive(policy, 1000, 0, 0) == 0);
  BOOST_TEST(AdvanceToGive(policy, 1000, -5, 0) == 0);
  BOOST_TEST(AdvanceToGive(policy, -1000, 80000, 0) == 0);
}

BOOST_AUTO_TEST_CASE(AdvancesTogetherAreAtMostHalf) {
  const AdvancePolicy policy;
  Tokens allowance = 80000;
  Tokens given = 0;
  for (int it = 0; it < 100; ++it) {
    const Tokens out = AdvanceToGive(policy, 5000, allowance, given);
    allowance -= out;
    given += out;
  }
  BOOST_TEST(given <= 40000);
  BOOST_TEST(given > 30000);
}

}  // namespace
}  // namespace quaytrack
