// Builds the next commit of LedgerSync: applies the sealed bills and the
// changes of grants to copies of the records. ledger/sync.cc decides when a
// commit is due and evaluates its answer.

#include <algorithm>
#include <utility>

#include "ledger/sync.h"

namespace quaytrack {
namespace {

// Sum of the first waiting holds, in arrival order, that fit into `room`. The
// first hold always counts, so that its amount is marked as wanted if it is too
// large.
Tokens WaitingThatFits(const std::deque<WaitingHold>& waiting, Tokens room) {
  Tokens sum = 0;
  for (const WaitingHold& it : waiting) {
    if (sum > 0 && sum + it.amount > room) break;
    sum += it.amount;
  }
  return sum;
}

}  // namespace

ShardState& LedgerSync::Touch(ShardMap& work, int shard) {
  auto [it, inserted] = work.try_emplace(shard);
  if (inserted) {
    auto cached = cache_.find(shard);
    if (cached != cache_.end()) it->second = cached->second;
    it->second.shard = shard;
  }
  return it->second;
}

void LedgerSync::TouchForWitness(ShardMap& work) {
  if (witness_ == recorded_witness_) return;
  for (int shard : joined_) Touch(work, shard);
}

void LedgerSync::AddBills(ShardMap& work) {
  if (!bills_.sealed()) return;
  for (const Bill& it : bills_.sealed()->bills) {
    ShardState& state = Touch(work, ShardOf(it.budget));
    BudgetEntry& entry = state.record.budgets[it.budget];
    entry.settled += it.tokens;
    entry.AddGrant(self_, -it.tokens);
  }
}

void LedgerSync::PlanDirtyBudgets(Instant now, ShardMap& work) {
  for (const BudgetName& name : dirty_) {
    auto setting = settings_.find(name);
    if (setting == settings_.end()) continue;
    const int shard = ShardOf(name);
    auto touched = work.find(shard);
    const LedgerRecord& record =
        touched != work.end() ? touched->second.record : cache_[shard].record;
    auto it = record.budgets.find(name);
    const bool recorded = it != record.budgets.end();
    const BudgetEntry before = recorded ? it->second : BudgetEntry();
    Tokens returned = 0;
    BudgetEntry after = PlannedEntry(now, setting->second, before, &returned);
    if (recorded && after == before) continue;
    accounts_[name].SetReturning(returned);
    const bool returns_wanted =
        returned > 0 && before.WantedByOthers(self_) > 0;
    if (returns_wanted || after.wanted != before.wanted) need_.insert(shard);
    Touch(work, shard).record.budgets[name] = std::move(after);
  }
  dirty_.clear();
}

BudgetEntry LedgerSync::PlannedEntry(Instant now, const BudgetSetting& setting,
                                     const BudgetEntry& entry,
                                     Tokens* returned) const {
  BudgetEntry out = entry;
  out.UpdateLimit(setting.limit, bundle_version_);
  const GrantPlan plan = PlanFor(now, setting, out);
  out.AddGrant(self_, plan.delta);
  if (plan.short_by > 0) {
    out.wanted[self_] = plan.short_by;
  } else {
    out.wanted.erase(self_);
  }
  *returned = std::max<Tokens>(0, -plan.delta);
  return out;
}

GrantPlan LedgerSync::PlanFor(Instant now, const BudgetSetting& setting,
                              const BudgetEntry& entry) const {
  const Account& account = accounts_.at(setting.name);
  GrantView view;
  view.granted = entry.GrantOf(self_);
  view.in_use = account.HeldTotal() + account.unwritten() -
                bills_.SealedCost(setting.name);
  view.rate = account.Rate(now);
  view.free = entry.Free();
  view.remaining = entry.Limit() - entry.settled;
  view.wanted_by_others = entry.WantedByOthers(self_);
  view.routers = fleet_size_;
  auto scarce = wanted_seen_at_.find(setting.name);
  view.recently_scarce = scarce != wanted_seen_at_.end() &&
                         now - scarce->second < options_.scarcity_backoff;
  const Tokens room =
      std::max<Tokens>(view.free, 0) + view.granted - view.in_use;
  view.waiting = WaitingThatFits(account.waiting(), room);
  if (!draining_) return PlanGrant(view, setting.policy);
  GrantPlan drain_plan;
  drain_plan.delta = -std::max<Tokens>(0, view.granted - view.in_use);
  return drain_plan;
}

LedgerCommit LedgerSync::FinishCommit(Instant now, ShardMap&& work) {
  LedgerCommit out;
  out.batch = bills_.Seal();
  for (auto& [shard, state] : work) {
    state.record.writers[self_] = {out.batch.seq, witness_, registered_};
    attempted_.insert(shard);
    out.shards.push_back(std::move(state));
  }
  out.need = std::exchange(need_, {});
  read_since_commit_.clear();
  phase_ = Phase::kCommitting;
  last_commit_ = now;
  in_flight_ = out;
  return out;
}

}  // namespace quaytrack
