// When a router leaves new connections unread, and that it then serves what it
// reads.

#include "relay/accept_gate.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_CASE(ALoopThatIsOnTimeAcceptsAll) {
  AcceptGate gate;
  Instant now = kStart;
  for (int n = 0; n < 100; ++n, now += AcceptGate::kTick) {
    BOOST_TEST(!gate.OnTick(now));
    BOOST_TEST(gate.MayAccept(now));
  }
}

// Guards against callers that are turned away because a process was stopped, or
// had one long turn.
BOOST_AUTO_TEST_CASE(OneLongDelayClosesNothing) {
  AcceptGate gate;
  gate.OnTick(kStart);
  Instant now = kStart + seconds(5);
  for (int n = 0; n < 10; ++n, now += AcceptGate::kTick) {
    BOOST_TEST(!gate.OnTick(now));
    BOOST_TEST(gate.MayAccept(now));
  }
}

// Guards against callers without another router, and a platform that takes the
// router for dead: some connections are always accepted.
BOOST_AUTO_TEST_CASE(ALastingDelayLeavesConnectionsUnreadButForSome) {
  AcceptGate gate;
  Instant now = kStart;
  gate.OnTick(now);
  int accepted = 0;
  constexpr int kTicks = 100;
  const Duration late = AcceptGate::kTick + AcceptGate::kMaxDelay;
  for (int n = 0; n < kTicks; ++n) {
    now += late;
    gate.OnTick(now);
    for (int k = 0; k < 50; ++k) accepted += gate.MayAccept(now) ? 1 : 0;
  }
  BOOST_TEST(gate.IsLimited());
  BOOST_TEST(accepted >= kTicks * ToSeconds(late) * AcceptGate::kMinRate / 2);
  BOOST_TEST(accepted <= kTicks * 50 / 4);
  for (Instant end = now + AcceptGate::kCalm; now < end;
       now += AcceptGate::kTick) {
    gate.OnTick(now);
  }
  BOOST_TEST(gate.OnTick(now));
  BOOST_TEST(!gate.IsLimited());
}

// Simulates a loop that accepts, in each turn, what has come since the last
// one, and then works on what it has accepted.
struct Simulated {
  struct Result {
    int read = 0;
    int in_time = 0;
    int unread = 0;
    double InTime() const {
      return read == 0 ? 0 : static_cast<double>(in_time) / read;
    }
  };

  static constexpr Duration kWork = milliseconds(4);
  static constexpr Duration kAim = milliseconds(600);
  // The platform's bound on the time until what is read is served as before.
  static constexpr Duration kAdapted = seconds(3);

  static Result Run(int per_s, Duration time, bool has_gate) {
    AcceptGate gate;
    Result out;
    const Duration every = Duration(seconds(1)) / per_s;
    Instant now = kStart;
    Instant next = kStart;
    Instant next_tick = kStart;
    while (now < kStart + time) {
      if (now >= next_tick) {
        gate.OnTick(now);
        next_tick = now + AcceptGate::kTick;
      }
      std::deque<Instant> accepted;
      for (; next <= now; next += every) {
        const bool may = !has_gate || gate.MayAccept(now);
        if (may) accepted.push_back(next);
        if (!may) ++out.unread;
      }
      for (const Instant came : accepted) {
        now += kWork;
        if (came < kStart + kAdapted) continue;
        ++out.read;
        if (now - came <= kAim) ++out.in_time;
      }
      if (accepted.empty()) now += milliseconds(1);
    }
    return out;
  }
};

// Guards against requests that a crowded router reads and serves too late.
// Three times as many come as it can serve.
BOOST_AUTO_TEST_CASE(WhatACrowdedLoopReadsIsServedInTime) {
  constexpr int kCapacity = 250;
  const auto usual = Simulated::Run(kCapacity / 2, seconds(10), true);
  BOOST_TEST(usual.unread == 0);
  BOOST_TEST(usual.InTime() == 1);
  const auto without = Simulated::Run(3 * kCapacity, seconds(10), false);
  const auto with = Simulated::Run(3 * kCapacity, seconds(10), true);
  BOOST_TEST_MESSAGE("without: " << without.in_time << " of " << without.read
                                 << " in time; with: " << with.in_time << " of "
                                 << with.read << ", " << with.unread
                                 << " unread");
  BOOST_TEST(with.unread > 0);
  BOOST_TEST(with.InTime() >= 0.75);
  BOOST_TEST(with.in_time >= kCapacity * 7 / 2);
}

}  // namespace
}  // namespace quaytrack
