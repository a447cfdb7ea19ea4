// The texts of chart/charts/*.json, so that the shipped binary is one file.
//
//   auto chart = BindChart<State, Event, Action>(kRelayChart);   // chart.h
//
// tools/embed-charts writes embedded.cc from the files, and CI holds the two
// equal. Nothing here fails; a chart that can't be bound is `BindChart`'s
// error.

#ifndef QUAYTRACK_CHART_EMBEDDED_H_
#define QUAYTRACK_CHART_EMBEDDED_H_

namespace quaytrack {

extern const char kClaimChart[];
extern const char kDrainChart[];
extern const char kFeedChart[];
extern const char kForwardChart[];
extern const char kRelayChart[];
extern const char kRolloutChart[];

}  // namespace quaytrack

#endif  // QUAYTRACK_CHART_EMBEDDED_H_
