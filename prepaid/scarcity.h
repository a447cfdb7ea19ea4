// Scarcity decides which requests may use a prepaid budget that doesn't cover
// its demand over a horizon: a less urgent class leaves what the more urgent
// classes are expected to request (a protection level, as in booking limits).
//
//   Scarcity scarcity(horizon);
//   scarcity.OnRequested(now, {customer, urgency, amount});
//   if (const auto refusal = scarcity.Check(now, request, reach, draw)) ...
//   ...
//   scarcity.OnHeld(now, request);          // its tokens were held
//
// A class is all requests of one customer with the same urgency; 0 is the most
// urgent. The demand of a class is the worst-case tokens per second that it has
// requested, whether served or refused, averaged over `kDemandWindow`. A
// request is refused in two cases:
//
//   Reserve  The tokens within reach are no more than its protection level:
//            the sum, over the more urgent classes, of the demand over the
//            horizon. A class counts in full if its requests are no larger than
//            this class's on average, not at all if they are twice as large or
//            larger, and in proportion between. Where one urgent request takes
//            the tokens of many less urgent ones, a full reserve would serve
//            far fewer callers with the same tokens.
//   Parity   The tokens within reach last the more urgent classes only a short
//            time (`kContestTime`), and a larger part of this class's requests
//            than of a more urgent class's was served lately.
//
// A class that received less than `kFloorShare` of the tokens held lately isn't
// subject to the reserve, only to parity.
//
// Consequences:
//   - The most urgent class that requests anything is never refused here.
//   - The size of a request doesn't decide, except that a class that uses its
//     share needs the tokens of the request within reach.
//   - Nothing is stored as reserved. The protection level follows demand and
//     reach, so a top-up or a class that stops releases it.
//   - A customer whose requests have one urgency is never refused here.
//
// Until a customer's requests have been seen for `kWarmUp`, nothing is refused,
// as the demand is not known yet. This holds after a restart too.
//
// Owns the demand of each customer. Relies on the caller for the tokens within
// reach (PrepaidLedger::Reach), the time and a random number. Units: tokens.
// There are no errors; with a horizon of zero nothing is ever refused or
// scarce.

#ifndef QUAYTRACK_PREPAID_SCARCITY_H_
#define QUAYTRACK_PREPAID_SCARCITY_H_

#include <chrono>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"

namespace quaytrack {

struct BudgetRequest {
  CustomerName customer;
  // 0 is the most urgent.
  int urgency = 0;
  Tokens amount = 0;
};

// The part of a budget that this router can use.
struct BudgetReach {
  Tokens tokens = 0;
  // Time until the router reads the record again; the reach may then be larger.
  Duration next_read{};
};

// A refusal, with the numbers that decided.
struct ReserveRefusal {
  Tokens reach = 0;
  // Protection level of the request.
  Tokens reserved = 0;
  // Refused by parity, not by the reserve.
  bool by_parity = false;
  // Demand of all classes, in tokens per second.
  Tokens demand_per_s = 0;
  Duration retry_after{};
};

class Scarcity {
 public:
  // Time over which demand is averaged. Much longer hides the waves of the
  // load; much shorter takes a burst of three requests for a higher demand.
  static constexpr Duration kDemandWindow = std::chrono::seconds(3);
  // Time for which a customer's requests must have been seen before any is
  // refused.
  static constexpr Duration kWarmUp = std::chrono::seconds(2);
  // Time over which the served parts of classes are compared. It spans a wave
  // of the load, so that a class that was served less often for some seconds
  // makes up for it.
  static constexpr Duration kParityWindow = std::chrono::seconds(10);
  // Difference of the served parts that parity allows. Users tolerate 0.05.
  static constexpr double kParityTolerance = 0.02;
  // Fraction of the tokens held that each class with demand keeps.
  static constexpr double kFloorShare = 0.1;

  explicit Scarcity(Duration horizon) : horizon_(horizon) {}

  Duration horizon() const { return horizon_; }

  // Counts a request, once, before `Check`.
  void OnRequested(Instant now, const BudgetRequest& request);
  // Counts tokens that were held for a request.
  void OnHeld(Instant now, const BudgetRequest& request);

  // Returns the refusal of a request that must leave the remaining tokens to
  // more urgent ones, or std::nullopt if the request may use them. `draw` is a
  // random number in [0, 1), which spreads the retries.
  std::optional<ReserveRefusal> Check(Instant now, const BudgetRequest& request,
                                      const BudgetReach& reach,
                                      double draw) const;

  // Whether `reach` tokens don't cover the customer's demand over the horizon.
  bool IsScarce(Instant now, const CustomerName& customer, Tokens reach) const;
  // The customer's demand in tokens per second; 0 during the warm-up.
  double DemandPerSecond(Instant now, const CustomerName& customer) const;

 private:
  // All requests of a customer with the same urgency.
  struct UrgencyClass {
    DecayingRate requested{kDemandWindow};
    DecayingRate held{kDemandWindow};
    // Number of requests.
    DecayingRate arrivals{kDemandWindow};
    // The same and the number of holds, for the comparison of classes.
    DecayingRate parity_arrivals{kParityWindow};
    DecayingRate parity_held{kParityWindow};
    Instant last{};
  };
  struct Customer {
    // Since when requests have been seen without a long pause.
    Instant since{};
    Instant last{};
    std::map<int, UrgencyClass> classes;
  };

  static bool IsWarm(Instant now, const Customer& customer);
  static bool HasStopped(Instant now, const UrgencyClass& it);
  static double DemandOf(Instant now, const Customer& customer,
                         const UrgencyClass& it);
  static double MeanSize(Instant now, const UrgencyClass& it);
  static double ServedRatio(Instant now, const UrgencyClass& it);
  static bool MayUseFloor(Instant now, const Customer& customer, int urgency);
  static bool IsAhead(Instant now, const Customer& customer, int urgency);
  Duration RetryAfter(const Customer& customer, int urgency,
                      double missing_seconds, Duration next_read,
                      double draw) const;
  const Customer* Find(const CustomerName& name) const;

  Duration horizon_;
  std::map<CustomerName, Customer> customers_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_SCARCITY_H_
