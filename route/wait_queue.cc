#include "route/wait_queue.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

int WaitQueue::WeightOf(PriorityClass priority) {
  switch (priority) {
    case PriorityClass::kInteractive:
      return 16;
    case PriorityClass::kStandard:
      return 4;
    case PriorityClass::kBatch:
      return 1;
  }
  return 1;
}

Duration WaitQueue::ExpectedWait(Instant now) const {
  if (size_ == 0) return Duration::zero();
  const double rate = service_rate_.PerSecond(now);
  const double seconds = rate <= 0 ? ToSeconds(options_.max_retry_after)
                                   : static_cast<double>(size_) / rate;
  const auto out =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::min(seconds, ToSeconds(options_.max_retry_after))));
  return std::max(out, options_.min_retry_after);
}

QueueAnswer WaitQueue::Push(Instant now, QueuedRequest request,
                            Duration service) {
  if (size_ >= options_.max_size)
    return {QueueVerdict::kFull, ExpectedWait(now)};
  // The service rate gives the expected wait. Without a rate, a wait of zero is
  // assumed, so the request may wait until its deadline.
  const bool rate_known = service_rate_.PerSecond(now) > 0;
  const Duration wait = rate_known ? ExpectedWait(now) : Duration::zero();
  const bool misses_deadline =
      now + service > request.deadline ||
      (size_ > 0 && now + wait + service > request.deadline);
  if (misses_deadline) {
    return {QueueVerdict::kMissesDeadline,
            std::max(ExpectedWait(now), service)};
  }
  request.queued_at = now;
  Insert(std::move(request), false);
  return {QueueVerdict::kQueued, {}};
}

void WaitQueue::Insert(QueuedRequest request, bool front) {
  ClassState& state = classes_[request.priority];
  if (state.size == 0) state.pass = std::max(state.pass, class_time_);
  Flow& flow = state.flows[request.customer];
  if (flow.waiting.empty()) flow.pass = std::max(flow.pass, state.flow_time);
  if (front) {
    flow.waiting.push_front(std::move(request));
  } else {
    flow.waiting.push_back(std::move(request));
  }
  ++state.size;
  ++size_;
}

void WaitQueue::Restore(QueuedRequest request) {
  const PriorityClass priority = request.priority;
  const double class_step = 1.0 / WeightOf(priority);
  const double flow_step = 1.0 / std::max(1, request.customer_weight);
  const CustomerName customer = request.customer;
  Insert(std::move(request), true);
  classes_[priority].pass -= class_step;
  classes_[priority].flows[customer].pass -= flow_step;
}

std::optional<QueuedRequest> WaitQueue::Pop(Instant now) {
  ClassState* best_class = nullptr;
  PriorityClass priority{};
  for (auto& [name, it] : classes_) {
    if (it.size == 0) continue;
    if (best_class != nullptr && it.pass >= best_class->pass) continue;
    best_class = &it;
    priority = name;
  }
  if (best_class == nullptr) return std::nullopt;
  auto best = best_class->flows.end();
  for (auto it = best_class->flows.begin(); it != best_class->flows.end();
       ++it) {
    const bool better =
        best == best_class->flows.end() || it->second.pass < best->second.pass;
    if (!it->second.waiting.empty() && better) best = it;
  }
  QueuedRequest out = std::move(best->second.waiting.front());
  best->second.waiting.pop_front();
  class_time_ = best_class->pass;
  best_class->flow_time = best->second.pass;
  best_class->pass += 1.0 / WeightOf(priority);
  best->second.pass += 1.0 / std::max(1, out.customer_weight);
  --best_class->size;
  --size_;
  service_rate_.Add(now, 1);
  return out;
}

std::vector<QueuedRequest> WaitQueue::TakeExpired(Instant now) {
  std::vector<QueuedRequest> out;
  for (auto& [name, state] : classes_) {
    for (auto it = state.flows.begin(); it != state.flows.end();) {
      std::deque<QueuedRequest>& waiting = it->second.waiting;
      for (auto q = waiting.begin(); q != waiting.end();) {
        if (q->deadline > now) {
          ++q;
          continue;
        }
        out.push_back(std::move(*q));
        q = waiting.erase(q);
        --state.size;
        --size_;
      }
      // An empty flow that isn't ahead of the others needs no state: a new flow
      // starts at `flow_time`.
      const bool erase_flow =
          waiting.empty() && it->second.pass <= state.flow_time;
      it = erase_flow ? state.flows.erase(it) : std::next(it);
    }
  }
  return out;
}

bool WaitQueue::Remove(const RequestId& request) {
  for (auto& [name, state] : classes_) {
    for (auto& [customer, flow] : state.flows) {
      const std::size_t n = std::erase_if(
          flow.waiting,
          [&](const QueuedRequest& it) { return it.request == request; });
      if (n == 0) continue;
      state.size -= n;
      size_ -= n;
      return true;
    }
  }
  return false;
}

}  // namespace quaytrack
