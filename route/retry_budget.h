// Keeps retries a small part of all requests.
//
// Each fresh request earns a fraction of a retry; each retry spends one. When
// everything fails, retries are then at most that fraction of the fresh work,
// and can't multiply an overload ("Addressing Cascading Failures", Google SRE
// book, 2016). A small reserve lets a quiet router retry at all.

#ifndef QUAYTRACK_ROUTE_RETRY_BUDGET_H_
#define QUAYTRACK_ROUTE_RETRY_BUDGET_H_

#include <algorithm>

namespace quaytrack {

class RetryBudget {
 public:
  void OnFresh() { balance_ = std::min(kMost, balance_ + kPerFresh); }

  bool TryRetry() {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }

 private:
  static constexpr double kPerFresh = 0.08;
  static constexpr double kMost = 10;

  double balance_ = kMost;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_RETRY_BUDGET_H_
