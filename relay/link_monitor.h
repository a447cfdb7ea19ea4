// LinkMonitor measures the load of this VM's network link. It passes the
// traffic of a loop's sockets to dispatch/link_watch.h, which decides whether
// the link is busy.
//
//   LinkMonitor link(loop, clock, settings.link_mbps);
//   if (link.Observe()) LogChange(link.IsBusy());      // a few times a second
//
// Sockets count the bytes of their payload and the reads and writes that
// carried them (net/traffic.h). Each read or write takes at least one packet,
// and an acknowledgement in the other direction, so each counts `kHeaderBytes`
// in both. The result is an estimate on the low side, as a large read or write
// takes several packets.

#ifndef QUAYTRACK_RELAY_LINK_MONITOR_H_
#define QUAYTRACK_RELAY_LINK_MONITOR_H_

#include "base/clock.h"
#include "dispatch/link_watch.h"
#include "net/loop.h"

namespace quaytrack {

class LinkMonitor {
 public:
  // `mbps`: megabits a second of each direction; 0 if unknown, and then the
  // link is never busy.
  LinkMonitor(Loop& loop, const Clock& clock, double mbps)
      : loop_(loop), clock_(clock), watch_({mbps * kBytesPerMegabit}) {}

  // Returns whether `IsBusy` has changed.
  bool Observe() {
    const Traffic& it = loop_.traffic();
    const double headers =
        kHeaderBytes * static_cast<double>(it.pieces_in + it.pieces_out);
    return watch_.Observe(clock_.Now(),
                          static_cast<double>(it.bytes_in) + headers,
                          static_cast<double>(it.bytes_out) + headers);
  }

  bool IsBusy() const { return watch_.IsBusy(); }
  // The share of the link that is in use, smoothed.
  double load() const { return watch_.load(); }

 private:
  static constexpr double kBytesPerMegabit = 1e6 / 8;
  // Assumed size in bytes of the IP and TCP headers of a data packet or an
  // acknowledgement: 40 without options, more with them.
  static constexpr double kHeaderBytes = 60;

  Loop& loop_;
  const Clock& clock_;
  LinkWatch watch_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_LINK_MONITOR_H_
