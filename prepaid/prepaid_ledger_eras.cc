// The part of PrepaidLedger that is about a store that was restored from an
// older copy of itself, in a later era.

#include <algorithm>
#include <set>
#include <utility>

#include "prepaid/prepaid_ledger.h"
#include "prepaid/record_merge.h"

namespace quaytrack {

void PrepaidLedger::OnStoreEra(std::int64_t era) {
  if (era <= store_era_) return;
  store_era_ = era;
  needs_read_ = true;
}

bool PrepaidLedger::AwaitsDeclarations(Instant now,
                                       const PrepaidRecord& record) const {
  if (later_era_state_) return true;
  if (declared_at_ && now < *declared_at_ + policy_.post_declaration_wait)
    return true;
  if (record.undeclared.empty()) return false;
  return now < undeclared_since_ + policy_.declaration_timeout;
}

void PrepaidLedger::TrackUndeclared(Instant now) {
  const PrepaidRecord& record = confirmed_->record;
  if (record.undeclared.empty() || undeclared_era_ == record.era) return;
  undeclared_since_ = now;
  undeclared_era_ = record.era;
}

// Stores `state` for a declaration if its era is later than the confirmed one,
// or if no router has restored the record in its era yet. Returns whether its
// era is later than the confirmed one.
bool PrepaidLedger::OnReadOfLaterEra(Instant now, const PrepaidState& state) {
  const bool later = confirmed_ && confirmed_->era < state.era;
  const bool unrestored = state.record.era != 0 && state.record.era < state.era;
  if (!later && !unrestored) {
    later_era_state_.reset();
    return false;
  }
  later_era_state_ = state;
  if (!later) return false;
  if (state.record.era == state.era && state.record.IsGone(self_)) {
    fenced_ = true;
  }
  // If the restored copy shows an unanswered write of the earlier era, the
  // write was applied.
  const auto self = state.spends.find(self_);
  if (self == state.spends.end()) return true;
  for (const StoreView& it : unconfirmed_) {
    const bool done = it.spend.sequence == self->second.spend.sequence;
    if (!done || it.era == state.era) continue;
    StoreView view = it;
    // Other routers may have written since this view was made.
    MergeRecord(confirmed_->record, view.record);
    Confirm(now, std::move(view));
    return true;
  }
  return true;
}

// Returns the store's restored state, merged with what this router knows.
StoreView PrepaidLedger::DeclaredView(PrepaidWrite& write) const {
  StoreView out;
  out.era = later_era_state_->era;
  out.record = later_era_state_->record;
  out.record_key = {later_era_state_->key_era, later_era_state_->revision};
  MergeRecord(confirmed_->record, out.record);
  if (later_era_state_->record.era < later_era_state_->era) {
    if (later_era_state_->revision != 0) write.earlier_record = out.record_key;
    out.record_key = {later_era_state_->era, 0};
    out.record.era = later_era_state_->era;
    out.record.undeclared = out.record.members;
  }
  AwaitPeers(out.record);
  out.spend_key = {later_era_state_->era, 0};
  const auto self = later_era_state_->spends.find(self_);
  if (self != later_era_state_->spends.end()) {
    const KeyRevision at{self->second.key_era, self->second.revision};
    if (at.key_era == later_era_state_->era) {
      out.spend_key = at;
    } else {
      write.earlier_spend = at;
    }
  }
  DeclareSelf(out);
  return out;
}

void PrepaidLedger::OnDeclared(Instant now) {
  later_era_state_.reset();
  declared_at_ = now;
}

// Adds the peers that `record` doesn't show, as undeclared members: they may
// have joined after the store's copy was taken.
void PrepaidLedger::AwaitPeers(PrepaidRecord& record) const {
  for (const auto& [vm, it] : peers_) {
    if (record.IsKnown(it)) continue;
    record.members.insert(it);
    record.undeclared.insert(it);
  }
}

// Sets this router's contribution to what it has reported as spent, and its
// grant to what it may still spend in every state that the store may have been
// in.
void PrepaidLedger::DeclareSelf(StoreView& view) const {
  std::set<CustomerName> customers;
  for (const auto& [it, entry] : confirmed_->record.customers) {
    customers.insert(it);
  }
  for (const auto& [it, account] : accounts_) customers.insert(it);
  for (const CustomerName& it : customers) {
    PrepaidEntry& entry = view.record.customers[it];
    Tokens& contributed = entry.contributed[self_];
    const Tokens spent = SpentIn(confirmed_->spend, it).spent +
                         ContributedIn(confirmed_->record, it, self_);
    entry.settled += spent - contributed;
    contributed = spent;
    entry.grants[self_] = 0;
    const LocalAccount& account = AccountOf(accounts_, it);
    entry.grants[self_] = MinIdle(it) - IdleIn(view, self_, it, account);
  }
}

// Whether the view shows an unanswered declaration, which was thus applied.
bool PrepaidLedger::IsDeclared(const StoreView& view) const {
  return std::any_of(
      unconfirmed_.begin(), unconfirmed_.end(), [&](const StoreView& it) {
        return it.era == view.era && it.spend.sequence == view.spend.sequence;
      });
}

}  // namespace quaytrack
