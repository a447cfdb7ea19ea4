// RetryShare: one router's share of the retries that the deployment allows for
// a service.
//
//   RetryShare share({ratio, window, slack});
//   share.SetRouters(fleet.size());
//   share.OnRequest(now);                       // once per request
//   if (share.TryRetry(now)) ...                // false: give up
//
// Rule: within any window, all routers together may send a service at most
// `ratio` times its requests plus `slack` retries, where a retry is any send of
// a request beyond its first. A router knows only its own requests. It allows
// `ratio` times its own requests plus an equal share of the slack, and uses
// only the fraction `margin` of this sum, so that the total stays within the
// rule however the load is distributed (per-client retry budgets, "Handling
// Overload", Google SRE book, 2016).
//
// Inputs: this router's requests and retries in the window, and the number of
// routers, which may be slightly out of date. `ratio`, `slack` and the window
// are settings (--retry-ratio, --retry-slack, --retry-window-s).
//
// Owns two lists of times, with one entry for each request and retry in the
// window; relies on the time passed in, which never goes back.
//
// `quaytrack router` uses route/retry_budget.h instead: that program has no
// fleet-wide rule to keep, and only bounds its own retries so that they cannot
// multiply an overload. A balance without a window is sufficient for that.

#ifndef QUAYTRACK_DISPATCH_RETRY_SHARE_H_
#define QUAYTRACK_DISPATCH_RETRY_SHARE_H_

#include <algorithm>
#include <deque>

#include "base/clock.h"

namespace quaytrack {

struct RetryShareOptions {
  // Retries per request. The deployment sets `ratio`, `window` and `slack`; the
  // defaults are those of the settings.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Retries per window in addition to `ratio`, for all routers together.
  double slack = 50;
  // Fraction of this router's share that it uses; the rest allows for an
  // outdated number of routers.
  double margin = 0.8;
};

class RetryShare {
 public:
  explicit RetryShare(RetryShareOptions options) : options_(options) {}

  // Sets how many routers share the slack; 0 counts as 1.
  void SetRouters(std::size_t routers) {
    routers_ = std::max<std::size_t>(1, routers);
  }

  // Notes that a request was admitted. `TryRetry` counts retries.
  void OnRequest(Instant now) {
    DropOld(now);
    requests_.push_back(now);
  }

  // Returns whether a retry is allowed, and counts it if so.
  bool TryRetry(Instant now) {
    DropOld(now);
    const double slack = options_.slack / static_cast<double>(routers_);
    const double share =
        options_.ratio * static_cast<double>(requests_.size()) + slack;
    const auto wanted = static_cast<double>(retries_.size() + 1);
    if (wanted > share * options_.margin) return false;
    retries_.push_back(now);
    return true;
  }

 private:
  void DropOld(Instant now) {
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
