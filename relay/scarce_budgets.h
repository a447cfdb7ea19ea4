// ScarceBudgets applies prepaid/scarcity.h to the requests for this router's
// grants, its own and those of peers, and logs what it decides.
//
//   ScarceBudgets scarce(ledger, horizon, store_answers);
//   if (const auto refusal = scarce.OnRequest(now, *waiter, waiting)) ...
//   scarce.OnHeld(now, *waiter);      // its tokens were held
//
// Events: budget_scarce and budget_eased when a customer's budget stops or
// begins to cover its demand, at most one a second for each customer;
// budget_reserved for refusals, at most `kMaxRefusalLines` a second for each
// customer, with the number of lines left out (`skipped`).
//
// Owns the measured demand. Relies on the ledger for the tokens within reach.
// Units: tokens. With a horizon of zero it does nothing.

#ifndef QUAYTRACK_RELAY_SCARCE_BUDGETS_H_
#define QUAYTRACK_RELAY_SCARCE_BUDGETS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/prepaid_ledger.h"
#include "prepaid/scarcity.h"
#include "relay/hold_waiter.h"

namespace quaytrack {

class ScarceBudgets {
 public:
  // `store_answers` returns whether the store is reachable.
  ScarceBudgets(const PrepaidLedger& ledger, Duration horizon,
                std::function<bool()> store_answers);

  bool enabled() const { return scarcity_.horizon() > Duration::zero(); }
  // Counts a request. Returns its refusal if the budget is kept for more urgent
  // ones. `waiting` is the sum of the waiting requests that go before it.
  std::optional<ReserveRefusal> OnRequest(Instant now, const HoldWaiter& waiter,
                                          Tokens waiting);
  void OnHeld(Instant now, const HoldWaiter& waiter);
  // Whether peers are to be asked for grant because a request was refused;
  // returns true at most once every `kAskPeersEvery` for each customer.
  bool TakeAsk(Instant now, const CustomerName& customer);

  bool IsScarce(Instant now, const CustomerName& customer) const;
  std::size_t CountScarce(Instant now) const;

 private:
  // What was logged of one customer, and when its peers were asked.
  struct State {
    bool scarce = false;
    std::optional<Instant> changed_at;
    std::optional<Instant> asked_at;
    Instant refusals_since{};
    int refusals_logged = 0;
    int skipped = 0;
  };

  std::optional<BudgetReach> ReachOf(Instant now,
                                     const CustomerName& customer) const;
  void LogChange(Instant now, const CustomerName& customer,
                 const BudgetReach& reach);
  void LogRefusal(Instant now, const HoldWaiter& waiter,
                  const ReserveRefusal& refusal);

  const PrepaidLedger& ledger_;
  std::function<bool()> store_answers_;
  Scarcity scarcity_;
  std::map<CustomerName, State> states_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_SCARCE_BUDGETS_H_
