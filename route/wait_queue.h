// Requests that wait for a target, in the order in which they are served.
//
// Between classes and, within a class, between customers, the next request is
// chosen by stride scheduling (Waldspurger and Weihl, 1995): each flow has a
// pass value that grows by 1/weight with every request served, and the flow
// with the smallest goes next. So a customer gets its share however many
// requests another one has waiting, and no class starves.
//
// A request that can't be served before its deadline is refused when it
// arrives, with a time after which the queue will have drained; and once more
// when its turn comes. Holding it back would only waste its caller's time.

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

enum class QueueVerdict { kQueued, kTooLate, kFull };

struct QueueAnswer {
  QueueVerdict verdict{};
  // With a refusal: how long to wait before trying again.
  Duration retry_after{};
};

struct WaitQueueOptions {
  std::size_t most = 4000;
  // Expected waits are taken to be at least this once there is a queue.
  Duration shortest_retry = std::chrono::milliseconds(500);
  Duration longest_retry = std::chrono::seconds(60);
};

class WaitQueue {
 public:
  explicit WaitQueue(WaitQueueOptions options) : options_(options) {}

  // `service` is the expected time from being sent to being answered.
  QueueAnswer Push(Instant now, QueuedRequest request, Duration service);

  // The next request to send; none if the queue is empty. Call `TakeExpired`
  // first, or it may be one whose deadline has passed.
  std::optional<QueuedRequest> Pop(Instant now);

  // Puts back a request that was popped and found no target.
  void Restore(QueuedRequest request);

  // Removes and returns everything whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(Instant now);
  bool Remove(const RequestId& request);

  std::size_t size() const { return size_; }
  // How long until what is queued now will have been served.
  Duration DrainTime(Instant now) const;

 private:
  struct Flow {
    double pass = 0;
    std::deque<QueuedRequest> waiting;
  };
  // What waits in one class.
  struct ClassState {
    double pass = 0;
    std::map<CustomerName, Flow> flows;
    // Pass of the flow that was served last; where a new flow starts.
    double flow_time = 0;
    std::size_t size = 0;
  };

  static int WeightOf(PriorityClass priority);
  void Insert(QueuedRequest request, bool front);

  WaitQueueOptions options_;
  std::map<PriorityClass, ClassState> classes_;
  std::size_t size_ = 0;
  double class_time_ = 0;
  DecayingRate drained_{std::chrono::seconds(5)};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_WAIT_QUEUE_H_
