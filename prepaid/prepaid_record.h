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
// Eras. A store that comes back from an older copy of itself
// (base/store_revision.h) has lost grants that are being spent, and spending
// that was settled. Whoever knows of it writes it again: `MergeKnown`
// (prepaid/record_merge.h) needs to know which of two records shows the later
// part of each member, so the record has the number of each member's latest
// write, what each has contributed to `settled`, and the members that are gone.
// Members that haven't declared their part in the present era are `undeclared`;
// until they have, nothing is granted (prepaid/prepaid_ledger.h).
//
// Owns the stored forms (CBOR). Units: tokens; milliseconds of the steady clock
// in `stamp_ms`. Bytes that are something else decode to nothing.

#ifndef QUAYTRACK_PREPAID_PREPAID_RECORD_H_
#define QUAYTRACK_PREPAID_PREPAID_RECORD_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

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
  // Of `settled`, what each member and each that is gone has spent or was
  // charged; the rest is of those that are forgotten.
  std::map<Incarnation, Tokens> contributed;

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
  // The store's, as the writer knew it.
  std::int64_t era = 0;
  std::map<CustomerName, PrepaidSpent> customers;

  bool operator==(const PrepaidSpend&) const = default;
};

struct PrepaidRecord {
  std::map<CustomerName, PrepaidEntry> customers;
  // The routers that keep grants.
  std::set<Incarnation> members;
  // The store's era that it was written or restored in; 0 if the store names
  // none.
  std::int64_t era = 0;
  // Members that haven't written in this era.
  std::set<Incarnation> undeclared;
  // Those that have left or were charged, the latest last; at most `kMostGone`.
  std::vector<Incarnation> gone;
  // Number of the latest write of the record by each member, and each that is
  // gone.
  std::map<Incarnation, std::uint64_t> writes;

  // The record of a fleet whose routers end often would grow without end.
  static constexpr std::size_t kMostGone = 16;

  bool HasMember(const Incarnation& it) const { return members.contains(it); }
  bool IsGone(const Incarnation& it) const {
    return std::find(gone.begin(), gone.end(), it) != gone.end();
  }
  bool IsKnown(const Incarnation& it) const {
    return HasMember(it) || IsGone(it);
  }
  // Forgets the oldest that are gone, beyond `kMostGone`, and transfers between
  // two that are gone: no one is left to record them.
  void Forget();

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
