// What may be spent, as arithmetic on one state that the store may be in.
//
//   const Tokens idle = IdleIn(view, self, customer, AccountOf(accounts, c));
//   const Tokens spendable = idle - WithheldIn(view.spend, customer);
//
// A router knows the store's latest state only up to the writes that it has
// sent and of which no answer has come: each of these may have replaced it. So
// there are several views at once, and a token may be spent only if every view
// says so (PrepaidLedger::Allowance).
//
// `OwnAccount` is what this process alone knows, whatever the store's state:
// holds, costs that are not in the store yet, and transfers from and to peers.
//
// Units: tokens. Amounts may be negative: a router that passed on more than its
// grant, out of what it had received, has a negative grant until the record
// shows both transfers.

#ifndef QUAYTRACK_PREPAID_STORE_VIEW_H_
#define QUAYTRACK_PREPAID_STORE_VIEW_H_

#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"
#include "prepaid/prepaid_record.h"

namespace quaytrack {

// A spend account in the store.
struct StoredSpend {
  std::int64_t revision = 0;
  PrepaidSpend spend;
  // As of `StoredAt`.
  std::int64_t key_era = 0;
};

// Where a record or an account stands. Each era has keys of its own, so that a
// write that names those of an earlier era, and is done late, finds them gone.
// The keys without an era (0) are those of before the first return.
struct StoredAt {
  std::int64_t key_era = 0;
  // 0 if there is none.
  std::int64_t revision = 0;
};

// A state that the store may be in: the record, and this router's account.
struct StoreView {
  // The store's.
  std::int64_t era = 0;
  StoredAt record_at;
  PrepaidRecord record;
  StoredAt spend_at;
  PrepaidSpend spend;
  // Spending that this state includes and the confirmed one doesn't.
  std::map<CustomerName, Tokens> reported;
};

// What this process knows of one customer beside the store.
struct OwnAccount {
  // Time over which the spending is measured. 02163af; not measured.
  static constexpr Duration kSpendingTime = std::chrono::seconds(5);

  // Costs that the confirmed view doesn't include.
  Tokens unreported = 0;
  // Worst cases of the requests that run.
  Tokens held = 0;
  // Worst cases of those that wait for a larger grant.
  Tokens waiting = 0;
  DecayingRate spending{kSpendingTime};
  // The same of all routers together, as the record shows it settled. Each
  // router settles when it changes the record, every few seconds, so it is
  // measured over a longer time.
  static constexpr Duration kSettlingTime = std::chrono::seconds(10);
  DecayingRate settling{kSettlingTime};
  // Running totals of the transfers to and from each peer.
  std::map<Incarnation, Tokens> transferred_out;
  std::map<Incarnation, Tokens> transferred_in;
};

using OwnAccounts = std::map<CustomerName, OwnAccount>;

// An empty account if there is none.
const OwnAccount& AccountOf(const OwnAccounts& accounts,
                            const CustomerName& customer);

// Zeros if there are none.
PrepaidSpent SpentIn(const PrepaidSpend& spend, const CustomerName& customer);
Tokens GrantIn(const PrepaidEntry& entry, const Incarnation& self);
// Of what is settled, the router's part.
Tokens ContributedIn(const PrepaidRecord& record, const CustomerName& customer,
                     const Incarnation& who);
// The running total of a transfer that the record shows.
Tokens RecordedIn(const PrepaidEntry& entry, const TransferPair& pair);

// What `self` has of the customer's budget and neither spent, nor holds, nor
// has passed on; withheld or not.
Tokens IdleIn(const StoreView& view, const Incarnation& self,
              const CustomerName& customer, const OwnAccount& account);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_STORE_VIEW_H_
