// HoldWaiter: who waits for a hold, that is, for tokens of a customer's budget
// to be set aside. It is a request of this router (relay/relayed_request.h), or
// one of a peer for which this router keeps a grant (relay/served_holds.h).
//
// Either answer comes once, after `Hold` has said that the request waits
// (relay/budget_driver.h), and from a callback of the loop of its own.

#ifndef QUAYTRACK_RELAY_HOLD_WAITER_H_
#define QUAYTRACK_RELAY_HOLD_WAITER_H_

#include <memory>

#include "base/ids.h"

namespace quaytrack {

class HoldWaiter {
 public:
  virtual ~HoldWaiter() = default;
  virtual const RequestId& id() const = 0;
  virtual const CustomerName& customer() const = 0;
  // The most tokens that it may cost.
  virtual Tokens worst_case() const = 0;
  virtual void OnHeld() = 0;
  // `exhausted`: the budget can't hold it; else only what is in reach can't.
  virtual void OnHoldRefused(bool exhausted) = 0;
};

using HoldWaiterPtr = std::shared_ptr<HoldWaiter>;

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_WAITER_H_
