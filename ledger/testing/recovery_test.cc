// Tests that recovery bills what a dead router spent, once, and returns its
// grants, and that a witness keeps copies until they are obsolete.

#include "ledger/recovery.h"

#include <boost/test/unit_test.hpp>

#include "ledger/testing/fake_ledger_store.h"
#include "ledger/testing/make_bill.h"
#include "ledger/witness.h"

namespace quaytrack {
namespace {

const Incarnation kDead{"vm-1@1"};

struct Fixture {
  Fixture() {
    LedgerRecord record;
    BudgetEntry& entry = record.budgets[kBudget];
    entry.bundle_limit = 1000;
    entry.settled = 100;
    entry.grants[kDead] = 500;
    entry.grants[Incarnation("vm-2@1")] = 200;
    record.writers[kDead] = {4, Incarnation("vm-2@1"), 10};
    store.Put(ShardOf(kBudget), record);
    input.dead = kDead;
    for (int n = 0; n < kLedgerShards; ++n) {
      input.shards.push_back(store.Read(n));
    }
    input.journal = {{4, {MakeBill("q1", 60), MakeBill("q2", 40)}}};
  }

  FakeLedgerStore store;
  RecoveryInput input;
};

BOOST_FIXTURE_TEST_SUITE(RecoveryTest, Fixture)

BOOST_AUTO_TEST_CASE(WritesMissingBillsAndReturnsTheGrant) {
  // The journal has q2 already; only the witness has q3; a target reports q4.
  input.copy.bills[RequestId("q2")] = {4, MakeBill("q2", 40)};
  input.copy.bills[RequestId("q3")] = {5, MakeBill("q3", 30)};
  input.asked = {MakeBill("q4", 20), MakeBill("q1", 999)};
  const auto commit = PlanRecovery(input);
  BOOST_REQUIRE(commit);
  BOOST_TEST(commit->batch.seq == 5U);
  BOOST_TEST(commit->batch.bills.size() == 2U);
  BOOST_REQUIRE(store.Apply(Incarnation("vm-2@1"), *commit));
  const BudgetEntry entry = store.Budget(kBudget);
  BOOST_TEST(entry.settled == 150);
  BOOST_TEST(entry.Outstanding() == 200);
}

BOOST_AUTO_TEST_CASE(IsDoneOnce) {
  input.copy.bills[RequestId("q3")] = {5, MakeBill("q3", 30)};
  const auto commit = PlanRecovery(input);
  BOOST_REQUIRE(store.Apply(Incarnation("vm-2@1"), *commit));
  // Applying the commit again fails as stale, and a new plan is empty.
  BOOST_TEST(!store.Apply(Incarnation("vm-2@1"), *commit));
  for (ShardState& it : input.shards) it = store.Read(it.shard);
  BOOST_TEST(!PlanRecovery(input));
}

BOOST_AUTO_TEST_CASE(RequestBilledElsewhereIsNotBilledAgain) {
  input.copy.bills[RequestId("q3")] = {5, MakeBill("q3", 30, "c/k")};
  input.existing_markers = {"c/k"};
  BOOST_TEST(PlanRecovery(input)->batch.bills.empty());
}

BOOST_AUTO_TEST_CASE(RouterThatOnlySeemedDeadIsFenced) {
  LedgerSync ledger(kDead, {});
  const Instant now{std::chrono::hours(1)};
  ledger.SetBudgets(1, {{kBudget, 1000, {std::chrono::seconds(1), 0}}});
  const auto run = [&](Instant at) {
    while (auto action = ledger.Next(at)) {
      if (auto* read = std::get_if<ReadShards>(&*action)) {
        ledger.OnRead(at, store.Read(read->shards), {});
        continue;
      }
      const bool ok = store.Apply(kDead, std::get<LedgerCommit>(*action));
      ledger.OnCommit(at,
                      ok ? CommitOutcome::kApplied : CommitOutcome::kRejected,
                      store.revision());
    }
  };
  ledger.Hold(now, RequestId("x"), kBudget, 50);
  run(now);
  BOOST_REQUIRE(!ledger.fenced());
  for (ShardState& it : input.shards) it = store.Read(it.shard);
  BOOST_REQUIRE(store.Apply(Incarnation("vm-2@1"), *PlanRecovery(input)));
  // The router resumes and tries to write the bill of a request that it ran.
  Bill late = MakeBill("x", 50);
  ledger.Settle(now, late);
  run(now + std::chrono::seconds(5));
  BOOST_TEST(ledger.fenced());
  BOOST_TEST(store.Budget(kBudget).settled == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(WitnessKeepsWhatItKnewUntilANewLinkHasCaughtUp) {
  WitnessFeed feed;
  WitnessStore store;
  const auto deliver = [&](std::size_t max_messages) {
    std::size_t n = 0;
    for (const WitnessMessage& it : feed.TakeOutgoing()) {
      if (n++ < max_messages) store.OnMessage(kDead, it);
    }
    return n;
  };
  Intent running;
  running.worst_case = MakeBill("run", 70);
  feed.OnLinkOpen();
  feed.OnIntent(running);
  feed.OnBill(MakeBill("done", 10), 1);
  deliver(99);
  BOOST_TEST(store.Of(kDead)->intents.size() == 1U);
  BOOST_TEST(store.Of(kDead)->bills.size() == 1U);
  // The link closes; the next one closes before it has sent anything.
  feed.OnLinkClosed();
  store.Restart(kDead);
  feed.OnLinkOpen();
  deliver(0);
  BOOST_TEST(store.Of(kDead)->intents.size() == 1U);
  BOOST_TEST(store.Of(kDead)->bills.size() == 1U);
  // The request ends while no link is open; the next link no longer sends it.
  feed.OnLinkClosed();
  feed.OnRelease(RequestId("run"));
  store.Restart(kDead);
  feed.OnLinkOpen();
  deliver(99);
  BOOST_TEST(store.Of(kDead)->intents.empty());
  BOOST_TEST(store.Of(kDead)->bills.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BillCountsAsCopiedOnlyWhenAcknowledged) {
  WitnessFeed feed;
  feed.OnLinkOpen();
  BOOST_TEST(!feed.CaughtUp());
  feed.OnBill(MakeBill("q", 1), 1);
  feed.TakeOutgoing();
  BOOST_TEST(feed.OnAck(1).empty());
  BOOST_TEST(feed.CaughtUp());
  const auto done = feed.OnAck(2);
  BOOST_REQUIRE(done.size() == 1U);
  BOOST_TEST(done[0].value == "q");
}

}  // namespace
}  // namespace quaytrack
