// One request's part in its customer's budget: a hold of the worst case, then
// one bill of the true cost, or nothing.
//
//   RequestBudget budget(context, basics);
//   budget.Hold();                       // kWaiting: an event follows
//   const auto seq = budget.Settle(cost);  // or Release()
//
// Owns whether something is held. Relies on the context's ledger driver, which
// tells of events later, and on the basics; both must outlive it. All amounts
// are prepaid tokens (base/ids.h).

#ifndef QUAYTRACK_ROUTER_REQUEST_BUDGET_H_
#define QUAYTRACK_ROUTER_REQUEST_BUDGET_H_

#include <cstdint>
#include <string>

#include "ledger/bill.h"
#include "ledger/sync.h"
#include "router/context.h"
#include "router/refusal.h"
#include "router/request_basics.h"

namespace quaytrack {

class RequestBudget {
 public:
  RequestBudget(RouterContext& context, const RequestBasics& basics)
      : context_(context), basics_(basics) {}

  // Holds the request's worst case.
  HoldOutcome Hold();
  // Why the caller is refused.
  Refusal RefusalFor(HoldRefusal why) const;

  // What the ledger made of a bill.
  struct Settled {
    // Its tokens are cut to the hold.
    Bill bill;
    // The batch that carries the bill; 0 if it was billed before.
    std::uint64_t seq = 0;
  };
  Settled Settle(Instant now, Tokens cost);
  // Gives the hold back, or ends the wait for it; nothing if there is neither.
  void Release();

  Bill MakeBill(Tokens tokens) const;

 private:
  std::string BillId() const;
  std::string Marker() const;

  RouterContext& context_;
  const RequestBasics& basics_;
  // Something is held or waited for.
  bool held_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_BUDGET_H_
