// PlannedStop ends a router process. It implements the steps of
// chart/charts/drain.json, their times, and the conditions that end each.
//
//   PlannedStop stop(loop, clock, drain_chart, times, handlers);
//   stop.Start();                 // at SIGTERM; calling it again has no effect
//   stop.Check();                 // a few times a second
//   if (stop.started()) ...       // report unready
//
// The steps, by the chart's states:
//
//   unready    The router reports to the balancer that it isn't ready. The
//              balancer continues to send connections until it notices, and for
//              longer if too few other routers are ready. So connections are
//              accepted, but each answer is the last of its connection. Only
//              requests whose own deadline falls within the stop are accepted
//              (`LatestDeadline`); others are refused at once, so that their
//              callers can go elsewhere. Ends when `balancer_delay` has passed
//              and the requests that began within `late_after` have ended.
//              Later requests don't prolong it.
//   finishing  No connections are accepted, idle ones are closed. Ends when no
//              request is unfinished.
//   returning  New requests are refused. The grants that this router keeps are
//              returned to the store, so that its death charges nothing. Ends
//              when the store has them, or after `return_timeout`.
//   stopped    The loop ends after `final_writes`.
//
// When only `margin` is left of `total`, the first two steps end at once: each
// request that still runs is named in the log and ends by the usual rules
// (`end_unfinished`), so that its caller gets a correct answer and its cost is
// part of what is returned.
//
// Reasons: a request that the balancer still sends is served if it ends in any
// case, since its caller can't know of the stop. One that may outlast the stop
// would be cut although it runs, and one that must not be repeated would be
// lost; refused as not run, it is served elsewhere. A stream that was accepted
// before and runs past the time to stop would be cut by the kill, so the
// process ends by itself a little earlier. Grants
// that aren't returned are charged as spent by the remaining routers. All other
// time belongs to the requests: streams may need nearly all of it.
//
// PlannedStop owns the chart's state and the timers; the handlers do everything
// else. Times are those of the loop. It reports no errors.

#ifndef QUAYTRACK_RELAY_PLANNED_STOP_H_
#define QUAYTRACK_RELAY_PLANNED_STOP_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "chart/drain_chart.h"
#include "net/loop.h"

namespace quaytrack {

struct PlannedStopTimes {
  // Time from SIGTERM until the process is killed, set by the flag --drain-s.
  Duration total = std::chrono::seconds(8);
  // Time from turning unready until the balancer sends no new connections, if
  // it has another router. The platform's balancer checks every second and
  // needs two answers in a row: 2 s, plus 0.6 s for slow answers.
  Duration balancer_delay = std::chrono::milliseconds(2600);
  // Time from SIGTERM after which a request counts as late: 2 s until the
  // balancer has noticed, and 1 s for slow answers. Later requests arrive
  // because the balancer has too few other routers.
  Duration late_after = std::chrono::milliseconds(3000);
  // Time of `total` that is reserved for the steps after the requests. The
  // margin is short, as it is taken from streams: with 1.5 s of 8 s, seven
  // routers on a quarter of a core each cut two streams that a stop has time
  // for, while these steps took 0.11 s.
  Duration margin = std::chrono::milliseconds(500);
  // The limit for returning grants: a call that the store doesn't answer is
  // given up after 1.5 s. On the routers named above, returning took 0.09 s.
  // The step always ends `reserve` before the kill.
  Duration return_timeout = std::chrono::milliseconds(1500);
  // Time for the final writes, and for timers that fire late on a busy VM.
  Duration reserve = std::chrono::milliseconds(150);
  // Time from the last step to the end of the loop, so that the final writes
  // can leave.
  Duration final_writes = std::chrono::milliseconds(20);
};

class PlannedStop {
 public:
  struct Handlers {
    // Called when the router turns unready: from then on, each answer is the
    // last one of its connection.
    std::function<void()> report_unready;
    std::function<void()> stop_listening;
    // Closes the connections without a request. Called when `balancer_delay`
    // has passed, when no more connections are accepted, and when the last
    // request has ended.
    std::function<void()> close_idle;
    std::function<void()> return_grants;
    // Number of requests whose complete answer isn't sent: being read, in
    // progress, or with bytes that their caller hasn't read.
    std::function<std::size_t()> requests;
    // Number of those requests that began before the given time, as far as
    // their start is known.
    std::function<std::size_t(Instant)> requests_before;
    // The time for requests is over: ends those that still run. The argument is
    // the time until the kill.
    std::function<void(Duration)> end_unfinished;
    // Whether the store has the grants that this router kept.
    std::function<bool()> grants_returned;
    // The stop is complete; the loop ends after `final_writes`. The argument is
    // the time until the kill.
    std::function<void(Duration)> finished;
  };

  PlannedStop(Loop& loop, const Clock& clock, const DrainChart& chart,
              PlannedStopTimes times, Handlers handlers);

  void Start() { Apply(DrainEvent::kStopAsked); }
  // Checks whether requests have ended or grants were returned since the last
  // call.
  void Check();
  bool started() const { return machine_.state() != DrainState::kServing; }
  // The latest deadline with which a new request is accepted.
  Instant LatestDeadline() const;

 private:
  void Apply(DrainEvent event);
  void ReportUnready();
  void StopListening();
  void ReturnGrants();
  void Finish();
  void OnBalancerDelayOver();
  void OnRequestsTimeout();
  Instant RequestsEnd() const {
    return started_at_ + times_.total - times_.margin;
  }
  Instant LateFrom() const { return started_at_ + times_.late_after; }
  // Time until the process is killed; negative if that is overdue.
  Duration Left() const { return started_at_ + times_.total - clock_.Now(); }

  Loop& loop_;
  const Clock& clock_;
  PlannedStopTimes times_;
  Handlers on_;
  ChartMachine<DrainState, DrainEvent, DrainAction> machine_;
  Instant started_at_{};
  bool balancer_delay_over_ = false;
  // Runs for `balancer_delay`, later for the return of grants.
  std::unique_ptr<Timer> step_timer_;
  // Runs until requests have no more time, in either of the first two steps.
  std::unique_ptr<Timer> requests_timer_;
  // Runs until the next check for returned grants.
  std::unique_ptr<Timer> return_check_;
  std::unique_ptr<Timer> exit_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PLANNED_STOP_H_
