// StoreView: one possible state of the store, and what may be spent in it.
//
//   const Tokens idle = IdleIn(view, self, customer, AccountOf(accounts, c));
//   const Tokens spendable = idle - SpentIn(view.spend, customer).withheld;
//
// Each write that a router has sent without getting an answer may have replaced
// the store's latest known state. So there are several views at once, and a
// token may be spent only if every view allows it (PrepaidLedger::Allowance).
//
// `LocalAccount` is what only this process knows, whatever the store's state:
// holds, costs that are not in the store yet, and transfers from and to peers.
//
// Units: tokens. Amounts may be negative: a router that gave away received
// tokens beyond its grant has a negative grant until the record shows both
// transfers.

#ifndef QUAYTRACK_PREPAID_STORE_VIEW_H_
#define QUAYTRACK_PREPAID_STORE_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"
#include "prepaid/prepaid_record.h"

namespace quaytrack {

// A spend account in the store.
struct StoredSpend {
  std::int64_t revision = 0;
  SpendAccount spend;
  // Era of the account's key; see `KeyRevision` below.
  std::int64_t key_era = 0;
};

// Key and revision of a stored record or account. Each era has separate keys,
// so that a delayed write for an earlier era finds its keys removed and fails.
// Era 0 stands for the keys without an era, in use until the store is first
// restored.
struct KeyRevision {
  std::int64_t key_era = 0;
  // Revision of the key; 0 if the key doesn't exist.
  std::int64_t revision = 0;
};

// A possible state of the store: the record, and this router's account.
struct StoreView {
  // The store's era.
  std::int64_t era = 0;
  KeyRevision record_key;
  PrepaidRecord record;
  KeyRevision spend_key;
  SpendAccount spend;
  // Spending that this state includes and the latest confirmed state of the
  // store doesn't.
  std::map<CustomerName, Tokens> reported;
};

// What only this process knows about one customer.
struct LocalAccount {
  // Time over which the spending rate is averaged.
  static constexpr Duration kSpendingTime = std::chrono::seconds(5);

  // Costs that the confirmed view doesn't include.
  Tokens unreported = 0;
  // Worst-case costs of the running requests.
  Tokens held = 0;
  // The part of `held` that other routers hold in advance.
  Tokens advanced = 0;
  // Worst-case costs of the requests that wait for a larger grant.
  Tokens waiting = 0;
  // This router's spending.
  DecayingRate spending{kSpendingTime};
  // Time over which the rate of `settling` is averaged. It is longer than
  // `kSpendingTime` because routers settle only when they change the record,
  // every few seconds.
  static constexpr Duration kSettlingTime = std::chrono::seconds(10);
  // Spending of all routers together, as the record shows it settled.
  DecayingRate settling{kSettlingTime};
  // When `settling` was first observed, if it was. A rate that has been
  // observed for less than `kSettlingTime` is too low.
  std::optional<Instant> settling_since;

  bool KnowsSettling(Instant now) const {
    return settling_since && now - *settling_since >= kSettlingTime;
  }
  // Running totals of the transfers to and from each peer.
  std::map<Incarnation, Tokens> transferred_out;
  std::map<Incarnation, Tokens> transferred_in;
};

using LocalAccounts = std::map<CustomerName, LocalAccount>;

// The account of `customer`; an empty one if there is none.
const LocalAccount& AccountOf(const LocalAccounts& accounts,
                              const CustomerName& customer);

// The next four functions return 0 for values that don't exist.
CustomerSpend SpentIn(const SpendAccount& spend, const CustomerName& customer);
Tokens GrantIn(const PrepaidEntry& entry, const Incarnation& self);
// The router's share of the settled tokens.
Tokens ContributedIn(const PrepaidRecord& record, const CustomerName& customer,
                     const Incarnation& router);
// The running total of the pair's transfers that the record shows.
Tokens RecordedIn(const PrepaidEntry& entry, const TransferPair& pair);

// Tokens of the customer's budget that `self` has and that are neither spent,
// nor held, nor transferred away; they may be withheld.
Tokens IdleIn(const StoreView& view, const Incarnation& self,
              const CustomerName& customer, const LocalAccount& account);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_STORE_VIEW_H_
