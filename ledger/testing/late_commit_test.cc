// Tests LedgerSync with a commit on two records whose answer is lost.

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "ledger/sync.h"
#include "ledger/testing/fake_ledger_store.h"
#include "ledger/testing/make_bill.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// A budget whose record isn't that of kBudget.
BudgetName OtherRecordBudget() {
  for (int n = 0;; ++n) {
    BudgetName out("other-" + std::to_string(n));
    if (ShardOf(out) != ShardOf(kBudget)) return out;
  }
}

struct Fixture {
  Fixture() {
    const BudgetPolicy policy{std::chrono::seconds(10), 32};
    ledger.SetBudgets(1, {{kBudget, 32000, policy}, {other, 32000, policy}});
    while (const auto action = ledger.Next(now)) {
      if (const auto* read = std::get_if<ReadShards>(&*action)) {
        ledger.OnRead(now, store.Read(read->shards), store.markers());
        continue;
      }
      const auto& commit = std::get<LedgerCommit>(*action);
      BOOST_REQUIRE(store.Apply(self, commit));
      ledger.OnCommit(now, CommitOutcome::kApplied, store.revision());
    }
  }

  void Spend(const BudgetName& budget, const char* request, Tokens cost) {
    ledger.Hold(now, RequestId(request), budget, 900);
    Bill bill = MakeBill(request, cost);
    bill.budget = budget;
    ledger.Settle(now, bill);
  }

  // Performs the next action, which must be a read of `records` records.
  void Read(std::size_t records) {
    const auto action = ledger.Next(now);
    BOOST_REQUIRE(action.has_value());
    const auto* read = std::get_if<ReadShards>(&*action);
    BOOST_REQUIRE(read != nullptr);
    BOOST_REQUIRE(read->shards.size() == records);
    ledger.OnRead(now, store.Read(read->shards), {});
  }

  const Incarnation self{"vm-1@1"};
  const BudgetName other = OtherRecordBudget();
  Instant now{std::chrono::hours(1)};
  FakeLedgerStore store;
  LedgerSync ledger{self, {}};
};

// Guards against spending more than the grant: a commit on two records takes
// effect late, and then only one of its records is read.
BOOST_FIXTURE_TEST_CASE(ALateCommitLeavesNoMoreThanTheRecordGrants, Fixture) {
  Spend(kBudget, "p", 10);
  Spend(other, "q", 800);
  now += milliseconds(200);
  const auto action = ledger.Next(now);
  store.Delay(self, std::get<LedgerCommit>(*action));
  ledger.OnCommit(now, CommitOutcome::kUnknown, 0);
  now += milliseconds(300);
  Read(2);
  store.ApplyDelayed(0);
  // Another router announces that one of the two records should be read.
  ledger.OnNeed(ShardOf(kBudget));
  Read(1);
  BOOST_TEST(ledger.accounts().at(other).Available() <=
             store.Budget(other).grants[self]);
}

}  // namespace
}  // namespace quaytrack
