// The ledger record: what the key-value service keeps about budgets.
//
// Budgets are prepaid, and routers must spend without a write per request. So
// the record uses escrow (O'Neil, "The Escrow Transactional Method", TODS
// 1986): a router is granted an amount, spends from it in memory, and writes
// later what it spent. In every stored version of a record
//
//     settled + sum of outstanding grants <= limit
//
// and a router never spends more than its grant. Therefore the sum of all
// spending can't exceed the limit, whichever routers are cut off, paused or
// dead. The cost is that other routers can't spend an idle grant; a router that
// needs more sets a `wanted` mark, and the others give their idle grants back.
//
// Budgets are spread over `kLedgerShards` records by a stable hash, so that one
// compare-and-swap covers many budgets and no record nears the size limit.

#ifndef QUAYTRACK_LEDGER_RECORD_H_
#define QUAYTRACK_LEDGER_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace quaytrack {

inline constexpr int kLedgerShards = 8;

// The shard that contains `budget`, in [0, kLedgerShards).
int ShardOf(const BudgetName& budget);

// One budget within a record.
struct BudgetEntry {
  // The bundle's limit, and the version of the bundle that set it. A writer
  // with a newer bundle replaces limit and version; a writer with an older
  // bundle leaves both.
  Tokens bundle_limit = 0;
  std::uint64_t bundle_version = 0;
  // Sum of top-ups made with `quaytrack budget add`.
  Tokens added = 0;
  // Operation id of the latest top-up; shows whether a write whose answer was
  // lost took effect.
  std::string last_topup;
  // Sum of all bills ever written for this budget.
  Tokens settled = 0;
  std::map<Incarnation, Tokens> grants;
  // Amounts that routers need now but that weren't free.
  std::map<Incarnation, Tokens> wanted;

  Tokens Limit() const { return bundle_limit + added; }
  Tokens Outstanding() const;
  // The amount that may still be granted. It is negative if the limit was
  // lowered below what is settled and granted.
  Tokens Free() const { return Limit() - settled - Outstanding(); }

  Tokens GrantOf(const Incarnation& router) const;
  // Adds `change` to the router's grant, and removes the grant if it becomes 0.
  void AddGrant(const Incarnation& router, Tokens change);
  Tokens WantedByOthers(const Incarnation& self) const;
  // Sets the bundle's limit if `version` is newer than the recorded one.
  void UpdateLimit(Tokens limit, std::uint64_t version);

  bool operator==(const BudgetEntry&) const = default;
};

// The record's state of one incarnation (one run of a router process) that
// writes it.
struct WriterEntry {
  // Sequence number of the latest applied batch; shows a writer that got no
  // answer whether its write took effect.
  std::uint64_t seq = 0;
  // The witness, a peer that keeps copies of the unwritten bills
  // (ledger/witness.h); empty if there is none.
  Incarnation witness;
  // Revision at which the incarnation registered; orders the incarnations of
  // one VM.
  std::int64_t registered = 0;

  bool operator==(const WriterEntry&) const = default;
};

struct LedgerRecord {
  std::map<BudgetName, BudgetEntry> budgets;
  std::map<Incarnation, WriterEntry> writers;

  bool operator==(const LedgerRecord&) const = default;
};

std::string EncodeRecord(const LedgerRecord& record);

// Returns std::nullopt if `text` is not a record.
std::optional<LedgerRecord> DecodeRecord(std::string_view text);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_RECORD_H_
