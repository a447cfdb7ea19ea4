#include "prepaid/prepaid_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace quaytrack {
namespace {

// Number of unanswered writes from one confirmed state beyond which the next
// write waits for `report_every` instead of `retry_after_failure`.
constexpr std::size_t kMaxUnconfirmed = 4;

}  // namespace

PrepaidLedger::PrepaidLedger(Identity identity, PrepaidPolicy policy)
    : identity_(std::move(identity)),
      self_(identity_.self),
      policy_(policy),
      sizing_(self_, policy) {}

void PrepaidLedger::SetLimits(std::uint64_t version,
                              const std::vector<PrepaidLimit>& limits) {
  if (version <= limits_version_) return;
  limits_version_ = version;
  limits_.clear();
  for (const PrepaidLimit& it : limits) limits_[it.customer] = it.limit;
}

// --- Spending ----------------------------------------------------------------

PrepaidVerdict PrepaidLedger::Hold(Instant now, const CustomerName& customer,
                                   Tokens amount) {
  const auto limit = limits_.find(customer);
  if (limit == limits_.end()) return PrepaidVerdict::kHeld;
  LocalAccount& account = accounts_[customer];
  if (Allowance(now, customer) >= amount) {
    account.held += amount;
    return PrepaidVerdict::kHeld;
  }
  return VerdictBeyondGrant(customer, limit->second, amount);
}

// Whether this router could hold `amount` if it had all of the budget that
// isn't settled, and if not, whether that is proven to be spent. What other
// routers hold, also in advance, or haven't reported may become available
// again, so it doesn't count as spent. The reserve is never granted.
PrepaidVerdict PrepaidLedger::VerdictBeyondGrant(const CustomerName& customer,
                                                 Tokens limit,
                                                 Tokens amount) const {
  const LocalAccount& account = AccountOf(accounts_, customer);
  Tokens settled = account.unreported;
  Tokens presumed = 0;
  if (confirmed_) {
    const auto entry = confirmed_->record.customers.find(customer);
    if (entry != confirmed_->record.customers.end()) {
      settled += entry->second.settled;
      presumed = entry->second.settled - entry->second.ProvenSpent();
    }
    settled += SpentIn(confirmed_->spend, customer).spent;
  }
  const double grantable = static_cast<double>(limit) * (1 - policy_.reserve);
  const Tokens needed = settled + account.held - account.advanced + amount;
  if (static_cast<double>(needed) <= grantable) return PrepaidVerdict::kShort;
  return static_cast<double>(needed - presumed) <= grantable
             ? PrepaidVerdict::kCharged
             : PrepaidVerdict::kExhausted;
}

void PrepaidLedger::Settle(Instant now, const CustomerName& customer,
                           Tokens held, Tokens cost) {
  if (!limits_.contains(customer)) return;
  LocalAccount& account = accounts_[customer];
  account.spending.Add(now, static_cast<double>(cost));
  account.held = std::max<Tokens>(0, account.held - held);
  account.unreported += cost;
}

void PrepaidLedger::SetWaiting(const CustomerName& customer, Tokens amount) {
  accounts_[customer].waiting = amount;
}

bool PrepaidLedger::IsWithheld(Instant now) const {
  return now < stamp_ + policy_.withhold_time;
}

Tokens PrepaidLedger::MinIdle(const CustomerName& customer) const {
  const LocalAccount& account = AccountOf(accounts_, customer);
  Tokens out = IdleIn(*confirmed_, self_, customer, account);
  for (const StoreView& it : unconfirmed_) {
    out = std::min(out, IdleIn(it, self_, customer, account));
  }
  return out;
}

Tokens PrepaidLedger::Allowance(Instant now,
                                const CustomerName& customer) const {
  if (!confirmed_ || fenced_ || left_) return 0;
  const LocalAccount& account = AccountOf(accounts_, customer);
  const bool withheld = IsWithheld(now);
  const auto allowance = [&](const StoreView& view) {
    const Tokens idle = IdleIn(view, self_, customer, account);
    return withheld ? idle - SpentIn(view.spend, customer).withheld : idle;
  };
  Tokens out = allowance(*confirmed_);
  for (const StoreView& it : unconfirmed_) out = std::min(out, allowance(it));
  return out;
}

std::optional<BudgetReach> PrepaidLedger::Reach(Instant now,
                                                const CustomerName& customer,
                                                bool store_answers) const {
  if (!confirmed_ || fenced_ || left_) return std::nullopt;
  BudgetReach out;
  out.tokens = std::max<Tokens>(0, MinIdle(customer));
  if (!store_answers) return out;
  out.tokens += static_cast<Tokens>(static_cast<double>(Ungranted(customer)) *
                                    ShareOfUngranted(now, customer));
  out.next_read = std::max<Duration>(Duration::zero(),
                                     record_confirmed_at_ + RefreshAge() - now);
  return out;
}

// What the record still has to grant. A limit that the record doesn't show yet
// counts, as the next write sets it.
Tokens PrepaidLedger::Ungranted(const CustomerName& customer) const {
  const auto limit = limits_.find(customer);
  if (limit == limits_.end()) return 0;
  PrepaidEntry entry;
  const auto found = confirmed_->record.customers.find(customer);
  if (found != confirmed_->record.customers.end()) entry = found->second;
  if (entry.limit_version <= limits_version_) entry.limit = limit->second;
  const auto reserve =
      static_cast<Tokens>(static_cast<double>(entry.limit) * policy_.reserve);
  return std::max<Tokens>(0, entry.Free() - reserve);
}

// This router's part of what all routers spend, but at least an equal share. A
// router that most of a customer's requests reach can get most of what isn't
// granted; with an equal share its budget would look scarce too early. The
// settled spending lags behind, so the part may be too large at first, and
// nothing is refused too early.
double PrepaidLedger::ShareOfUngranted(Instant now,
                                       const CustomerName& customer) const {
  const std::size_t members =
      std::max<std::size_t>(1, confirmed_->record.members.size());
  const double equal = 1 / static_cast<double>(members);
  const LocalAccount& account = AccountOf(accounts_, customer);
  const double own = account.spending.PerSecond(now);
  const double all = std::max(own, account.settling.PerSecond(now));
  return all > 0 ? std::max(equal, own / all) : equal;
}

Tokens PrepaidLedger::MostWithoutOthers(const CustomerName& customer) const {
  if (!confirmed_) return std::numeric_limits<Tokens>::max();
  const LocalAccount& account = AccountOf(accounts_, customer);
  Tokens idle = IdleIn(*confirmed_, self_, customer, account);
  for (const StoreView& it : unconfirmed_) {
    idle = std::max(idle, IdleIn(it, self_, customer, account));
  }
  return idle + account.held;
}

// --- When to write -----------------------------------------------------------

bool PrepaidLedger::HasUnrecordedTransfers() const {
  for (const auto& [customer, account] : accounts_) {
    const auto found = confirmed_->record.customers.find(customer);
    if (found == confirmed_->record.customers.end()) continue;
    const PrepaidEntry& entry = found->second;
    for (const auto& [giver, total] : account.transferred_in) {
      if (RecordedIn(entry, {giver, self_}) < total) return true;
    }
    for (const auto& [receiver, total] : account.transferred_out) {
      if (RecordedIn(entry, {self_, receiver}) < total) return true;
    }
  }
  return false;
}

bool PrepaidLedger::RecordIsDue(Instant now) const {
  if (leaving_ || !joined_ || later_era_state_) return true;
  const Duration since = now - last_write_;
  const bool waits = AwaitsDeclarations(now, confirmed_->record);
  for (const auto& [customer, limit] : limits_) {
    if (!waits && sizing_.GrantIsDue(now, since, *confirmed_, customer,
                                     AccountOf(accounts_, customer))) {
      return true;
    }
    const auto entry = confirmed_->record.customers.find(customer);
    const bool outdated = entry != confirmed_->record.customers.end() &&
                          entry->second.limit_version < limits_version_ &&
                          entry->second.limit != limit;
    if (outdated && since >= policy_.spacing) return true;
  }
  return since >= policy_.record_transfers_every && HasUnrecordedTransfers();
}

bool PrepaidLedger::ReportIsDue(Instant now) const {
  const Duration since = now - last_write_;
  bool unreported = false;
  for (const auto& [customer, limit] : limits_) {
    const LocalAccount& account = AccountOf(accounts_, customer);
    unreported = unreported || account.unreported > 0;
    const Tokens withheld = SpentIn(confirmed_->spend, customer).withheld;
    if (withheld <= 0 || !IsWithheld(now)) continue;
    if (sizing_.ReleaseIsDue(now, since, *confirmed_, customer, account,
                             Allowance(now, customer))) {
      return true;
    }
  }
  return unreported && since >= policy_.report_every;
}

bool PrepaidLedger::MayWrite(Instant now) const {
  const bool blocked = !is_holder_ || in_flight_ || needs_read_ || left_ ||
                       fenced_ || now < not_before_ || limits_version_ == 0;
  if (blocked || !confirmed_) return false;
  const bool urgent = leaving_ || !joined_;
  return urgent || now - last_write_ >= policy_.urgent_spacing;
}

// --- What to write -----------------------------------------------------------

std::optional<PrepaidWrite> PrepaidLedger::NextWrite(Instant now) {
  if (!MayWrite(now)) return std::nullopt;
  const bool changes_record = RecordIsDue(now);
  if (!changes_record && !ReportIsDue(now)) return std::nullopt;
  PrepaidWrite out;
  out.declares = later_era_state_.has_value();
  StoreView next = out.declares ? DeclaredView(out) : *confirmed_;
  next.spend.sequence = ++sequence_;
  next.spend.stamp_ms = StampMs(now);
  next.spend.boot = identity_.boot;
  next.spend.era = next.era;
  ReportSpending(accounts_, next);
  if (changes_record) ChangeRecord(now, next, out);
  Withhold(now, next);
  if (leaving_) next.record.ChargeAndRemove(self_, nullptr);
  out.leaves = leaving_;
  out.era = next.era;
  out.expected_spend = next.spend_key;
  out.spend = next.spend;
  out.changes_record = changes_record;
  out.expected_record = next.record_key;
  out.record = next.record;
  unconfirmed_.push_back(std::move(next));
  in_flight_ = true;
  last_changed_record_ = changes_record;
  earlier_write_ = std::exchange(last_write_, now);
  earlier_stamp_ = std::exchange(stamp_, now);
  return out;
}

void PrepaidLedger::ChangeRecord(Instant now, StoreView& next,
                                 PrepaidWrite& write) const {
  write.charged = ChargePredecessors(identity_, predecessors_,
                                     policy_.withhold_time, next.record);
  for (const auto& [it, stored] : predecessors_) {
    write.removes[it] = {stored.key_era, stored.revision};
  }
  next.record.members.insert(self_);
  next.record.undeclared.erase(self_);
  next.record.writes[self_] = next.spend.sequence;
  if (next.record.era == 0) next.record.era = next.era;
  if (!AwaitsDeclarations(now, next.record)) next.record.undeclared.clear();
  ApplyLimits(limits_version_, limits_, next.record);
  RecordTransfers(self_, accounts_, next.record);
  MergeSpending(self_, next);
  RecordRates(now, next.record);
  ResizeGrants(now, next);
}

// Routers that start later size their grants by these rates.
void PrepaidLedger::RecordRates(Instant now, PrepaidRecord& record) const {
  for (auto& [customer, entry] : record.customers) {
    const LocalAccount& account = AccountOf(accounts_, customer);
    if (!account.KnowsSettling(now)) continue;
    entry.spent_per_s = std::max<Tokens>(
        1, static_cast<Tokens>(account.settling.PerSecond(now)));
  }
}

void PrepaidLedger::ResizeGrants(Instant now, StoreView& view) const {
  for (const auto& [customer, limit] : limits_) {
    PrepaidEntry& entry = view.record.customers[customer];
    const LocalAccount& account = AccountOf(accounts_, customer);
    const Tokens idle = IdleIn(view, self_, customer, account);
    const Tokens change =
        leaving_ ? -std::max<Tokens>(0, idle)
                 : sizing_.GrantChange(now, view, customer, account);
    if (change > 0 && AwaitsDeclarations(now, view.record)) continue;
    if (change != 0) entry.grants[self_] += change;
  }
}

void PrepaidLedger::Withhold(Instant now, StoreView& view) const {
  for (const auto& [customer, limit] : limits_) {
    if (!view.record.customers.contains(customer)) continue;
    view.spend.customers[customer].withheld =
        sizing_.ToWithhold(now, view, customer, AccountOf(accounts_, customer));
  }
}

// --- What the store has ------------------------------------------------------

// Adds newly settled tokens to the settling rates, unless a member has gone: it
// may have been charged for a dead router's grant, which isn't spending.
void PrepaidLedger::MeasureSettling(Instant now, const PrepaidRecord& next) {
  if (!confirmed_) return;
  const PrepaidRecord& last = confirmed_->record;
  // What a record of a later era shows as settled may be restored spending that
  // was settled before.
  if (last.era != next.era) return;
  const bool all_stay = std::includes(next.members.begin(), next.members.end(),
                                      last.members.begin(), last.members.end());
  if (!all_stay) return;
  for (const auto& [customer, entry] : next.customers) {
    const auto before = last.customers.find(customer);
    if (before == last.customers.end()) continue;
    const Tokens settled = entry.settled - before->second.settled;
    if (settled <= 0) continue;
    LocalAccount& account = accounts_[customer];
    account.settling.Add(now, static_cast<double>(settled));
    if (!account.settling_since) account.settling_since = now;
  }
}

void PrepaidLedger::Confirm(Instant now, StoreView view) {
  MeasureSettling(now, view.record);
  for (const auto& [customer, amount] : view.reported) {
    accounts_[customer].unreported -= amount;
  }
  view.reported.clear();
  const bool member = view.record.HasMember(self_);
  if (joined_ && !member && !leaving_) fenced_ = true;
  if (leaving_ && joined_ && !member) left_ = true;
  joined_ = joined_ || member;
  // A report doesn't write the record, so its answer doesn't show which record
  // the store has.
  const bool newer =
      !confirmed_ || view.era != confirmed_->era ||
      view.record_key.revision != confirmed_->record_key.revision;
  if (newer) record_confirmed_at_ = now;
  confirmed_ = std::move(view);
  unconfirmed_.clear();
  TrackUndeclared(now);
}

void PrepaidLedger::ReplaceRecord(Instant now, KeyRevision at,
                                  PrepaidRecord record) {
  MeasureSettling(now, record);
  record_confirmed_at_ = now;
  confirmed_->record_key = at;
  confirmed_->record = std::move(record);
  TrackUndeclared(now);
}

Duration PrepaidLedger::RefreshAge() const {
  const auto members = static_cast<int>(confirmed_->record.members.size());
  return std::max<Duration>(policy_.refresh_every,
                            policy_.refresh_per_member * members);
}

bool PrepaidLedger::NeedsRead(Instant now) const {
  if (confirmed_ && !is_holder_) return false;
  if (needs_read_ || !confirmed_) return !in_flight_;
  if (in_flight_ || now < not_before_) return false;
  const Duration age = now - record_confirmed_at_;
  if (age >= RefreshAge()) return true;
  if (age < policy_.refresh_waiting) return false;
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& it) {
    const auto& [customer, account] = it;
    return account.waiting > Allowance(now, customer);
  });
}

void PrepaidLedger::OnPeerSeen(const Incarnation& peer) {
  peers_[VmOf(peer)] = peer;
  if (confirmed_ && joined_ && !confirmed_->record.HasMember(peer)) {
    needs_read_ = true;
  }
}

void PrepaidLedger::OnRead(Instant now, const PrepaidState& state) {
  if (state.era < store_era_) return;
  store_era_ = state.era;
  needs_read_ = false;
  record_confirmed_at_ = now;
  StoreView next;
  next.era = state.era;
  next.record_key = {state.key_era, state.revision};
  next.record = state.record;
  predecessors_ = state.spends;
  for (const Incarnation& it : state.record.members) {
    if (VmOf(it) == VmOf(self_)) is_holder_ = true;
  }
  const auto self = state.spends.find(self_);
  if (self != state.spends.end()) {
    next.spend_key = {self->second.key_era, self->second.revision};
    next.spend = self->second.spend;
    predecessors_.erase(self_);
  }
  const bool declares = OnReadOfLaterEra(now, state);
  if (declares && !IsDeclared(next)) return;
  // The account is unchanged, so unanswered writes may still be applied, or
  // were applied after the account was read.
  const bool same_account =
      confirmed_ && next.era == confirmed_->era &&
      next.spend_key.key_era == confirmed_->spend_key.key_era &&
      next.spend_key.revision == confirmed_->spend_key.revision;
  if (same_account) {
    return ReplaceRecord(now, next.record_key, std::move(next.record));
  }
  if (declares) OnDeclared(now);
  for (StoreView& it : unconfirmed_) {
    if (it.spend.sequence == next.spend.sequence) next.reported = it.reported;
  }
  Confirm(now, std::move(next));
}

void PrepaidLedger::OnNewerRecord(Instant now, std::int64_t revision,
                                  const PrepaidRecord& record) {
  if (!confirmed_ || confirmed_->era != store_era_) return;
  ReplaceRecord(now, {confirmed_->record_key.key_era, revision}, record);
  needs_read_ = false;
}

void PrepaidLedger::OnReadFailed(Instant now) {
  not_before_ = now + policy_.retry_after_failure;
}

void PrepaidLedger::OnWritten(Instant now, PrepaidOutcome outcome,
                              std::int64_t revision) {
  in_flight_ = false;
  switch (outcome) {
    case PrepaidOutcome::kApplied: {
      StoreView applied = std::move(unconfirmed_.back());
      applied.spend_key.revision = revision;
      if (last_changed_record_) {
        applied.record_key.revision = revision;
        predecessors_.clear();
      }
      if (later_era_state_) OnDeclared(now);
      return Confirm(now, std::move(applied));
    }
    case PrepaidOutcome::kRejected:
      // The caller calls `OnNewerRecord` with the record that the store
      // returned, or reads the record. The write is due again at once;
      // otherwise other routers would always write first.
      unconfirmed_.pop_back();
      stamp_ = earlier_stamp_;
      last_write_ = earlier_write_;
      needs_read_ = true;
      return;
    case PrepaidOutcome::kRefused:
      unconfirmed_.pop_back();
      stamp_ = earlier_stamp_;
      not_before_ = now + policy_.retry_after_failure;
      return;
    case PrepaidOutcome::kUnknown:
      needs_read_ = true;
      not_before_ = now + policy_.retry_after_failure;
      if (unconfirmed_.size() > kMaxUnconfirmed) {
        // All writes stay in `unconfirmed_`, as each may still be applied.
        not_before_ = now + policy_.report_every;
      }
      return;
  }
}

// --- Transfers ---------------------------------------------------------------

std::optional<Tokens> PrepaidLedger::TransferOut(Instant now,
                                                 const CustomerName& customer,
                                                 const Incarnation& receiver,
                                                 Tokens amount, bool all) {
  if (leaving_ || !joined_ || !limits_.contains(customer)) return std::nullopt;
  // A receiver that the record doesn't show couldn't be distinguished from a
  // dead one when the transfer is recorded.
  if (!confirmed_->record.HasMember(receiver)) return std::nullopt;
  const Tokens idle = Allowance(now, customer);
  const Tokens max_amount = all ? idle : idle / 2;
  const Tokens transferred = std::min(max_amount, amount);
  if (transferred <= 0) return std::nullopt;
  Tokens& total = accounts_[customer].transferred_out[receiver];
  total += transferred;
  return total;
}

void PrepaidLedger::OnTransfer(const CustomerName& customer,
                               const Incarnation& giver, Tokens total) {
  if (left_ || leaving_) return;
  Tokens& recorded_total = accounts_[customer].transferred_in[giver];
  recorded_total = std::max(recorded_total, total);
}

}  // namespace quaytrack
