// The prepaid record and the spend accounts: what the store keeps about all
// customers' prepaid budgets.
//
//   auto record = DecodePrepaid(bytes);            // empty: not a record
//   record->RecordTransfer(customer, {giver, receiver}, total);
//   const Tokens charged = record->ChargeAndRemove(dead, nullptr);
//   store(EncodePrepaid(*record));
//
// As in ledger/record.h, every stored revision satisfies, for each customer,
//
//     settled + sum of grants <= limit
//
// and a router spends only from its grant (escrow: O'Neil 1986; bounded
// counters: Balegas et al. 2015). Beyond ledger/record.h:
//
// Spend accounts. Each router reports what it has spent of its grants in a key
// that only it writes (`SpendAccount`), so that frequent reports of many
// routers don't contend for the record. When a router writes the record for
// another reason, it merges its spending into `settled` in the same
// transaction.
//
// Transfers. While the store is unreachable, routers transfer unused grant
// among themselves. `transferred` holds, for each giver and receiver, the
// running total that the record shows. Because it is a running total, either
// side may record a transfer, in any order and any number of times, and it
// counts once.
//
// Dead members. A later incarnation on the same VM proves that the earlier one
// is dead. The grant of the dead one is then charged as spent, because how much
// of it was spent is unknown. What was charged beyond the spending that the
// dead one had reported is `presumed`: it counts against the limit, and it
// proves nothing to the customer. Transfers that are recorded afterwards
// correct the charge: tokens that the dead router had given away weren't spent
// by it, and tokens that it had received were.
//
// Withheld tokens. To make the charge for a dead member small, most of a grant
// is withheld: the holder spends none of it until `withhold_time` has passed
// since the stamp of its last write, by the machine's steady clock. If the
// later incarnation started before that time, by the same clock of the same
// boot, the withheld tokens are proven unspent and are returned. The restart
// proves the holder's death; the clock only bounds what the holder can have
// done before. If the store is unreachable for longer than that time, the full
// grant may be spent.
//
// Eras. A store that is restored from an older copy (base/store_revision.h) has
// lost grants that are being spent, and spending that was settled. The routers
// that know of these write them again: `MergeRecord` (prepaid/record_merge.h)
// has to determine which of two records shows the later state of each member.
// The record therefore has the number of each member's latest write, what each
// member has contributed to `settled`, and the members that are gone. Members
// that haven't declared their state in the current era are `undeclared`; until
// they have, nothing is granted (prepaid/prepaid_ledger.h).
//
// Owns the stored forms (CBOR). Units: tokens; milliseconds of the steady clock
// in `stamp_ms`. Other bytes decode to std::nullopt.

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

// The two routers of a transfer.
struct TransferPair {
  Incarnation giver;
  Incarnation receiver;
  auto operator<=>(const TransferPair&) const = default;
};

struct PrepaidEntry {
  Tokens limit = 0;
  // Version of the configuration that set `limit`.
  std::uint64_t limit_version = 0;
  Tokens settled = 0;
  std::map<Incarnation, Tokens> grants;
  std::map<TransferPair, Tokens> transferred;
  // The part of `settled` that each member, or former member in
  // `PrepaidRecord::gone`, has spent or was charged. The rest of `settled` is
  // from routers that were removed from `gone`.
  std::map<Incarnation, Tokens> contributed;
  // The part of `settled` that each former member was charged without proof;
  // that of members that are no longer in `PrepaidRecord::gone` has no name.
  std::map<Incarnation, Tokens> presumed;
  // Tokens that all routers spend in a second, by the latest router that had
  // observed it; 0 if none has.
  Tokens spent_per_s = 0;

  // What is proven to be spent.
  Tokens ProvenSpent() const;
  // Sum of all grants.
  Tokens Outstanding() const;
  // What may still be granted; negative if the limit was lowered below what is
  // settled and granted.
  Tokens Free() const { return limit - settled - Outstanding(); }

  bool operator==(const PrepaidEntry&) const = default;
};

// What one router has spent of its grant for a customer since it last merged
// its spending into the record, and how much of the grant it withholds.
struct CustomerSpend {
  Tokens spent = 0;
  Tokens withheld = 0;

  bool operator==(const CustomerSpend&) const = default;
};

// One router's spend account. Every write of the router replaces it.
struct SpendAccount {
  // Number of the write. A router that got no answer to a write reads this
  // number to learn whether the write took effect.
  std::uint64_t sequence = 0;
  // The machine's steady clock at the write, and the boot from which the clock
  // counts.
  std::int64_t stamp_ms = 0;
  std::string boot;
  // The store's era, as the writer knew it.
  std::int64_t era = 0;
  std::map<CustomerName, CustomerSpend> customers;

  bool operator==(const SpendAccount&) const = default;
};

struct PrepaidRecord {
  std::map<CustomerName, PrepaidEntry> customers;
  // The routers that have grants.
  std::set<Incarnation> members;
  // The store's era in which the record was first written or was restored; 0 if
  // the store has no eras.
  std::int64_t era = 0;
  // Members that haven't written in this era.
  std::set<Incarnation> undeclared;
  // Former members that have left or were charged, the latest last; at most
  // `kMaxGone`.
  std::vector<Incarnation> gone;
  // Number of the latest write of the record by each member and each former
  // member in `gone`.
  std::map<Incarnation, std::uint64_t> writes;

  // Upper bound of the size of `gone`. Without it, the record would grow with
  // every router that ends.
  static constexpr std::size_t kMaxGone = 16;

  bool HasMember(const Incarnation& it) const { return members.contains(it); }
  bool IsGone(const Incarnation& it) const {
    return std::find(gone.begin(), gone.end(), it) != gone.end();
  }
  // The router's name in `PrepaidEntry::presumed`.
  Incarnation NameIfGone(const Incarnation& it) const {
    return IsGone(it) ? it : Incarnation();
  }
  bool IsKnown(const Incarnation& it) const {
    return HasMember(it) || IsGone(it);
  }
  // Removes the oldest of `gone` beyond `kMaxGone`, and transfers of which
  // neither side is a member, as no router is left to record them again.
  void PruneGone();

  // Charges the grants of a member that is dead or leaves, and removes the
  // member. `proven` holds what the member is proven to have spent, and as
  // `withheld` what it is proven to have left unspent; null if nothing is
  // proven. Returns the sum charged.
  Tokens ChargeAndRemove(const Incarnation& member, const SpendAccount* proven);

  // Raises the running total of `pair` to `total`. Does nothing if `total`
  // isn't higher than the recorded one.
  void RecordTransfer(const CustomerName& customer, const TransferPair& pair,
                      Tokens total);

  bool operator==(const PrepaidRecord&) const = default;
};

// These write and read CBOR.
std::string EncodeSpend(const SpendAccount& spend);
std::optional<SpendAccount> DecodeSpend(std::string_view bytes);
std::string EncodePrepaid(const PrepaidRecord& record);
// Returns std::nullopt if `bytes` isn't a record.
std::optional<PrepaidRecord> DecodePrepaid(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_RECORD_H_
