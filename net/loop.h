// The event loop: one libevent base on one thread.
//
// All work of a process runs in callbacks of this loop. So no code needs locks,
// and no callback may block, as nothing else runs meanwhile.
//
//   Loop loop;
//   const auto tick = loop.Every(200ms, [] { ... });
//   const auto once = loop.After(1s, [&] { loop.Stop(); });
//   loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
//   loop.Run();
//
// A timer runs until the pointer that the loop returned is destroyed. `Post`
// runs an action after the current callback; it can delay the release of an
// object that libevent or a function further up the stack still uses:
//
//   loop.Post([keep = shared_from_this()] {});
//
// The loop owns the libevent base, and must outlive all timers and sockets on
// it. The loop also makes the process ignore SIGPIPE, so that writing to a
// connection that the peer has closed doesn't end the process.
//
// Delays are rounded down to microseconds.

#ifndef QUAYTRACK_NET_LOOP_H_
#define QUAYTRACK_NET_LOOP_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "net/held_bytes.h"
#include "net/traffic.h"

struct event;
struct event_base;

namespace quaytrack {

// A repeating or one-shot timer; it stops when the object is destroyed. The
// timer's action may destroy the timer.
class Timer {
 public:
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  friend class Loop;
  Timer(event_base* base, Duration delay, bool repeat,
        std::function<void()> action);
  static void OnFire(int fd, short what, void* self);

  std::function<void()> action_;
  event* event_;
};

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The libevent base, for code that calls libevent directly.
  event_base* base() const { return base_; }
  // Bytes that the sockets of this loop have carried (net/traffic.h).
  Traffic& traffic() { return traffic_; }
  // Bytes that the buffers of connections hold (net/held_bytes.h).
  HeldBytes& held() { return held_; }

  // Runs `action` once, after `delay`.
  [[nodiscard]] std::unique_ptr<Timer> After(Duration delay,
                                             std::function<void()> action);
  // Runs `action` every `period`, first after one period.
  [[nodiscard]] std::unique_ptr<Timer> Every(Duration period,
                                             std::function<void()> action);
  // Runs `action` on the loop, not in the signal handler, for each `signal`.
  void OnSignal(int signal, std::function<void()> action);
  // Runs `action` once the current callback has returned, in the order of the
  // calls.
  void Post(std::function<void()> action);

  // Returns after `Stop`, or when no events are left to wait for.
  void Run();
  // Ends `Run` after the current callback.
  void Stop();

 private:
  struct SignalHandler;
  static void OnPosted(int fd, short what, void* self);

  event_base* base_;
  Traffic traffic_;
  HeldBytes held_;
  event* posted_event_;
  std::vector<std::function<void()>> posted_;
  std::vector<std::unique_ptr<SignalHandler>> signals_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_LOOP_H_
