// PrepaidLedger: one router's share of all prepaid budgets.
//
// Spending is local and immediate; a request waits for the store only if this
// router's grant is too small:
//
//   if (ledger.Hold(now, customer, worst_case) == PrepaidVerdict::kHeld) ...
//   ledger.Settle(now, customer, worst_case, cost);
//
// The caller drives the reads and writes of the store:
//
//   if (ledger.NeedsRead(now)) read the accounts, then the record; OnRead(...);
//   if (auto write = ledger.NextWrite(now)) perform it, then OnWritten(...);
//
// and, when the store is unreachable or has nothing left to grant, the
// transfers between peers:
//
//   total = ledger.TransferOut(now, customer, peer, amount, all);  // the giver
//   ledger.OnTransfer(customer, giver, total);                     // the peer
//
// A write is either a report, which changes only this router's spend account,
// or also changes the record: to join, to take or return grants, to record
// transfers, or to leave.
//
// What may be spent. `Allowance` is the minimum over every state that the store
// may be in: the last confirmed one, and that of each unanswered write. So a
// write that returns tokens counts at once, and one that takes tokens counts
// when it is known to be applied. All writes from one confirmed state compare
// the spend account's revision, so at most one of these writes is applied; the
// account's sequence number shows which.
//
// Restored store. A store that is restored from an older copy, in a later era,
// may lack grants that are being spent, and settled spending. This router's
// allowance doesn't change. The router's next write is a declaration: it merges
// the record that the router knew into the store's record
// (prepaid/record_merge.h), and sets the router's own entries to what it has
// spent and may still spend. Nothing is granted from the record until each
// member has declared itself or is proven dead, or `declaration_timeout` has
// passed; transfers continue meanwhile. Each era has separate keys
// (KeyRevision), so that a delayed write of an earlier era changes nothing.
//
// A grant is never reclaimed just because its holder has been silent (see
// prepaid/prepaid_record.h, Dead members).
//
// Owns this process's counts and the views of the store's state
// (prepaid/store_view.h). Relies on prepaid/grant_sizing.h for how large a
// grant should be, and on prepaid/prepaid_policy.h for every constant but one.
//
// Units: tokens; `Instant` is the machine's steady clock. Errors are values
// (PrepaidOutcome): after kUnknown a write counts as possibly applied until a
// read shows the account. Once a later incarnation has charged this one,
// `Allowance` stays 0 and nothing more is written.

#ifndef QUAYTRACK_PREPAID_PREPAID_LEDGER_H_
#define QUAYTRACK_PREPAID_PREPAID_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"
#include "prepaid/grant_sizing.h"
#include "prepaid/prepaid_policy.h"
#include "prepaid/prepaid_record.h"
#include "prepaid/record_change.h"
#include "prepaid/scarcity.h"
#include "prepaid/store_view.h"

namespace quaytrack {

struct PrepaidLimit {
  CustomerName customer;
  Tokens limit = 0;
};

enum class PrepaidVerdict {
  kHeld,
  kShort,      // this router's grant is too small; the fleet may have enough
  kExhausted,  // the budget is too small
  kCharged,    // the rest was charged for routers that are gone, without proof
               // that it was spent
};

template <>
struct EnumTable<PrepaidVerdict> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PrepaidVerdict>>(
      {{PrepaidVerdict::kHeld, "held"},
       {PrepaidVerdict::kShort, "short"},
       {PrepaidVerdict::kExhausted, "exhausted"},
       {PrepaidVerdict::kCharged, "charged"}});
};

// The part of the store's data that this router needs. The accounts were read
// before the record.
struct PrepaidState {
  // Revision of the record; 0, with an empty record, if there is none.
  std::int64_t revision = 0;
  PrepaidRecord record;
  // The accounts of this router and of earlier incarnations of its VM, as far
  // as they exist.
  std::map<Incarnation, StoredSpend> spends;
  // Era of the record's key (`KeyRevision` in prepaid/store_view.h).
  std::int64_t key_era = 0;
  // The store's era.
  std::int64_t era = 0;
};

// Replaces this router's spend account, and the record if it is to change,
// provided that all revisions are as expected. An expected revision of 0 means
// that the key must not exist.
struct PrepaidWrite {
  // The store's era that the revisions belong to.
  std::int64_t era = 0;
  KeyRevision expected_spend;
  SpendAccount spend;
  // Whether the account is removed instead of being replaced.
  bool leaves = false;
  bool changes_record = false;
  KeyRevision expected_record;
  PrepaidRecord record;
  // Whether the write declares this router's state in a later era of the store.
  bool declares = false;
  // The record and this router's account of an earlier era, to be removed.
  std::optional<KeyRevision> earlier_record;
  std::optional<KeyRevision> earlier_spend;
  // Accounts of earlier incarnations of this VM, to be removed.
  std::map<Incarnation, KeyRevision> removes;
  // Earlier incarnations of this VM whose grants the write charges.
  std::vector<ChargedPredecessor> charged;
};

enum class PrepaidOutcome {
  kApplied,
  kRejected,  // not applied: the record or the account had changed
  kRefused,   // not applied, for another reason
  kUnknown,   // the write may have been applied, or may still be applied
};

class PrepaidLedger {
 public:
  using Identity = PrepaidIdentity;

  PrepaidLedger(Identity identity, PrepaidPolicy policy);

  // Makes this router join the record and get grants. Before this call, the
  // ledger reads the record once and writes nothing, unless the record shows an
  // earlier incarnation of this VM.
  void BecomeHolder() { is_holder_ = true; }
  bool ActsAsHolder() const { return is_holder_; }

  // Sets the budgets of configuration `version`; ignored unless it is newer
  // than the present one. A customer without a budget may spend freely.
  void SetLimits(std::uint64_t version,
                 const std::vector<PrepaidLimit>& limits);

  // Holds `amount` tokens if this router's grant allows it.
  PrepaidVerdict Hold(Instant now, const CustomerName& customer, Tokens amount);
  // Ends a hold of `held` tokens. `cost` is the number of tokens spent, 0 if
  // nothing ran.
  void Settle(Instant now, const CustomerName& customer, Tokens held,
              Tokens cost);
  // Sets the part of the held tokens that other routers hold in advance.
  void SetAdvanced(const CustomerName& customer, Tokens amount) {
    accounts_[customer].advanced = amount;
  }
  bool IsLimited(const CustomerName& customer) const {
    return limits_.contains(customer);
  }
  // Sets the sum of the holds that wait for a larger grant.
  void SetWaiting(const CustomerName& customer, Tokens amount);

  bool NeedsRead(Instant now) const;
  // Notes that another router, `peer`, has grants. The record is read again if
  // it doesn't show `peer` as a member.
  void OnPeerSeen(const Incarnation& peer);
  void OnRead(Instant now, const PrepaidState& state);
  void OnReadFailed(Instant now);
  // Notes the era that the store has reported.
  void OnStoreEra(std::int64_t era);
  std::optional<PrepaidWrite> NextWrite(Instant now);
  void OnWritten(Instant now, PrepaidOutcome outcome, std::int64_t revision);
  // Takes the record that the store returned with kRejected. Call only if the
  // spend account had the expected revision.
  void OnNewerRecord(Instant now, std::int64_t revision,
                     const PrepaidRecord& record);

  // Takes up to `amount` off this router's grant, for a peer. Returns the
  // running total to send to the peer, or std::nullopt if there is nothing to
  // transfer. With `all`, all idle tokens may be transferred; otherwise half of
  // them.
  std::optional<Tokens> TransferOut(Instant now, const CustomerName& customer,
                                    const Incarnation& receiver, Tokens amount,
                                    bool all);
  // Applies a transfer. `total` is the running total of what `giver` has
  // transferred to this router.
  void OnTransfer(const CustomerName& customer, const Incarnation& giver,
                  Tokens total);

  // Returns all idle grants with the next write, which removes this router from
  // the record.
  void StartLeaving() {
    leaving_ = true;
    left_ = left_ || !is_holder_;
  }
  bool HasLeft() const { return left_; }

  // The tokens that this router may hold now.
  Tokens Allowance(Instant now, const CustomerName& customer) const;
  // The tokens that this router can get in a moment: its idle tokens, also the
  // withheld ones, and, if the store answers, its share of what the record
  // hasn't granted. std::nullopt before the record is known, and once this
  // router may spend nothing any more.
  std::optional<BudgetReach> Reach(Instant now, const CustomerName& customer,
                                   bool store_answers) const;
  // The most that this router may hold without a grant from the store or a
  // transfer from a peer: in whichever state the store is, with every hold
  // returned and nothing withheld. The largest amount if that is unknown.
  Tokens MostWithoutOthers(const CustomerName& customer) const;
  // Whether the record no longer shows this router, because a later incarnation
  // of its VM has charged its grants. Then nothing may be spent any more.
  bool Fenced() const { return fenced_; }
  const PrepaidRecord* LatestRecord() const {
    return confirmed_ ? &confirmed_->record : nullptr;
  }

 private:
  bool IsWithheld(Instant now) const;
  Tokens Ungranted(const CustomerName& customer) const;
  double ShareOfUngranted(Instant now, const CustomerName& customer) const;
  // Age at which the record is read again.
  Duration RefreshAge() const;
  // The minimum of the idle tokens over every state that the store may be in.
  Tokens MinIdle(const CustomerName& customer) const;
  // Whether nothing may be granted from the record, as members may still have
  // to declare themselves.
  bool AwaitsDeclarations(Instant now, const PrepaidRecord& record) const;
  void TrackUndeclared(Instant now);
  bool OnReadOfLaterEra(Instant now, const PrepaidState& state);
  bool IsDeclared(const StoreView& view) const;
  StoreView DeclaredView(PrepaidWrite& write) const;
  void AwaitPeers(PrepaidRecord& record) const;
  void DeclareSelf(StoreView& view) const;
  void OnDeclared(Instant now);
  PrepaidVerdict VerdictBeyondGrant(const CustomerName& customer, Tokens limit,
                                    Tokens amount) const;
  void RecordRates(Instant now, PrepaidRecord& record) const;
  bool RecordIsDue(Instant now) const;
  bool ReportIsDue(Instant now) const;
  bool HasUnrecordedTransfers() const;
  bool MayWrite(Instant now) const;
  void ChangeRecord(Instant now, StoreView& next, PrepaidWrite& write) const;
  void ResizeGrants(Instant now, StoreView& view) const;
  void Withhold(Instant now, StoreView& view) const;
  void MeasureSettling(Instant now, const PrepaidRecord& next);
  // Replaces the confirmed record by the store's; this router's account is
  // unchanged.
  void ReplaceRecord(Instant now, KeyRevision at, PrepaidRecord record);
  void Confirm(Instant now, StoreView view);

  Identity identity_;
  Incarnation self_;
  PrepaidPolicy policy_;
  GrantSizing sizing_;
  std::uint64_t limits_version_ = 0;
  std::map<CustomerName, Tokens> limits_;
  LocalAccounts accounts_;
  // The latest known state of the store.
  std::optional<StoreView> confirmed_;
  // The states that the unanswered writes lead to.
  std::vector<StoreView> unconfirmed_;
  // Accounts of earlier incarnations of this VM, to be removed.
  std::map<Incarnation, StoredSpend> predecessors_;
  // The latest era that the store has reported.
  std::int64_t store_era_ = 0;
  // Routers that have grants, as far as they were reported by `OnPeerSeen`.
  std::map<VmName, Incarnation> peers_;
  // What the store has in an era in which this router has yet to declare
  // itself. Stays set until a declaration is known to be applied.
  std::optional<PrepaidState> later_era_state_;
  // When this router last declared itself.
  std::optional<Instant> declared_at_;
  // When undeclared members were first seen, and in which era.
  Instant undeclared_since_{};
  std::int64_t undeclared_era_ = 0;
  std::uint64_t sequence_ = 0;
  bool in_flight_ = false;
  // Whether the latest write changes the record.
  bool last_changed_record_ = false;
  bool needs_read_ = true;
  bool is_holder_ = false;
  bool joined_ = false;
  bool leaving_ = false;
  bool left_ = false;
  bool fenced_ = false;
  Instant last_write_{};
  Instant earlier_write_{};
  // When the latest write that may be in the store was made, and the write
  // before it.
  Instant stamp_{};
  Instant earlier_stamp_{};
  Instant not_before_{};
  // When the record was last known to be the store's.
  Instant record_confirmed_at_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_LEDGER_H_
