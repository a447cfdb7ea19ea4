// The event loop: one libevent base on one thread.
//
// Everything that a process does happens in callbacks of this loop, so no code
// needs locks. `Post` runs something after the current callback, which is how
// objects that libevent is still using get freed.

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

// A repeating or one-shot timer; stops when destroyed.
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

  event_base* base() const { return base_; }
  // Filled by the sockets of this loop.
  Traffic& traffic() { return traffic_; }

  [[nodiscard]] std::unique_ptr<Timer> After(Duration delay,
                                             std::function<void()> action);
  [[nodiscard]] std::unique_ptr<Timer> Every(Duration period,
                                             std::function<void()> action);
  void OnSignal(int signal, std::function<void()> action);
  void Post(std::function<void()> action);

  void Run();
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
