#include "prepaid/store_view.h"

#include <algorithm>

namespace quaytrack {
namespace {

// Of a running total, what the record doesn't show yet.
Tokens Unrecorded(const PrepaidEntry& entry, const TransferPair& pair,
                  Tokens total) {
  return std::max<Tokens>(0, total - RecordedIn(entry, pair));
}

}  // namespace

const OwnAccount& AccountOf(const OwnAccounts& accounts,
                            const CustomerName& customer) {
  static const OwnAccount kNothing;
  const auto it = accounts.find(customer);
  return it == accounts.end() ? kNothing : it->second;
}

PrepaidSpent SpentIn(const PrepaidSpend& spend, const CustomerName& customer) {
  const auto it = spend.customers.find(customer);
  return it == spend.customers.end() ? PrepaidSpent() : it->second;
}

Tokens GrantIn(const PrepaidEntry& entry, const Incarnation& self) {
  const auto it = entry.grants.find(self);
  return it == entry.grants.end() ? 0 : it->second;
}

Tokens ContributedIn(const PrepaidRecord& record, const CustomerName& customer,
                     const Incarnation& who) {
  const auto found = record.customers.find(customer);
  if (found == record.customers.end()) return 0;
  const auto it = found->second.contributed.find(who);
  return it == found->second.contributed.end() ? 0 : it->second;
}

Tokens RecordedIn(const PrepaidEntry& entry, const TransferPair& pair) {
  const auto it = entry.transferred.find(pair);
  return it == entry.transferred.end() ? 0 : it->second;
}

Tokens IdleIn(const StoreView& view, const Incarnation& self,
              const CustomerName& customer, const OwnAccount& account) {
  const auto found = view.record.customers.find(customer);
  if (found == view.record.customers.end()) return 0;
  const PrepaidEntry& entry = found->second;
  Tokens out = GrantIn(entry, self) - account.unreported -
               SpentIn(view.spend, customer).spent;
  // What this view has taken over is no longer unreported in it.
  const auto reported = view.reported.find(customer);
  if (reported != view.reported.end()) out += reported->second;
  for (const auto& [giver, total] : account.transferred_in) {
    out += Unrecorded(entry, {giver, self}, total);
  }
  for (const auto& [receiver, total] : account.transferred_out) {
    out -= Unrecorded(entry, {self, receiver}, total);
  }
  return out - account.held;
}

}  // namespace quaytrack
