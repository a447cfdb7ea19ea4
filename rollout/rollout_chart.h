// The states of a roll-out: chart/charts/rollout.json.
//
//   unheard    no router has confirmed that the store lists the order as
//              running
//   trial      a small share of the requests goes to the version
//   quarter, half, full
//              there is no evidence against the version, and it gets this share
//   withdrawn  there is evidence against the version, or the time is nearly
//              over; the version gets no requests, and the result is to be
//              written to the store
//   completed, reverted
//              the store lists the order as completed or reverted; both states
//              are final
//
// The order of the states is their precedence between routers: a later state
// replaces an earlier one, and a state never goes back.

#ifndef QUAYTRACK_ROLLOUT_ROLLOUT_CHART_H_
#define QUAYTRACK_ROLLOUT_ROLLOUT_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

enum class RolloutState {
  kUnconfirmed,
  kTrial,
  kQuarter,
  kHalf,
  kFull,
  kWithdrawn,
  kCompleted,
  kReverted,
};
enum class RolloutEvent {
  kStarted,    // the store lists the order as running
  kAdvance,    // the version may get a larger share
  kDrained,    // no router has requests running at the other versions
  kWithdraw,   // the version is bad, or the time is nearly over
  kCompleted,  // the store lists the order as completed
  kReverted,   // the store lists the order as reverted
};
enum class RolloutAction {
  kNone,
  kReportCompleted,
  kReportReverted,
};

template <>
struct EnumTable<RolloutState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RolloutState>>(
      {{RolloutState::kUnconfirmed, "unheard"},
       {RolloutState::kTrial, "trial"},
       {RolloutState::kQuarter, "quarter"},
       {RolloutState::kHalf, "half"},
       {RolloutState::kFull, "full"},
       {RolloutState::kWithdrawn, "withdrawn"},
       {RolloutState::kCompleted, "completed"},
       {RolloutState::kReverted, "reverted"}});
};

template <>
struct EnumTable<RolloutEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RolloutEvent>>(
      {{RolloutEvent::kStarted, "begun"},
       {RolloutEvent::kAdvance, "advance"},
       {RolloutEvent::kDrained, "drained"},
       {RolloutEvent::kWithdraw, "withdraw"},
       {RolloutEvent::kCompleted, "completed"},
       {RolloutEvent::kReverted, "reverted"}});
};

template <>
struct EnumTable<RolloutAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RolloutAction>>(
      {{RolloutAction::kNone, "none"},
       {RolloutAction::kReportCompleted, "report_completed"},
       {RolloutAction::kReportReverted, "report_reverted"}});
};

using RolloutChart = Chart<RolloutState, RolloutEvent, RolloutAction>;

inline boost::leaf::result<RolloutChart> BindRolloutChart() {
  return BindChart<RolloutState, RolloutEvent, RolloutAction>(kRolloutChart);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ROLLOUT_CHART_H_
