#include "relay/planned_stop.h"

#include <string>
#include <utility>

#include "base/log.h"

namespace quaytrack {

PlannedStop::PlannedStop(Loop& loop, const Clock& clock,
                         const DrainChart& chart, PlannedStopTimes times,
                         Handlers handlers)
    : loop_(loop),
      clock_(clock),
      times_(times),
      on_(std::move(handlers)),
      machine_(chart) {}

void PlannedStop::Check() {
  const DrainState state = machine_.state();
  if (state == DrainState::kFinishing && on_.requests() == 0) {
    on_.close_idle();
    Apply(DrainEvent::kRequestsEnded);
  }
  // Grants may be back at once.
  if (machine_.state() == DrainState::kReturning && on_.grants_returned()) {
    Apply(DrainEvent::kLedgerReturned);
  }
}

void PlannedStop::Apply(DrainEvent event) {
  switch (machine_.Apply(event)) {
    case DrainAction::kNone:
      return;
    case DrainAction::kReportUnready:
      return ReportUnready();
    case DrainAction::kStopListening:
      return StopListening();
    case DrainAction::kReturnGrants:
      return ReturnGrants();
    case DrainAction::kExit:
      return Finish();
  }
}

void PlannedStop::ReportUnready() {
  begun_ = clock_.Now();
  on_.report_unready();
  StepEndsAfter(times_.balancer,
                [this] { Apply(DrainEvent::kBalancerNoticed); });
}

void PlannedStop::StopListening() {
  on_.stop_listening();
  on_.close_idle();
  StepEndsAfter(times_.total - times_.balancer - times_.margin,
                [this] { OnRequestsTimeUp(); });
}

void PlannedStop::OnRequestsTimeUp() {
  LogEvent(Event::kDrainTimedOut, {{"requests", std::to_string(on_.requests())},
                                   {"left_ms", MillisecondsText(Left())}});
  on_.report_unfinished(Left());
  Apply(DrainEvent::kTimeUp);
}

void PlannedStop::ReturnGrants() {
  on_.return_grants();
  StepEndsAfter(times_.returning, [this] { Apply(DrainEvent::kTimeUp); });
}

void PlannedStop::Finish() {
  on_.finished(Left());
  exit_timer_ = loop_.After(times_.last_writes, [this] { loop_.Stop(); });
}

void PlannedStop::StepEndsAfter(Duration delay, std::function<void()> action) {
  step_timer_ = loop_.After(delay, std::move(action));
}

}  // namespace quaytrack
