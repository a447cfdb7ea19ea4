// How a router follows one prefix of the store (relay/state_feed.h):
// chart/charts/feed.json.
//
//   reading  makes its own calls: at the start, in a small fleet, and whenever
//            no reader of the fleet has been current for a while
//   told     is sent changes by the readers and makes no call
//   reader   makes its own calls and sends changes to the others
//
// Each state may be the last one, as a process may end at any time.

#ifndef QUAYTRACK_RELAY_FEED_CHART_H_
#define QUAYTRACK_RELAY_FEED_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

enum class FeedState { kReading, kNotified, kReader };
enum class FeedEvent {
  kReaderCurrent,  // a reader has shown that this router is current
  kStale,          // no reader was current for a while
  kChosen,         // the list of routers makes this one a reader
  kResigned,       // this router is no longer a reader
};
enum class FeedAction {
  kNone,
  kStopCalling,
  kResumeCalls,
  kReadForAll,
  kReadForItself,
};

template <>
struct EnumTable<FeedState> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<FeedState>>({{FeedState::kReading, "reading"},
                                           {FeedState::kNotified, "told"},
                                           {FeedState::kReader, "reader"}});
};

template <>
struct EnumTable<FeedEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<FeedEvent>>(
      {{FeedEvent::kReaderCurrent, "told_fresh"},
       {FeedEvent::kStale, "stale"},
       {FeedEvent::kChosen, "chosen"},
       {FeedEvent::kResigned, "resigned"}});
};

template <>
struct EnumTable<FeedAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<FeedAction>>(
      {{FeedAction::kNone, "none"},
       {FeedAction::kStopCalling, "stop_calling"},
       {FeedAction::kResumeCalls, "call_again"},
       {FeedAction::kReadForAll, "read_for_all"},
       {FeedAction::kReadForItself, "read_for_itself"}});
};

using FeedChart = Chart<FeedState, FeedEvent, FeedAction>;

inline boost::leaf::result<FeedChart> BindFeedChart() {
  return BindChart<FeedState, FeedEvent, FeedAction>(kFeedChart);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FEED_CHART_H_
