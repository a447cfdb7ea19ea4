// The state chart of a planned stop (drain) of a process, which the router and
// the relay share. The chart is chart/charts/drain.json; this file has its
// states, events and actions. Binding fails if file and enums differ.
//
//   BOOST_LEAF_AUTO(chart, BindDrainChart());
//   ChartMachine<DrainState, DrainEvent, DrainAction> drain(chart);
//   switch (drain.Apply(DrainEvent::kStopAsked)) ...

#ifndef QUAYTRACK_CHART_DRAIN_CHART_H_
#define QUAYTRACK_CHART_DRAIN_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

enum class DrainState {
  kServing,
  kUnready,
  kFinishing,
  kReturning,
  kStopped,
};
enum class DrainEvent {
  kStopAsked,
  kBalancerNoticed,
  kRequestsEnded,
  kLedgerReturned,
  kTimeUp,
};
enum class DrainAction {
  kNone,
  kReportUnready,
  kStopListening,
  kReturnGrants,
  kExit,
};

template <>
struct EnumTable<DrainState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<DrainState>>(
      {{DrainState::kServing, "serving"},
       {DrainState::kUnready, "unready"},
       {DrainState::kFinishing, "finishing"},
       {DrainState::kReturning, "returning"},
       {DrainState::kStopped, "stopped"}});
};

template <>
struct EnumTable<DrainEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<DrainEvent>>(
      {{DrainEvent::kStopAsked, "stop_asked"},
       {DrainEvent::kBalancerNoticed, "balancer_noticed"},
       {DrainEvent::kRequestsEnded, "requests_ended"},
       {DrainEvent::kLedgerReturned, "ledger_returned"},
       {DrainEvent::kTimeUp, "time_up"}});
};

template <>
struct EnumTable<DrainAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<DrainAction>>(
      {{DrainAction::kNone, "none"},
       {DrainAction::kReportUnready, "report_unready"},
       {DrainAction::kStopListening, "stop_listening"},
       {DrainAction::kReturnGrants, "return_grants"},
       {DrainAction::kExit, "exit"}});
};

using DrainChart = Chart<DrainState, DrainEvent, DrainAction>;

inline boost::leaf::result<DrainChart> BindDrainChart() {
  return BindChart<DrainState, DrainEvent, DrainAction>(kDrainChart);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_CHART_DRAIN_CHART_H_
