#include "ledger/recovery.h"

#include <algorithm>

namespace quaytrack {
namespace {

std::uint64_t LastSeq(const RecoveryInput& input) {
  std::uint64_t out = 0;
  for (const BillBatch& it : input.journal) out = std::max(out, it.seq);
  for (const ShardState& it : input.shards) {
    auto writer = it.record.writers.find(input.dead);
    if (writer != it.record.writers.end()) {
      out = std::max(out, writer->second.seq);
    }
  }
  return out;
}

// Removes all entries of `dead`; returns whether there were any.
bool RemoveRouter(const Incarnation& dead, LedgerRecord& record) {
  bool found = record.writers.erase(dead) > 0;
  for (auto& [name, entry] : record.budgets) {
    found = entry.grants.erase(dead) > 0 || found;
    found = entry.wanted.erase(dead) > 0 || found;
  }
  return found;
}

}  // namespace

std::vector<Bill> MissingBills(const RecoveryInput& input) {
  std::set<std::string> bill_ids;
  for (const BillBatch& batch : input.journal) {
    for (const Bill& it : batch.bills) bill_ids.insert(it.bill_id);
  }
  std::vector<Bill> out;
  const auto add = [&](const Bill& it) {
    const bool billed_by_another =
        !it.marker.empty() && input.existing_markers.contains(it.marker);
    if (billed_by_another || !bill_ids.insert(it.bill_id).second) return;
    out.push_back(it);
  };
  for (const auto& [request, it] : input.copy.bills) add(it.bill);
  for (const Bill& it : input.asked) add(it);
  return out;
}

std::optional<LedgerCommit> PlanRecovery(const RecoveryInput& input) {
  LedgerCommit out;
  out.batch.seq = LastSeq(input) + 1;
  out.batch.bills = MissingBills(input);
  std::set<int> billed;
  for (const Bill& it : out.batch.bills) billed.insert(ShardOf(it.budget));
  bool mentioned = false;
  for (ShardState state : input.shards) {
    const bool removed = RemoveRouter(input.dead, state.record);
    mentioned = mentioned || removed;
    for (const Bill& it : out.batch.bills) {
      if (ShardOf(it.budget) != state.shard) continue;
      state.record.budgets[it.budget].settled += it.tokens;
    }
    if (!removed && !billed.contains(state.shard)) continue;
    out.need.insert(state.shard);
    out.shards.push_back(state);
  }
  if (!mentioned) return std::nullopt;
  return out;
}

bool HoldsGrants(const LedgerRecord& record, const Incarnation& router) {
  return std::any_of(
      record.budgets.begin(), record.budgets.end(),
      [&](const auto& it) { return it.second.grants.contains(router); });
}

}  // namespace quaytrack
