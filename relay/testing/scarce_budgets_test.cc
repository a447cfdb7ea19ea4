// Tests how a router's queue for its grants treats scarce budgets: who is
// refused at once, who waits before whom, and what counts as within reach.

#include "relay/scarce_budgets.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "prepaid/prepaid_ledger.h"
#include "relay/hold_queue.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CustomerName kCustomer("clinic");
const Incarnation kSelf("vm0@1");
constexpr Tokens kAmount = 1000;
// Demand of `Run`: 20 urgent and 20 other requests a second.
constexpr Tokens kDemandPerSecond = 40000;
constexpr Duration kHorizon = seconds(8);

struct Waiter final : HoldWaiter {
  Waiter(std::string name, int level, Tokens worst)
      : id_(std::move(name)), urgency_(level), worst_(worst) {}
  const RequestId& id() const override { return id_; }
  const CustomerName& customer() const override { return kCustomer; }
  Tokens worst_case() const override { return worst_; }
  int urgency() const override { return urgency_; }
  void OnHeld() override {}
  void OnHoldRefused(bool) override {}

  RequestId id_;
  int urgency_;
  Tokens worst_;
};

// A router with a ledger, a queue and a store that can be unreachable.
struct Fixture {
  explicit Fixture(Duration horizon = kHorizon) {
    HoldQueue::Handlers on;
    on.ask_peers = [this](const CustomerName&, Tokens, bool) { ++asked; };
    on.answer = [this](const HoldWaiterPtr& it, PrepaidVerdict verdict) {
      order.push_back(it->id().value + " " + std::string(NameOf(verdict)));
    };
    on.refuse_reserved = [this](const HoldWaiterPtr& it, Duration wait) {
      reserved.push_back(it->id().value);
      retry_after = wait;
    };
    on.store_reachable = [this] { return store_answers; };
    queue = std::make_unique<HoldQueue>(ledger, horizon, on);
    ledger.BecomeHolder();
  }

  // Joins a record with `members` routers.
  void Join(Tokens limit, int members = 1) {
    for (int n = 1; n < members; ++n) {
      record.members.insert(Incarnation("vm" + std::to_string(n) + "@1"));
    }
    ledger.SetLimits(1, {{kCustomer, limit}});
    PrepaidState state;
    state.revision = revision;
    state.record = record;
    ledger.OnRead(now, state);
    Write();
  }
  // Performs a write that is due, if the store is reachable.
  void Write() {
    if (!store_answers) return;
    const auto write = ledger.NextWrite(now);
    if (!write) return;
    if (write->changes_record) record = write->record;
    ledger.OnWritten(now, PrepaidOutcome::kApplied, ++revision);
    queue->Serve(now);
  }

  // Offers `kDemandPerSecond`. What is held is settled, at no cost if `free`.
  void Run(Duration time, bool free = false) {
    const Instant end = now + time;
    while (now < end) {
      now += milliseconds(50);
      for (int urgency = 0; urgency < 2; ++urgency) {
        if (Ask("run", urgency) == PrepaidVerdict::kHeld) {
          ledger.Settle(now, kCustomer, kAmount, free ? 0 : kAmount);
        }
      }
      Write();
      queue->Expire(now, store_answers);
    }
  }
  PrepaidVerdict Ask(const std::string& name, int urgency,
                     Tokens amount = kAmount) {
    return queue->HoldOrWait(now,
                             std::make_shared<Waiter>(name, urgency, amount));
  }
  Tokens Reach() const {
    return ledger.Reach(now, kCustomer, store_answers).value().tokens;
  }
  // Takes the tokens of the grant but `rest`.
  void HoldAllBut(Tokens rest) {
    const Tokens amount = ledger.Allowance(now, kCustomer) - rest;
    BOOST_REQUIRE(
        (ledger.Hold(now, kCustomer, amount) == PrepaidVerdict::kHeld));
  }
  void Clear() {
    reserved.clear();
    order.clear();
    asked = 0;
  }

  Instant now{std::chrono::hours(1)};
  PrepaidLedger ledger{{kSelf, "boot", now}, PrepaidPolicy()};
  PrepaidRecord record;
  std::int64_t revision = 1;
  bool store_answers = true;
  int asked = 0;
  std::vector<std::string> order;
  std::vector<std::string> reserved;
  std::optional<Duration> retry_after;
  std::unique_ptr<HoldQueue> queue;
};

struct OffFixture : Fixture {
  OffFixture() : Fixture(Duration::zero()) {}
};

// Guards against refusals of a budget that is plentiful: the grant is a small
// part of it, and the store would grant more in some milliseconds.
BOOST_FIXTURE_TEST_CASE(ASmallGrantIsNotScarceWhileTheStoreAnswers, Fixture) {
  Join(50 * kDemandPerSecond);
  Run(seconds(4));
  BOOST_TEST(ledger.Allowance(now, kCustomer) < 8 * kDemandPerSecond);
  BOOST_TEST(!queue->IsScarce(now, kCustomer));
  BOOST_TEST(reserved.empty());
  HoldAllBut(0);
  BOOST_TEST(!queue->IsScarce(now, kCustomer));
  Ask("other", 1);
  BOOST_TEST(reserved.empty());
}

// Guards against refusals at a router that gets all of a customer's requests.
// An equal share of what isn't granted would be a twelfth.
BOOST_FIXTURE_TEST_CASE(ABusyRouterReachesMoreThanAnEqualShare, Fixture) {
  Join(30 * kDemandPerSecond, 12);
  Run(seconds(4));
  BOOST_TEST(Reach() > 9 * kDemandPerSecond);
  BOOST_TEST(reserved.empty());
}

BOOST_FIXTURE_TEST_CASE(AnIdleRouterReachesAnEqualShare, Fixture) {
  Join(1200000, 12);
  const Tokens idle = ledger.Reach(now, kCustomer, false).value().tokens;
  const Tokens ungranted = 1200000 - idle;
  BOOST_TEST(Reach() <= idle + ungranted / 12);
  BOOST_TEST(Reach() >= idle + ungranted / 12 * 98 / 100);
}

BOOST_FIXTURE_TEST_CASE(AScarceBudgetIsKeptForUrgentRequests, Fixture) {
  Join(12 * kDemandPerSecond);
  Run(seconds(8));
  BOOST_TEST(queue->IsScarce(now, kCustomer));
  BOOST_TEST(queue->CountScarce(now) == 1U);
  BOOST_TEST(!reserved.empty());
  // The refusal came with the request, and nothing waits.
  BOOST_TEST(!queue->HasWaiters(kCustomer));
  BOOST_REQUIRE(retry_after.has_value());
  BOOST_TEST(ToSeconds(*retry_after) > 0.2);
  BOOST_TEST(ToSeconds(*retry_after) < 2.6);
  BOOST_TEST((Ask("urgent", 0) == PrepaidVerdict::kHeld));
}

// In an outage nothing is granted, so the grant alone counts.
BOOST_FIXTURE_TEST_CASE(AnOutageMakesASmallGrantScarce, Fixture) {
  Join(22 * kDemandPerSecond);
  Run(seconds(4));
  store_answers = false;
  BOOST_TEST(queue->IsScarce(now, kCustomer));
  Run(seconds(3));
  BOOST_TEST(!reserved.empty());
  // It is over: the store grants more again.
  store_answers = true;
  Clear();
  Run(seconds(1));
  BOOST_TEST(reserved.empty());
}

BOOST_FIXTURE_TEST_CASE(ATopUpEndsTheRefusalsAtOnce, Fixture) {
  Join(12 * kDemandPerSecond);
  Run(seconds(8));
  BOOST_TEST(!reserved.empty());
  Clear();
  ledger.SetLimits(2, {{kCustomer, 100 * kDemandPerSecond}});
  BOOST_TEST(!queue->IsScarce(now, kCustomer));
  Ask("other", 1);
  BOOST_TEST(reserved.empty());
}

// A refused request doesn't wait, so peers would never be asked for what they
// don't use.
BOOST_FIXTURE_TEST_CASE(RefusalsAskPeersOnceASecond, Fixture) {
  Join(22 * kDemandPerSecond);
  Run(seconds(4));
  store_answers = false;
  Run(seconds(2));
  BOOST_REQUIRE(!reserved.empty());
  Clear();
  Run(milliseconds(2900));
  BOOST_TEST(reserved.size() >= 20U);
  BOOST_TEST(!queue->HasWaiters(kCustomer));
  BOOST_TEST(asked >= 2);
  BOOST_TEST(asked <= 4);
}

BOOST_FIXTURE_TEST_CASE(WhatCanNeverFitIsStillExhausted, Fixture) {
  Join(12 * kDemandPerSecond);
  Run(seconds(8));
  Clear();
  BOOST_TEST(
      (Ask("huge", 1, 12 * kDemandPerSecond) == PrepaidVerdict::kExhausted));
  BOOST_TEST(reserved.empty());
}

// The small, less urgent requests that already wait don't starve a large urgent
// one, and within a class the order is that of arrival.
BOOST_FIXTURE_TEST_CASE(UrgentRequestsGoBeforeLessUrgentOnesThatWait, Fixture) {
  Join(100000);
  store_answers = false;
  HoldAllBut(0);
  Ask("small-1", 1, 100);
  Ask("small-2", 1, 100);
  Ask("large", 0, 2000);
  Ask("urgent", 0, 100);
  BOOST_TEST(order.empty());
  ledger.Settle(now, kCustomer, 1500, 0);
  queue->Serve(now);
  BOOST_TEST(order.empty());
  ledger.Settle(now, kCustomer, 700, 0);
  queue->Serve(now);
  ledger.Settle(now, kCustomer, 1000, 0);
  queue->Serve(now);
  const std::vector<std::string> expected = {"large held", "urgent held",
                                             "small-1 held", "small-2 held"};
  BOOST_TEST(order == expected);
}

// Guards against a wait without end behind urgent requests that keep arriving.
BOOST_FIXTURE_TEST_CASE(EveryWaitEndsAfterItsTime, Fixture) {
  Join(100000);
  store_answers = false;
  HoldAllBut(0);
  Ask("other", 1);
  const Instant since = now;
  for (int n = 0; now < since + HoldTimeouts().give_up_after; ++n) {
    Ask("urgent-" + std::to_string(n), 0);
    now += milliseconds(20);
    queue->Expire(now, store_answers);
  }
  BOOST_REQUIRE(!order.empty());
  const auto n = std::count(order.begin(), order.end(), "other short");
  BOOST_TEST(n == 1);
}

BOOST_FIXTURE_TEST_CASE(WithoutTheSettingArrivalDecides, OffFixture) {
  Join(12 * kDemandPerSecond);
  Run(seconds(8));
  BOOST_TEST(reserved.empty());
  BOOST_TEST(!queue->IsScarce(now, kCustomer));
  store_answers = false;
  now += seconds(3);
  queue->Expire(now, store_answers);
  HoldAllBut(0);
  Clear();
  Ask("other", 1, 100);
  Ask("urgent", 0, 100);
  ledger.Settle(now, kCustomer, 200, 0);
  queue->Serve(now);
  const std::vector<std::string> expected = {"other held", "urgent held"};
  BOOST_TEST(order == expected);
}

}  // namespace
}  // namespace quaytrack
