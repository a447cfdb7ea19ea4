#include "relay/planned_stop.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

// Interval of checks for returned grants. They arrive within 0.1 s, so a few
// checks suffice; the router's own checks are 0.2 s apart.
constexpr Duration kReturnCheck = std::chrono::milliseconds(20);

}  // namespace

PlannedStop::PlannedStop(Loop& loop, const Clock& clock,
                         const DrainChart& chart, PlannedStopTimes times,
                         Handlers handlers)
    : loop_(loop),
      clock_(clock),
      times_(times),
      on_(std::move(handlers)),
      machine_(chart) {}

void PlannedStop::Check() {
  if (machine_.state() == DrainState::kUnready && balancer_delay_over_ &&
      on_.requests_before(LateFrom()) == 0) {
    Apply(DrainEvent::kBalancerNoticed);
  }
  if (machine_.state() == DrainState::kFinishing && on_.requests() == 0) {
    on_.close_idle();
    Apply(DrainEvent::kRequestsEnded);
  }
  // The grants may already be returned when the step starts.
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

Instant PlannedStop::LatestDeadline() const {
  switch (machine_.state()) {
    case DrainState::kServing:
      return Instant::max();
    case DrainState::kUnready:
    case DrainState::kFinishing:
      return RequestsEnd();
    case DrainState::kReturning:
    case DrainState::kStopped:
      return Instant::min();
  }
  return Instant::min();
}

void PlannedStop::ReportUnready() {
  started_at_ = clock_.Now();
  on_.report_unready();
  requests_timer_ = loop_.After(times_.total - times_.margin,
                                [this] { OnRequestsTimeout(); });
  step_timer_ =
      loop_.After(times_.balancer_delay, [this] { OnBalancerDelayOver(); });
}

void PlannedStop::OnBalancerDelayOver() {
  balancer_delay_over_ = true;
  on_.close_idle();
  Check();
}

void PlannedStop::StopListening() {
  on_.stop_listening();
  on_.close_idle();
}

void PlannedStop::OnRequestsTimeout() {
  const std::size_t n = on_.requests();
  if (n > 0) {
    LogEvent(Event::kDrainTimedOut, {{"requests", std::to_string(n)},
                                     {"left_ms", MillisecondsText(Left())}});
    on_.end_unfinished(Left());
  }
  if (machine_.state() == DrainState::kUnready) on_.stop_listening();
  // When requests end, their tokens may be granted to requests that waited for
  // a hold. These have ended too, and return the tokens in callbacks that are
  // already posted. The event is posted so that it is handled after those
  // callbacks.
  loop_.Post([this] { Apply(DrainEvent::kTimeUp); });
}

void PlannedStop::ReturnGrants() {
  requests_timer_.reset();
  on_.return_grants();
  const Duration timeout =
      std::min(times_.return_timeout, Left() - times_.reserve);
  step_timer_ = loop_.After(std::max(timeout, Duration::zero()),
                            [this] { Apply(DrainEvent::kTimeUp); });
  return_check_ = loop_.Every(kReturnCheck, [this] { Check(); });
}

void PlannedStop::Finish() {
  step_timer_.reset();
  return_check_.reset();
  on_.finished(Left());
  exit_timer_ = loop_.After(times_.final_writes, [this] { loop_.Stop(); });
}

}  // namespace quaytrack
