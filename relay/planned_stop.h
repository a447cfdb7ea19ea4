// PlannedStop ends a router process without cutting a request: the steps of
// chart/charts/drain.json, their times, and what ends each.
//
//   PlannedStop stop(loop, clock, drain_chart, {settings.drain_time},
//   handlers); stop.Start();                 // at SIGTERM; again changes
//   nothing stop.Check();                 // a few times a second if
//   (stop.started()) ...       // report unready
//
// The steps, with the names of the chart's states:
//
//   unready    The balancer is told that this router isn't ready. It goes on
//              sending connections until it has noticed, so they are still
//              accepted and served, but each answer is the last of its
//              connection. Ends after `PlannedStopTimes::balancer`.
//   finishing  No connections are accepted; idle ones are closed; what runs
//              goes on. Ends when no request runs, or when only `margin` is
//              left of `total`. In that case a line in the log says how many
//              requests are cut.
//   returning  What this router keeps of the budgets goes back to the store, so
//              that its death charges nothing. Ends when the store has it, or
//              after `returning`.
//   stopped    The loop ends after `last_writes`.
//
// The reasons: a request that the balancer still sends must be served, since
// its caller can't know; a stream that runs past the time to stop would be cut
// by the kill, so the process ends by itself a little before; budgets that
// aren't returned are charged as spent by the routers that remain.
//
// It owns the chart's state and the timers; everything else is done by its
// handlers. Times are of the loop. It reports no errors.

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
  // From the request to stop until the process is killed: --drain-s.
  Duration total = std::chrono::seconds(8);
  // From turning unready until the balancer sends no new connections. The
  // users' balancer asks every second, and two answers in a row decide: 2 s,
  // and 0.6 s for slow answers. The 0.6 s isn't measured.
  Duration balancer = std::chrono::milliseconds(2600);
  // Kept of `total` for returning grants and for ending. Not measured.
  Duration margin = std::chrono::milliseconds(1500);
  // The longest time for returning grants. Not measured.
  Duration returning = std::chrono::milliseconds(800);
  // From the last step to the end of the loop, in which what was written last
  // can leave. Commit df506c1, without a reason; not measured.
  Duration last_writes = std::chrono::milliseconds(20);
};

class PlannedStop {
 public:
  struct Handlers {
    // From now on each answer is the last of its connection.
    std::function<void()> report_unready;
    std::function<void()> stop_listening;
    // Closes the connections without a request; called again when the last
    // request has ended.
    std::function<void()> close_idle;
    std::function<void()> return_grants;
    // Requests under way.
    std::function<std::size_t()> requests;
    // The time for requests is up: says which still run, with the time that is
    // left until the kill.
    std::function<void(Duration)> report_unfinished;
    // The store has what this router kept of the budgets.
    std::function<bool()> grants_returned;
    // The stop is over; the loop ends soon after. With the time that is left
    // until the kill.
    std::function<void(Duration)> finished;
  };

  PlannedStop(Loop& loop, const Clock& clock, const DrainChart& chart,
              PlannedStopTimes times, Handlers handlers);

  void Start() { Apply(DrainEvent::kStopAsked); }
  // Whether requests have ended or grants have been returned since the last
  // call.
  void Check();
  bool started() const { return machine_.state() != DrainState::kServing; }

 private:
  void Apply(DrainEvent event);
  void ReportUnready();
  void StopListening();
  void ReturnGrants();
  void Finish();
  void OnRequestsTimeUp();
  // Until the process is killed; less than zero if that is overdue.
  Duration Left() const { return begun_ + times_.total - clock_.Now(); }
  // The time of the present step is over after `delay`.
  void StepEndsAfter(Duration delay, std::function<void()> action);

  Loop& loop_;
  const Clock& clock_;
  PlannedStopTimes times_;
  Handlers on_;
  ChartMachine<DrainState, DrainEvent, DrainAction> machine_;
  Instant begun_{};
  std::unique_ptr<Timer> step_timer_;
  std::unique_ptr<Timer> exit_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PLANNED_STOP_H_
