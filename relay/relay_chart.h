// The states of a relayed request: chart/charts/relay.json, bound to its enums.
//
//   BOOST_LEAF_AUTO(charts, BindRelayCharts());
//   ChartMachine<RelayState, RelayEvent, RelayAction> machine(charts.request);
//   switch (machine.Apply(RelayEvent::kTargetChosen)) ...
//
// The chart guarantees the following, and relay_chart_test checks it for every
// event in every state:
//   - Once a request may have run, no state forgets it: it is never refused as
//     not run, and it is charged for. In `trying` no earlier attempt may have
//     run. Its three events that mean "may have run" lead to the states that
//     record it (choosing_again, trying_again, streaming, choosing_to_resume,
//     resuming), and none of those leads back.
//   - A caller gets one final answer: every end is a transition to `ended`, and
//     no transition from `ended` answers the caller.
//   - A hold on a budget is settled once, with that transition. A hold that is
//     granted to a request that has ended is returned at once.
//
// An attempt is one send to one target. One that is silent may be kept while
// the request is sent to another target; that is the event that it may have run
// and is sent again, and `attempt_goes_on` follows if the kept one answers
// first or is the only one left. Events that end an attempt come in two kinds,
// by whether that attempt may have run (relay/ran.h); the state covers the
// attempts before it.
//
// Only the first event of a stream in each attempt goes through the chart:
// later ones are too many, and change no state.

#ifndef QUAYTRACK_RELAY_RELAY_CHART_H_
#define QUAYTRACK_RELAY_RELAY_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/drain_chart.h"
#include "chart/embedded.h"
#include "dispatch/reach_chart.h"
#include "relay/feed_chart.h"
#include "rollout/rollout_chart.h"

namespace quaytrack {

enum class RelayState {
  kAdmitting,
  // The request waits until its worst case is held of the budget.
  kAwaitingHold,
  // A target is being chosen; no attempt may have run the request.
  kChoosing,
  // The request is at a target; no earlier attempt may have run the request.
  kTrying,
  // As kChoosing and kTrying, but an earlier attempt may have run the request.
  kChoosingAgain,
  kTryingAgain,
  // The target of this attempt has sent events, which were forwarded.
  kStreaming,
  // The stream broke off, and another target is to continue it.
  kChoosingToResume,
  kResuming,
  // The caller has left, but the call must not be repeated and runs on.
  kCallerLeft,
  kEnded,
};

enum class RelayEvent {
  kHoldUnneeded,
  kHoldDelayed,
  kHoldGranted,
  kTargetChosen,
  // The first event of a stream in this attempt.
  kFirstEvent,
  // A complete answer arrived that can be forwarded.
  kAnswerComplete,
  // The attempt has ended, and the request will be sent again.
  kRetryNotRun,
  kRetryMayHaveRun,
  // An earlier attempt, which may have run and was kept, is the current one.
  kAttemptGoesOn,
  // The attempt, if there was one, and the request have ended.
  kGiveUpNotRun,
  kGiveUpMayHaveRun,
  // The caller closed its connection, and the attempt was stopped.
  kCallerGoneNotRun,
  kCallerGoneMayHaveRun,
  // The caller closed its connection, and the call runs to its end.
  kCallerGoneCallRunsOn,
};

enum class RelayAction {
  kNone,
  kTakeHold,
  // Returns a hold that was granted after the request had ended.
  kReturnHold,
  kChoose,
  kSend,
  kBeginStream,
  // The ends, by what the caller gets and whether the request has run.
  kReply,        // the target's complete answer
  kEndStream,    // the end of the target's stream
  kAbortStream,  // a stream that is visibly cut short
  kRefuse,       // an error, guaranteeing that it has not run
  kFail,         // an error, for a request that may have run
  kDrop,         // nothing: the caller has left; it has not run
  kAbandon,      // nothing: the caller has left; it may have run
};

template <>
struct EnumTable<RelayState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RelayState>>(
      {{RelayState::kAdmitting, "admitting"},
       {RelayState::kAwaitingHold, "awaiting_hold"},
       {RelayState::kChoosing, "choosing"},
       {RelayState::kTrying, "trying"},
       {RelayState::kChoosingAgain, "choosing_again"},
       {RelayState::kTryingAgain, "trying_again"},
       {RelayState::kStreaming, "streaming"},
       {RelayState::kChoosingToResume, "choosing_to_resume"},
       {RelayState::kResuming, "resuming"},
       {RelayState::kCallerLeft, "caller_left"},
       {RelayState::kEnded, "ended"}});
};

template <>
struct EnumTable<RelayEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RelayEvent>>(
      {{RelayEvent::kHoldUnneeded, "hold_unneeded"},
       {RelayEvent::kHoldDelayed, "hold_delayed"},
       {RelayEvent::kHoldGranted, "hold_granted"},
       {RelayEvent::kTargetChosen, "target_chosen"},
       {RelayEvent::kFirstEvent, "first_event"},
       {RelayEvent::kAnswerComplete, "answer_complete"},
       {RelayEvent::kRetryNotRun, "retry_not_run"},
       {RelayEvent::kRetryMayHaveRun, "retry_may_have_run"},
       {RelayEvent::kAttemptGoesOn, "attempt_goes_on"},
       {RelayEvent::kGiveUpNotRun, "give_up_not_run"},
       {RelayEvent::kGiveUpMayHaveRun, "give_up_may_have_run"},
       {RelayEvent::kCallerGoneNotRun, "caller_gone_not_run"},
       {RelayEvent::kCallerGoneMayHaveRun, "caller_gone_may_have_run"},
       {RelayEvent::kCallerGoneCallRunsOn, "caller_gone_call_runs_on"}});
};

template <>
struct EnumTable<RelayAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RelayAction>>(
      {{RelayAction::kNone, "none"},
       {RelayAction::kTakeHold, "take_hold"},
       {RelayAction::kReturnHold, "return_hold"},
       {RelayAction::kChoose, "choose"},
       {RelayAction::kSend, "send"},
       {RelayAction::kBeginStream, "begin_stream"},
       {RelayAction::kReply, "reply"},
       {RelayAction::kEndStream, "end_stream"},
       {RelayAction::kAbortStream, "abort_stream"},
       {RelayAction::kRefuse, "refuse"},
       {RelayAction::kFail, "fail"},
       {RelayAction::kDrop, "drop"},
       {RelayAction::kAbandon, "abandon"}});
};

using RelayChart = Chart<RelayState, RelayEvent, RelayAction>;

// All charts of `quaytrack relay`. They are bound once at start and must
// outlive the last request.
struct RelayCharts {
  RelayChart request;
  DrainChart drain;
  FeedChart feed;
  RolloutChart rollout;
  ReachChart reach;
};

inline boost::leaf::result<RelayCharts> BindRelayCharts() {
  BOOST_LEAF_AUTO(
      request, (BindChart<RelayState, RelayEvent, RelayAction>(kRelayChart)));
  BOOST_LEAF_AUTO(drain, BindDrainChart());
  BOOST_LEAF_AUTO(feed, BindFeedChart());
  BOOST_LEAF_AUTO(rollout, BindRolloutChart());
  BOOST_LEAF_AUTO(reach, BindReachChart());
  return RelayCharts{std::move(request), std::move(drain), std::move(feed),
                     std::move(rollout), std::move(reach)};
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_CHART_H_
