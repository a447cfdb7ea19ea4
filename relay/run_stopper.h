// RunStopper ends runs of streams at their targets, where closing a connection
// doesn't: the run is another router's, which has stopped without a sign, or
// its target notices the close late.
//
//   RunStopper stops(loop, clock, targets, dialect, metrics);
//   stops.Stop({run, destination}, [](const StoppedRun& it) {...});
//   stops.StopAfterClose({run, destination});
//   stops.Drop(run, it.cache);              // if nothing goes on from it
//
// A target that ends a run for another target gives that one a copy of the
// run's cache, from which the stream can go on there without reading its prompt
// again (relay/dialect.h). `Stop` is for a stream that is about to go on: its
// caller waits for the answer, at most `kAnswerTime`, as a dead target gives
// none. What is answered later is dropped, so that the copy takes no room.
// `StopAfterClose` is for a stream that goes on elsewhere already. It leaves
// the target `kCloseTime` to notice that its connection was closed, and drops
// the copy.
//
// Owns its calls and their timers, and logs the end of each (`run_stopped`).
// Loop, clock, targets, dialect and metrics must outlive it. A call that fails
// counts as unanswered; a request that goes on after that may run beside the
// earlier run, if that target lives.

#ifndef QUAYTRACK_RELAY_RUN_STOPPER_H_
#define QUAYTRACK_RELAY_RUN_STOPPER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "http/target_connection.h"
#include "net/loop.h"
#include "relay/dialect.h"
#include "relay/relay_metrics.h"

namespace quaytrack {

class RunStopper {
 public:
  // How long a caller waits. A target that lives answers within a round trip
  // and the time to copy a cache; waiting longer costs callers of dead targets
  // more than reading a prompt anew.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(150);
  // How long a late answer is listened to, so that its copy can be dropped.
  static constexpr Duration kMaxCallTime = std::chrono::seconds(2);
  // Within this time a target has noticed a closed connection, if it does so at
  // once; it is told to end the run only then, as that costs a copy.
  static constexpr Duration kCloseTime = std::chrono::milliseconds(50);

  using Done = std::function<void(const StoppedRun&)>;

  RunStopper(Loop& loop, const Clock& clock, TargetConnections& targets,
             const TargetDialect& dialect, RelayMetrics& metrics)
      : loop_(loop),
        clock_(clock),
        targets_(targets),
        dialect_(dialect),
        metrics_(metrics) {}
  ~RunStopper();
  RunStopper(const RunStopper&) = delete;
  RunStopper& operator=(const RunStopper&) = delete;

  // Calls `done` once, and not from inside.
  void Stop(const RunMove& move, Done done);
  void StopAfterClose(const RunMove& move);
  // Frees the copy of the run's cache; does nothing if `cache` is empty.
  void Drop(const StreamRun& run, const std::string& cache);

 private:
  struct Call {
    RunMove move;
    // Otherwise it frees a copy.
    bool is_stop = true;
    // Unset once it was called, and for `StopAfterClose`.
    Done done;
    bool is_reported = false;
    Instant begun{};
    int status = 0;
    std::string body;
    std::shared_ptr<CallHandle> handle;
    std::unique_ptr<Timer> answer_timer;
    std::unique_ptr<Timer> end_timer;
  };

  void Start(int number, const std::string& bytes);
  CallHandle::Handlers HandlersOf(int number);
  void OnEnd(int number, CallEnd end);
  void Report(Call& call, const StoppedRun& stopped);

  Loop& loop_;
  const Clock& clock_;
  TargetConnections& targets_;
  const TargetDialect& dialect_;
  RelayMetrics& metrics_;
  int next_number_ = 1;
  std::map<int, Call> calls_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RUN_STOPPER_H_
