// AcceptGate decides whether a new connection of a caller is accepted, or
// closed before anything of it is read.
//
//   AcceptGate gate;
//   gate.OnTick(now);                    // from a timer, each `kTick`
//   if (!gate.MayAccept(now)) ...        // close the connection
//
// A balancer may hand most new connections of a hall to one router. A request
// that this router reads and can't serve in time is lost for its caller; one
// that it leaves unread is sent elsewhere at once. So a router that can't keep
// up reads less.
//
// The measure is the delay of the event loop, by a timer that is late. A loop
// that is late in each turn for a while (`kInterval`) has a standing queue of
// work, as in CoDel (RFC 8289); one that is late once has a burst that it
// carries, or was stopped. From then on the rate of accepted connections is
// limited: it starts at what the loop took, is lowered when the loop is late
// and raised slowly while it is on time (AIMD). The limit ends when the loop
// has been on time for `kCalm`.
//
// Reads no clock and opens no sockets; cannot fail. Rates are connections a
// second.

#ifndef QUAYTRACK_RELAY_ACCEPT_GATE_H_
#define QUAYTRACK_RELAY_ACCEPT_GATE_H_

#include <optional>

#include "base/clock.h"

namespace quaytrack {

class AcceptGate {
 public:
  // Interval of the timer by which the delay of the loop is measured.
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  // Most plain calls should be answered within 150 ms, so callers notice this.
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(100);
  // How long the delay has to last, and in how many ticks.
  static constexpr Duration kInterval = std::chrono::milliseconds(300);
  static constexpr int kMinLateTicks = 3;
  static constexpr Duration kCalm = std::chrono::seconds(5);
  // Part of the rate that is left when the loop is late, and part by which the
  // rate grows in a second on time.
  static constexpr double kDecrease = 0.7;
  static constexpr double kIncreasePerS = 0.2;
  // Callers that have no other router are still served, and the platform sees
  // that the router takes connections.
  static constexpr double kMinRate = 4;

  // Returns whether `IsLimited` has changed.
  bool OnTick(Instant now);
  // Whether a connection that has come may be accepted.
  bool MayAccept(Instant now);

  bool IsLimited() const { return rate_.has_value(); }
  // 0 if there is no limit.
  double rate() const { return rate_.value_or(0); }

 private:
  void OnLate(Instant now, Duration since_tick);
  void OnTime(Instant now, Duration since_tick);
  // Connections that may be accepted at once, beside the rate.
  double MaxBurst() const;

  // Unset while there is no limit.
  std::optional<double> rate_;
  // Connections that may be accepted now.
  double allowance_ = 0;
  Instant allowance_at_{};

  bool has_ticked_ = false;
  Instant last_tick_{};
  int accepted_since_tick_ = 0;
  int late_ticks_ = 0;
  // When the first of the late ticks was due, and the latest came.
  Instant late_since_{};
  Instant late_at_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ACCEPT_GATE_H_
