// PaceExchange: which reports on engines (dispatch/engine_pace.h) routers send
// to each other.
//
//   PaceExchange exchange(fleet.directory(), pace);
//   if (const auto scope = exchange.ScopeFor(vm))       // for each linked peer
//     message.engine_pace = {*scope, pace.Report(now, *scope)};
//   exchange.OnReport(now, VmOf(message.from), message.engine_pace);
//
// In a small fleet, where all routers are linked, each sends its own answers to
// all. In a larger fleet a router sends its own answers to the readers of its
// hall (fleet/fleet.h). A reader adds them up, and sends the sums of its hall
// to the readers of the other halls, and the sums of all halls to the routers
// of its hall. Between halls, only readers exchange reports.
//
// Lists of routers may differ between routers for a while, so a report names
// its scope, and a receiver ignores one that it does not expect by its own
// list: the worst effect is that an engine's pace is known later.
//
// Owns nothing; directory and pace must outlive it. Any report may be lost.

#ifndef QUAYTRACK_DISPATCH_PACE_EXCHANGE_H_
#define QUAYTRACK_DISPATCH_PACE_EXCHANGE_H_

#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/engine_pace.h"
#include "fleet/fleet.h"

namespace quaytrack {

// A report as it is sent.
struct ScopedPace {
  PaceScope scope = PaceScope::kOwn;
  PaceReports engines;
};

class PaceExchange {
 public:
  PaceExchange(const FleetDirectory& directory, EnginePace& pace)
      : directory_(directory), pace_(pace) {}

  // The scope of the reports for a peer; std::nullopt if it gets none.
  std::optional<PaceScope> ScopeFor(const VmName& peer) const;
  // Takes a report of a peer.
  void OnReport(Instant now, const VmName& peer, const ScopedPace& report);

 private:
  // The source under which a report counts; std::nullopt if it doesn't.
  std::optional<PaceSource> SourceOf(const VmName& peer, PaceScope scope) const;
  bool IsOfOwnHall(const VmName& vm) const;
  bool IsSelfReader() const;

  const FleetDirectory& directory_;
  EnginePace& pace_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PACE_EXCHANGE_H_
