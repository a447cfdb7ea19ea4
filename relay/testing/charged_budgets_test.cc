// Tests what callers are told when the rest of a budget was charged for a dead
// router, without proof that it was spent.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "relay/hold_queue.h"

namespace quaytrack {
namespace {

const CustomerName kCustomer("clinic");
constexpr Tokens kLimit = 100000;
constexpr Tokens kCharged = 60000;

struct Waiter final : HoldWaiter {
  Waiter(std::string name, Tokens worst)
      : id_(std::move(name)), worst_(worst) {}
  const RequestId& id() const override { return id_; }
  const CustomerName& customer() const override { return kCustomer; }
  Tokens worst_case() const override { return worst_; }
  void OnHeld() override {}
  void OnHoldRefused(bool exhausted) override {
    order.emplace_back(exhausted ? "exhausted" : "short");
  }

  RequestId id_;
  Tokens worst_;
  std::vector<std::string> order;
};

// A router whose record shows a charge of `kCharged` for a dead one. The store
// answers nothing further.
struct Fixture {
  Fixture() {
    HoldQueue::Handlers on;
    on.ask_peers = [](const CustomerName&, Tokens, bool) {};
    on.answer = [this](const HoldWaiterPtr& it, PrepaidVerdict verdict) {
      answers.push_back(it->id().value + " " + std::string(NameOf(verdict)));
    };
    queue = std::make_unique<HoldQueue>(ledger, Duration::zero(), on);
    ledger.BecomeHolder();
    ledger.SetLimits(1, {{kCustomer, kLimit}});
    ledger.OnRead(now, State(0));
  }

  // A record in which the dead router had `spent` of its grant.
  PrepaidState State(Tokens spent) {
    const Incarnation dead("vm2@1");
    PrepaidState out;
    out.revision = ++revision;
    out.record.members = {dead};
    PrepaidEntry& entry = out.record.customers[kCustomer];
    entry.limit = kLimit;
    entry.limit_version = 1;
    entry.grants[dead] = kCharged;
    SpendAccount account;
    account.customers[kCustomer] = {spent, 0};
    out.record.ChargeAndRemove(dead, &account);
    return out;
  }
  PrepaidVerdict Ask(const std::string& name, Tokens amount) {
    return queue->HoldOrWait(now, std::make_shared<Waiter>(name, amount));
  }

  Instant now{std::chrono::hours(1)};
  std::int64_t revision = 0;
  PrepaidLedger ledger{{Incarnation("vm1@1"), "boot", now}, PrepaidPolicy()};
  std::vector<std::string> answers;
  std::unique_ptr<HoldQueue> queue;
};

// Guards against callers who are told that their budget is used up, and against
// a wait for tokens that can't come.
BOOST_FIXTURE_TEST_CASE(AChargeWithoutProofIsRefusedAtOnceAsSuch, Fixture) {
  BOOST_TEST((Ask("large", 50000) == PrepaidVerdict::kCharged));
  BOOST_TEST((Ask("huge", kLimit) == PrepaidVerdict::kExhausted));
  BOOST_TEST((Ask("small", 30000) == PrepaidVerdict::kShort));
  BOOST_TEST(queue->HasWaiters(kCustomer));
}

// Guards against a 503 for a budget that is known to be used up.
BOOST_FIXTURE_TEST_CASE(ProvenSpendingIsRefusedAsExhausted, Fixture) {
  ledger.OnRead(now, State(kCharged));
  BOOST_TEST((Ask("large", 50000) == PrepaidVerdict::kExhausted));
}

// Guards against requests that wait in the queue while a charge takes the rest.
BOOST_FIXTURE_TEST_CASE(AChargeReachesTheRequestsThatWait, Fixture) {
  BOOST_TEST((Ask("first", 39000) == PrepaidVerdict::kShort));
  PrepaidState state = State(0);
  state.record.customers[kCustomer].settled += 10000;
  state.record.customers[kCustomer].presumed[Incarnation()] = 10000;
  ledger.OnRead(now, state);
  BOOST_TEST((Ask("second", 39000) == PrepaidVerdict::kCharged));
  queue->Serve(now);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0] == "first charged");
}

// A waiter that knows no such refusal takes it for a lack of tokens, and never
// for a budget that is used up.
BOOST_AUTO_TEST_CASE(AWaiterOfAPeerIsToldThatTokensDoNotSuffice) {
  Waiter it("peer", 1);
  it.OnHoldCharged();
  BOOST_REQUIRE(it.order.size() == 1U);
  BOOST_TEST(it.order[0] == "short");
}

}  // namespace
}  // namespace quaytrack
