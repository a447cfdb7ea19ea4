// A router's own side of one budget: what it may spend without asking.
//
//   granted     what the ledger record shows for this router;
//   unwritten   cost of finished requests that the record doesn't show yet;
//   held        worst cases of running requests;
//   returning   amounts that a write in flight may already have given back.
//
// Available = granted - unwritten - held - returning, and never negative: a
// hold is placed only if it fits, and a bill never exceeds its hold.

#ifndef QUAYTRACK_LEDGER_ACCOUNT_H_
#define QUAYTRACK_LEDGER_ACCOUNT_H_

#include <deque>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"

namespace quaytrack {

// A request that waits for a larger grant.
struct WaitingHold {
  RequestId request;
  Tokens amount = 0;
  Instant since{};
};

class Account {
 public:
  Tokens Available() const {
    return granted_ - unwritten_ - HeldTotal() - returning_;
  }
  Tokens granted() const { return granted_; }
  Tokens unwritten() const { return unwritten_; }
  Tokens HeldTotal() const { return held_total_; }
  double Rate(Instant now) const { return rate_.PerSecond(now); }

  // Places a hold if it fits.
  bool TryHold(const RequestId& request, Tokens amount);

  // Turns a hold into a cost; returns the cost, cut to the hold.
  Tokens Settle(Instant now, const RequestId& request, Tokens cost);

  void Release(const RequestId& request);

  // The record now shows `granted`, and `written` of the costs are in it.
  void OnRecorded(Tokens granted, Tokens written);

  // A write in flight gives back `amount`; it counts as gone until
  // `OnRecorded`.
  void SetReturning(Tokens amount) {
    if (amount > returning_) returning_ = amount;
  }

  // Costs that will never be written (the bill turned out to exist already).
  void Forgive(Tokens cost) { unwritten_ -= cost; }

  std::deque<WaitingHold>& waiting() { return waiting_; }
  const std::deque<WaitingHold>& waiting() const { return waiting_; }

 private:
  // Over which spending is averaged. Not measured.
  static constexpr Duration kRateWindow = std::chrono::seconds(30);

  Tokens granted_ = 0;
  Tokens unwritten_ = 0;
  Tokens held_total_ = 0;
  Tokens returning_ = 0;
  std::map<RequestId, Tokens> held_;
  std::deque<WaitingHold> waiting_;
  DecayingRate rate_{kRateWindow};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_ACCOUNT_H_
