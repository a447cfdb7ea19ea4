// The contents of chart/charts/*.json, compiled in so that the program needs no
// other files.
//
//   auto chart = BindChart<State, Event, Action>(kRelayChart);   // chart.h
//
// tools/embed-charts generates embedded.cc from the files, and CI checks that
// it is up to date. Nothing here fails; `BindChart` reports a chart that can't
// be bound.

#ifndef QUAYTRACK_CHART_EMBEDDED_H_
#define QUAYTRACK_CHART_EMBEDDED_H_

namespace quaytrack {

extern const char kClaimChart[];
extern const char kDrainChart[];
extern const char kFeedChart[];
extern const char kForwardChart[];
extern const char kReachChart[];
extern const char kRelayChart[];
extern const char kRolloutChart[];

}  // namespace quaytrack

#endif  // QUAYTRACK_CHART_EMBEDDED_H_
