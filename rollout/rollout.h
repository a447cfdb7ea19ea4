// Rollout: one service's move to another version, as one router sees it.
//
//   Rollout it(order, now, chart, {trial_share});
//   it.OnAnswer("review", /*is_next=*/true, outcome);
//   it.OnReport(now, peer, from_decider, report, context);
//   switch (it.Step(now, context)) ...          // several times a second
//   apply(it.Rule(now, context));               // to the placement
//   send(it.Report(now, context));
//
// Rule: a version gets a small share of the requests first, and more if there
// is no evidence against it (rollout/version_judge.h). The states are those of
// chart/charts/rollout.json. Times are shares of the duration of the order:
//
//   unheard    no requests, until a router has confirmed that the store lists
//              the order as running
//   trial      `trial_share`, until kTrialShare of the time has passed and the
//              answers show that the version is good, or kMaxTrialShare has
//              passed and there is no evidence against it
//   quarter, half
//              a quarter and a half, for kStepShare of the time each
//   full       all requests, until nothing runs at the other versions any more
//
// The version is withdrawn as soon as its answers show that it is bad, or if
// the time is nearly over before it gets all requests.
//
// Deciders: a few routers, the deciders, add up the evidence of all routers.
// Each router reports to one decider, and the deciders send each other their
// sums. Any decider may advance the state, and all other routers follow the
// most advanced state, so no election is needed. Only a change in the store
// ends a roll-out, and the first such change is final.
//
// A router acts on a state only while it is in contact with the deciders. A
// router that has no report from a decider for `kDeciderTimeout`, or a decider
// without reports from most other deciders, sends the version no requests until
// it has such reports. This bounds the share that the version gets of all
// requests through any network cut or restart: each router limits its own
// requests, and a router that cannot learn of a withdrawal stops sending to the
// version within that time.
//
// Owns the evidence and reports on one order. Does not read the clock, and does
// not write to the store: relay/rollout_driver.h does.

#ifndef QUAYTRACK_ROLLOUT_ROLLOUT_H_
#define QUAYTRACK_ROLLOUT_ROLLOUT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "rollout/evidence.h"
#include "rollout/rollout_chart.h"
#include "rollout/rollout_order.h"
#include "rollout/version_judge.h"

namespace quaytrack {

// What one router sends to others about a roll-out.
struct RolloutReport {
  VersionName version;
  StoreRevision order;
  RolloutState state = RolloutState::kUnconfirmed;
  // Time left of the duration of the order.
  Duration left{};
  // The decider that adds up this report; empty for the sum of a decider.
  VmName counted_by;
  VersionEvidence evidence;
  // Whether the sender, and all routers in its sum, have no requests running at
  // the other versions and send none there any more.
  bool drained = false;
  // Number of routers in the sum.
  std::uint64_t routers = 1;
};

// What a Rollout needs to know of its router.
struct RolloutContext {
  VmName self;
  // Whether this router is a decider.
  bool is_decider = false;
  // Number of deciders and of routers, including this one.
  std::size_t deciders = 1;
  std::size_t routers = 1;
  // The decider that adds up the reports of this router; empty if this router
  // reaches no decider.
  VmName counted_by;
  // Whether some target of the version accepts work.
  bool has_next = false;
  // Number of this router's requests that run at other versions.
  std::size_t running_at_other_versions = 0;
};

// Which share of the requests of a service may go to which version.
struct RolloutRule {
  // Share of the next version, which the service moves to.
  double share = 0;
  // Whether versions other than the next one may get requests.
  bool allow_others = true;
  // Whether the next version may get requests if no other version has a target.
  bool allow_next_alone = true;

  bool operator==(const RolloutRule&) const = default;
};

class Rollout {
 public:
  struct Options {
    // Share of the requests that a version gets on trial.
    double trial_share = 0.05;
  };

  // Shares of the duration of the order, used as described at the top.
  static constexpr double kTrialShare = 0.3;
  static constexpr double kMaxTrialShare = 0.55;
  static constexpr double kStepShare = 0.07;
  // Time at the end that is reserved for writing the result to the store.
  static constexpr double kReservedShare = 0.05;
  // Time for which a router acts on a state without a report from a decider.
  // Deciders report each second.
  static constexpr Duration kDeciderTimeout = std::chrono::milliseconds(1500);
  // If a router has sent no report for this long, its evidence is dropped and
  // it is no longer waited for.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(3500);

  Rollout(RolloutOrder order, Instant now, const RolloutChart& chart,
          Options options);

  const RolloutOrder& order() const { return order_; }
  RolloutState state() const { return machine_.state(); }
  bool IsOver() const {
    return state() == RolloutState::kCompleted ||
           state() == RolloutState::kReverted;
  }
  // Whether answers are evaluated in this state.
  bool IsEvaluated() const {
    return !IsOver() && state() != RolloutState::kUnconfirmed &&
           state() != RolloutState::kWithdrawn;
  }
  const VersionEvaluator& evaluator() const { return evaluator_; }

  // Replaces the order by the same order, written again in a later era of the
  // store.
  void Renew(const RolloutOrder& order) { order_ = order; }
  void OnAnswer(const std::string& route, bool is_next,
                const AttemptOutcome& outcome) {
    local_evidence_.Add(route, is_next, outcome);
  }
  // Takes a report. `from_decider`: whether the sender is a decider by the
  // router list of this router. Reports on another order are ignored.
  void OnReport(Instant now, const Incarnation& from, bool from_decider,
                const RolloutReport& report, const RolloutContext& context);
  // Notes that the store lists the order as running, completed or rolled back.
  RolloutAction OnStored(RolloutEvent event, Instant now) {
    return Apply(event, now);
  }
  // On a decider, raises the share of the version or withdraws the version when
  // that is due. Returns what is to be written to the store, if anything.
  RolloutAction Step(Instant now, const RolloutContext& context);

  RolloutRule Rule(Instant now, const RolloutContext& context) const;
  RolloutReport Report(Instant now, const RolloutContext& context) const;
  // All evidence that is known to this router.
  VersionEvidence Total(const RolloutContext& context) const;

 private:
  struct ReceivedReport {
    RolloutReport report;
    Instant at{};
    bool from_decider = false;
  };

  RolloutAction Apply(RolloutEvent event, Instant now);
  void Follow(RolloutState reported, Instant now);
  void ForgetSilent(Instant now);
  bool IsCurrent(Instant now, const RolloutContext& context) const;
  bool IsAssigned(const ReceivedReport& it,
                  const RolloutContext& context) const;
  bool IsDrained(Instant now, const RolloutContext& context) const;
  bool IsDrainedHere(const RolloutContext& context) const;
  Duration ShareOfDuration(double share) const;
  Duration Elapsed(Instant now) const;
  RolloutAction StepOfTrial(Instant now, const RolloutContext& context);
  RolloutAction StepOfMove(Instant now);

  RolloutOrder order_;
  Options options_;
  ChartMachine<RolloutState, RolloutEvent, RolloutAction> machine_;
  Instant deadline_;
  // Time of the latest change of state.
  Instant changed_at_;
  VersionEvidence local_evidence_;
  std::map<Incarnation, ReceivedReport> reports_;
  VersionEvaluator evaluator_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ROLLOUT_H_
