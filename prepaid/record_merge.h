// Writes again what the store has lost of the prepaid record.
//
//   MergeKnown(confirmed.record, found);   // `found`: what the store has now
//
// A store that came back from an older copy of itself shows an earlier record
// of the same history as the one that a router knows, or one that others have
// restored and changed since. Of each member the part with the higher write
// number is the later, as members change no part but their own:
//
//   - what a member has drawn, apart from transfers, and contributed;
//   - transfers are running totals, and the higher is the later;
//   - a member that either record shows as gone is gone. It has spent what it
//     was charged, or all of a part that is later than that charge.
//
// What neither record shows is lost. Every member therefore declares its own
// part as it knows it (prepaid/prepaid_ledger.h).
//
// Stateless. The sum of what is settled and granted may pass the limit when
// others were granted what a member had lost; then idle grants go back.

#ifndef QUAYTRACK_PREPAID_RECORD_MERGE_H_
#define QUAYTRACK_PREPAID_RECORD_MERGE_H_

#include "prepaid/prepaid_record.h"

namespace quaytrack {

// Merges what `known` shows into `record`, whose era and undeclared members
// stay; members that only `known` shows are added to these.
void MergeKnown(const PrepaidRecord& known, PrepaidRecord& record);

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_RECORD_MERGE_H_
