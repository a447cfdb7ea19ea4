// Plans the transaction that closes the account of a router that is proven
// dead.
//
// The router's grants return to the budgets, minus what it spent. Three sources
// show what it spent: the bills in its journal, the copies of its unwritten
// bills at its witness, and, for requests that were still running, the engines.
// One transaction writes the missing bills and removes the dead router's
// entries, so recovery is done once, and a router that was declared dead while
// it still runs finds its entries removed and stops.
//
//   RecoveryInput input = ...;  // one snapshot of the service
//   if (auto commit = PlanRecovery(input)) {
//     // write it; on conflict, read a new snapshot and plan again
//   }
//
// Only the witness named in the dead router's entry may recover it. If the
// witness is dead too, what was spent between the last ledger write and the
// deaths is unknown; the grants then stay outstanding until an operator
// releases them.

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
  // The state of every shard, the dead router's batches in the journal, and the
  // existing markers, all from one snapshot of the key-value service.
  std::vector<ShardState> shards;
  std::vector<BillBatch> journal;
  std::set<std::string> existing_markers;
  // The witness's copies of the dead router's intents and bills.
  WitnessCopy copy;
  // Bills for the intents in `copy`, as reported by the targets.
  std::vector<Bill> asked;
};

// Returns the bills in `input.copy` and `input.asked` that aren't stored yet.
std::vector<Bill> MissingBills(const RecoveryInput& input);

// Returns the transaction that closes the account, or std::nullopt if no record
// mentions the dead router.
std::optional<LedgerCommit> PlanRecovery(const RecoveryInput& input);

// Whether a record contains grants of `router`.
bool HoldsGrants(const LedgerRecord& record, const Incarnation& router);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_RECOVERY_H_
