// The functions by which a write changes the record and this router's account.
// The ledger applies them to a copy of the confirmed view, in this order:
//
//   ReportSpending(accounts, view);              // every write
//   charged = ChargePredecessors(...);           // if it changes the record:
//   ApplyLimits(version, limits, record);
//   RecordTransfers(self, accounts, record);
//   MergeSpending(self, view);
//   ...                                          // then sizes the grants
//
// Each function keeps the invariant of prepaid/prepaid_record.h: the sum of
// settled and granted tokens stays the same, or falls by tokens that are proven
// unspent.
//
// Stateless. Units: tokens, milliseconds where a name ends in `_ms`.

#ifndef QUAYTRACK_PREPAID_RECORD_CHANGE_H_
#define QUAYTRACK_PREPAID_RECORD_CHANGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/prepaid_record.h"
#include "prepaid/store_view.h"

namespace quaytrack {

// Identifies this process.
struct PrepaidIdentity {
  Incarnation self;
  // The boot of the machine that the steady clock counts from; empty if
  // unknown.
  std::string boot;
  // When this process started.
  Instant started{};
};

// An earlier incarnation on this VM whose grants a write charges. The amounts
// are of all customers together.
struct ChargedPredecessor {
  Incarnation dead;
  // Whether its withheld tokens are proven unspent and are returned.
  bool withheld_unspent = false;
  // Its grants, and of these what it had reported as spent, and what it
  // withheld at its last write.
  Tokens granted = 0;
  Tokens spent = 0;
  Tokens withheld = 0;
  // Time from its last write to the start of this process.
  std::int64_t age_ms = 0;
  // Tokens charged as spent. The rest of `granted` is returned.
  Tokens charged = 0;
};

// A time of the steady clock in milliseconds, as stored in a spend account.
std::int64_t StampMs(Instant it);

// Adds the unreported spending to the view's spend account.
void ReportSpending(const LocalAccounts& accounts, StoreView& view);

// Removes the earlier incarnations of this VM from the record: they are dead,
// since only one runs at a time. `accounts` has the spend accounts of these
// incarnations, as far as the store has them. Withheld tokens are returned if
// this process started within `withhold_time` of their holder's last write, by
// the same clock of the same boot, because the holder can't have spent them. An
// account of an earlier era than the record's proves nothing, as a later write
// of the account may be lost.
std::vector<ChargedPredecessor> ChargePredecessors(
    const PrepaidIdentity& identity,
    const std::map<Incarnation, StoredSpend>& accounts, Duration withhold_time,
    PrepaidRecord& record);

// Sets the limits of configuration `version`. Limits that the same or a later
// version has set stay.
void ApplyLimits(std::uint64_t version,
                 const std::map<CustomerName, Tokens>& limits,
                 PrepaidRecord& record);

// Raises the record's running totals of transfers from and to `self`.
void RecordTransfers(const Incarnation& self, const LocalAccounts& accounts,
                     PrepaidRecord& record);

// Moves the spending of the view's account into the record: adds it to
// `settled` and takes it off the grant.
void MergeSpending(const Incarnation& self, StoreView& view);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_RECORD_CHANGE_H_
