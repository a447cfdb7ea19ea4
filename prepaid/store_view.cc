#include "prepaid/store_view.h"

#include <algorithm>

namespace quaytrack {
namespace {

// The amount of a running total that the record doesn't show yet.
Tokens Unrecorded(const PrepaidEntry& entry, const TransferPair& pair,
                  Tokens total) {
  return std::max<Tokens>(0, total - RecordedIn(entry, pair));
}

}  // namespace

const LocalAccount& AccountOf(const LocalAccounts& accounts,
                              const CustomerName& customer) {
  static const LocalAccount kEmpty;
  const auto it = accounts.find(customer);
  return it == accounts.end() ? kEmpty : it->second;
}

CustomerSpend SpentIn(const SpendAccount& spend, const CustomerName& customer) {
  const auto it = spend.customers.find(customer);
  return it == spend.customers.end() ? CustomerSpend() : it->second;
}

Tokens GrantIn(const PrepaidEntry& entry, const Incarnation& self) {
  const auto it = entry.grants.find(self);
  return it == entry.grants.end() ? 0 : it->second;
}

Tokens ContributedIn(const PrepaidRecord& record, const CustomerName& customer,
                     const Incarnation& router) {
  const auto found = record.customers.find(customer);
  if (found == record.customers.end()) return 0;
  const auto it = found->second.contributed.find(router);
  return it == found->second.contributed.end() ? 0 : it->second;
}

Tokens RecordedIn(const PrepaidEntry& entry, const TransferPair& pair) {
  const auto it = entry.transferred.find(pair);
  return it == entry.transferred.end() ? 0 : it->second;
}

Tokens IdleIn(const StoreView& view, const Incarnation& self,
              const CustomerName& customer, const LocalAccount& account) {
  const auto found = view.record.customers.find(customer);
  if (found == view.record.customers.end()) return 0;
  const PrepaidEntry& entry = found->second;
  Tokens out = GrantIn(entry, self) - account.unreported -
               SpentIn(view.spend, customer).spent;
  // What this view reports is in `unreported` and in the view's account, so it
  // was subtracted twice: add it back once.
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
