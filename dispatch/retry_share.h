// RetryShare: one router's share of the retries that the deployment allows for
// a service.
//
//   RetryShare share({ratio, window, slack, margin, process_start});
//   share.SetRouters(fleet.size());             // once the list was read
//   share.OnRequest(now);                       // once per request
//   if (share.TryRetry(now)) ...                // false: give up
//
// Rule: within any window, all routers together may send a service at most
// `ratio` times its requests plus `slack` retries, where a retry is any send of
// a request beyond its first, counted when it arrives. The requests are those
// of the window, of the one before it, or of the one half a window before it,
// whichever are most.
//
// A router knows only its own requests, and nothing of what the process before
// it has sent. A retry is paid for in one of two ways:
//
//   - By requests: a retry uses up 2 / `ratio` requests that came within
//     `window` - `kMaxArrival` and haven't paid for another. What arrives in a
//     window was sent up to `kMaxArrival` earlier, so it was paid for by
//     requests of that window and the one before it. These are at most twice
//     the requests of the rule, whichever routers and processes got them.
//     (Per-client retry budgets: "Handling Overload", Google SRE book, 2016.)
//   - By slack: an equal part of `slack` for each router on the list. What a
//     router has sent of it is forgotten after `window` + `kMaxArrival`, and a
//     process has none for that long, as the one before it on the same VM may
//     have used the whole part. The first process on a VM need not wait. None
//     has slack before it has read the list, so one that never read it, and
//     left no entry there, used none. `margin` allows for routers that have
//     joined and that others don't know yet: up to a third of those on the
//     list.
//
// So the rule holds however the load is distributed and moves, and whichever
// routers restart, together or alone.
//
// Inputs: this router's requests and retries, and the number of routers.
// `ratio`, `slack` and the window are settings (--retry-ratio, --retry-slack,
// --retry-window-s).
//
// Owns two lists of times, with one entry for each request and retry in the
// window; relies on the time passed in, which never goes back.
//
// `quaytrack router` uses route/retry_budget.h instead: that program has no
// fleet-wide rule to keep, and only bounds its own retries so that they cannot
// multiply an overload. A balance without a window is sufficient for that.

#ifndef QUAYTRACK_DISPATCH_RETRY_SHARE_H_
#define QUAYTRACK_DISPATCH_RETRY_SHARE_H_

#include <cmath>
#include <cstddef>
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
  // Fraction of this router's part of the slack that it uses; the rest is for
  // routers that aren't on the list yet.
  double margin = 0.8;
  // When this process started.
  Instant started_at{};
};

class RetryShare {
 public:
  // Upper bound of the time from the decision to retry until the request
  // arrives: opening the connection, and bytes that stay unacknowledged
  // (http/target_connection.h).
  static constexpr Duration kMaxArrival = std::chrono::milliseconds(2500);

  explicit RetryShare(RetryShareOptions options) : options_(options) {}

  // Sets how many routers share the slack; 0 while this is unknown.
  void SetRouters(std::size_t routers) { routers_ = routers; }

  // Sets whether an earlier process on this VM may have used the slack.
  void SetHasPredecessor(bool has_predecessor) {
    has_predecessor_ = has_predecessor;
  }

  // Notes that a request was admitted. `TryRetry` counts retries.
  void OnRequest(Instant now) {
    DropOld(now);
    requests_.push_back(now);
  }

  // Returns whether a retry is allowed, and counts it if so.
  bool TryRetry(Instant now) {
    DropOld(now);
    const std::size_t price = RequestsPerRetry();
    if (price > 0 && requests_.size() >= price) {
      requests_.erase(requests_.begin(),
                      requests_.begin() + static_cast<std::ptrdiff_t>(price));
      return true;
    }
    if (static_cast<double>(slack_retries_.size()) + 1 > SlackPart(now)) {
      return false;
    }
    slack_retries_.push_back(now);
    return true;
  }

 private:
  // 0 if requests pay for none.
  std::size_t RequestsPerRetry() const {
    // 2 / 0.2 is 10 requests, also if the quotient is a little above.
    constexpr double kRounding = 1e-9;
    if (options_.ratio <= 0) return 0;
    return static_cast<std::size_t>(std::ceil(2 / options_.ratio - kRounding));
  }

  double SlackPart(Instant now) const {
    const Duration wait = options_.window + kMaxArrival;
    if (routers_ == 0) return 0;
    if (has_predecessor_ && now - options_.started_at < wait) return 0;
    return options_.slack * options_.margin / static_cast<double>(routers_);
  }

  void DropOld(Instant now) {
    DropBefore(now - (options_.window - kMaxArrival), requests_);
    DropBefore(now - (options_.window + kMaxArrival), slack_retries_);
  }
  static void DropBefore(Instant oldest, std::deque<Instant>& times) {
    while (!times.empty() && times.front() < oldest) times.pop_front();
  }

  RetryShareOptions options_;
  std::size_t routers_ = 0;
  bool has_predecessor_ = true;
  // Requests that haven't paid for a retry.
  std::deque<Instant> requests_;
  // Retries that the slack has paid for.
  std::deque<Instant> slack_retries_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_RETRY_SHARE_H_
