// LinkWatch: whether this VM's network link carries about as much as it can.
//
//   LinkWatch watch({link_bytes_per_s});
//   if (watch.Observe(now, bytes_in, bytes_out)) ...   // IsBusy has changed
//   if (watch.IsBusy()) ...
//
// The rule. The load is what the busier direction carried, over what the link
// can carry, smoothed. The link is busy from `busy` on, and until the load is
// below `eased` again. A router whose link is busy reports itself as not ready,
// so that it gets no new connections; open ones stay.
//
// Why. A full link delays everything on it, and connections opened over it
// fail. The balancer spreads connections by a hash of the caller, without
// looking at load, so one large customer can fill one VM's link while others
// are idle. A router that steps aside for a while makes the load spread over as
// many routers as it needs.
//
// Inputs: running totals of bytes in each direction, taken a few times a
// second. The link's speed is a setting (--link-mbps); without it, nothing is
// ever busy. `link_busy` of the log shows the rule at work.
//
// Measured: with these figures and a headroom (--cover-s) of 10 s, which came
// in one change, the worth of the grown site's quiet-1 rose from 0.346 to 0.546
// (trial, commit 02163af). Other figures were not tried.
//
// It owns its last totals and the smoothed load, and can't fail.

#ifndef QUAYTRACK_DISPATCH_LINK_WATCH_H_
#define QUAYTRACK_DISPATCH_LINK_WATCH_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace quaytrack {

struct LinkWatchOptions {
  // Bytes a second in each direction; 0 if it isn't known.
  double bytes_per_s = 0;
  // Load from which the link is busy, and below which it has eased; 1 is full.
  double busy = 0.6;
  double eased = 0.45;
  // Time constant of the smoothing. Not measured.
  Duration smoothing = std::chrono::milliseconds(700);
};

class LinkWatch {
 public:
  explicit LinkWatch(LinkWatchOptions options) : options_(options) {}

  // Takes the bytes carried since the start. Returns whether `IsBusy` has
  // changed. The first call only sets where the next one counts from.
  bool Observe(Instant now, double bytes_in, double bytes_out) {
    if (options_.bytes_per_s <= 0) return false;
    const double carried =
        std::max(bytes_in - bytes_in_, bytes_out - bytes_out_);
    const double elapsed = ToSeconds(now - observed_at_);
    const bool first = observed_at_ == Instant();
    bytes_in_ = bytes_in;
    bytes_out_ = bytes_out;
    observed_at_ = now;
    if (first || elapsed <= 0) return false;
    const double load = carried / elapsed / options_.bytes_per_s;
    const double weight =
        1 - std::exp(-elapsed / ToSeconds(options_.smoothing));
    load_ += (load - load_) * weight;
    const bool before = busy_;
    busy_ = load_ >= (busy_ ? options_.eased : options_.busy);
    return busy_ != before;
  }

  bool IsBusy() const { return busy_; }
  // Smoothed; 1 is full.
  double load() const { return load_; }

 private:
  LinkWatchOptions options_;
  double bytes_in_ = 0;
  double bytes_out_ = 0;
  Instant observed_at_{};
  double load_ = 0;
  bool busy_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_LINK_WATCH_H_
