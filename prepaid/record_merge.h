// MergeRecord: restores what the store has lost of the prepaid record.
//
//   MergeRecord(confirmed.record, stored);   // `stored`: read from the store
//
// A store that is restored from an older copy has an earlier version of the
// record that a router knows, or one that other routers have restored and
// changed since. The two records are merged by these rules:
//
//   - A member's balance is what it has drawn, apart from transfers, and what
//     it has contributed to `settled`. Of two balances, the one in the record
//     with the member's higher write number is the later, as members change
//     only their own balances.
//   - Transfers are running totals, so the higher total is the later.
//   - A member that either record shows as gone is gone. It has spent what it
//     was charged, or, if the other record shows a later balance, all of that
//     balance.
//
// What neither record shows is lost. Every member therefore declares its own
// state (prepaid/prepaid_ledger.h).
//
// Stateless. Units: tokens. What is settled and granted may add up to more than
// the limit if the store granted to others what a member still held; then idle
// grants are returned.

#ifndef QUAYTRACK_PREPAID_RECORD_MERGE_H_
#define QUAYTRACK_PREPAID_RECORD_MERGE_H_

#include "prepaid/prepaid_record.h"

namespace quaytrack {

// Merges `known` into `record`. The era and the undeclared members of `record`
// stay; members that only `known` shows are added to the undeclared ones.
void MergeRecord(const PrepaidRecord& known, PrepaidRecord& record);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_RECORD_MERGE_H_
