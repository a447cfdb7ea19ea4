// The prepaid record and the spend accounts: what the store keeps about all
// customers' budgets.
//
// As in ledger/record.h, in every stored revision and for each customer
//
//     settled + sum of grants <= limit
//
// and a router spends only from its grant (escrow). New here:
//
// Spend accounts. What a router has spent of its grants lies in a key of its
// own, `PrepaidSpend`, so that frequent reports of many routers don't contend
// for the record. A router folds its spending into `settled` when it writes the
// record for another reason, in the same transaction.
//
// Moves. While the store is away, routers move unused grant among themselves.
// `moved` counts, for each giver and receiver, how much of it the record knows:
// a running total, so that either side may book it, in any order, any number
// of times, and it counts once.
//
// Closing. A later incarnation on the same VM proves that the earlier one is
// dead. Closing it charges its grant as spent, since nobody else knows how much
// of it was. Moves that are booked afterwards correct the charge: what the dead
// router had given away wasn't spent by it, and what it had received was.
//
// Locks. To make that charge small, most of a grant is `locked`: its holder
// doesn't touch it before `withhold_time` has passed since the `stamp` of its
// last write, by the machine's steady clock. If the later incarnation started
// before that, by the same clock of the same boot, the locked part is certainly
// unspent and goes back. The holder's death is proven by the restart; the clock
// only bounds what it did before. A cut from the store outlasts the lock, and
// then the whole grant may be spent.

#ifndef QUAYTRACK_PREPAID_PREPAID_RECORD_H_
#define QUAYTRACK_PREPAID_PREPAID_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace quaytrack {

// Between two routers, of one customer.
struct TransferPair {
  Incarnation giver;
  Incarnation receiver;
  auto operator<=>(const TransferPair&) const = default;
};

struct PrepaidEntry {
  // The limit, and the version of the configuration that gave it.
  Tokens limit = 0;
  std::uint64_t limit_version = 0;
  Tokens settled = 0;
  std::map<Incarnation, Tokens> grants;
  std::map<TransferPair, Tokens> transferred;

  Tokens Outstanding() const;
  // What may still be granted. Negative after a limit was lowered under use.
  Tokens Free() const { return limit - settled - Outstanding(); }

  bool operator==(const PrepaidEntry&) const = default;
};

// What one router has spent of its grant for a customer since it last folded
// its spending into the record, and how much of the grant it leaves alone.
struct PrepaidSpent {
  Tokens spent = 0;
  Tokens withheld = 0;

  bool operator==(const PrepaidSpent&) const = default;
};

// One router's spend account. Every write of the router replaces it.
struct PrepaidSpend {
  // Number of the write; tells a writer whose answer was lost whether the write
  // took effect.
  std::uint64_t sequence = 0;
  // The machine's steady clock at that write, and which boot it counts from.
  std::int64_t stamp_ms = 0;
  std::string boot;
  std::map<CustomerName, PrepaidSpent> customers;

  bool operator==(const PrepaidSpend&) const = default;
};

struct PrepaidRecord {
  std::map<CustomerName, PrepaidEntry> customers;
  // The routers that take part.
  std::set<Incarnation> members;

  bool IsOpen(const Incarnation& it) const { return members.contains(it); }

  // Charges the grants of a dead router, and forgets it. `untouched`: its spend
  // account, if it is proven not to have touched what was locked; else null.
  // Returns the sum charged.
  Tokens Close(const Incarnation& dead, const PrepaidSpend* untouched);

  // Raises the known total of moves from `giver` to `receiver`; no effect if
  // it isn't above what is known.
  void RecordTransfer(const CustomerName& customer, const TransferPair& pair,
                      Tokens total);

  bool operator==(const PrepaidRecord&) const = default;
};

// CBOR.
std::string EncodeSpend(const PrepaidSpend& spend);
std::optional<PrepaidSpend> DecodeSpend(std::string_view bytes);
std::string EncodePrepaid(const PrepaidRecord& record);
// Empty when `bytes` isn't a record.
std::optional<PrepaidRecord> DecodePrepaid(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_RECORD_H_
