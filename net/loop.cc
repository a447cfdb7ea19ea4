#include "net/loop.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

#include "net/timeval.h"

namespace quaytrack {
namespace {

event_base* NewBase() {
  // Batches changes of the epoll set between two waits: a stream enables and
  // disables writing for each token, and most of these changes cancel out.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base* out = event_base_new_with_config(config);
  event_config_free(config);
  return out;
}

}  // namespace

struct Loop::SignalHandler {
  std::function<void()> action;
  event* ev = nullptr;
  ~SignalHandler() {
    if (ev != nullptr) event_free(ev);
  }
  static void OnFire(int, short, void* self) {
    static_cast<SignalHandler*>(self)->action();
  }
};

Timer::Timer(event_base* base, Duration delay, bool repeat,
             std::function<void()> action)
    : action_(std::move(action)),
      event_(event_new(base, -1, repeat ? EV_PERSIST : 0, OnFire, this)) {
  const timeval tv = ToTimeval(delay);
  event_add(event_, &tv);
}

Timer::~Timer() { event_free(event_); }

void Timer::OnFire(int, short, void* self) {
  // Calls a copy of the action, as the action may destroy this timer.
  auto action = static_cast<Timer*>(self)->action_;
  action();
}

Loop::Loop()
    : base_(NewBase()), posted_event_(event_new(base_, -1, 0, OnPosted, this)) {
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop() {
  signals_.clear();
  // Posted actions may own objects that need the base in their destructors.
  posted_.clear();
  event_free(posted_event_);
  event_base_free(base_);
}

std::unique_ptr<Timer> Loop::After(Duration delay,
                                   std::function<void()> action) {
  return std::unique_ptr<Timer>(
      new Timer(base_, delay, false, std::move(action)));
}

std::unique_ptr<Timer> Loop::Every(Duration period,
                                   std::function<void()> action) {
  return std::unique_ptr<Timer>(
      new Timer(base_, period, true, std::move(action)));
}

void Loop::OnSignal(int signal, std::function<void()> action) {
  auto handler = std::make_unique<SignalHandler>();
  handler->action = std::move(action);
  handler->ev =
      evsignal_new(base_, signal, SignalHandler::OnFire, handler.get());
  event_add(handler->ev, nullptr);
  signals_.push_back(std::move(handler));
}

void Loop::Post(std::function<void()> action) {
  if (posted_.empty()) event_active(posted_event_, EV_TIMEOUT, 0);
  posted_.push_back(std::move(action));
}

void Loop::OnPosted(int, short, void* self) {
  auto actions = std::exchange(static_cast<Loop*>(self)->posted_, {});
  for (auto& it : actions) it();
}

void Loop::Run() { event_base_dispatch(base_); }

void Loop::Stop() { event_base_loopbreak(base_); }

}  // namespace quaytrack
