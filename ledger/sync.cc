#include "ledger/sync.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

LedgerSync::LedgerSync(Incarnation self, LedgerSyncOptions options)
    : self_(std::move(self)),
      options_(options),
      bills_({options.max_batch, options.max_markers}) {}

void LedgerSync::SetBudgets(std::uint64_t bundle_version,
                            const std::vector<BudgetSetting>& budgets) {
  bundle_version_ = bundle_version;
  settings_.clear();
  for (const BudgetSetting& it : budgets) {
    settings_[it.name] = it;
    accounts_[it.name];
    dirty_.insert(it.name);
    const int shard = ShardOf(it.name);
    if (!cache_.contains(shard)) must_read_.insert(shard);
  }
}

void LedgerSync::SetWitness(const Incarnation& witness) {
  witness_ = witness;
  UpdateRecordedWitness();
}

HoldOutcome LedgerSync::Hold(Instant now, const RequestId& request,
                             const BudgetName& budget, Tokens amount) {
  if (fenced_) return HoldOutcome::kFenced;
  if (!settings_.contains(budget)) return HoldOutcome::kUnknownBudget;
  Account& account = accounts_[budget];
  const bool first_in_line = account.waiting().empty();
  if (first_in_line && account.TryHold(request, amount)) {
    return HoldOutcome::kHeld;
  }
  if (CachedEntry(budget) != nullptr &&
      MaxObtainable(budget, account) < amount) {
    return HoldOutcome::kExhausted;
  }
  if (!reachable_ || draining_) return HoldOutcome::kUnavailable;
  account.waiting().push_back({request, amount, now});
  urgent_ = true;
  dirty_.insert(budget);
  return HoldOutcome::kWaiting;
}

std::uint64_t LedgerSync::Settle(Instant now, Bill& bill) {
  Account& account = accounts_[bill.budget];
  bill.tokens = account.Settle(now, bill.request_id, bill.tokens);
  const std::uint64_t seq = bills_.Add(bill);
  if (seq == 0) {
    account.CancelUnwritten(bill.tokens);
    events_.push_back({LedgerEventKind::kBillDropped, bill.request_id, {}, 0});
    bill.tokens = 0;
    return 0;
  }
  if (!account.waiting().empty()) ServeWaiting();
  return seq;
}

void LedgerSync::Release(const RequestId& request, const BudgetName& budget) {
  Account& account = accounts_[budget];
  account.Release(request);
  std::erase_if(account.waiting(),
                [&](const WaitingHold& it) { return it.request == request; });
  dirty_.insert(budget);
}

std::optional<LedgerAction> LedgerSync::Next(Instant now) {
  if (fenced_ || phase_ != Phase::kIdle || now < not_before_) {
    return std::nullopt;
  }
  if (!must_read_.empty()) return StartRead();
  if (now < last_commit_ + Spacing()) return std::nullopt;
  if (now >= last_refresh_ + options_.refresh_every) {
    last_refresh_ = now;
    Refresh();
    return must_read_.empty() ? std::nullopt
                              : std::optional<LedgerAction>(StartRead());
  }
  MarkAllDirty(now);
  bills_.SealNext();
  ShardMap work;
  for (int shard : attempted_) Touch(work, shard);
  TouchForWitness(work);
  AddBills(work);
  PlanDirtyBudgets(now, work);
  if (work.empty()) {
    // A sealed batch whose bills were all dropped needs no write.
    if (bills_.sealed()) ResolveSealed();
    return std::nullopt;
  }
  if (ReadBeforeCommit(work)) return StartRead();
  urgent_ = false;
  return FinishCommit(now, std::move(work));
}

// Schedules reads of the records in `work` that other routers write too and
// that haven't been read since the last commit. Returns whether any read is
// pending.
bool LedgerSync::ReadBeforeCommit(const ShardMap& work) {
  for (const auto& [shard, state] : work) {
    auto cached = cache_.find(shard);
    const bool shared =
        cached != cache_.end() && cached->second.record.writers.size() > 1;
    if (shared && !read_since_commit_.contains(shard)) must_read_.insert(shard);
  }
  return !must_read_.empty();
}

void LedgerSync::OnNeed(int shard) {
  if (cache_.contains(shard)) must_read_.insert(shard);
}

void LedgerSync::Refresh() {
  for (const auto& [name, it] : settings_) must_read_.insert(ShardOf(name));
}

Duration LedgerSync::Spacing() const {
  const bool witnessed = witness_link_ && !recorded_witness_.empty();
  const bool relaxed = witnessed && !urgent_ && !draining_;
  return relaxed ? options_.witnessed_spacing : options_.commit_spacing;
}

ReadShards LedgerSync::StartRead() {
  phase_ = Phase::kReading;
  ReadShards out;
  out.shards.assign(must_read_.begin(), must_read_.end());
  if (!bills_.sealed()) return out;
  for (const Bill& it : bills_.sealed()->bills) {
    if (!it.marker.empty()) out.markers.push_back(it.marker);
  }
  return out;
}

void LedgerSync::MarkAllDirty(Instant now) {
  if (!draining_ && now < last_adjust_ + options_.adjust_every) return;
  last_adjust_ = now;
  for (const auto& [name, it] : settings_) dirty_.insert(name);
}

void LedgerSync::OnRead(Instant now,
                        std::optional<std::vector<ShardState>> states,
                        const std::set<std::string>& existing_markers) {
  phase_ = Phase::kIdle;
  reachable_ = states.has_value();
  if (!states) {
    not_before_ = now + options_.retry_after_failure;
    return;
  }
  for (const ShardState& it : *states) {
    must_read_.erase(it.shard);
    read_since_commit_.insert(it.shard);
  }
  // A snapshot of only some attempted records doesn't resolve the attempts:
  // what changed in the other records is unknown, and a marker may belong to
  // one of this router's bills.
  const bool complete = CoversAttempts(*states);
  for (const ShardState& it : *states) ProcessRecord(now, it, complete);
  FenceIfRemoved();
  if (fenced_) return;
  if (complete && AppliedIn(*states)) {
    ResolveSealed();
  } else if (complete) {
    DropDuplicateBills(existing_markers);
  }
  for (const auto& [name, it] : settings_) dirty_.insert(name);
  ServeWaiting();
}

void LedgerSync::OnCommit(Instant now, CommitOutcome outcome,
                          std::int64_t revision) {
  phase_ = Phase::kIdle;
  reachable_ = outcome != CommitOutcome::kUnknown;
  if (outcome == CommitOutcome::kApplied) {
    for (ShardState& it : in_flight_.shards) {
      it.revision = revision;
      CacheIfNewer(it);
    }
    ResolveSealed();
    return;
  }
  must_read_.insert(attempted_.begin(), attempted_.end());
  if (outcome == CommitOutcome::kUnknown) {
    not_before_ = now + options_.retry_after_failure;
  }
}

void LedgerSync::OnWatched(Instant now, const ShardState& state) {
  ProcessRecord(now, state, /*complete=*/false);
  FenceIfRemoved();
  ServeWaiting();
}

// Processes a record that was read or watched; `complete` tells whether one
// snapshot showed this record with all attempted records. If not, a record that
// includes the sealed batch isn't cached, as the batch's costs would count
// twice, in the record and as unwritten; all attempted records are read
// instead.
void LedgerSync::ProcessRecord(Instant now, const ShardState& state,
                               bool complete) {
  NoteWantedMarks(now, state);
  if (complete || !ShowsSealed(state)) {
    CacheIfNewer(state);
    return;
  }
  must_read_.insert(attempted_.begin(), attempted_.end());
}

void LedgerSync::NoteWantedMarks(Instant now, const ShardState& state) {
  for (const auto& [name, it] : state.record.budgets) {
    dirty_.insert(name);
    if (it.WantedByOthers(self_) == 0) continue;
    wanted_seen_at_[name] = now;
    urgent_ = true;
  }
}

void LedgerSync::CacheIfNewer(const ShardState& state) {
  auto [it, inserted] = cache_.try_emplace(state.shard, state);
  if (inserted || state.revision < it->second.revision) return;
  it->second = state;
}

bool LedgerSync::ShowsSealed(const ShardState& state) const {
  if (!bills_.sealed() || !attempted_.contains(state.shard)) return false;
  auto writer = state.record.writers.find(self_);
  if (writer == state.record.writers.end()) return false;
  return writer->second.seq >= bills_.sealed()->seq;
}

bool LedgerSync::CoversAttempts(const std::vector<ShardState>& snapshot) const {
  const auto seen = [&](int shard) {
    return std::any_of(snapshot.begin(), snapshot.end(),
                       [&](const ShardState& it) { return it.shard == shard; });
  };
  return std::all_of(attempted_.begin(), attempted_.end(), seen);
}

bool LedgerSync::AppliedIn(const std::vector<ShardState>& snapshot) const {
  return std::any_of(snapshot.begin(), snapshot.end(),
                     [&](const ShardState& it) { return ShowsSealed(it); });
}

void LedgerSync::ResolveSealed() {
  for (int shard : attempted_) {
    const ShardState& state = cache_[shard];
    UpdateAccounts(state);
    // The applied attempt may cover fewer records than a later one, so this
    // record may lack a writer entry.
    if (state.record.writers.contains(self_)) joined_.insert(shard);
  }
  events_.push_back({LedgerEventKind::kBillsWritten, {}, {}, bills_.Resolve()});
  attempted_.clear();
  UpdateRecordedWitness();
  ServeWaiting();
}

// Updates the accounts from a record that includes the sealed batch.
void LedgerSync::UpdateAccounts(const ShardState& state) {
  for (auto& [name, account] : accounts_) {
    if (ShardOf(name) != state.shard) continue;
    auto it = state.record.budgets.find(name);
    const Tokens granted =
        it == state.record.budgets.end() ? 0 : it->second.GrantOf(self_);
    account.OnRecorded(granted, bills_.SealedCost(name));
  }
}

void LedgerSync::DropDuplicateBills(
    const std::set<std::string>& existing_markers) {
  for (const Bill& it : bills_.DropExisting(existing_markers)) {
    accounts_[it.budget].CancelUnwritten(it.tokens);
    events_.push_back({LedgerEventKind::kBillDropped, it.request_id, {}, 0});
  }
}

void LedgerSync::UpdateRecordedWitness() {
  Incarnation common = witness_;
  for (int shard : joined_) {
    auto state = cache_.find(shard);
    if (state == cache_.end()) continue;
    auto writer = state->second.record.writers.find(self_);
    if (writer == state->second.record.writers.end()) continue;
    if (writer->second.witness != witness_) common = Incarnation();
  }
  recorded_witness_ = common;
}

void LedgerSync::FenceIfRemoved() {
  for (int shard : joined_) {
    if (cache_[shard].record.writers.contains(self_)) continue;
    if (!fenced_) events_.push_back({LedgerEventKind::kFenced, {}, {}, 0});
    fenced_ = true;
  }
  if (!fenced_) return;
  for (auto& [name, account] : accounts_) {
    while (!account.waiting().empty()) Refuse(account, HoldRefusal::kFenced);
  }
}

void LedgerSync::ServeWaiting() {
  for (auto& [name, account] : accounts_) {
    std::deque<WaitingHold>& waiting = account.waiting();
    while (!waiting.empty()) {
      const WaitingHold& first = waiting.front();
      if (!account.TryHold(first.request, first.amount)) break;
      events_.push_back({LedgerEventKind::kHoldGranted, first.request, {}, 0});
      waiting.pop_front();
    }
    RefuseUncoverable(name, account);
  }
}

void LedgerSync::RefuseUncoverable(const BudgetName& name, Account& account) {
  if (CachedEntry(name) == nullptr) return;
  while (!account.waiting().empty()) {
    const Tokens max_amount = MaxObtainable(name, account);
    if (account.waiting().front().amount <= max_amount) return;
    Refuse(account, HoldRefusal::kExhausted);
  }
}

void LedgerSync::Refuse(Account& account, HoldRefusal refusal) {
  events_.push_back({LedgerEventKind::kHoldRefused,
                     account.waiting().front().request, refusal, 0});
  account.waiting().pop_front();
}

Tokens LedgerSync::MaxObtainable(const BudgetName& name,
                                 const Account& account) const {
  const BudgetEntry* entry = CachedEntry(name);
  if (entry == nullptr) return 0;
  const Tokens in_use = account.HeldTotal() + account.unwritten();
  auto setting = settings_.find(name);
  if (setting == settings_.end()) return 0;
  BudgetEntry updated = *entry;
  updated.UpdateLimit(setting->second.limit, bundle_version_);
  return updated.Limit() - updated.settled - in_use;
}

const BudgetEntry* LedgerSync::CachedEntry(const BudgetName& name) const {
  auto state = cache_.find(ShardOf(name));
  if (state == cache_.end()) return nullptr;
  auto it = state->second.record.budgets.find(name);
  return it == state->second.record.budgets.end() ? nullptr : &it->second;
}

void LedgerSync::Tick(Instant now) {
  for (auto& [name, account] : accounts_) {
    while (!account.waiting().empty() &&
           account.waiting().front().since + options_.hold_timeout <= now) {
      Refuse(account,
             reachable_ ? HoldRefusal::kExhausted : HoldRefusal::kUnavailable);
      dirty_.insert(name);
    }
  }
}

bool LedgerSync::Drained() const {
  if (bills_.size() > 0 || bills_.sealed()) return false;
  return std::all_of(accounts_.begin(), accounts_.end(),
                     [](const auto& it) { return it.second.granted() == 0; });
}

bool LedgerSync::Primed() const {
  return std::all_of(settings_.begin(), settings_.end(), [&](const auto& it) {
    return cache_.contains(ShardOf(it.first));
  });
}

std::vector<LedgerEvent> LedgerSync::TakeEvents() {
  return std::exchange(events_, {});
}

const ShardState* LedgerSync::CachedShard(int shard) const {
  auto it = cache_.find(shard);
  return it == cache_.end() ? nullptr : &it->second;
}

}  // namespace quaytrack
