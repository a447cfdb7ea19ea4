// RetryShare: one router's share of the retries that a service may be given.
//
//   RetryShare share({ratio, window, slack});
//   share.SetRouters(fleet.size());
//   share.OnRequest(now);                       // each request, once
//   if (share.TryRetry(now)) ...                // a retry; false: give up
//
// The rule. Within any window, all routers together may send a service at most
// `ratio` times its requests plus `slack` retries, where a retry is any send of
// a request beyond its first. A router knows its own requests only. It keeps to
// `ratio` times those plus an equal share of the slack, and uses `margin` of
// that, so that the sum keeps to the rule however the load is split (per-client
// retry budgets, "Handling Overload", Google SRE book, 2016).
//
// Inputs: this router's requests of the window, its retries of the window, and
// the number of routers, which may be a little out of date. `ratio`, `slack`
// and the window are settings (--retry-ratio, --retry-slack, --retry-window-s).
//
// It owns two lists of times, one entry for each request and retry of the
// window, and relies on the time passed in, which never goes back.
//
// `quaytrack router` uses route/retry_budget.h. That is another decision: it
// has no rule of the fleet to keep, and only bounds its own retries so that
// they can't multiply an overload; a balance without a window is enough for it.

#ifndef QUAYTRACK_DISPATCH_RETRY_SHARE_H_
#define QUAYTRACK_DISPATCH_RETRY_SHARE_H_

#include <algorithm>
#include <deque>

#include "base/clock.h"

namespace quaytrack {

struct RetryShareOptions {
  // Retries for each request. This and the next two are set by the deployment;
  // the defaults are those of the settings and were not measured.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Retries in each window beyond `ratio`, of all routers together.
  double slack = 50;
  // Part of this router's share that it uses; the rest allows for a number of
  // routers that is out of date. Not measured.
  double margin = 0.8;
};

class RetryShare {
 public:
  explicit RetryShare(RetryShareOptions options) : options_(options) {}

  // How many routers share the slack; 0 counts as 1.
  void SetRouters(std::size_t routers) {
    routers_ = std::max<std::size_t>(1, routers);
  }

  // A request was admitted; its own retries don't count as requests.
  void OnRequest(Instant now) {
    DropOld(now);
    requests_.push_back(now);
  }

  // Whether a retry is left; if so, it is counted.
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
