// Queues requests that wait for a target and chooses the order of service.
//
// Between classes and, within a class, between customers, the next request is
// chosen by stride scheduling (Waldspurger and Weihl, 1995): each flow has a
// pass value that grows by 1/weight with every request served, and the flow
// with the smallest pass is served next. So a customer gets its share however
// many requests another customer has waiting, and no class starves.
//
// A request that can't be served before its deadline is refused when it
// arrives, as waiting would only waste its caller's time. The refusal gives the
// time after which the queue is expected to be empty. `TakeExpired` removes
// requests whose deadlines have passed in the queue.

#ifndef QUAYTRACK_ROUTE_WAIT_QUEUE_H_
#define QUAYTRACK_ROUTE_WAIT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"
#include "base/rate.h"

namespace quaytrack {

enum class PriorityClass { kInteractive, kStandard, kBatch };

template <>
struct EnumTable<PriorityClass> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PriorityClass>>(
      {{PriorityClass::kInteractive, "interactive"},
       {PriorityClass::kStandard, "standard"},
       {PriorityClass::kBatch, "batch"}});
};

struct QueuedRequest {
  RequestId request;
  CustomerName customer;
  int customer_weight = 1;
  PriorityClass priority = PriorityClass::kStandard;
  Instant deadline{};
  Instant queued_at{};
};

enum class QueueVerdict { kQueued, kMissesDeadline, kFull };

struct QueueAnswer {
  QueueVerdict verdict{};
  // Time to wait before a retry, if the request is refused.
  Duration retry_after{};
};

struct WaitQueueOptions {
  // Maximum number of queued requests.
  std::size_t max_size = 4000;
  // Bounds of the expected wait while requests are queued.
  Duration min_retry_after = std::chrono::milliseconds(500);
  Duration max_retry_after = std::chrono::seconds(60);
};

class WaitQueue {
 public:
  explicit WaitQueue(WaitQueueOptions options) : options_(options) {}

  // Queues or refuses a request. `service` is the expected time from sending
  // the request to its answer.
  QueueAnswer Push(Instant now, QueuedRequest request, Duration service);

  // Removes and returns the next request to send, or returns std::nullopt if
  // the queue is empty. Call `TakeExpired` first, as `Pop` doesn't check
  // deadlines.
  std::optional<QueuedRequest> Pop(Instant now);

  // Puts back a request that was popped but found no target.
  void Restore(QueuedRequest request);

  // Removes and returns all requests whose deadlines have passed.
  std::vector<QueuedRequest> TakeExpired(Instant now);
  // Removes a request; returns whether it was queued.
  bool Remove(const RequestId& request);

  std::size_t size() const { return size_; }
  // Expected time until all requests that are queued now are served.
  Duration ExpectedWait(Instant now) const;

 private:
  struct Flow {
    double pass = 0;
    std::deque<QueuedRequest> waiting;
  };
  // The queued requests of one class.
  struct ClassState {
    double pass = 0;
    std::map<CustomerName, Flow> flows;
    // Pass of the flow that was served last; a new flow starts with this pass.
    double flow_time = 0;
    std::size_t size = 0;
  };

  static int WeightOf(PriorityClass priority);
  void Insert(QueuedRequest request, bool front);

  WaitQueueOptions options_;
  std::map<PriorityClass, ClassState> classes_;
  std::size_t size_ = 0;
  double class_time_ = 0;
  DecayingRate service_rate_{std::chrono::seconds(5)};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_WAIT_QUEUE_H_
