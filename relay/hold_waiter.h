// Who waits for a part of a customer's budget: a request of this router, or one
// of another router for which this one keeps budgets.

#ifndef QUAYTRACK_RELAY_HOLD_WAITER_H_
#define QUAYTRACK_RELAY_HOLD_WAITER_H_

#include "base/ids.h"

namespace quaytrack {

class HoldWaiter {
 public:
  virtual ~HoldWaiter() = default;
  virtual const RequestId& id() const = 0;
  virtual const CustomerName& customer() const = 0;
  // The most that it may cost.
  virtual Tokens worst_case() const = 0;
  // The answer; one of the two is called, once.
  virtual void OnHeld() = 0;
  // `exhausted`: the budget can't hold it; else only what is in reach can't.
  virtual void OnHoldRefused(bool exhausted) = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_WAITER_H_
