// The way of a roll-out: chart/charts/rollout.json.
//
//   unheard    nobody has shown that the store names it as running
//   trial      a small part of the requests goes to the version
//   quarter, half, full
//              nothing speaks against it, and it gets that part
//   withdrawn  something does; it gets nothing, and the store is to say so
//   completed, reverted
//              the store says so, for good
//
// The order of the states is that of what is told among routers: a later one
// takes the place of an earlier one, and nothing goes back.

#ifndef QUAYTRACK_ROLLOUT_ROLLOUT_CHART_H_
#define QUAYTRACK_ROLLOUT_ROLLOUT_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

enum class RolloutState {
  kUnheard,
  kTrial,
  kQuarter,
  kHalf,
  kFull,
  kWithdrawn,
  kCompleted,
  kReverted,
};
enum class RolloutEvent {
  kBegun,      // the store names it as running
  kAdvance,    // the version may have more
  kDrained,    // nothing runs at the other versions, at any router
  kWithdraw,   // the version is bad, or the time is over
  kCompleted,  // the store says so
  kReverted,   // the store says so
};
enum class RolloutAction {
  kNone,
  kReportCompleted,
  kReportReverted,
};

template <>
struct EnumTable<RolloutState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RolloutState>>(
      {{RolloutState::kUnheard, "unheard"},
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
      {{RolloutEvent::kBegun, "begun"},
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
