// PlannedStop ends a router process: the steps of chart/charts/drain.json,
// their times, and what ends each.
//
//   PlannedStop stop(loop, clock, drain_chart, times, handlers);
//   stop.Start();                 // at SIGTERM; again changes nothing
//   stop.Check();                 // a few times a second
//   if (stop.started()) ...       // report unready
//
// The steps, with the names of the chart's states:
//
//   unready    The balancer is told that this router isn't ready. It goes on
//              sending connections until it has noticed, and for longer where
//              too few other routers are ready. So they are accepted, but each
//              answer is the last of its connection. After `takes_all`, only
//              requests are taken that end in time by their own deadline
//              (`LatestDeadline`); others are refused at once, so that their
//              callers can go elsewhere. Ends when the balancer has had its
//              time (`balancer`), and the requests that began within
//              `takes_all` have ended. Those that came later don't prolong it.
//   finishing  No connections are accepted, idle ones are closed. Ends when no
//              request is unfinished.
//   returning  New requests are refused. What this router keeps of the budgets
//              goes back to the store, so that its death charges nothing. Ends
//              when the store has it, or after `returning`.
//   stopped    The loop ends after `last_writes`.
//
// When only `margin` is left of `total`, the first two steps end at once: each
// request that runs then is named in the log and ends by the rules of all
// requests (`end_unfinished`), so that its caller is told what is known of it
// and its cost is in what is returned.
//
// The reasons: a request that the balancer still sends must be served, since
// its caller can't know; a stream that runs past the time to stop would be cut
// by the kill, so the process ends by itself a little before; budgets that
// aren't returned are charged as spent by the routers that remain. All other
// time belongs to the requests: streams may need nearly all of it.
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
  // From turning unready until the balancer sends no new connections if it has
  // another router to send them to. The users' balancer asks every second, and
  // two answers in a row decide: 2 s, and 0.6 s for slow answers. The 0.6 s
  // isn't measured.
  Duration balancer = std::chrono::milliseconds(2600);
  // From SIGTERM, requests are taken whatever their deadline: 2 s until the
  // balancer has noticed, and 1 s for slow answers. What comes later comes
  // since the balancer has too few others. At a loaded hall, one stream in
  // twenty takes more than the 4 s that are left then.
  Duration takes_all = std::chrono::milliseconds(3000);
  // Kept of `total` for all that follows the requests. It is short, since it is
  // taken from streams: with 1.5 s of 8 s, a play of seven routers on a quarter
  // of a core each cut two streams that a stop has time for, and used 0.11 s.
  Duration margin = std::chrono::milliseconds(500);
  // The longest time for returning grants: a call that the store swallowed is
  // given up after 1.5 s. In the same play it took 0.09 s. It never lasts until
  // `spare` before the kill.
  Duration returning = std::chrono::milliseconds(1500);
  // For the last writes, and timers that fire late on a busy VM. Not measured.
  Duration spare = std::chrono::milliseconds(150);
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
    // Closes the connections without a request: when the balancer has had its
    // time, when no more are accepted, and when the last request has ended.
    std::function<void()> close_idle;
    std::function<void()> return_grants;
    // Requests of which the whole answer isn't sent: being read, under way, or
    // with bytes that their caller hasn't taken.
    std::function<std::size_t()> requests;
    // Those of them that began before the given time, as far as that is known.
    std::function<std::size_t(Instant)> requests_before;
    // The time for requests is up: ends those that run. With the time that is
    // left until the kill.
    std::function<void(Duration)> end_unfinished;
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
  // The latest deadline of a request that comes now and can be taken.
  Instant LatestDeadline() const;

 private:
  void Apply(DrainEvent event);
  void ReportUnready();
  void StopListening();
  void ReturnGrants();
  void Finish();
  void OnBalancerTimeOver();
  void OnRequestsTimeUp();
  Instant RequestsEnd() const { return begun_ + times_.total - times_.margin; }
  Instant TakesAllUntil() const { return begun_ + times_.takes_all; }
  // Until the process is killed; less than zero if that is overdue.
  Duration Left() const { return begun_ + times_.total - clock_.Now(); }

  Loop& loop_;
  const Clock& clock_;
  PlannedStopTimes times_;
  Handlers on_;
  ChartMachine<DrainState, DrainEvent, DrainAction> machine_;
  Instant begun_{};
  bool balancer_time_over_ = false;
  // Until the balancer has noticed; then until grants must be returned.
  std::unique_ptr<Timer> step_timer_;
  // Until requests have no more time, whichever step they are in.
  std::unique_ptr<Timer> requests_timer_;
  // Looks for returned grants.
  std::unique_ptr<Timer> return_check_;
  std::unique_ptr<Timer> exit_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PLANNED_STOP_H_
