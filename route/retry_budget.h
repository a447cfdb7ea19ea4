// Limits retries to a small fraction of all requests.
//
// Each new request earns a fraction of a retry; each retry spends a whole one.
// When everything fails, retries are then at most that fraction of the new
// requests, and can't multiply an overload ("Addressing Cascading Failures",
// Google SRE book, 2016). The balance starts at its small maximum, so that a
// router with few requests can retry at all.

#ifndef QUAYTRACK_ROUTE_RETRY_BUDGET_H_
#define QUAYTRACK_ROUTE_RETRY_BUDGET_H_

#include <algorithm>

namespace quaytrack {

class RetryBudget {
 public:
  void OnNewRequest() {
    balance_ = std::min(kMaxBalance, balance_ + kRetriesPerRequest);
  }

  bool TryRetry() {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }

 private:
  static constexpr double kRetriesPerRequest = 0.08;
  static constexpr double kMaxBalance = 10;

  double balance_ = kMaxBalance;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_RETRY_BUDGET_H_
