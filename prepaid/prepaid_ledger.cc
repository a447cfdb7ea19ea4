#include "prepaid/prepaid_ledger.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

// Writes from one confirmed state whose ends are unknown. Beyond that, the next
// waits `report_every` and not `retry_after_failure`. Of commit df506c1; not
// measured.
constexpr std::size_t kMostUnconfirmed = 4;

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
  OwnAccount& account = accounts_[customer];
  if (Allowance(now, customer) >= amount) {
    account.held += amount;
    return PrepaidVerdict::kHeld;
  }
  return CanEverHold(customer, limit->second, amount)
             ? PrepaidVerdict::kShort
             : PrepaidVerdict::kExhausted;
}

// Whether the budget could hold the amount if this router had all of it that
// isn't known to be spent. What other routers hold or have not reported may
// come free, so it doesn't count; what is kept in reserve is never granted.
bool PrepaidLedger::CanEverHold(const CustomerName& customer, Tokens limit,
                                Tokens amount) const {
  const OwnAccount& account = AccountOf(accounts_, customer);
  Tokens settled = account.unreported;
  if (confirmed_) {
    const auto entry = confirmed_->record.customers.find(customer);
    if (entry != confirmed_->record.customers.end()) {
      settled += entry->second.settled;
    }
    settled += SpentIn(confirmed_->spend, customer).spent;
  }
  const double grantable = static_cast<double>(limit) * (1 - policy_.reserve);
  const Tokens needed = settled + account.held + amount;
  return static_cast<double>(needed) <= grantable;
}

void PrepaidLedger::Settle(Instant now, const CustomerName& customer,
                           Tokens held, Tokens cost) {
  if (!limits_.contains(customer)) return;
  OwnAccount& account = accounts_[customer];
  account.spending.Add(now, static_cast<double>(cost));
  account.held = std::max<Tokens>(0, account.held - held);
  account.unreported += cost;
}

void PrepaidLedger::SetWaiting(const CustomerName& customer, Tokens amount) {
  accounts_[customer].waiting = amount;
}

bool PrepaidLedger::StillWithheld(Instant now) const {
  return now < stamp_ + policy_.withhold_time;
}

Tokens PrepaidLedger::Allowance(Instant now,
                                const CustomerName& customer) const {
  if (!confirmed_ || fenced_ || left_) return 0;
  const OwnAccount& account = AccountOf(accounts_, customer);
  const bool withheld = StillWithheld(now);
  const auto allowance = [&](const StoreView& view) {
    const Tokens idle = IdleIn(view, self_, customer, account);
    return withheld ? idle - SpentIn(view.spend, customer).withheld : idle;
  };
  Tokens out = allowance(*confirmed_);
  for (const StoreView& it : unconfirmed_) out = std::min(out, allowance(it));
  return out;
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
  if (leaving_ || !joined_) return true;
  const Duration since = now - last_write_;
  for (const auto& [customer, limit] : limits_) {
    if (sizing_.GrantIsDue(now, since, *confirmed_, customer,
                           AccountOf(accounts_, customer))) {
      return true;
    }
    const auto entry = confirmed_->record.customers.find(customer);
    const bool old = entry != confirmed_->record.customers.end() &&
                     entry->second.limit_version < limits_version_ &&
                     entry->second.limit != limit;
    if (old && since >= policy_.spacing) return true;
  }
  return since >= policy_.record_transfers_every && HasUnrecordedTransfers();
}

bool PrepaidLedger::ReportIsDue(Instant now) const {
  const Duration since = now - last_write_;
  bool unreported = false;
  for (const auto& [customer, limit] : limits_) {
    const OwnAccount& account = AccountOf(accounts_, customer);
    unreported = unreported || account.unreported > 0;
    const Tokens withheld = SpentIn(confirmed_->spend, customer).withheld;
    if (withheld <= 0 || !StillWithheld(now)) continue;
    if (sizing_.ReleaseIsDue(now, since, *confirmed_, customer, account,
                             Allowance(now, customer))) {
      return true;
    }
  }
  return unreported && since >= policy_.report_every;
}

bool PrepaidLedger::MayWrite(Instant now) const {
  const bool blocked = !keeps_grants_ || in_flight_ || needs_read_ || left_ ||
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
  StoreView next = *confirmed_;
  next.spend.sequence = ++sequence_;
  next.spend.stamp_ms = StampMs(now);
  next.spend.boot = identity_.boot;
  ReportSpending(accounts_, next);
  PrepaidWrite out;
  if (changes_record) ChangeRecord(now, next, out);
  Withhold(now, next);
  if (leaving_) next.record.ChargeAndRemove(self_, nullptr);
  out.leaves = leaving_;
  out.expected_spend = next.spend_revision;
  out.spend = next.spend;
  out.changes_record = changes_record;
  out.expected_record = next.revision;
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
    write.removes[it] = stored.revision;
  }
  next.record.members.insert(self_);
  ApplyLimits(limits_version_, limits_, next.record);
  RecordTransfers(self_, accounts_, next.record);
  MergeSpending(self_, next);
  ResizeGrants(now, next);
}

void PrepaidLedger::ResizeGrants(Instant now, StoreView& view) const {
  for (const auto& [customer, limit] : limits_) {
    PrepaidEntry& entry = view.record.customers[customer];
    const OwnAccount& account = AccountOf(accounts_, customer);
    const Tokens idle = IdleIn(view, self_, customer, account);
    const Tokens change =
        leaving_ ? -std::max<Tokens>(0, idle)
                 : sizing_.GrantChange(now, view, customer, account);
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

// What a dead member was charged is no rate of spending.
void PrepaidLedger::MeasureSettling(Instant now, const PrepaidRecord& next) {
  if (!confirmed_) return;
  const PrepaidRecord& last = confirmed_->record;
  const bool all_stay = std::includes(next.members.begin(), next.members.end(),
                                      last.members.begin(), last.members.end());
  if (!all_stay) return;
  for (const auto& [customer, entry] : next.customers) {
    const auto before = last.customers.find(customer);
    if (before == last.customers.end()) continue;
    const Tokens settled = entry.settled - before->second.settled;
    if (settled <= 0) continue;
    accounts_[customer].settling.Add(now, static_cast<double>(settled));
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
  // A report says nothing about the record.
  const bool newer = !confirmed_ || view.revision != confirmed_->revision;
  if (newer) record_seen_ = now;
  confirmed_ = std::move(view);
  unconfirmed_.clear();
}

void PrepaidLedger::ReplaceRecord(Instant now, std::int64_t revision,
                                  PrepaidRecord record) {
  MeasureSettling(now, record);
  record_seen_ = now;
  confirmed_->revision = revision;
  confirmed_->record = std::move(record);
}

bool PrepaidLedger::NeedsRead(Instant now) const {
  if (confirmed_ && !keeps_grants_) return false;
  if (needs_read_ || !confirmed_) return !in_flight_;
  if (in_flight_ || now < not_before_) return false;
  const Duration age = now - record_seen_;
  const auto members = static_cast<int>(confirmed_->record.members.size());
  const Duration refresh = std::max<Duration>(
      policy_.refresh_every, policy_.refresh_per_member * members);
  if (age >= refresh) return true;
  if (age < policy_.refresh_waiting) return false;
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& it) {
    const auto& [customer, account] = it;
    return account.waiting > Allowance(now, customer);
  });
}

void PrepaidLedger::OnPeerSeen(const Incarnation& peer) {
  if (confirmed_ && joined_ && !confirmed_->record.HasMember(peer)) {
    needs_read_ = true;
  }
}

void PrepaidLedger::OnRead(Instant now, const PrepaidState& state) {
  needs_read_ = false;
  record_seen_ = now;
  StoreView next;
  next.revision = state.revision;
  next.record = state.record;
  predecessors_ = state.spends;
  for (const Incarnation& it : state.record.members) {
    if (VmOf(it) == VmOf(self_)) keeps_grants_ = true;
  }
  const auto self = state.spends.find(self_);
  if (self != state.spends.end()) {
    next.spend_revision = self->second.revision;
    next.spend = self->second.spend;
    predecessors_.erase(self_);
  }
  // The account is as it was, so what was tried may still be done, or has been
  // done since the account was read.
  const bool same =
      confirmed_ && next.spend_revision == confirmed_->spend_revision;
  if (same) {
    return ReplaceRecord(now, next.revision, std::move(next.record));
  }
  for (StoreView& it : unconfirmed_) {
    if (it.spend.sequence == next.spend.sequence) next.reported = it.reported;
  }
  Confirm(now, std::move(next));
}

void PrepaidLedger::OnNewerRecord(Instant now, std::int64_t revision,
                                  const PrepaidRecord& record) {
  if (!confirmed_) return;
  ReplaceRecord(now, revision, record);
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
      applied.spend_revision = revision;
      if (last_changed_record_) {
        applied.revision = revision;
        predecessors_.clear();
      }
      return Confirm(now, std::move(applied));
    }
    case PrepaidOutcome::kRejected:
      // The caller passes on the record that it was shown, or reads it; the
      // write is due again at once, or others would always be first.
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
      if (unconfirmed_.size() > kMostUnconfirmed) {
        // Kept: each of them may still be applied.
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
  // A receiver that the record doesn't show could not be told from a dead one
  // when the transfer is recorded.
  if (!confirmed_->record.HasMember(receiver)) return std::nullopt;
  const Tokens idle = Allowance(now, customer);
  const Tokens most = all ? idle : idle / 2;
  const Tokens transferred = std::min(most, amount);
  if (transferred <= 0) return std::nullopt;
  Tokens& total = accounts_[customer].transferred_out[receiver];
  total += transferred;
  return total;
}

void PrepaidLedger::OnTransfer(const CustomerName& customer,
                               const Incarnation& giver, Tokens total) {
  if (left_ || leaving_) return;
  Tokens& known = accounts_[customer].transferred_in[giver];
  known = std::max(known, total);
}

}  // namespace quaytrack
