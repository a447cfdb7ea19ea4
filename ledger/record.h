// The ledger record: what the key-value service keeps about budgets.
//
// Budgets are prepaid, and routers must spend without asking anybody. So the
// record hands out escrow (O'Neil, "The Escrow Transactional Method", TODS
// 1986): a router is granted an amount, spends from it in memory, and reports
// what it spent later. In every stored version of a record
//
//     settled + sum of outstanding grants <= limit
//
// and a router never spends more than its own grant. Therefore the sum of all
// spending can't pass the limit, whoever is cut off, paused or dead. The price
// is that a grant nobody uses is missing elsewhere; `wanted` marks are how a
// router in need calls idle grants back.
//
// Budgets are spread over `kLedgerShards` records by a stable hash, so that one
// compare-and-swap carries many budgets and no record nears the size limit.

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

// The shard that holds `budget`, in [0, kLedgerShards).
int ShardOf(const BudgetName& budget);

// One budget within a record.
struct BudgetEntry {
  // Limit given by the bundle, and the version that gave it. A writer with a
  // newer bundle replaces both; one with an older bundle leaves them.
  Tokens bundle_limit = 0;
  std::uint64_t bundle_version = 0;
  // Sum of top-ups made with `quaytrack budget add`.
  Tokens added = 0;
  // Operation id of the latest top-up, to tell whether a write whose answer
  // was lost took effect.
  std::string last_topup;
  // Sum of all bills ever written for this budget.
  Tokens settled = 0;
  std::map<Incarnation, Tokens> grants;
  // Amounts that routers need now and found nothing free for.
  std::map<Incarnation, Tokens> wanted;

  Tokens Limit() const { return bundle_limit + added; }
  Tokens Outstanding() const;
  // What may still be granted. Negative after a limit was lowered under use.
  Tokens Free() const { return Limit() - settled - Outstanding(); }

  Tokens GrantOf(const Incarnation& who) const;
  // Changes a grant; one of nothing leaves the record.
  void AddGrant(const Incarnation& who, Tokens change);
  Tokens WantedByOthers(const Incarnation& self) const;
  // The bundle with the higher version decides the limit, whoever writes.
  void TakeLimit(Tokens limit, std::uint64_t version);

  bool operator==(const BudgetEntry&) const = default;
};

// What the record remembers of one writing incarnation.
struct WriterEntry {
  // Sequence number of its latest applied batch. It tells a writer whose
  // answer was lost whether the write took effect.
  std::uint64_t seq = 0;
  // The peer that keeps copies of its unwritten bills; empty for none.
  Incarnation witness;
  // Revision at which the incarnation registered; orders those of one VM.
  std::int64_t registered = 0;

  bool operator==(const WriterEntry&) const = default;
};

struct LedgerRecord {
  std::map<BudgetName, BudgetEntry> budgets;
  std::map<Incarnation, WriterEntry> writers;

  bool operator==(const LedgerRecord&) const = default;
};

std::string EncodeRecord(const LedgerRecord& record);

// Empty when `text` is not a record.
std::optional<LedgerRecord> DecodeRecord(std::string_view text);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_RECORD_H_
