// LinkWatch: whether this VM's network link carries about as much as it can.
//
//   LinkWatch watch({link_bytes_per_s});
//   watch.Observe(now, carried_in, carried_out);   // a few times a second
//   if (watch.IsBusy()) ...
//
// A full link delays everything on it, and connections that are opened over it
// fail. The balancer spreads connections by a hash of the caller, without
// looking at load, so one large customer can fill one VM's link while the
// others are idle. A router whose link is busy asks for no new connections
// until it has eased; those that are open stay, so the load spreads over as
// many routers as it needs.

#ifndef QUAYTRACK_DISPATCH_LINK_WATCH_H_
#define QUAYTRACK_DISPATCH_LINK_WATCH_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace quaytrack {

struct LinkWatchOptions {
  // Of each direction; 0 if it isn't known, and then the link is never busy.
  double bytes_per_s = 0;
  // Parts of that from which the link is busy, and below which it has eased.
  double busy = 0.6;
  double eased = 0.45;
  // Time over which the load is smoothed.
  Duration smoothing = std::chrono::milliseconds(700);
};

class LinkWatch {
 public:
  explicit LinkWatch(LinkWatchOptions options) : options_(options) {}

  // Takes running totals of bytes. Returns whether `IsBusy` has changed.
  bool Observe(Instant now, double carried_in, double carried_out) {
    if (options_.bytes_per_s <= 0) return false;
    const double carried = std::max(carried_in - in_, carried_out - out_);
    const double elapsed = ToSeconds(now - at_);
    const bool first = at_ == Instant();
    in_ = carried_in;
    out_ = carried_out;
    at_ = now;
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
  // Part of the link that is in use.
  double load() const { return load_; }

 private:
  LinkWatchOptions options_;
  double in_ = 0;
  double out_ = 0;
  Instant at_{};
  double load_ = 0;
  bool busy_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_LINK_WATCH_H_
