// Bills and budgets for tests of the ledger.
//
//   const Bill bill = MakeBill("request-1", 250);  // for kBudget

#ifndef QUAYTRACK_LEDGER_TESTING_MAKE_BILL_H_
#define QUAYTRACK_LEDGER_TESTING_MAKE_BILL_H_

#include <string>

#include "ledger/bill.h"
#include "ledger/record.h"

namespace quaytrack {

inline const BudgetName kBudget{"b"};

// A budget whose record isn't that of kBudget.
inline BudgetName BudgetInAnotherRecord() {
  for (int n = 0;; ++n) {
    BudgetName out("other-" + std::to_string(n));
    if (ShardOf(out) != ShardOf(kBudget)) return out;
  }
}

inline Bill MakeBill(const std::string& request, Tokens tokens,
                     const std::string& marker = "") {
  Bill out;
  out.bill_id = request;
  out.budget = kBudget;
  out.request_id = RequestId(request);
  out.tokens = tokens;
  out.marker = marker;
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_TESTING_MAKE_BILL_H_
