// The life of a relayed request: chart/charts/relay.json, bound to its enums.
//
//   BOOST_LEAF_AUTO(charts, BindRelayCharts());
//   ChartMachine<RelayState, RelayEvent, RelayAction> machine(charts.request);
//   switch (machine.Apply(RelayEvent::kTargetChosen)) ...
//
// The chart is where these promises are kept, and relay_chart_test goes through
// every event in every state to hold them:
//   - Once a request may have run, no state forgets it: it is never refused as
//     not run, and it is charged for. From `trying`, which has nothing behind
//     it, the three events that say "may have run" lead to the states that mean
//     it (choosing_again, trying_again, streaming, choosing_to_resume,
//     resuming), and from those nothing leads back.
//   - A caller gets one final answer: every ending is an arrow into `ended`,
//     and `ended` answers nobody.
//   - What was held of a budget is settled once, with that arrow. A hold that
//     is granted to a request that has ended is returned at once.
//
// An attempt is one send to one target. Events that end one come in two kinds,
// by what is known of that attempt alone (relay/ran.h); the state knows about
// those before it.
//
// Events of a stream do not go through the chart, but for the first of each
// attempt: they are too many, and change nothing.

#ifndef QUAYTRACK_RELAY_RELAY_CHART_H_
#define QUAYTRACK_RELAY_RELAY_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/drain_chart.h"
#include "chart/embedded.h"
#include "relay/feed_chart.h"
#include "rollout/rollout_chart.h"

namespace quaytrack {

enum class RelayState {
  kAdmitting,
  // Waits for the answer whether its worst case can be held of the budget.
  kAwaitingHold,
  // A target is being chosen; no attempt may have run.
  kChoosing,
  // At a target; no attempt before this one may have run.
  kTrying,
  // The same two after an attempt that may have run.
  kChoosingAgain,
  kTryingAgain,
  // The target of this attempt has sent events, and they were passed on.
  kStreaming,
  // The stream broke: another target is to go on with it.
  kChoosingToResume,
  kResuming,
  // The caller has left a call that must not be repeated, which runs on.
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
  // A whole answer came that is the caller's.
  kAnswerComplete,
  // The attempt is over, and the request will be sent again.
  kRetryNotRun,
  kRetryMayHaveRun,
  // The attempt is over, if there was one, and the request with it.
  kGiveUpNotRun,
  kGiveUpMayHaveRun,
  // The caller closed its connection, and the attempt was stopped.
  kCallerGoneNotRun,
  kCallerGoneMayHaveRun,
  // It closed its connection, and the call is left to run to its end.
  kCallerGoneCallRunsOn,
};

enum class RelayAction {
  kNone,
  kTakeHold,
  // Returns what was granted too late.
  kReturnHold,
  kChoose,
  kSend,
  kBeginStream,
  // The ends. Each says what the caller gets, and whether it has run.
  kReply,        // the target's whole answer
  kEndStream,    // the end of the target's stream
  kAbortStream,  // a stream that is visibly cut
  kRefuse,       // an error, with the promise that it has not run
  kFail,         // an error, for a request that may have run
  kDrop,         // nothing: the caller has gone, and nothing has run
  kAbandon,      // nothing: the caller has gone, and it may have run
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

// All charts of `quaytrack relay`; bound once, at start, and kept until the
// last request has ended.
struct RelayCharts {
  RelayChart request;
  DrainChart drain;
  FeedChart feed;
  RolloutChart rollout;
};

inline boost::leaf::result<RelayCharts> BindRelayCharts() {
  BOOST_LEAF_AUTO(
      request, (BindChart<RelayState, RelayEvent, RelayAction>(kRelayChart)));
  BOOST_LEAF_AUTO(drain, BindDrainChart());
  BOOST_LEAF_AUTO(feed, BindFeedChart());
  BOOST_LEAF_AUTO(rollout, BindRolloutChart());
  return RelayCharts{std::move(request), std::move(drain), std::move(feed),
                     std::move(rollout)};
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_CHART_H_
