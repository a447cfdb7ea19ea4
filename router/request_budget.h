// The budget of one request: a hold of its worst case, followed by one bill of
// the actual cost or by a release of the hold.
//
//   RequestBudget budget(context, basics);
//   budget.Hold();                       // kWaiting: an event follows
//   const auto settled = budget.Settle(now, cost);  // or Release()
//
// RequestBudget owns the information whether something is held. It relies on
// the context's ledger driver, which reports events later, and on the basics;
// driver and basics must outlive the RequestBudget. All amounts are prepaid
// tokens (base/ids.h).

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
  // Returns the refusal that the caller gets if the hold is refused for
  // `reason`.
  Refusal RefusalFor(HoldRefusal reason) const;

  // The result of settling a request.
  struct Settled {
    // The bill's `tokens` are limited to the hold, and 0 if the request was
    // billed before.
    Bill bill;
    // Number of the batch with the bill; 0 if the request was billed before.
    std::uint64_t seq = 0;
  };
  Settled Settle(Instant now, Tokens cost);
  // Releases the hold or ends the wait for it. Has no effect if there is
  // neither.
  void Release();

  Bill MakeBill(Tokens tokens) const;

 private:
  std::string BillId() const;
  std::string Marker() const;

  RouterContext& context_;
  const RequestBasics& basics_;
  // Whether something is held or waited for.
  bool held_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_BUDGET_H_
