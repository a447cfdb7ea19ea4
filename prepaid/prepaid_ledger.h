// PrepaidLedger: one router's part of all prepaid budgets.
//
// Spending is local and immediate; nothing on a request's path waits for the
// store unless this router's grant is too small:
//
//   if (ledger.Hold(now, customer, worst_case) == PrepaidVerdict::kHeld) ...
//   ledger.Settle(now, customer, worst_case, cost);
//
// The rest is a cycle that the caller drives with the store:
//
//   if (ledger.NeedsRead(now)) read the accounts, then the record; OnRead(...);
//   if (auto write = ledger.NextWrite(now)) perform it, then OnWritten(...);
//
// and, when the store is away or has nothing left to grant, with the peers:
//
//   total = ledger.TransferOut(now, customer, peer, amount, all);  // the giver
//   ledger.OnTransfer(customer, giver, total);                     // the peer
//
// A write is a report, of this router's spend account alone, or a change of the
// record too: to join, to take or return grants, to record transfers, to leave.
//
// What may be spent. `Allowance` is the least that holds in every state that
// the store may be in: the last one confirmed, and that of each write of which
// no answer came. A write that returns tokens counts at once, one that takes
// them counts when it is known to be applied. All writes from one confirmed
// state compare the spend account's revision, so at most one of them is
// applied; its sequence number tells which.
//
// A store that comes back from an older copy of itself, in a later era, may
// lack grants that are being spent, and what was settled. This router's
// allowance stays what it was. Its next write declares its part: the record
// that it knew is merged into what the store has (prepaid/record_merge.h), and
// its own part is set to what it has spent and may still spend. Nothing is
// granted from the record before all members have done so, or were proven dead,
// or `undeclared_time` is over; transfers go on meanwhile. Each era has keys of
// its own (StoredAt), so that a late write of an earlier one changes nothing.
//
// Time alone never passes authority: nothing here reclaims a grant because its
// holder has been silent (see prepaid/prepaid_record.h, Dead members).
//
// Owns this process's own counts and the views of the store's state
// (prepaid/store_view.h). Relies on prepaid/grant_sizing.h for how large a
// grant should be, and on prepaid/prepaid_policy.h for every constant but one.
//
// Units: tokens; `Instant` is the machine's steady clock. Errors are values
// (PrepaidOutcome): after kUnknown a write counts as possibly applied until a
// read shows the account. Once a later incarnation has charged this one,
// `Allowance` is 0 for good and nothing more is written.

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
#include "prepaid/store_view.h"

namespace quaytrack {

struct PrepaidLimit {
  CustomerName customer;
  Tokens limit = 0;
};

enum class PrepaidVerdict {
  kHeld,
  kShort,      // this router's grant can't hold it; the fleet's may
  kExhausted,  // the budget can't hold it
};

template <>
struct EnumTable<PrepaidVerdict> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PrepaidVerdict>>(
      {{PrepaidVerdict::kHeld, "held"},
       {PrepaidVerdict::kShort, "short"},
       {PrepaidVerdict::kExhausted, "exhausted"}});
};

// What the store has, as far as this router needs it. The accounts were read
// before the record.
struct PrepaidState {
  // 0, and an empty record, if there is none.
  std::int64_t revision = 0;
  PrepaidRecord record;
  // This router's account, if it has one, and those of its predecessors.
  std::map<Incarnation, StoredSpend> spends;
  // As of `StoredAt`, of the record.
  std::int64_t key_era = 0;
  // The store's.
  std::int64_t era = 0;
};

// Replaces this router's spend account, and the record if it is to change, if
// all revisions are still the expected ones; 0: the key must not exist.
struct PrepaidWrite {
  // Of the store, that the revisions are of.
  std::int64_t era = 0;
  StoredAt expected_spend;
  PrepaidSpend spend;
  // The account is removed in place of being replaced.
  bool leaves = false;
  bool changes_record = false;
  StoredAt expected_record;
  PrepaidRecord record;
  // Declares this router's part in a later era.
  bool declares = false;
  // The record and the account of an earlier era, to be removed.
  std::optional<StoredAt> earlier_record;
  std::optional<StoredAt> earlier_spend;
  // Accounts of predecessors, to be removed.
  std::map<Incarnation, StoredAt> removes;
  std::vector<ChargedPredecessor> charged;
};

enum class PrepaidOutcome {
  kApplied,
  kRejected,  // the record or the account had changed
  kRefused,   // nothing happened
  kUnknown,   // it may have happened, or may still
};

class PrepaidLedger {
 public:
  using Identity = PrepaidIdentity;

  PrepaidLedger(Identity identity, PrepaidPolicy policy);

  // Joins the record. Until then a ledger reads it once, and writes nothing,
  // unless the record shows an earlier incarnation of this VM.
  void KeepGrants() { keeps_grants_ = true; }
  bool KeepsGrants() const { return keeps_grants_; }

  // The budgets of a newer configuration. A customer that has none may spend
  // freely.
  void SetLimits(std::uint64_t version,
                 const std::vector<PrepaidLimit>& limits);

  PrepaidVerdict Hold(Instant now, const CustomerName& customer, Tokens amount);
  // Ends a hold of `held` with what was handed out, 0 if nothing ran.
  void Settle(Instant now, const CustomerName& customer, Tokens held,
              Tokens cost);
  bool IsLimited(const CustomerName& customer) const {
    return limits_.contains(customer);
  }
  // Sum of the holds that wait for a larger grant.
  void SetWaiting(const CustomerName& customer, Tokens amount);

  bool NeedsRead(Instant now) const;
  // Another router keeps grants; the record is read if it doesn't show it.
  void OnPeerSeen(const Incarnation& peer);
  void OnRead(Instant now, const PrepaidState& state);
  void OnReadFailed(Instant now);
  // The store has named this era.
  void OnStoreEra(std::int64_t era);
  std::optional<PrepaidWrite> NextWrite(Instant now);
  void OnWritten(Instant now, PrepaidOutcome outcome, std::int64_t revision);
  // After kRejected, the record that was shown, if the spend account was the
  // expected one.
  void OnNewerRecord(Instant now, std::int64_t revision,
                     const PrepaidRecord& record);

  // Takes up to `amount` off this router's grant, for a peer. Returns the
  // running total to tell it, or nothing if there is none to transfer. `all`
  // lets go of everything idle; otherwise half is kept.
  std::optional<Tokens> TransferOut(Instant now, const CustomerName& customer,
                                    const Incarnation& receiver, Tokens amount,
                                    bool all);
  // `total`: the running total of what `giver` has transferred to this router.
  void OnTransfer(const CustomerName& customer, const Incarnation& giver,
                  Tokens total);

  // Returns everything at the next write and keeps grants no more.
  void StartLeaving() {
    leaving_ = true;
    left_ = left_ || !keeps_grants_;
  }
  bool HasLeft() const { return left_; }

  // What this router may hold at present.
  Tokens Allowance(Instant now, const CustomerName& customer) const;
  // Replaced by a later incarnation; nothing may be spent any more.
  bool Fenced() const { return fenced_; }
  const PrepaidRecord* LatestRecord() const {
    return confirmed_ ? &confirmed_->record : nullptr;
  }

 private:
  bool StillWithheld(Instant now) const;
  // What is idle in every state that the store may be in.
  Tokens LeastIdle(const CustomerName& customer) const;
  // Nothing may be granted from the record, as not all parts are declared.
  bool AwaitsDeclarations(Instant now, const PrepaidRecord& record) const;
  void NoteUndeclared(Instant now);
  bool OnReadOfLaterEra(Instant now, const PrepaidState& state);
  bool IsDeclared(const StoreView& view) const;
  StoreView DeclaredView(PrepaidWrite& write) const;
  void AwaitPeers(PrepaidRecord& record) const;
  void DeclareOwn(StoreView& view) const;
  void OnDeclared(Instant now);
  bool CanEverHold(const CustomerName& customer, Tokens limit,
                   Tokens amount) const;
  bool RecordIsDue(Instant now) const;
  bool ReportIsDue(Instant now) const;
  bool HasUnrecordedTransfers() const;
  bool MayWrite(Instant now) const;
  void ChangeRecord(Instant now, StoreView& next, PrepaidWrite& write) const;
  void ResizeGrants(Instant now, StoreView& view) const;
  void Withhold(Instant now, StoreView& view) const;
  void MeasureSettling(Instant now, const PrepaidRecord& next);
  // The store has another record; this router's account is as it was.
  void ReplaceRecord(Instant now, StoredAt at, PrepaidRecord record);
  void Confirm(Instant now, StoreView view);

  Identity identity_;
  Incarnation self_;
  PrepaidPolicy policy_;
  GrantSizing sizing_;
  std::uint64_t limits_version_ = 0;
  std::map<CustomerName, Tokens> limits_;
  OwnAccounts accounts_;
  // The latest state known, and those of the writes that may have replaced it.
  std::optional<StoreView> confirmed_;
  std::vector<StoreView> unconfirmed_;
  // Accounts of earlier incarnations of this VM, which are to be removed.
  std::map<Incarnation, StoredSpend> predecessors_;
  // The latest that the store has named.
  std::int64_t store_era_ = 0;
  // Routers that keep grants, as far as their messages have come.
  std::map<VmName, Incarnation> peers_;
  // What the store was found to have in an era in which this router has yet to
  // declare its part. Stays until a declaration is known to be done.
  std::optional<PrepaidState> found_;
  // When this router last declared its part.
  std::optional<Instant> declared_at_;
  // Since when undeclared members were seen, and in which era.
  Instant undeclared_since_{};
  std::int64_t undeclared_era_ = 0;
  std::uint64_t sequence_ = 0;
  bool in_flight_ = false;
  // The write in flight changes the record too.
  bool last_changed_record_ = false;
  bool needs_read_ = true;
  bool keeps_grants_ = false;
  bool joined_ = false;
  bool leaving_ = false;
  bool left_ = false;
  bool fenced_ = false;
  Instant last_write_{};
  Instant earlier_write_{};
  // Steady time of the latest write that may be in the store, and of the one
  // before it.
  Instant stamp_{};
  Instant earlier_stamp_{};
  Instant not_before_{};
  // When the record was last seen as the store had it.
  Instant record_seen_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_LEDGER_H_
