// How a router reaches the targets of one service (dispatch/target_reach.h):
// chart/charts/reach.json.
//
//   direct     over its own links
//   lost       its own links are lost: over tunnels through peers
//   unhealthy  peers don't reach the targets either
//
// Each state may be the last one, as a process may end at any time.

#ifndef QUAYTRACK_DISPATCH_REACH_CHART_H_
#define QUAYTRACK_DISPATCH_REACH_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

enum class ReachState { kDirect, kLost, kUnhealthy };
enum class ReachEvent {
  kNoneOpened,    // no connection of a probe round opened
  kOpened,        // connections open again
  kPeersFailToo,  // peers don't reach the targets
  kPeersDue,      // it is time to ask peers again
};
enum class ReachAction { kNone, kUseTunnels, kUseLinks, kLeavePeers };

template <>
struct EnumTable<ReachState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ReachState>>(
      {{ReachState::kDirect, "direct"},
       {ReachState::kLost, "lost"},
       {ReachState::kUnhealthy, "unhealthy"}});
};

template <>
struct EnumTable<ReachEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ReachEvent>>(
      {{ReachEvent::kNoneOpened, "none_opened"},
       {ReachEvent::kOpened, "opened"},
       {ReachEvent::kPeersFailToo, "peers_fail_too"},
       {ReachEvent::kPeersDue, "peers_due"}});
};

template <>
struct EnumTable<ReachAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ReachAction>>(
      {{ReachAction::kNone, "none"},
       {ReachAction::kUseTunnels, "use_tunnels"},
       {ReachAction::kUseLinks, "use_links"},
       {ReachAction::kLeavePeers, "leave_peers"}});
};

using ReachChart = Chart<ReachState, ReachEvent, ReachAction>;

inline boost::leaf::result<ReachChart> BindReachChart() {
  return BindChart<ReachState, ReachEvent, ReachAction>(kReachChart);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_REACH_CHART_H_
