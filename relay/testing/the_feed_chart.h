// The chart of a feed, for tests. It lives as long as the process, as it has to
// outlive every feed. Call TheFeedChart() wherever a feed takes a chart.

#ifndef QUAYTRACK_RELAY_TESTING_THE_FEED_CHART_H_
#define QUAYTRACK_RELAY_TESTING_THE_FEED_CHART_H_

#include "relay/feed_chart.h"

namespace quaytrack {

inline const FeedChart& TheFeedChart() {
  static const FeedChart chart = BindFeedChart().value();
  return chart;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_TESTING_THE_FEED_CHART_H_
