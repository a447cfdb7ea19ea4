// Rollout: one service's move to another version, as one router sees it.
//
//   Rollout it(order, now, chart, {trial_share});
//   it.OnAnswer("review", /*is_next=*/true, answer);
//   it.OnReport(now, peer, report, scene);      // what other routers tell
//   switch (it.Step(now, scene)) ...            // some times a second
//   placement.SetVersionRule(it.Rule(now, scene));
//   tell(it.Report(now, scene));
//
// The rule. A version gets a small part of the requests first, and more when
// nothing speaks against it (rollout/version_judge.h); the states are
// chart/charts/rollout.json. Times are parts of the order's duration:
//
//   unheard    none, until the store is known to name it as running
//   trial      `trial_share`, until kTrialPart of the time has passed and the
//              answers show that it is good, or kLongestTrial has and nothing
//              speaks against it
//   quarter, half
//              a quarter and a half, for kStepPart each
//   full       all, until nothing runs at the other versions any more
//
// It is withdrawn as soon as its answers show that it is bad, and when the time
// is nearly over before it has all requests.
//
// Who decides. A few routers, the deciders, add up what all routers have seen:
// each router tells one of them, and they tell each other their sums. Each of
// them may take a step, and all others follow whoever is further, so nobody is
// elected. Only the store's word ends a roll-out, and the first word stays.
//
// A router follows the verdict of others only as long as it hears from them:
// one that has heard of no decider for `kFreshFor`, or a decider that doesn't
// hear from most of them, sends nothing to the version until it does. So the
// part that the version gets of all requests is bounded by what each router
// sends of its own, through any cut or restart, and a router that can't hear
// that it is withdrawn sends it nothing for longer than that.
//
// It owns what was seen and told of one order. It reads no clock, and writes
// nothing: relay/rollout_driver.h does.

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

// What one router tells others of a roll-out.
struct RolloutReport {
  VersionName version;
  StoreRevision order;
  RolloutState state = RolloutState::kUnheard;
  // Until the time of the order is over.
  Duration left{};
  // The decider that adds it up; empty for a decider's own sum.
  VmName counted_by;
  VersionEvidence evidence;
  // The sender, and whoever is in its sum, has nothing running at the other
  // versions, and sends them nothing more.
  bool drained = false;
  // In the sum.
  std::uint64_t routers = 1;
};

// What the router around it knows.
struct RolloutScene {
  VmName self;
  // This router is a decider.
  bool decides = false;
  // Deciders and routers there are, with this one.
  std::size_t deciders = 1;
  std::size_t routers = 1;
  // The decider that adds up what this router tells; empty if it reaches none.
  VmName counted_by;
  // Some target of the version takes work.
  bool has_next = false;
  // Requests of this router that run at other versions.
  std::size_t running_elsewhere = 0;
};

// Which part of a service's requests may go to which version.
struct RolloutRule {
  double share = 0;
  // Versions other than the next one may get requests.
  bool others = true;
  // The next one may get requests where no other version has a target.
  bool next_alone = true;

  bool operator==(const RolloutRule&) const = default;
};

class Rollout {
 public:
  struct Options {
    // Part of the requests that a version gets on trial.
    double trial_share = 0.05;
  };

  // Parts of the order's duration.
  static constexpr double kTrialPart = 0.3;
  static constexpr double kLongestTrial = 0.55;
  static constexpr double kStepPart = 0.07;
  // Kept free before the end, for the store to be told.
  static constexpr double kLastPart = 0.05;
  // How long one does without hearing from deciders. They tell each second.
  static constexpr Duration kFreshFor = std::chrono::milliseconds(1500);
  // A router that has told nothing for so long isn't waited for, and what it
  // has seen no longer counts.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(3500);

  Rollout(RolloutOrder order, Instant now, const RolloutChart& chart,
          Options options);

  const RolloutOrder& order() const { return order_; }
  RolloutState state() const { return machine_.state(); }
  bool IsOver() const {
    return state() == RolloutState::kCompleted ||
           state() == RolloutState::kReverted;
  }
  // Answers are counted.
  bool IsJudged() const {
    return !IsOver() && state() != RolloutState::kUnheard &&
           state() != RolloutState::kWithdrawn;
  }
  const VersionJudge& judge() const { return judge_; }

  // The order was written again, in a later era of the store.
  void Renew(const RolloutOrder& order) { order_ = order; }
  void OnAnswer(const std::string& route, bool is_next,
                const AnswerSeen& answer) {
    own_.Add(route, is_next, answer);
  }
  // `from_decider` by this router's list of routers. What is of another order
  // changes nothing.
  void OnReport(Instant now, const Incarnation& from, bool from_decider,
                const RolloutReport& report, const RolloutScene& scene);
  // The store names it as running, completed or rolled back.
  RolloutAction OnStored(RolloutEvent said, Instant now) {
    return Apply(said, now);
  }
  // What is to be written, if anything.
  RolloutAction Step(Instant now, const RolloutScene& scene);

  RolloutRule Rule(Instant now, const RolloutScene& scene) const;
  RolloutReport Report(Instant now, const RolloutScene& scene) const;
  // All that is known here.
  VersionEvidence Total(const RolloutScene& scene) const;

 private:
  struct Heard {
    RolloutReport report;
    Instant at{};
    bool from_decider = false;
  };

  RolloutAction Apply(RolloutEvent event, Instant now);
  void Follow(RolloutState told, Instant now);
  void ForgetSilent(Instant now);
  bool IsCurrent(Instant now, const RolloutScene& scene) const;
  bool IsAssigned(const Heard& it, const RolloutScene& scene) const;
  bool IsDrained(Instant now, const RolloutScene& scene) const;
  bool IsDrainedHere(const RolloutScene& scene) const;
  Duration Part(double part) const;
  Duration Elapsed(Instant now) const;
  RolloutAction StepOfTrial(Instant now, const RolloutScene& scene);
  RolloutAction StepOfMove(Instant now);

  RolloutOrder order_;
  Options options_;
  ChartMachine<RolloutState, RolloutEvent, RolloutAction> machine_;
  Instant deadline_;
  // Of the latest change of state.
  Instant changed_at_;
  VersionEvidence own_;
  std::map<Incarnation, Heard> heard_;
  VersionJudge judge_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ROLLOUT_H_
