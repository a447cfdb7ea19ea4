// One router's account of one budget: what it may spend without a ledger write.
//
//   granted     the router's grant in the ledger record;
//   unwritten   cost of finished requests that the record doesn't include yet;
//   held        worst-case costs of running requests;
//   returning   amounts that a write in flight may already have given back.
//
// Available = granted - unwritten - held - returning, and never negative: a
// hold is placed only if it fits, and a bill never exceeds its hold. Amounts
// are prepaid tokens.

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

  // Places a hold if it fits into `Available`; returns whether it does.
  bool TryHold(const RequestId& request, Tokens amount);

  // Replaces the request's hold by its cost. Returns the cost, capped at the
  // hold, or 0 if the request has no hold.
  Tokens Settle(Instant now, const RequestId& request, Tokens cost);

  void Release(const RequestId& request);

  // Call when the ledger record has changed: it now grants `granted` and
  // includes `written` of the unwritten costs.
  void OnRecorded(Tokens granted, Tokens written);

  // Makes at least `amount` unavailable until `OnRecorded`, as a write in
  // flight gives this amount back.
  void SetReturning(Tokens amount) {
    if (amount > returning_) returning_ = amount;
  }

  // Subtracts from the unwritten costs one that will never be written, as a
  // bill for its request exists already.
  void CancelUnwritten(Tokens cost) { unwritten_ -= cost; }

  std::deque<WaitingHold>& waiting() { return waiting_; }
  const std::deque<WaitingHold>& waiting() const { return waiting_; }

 private:
  // Window over which the spending rate is averaged.
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
