// LinkMonitor measures the load of this VM's network link. It passes the
// traffic of a loop's sockets to dispatch/link_watch.h, which decides whether
// the link is busy.
//
//   LinkMonitor link(loop, clock, settings.link_mbps);
//   if (link.Observe()) LogChange(link.IsBusy());      // a few times a second
//   const WireTotals it = link.Totals();               // in and out
//
// Sockets count the bytes of their payload and the reads and writes that
// carried them (net/traffic.h). Each read or write takes at least one packet,
// and an acknowledgement in the other direction, so each counts `kHeaderBytes`
// in both. A large read or write takes more packets, so each `kSegmentBytes`
// carried counts another header, and half of one in the other direction, as
// two packets of a series share an acknowledgement.

#ifndef QUAYTRACK_RELAY_LINK_MONITOR_H_
#define QUAYTRACK_RELAY_LINK_MONITOR_H_

#include "base/clock.h"
#include "dispatch/link_watch.h"
#include "net/loop.h"

namespace quaytrack {

// Running totals of bytes carried in each direction, with headers.
struct WireTotals {
  double in = 0;
  double out = 0;
};

class LinkMonitor {
 public:
  // `mbps`: megabits a second of each direction; 0 if unknown, and then the
  // link is never busy.
  LinkMonitor(Loop& loop, const Clock& clock, double mbps)
      : loop_(loop),
        clock_(clock),
        bytes_per_s_(mbps * kBytesPerMegabit),
        watch_({bytes_per_s_}) {}

  // Returns whether `IsBusy` has changed.
  bool Observe() {
    const WireTotals it = Totals();
    return watch_.Observe(clock_.Now(), it.in, it.out);
  }

  WireTotals Totals() const {
    const Traffic& it = loop_.traffic();
    const double headers =
        kHeaderBytes * static_cast<double>(it.pieces_in + it.pieces_out);
    const auto in = static_cast<double>(it.bytes_in);
    const auto out = static_cast<double>(it.bytes_out);
    const double header_share = kHeaderBytes / kSegmentBytes;
    return {in + headers + header_share * (in + out / 2),
            out + headers + header_share * (out + in / 2)};
  }

  // Capacity in bytes a second; 0 if unknown.
  double bytes_per_s() const { return bytes_per_s_; }

  bool IsBusy() const { return watch_.IsBusy(); }
  // The share of the link that is in use, smoothed.
  double load() const { return watch_.load(); }

 private:
  static constexpr double kBytesPerMegabit = 1e6 / 8;
  // Assumed size in bytes of the IP and TCP headers of a data packet or an
  // acknowledgement: 40 without options, more with them.
  static constexpr double kHeaderBytes = 60;
  // Payload of a full packet on Ethernet, with the usual TCP options.
  static constexpr double kSegmentBytes = 1448;

  Loop& loop_;
  const Clock& clock_;
  double bytes_per_s_;
  LinkWatch watch_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_LINK_MONITOR_H_
