// Tests LedgerSync: local spending, grants moved between routers, lost answers,
// duplicate bills, fencing, draining and lowered limits.

#include "ledger/sync.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "ledger/testing/fake_ledger_store.h"
#include "ledger/testing/make_bill.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// One router with a store that answers immediately.
struct Router {
  Router(const std::string& name, FakeLedgerStore& s, Tokens limit)
      : self(name), store(s), ledger(self, {}) {
    ledger.SetBudgets(1, {{kBudget, limit, {std::chrono::seconds(10), 32}}});
  }

  // Runs a request whose hold and cost are both `cost`.
  void Spend(Instant now, const BudgetName& budget, const char* request,
             Tokens cost, const std::string& marker = "") {
    ledger.Hold(now, RequestId(request), budget, cost);
    Bill bill = MakeBill(request, cost, marker);
    bill.budget = budget;
    ledger.Settle(now, bill);
  }

  // Takes the due commit; its answer is lost and it takes effect only with
  // `ApplyDelayed`.
  void CommitLate(Instant now) {
    const auto action = ledger.Next(now);
    BOOST_REQUIRE(action.has_value());
    store.Delay(self, std::get<LedgerCommit>(*action));
    ledger.OnCommit(now, CommitOutcome::kUnknown, 0);
  }

  // Performs the due read, which must be of `records` records.
  void Read(Instant now, std::size_t records) {
    const auto action = ledger.Next(now);
    BOOST_REQUIRE(action.has_value());
    const auto& read = std::get<ReadShards>(*action);
    BOOST_REQUIRE(read.shards.size() == records);
    ledger.OnRead(now, store.Read(read.shards), store.markers());
  }

  // Performs actions until none is due at `now`.
  void Run(Instant now) {
    while (auto action = ledger.Next(now)) {
      if (auto* read = std::get_if<ReadShards>(&*action)) {
        ledger.OnRead(now, store.Read(read->shards), store.markers());
        continue;
      }
      const LedgerCommit& commit = std::get<LedgerCommit>(*action);
      const bool ok = store.Apply(self, commit);
      last_need = commit.need;
      ledger.OnCommit(now,
                      ok ? CommitOutcome::kApplied : CommitOutcome::kRejected,
                      store.revision());
    }
    for (auto& it : ledger.TakeEvents()) events.push_back(it);
  }

  Incarnation self;
  FakeLedgerStore& store;
  LedgerSync ledger;
  std::vector<LedgerEvent> events;
  std::set<int> last_need;
};

struct Fixture {
  FakeLedgerStore store;
  Instant now{std::chrono::hours(1)};
  void Pass(Duration d) { now += d; }
};

BOOST_FIXTURE_TEST_SUITE(LedgerSyncTest, Fixture)

BOOST_AUTO_TEST_CASE(SpendsLocallyOnceGranted) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  BOOST_TEST(store.Budget(kBudget).Outstanding() == 1000);
  BOOST_TEST(
      (r.ledger.Hold(now, RequestId("q"), kBudget, 600) == HoldOutcome::kHeld));
  Bill bill = MakeBill("q", 250);
  r.ledger.Settle(now, bill);
  Pass(milliseconds(200));
  r.Run(now);
  BOOST_TEST(store.Budget(kBudget).settled == 250);
  BOOST_TEST(store.bills().size() == 1);
}

BOOST_AUTO_TEST_CASE(BillIsCutToItsHold) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  r.ledger.Hold(now, RequestId("q"), kBudget, 100);
  Bill bill = MakeBill("q", 5000);
  r.ledger.Settle(now, bill);
  BOOST_TEST(bill.tokens == 100);
}

BOOST_AUTO_TEST_CASE(LargerNeedWaitsForAGrant) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  const auto outcome = r.ledger.Hold(now, RequestId("q"), kBudget, 20000);
  BOOST_TEST((outcome == HoldOutcome::kWaiting));
  Pass(milliseconds(200));
  r.Run(now);
  BOOST_REQUIRE(!r.events.empty());
  BOOST_TEST((r.events.back().kind == LedgerEventKind::kHoldGranted ||
              r.events.front().kind == LedgerEventKind::kHoldGranted));
}

BOOST_AUTO_TEST_CASE(MoreThanTheBudgetIsRefusedAtOnce) {
  Router r("vm-1@1", store, 1000);
  r.Run(now);
  const auto outcome = r.ledger.Hold(now, RequestId("q"), kBudget, 1001);
  BOOST_TEST((outcome == HoldOutcome::kExhausted));
}

BOOST_AUTO_TEST_CASE(IdleGrantIsCalledBackForOneInNeed) {
  Router a("vm-1@1", store, 1000);
  Router b("vm-2@1", store, 1000);
  a.Run(now);
  a.ledger.Hold(now, RequestId("warm"), kBudget, 900);
  Pass(milliseconds(200));
  a.Run(now);
  a.ledger.Release(RequestId("warm"), kBudget);
  // The grant of `a` is 900 or more; `b` needs 800.
  b.Run(now);
  b.ledger.Hold(now, RequestId("q"), kBudget, 800);
  Pass(milliseconds(200));
  b.Run(now);
  BOOST_TEST(store.Budget(kBudget).wanted.size() == 1U);
  a.ledger.OnWatched(now, store.Read(ShardOf(kBudget)));
  a.Run(now);
  b.ledger.OnWatched(now, store.Read(ShardOf(kBudget)));
  Pass(milliseconds(200));
  b.Run(now);
  bool granted = false;
  for (const auto& it : b.events) {
    granted = granted || it.kind == LedgerEventKind::kHoldGranted;
  }
  BOOST_TEST(granted);
  BOOST_TEST(store.Budget(kBudget).wanted.empty());
}

// Without any watch, the `need` message alone makes other routers read a record
// and give back idle grants.
BOOST_AUTO_TEST_CASE(NeedMakesOthersReadAndGiveBack) {
  Router a("vm-1@1", store, 1000);
  Router b("vm-2@1", store, 1000);
  a.Run(now);
  a.ledger.Hold(now, RequestId("warm"), kBudget, 900);
  Pass(milliseconds(200));
  a.Run(now);
  a.ledger.Release(RequestId("warm"), kBudget);
  b.Run(now);
  b.ledger.Hold(now, RequestId("q"), kBudget, 800);
  const int shard = ShardOf(kBudget);
  Pass(milliseconds(200));
  b.Run(now);
  BOOST_TEST(b.last_need.contains(shard));
  a.ledger.OnNeed(shard);
  Pass(milliseconds(200));
  a.Run(now);
  BOOST_TEST(a.last_need.contains(shard));
  b.ledger.OnNeed(shard);
  Pass(milliseconds(200));
  b.Run(now);
  bool granted = false;
  for (const auto& it : b.events) {
    granted = granted || it.kind == LedgerEventKind::kHoldGranted;
  }
  BOOST_TEST(granted);
}

// A top-up without a `need` message is seen at the next periodic read.
BOOST_AUTO_TEST_CASE(RecordsAreReadNowAndThenUnasked) {
  Router r("vm-1@1", store, 1000);
  r.Run(now);
  LedgerRecord record = store.Read(ShardOf(kBudget)).record;
  record.budgets[kBudget].added = 5000;
  store.Put(ShardOf(kBudget), record);
  auto outcome = r.ledger.Hold(now, RequestId("q"), kBudget, 3000);
  BOOST_TEST((outcome == HoldOutcome::kExhausted));
  Pass(std::chrono::seconds(11));
  r.Run(now);
  outcome = r.ledger.Hold(now, RequestId("q"), kBudget, 3000);
  BOOST_TEST((outcome == HoldOutcome::kWaiting));
}

BOOST_AUTO_TEST_CASE(LostAnswerIsFoundInTheRecord) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  r.ledger.Hold(now, RequestId("q"), kBudget, 600);
  Bill bill = MakeBill("q", 250);
  r.ledger.Settle(now, bill);
  Pass(milliseconds(200));
  auto action = r.ledger.Next(now);
  BOOST_REQUIRE(std::holds_alternative<LedgerCommit>(*action));
  store.Apply(r.self, std::get<LedgerCommit>(*action));
  r.ledger.OnCommit(now, CommitOutcome::kUnknown, 0);
  Pass(milliseconds(500));
  r.Run(now);
  BOOST_TEST(store.Budget(kBudget).settled == 250);
  BOOST_TEST(store.bills().size() == 1U);
  BOOST_TEST(r.ledger.UnwrittenBills() == 0U);
}

// Guards against storing bills twice: a watch moved the cached revision past an
// attempt that was applied late, so the next attempt wrote the same bills
// again.
BOOST_AUTO_TEST_CASE(LateAttemptSeenByTheWatchIsNotWrittenAgain) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  r.ledger.Hold(now, RequestId("q"), kBudget, 600);
  Bill bill = MakeBill("q", 250);
  r.ledger.Settle(now, bill);
  Pass(milliseconds(200));
  auto action = r.ledger.Next(now);
  BOOST_REQUIRE(std::holds_alternative<LedgerCommit>(*action));
  store.Delay(r.self, std::get<LedgerCommit>(*action));
  r.ledger.OnCommit(now, CommitOutcome::kUnknown, 0);
  Pass(milliseconds(500));
  action = r.ledger.Next(now);
  const auto& read = std::get<ReadShards>(*action);
  r.ledger.OnRead(now, store.Read(read.shards), {});
  store.ApplyDelayed(0);
  r.ledger.OnWatched(now, store.Read(ShardOf(kBudget)));
  Pass(milliseconds(500));
  r.Run(now);
  BOOST_TEST(store.bills().size() == 1U);
  BOOST_TEST(store.Budget(kBudget).settled == 250);
}

// One router with two budgets in two records.
struct TwoRecords : Fixture {
  TwoRecords() {
    SetBoth(1, 32000);
    r.Run(now);
    r.events.clear();
  }

  void SetBoth(std::uint64_t version, Tokens limit) {
    const BudgetPolicy policy{std::chrono::seconds(10), 32};
    r.ledger.SetBudgets(version,
                        {{kBudget, limit, policy}, {other, limit, policy}});
  }

  bool HasEvent(LedgerEventKind kind) {
    for (auto& it : r.ledger.TakeEvents()) r.events.push_back(it);
    return std::any_of(r.events.begin(), r.events.end(),
                       [&](const auto& it) { return it.kind == kind; });
  }

  const BudgetName other = BudgetInAnotherRecord();
  Router r{"vm-1@1", store, 32000};
};

// Guards against dropping a router's bill as a duplicate: a commit takes effect
// late, and a read of another record finds the marker that the commit created.
BOOST_FIXTURE_TEST_CASE(AMarkerOfALateCommitIsNotAnotherRoutersBill,
                        TwoRecords) {
  r.Spend(now, kBudget, "p", 300, "clinic/key-1");
  Pass(milliseconds(200));
  r.CommitLate(now);
  Pass(milliseconds(300));
  r.Read(now, 1);
  store.ApplyDelayed(0);
  r.ledger.OnNeed(ShardOf(other));
  r.Read(now, 1);
  BOOST_TEST(!HasEvent(LedgerEventKind::kBillDropped));
  BOOST_TEST(r.ledger.accounts().at(kBudget).Available() <=
             store.Budget(kBudget).GrantOf(r.self));
  Pass(milliseconds(200));
  r.Run(now);
  BOOST_TEST(r.ledger.accounts().at(kBudget).unwritten() == 0);
  BOOST_TEST(r.ledger.UnwrittenBills() == 0U);
}

// Guards against false fencing: of two attempts the first, on fewer records, is
// applied, and then the router has no entry in the second attempt's other
// record.
BOOST_FIXTURE_TEST_CASE(ALateCommitJoinsOnlyTheRecordsThatItWrote, Fixture) {
  Router r("vm-1@1", store, 32000);
  // The first read, and the periodic one.
  r.Read(now, 1);
  r.Read(now, 1);
  r.CommitLate(now);
  // The next attempt replaces another record as well.
  const BudgetPolicy policy{std::chrono::seconds(10), 32};
  r.ledger.SetBudgets(
      2, {{kBudget, 32000, policy}, {BudgetInAnotherRecord(), 32000, policy}});
  Pass(milliseconds(300));
  r.Read(now, 2);
  const auto second = r.ledger.Next(now);
  BOOST_REQUIRE(std::get<LedgerCommit>(*second).shards.size() == 2U);
  store.ApplyDelayed(0);
  BOOST_REQUIRE(!store.Apply(r.self, std::get<LedgerCommit>(*second)));
  r.ledger.OnCommit(now, CommitOutcome::kRejected, store.revision());
  r.Read(now, 2);
  // The commit that adds an entry to the other record isn't applied before the
  // next read.
  Pass(milliseconds(200));
  r.CommitLate(now);
  Pass(milliseconds(300));
  r.Read(now, 1);
  BOOST_TEST(!r.ledger.fenced());
  r.Run(now);
  BOOST_TEST(store.Budget(BudgetInAnotherRecord()).GrantOf(r.self) > 0);
}

// Guards against a wrong refusal: a commit takes effect late, a read of one of
// its records shows a cost as settled, and the cost also counted as unwritten.
BOOST_FIXTURE_TEST_CASE(ACostInAHalfKnownCommitCountsOnce, TwoRecords) {
  SetBoth(2, 1000);
  Pass(milliseconds(1100));
  r.Run(now);
  // Of 1,000 tokens 400 are spent, and a hold of 500 is requested.
  r.ledger.Hold(now, RequestId("warm"), kBudget, 400);
  Pass(milliseconds(200));
  r.Run(now);
  Bill bill = MakeBill("warm", 400);
  r.ledger.Settle(now, bill);
  r.Spend(now, other, "q", 10);
  Pass(milliseconds(200));
  r.CommitLate(now);
  Pass(milliseconds(300));
  r.Read(now, 2);
  store.ApplyDelayed(0);
  const auto outcome = r.ledger.Hold(now, RequestId("p"), kBudget, 500);
  BOOST_REQUIRE((outcome == HoldOutcome::kWaiting));
  r.ledger.OnNeed(ShardOf(kBudget));
  r.Read(now, 1);
  BOOST_TEST(!HasEvent(LedgerEventKind::kHoldRefused));
  Pass(milliseconds(200));
  r.Run(now);
  BOOST_TEST(HasEvent(LedgerEventKind::kHoldGranted));
}

BOOST_AUTO_TEST_CASE(SameKeyAtTwoRoutersIsBilledOnce) {
  Router a("vm-1@1", store, 32000);
  Router b("vm-2@1", store, 32000);
  for (Router* r : {&a, &b}) {
    r->Run(now);
    r->ledger.Hold(now, RequestId(r->self.value), kBudget, 300);
    Bill bill = MakeBill(r->self.value, 200, "clinic/key-1");
    r->ledger.Settle(now, bill);
  }
  Pass(milliseconds(200));
  a.Run(now);
  b.Run(now);
  Pass(milliseconds(200));
  b.Run(now);
  BOOST_TEST(store.bills().size() == 1U);
  BOOST_TEST(store.Budget(kBudget).settled == 200);
  BOOST_TEST(b.ledger.UnwrittenBills() == 0U);
}

BOOST_AUTO_TEST_CASE(SameKeyAtOneRouterIsBilledOnce) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  const auto settle = [&](const char* request) {
    r.ledger.Hold(now, RequestId(request), kBudget, 300);
    Bill bill = MakeBill(request, 200, "clinic/key-1");
    const std::uint64_t seq = r.ledger.Settle(now, bill);
    BOOST_TEST(bill.tokens == (seq == 0 ? 0 : 200));
    return seq;
  };
  BOOST_TEST(settle("p") != 0U);
  // "q" is refused because the first bill is unwritten. Once that is stored,
  // the store reports later duplicates, and a dropped bill frees its marker
  // here.
  BOOST_TEST(settle("q") == 0U);
  for (const char* it : {"s", "t"}) {
    Pass(milliseconds(200));
    r.Run(now);
    BOOST_TEST(settle(it) != 0U);
  }
  for (int n = 0; n < 3; ++n) {
    Pass(milliseconds(200));
    r.Run(now);
  }
  BOOST_TEST(store.bills().size() == 1U);
  BOOST_TEST(store.Budget(kBudget).settled == 200);
  BOOST_TEST(r.ledger.accounts().at(kBudget).unwritten() == 0);
}

BOOST_AUTO_TEST_CASE(ABillThatIsDroppedLeavesTheOthersOfItsBatchAsTheyAre) {
  Router a("vm-1@1", store, 32000);
  Router b("vm-2@1", store, 32000);
  for (Router* r : {&a, &b}) {
    r->Run(now);
    r->ledger.Hold(now, RequestId(r->self.value), kBudget, 300);
    Bill bill = MakeBill(r->self.value, 200, "clinic/key-1");
    r->ledger.Settle(now, bill);
  }
  b.ledger.Hold(now, RequestId("q"), kBudget, 300);
  Bill bill = MakeBill("q", 70);
  b.ledger.Settle(now, bill);
  for (Router* r : {&a, &a, &b, &b, &b}) {
    Pass(milliseconds(200));
    r->Run(now);
  }
  const auto dropped = [](const LedgerEvent& it) {
    return it.kind == LedgerEventKind::kBillDropped;
  };
  BOOST_TEST(std::count_if(b.events.begin(), b.events.end(), dropped) == 1);
  BOOST_TEST(store.Budget(kBudget).settled == 270);
  BOOST_TEST(b.ledger.accounts().at(kBudget).unwritten() == 0);
}

BOOST_AUTO_TEST_CASE(BillsWithMarkersFillABatchBeforeOthersDo) {
  const LedgerSyncOptions options;
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  std::map<std::uint64_t, std::size_t> batches;
  for (std::size_t n = 0; n < options.max_markers + 1; ++n) {
    const std::string id = "q" + std::to_string(n);
    r.ledger.Hold(now, RequestId(id), kBudget, 2);
    Bill bill = MakeBill(id, 1, "clinic/" + id);
    ++batches[r.ledger.Settle(now, bill)];
  }
  BOOST_TEST(batches.size() == 2U);
  BOOST_TEST(batches.begin()->second == options.max_markers);
}

BOOST_AUTO_TEST_CASE(AnOlderBundleDoesntTakeTheLimitBack) {
  Router a("vm-1@1", store, 1000);
  Router b("vm-2@1", store, 1000);
  a.ledger.SetBudgets(2, {{kBudget, 5000, {std::chrono::seconds(10), 32}}});
  for (Router* r : {&a, &b}) {
    r->Run(now);
    BOOST_TEST(store.Budget(kBudget).bundle_limit == 5000);
    BOOST_TEST(store.Budget(kBudget).bundle_version == 2U);
  }
}

BOOST_AUTO_TEST_CASE(RemovedWriterIsFenced) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  LedgerRecord record = store.Read(ShardOf(kBudget)).record;
  record.writers.clear();
  record.budgets[kBudget].grants.clear();
  store.Put(ShardOf(kBudget), record);
  r.ledger.OnWatched(now, store.Read(ShardOf(kBudget)));
  const auto outcome = r.ledger.Hold(now, RequestId("q"), kBudget, 1);
  BOOST_TEST((outcome == HoldOutcome::kFenced));
}

BOOST_AUTO_TEST_CASE(DrainGivesEverythingBack) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  BOOST_TEST(store.Budget(kBudget).Outstanding() > 0);
  r.ledger.StartDrain();
  Pass(milliseconds(200));
  r.Run(now);
  BOOST_TEST(store.Budget(kBudget).Outstanding() == 0);
  BOOST_TEST(r.ledger.Drained());
}

BOOST_AUTO_TEST_CASE(LoweredLimitTakesNoMore) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  r.ledger.Hold(now, RequestId("q"), kBudget, 900);
  r.ledger.SetBudgets(2, {{kBudget, 500, {std::chrono::seconds(10), 32}}});
  Pass(milliseconds(1200));
  r.Run(now);
  BOOST_TEST(store.Budget(kBudget).Limit() == 500);
  BOOST_TEST(store.Budget(kBudget).Outstanding() == 900);
  const auto outcome = r.ledger.Hold(now, RequestId("p"), kBudget, 50);
  BOOST_TEST((outcome == HoldOutcome::kExhausted));
}

// Guards against contention for grants: with 32 routers, standing shares of an
// eighth each left nothing free, so every need reclaimed grants, which were
// then taken again.
BOOST_AUTO_TEST_CASE(ManyRoutersDoNotFightOverStandingShares) {
  constexpr int kRouters = 32;
  constexpr int kSeconds = 20;
  constexpr int kStepsPerSecond = 10;
  std::vector<std::unique_ptr<Router>> all;
  for (int n = 0; n < kRouters; ++n) {
    const std::string name = "vm-" + std::to_string(n) + "@1";
    all.push_back(std::make_unique<Router>(name, store, 2000000));
    LedgerSync& ledger = all.back()->ledger;
    ledger.SetBudgets(1, {{kBudget, 2000000, {std::chrono::seconds(120), 8}}});
    ledger.SetFleetSize(kRouters);
    ledger.SetWitness(Incarnation("witness@1"));
    ledger.SetWitnessLink(true);
  }
  const auto step = [&] {
    Pass(milliseconds(1000 / kStepsPerSecond));
    for (auto& it : all) {
      it->ledger.OnWatched(now, store.Read(ShardOf(kBudget)));
      it->ledger.Tick(now);
      it->Run(now);
    }
  };
  for (int n = 0; n < 3 * kStepsPerSecond; ++n) step();
  const std::uint64_t before = store.writes();
  int refused = 0;
  for (int n = 0; n < kSeconds * kStepsPerSecond; ++n) {
    for (auto& it : all) {
      const RequestId request(it->self.value + "/" + std::to_string(n));
      const auto outcome = it->ledger.Hold(now, request, kBudget, 230);
      if (outcome != HoldOutcome::kHeld) {
        ++refused;
        continue;
      }
      Bill bill = MakeBill(request.value, 60);
      it->ledger.Settle(now, bill);
    }
    step();
  }
  // One write per second for each router, and some for grants.
  BOOST_TEST(store.writes() - before < kRouters * kSeconds * 3 / 2);
  BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_CASE(UnreachableLedgerRefusesAtOnceWhatDoesNotFit) {
  Router r("vm-1@1", store, 32000);
  r.Run(now);
  r.ledger.Hold(now, RequestId("p"), kBudget, 10);
  Bill bill = MakeBill("p", 10);
  r.ledger.Settle(now, bill);
  Pass(milliseconds(200));
  r.ledger.Next(now);
  r.ledger.OnCommit(now, CommitOutcome::kUnknown, 0);
  auto outcome = r.ledger.Hold(now, RequestId("q"), kBudget, 5000);
  BOOST_TEST((outcome == HoldOutcome::kUnavailable));
  outcome = r.ledger.Hold(now, RequestId("s"), kBudget, 100);
  BOOST_TEST((outcome == HoldOutcome::kHeld));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace quaytrack
