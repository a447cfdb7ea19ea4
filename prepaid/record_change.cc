#include "prepaid/record_change.h"

namespace quaytrack {
namespace {

bool WithheldIsUnspent(const PrepaidIdentity& identity,
                       const SpendAccount& spend, std::int64_t age_ms,
                       Duration withhold_time) {
  const bool same_clock = !spend.boot.empty() && spend.boot == identity.boot;
  const auto age = std::chrono::milliseconds(age_ms);
  return same_clock && age_ms >= 0 && age < withhold_time;
}

// Fills in the amounts that the record and the account show.
void AddAmounts(const PrepaidRecord& record, const SpendAccount* account,
                ChargedPredecessor& charged) {
  for (const auto& [customer, entry] : record.customers) {
    charged.granted += GrantIn(entry, charged.dead);
    if (account == nullptr) continue;
    const CustomerSpend it = SpentIn(*account, customer);
    charged.spent += it.spent;
    charged.withheld += it.withheld;
  }
}

}  // namespace

std::int64_t StampMs(Instant it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             it.time_since_epoch())
      .count();
}

void ReportSpending(const LocalAccounts& accounts, StoreView& view) {
  view.reported.clear();
  for (const auto& [customer, account] : accounts) {
    if (account.unreported == 0) continue;
    view.spend.customers[customer].spent += account.unreported;
    view.reported[customer] = account.unreported;
  }
}

std::vector<ChargedPredecessor> ChargePredecessors(
    const PrepaidIdentity& identity,
    const std::map<Incarnation, StoredSpend>& accounts, Duration withhold_time,
    PrepaidRecord& record) {
  std::vector<ChargedPredecessor> out;
  for (const Incarnation& it : record.members) {
    if (it == identity.self || VmOf(it) != VmOf(identity.self)) continue;
    out.push_back({.dead = it});
  }
  for (ChargedPredecessor& it : out) {
    const auto stored = accounts.find(it.dead);
    const bool proves =
        stored != accounts.end() && stored->second.spend.era == record.era;
    const SpendAccount* account = proves ? &stored->second.spend : nullptr;
    AddAmounts(record, account, it);
    if (account == nullptr) {
      it.charged = record.ChargeAndRemove(it.dead, nullptr);
      continue;
    }
    it.age_ms = StampMs(identity.started) - account->stamp_ms;
    it.withheld_unspent =
        WithheldIsUnspent(identity, *account, it.age_ms, withhold_time);
    SpendAccount proven = *account;
    if (!it.withheld_unspent) {
      for (auto& [customer, spend] : proven.customers) spend.withheld = 0;
    }
    it.charged = record.ChargeAndRemove(it.dead, &proven);
  }
  return out;
}

void ApplyLimits(std::uint64_t version,
                 const std::map<CustomerName, Tokens>& limits,
                 PrepaidRecord& record) {
  for (const auto& [customer, limit] : limits) {
    PrepaidEntry& entry = record.customers[customer];
    if (entry.limit_version >= version) continue;
    entry.limit = limit;
    entry.limit_version = version;
  }
}

void RecordTransfers(const Incarnation& self, const LocalAccounts& accounts,
                     PrepaidRecord& record) {
  for (const auto& [customer, account] : accounts) {
    for (const auto& [giver, total] : account.transferred_in) {
      record.RecordTransfer(customer, {giver, self}, total);
    }
    for (const auto& [receiver, total] : account.transferred_out) {
      record.RecordTransfer(customer, {self, receiver}, total);
    }
  }
}

void MergeSpending(const Incarnation& self, StoreView& view) {
  for (auto& [customer, it] : view.spend.customers) {
    if (it.spent == 0) continue;
    PrepaidEntry& entry = view.record.customers[customer];
    entry.grants[self] -= it.spent;
    entry.settled += it.spent;
    entry.contributed[self] += it.spent;
    it.spent = 0;
  }
}

}  // namespace quaytrack
