// Closing the account of a router that is proven dead.
//
// Its grants return to the budgets, less what it spent. What it spent is known
// from three sources: the bills in its journal, the copies of its unwritten
// bills at its witness, and, for requests that were still running, the engines
// themselves. The whole is one transaction that also removes the dead router's
// entries, so it is done once, and a router that was dead only in appearance
// finds itself removed and stops.
//
//   RecoveryInput input = ...;           // one snapshot of the service
//   if (auto commit = PlanRecovery(input)) { write it; on conflict, read again
//   }
//
// Who may recover: the witness named in the dead router's entry. If the witness
// is dead too, nobody can know what was spent between the last ledger write and
// the deaths; the grants then stay charged until an operator releases them.

#ifndef QUAYTRACK_LEDGER_RECOVERY_H_
#define QUAYTRACK_LEDGER_RECOVERY_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ledger/sync.h"
#include "ledger/witness.h"

namespace quaytrack {

struct RecoveryInput {
  Incarnation dead;
  // One snapshot: all records, the dead router's batches, existing markers.
  std::vector<ShardState> shards;
  std::vector<BillBatch> journal;
  std::set<std::string> existing_markers;
  // The witness's copies.
  WitnessCopy copy;
  // Bills for the intents of the copy, as the targets told.
  std::vector<Bill> asked;
};

// The bills of a copy that are not in the journal yet.
std::vector<Bill> MissingBills(const RecoveryInput& input);

// The transaction that closes the account; empty when no record mentions the
// dead router any more.
std::optional<LedgerCommit> PlanRecovery(const RecoveryInput& input);

// Whether a record still holds grants of `who`.
bool HoldsGrants(const LedgerRecord& record, const Incarnation& who);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_RECOVERY_H_
