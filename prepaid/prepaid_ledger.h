// PrepaidLedger: one router's part of all prepaid budgets.
//
// Spending is local and immediate; nothing on a request's path waits for the
// store unless this router's part is too small:
//
//   if (ledger.Hold(now, customer, worst_case) == PrepaidVerdict::kHeld) ...
//   ledger.Settle(customer, worst_case, cost);
//
// The rest is a cycle that the caller drives with the store:
//
//   if (ledger.NeedsRead()) read both keys, then OnRead(...);
//   if (auto write = ledger.NextWrite(now)) perform it, then OnWritten(...);
//
// A write is a report, of this router's spend account alone, or a change of the
// record too: to join, to take or give back, to book moves, to leave.
//
// and, when the store is away or has nothing left to grant, with the peers:
//
//   giver:     auto total = ledger.TransferOut(now, customer, asker, amount,
//   all); receiver:  ledger.OnTransfer(customer, giver, total);
//
// What may be spent. `Allowance` is the least that holds in every state that
// the record may be in: the last one seen, and that of each write of which no
// answer came. A write that gives back counts at once, one that takes counts
// when it is known to be applied. All attempts compare the spend account's
// revision, so at most one is applied; its sequence number tells which.
//
// Time alone never passes authority: nothing here reclaims a grant because its
// holder has been silent (see prepaid/prepaid_record.h, Dead members).
//
// Sizes. All routers together keep `baseline_share` of what remains of a
// budget, in equal parts; a router that spends much keeps `headroom` of its own
// spending if that is more. An outage comes unannounced, and what is kept is
// charged when all power is lost: docs/design/prepaid.md has the figures.

#ifndef QUAYTRACK_PREPAID_PREPAID_LEDGER_H_
#define QUAYTRACK_PREPAID_PREPAID_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"
#include "base/rate.h"
#include "prepaid/prepaid_record.h"

namespace quaytrack {

struct PrepaidPolicy {
  // Part of what remains of a budget that all routers together keep granted.
  double baseline_share = 0.3;
  // A router keeps its own spending of this long, if that is more than its part
  // of the baseline share, up to `most_headroom_share` of what remains.
  Duration headroom = std::chrono::seconds(5);
  double most_headroom_share = 0.6;
  // Part of a router's own target that isn't withheld.
  double spendable_share = 0.25;
  // How long after a write the withheld part is left alone.
  Duration withhold_time = std::chrono::milliseconds(2000);
  // Part of a limit that is never granted, against errors of counting.
  double reserve = 0.01;
  // Longest time that spending stays unreported.
  Duration report_every = std::chrono::milliseconds(1000);
  // Age at which the record is read anew, for each member beyond a few; it
  // grows with the fleet, so that all reads together don't. And while a request
  // waits for a grant that it doesn't show to be free.
  Duration refresh_every = std::chrono::seconds(6);
  Duration refresh_per_member = std::chrono::milliseconds(750);
  Duration refresh_waiting = std::chrono::milliseconds(400);
  // Longest time that moves stay unbooked while the store answers.
  Duration record_transfers_every = std::chrono::milliseconds(1500);
  // Shortest time between two writes, and while a request waits for a grant.
  Duration spacing = std::chrono::milliseconds(400);
  Duration urgent_spacing = std::chrono::milliseconds(10);
  // Pause after a call that the store didn't answer.
  Duration retry_after_failure = std::chrono::milliseconds(300);
};

struct PrepaidLimit {
  CustomerName customer;
  Tokens limit = 0;
};

enum class PrepaidVerdict {
  kHeld,
  kShort,      // this router's part can't hold it; the fleet's may
  kExhausted,  // the budget can't hold it
};

template <>
struct EnumTable<PrepaidVerdict> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PrepaidVerdict>>(
      {{PrepaidVerdict::kHeld, "held"},
       {PrepaidVerdict::kShort, "short"},
       {PrepaidVerdict::kExhausted, "exhausted"}});
};

// An earlier incarnation on this VM, whose grants a write charges.
struct ChargedPredecessor {
  Incarnation dead;
  // Its withheld part is proven unspent and goes back.
  bool withheld_unspent = false;
  // From its last write to the start of this process.
  std::int64_t age_ms = 0;
  // What is charged as spent, of all customers.
  Tokens charged = 0;
};

// A spend account in the store.
struct StoredSpend {
  std::int64_t revision = 0;
  PrepaidSpend spend;
};

// What the store has, as far as this router needs it. The accounts were read
// before the record.
struct PrepaidState {
  // 0, and an empty record, if there is none.
  std::int64_t revision = 0;
  PrepaidRecord record;
  // This router's account, if it has one, and those of its predecessors.
  std::map<Incarnation, StoredSpend> spends;
};

// Replaces this router's spend account, and the record if it is to change, if
// all revisions are still the expected ones; 0: the key must not exist.
struct PrepaidWrite {
  std::int64_t expected_spend = 0;
  PrepaidSpend spend;
  // The account is removed in place of being replaced.
  bool leaves = false;
  bool changes_record = false;
  std::int64_t expected_record = 0;
  PrepaidRecord record;
  // Accounts to be removed, and their expected revisions.
  std::map<Incarnation, std::int64_t> removes;
  std::vector<ChargedPredecessor> charged;
};

enum class PrepaidOutcome {
  kApplied,
  kRejected,  // the record had changed
  kRefused,   // nothing happened
  kUnknown,   // it may have happened, or may still
};

class PrepaidLedger {
 public:
  struct Identity {
    Incarnation self;
    // Which boot of the machine the steady clock counts from; empty if that
    // isn't known.
    std::string boot;
    // When this process started.
    Instant started{};
  };

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
  // Sum of the holds that wait for a larger part.
  void SetWaiting(const CustomerName& customer, Tokens amount);

  bool NeedsRead(Instant now) const;
  // Another router keeps grants; the record is read if it doesn't show it.
  void OnPeerSeen(const Incarnation& peer);
  void OnRead(Instant now, const PrepaidState& state);
  void OnReadFailed(Instant now);
  std::optional<PrepaidWrite> NextWrite(Instant now);
  void OnWritten(Instant now, PrepaidOutcome outcome, std::int64_t revision);
  // After kRejected, the record that was shown, if the spend account was the
  // expected one.
  void OnNewerRecord(Instant now, std::int64_t revision,
                     const PrepaidRecord& record);

  // Takes up to `amount` off this router's part, for a peer. Returns the
  // running total to tell it, or nothing if there is none to give. `all` lets
  // go of everything idle; otherwise half is kept.
  std::optional<Tokens> TransferOut(Instant now, const CustomerName& customer,
                                    const Incarnation& receiver, Tokens amount,
                                    bool all);
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
    return base_ ? &base_->record : nullptr;
  }

 private:
  // A state that the store may be in.
  struct View {
    std::int64_t revision = 0;
    PrepaidRecord record;
    std::int64_t spend_revision = 0;
    PrepaidSpend spend;
    // Spending that this state includes and the base doesn't.
    std::map<CustomerName, Tokens> reported;
  };
  // Time over which spending is measured.
  static constexpr Duration kSpendingTime = std::chrono::seconds(5);
  struct Account {
    // Spending that the base doesn't include.
    Tokens unreported = 0;
    Tokens held = 0;
    Tokens waiting = 0;
    DecayingRate spending{kSpendingTime};
    std::map<Incarnation, Tokens> transferred_out;
    std::map<Incarnation, Tokens> transferred_in;
  };

  // Everything idle, withheld or not.
  Tokens IdleIn(const View& view, const CustomerName& customer,
                const Account& account) const;
  bool StillWithheld(Instant now) const;
  Tokens TargetIn(Instant now, const PrepaidRecord& record,
                  const PrepaidEntry& entry, const Account& account) const;
  Tokens FreeIn(const PrepaidEntry& entry) const;
  const Account& AccountOf(const CustomerName& customer) const;
  bool RecordIsDue(Instant now) const;
  bool ReportIsDue(Instant now) const;
  bool GrantIsDue(Instant now, const CustomerName& customer) const;
  bool HasUnrecordedTransfers() const;
  std::vector<ChargedPredecessor> ChargePredecessors(
      PrepaidRecord& record) const;
  void ApplyLimits(PrepaidRecord& record) const;
  void RecordTransfers(PrepaidRecord& record) const;
  void ReportSpending(View& view) const;
  void MergeSpending(View& view) const;
  void ResizeGrants(Instant now, View& view) const;
  void Withhold(Instant now, View& view) const;
  void Adopt(Instant now, View view);

  Identity identity_;
  Incarnation self_;
  PrepaidPolicy policy_;
  std::uint64_t limits_version_ = 0;
  std::map<CustomerName, Tokens> limits_;
  std::map<CustomerName, Account> accounts_;
  // The latest state known, and the writes that may have replaced it.
  std::optional<View> base_;
  std::vector<View> attempts_;
  // Accounts of earlier incarnations of this VM, which are to be closed.
  std::map<Incarnation, StoredSpend> predecessors_;
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
  // Steady time of the latest write that may be in the record, and of the one
  // before it.
  Instant stamp_{};
  Instant earlier_stamp_{};
  Instant not_before_{};
  // When the record was last seen as the store had it.
  Instant record_seen_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_LEDGER_H_
