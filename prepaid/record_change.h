// The steps by which a write changes the record and this router's account. The
// ledger applies them, in this order, to a copy of the confirmed view:
//
//   ReportSpending(accounts, view);              // every write
//   charged = ChargePredecessors(...);           // if it changes the record:
//   ApplyLimits(version, limits, record);
//   RecordTransfers(self, accounts, record);
//   MergeSpending(self, view);
//   ...                                          // then sizes the grants
//
// Each keeps what prepaid/prepaid_record.h promises: the sum of what is settled
// and granted stays as it is, or falls by tokens that are proven unspent.
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

// Who this process is.
struct PrepaidIdentity {
  Incarnation self;
  // Which boot of the machine the steady clock counts from; empty if that isn't
  // known.
  std::string boot;
  // When this process started.
  Instant started{};
};

// An earlier incarnation on this VM, whose grants a write charges.
struct ChargedPredecessor {
  Incarnation dead;
  // Its withheld part is proven unspent and goes back.
  bool withheld_unspent = false;
  // From its last write to the start of this process.
  std::int64_t age_ms = 0;
  // What is charged as spent, of all customers.
  Tokens charged = 0;
};

// The steady clock as the spend account keeps it.
std::int64_t StampMs(Instant it);

// Adds what isn't reported yet to the view's account.
void ReportSpending(const OwnAccounts& accounts, StoreView& view);

// Removes the earlier incarnations of this VM from the record: they are dead,
// since only one runs at a time. `accounts`: theirs, as far as the store has
// them. A withheld part goes back if this process started within
// `withhold_time` of its owner's last write, by the same clock of the same
// boot; then its owner can't have touched it. An account of an earlier era than
// the record's proves nothing: a later write of it may be lost.
std::vector<ChargedPredecessor> ChargePredecessors(
    const PrepaidIdentity& identity,
    const std::map<Incarnation, StoredSpend>& accounts, Duration withhold_time,
    PrepaidRecord& record);

// `version`: of the configuration that the limits are from. Newer ones stay.
void ApplyLimits(std::uint64_t version,
                 const std::map<CustomerName, Tokens>& limits,
                 PrepaidRecord& record);

// Raises the record's running totals of transfers from and to `self`.
void RecordTransfers(const Incarnation& self, const OwnAccounts& accounts,
                     PrepaidRecord& record);

// Moves the spending of the account into the record, where it is settled and
// off the grant.
void MergeSpending(const Incarnation& self, StoreView& view);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_RECORD_CHANGE_H_
