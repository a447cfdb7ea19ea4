// One router's share of the retries that a service may be given.
//
// The rule is one for all routers together: in any window, sends beyond the
// first of each request are at most a part of the requests plus a fixed slack.
// Each router keeps to its own requests' part and to its share of the slack,
// with a margin, so that the sum keeps to the rule whatever the split of the
// load ("Handling Overload", Google SRE book, 2016, per-client retry budgets).

#ifndef QUAYTRACK_DISPATCH_RETRY_SHARE_H_
#define QUAYTRACK_DISPATCH_RETRY_SHARE_H_

#include <algorithm>
#include <deque>

#include "base/clock.h"

namespace quaytrack {

struct RetryShareOptions {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 50;
  // Part of the allowed retries that is used.
  double margin = 0.8;
};

class RetryShare {
 public:
  explicit RetryShare(RetryShareOptions options) : options_(options) {}

  void SetRouters(std::size_t routers) {
    routers_ = std::max<std::size_t>(1, routers);
  }

  void OnRequest(Instant now) {
    Forget(now);
    requests_.push_back(now);
  }

  // Counts a retry if there is one left.
  bool TryRetry(Instant now) {
    Forget(now);
    const double slack = options_.slack / static_cast<double>(routers_);
    const double most =
        options_.ratio * static_cast<double>(requests_.size()) + slack;
    if (static_cast<double>(retries_.size() + 1) > most * options_.margin) {
      return false;
    }
    retries_.push_back(now);
    return true;
  }

 private:
  void Forget(Instant now) {
    const Instant old = now - options_.window;
    while (!requests_.empty() && requests_.front() < old) requests_.pop_front();
    while (!retries_.empty() && retries_.front() < old) retries_.pop_front();
  }

  RetryShareOptions options_;
  std::size_t routers_ = 1;
  std::deque<Instant> requests_;
  std::deque<Instant> retries_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_RETRY_SHARE_H_
