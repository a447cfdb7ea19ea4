// Two holders share one prepaid budget, without a server: the ledger library is
// used with a minimal store. The second holder can't spend what is granted to
// the first, gets tokens once they are returned, and the limit is never
// exceeded.

#include <cstdio>
#include <map>

#include "ledger/sync.h"

namespace {

using namespace quaytrack;  // NOLINT: an example reads better without prefixes

// The library works with any store that has compare-and-swap; this one is a
// map.
class Store {
 public:
  std::vector<ShardState> Read(const std::vector<int>& shards) const {
    std::vector<ShardState> out;
    for (int it : shards) {
      auto found = shards_.find(it);
      out.push_back(found == shards_.end() ? ShardState{it, 0, {}}
                                           : found->second);
    }
    return out;
  }

  bool Write(const LedgerCommit& commit) {
    for (const ShardState& it : commit.shards) {
      if (Read({it.shard})[0].revision != it.revision) return false;
    }
    ++revision_;
    for (ShardState it : commit.shards) {
      it.revision = revision_;
      shards_[it.shard] = it;
    }
    return true;
  }

  std::int64_t revision() const { return revision_; }

 private:
  std::map<int, ShardState> shards_;
  std::int64_t revision_ = 0;
};

// Performs all reads and commits that the ledger requests at `now`.
void Drive(LedgerSync& ledger, Store& store, Instant now) {
  while (auto action = ledger.Next(now)) {
    if (auto* read = std::get_if<ReadShards>(&*action)) {
      ledger.OnRead(now, store.Read(read->shards), {});
      continue;
    }
    const bool ok = store.Write(std::get<LedgerCommit>(*action));
    ledger.OnCommit(now,
                    ok ? CommitOutcome::kApplied : CommitOutcome::kRejected,
                    store.revision());
  }
}

}  // namespace

int main() {
  const BudgetName budget("clinics");
  Store store;
  Instant now{};
  LedgerSync a(Incarnation("a@1"), {});
  LedgerSync b(Incarnation("b@1"), {});
  for (LedgerSync* it : {&a, &b}) {
    it->SetBudgets(1, {{budget, 1000, {std::chrono::seconds(10), 8}}});
    Drive(*it, store, now);
  }
  a.Hold(now, RequestId("large"), budget, 800);
  now += std::chrono::seconds(2);
  Drive(a, store, now);

  // `a` holds 800 of 1000, though it has spent nothing yet, so `b` has to wait.
  const bool waits =
      b.Hold(now, RequestId("other"), budget, 500) == HoldOutcome::kWaiting;
  std::printf("b has to wait: %s\n", waits ? "yes" : "no");

  // The large request cost only 100; the rest is returned when `b` requests it.
  Bill bill;
  bill.bill_id = "large";
  bill.budget = budget;
  bill.request_id = RequestId("large");
  bill.tokens = 100;
  a.Settle(now, bill);
  for (int n = 0; n < 4; ++n) {
    now += std::chrono::milliseconds(150);
    for (LedgerSync* it : {&b, &a}) {
      it->OnWatched(now, store.Read({ShardOf(budget)})[0]);
      Drive(*it, store, now);
    }
  }
  bool granted = false;
  for (const LedgerEvent& it : b.TakeEvents()) {
    granted = granted || it.kind == LedgerEventKind::kHoldGranted;
  }
  std::printf("b was granted its hold: %s\n", granted ? "yes" : "no");
  const LedgerRecord record = store.Read({ShardOf(budget)})[0].record;
  const BudgetEntry& entry = record.budgets.at(budget);
  std::printf("settled %lld, granted %lld, limit %lld\n",
              static_cast<long long>(entry.settled),
              static_cast<long long>(entry.Outstanding()),
              static_cast<long long>(entry.Limit()));
  return waits && granted ? 0 : 1;
}
