// The prepaid record and the spend accounts: what the store keeps about all
// customers' budgets.
//
//   auto record = DecodePrepaid(bytes);            // empty: not a record
//   record->RecordTransfer(customer, {giver, receiver}, total);
//   const Tokens charged = record->ChargeAndRemove(dead, nullptr);
//   store(EncodePrepaid(*record));
//
// As in ledger/record.h, in every stored revision and for each customer
//
//     settled + sum of grants <= limit
//
// and a router spends only from its grant (escrow: O'Neil 1986; bounded
// counters: Balegas et al. 2015). Beyond ledger/record.h:
//
// Spend accounts. What a router has spent of its grants lies in a key of its
// own, `PrepaidSpend`, so that frequent reports of many routers don't contend
// for the record. A router merges its spending into `settled` when it writes
// the record for another reason, in the same transaction.
//
// Transfers. While the store is away, routers transfer unused grant among
// themselves. `transferred` counts, for each giver and receiver, how much of it
// the record shows: a running total, so that either side may record it, in any
// order, any number of times, and it counts once.
//
// Dead members. A later incarnation on the same VM proves that the earlier one
// is dead. Its grant is then charged as spent, since nobody else knows how much
// of it was. Transfers that are recorded afterwards correct the charge: what
// the dead router had passed on wasn't spent by it, and what it had received
// was.
//
// Withheld parts. To make that charge small, most of a grant is withheld: its
// holder doesn't touch it before `withhold_time` has passed since the stamp of
// its last write, by the machine's steady clock. If the later incarnation
// started before that, by the same clock of the same boot, the withheld part is
// certainly unspent and goes back. The holder's death is proven by the restart;
// the clock only bounds what it did before. A cut from the store outlasts that
// time, and then the whole grant may be spent.
//
// Owns the stored forms (CBOR). Units: tokens; milliseconds of the steady clock
// in `stamp_ms`. Bytes that are something else decode to nothing.

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

// What one router has spent of its grant for a customer since it last merged
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
  // The routers that keep grants.
  std::set<Incarnation> members;

  bool HasMember(const Incarnation& it) const { return members.contains(it); }

  // Charges the grants of a member that is dead or leaves, and removes it.
  // `unspent`: its spend account, if it is proven not to have touched what it
  // withheld; else null. Returns the sum charged.
  Tokens ChargeAndRemove(const Incarnation& member,
                         const PrepaidSpend* unspent);

  // Raises the running total of transfers from `giver` to `receiver`; no effect
  // if it isn't above what is shown.
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
