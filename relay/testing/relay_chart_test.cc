// Tests what the chart of a relayed request guarantees, for every event in
// every state. BindChart has already rejected charts that lack a pair.

#include "relay/relay_chart.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <utility>
#include <vector>

namespace quaytrack {
namespace {

using State = RelayState;
using ChartEvent = RelayEvent;
using Action = RelayAction;

const RelayChart& TheChart() {
  static const RelayChart chart = BindRelayCharts().value().request;
  return chart;
}

struct Step {
  State from{};
  ChartEvent event{};
  Action action{};
  State to{};

  // The event has no effect in that state.
  bool ignored() const { return to == from && action == Action::kNone; }
};

std::vector<Step> StepsFrom(State from) {
  std::vector<Step> out;
  for (const auto& [event, name] : EnumTable<ChartEvent>::kEntries) {
    out.push_back({from, event, TheChart().ActionOf(from, event),
                   TheChart().Next(from, event)});
  }
  return out;
}

std::vector<Step> AllSteps() {
  std::vector<Step> out;
  for (const auto& [state, name] : EnumTable<State>::kEntries) {
    const std::vector<Step> steps = StepsFrom(state);
    out.insert(out.end(), steps.begin(), steps.end());
  }
  return out;
}

template <class E>
bool IsOneOf(E value, std::initializer_list<E> list) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

bool IsEnd(Action it) {
  return IsOneOf(
      it, {Action::kReply, Action::kEndStream, Action::kAbortStream,
           Action::kRefuse, Action::kFail, Action::kDrop, Action::kAbandon});
}

// Ends that report to the caller, or to the budget, that nothing has run.
bool SaysNotRun(Action it) {
  return IsOneOf(it, {Action::kRefuse, Action::kDrop});
}

// Events after which the request may have run.
bool SaysMayHaveRun(ChartEvent it) {
  return IsOneOf(it,
                 {ChartEvent::kFirstEvent, ChartEvent::kAnswerComplete,
                  ChartEvent::kRetryMayHaveRun, ChartEvent::kGiveUpMayHaveRun,
                  ChartEvent::kCallerGoneMayHaveRun});
}

bool IsAtTarget(State it) {
  return IsOneOf(it, {State::kTrying, State::kTryingAgain, State::kStreaming,
                      State::kResuming, State::kCallerLeft});
}

#define CHECK_STEP(condition, step)                                     \
  BOOST_TEST((condition), NameOf((step).from)                           \
                              << " on " << NameOf((step).event) << ": " \
                              << NameOf((step).action) << ", "          \
                              << NameOf((step).to))

BOOST_AUTO_TEST_CASE(EveryPairOfTheChartIsThere) {
  BOOST_TEST(AllSteps().size() == 11U * 14U);
  BOOST_TEST((TheChart().Initial() == State::kAdmitting));
  for (const auto& [state, name] : EnumTable<State>::kEntries) {
    BOOST_TEST(TheChart().IsFinal(state) == (state == State::kEnded), name);
  }
}

BOOST_AUTO_TEST_CASE(ARequestEndsWithOneFinalAnswer) {
  for (const Step& it : AllSteps()) {
    if (it.from == State::kEnded) {
      CHECK_STEP(it.to == State::kEnded, it);
      CHECK_STEP(!IsEnd(it.action), it);
      continue;
    }
    CHECK_STEP(IsEnd(it.action) == (it.to == State::kEnded), it);
  }
}

// Follows every path from the initial state and tracks whether the request may
// have run.
BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsNeverCalledNotRun) {
  std::set<std::pair<State, bool>> seen;
  std::vector<std::pair<State, bool>> open = {{State::kAdmitting, false}};
  while (!open.empty()) {
    const auto [state, before] = open.back();
    open.pop_back();
    if (!seen.insert({state, before}).second) continue;
    for (const Step& it : StepsFrom(state)) {
      if (it.ignored()) continue;
      const bool may_have_run = before || SaysMayHaveRun(it.event);
      if (may_have_run) CHECK_STEP(!SaysNotRun(it.action), it);
      open.emplace_back(it.to, may_have_run);
    }
  }
  // No state occurs both with and without a possible run, so the state alone
  // tells which.
  for (const auto& [state, name] : EnumTable<State>::kEntries) {
    if (state == State::kEnded) continue;
    BOOST_TEST(seen.contains({state, false}) != seen.contains({state, true}),
               name);
  }
}

// At a target, no event that means "may have run" is ignored.
BOOST_AUTO_TEST_CASE(NoTargetsWordIsIgnored) {
  for (const Step& it : AllSteps()) {
    if (!IsAtTarget(it.from) || !SaysMayHaveRun(it.event)) continue;
    const bool repeated =
        it.from == State::kStreaming && it.event == ChartEvent::kFirstEvent;
    // The caller has left, so the call that runs on streams nothing.
    const bool left = it.from == State::kCallerLeft &&
                      IsOneOf(it.event, {ChartEvent::kFirstEvent,
                                         ChartEvent::kCallerGoneMayHaveRun});
    CHECK_STEP(it.ignored() == (repeated || left), it);
  }
}

BOOST_AUTO_TEST_CASE(AHoldIsTakenOnceAndSettledWithTheEnd) {
  for (const Step& it : AllSteps()) {
    const bool before_hold =
        IsOneOf(it.from, {State::kAdmitting, State::kAwaitingHold});
    const bool granted = it.event == ChartEvent::kHoldGranted;
    CHECK_STEP((it.action == Action::kTakeHold) == (before_hold && granted),
               it);
    // Granted after the end: nothing else would settle it.
    const bool after_end = it.from == State::kEnded && granted;
    CHECK_STEP((it.action == Action::kReturnHold) == after_end, it);
    // Nothing leads back to where a hold is taken.
    const bool back = IsOneOf(it.to, {State::kAdmitting, State::kAwaitingHold});
    CHECK_STEP((!back || before_hold), it);
  }
}

BOOST_AUTO_TEST_CASE(NothingIsSentBeforeItsHold) {
  for (const Step& it : StepsFrom(State::kAwaitingHold)) {
    const bool waits = it.ignored() || it.to == State::kEnded;
    CHECK_STEP((waits || it.event == ChartEvent::kHoldGranted), it);
  }
}

BOOST_AUTO_TEST_CASE(EveryStateCanBeGivenUp) {
  for (const Step& it : AllSteps()) {
    if (it.from == State::kEnded) continue;
    const bool given_up = IsOneOf(
        it.event, {ChartEvent::kGiveUpNotRun, ChartEvent::kGiveUpMayHaveRun});
    if (given_up) CHECK_STEP(it.to == State::kEnded, it);
    const bool gone = IsOneOf(it.event, {ChartEvent::kCallerGoneNotRun,
                                         ChartEvent::kCallerGoneMayHaveRun});
    if (!gone) continue;
    // A caller can't leave twice.
    CHECK_STEP((it.to == State::kEnded) != (it.from == State::kCallerLeft), it);
  }
}

BOOST_AUTO_TEST_CASE(ACallerThatHasLeftIsAnsweredNothing) {
  for (const Step& it : StepsFrom(State::kCallerLeft)) {
    CHECK_STEP(
        IsOneOf(it.action, {Action::kNone, Action::kDrop, Action::kAbandon}),
        it);
  }
}

// Once events have been forwarded, the answer is that stream, complete or
// visibly cut short.
BOOST_AUTO_TEST_CASE(AStreamThatHasBegunIsNeverAnsweredWithAnError) {
  for (const State from :
       {State::kStreaming, State::kChoosingToResume, State::kResuming}) {
    for (const Step& it : StepsFrom(from)) {
      CHECK_STEP(!IsOneOf(it.action, {Action::kReply, Action::kRefuse,
                                      Action::kFail, Action::kBeginStream}),
                 it);
      CHECK_STEP(IsOneOf(it.to, {State::kStreaming, State::kChoosingToResume,
                                 State::kResuming, State::kEnded}),
                 it);
    }
  }
}

using Path = std::vector<std::pair<ChartEvent, Action>>;

void Follow(const Path& path) {
  ChartMachine<State, ChartEvent, Action> machine(TheChart());
  for (const auto& [event, action] : path) {
    BOOST_TEST(NameOf(machine.Apply(event)) == NameOf(action), NameOf(event));
  }
  BOOST_TEST(machine.done());
}

// Guards against a request that is ended because its second attempt failed,
// while the first was kept and answers.
BOOST_AUTO_TEST_CASE(AKeptAttemptGoesOn) {
  Follow({{ChartEvent::kHoldGranted, Action::kTakeHold},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kFirstEvent, Action::kBeginStream},
          {ChartEvent::kRetryMayHaveRun, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kAttemptGoesOn, Action::kNone},
          {ChartEvent::kFirstEvent, Action::kNone},
          {ChartEvent::kRetryMayHaveRun, Action::kChoose},
          {ChartEvent::kAttemptGoesOn, Action::kNone},
          {ChartEvent::kAnswerComplete, Action::kEndStream}});
  Follow({{ChartEvent::kHoldGranted, Action::kTakeHold},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kRetryMayHaveRun, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kAttemptGoesOn, Action::kNone},
          {ChartEvent::kAnswerComplete, Action::kReply}});
}

BOOST_AUTO_TEST_CASE(AStreamGoesOnAtAnotherTarget) {
  Follow({{ChartEvent::kHoldDelayed, Action::kNone},
          {ChartEvent::kHoldGranted, Action::kTakeHold},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kRetryNotRun, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kFirstEvent, Action::kBeginStream},
          {ChartEvent::kRetryMayHaveRun, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kFirstEvent, Action::kNone},
          {ChartEvent::kAnswerComplete, Action::kEndStream}});
}

BOOST_AUTO_TEST_CASE(ATargetThatTurnsItAwayDoesntUndoTheOneBefore) {
  Follow({{ChartEvent::kHoldUnneeded, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kRetryMayHaveRun, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kGiveUpNotRun, Action::kFail}});
}

BOOST_AUTO_TEST_CASE(AHoldThatIsGrantedTooLateIsReturned) {
  Follow({{ChartEvent::kHoldDelayed, Action::kNone},
          {ChartEvent::kGiveUpNotRun, Action::kRefuse},
          {ChartEvent::kHoldGranted, Action::kReturnHold}});
}

BOOST_AUTO_TEST_CASE(ACallWhoseCallerHasLeftRunsToItsEnd) {
  Follow({{ChartEvent::kHoldUnneeded, Action::kChoose},
          {ChartEvent::kTargetChosen, Action::kSend},
          {ChartEvent::kCallerGoneCallRunsOn, Action::kNone},
          {ChartEvent::kAnswerComplete, Action::kAbandon}});
}

}  // namespace
}  // namespace quaytrack
