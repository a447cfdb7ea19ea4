// CurrencyWaitList: callbacks that wait until a copy of the store's state is
// known to be current.
//
//   CurrencyWaitList waits(loop, is_current_at, ask);
//   waits.Await(request.begun, [](bool is_current) {...});
//   waits.ServeLater();                 // whenever an answer has arrived
//
// The first wait asks; those that begin meanwhile share the answer. An answer
// shows the state as of its question, so after it the list asks again for the
// waits that need a later state, at most once in `kAskInterval`. A wait ends
// without being served after `kAnswerTime`.
//
// Owns the callbacks and its timers. The loop must outlive it. Callbacks are
// never called from inside `Await`.

#ifndef QUAYTRACK_RELAY_CURRENCY_WAIT_LIST_H_
#define QUAYTRACK_RELAY_CURRENCY_WAIT_LIST_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "net/loop.h"

namespace quaytrack {

class CurrencyWaitList {
 public:
  // How long an answer is waited for.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(400);
  // Bounds the questions of a router whose waits keep beginning.
  static constexpr Duration kAskInterval = std::chrono::milliseconds(50);

  using Done = std::function<void(bool is_current)>;

  CurrencyWaitList(Loop& loop, std::function<bool(Instant at)> is_current_at,
                   std::function<void()> ask);

  void Await(Instant at, Done done);
  // Serves the waits for which the state is current, right away or, so that the
  // state of the running answer is applied first, from the loop.
  void Serve();
  void ServeLater();

 private:
  struct Wait {
    Instant at{};
    Done done;
    std::unique_ptr<Timer> timer;
  };

  void AskLater();
  void GiveUp(const Wait* wait);

  Loop& loop_;
  std::function<bool(Instant)> is_current_at_;
  std::function<void()> ask_;
  std::vector<std::unique_ptr<Wait>> waits_;
  std::unique_ptr<Timer> serve_timer_;
  std::unique_ptr<Timer> ask_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CURRENCY_WAIT_LIST_H_
