// LedgerSync synchronizes one router's accounts with the shared ledger.
//
// Spending is local and immediate:
//
//   LedgerSync ledger(self, {});
//   ledger.SetBudgets(bundle_version, settings);
//   switch (ledger.Hold(now, request, budget, worst_case)) {...}
//   ledger.Settle(now, request, bill);          // or Release(request)
//
// Everything else is a cycle in which the caller performs actions on the
// key-value service:
//
//   while (auto action = ledger.Next(now)) {
//     // perform it, then call OnRead(...) or OnCommit(...)
//   }
//   for (const LedgerEvent& it : ledger.TakeEvents()) {...}
//
// One commit is one transaction: it compares the revision of each record that
// it replaces, writes one batch of bills create-only, and updates the amounts,
// so that records and bills agree in every revision.
//
// Other routers' changes. Records are not watched: with many routers each write
// would be sent to all of them. A
// record that other routers write too is read right before it is written, and a
// small message, `need`, asks other routers to read a record immediately.
//
// Lost answers. A commit whose answer is lost may have been applied, or may
// still be applied later. The batch keeps its sequence number until some
// attempt is known to be in the record: every attempt for one number replaces
// at least the records of the attempts before it, at their compared revisions,
// so at most one of them can be applied, and the record's `writers[self].seq`
// shows whether one was. The batch is resolved from one snapshot of all those
// records, because a commit is applied to all its records or to none. A watch,
// or a read of some of the records, that shows the commit as applied only
// causes a read of all attempted records. Until the batch is resolved, what an
// attempt may have given back is unavailable, and so is what it may have taken.
//
// Fencing. Recovery of a router that is declared dead removes `writers[self]`.
// A router that finds its entry missing reports kFenced and must stop.
//
// LedgerSync owns this router's accounts and its copies of the records.
// ledger/sync.cc decides when something is due and evaluates answers;
// ledger/sync_commit.cc builds commits, with the grant sizes of
// ledger/grant_policy.h; ledger/bill_batches.h has the bills that aren't known
// to be stored. Amounts are prepaid tokens.

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
  // Minimum time between two commits; bounds writes per second. Set by
  // --commit-spacing-ms.
  Duration commit_spacing = std::chrono::milliseconds(100);
  // Minimum time between two commits while a witness has copies of all
  // unwritten bills and no request waits for a grant.
  Duration witnessed_spacing = std::chrono::milliseconds(1000);
  // Maximum time that a request waits for a larger grant.
  Duration hold_timeout = std::chrono::milliseconds(800);
  // How often all records are read without a `need` message, which is how
  // changes are usually announced.
  Duration refresh_every = std::chrono::seconds(10);
  // How often grants are compared with their desired sizes when nothing else is
  // due.
  Duration adjust_every = std::chrono::seconds(1);
  // After another router's `wanted` mark was seen, nothing beyond the present
  // need is taken for this long.
  Duration scarcity_backoff = std::chrono::seconds(5);
  // Pause after a failed read or commit.
  Duration retry_after_failure = std::chrono::milliseconds(200);
  // Maximum number of bills in one batch.
  std::size_t max_batch = 1000;
  // Maximum number of bills with a marker in one batch; each is two operations
  // of a transaction, which the service limits to 128.
  std::size_t max_markers = 50;
};

enum class HoldOutcome {
  kHeld,
  kWaiting,      // a kHoldGranted or kHoldRefused event follows
  kExhausted,    // the budget can't cover it
  kUnavailable,  // the local grant can't cover it, and the ledger can't be
                 // reached
  kUnknownBudget,
  kFenced,
};

// Why a waiting hold was refused.
enum class HoldRefusal { kExhausted, kUnavailable, kFenced };

// A ledger record as it was read, or as it is after a commit.
struct ShardState {
  int shard = 0;
  // Revision of the last change; 0 if the key doesn't exist.
  std::int64_t revision = 0;
  LedgerRecord record;
};

// An action: read the records of `shards` as one snapshot, and report which of
// `markers` exist. One snapshot is needed because a record that includes a
// batch must not be combined with an older state of another record that the
// same batch changed.
struct ReadShards {
  std::vector<int> shards;
  std::vector<std::string> markers;
};

// An action: replace `shards` if each still has its revision, and, if the batch
// has bills, create its journal key and the markers that its bills name, in one
// transaction.
struct LedgerCommit {
  std::vector<ShardState> shards;
  BillBatch batch;
  // Shards that other routers should read now: this commit asks for a grant to
  // be given back, gives one back, or closes a dead router's account.
  std::set<int> need;
};

using LedgerAction = std::variant<ReadShards, LedgerCommit>;

enum class CommitOutcome { kApplied, kRejected, kUnknown };

enum class LedgerEventKind {
  kHoldGranted,   // `request` may start
  kHoldRefused,   // `request` must be refused; `refusal` is the reason
  kBillsWritten,  // bills up to `seq` are stored
  kBillDropped,  // the bill of `request` existed already; it isn't billed again
  kFenced,       // this incarnation was declared dead
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

  // Sets the budgets of a newer bundle. Budgets that it no longer names keep
  // their running requests but accept no new ones.
  void SetBudgets(std::uint64_t bundle_version,
                  const std::vector<BudgetSetting>& budgets);

  // Sets the number of routers that share the budgets; the number bounds the
  // standing shares (ledger/grant_policy.h).
  void SetFleetSize(int routers) { fleet_size_ = routers; }

  // Sets the peer that keeps copies of this router's unwritten bills. The peer
  // is the witness once `recorded_witness` returns its name.
  void SetWitness(const Incarnation& witness);
  // Sets whether the link to the witness is up.
  void SetWitnessLink(bool up) { witness_link_ = up; }
  const Incarnation& recorded_witness() const { return recorded_witness_; }

  // Sets the revision at which this incarnation registered.
  void SetRegistered(std::int64_t revision) { registered_ = revision; }

  HoldOutcome Hold(Instant now, const RequestId& request,
                   const BudgetName& budget, Tokens amount);

  // Ends a hold with a bill. `bill.tokens` is capped at the hold. Returns the
  // sequence number of the batch that will contain the bill, or 0 if the bill
  // exists already and will not be written.
  std::uint64_t Settle(Instant now, Bill& bill);

  // Ends a hold, or a wait for one, without a bill.
  void Release(const RequestId& request, const BudgetName& budget);

  // Returns the next action if one is due and none is in flight.
  std::optional<LedgerAction> Next(Instant now);

  // Takes the result of a ReadShards; `states` is std::nullopt if the service
  // didn't answer.
  void OnRead(Instant now, std::optional<std::vector<ShardState>> states,
              const std::set<std::string>& existing_markers);
  void OnCommit(Instant now, CommitOutcome outcome, std::int64_t revision);

  // Call when another router has announced (`LedgerCommit::need`) that this
  // record should be read.
  void OnNeed(int shard);
  // Schedules a read of all records. Call when a `need` message may have been
  // missed.
  void Refresh();

  // Call when a record was received by other means than a ReadShards.
  void OnWatched(Instant now, const ShardState& state);

  // Refuses holds that have waited for `hold_timeout`.
  void Tick(Instant now);

  // Starts to give back every idle amount in the next commits and to take none,
  // for a planned stop. `Drained` returns true once this is done.
  void StartDrain() { draining_ = true; }
  bool Drained() const;

  std::vector<LedgerEvent> TakeEvents();

  // The accounts, for status pages and tests.
  const std::map<BudgetName, Account>& accounts() const { return accounts_; }
  bool fenced() const { return fenced_; }
  bool KvReachable() const { return reachable_; }
  // Whether every record that the bundle's budgets need has been read once.
  bool Primed() const;
  std::size_t UnwrittenBills() const { return bills_.size(); }
  // Returns the latest known record of a shard, or nullptr before the first
  // read.
  const ShardState* CachedShard(int shard) const;

 private:
  enum class Phase { kIdle, kReading, kCommitting };
  using ShardMap = std::map<int, ShardState>;

  Duration Spacing() const;
  ReadShards StartRead();
  bool ReadBeforeCommit(const ShardMap& work);
  void NoteWantedMarks(Instant now, const ShardState& state);
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
  void ProcessRecord(Instant now, const ShardState& state, bool complete);
  bool CoversAttempts(const std::vector<ShardState>& snapshot) const;
  bool AppliedIn(const std::vector<ShardState>& snapshot) const;
  void ResolveSealed();
  void UpdateAccounts(const ShardState& state);
  void CacheIfNewer(const ShardState& state);
  void DropDuplicateBills(const std::set<std::string>& existing_markers);
  void UpdateRecordedWitness();
  void ServeWaiting();
  void RefuseUncoverable(const BudgetName& name, Account& account);
  void Refuse(Account& account, HoldRefusal refusal);
  Tokens MaxObtainable(const BudgetName& name, const Account& account) const;
  const BudgetEntry* CachedEntry(const BudgetName& name) const;
  void FenceIfRemoved();

  Incarnation self_;
  LedgerSyncOptions options_;
  std::uint64_t bundle_version_ = 0;
  std::map<BudgetName, BudgetSetting> settings_;
  std::map<BudgetName, Account> accounts_;
  // Records as last seen, without the changes of unresolved attempts.
  std::map<int, ShardState> cache_;
  // Records to read before the next commit.
  std::set<int> must_read_;
  // Records read since the last commit.
  std::set<int> read_since_commit_;
  // Shards for the next commit's `need`.
  std::set<int> need_;
  Instant last_refresh_{};
  // Records in which this incarnation has a writer entry.
  std::set<int> joined_;

  Phase phase_ = Phase::kIdle;
  // Bills that aren't known to be stored. The sealed batch is being written.
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
  // When another router's `wanted` mark was last seen, by budget.
  std::map<BudgetName, Instant> wanted_seen_at_;
  bool draining_ = false;
  // Whether a request, here or at another router, waits for a larger grant.
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
