#include "prepaid/prepaid_ledger.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

// A part is topped up when it is under half of its target, and cut when it is
// over one and a half times, so that steady spending causes few writes.
constexpr double kLowWater = 0.5;
constexpr double kHighWater = 1.5;
// Writes of one base whose ends are unknown; more are not tried until a read
// shows the record.
constexpr std::size_t kMostAttempts = 4;

Tokens FindOr0(const std::map<Incarnation, Tokens>& map, const Incarnation& k) {
  const auto it = map.find(k);
  return it == map.end() ? 0 : it->second;
}

// The steady clock as the record keeps it.
std::int64_t Milliseconds(Instant it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             it.time_since_epoch())
      .count();
}

PrepaidSpent SpentIn(const PrepaidSpend& spend, const CustomerName& customer) {
  const auto it = spend.customers.find(customer);
  return it == spend.customers.end() ? PrepaidSpent() : it->second;
}

Tokens Known(const PrepaidEntry& entry, const TransferPair& pair) {
  const auto it = entry.transferred.find(pair);
  return it == entry.transferred.end() ? 0 : it->second;
}

}  // namespace

PrepaidLedger::PrepaidLedger(Identity identity, PrepaidPolicy policy)
    : identity_(std::move(identity)), self_(identity_.self), policy_(policy) {}

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
  Account& account = accounts_[customer];
  if (Allowance(now, customer) >= amount) {
    account.held += amount;
    return PrepaidVerdict::kHeld;
  }
  Tokens settled = account.unreported;
  if (base_) {
    const auto entry = base_->record.customers.find(customer);
    if (entry != base_->record.customers.end()) {
      settled += entry->second.settled;
    }
    settled += SpentIn(base_->spend, customer).spent;
  }
  // What is kept in reserve is never granted.
  const double grantable =
      static_cast<double>(limit->second) * (1 - policy_.reserve);
  const Tokens needed = settled + account.held + amount;
  const bool hopeless = static_cast<double>(needed) > grantable;
  return hopeless ? PrepaidVerdict::kExhausted : PrepaidVerdict::kShort;
}

void PrepaidLedger::Settle(Instant now, const CustomerName& customer,
                           Tokens held, Tokens cost) {
  if (!limits_.contains(customer)) return;
  Account& account = accounts_[customer];
  account.spending.Add(now, static_cast<double>(cost));
  account.held = std::max<Tokens>(0, account.held - held);
  account.unreported += cost;
}

void PrepaidLedger::SetWaiting(const CustomerName& customer, Tokens amount) {
  accounts_[customer].waiting = amount;
}

Tokens PrepaidLedger::IdleIn(const View& view, const CustomerName& customer,
                             const Account& account) const {
  const auto entry = view.record.customers.find(customer);
  if (entry == view.record.customers.end()) return 0;
  const auto reported = view.reported.find(customer);
  Tokens out = FindOr0(entry->second.grants, self_) - account.unreported -
               SpentIn(view.spend, customer).spent;
  if (reported != view.reported.end()) out += reported->second;
  for (const auto& [giver, total] : account.transferred_in) {
    const Tokens known = Known(entry->second, {giver, self_});
    out += std::max<Tokens>(0, total - known);
  }
  for (const auto& [receiver, total] : account.transferred_out) {
    const Tokens known = Known(entry->second, {self_, receiver});
    out -= std::max<Tokens>(0, total - known);
  }
  return out - account.held;
}

const PrepaidLedger::Account& PrepaidLedger::AccountOf(
    const CustomerName& customer) const {
  static const Account kNothing;
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? kNothing : it->second;
}

bool PrepaidLedger::StillWithheld(Instant now) const {
  return now < stamp_ + policy_.withhold_time;
}

Tokens PrepaidLedger::Allowance(Instant now,
                                const CustomerName& customer) const {
  if (!base_ || fenced_ || left_) return 0;
  const Account& account = AccountOf(customer);
  const bool withheld = StillWithheld(now);
  const auto allowance = [&](const View& view) {
    const Tokens idle = IdleIn(view, customer, account);
    return withheld ? idle - SpentIn(view.spend, customer).withheld : idle;
  };
  Tokens out = allowance(*base_);
  for (const View& it : attempts_) out = std::min(out, allowance(it));
  return out;
}

// --- The record --------------------------------------------------------------

Tokens PrepaidLedger::FreeIn(const PrepaidEntry& entry) const {
  const auto reserve =
      static_cast<Tokens>(static_cast<double>(entry.limit) * policy_.reserve);
  return std::max<Tokens>(0, entry.Free() - reserve);
}

Tokens PrepaidLedger::TargetIn(Instant now, const PrepaidRecord& record,
                               const PrepaidEntry& entry,
                               const Account& account) const {
  const auto remaining =
      static_cast<double>(std::max<Tokens>(0, entry.limit - entry.settled));
  const auto members =
      static_cast<double>(std::max<std::size_t>(1, record.members.size()));
  const double baseline = remaining * policy_.baseline_share / members;
  const double rate = account.spending.PerSecond(now);
  const double headroom = std::min(rate * ToSeconds(policy_.headroom),
                                   remaining * policy_.most_headroom_share);
  return static_cast<Tokens>(std::max(baseline, headroom));
}

// The grant itself is too small or too large; a withheld part that leaves too
// little to be spent needs only a report.
bool PrepaidLedger::GrantIsDue(Instant now,
                               const CustomerName& customer) const {
  const auto found = base_->record.customers.find(customer);
  if (found == base_->record.customers.end()) return true;
  const PrepaidEntry& entry = found->second;
  const Account& account = AccountOf(customer);
  const auto target =
      static_cast<double>(TargetIn(now, base_->record, entry, account));
  const auto idle = static_cast<double>(IdleIn(*base_, customer, account));
  const auto waiting = static_cast<double>(account.waiting);
  const Duration since = now - last_write_;
  if (FreeIn(entry) > 0) {
    if (idle < waiting) return true;
    if (idle < target * kLowWater && since >= policy_.spacing) return true;
  }
  const bool high = idle > target * kHighWater;
  return high && since >= policy_.report_every;
}

bool PrepaidLedger::HasUnrecordedTransfers() const {
  for (const auto& [customer, account] : accounts_) {
    const auto found = base_->record.customers.find(customer);
    if (found == base_->record.customers.end()) continue;
    const PrepaidEntry& entry = found->second;
    for (const auto& [giver, total] : account.transferred_in) {
      if (Known(entry, {giver, self_}) < total) return true;
    }
    for (const auto& [receiver, total] : account.transferred_out) {
      if (Known(entry, {self_, receiver}) < total) return true;
    }
  }
  return false;
}

bool PrepaidLedger::RecordIsDue(Instant now) const {
  if (leaving_ || !joined_) return true;
  const Duration since = now - last_write_;
  for (const auto& [customer, limit] : limits_) {
    if (GrantIsDue(now, customer)) return true;
    const auto entry = base_->record.customers.find(customer);
    const bool old = entry != base_->record.customers.end() &&
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
    const Account& account = AccountOf(customer);
    unreported = unreported || account.unreported > 0;
    const Tokens withheld = SpentIn(base_->spend, customer).withheld;
    if (withheld <= 0 || !StillWithheld(now)) continue;
    const Tokens open = Allowance(now, customer);
    if (open < account.waiting) return true;
    const auto entry = base_->record.customers.find(customer);
    if (entry == base_->record.customers.end()) continue;
    const auto target = static_cast<double>(
        TargetIn(now, base_->record, entry->second, account));
    const bool low = static_cast<double>(open) <
                     target * policy_.spendable_share * kLowWater;
    if (low && since >= policy_.spacing) return true;
  }
  return unreported && since >= policy_.report_every;
}

std::optional<PrepaidWrite> PrepaidLedger::NextWrite(Instant now) {
  const bool blocked = !keeps_grants_ || in_flight_ || needs_read_ || left_ ||
                       fenced_ || now < not_before_ || limits_version_ == 0;
  if (blocked || !base_) return std::nullopt;
  const bool urgent = leaving_ || !joined_;
  if (!urgent && now - last_write_ < policy_.urgent_spacing) {
    return std::nullopt;
  }
  const bool changes_record = RecordIsDue(now);
  if (!changes_record && !ReportIsDue(now)) return std::nullopt;
  View next = *base_;
  next.spend.sequence = ++sequence_;
  next.spend.stamp_ms = Milliseconds(now);
  next.spend.boot = identity_.boot;
  ReportSpending(next);
  PrepaidWrite out;
  if (changes_record) {
    out.charged = ChargePredecessors(next.record);
    for (const auto& [it, stored] : predecessors_) {
      out.removes[it] = stored.revision;
    }
    next.record.members.insert(self_);
    ApplyLimits(next.record);
    RecordTransfers(next.record);
    MergeSpending(next);
    ResizeGrants(now, next);
  }
  Withhold(now, next);
  if (leaving_) next.record.ChargeAndRemove(self_, nullptr);
  out.leaves = leaving_;
  out.expected_spend = next.spend_revision;
  out.spend = next.spend;
  out.changes_record = changes_record;
  out.expected_record = next.revision;
  out.record = next.record;
  attempts_.push_back(std::move(next));
  in_flight_ = true;
  last_changed_record_ = changes_record;
  earlier_write_ = std::exchange(last_write_, now);
  earlier_stamp_ = std::exchange(stamp_, now);
  return out;
}

// Earlier incarnations of this VM are dead: only one runs at a time.
std::vector<ChargedPredecessor> PrepaidLedger::ChargePredecessors(
    PrepaidRecord& record) const {
  std::vector<ChargedPredecessor> out;
  for (const Incarnation& it : record.members) {
    if (it == self_ || VmOf(it) != VmOf(self_)) continue;
    ChargedPredecessor charged;
    charged.dead = it;
    const auto stored = predecessors_.find(it);
    if (stored != predecessors_.end()) {
      const PrepaidSpend& spend = stored->second.spend;
      charged.age_ms = Milliseconds(identity_.started) - spend.stamp_ms;
      const bool same_clock =
          !spend.boot.empty() && spend.boot == identity_.boot;
      const auto age = std::chrono::milliseconds(charged.age_ms);
      charged.withheld_unspent =
          same_clock && charged.age_ms >= 0 && age < policy_.withhold_time;
    }
    out.push_back(charged);
  }
  for (ChargedPredecessor& it : out) {
    const PrepaidSpend* unspent =
        it.withheld_unspent ? &predecessors_.at(it.dead).spend : nullptr;
    it.charged = record.ChargeAndRemove(it.dead, unspent);
  }
  return out;
}

void PrepaidLedger::ApplyLimits(PrepaidRecord& record) const {
  for (const auto& [customer, limit] : limits_) {
    PrepaidEntry& entry = record.customers[customer];
    if (entry.limit_version >= limits_version_) continue;
    entry.limit = limit;
    entry.limit_version = limits_version_;
  }
}

void PrepaidLedger::RecordTransfers(PrepaidRecord& record) const {
  for (const auto& [customer, account] : accounts_) {
    for (const auto& [giver, total] : account.transferred_in) {
      record.RecordTransfer(customer, {giver, self_}, total);
    }
    for (const auto& [receiver, total] : account.transferred_out) {
      record.RecordTransfer(customer, {self_, receiver}, total);
    }
  }
}

void PrepaidLedger::ReportSpending(View& view) const {
  view.reported.clear();
  for (const auto& [customer, account] : accounts_) {
    if (account.unreported == 0) continue;
    view.spend.customers[customer].spent += account.unreported;
    view.reported[customer] = account.unreported;
  }
}

// From the account into the record, where it is settled and off the grant.
void PrepaidLedger::MergeSpending(View& view) const {
  for (auto& [customer, it] : view.spend.customers) {
    if (it.spent == 0) continue;
    PrepaidEntry& entry = view.record.customers[customer];
    entry.grants[self_] -= it.spent;
    entry.settled += it.spent;
    it.spent = 0;
  }
}

// Brings each part near its target. What is held stays granted.
void PrepaidLedger::ResizeGrants(Instant now, View& view) const {
  for (const auto& [customer, limit] : limits_) {
    PrepaidEntry& entry = view.record.customers[customer];
    const Account& account = AccountOf(customer);
    const Tokens idle = IdleIn(view, customer, account);
    const auto target = TargetIn(now, view.record, entry, account);
    const auto low = static_cast<double>(target) * kLowWater;
    const auto high = static_cast<double>(target) * kHighWater;
    Tokens change = 0;
    if (static_cast<double>(idle - account.waiting) < low) {
      const Tokens wish = target + account.waiting - idle;
      change = std::min(wish, FreeIn(entry));
    } else if (static_cast<double>(idle) > high) {
      change = target - idle;
    }
    // A limit that was lowered under use takes back what is idle.
    if (entry.Free() < 0) change = -std::clamp<Tokens>(idle, 0, -entry.Free());
    if (leaving_) change = -std::max<Tokens>(0, idle);
    if (change != 0) entry.grants[self_] += change;
  }
}

// Leaves what waits and a share of the target to be spent, and withholds the
// rest.
void PrepaidLedger::Withhold(Instant now, View& view) const {
  for (const auto& [customer, limit] : limits_) {
    const auto found = view.record.customers.find(customer);
    if (found == view.record.customers.end()) continue;
    const PrepaidEntry& entry = found->second;
    const Account& account = AccountOf(customer);
    const auto target =
        static_cast<double>(TargetIn(now, view.record, entry, account));
    const auto open = static_cast<Tokens>(target * policy_.spendable_share);
    const Tokens spare =
        IdleIn(view, customer, account) - account.waiting - open;
    const Tokens grant = FindOr0(entry.grants, self_);
    PrepaidSpent& it = view.spend.customers[customer];
    it.withheld = std::clamp<Tokens>(spare, 0, std::max<Tokens>(0, grant));
  }
}

void PrepaidLedger::Adopt(Instant now, View view) {
  for (const auto& [customer, amount] : view.reported) {
    accounts_[customer].unreported -= amount;
  }
  view.reported.clear();
  const bool member = view.record.HasMember(self_);
  if (joined_ && !member && !leaving_) fenced_ = true;
  if (leaving_ && joined_ && !member) left_ = true;
  joined_ = joined_ || member;
  // A report says nothing about the record.
  const bool newer = !base_ || view.revision != base_->revision;
  if (newer) record_seen_ = now;
  base_ = std::move(view);
  attempts_.clear();
}

bool PrepaidLedger::NeedsRead(Instant now) const {
  if (base_ && !keeps_grants_) return false;
  if (needs_read_ || !base_) return !in_flight_;
  if (in_flight_ || now < not_before_) return false;
  const Duration age = now - record_seen_;
  const auto members = static_cast<int>(base_->record.members.size());
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
  if (base_ && joined_ && !base_->record.HasMember(peer)) needs_read_ = true;
}

void PrepaidLedger::OnRead(Instant now, const PrepaidState& state) {
  needs_read_ = false;
  record_seen_ = now;
  View next;
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
  const bool same = base_ && next.spend_revision == base_->spend_revision;
  if (same) {
    base_->revision = next.revision;
    base_->record = std::move(next.record);
    return;
  }
  for (View& it : attempts_) {
    if (it.spend.sequence == next.spend.sequence) next.reported = it.reported;
  }
  Adopt(now, std::move(next));
}

void PrepaidLedger::OnNewerRecord(Instant now, std::int64_t revision,
                                  const PrepaidRecord& record) {
  if (!base_) return;
  record_seen_ = now;
  base_->revision = revision;
  base_->record = record;
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
      View applied = std::move(attempts_.back());
      applied.spend_revision = revision;
      if (last_changed_record_) {
        applied.revision = revision;
        predecessors_.clear();
      }
      return Adopt(now, std::move(applied));
    }
    case PrepaidOutcome::kRejected:
      // The caller passes on the record that it was shown, or reads it; the
      // write is due again at once, or others would always be first.
      attempts_.pop_back();
      stamp_ = earlier_stamp_;
      last_write_ = earlier_write_;
      needs_read_ = true;
      return;
    case PrepaidOutcome::kRefused:
      attempts_.pop_back();
      stamp_ = earlier_stamp_;
      not_before_ = now + policy_.retry_after_failure;
      return;
    case PrepaidOutcome::kUnknown:
      needs_read_ = true;
      not_before_ = now + policy_.retry_after_failure;
      if (attempts_.size() > kMostAttempts) {
        // Kept: each of them may still be applied.
        not_before_ = now + policy_.report_every;
      }
      return;
  }
}

// --- Moves -------------------------------------------------------------------

std::optional<Tokens> PrepaidLedger::TransferOut(Instant now,
                                                 const CustomerName& customer,
                                                 const Incarnation& receiver,
                                                 Tokens amount, bool all) {
  if (leaving_ || !joined_ || !limits_.contains(customer)) return std::nullopt;
  // A receiver that the record doesn't show could not be told from a dead one
  // when the transfer is recorded.
  if (!base_->record.HasMember(receiver)) return std::nullopt;
  const Tokens idle = Allowance(now, customer);
  const Tokens most = all ? idle : idle / 2;
  const Tokens given = std::min(most, amount);
  if (given <= 0) return std::nullopt;
  Tokens& total = accounts_[customer].transferred_out[receiver];
  total += given;
  return total;
}

void PrepaidLedger::OnTransfer(const CustomerName& customer,
                               const Incarnation& giver, Tokens total) {
  if (left_ || leaving_) return;
  Tokens& known = accounts_[customer].transferred_in[giver];
  known = std::max(known, total);
}

}  // namespace quaytrack
