// Bills for tests of the ledger, all on one budget.

#ifndef QUAYTRACK_LEDGER_TESTING_MAKE_BILL_H_
#define QUAYTRACK_LEDGER_TESTING_MAKE_BILL_H_

#include <string>

#include "ledger/bill.h"

namespace quaytrack {

inline const BudgetName kBudget{"b"};

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
