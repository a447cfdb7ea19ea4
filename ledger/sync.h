// LedgerSync keeps one router's accounts and the shared ledger in step.
//
// Spending is local and immediate:
//
//   LedgerSync ledger(self, {});
//   ledger.SetBudgets(bundle_version, settings);
//   switch (ledger.Hold(now, request, budget, worst_case)) {...}
//   ledger.Settle(now, request, bill);          // or Release(request)
//
// Everything else is a cycle that the caller drives with the key-value service:
//
//   while (auto action = ledger.Next(now)) {
//     perform it, then call OnRead(...) or OnCommit(...);
//   }
//   for (const LedgerEvent& it : ledger.TakeEvents()) {...}
//
// One commit is one transaction: it compares the revision of each record that
// it replaces, writes one batch of bills create-only, and moves the amounts, so
// that records and bills agree in every revision.
//
// Other routers' changes. Records are not watched: with many routers each write
// would travel to all of them (docs/design/ledger.md has the figures). A record
// that others write too is read right before it is written, and a small
// message, `need`, asks others to read one out of turn.
//
// Lost answers. A commit whose answer is lost may have been applied, or may
// still be applied later. The batch keeps its sequence number until some
// attempt is known to be in the record: every attempt for one number replaces
// at least the records of the attempts before it, at their compared revisions,
// so at most one of them can win, and the record's `writers[self].seq` says
// whether one has. It is resolved from one snapshot of all those records: what
// is known of a commit counts for all its records or for none. A read of some
// of them, or a watch, that shows it as applied only makes all of them be read.
// Until then all that such an attempt may have given back counts as gone, and
// nothing that it may have taken counts as owned.
//
// Being declared dead. Recovery removes `writers[self]`. A router that finds
// its entry missing has been replaced; it reports kFenced and must stop.
//
// It owns this router's accounts and its copies of the records. When something
// is due and what an answer means is in ledger/sync.cc; what a commit contains
// is in ledger/sync_commit.cc, by the sizes of ledger/grant_policy.h; the bills
// on their way are in ledger/bill_batches.h. Amounts are prepaid tokens.

#ifndef QUAYTRACK_LEDGER_SYNC_H_
#define QUAYTRACK_LEDGER_SYNC_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "ledger/account.h"
#include "ledger/bill.h"
#include "ledger/bill_batches.h"
#include "ledger/grant_policy.h"
#include "ledger/record.h"

namespace quaytrack {

// A budget as the bundle describes it.
struct BudgetSetting {
  BudgetName name;
  Tokens limit = 0;
  BudgetPolicy policy;
};

struct LedgerSyncOptions {
  // Shortest time between two commits; bounds writes a second. The setting
  // --commit-spacing-ms; its default is not measured.
  Duration commit_spacing = std::chrono::milliseconds(100);
  // The same while a witness has copies of all unwritten bills and nobody waits
  // for a grant: 0.04 writes a request at 25 requests a second
  // (docs/design/bills-and-witness.md).
  Duration witnessed_spacing = std::chrono::milliseconds(1000);
  // How long a request may wait for a larger grant. Not measured.
  Duration hold_wait = std::chrono::milliseconds(800);
  // How often all records are read although nobody said that they changed. Not
  // measured; changes are told by `need` (commit 33476b8).
  Duration refresh_every = std::chrono::seconds(10);
  // How often grants are compared with their targets when nothing else is due.
  // Not measured.
  Duration adjust_every = std::chrono::seconds(1);
  // After another router was in need, how long nothing extra is taken. Commit
  // b73ce75 has the run without it; the length is not measured.
  Duration scarce_memory = std::chrono::seconds(5);
  // Pause after a failed read or commit. Not measured.
  Duration retry_after_failure = std::chrono::milliseconds(200);
  // Bills in one batch at most; the rest waits for the next. Not measured.
  std::size_t max_batch = 1000;
  // Bills with a marker in one batch; each is two operations of a transaction,
  // which the service limits to 128.
  std::size_t max_markers = 50;
};

enum class HoldOutcome {
  kHeld,
  kWaiting,      // a kHoldGranted or kHoldRefused event follows
  kExhausted,    // the budget can't cover it
  kUnavailable,  // the own grant can't, and the ledger can't be reached
  kUnknownBudget,
  kFenced,
};

// Why a waiting hold was refused.
enum class HoldRefusal { kExhausted, kUnavailable, kFenced };

// A record as it was read, or as it stands after a commit.
struct ShardState {
  int shard = 0;
  // Revision of the last change; 0 when the key doesn't exist.
  std::int64_t revision = 0;
  LedgerRecord record;
};

// Read these records as one snapshot, and tell which of `markers` exist. One
// snapshot, because a record that shows a batch must not be combined with an
// older state of another record that the same batch changed.
struct ReadShards {
  std::vector<int> shards;
  std::vector<std::string> markers;
};

// Replace `shards` if each still has its revision, and, if the batch has bills,
// create its journal key and the markers that its bills name; all or nothing.
struct LedgerCommit {
  std::vector<ShardState> shards;
  BillBatch batch;
  // Shards whose other users should read them now: this commit asks for a grant
  // to be given back, gives one back, or closes a dead router's account.
  std::set<int> need;
};

using LedgerAction = std::variant<ReadShards, LedgerCommit>;

enum class CommitOutcome { kApplied, kRejected, kUnknown };

enum class LedgerEventKind {
  kHoldGranted,   // `request` may start
  kHoldRefused,   // `request` must be refused for `refusal`
  kBillsWritten,  // bills up to `seq` are stored
  kBillDropped,   // `request`'s bill existed already; not billed again
  kFenced,        // this incarnation was declared dead
};

struct LedgerEvent {
  LedgerEventKind kind{};
  RequestId request;
  HoldRefusal refusal{};
  std::uint64_t seq = 0;
};

class LedgerSync {
 public:
  LedgerSync(Incarnation self, LedgerSyncOptions options);

  // Takes the budgets of a newer bundle. Budgets that it no longer names keep
  // their running requests but take no new ones.
  void SetBudgets(std::uint64_t bundle_version,
                  const std::vector<BudgetSetting>& budgets);

  // How many routers share the budgets; bounds the standing shares.
  void SetFleetSize(int routers) { fleet_size_ = routers; }

  // Names the peer that keeps copies of this router's unwritten bills. It
  // counts as the witness once `recorded_witness` shows it.
  void SetWitness(const Incarnation& witness);
  // Whether the witness can be told anything at present.
  void SetWitnessLink(bool up) { witness_link_ = up; }
  const Incarnation& recorded_witness() const { return recorded_witness_; }

  // The revision at which this incarnation registered.
  void SetRegistered(std::int64_t revision) { registered_ = revision; }

  HoldOutcome Hold(Instant now, const RequestId& request,
                   const BudgetName& budget, Tokens amount);

  // Ends a hold with a bill. `bill.tokens` is cut to the hold. Returns the
  // sequence number of the batch that will carry the bill; 0 if the bill exists
  // already and will not be written.
  std::uint64_t Settle(Instant now, Bill& bill);

  // Ends a hold, or a wait for one, without a bill.
  void Release(const RequestId& request, const BudgetName& budget);

  // The next thing to do, if any is due and none is in flight.
  std::optional<LedgerAction> Next(Instant now);

  // The result of a ReadShards; empty `states` when the service didn't answer.
  void OnRead(Instant now, std::optional<std::vector<ShardState>> states,
              const std::set<std::string>& existing_markers);
  void OnCommit(Instant now, CommitOutcome outcome, std::int64_t revision);

  // Another router said (`LedgerCommit::need`) that this record should be read.
  void OnNeed(int shard);
  // The same for all records, when such a message may have been missed.
  void Refresh();

  // A newer record was seen in some other way.
  void OnWatched(Instant now, const ShardState& state);

  // Refuses holds that have waited too long.
  void Tick(Instant now);

  // Gives back every idle amount at the next commits and takes none; for a
  // planned stop. Finished when `Drained`.
  void StartDrain() { draining_ = true; }
  bool Drained() const;

  std::vector<LedgerEvent> TakeEvents();

  // For status pages and tests.
  const std::map<BudgetName, Account>& accounts() const { return accounts_; }
  bool fenced() const { return fenced_; }
  bool KvReachable() const { return reachable_; }
  // Every record that the bundle's budgets need has been read once.
  bool Primed() const;
  std::size_t UnwrittenBills() const { return bills_.size(); }
  // The latest known record of a shard; null before the first read.
  const ShardState* CachedShard(int shard) const;

 private:
  enum class Phase { kIdle, kReading, kCommitting };
  using ShardMap = std::map<int, ShardState>;

  Duration Spacing() const;
  ReadShards StartRead();
  bool ReadBeforeCommit(const ShardMap& work);
  void NoticeNeeds(Instant now, const ShardState& state);
  void MarkAllDirty(Instant now);
  ShardState& Touch(ShardMap& work, int shard);
  void TouchForWitness(ShardMap& work);
  void AddBills(ShardMap& work);
  void PlanDirtyBudgets(Instant now, ShardMap& work);
  BudgetEntry PlannedEntry(Instant now, const BudgetSetting& setting,
                           const BudgetEntry& entry, Tokens* returned) const;
  GrantPlan PlanFor(Instant now, const BudgetSetting& setting,
                    const BudgetEntry& entry) const;
  LedgerCommit FinishCommit(Instant now, ShardMap&& work);
  bool ShowsSealed(const ShardState& state) const;
  void Take(Instant now, const ShardState& state, bool whole);
  bool CoversAttempts(const std::vector<ShardState>& snapshot) const;
  bool AppliedIn(const std::vector<ShardState>& snapshot) const;
  void ResolveSealed();
  void AdoptRecord(const ShardState& state);
  void CacheIfNewer(const ShardState& state);
  void DropBilledTwice(const std::set<std::string>& existing_markers);
  void UpdateRecordedWitness();
  void ServeWaiting();
  void RefuseHopeless(const BudgetName& name, Account& account);
  void Refuse(Account& account, HoldRefusal refusal);
  Tokens MostThatCouldBeHad(const BudgetName& name,
                            const Account& account) const;
  const BudgetEntry* CachedEntry(const BudgetName& name) const;
  void FenceIfRemoved();

  Incarnation self_;
  LedgerSyncOptions options_;
  std::uint64_t bundle_version_ = 0;
  std::map<BudgetName, BudgetSetting> settings_;
  std::map<BudgetName, Account> accounts_;
  // Records as last seen, without what an unresolved attempt changed in them.
  std::map<int, ShardState> cache_;
  std::set<int> must_read_;
  // Records read since the last commit.
  std::set<int> fresh_;
  // Shards to be named in the next commit's `need`.
  std::set<int> need_;
  Instant last_refresh_{};
  // Records in which this incarnation has an entry.
  std::set<int> joined_;

  Phase phase_ = Phase::kIdle;
  // The sealed batch is the one that is being written.
  BillBatches bills_;
  // Budgets whose entry may need a change.
  std::set<BudgetName> dirty_;
  // Records that unresolved attempts for the sealed batch may have replaced.
  std::set<int> attempted_;
  LedgerCommit in_flight_;

  Instant last_commit_{};
  Instant not_before_{};
  Instant last_adjust_{};
  bool reachable_ = false;
  int fleet_size_ = 1;
  // When another router was last seen in need, by budget.
  std::map<BudgetName, Instant> scarce_at_;
  bool draining_ = false;
  // Somebody waits for a grant that this router could take or give.
  bool urgent_ = false;
  bool fenced_ = false;
  std::int64_t registered_ = 0;
  Incarnation witness_;
  Incarnation recorded_witness_;
  bool witness_link_ = false;
  std::vector<LedgerEvent> events_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_SYNC_H_
