// LinkWatch: whether this VM's network link is close to its capacity.
//
//   LinkWatch watch({link_bytes_per_s});
//   if (watch.Observe(now, bytes_in, bytes_out)) ...   // IsBusy() has changed
//   if (watch.IsBusy()) ...
//
// Rule: the load is the bytes carried by the busier direction over the capacity
// of the link, smoothed. The link becomes busy when the load reaches `busy`,
// and stays busy until the load falls below `eased`. A router whose link is
// busy reports itself as not ready, so that it gets no new connections; open
// connections stay.
//
// Reason: a full link delays all traffic on it, and new connections over it
// fail. The load balancer distributes connections by a hash of the caller
// without regard to load, so one large customer can fill the link of one VM
// while others are idle. A router that reports itself as not ready for a while
// makes the load spread over as many routers as it needs.
//
// Inputs: running totals of bytes in each direction, taken a few times a
// second. The link's capacity is a setting (--link-mbps); without it, the link
// is never busy. The log event `link_busy` reports each change.
//
// Owns its last totals and the smoothed load; cannot fail.

#ifndef QUAYTRACK_DISPATCH_LINK_WATCH_H_
#define QUAYTRACK_DISPATCH_LINK_WATCH_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace quaytrack {

struct LinkWatchOptions {
  // Capacity of the link in each direction, in bytes a second; 0 if unknown.
  double bytes_per_s = 0;
  // Thresholds of the load: the link becomes busy at `busy`, and stops being
  // busy below `eased`; 1 is full.
  double busy = 0.6;
  double eased = 0.45;
  // Time constant of the smoothing.
  Duration smoothing = std::chrono::milliseconds(700);
};

class LinkWatch {
 public:
  explicit LinkWatch(LinkWatchOptions options) : options_(options) {}

  // Takes the running totals of bytes carried. Returns whether `IsBusy` has
  // changed. The first call only sets the reference for the next one.
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
  // The smoothed load; 1 is full.
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
