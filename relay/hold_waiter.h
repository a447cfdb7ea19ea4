// HoldWaiter is the interface of a request that waits for a hold, that is, for
// tokens of its customer's budget to be set aside. It is either a request of
// this router (relay/relayed_request.h), or one of a peer for which this router
// keeps a grant (relay/served_holds.h).
//
// Exactly one of OnHeld, OnHoldRefused, OnHoldReserved and OnHoldCharged is
// called, once, after `Hold` has returned that the request waits
// (relay/budget_driver.h). The call comes from a separate callback of the loop.

#ifndef QUAYTRACK_RELAY_HOLD_WAITER_H_
#define QUAYTRACK_RELAY_HOLD_WAITER_H_

#include <memory>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

class HoldWaiter {
 public:
  virtual ~HoldWaiter() = default;
  virtual const RequestId& id() const = 0;
  virtual const CustomerName& customer() const = 0;
  // Upper bound of the request's cost in tokens.
  virtual Tokens worst_case() const = 0;
  // Urgency of the request among those of its customer; 0 is the most urgent.
  virtual int urgency() const { return 0; }
  virtual void OnHeld() = 0;
  // `exhausted`: the budget can't ever hold the worst case. Otherwise only the
  // tokens that this router can reach don't suffice.
  virtual void OnHoldRefused(bool exhausted) = 0;
  // The budget is scarce, and what is left is for more urgent requests
  // (prepaid/scarcity.h). A waiter that makes no difference is refused as if
  // the tokens didn't suffice.
  virtual void OnHoldReserved(Duration /*retry_after*/) {
    OnHoldRefused(false);
  }
  // The budget can't hold the worst case, because of what was charged for dead
  // routers without proof. A waiter that makes no difference is refused as if
  // the tokens didn't suffice.
  virtual void OnHoldCharged() { OnHoldRefused(false); }
};

using HoldWaiterPtr = std::shared_ptr<HoldWaiter>;

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_WAITER_H_
