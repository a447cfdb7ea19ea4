// The event loop: one libevent base on one thread.
//
// Everything that a process does happens in callbacks of this loop, so no code
// needs locks, and no callback may block: while one runs, nothing else does.
//
//   Loop loop;
//   const auto tick = loop.Every(200ms, [] { ... });
//   const auto once = loop.After(1s, [&] { loop.Stop(); });
//   loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
//   loop.Run();
//
// A timer lives as long as the pointer that the loop returned; to stop it is to
// drop the pointer. `Post` runs something after the current callback, which is
// how an object that libevent or a caller further up still uses gets freed:
//
//   loop.Post([keep = shared_from_this()] {});
//
// The loop owns the libevent base, and must outlive all timers and sockets on
// it. It also makes the process ignore SIGPIPE, since a peer that closes while
// we write must not end the process.
//
// Delays are rounded down to microseconds.

#ifndef QUAYTRACK_NET_LOOP_H_
#define QUAYTRACK_NET_LOOP_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "net/traffic.h"

struct event;
struct event_base;

namespace quaytrack {

// A repeating or one-shot timer; it stops when it is destroyed. Its action may
// destroy it.
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

  // For code that speaks to libevent itself.
  event_base* base() const { return base_; }
  // What the sockets of this loop have carried (net/traffic.h).
  Traffic& traffic() { return traffic_; }

  // Runs `action` once, after `delay`.
  [[nodiscard]] std::unique_ptr<Timer> After(Duration delay,
                                             std::function<void()> action);
  // Runs `action` every `period`, for the first time after one.
  [[nodiscard]] std::unique_ptr<Timer> Every(Duration period,
                                             std::function<void()> action);
  // Runs `action` on the loop, not in the signal handler, for each `signal`.
  void OnSignal(int signal, std::function<void()> action);
  // Runs `action` once the current callback has returned, in the order of the
  // calls.
  void Post(std::function<void()> action);

  // Returns after `Stop`, or when nothing is left to wait for.
  void Run();
  // Ends `Run` after the current callback.
  void Stop();

 private:
  struct SignalHandler;
  static void OnPosted(int fd, short what, void* self);

  event_base* base_;
  Traffic traffic_;
  event* posted_event_;
  std::vector<std::function<void()>> posted_;
  std::vector<std::unique_ptr<SignalHandler>> signals_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_LOOP_H_
