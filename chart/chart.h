// State charts that are read from JSON files and interpreted.
//
// A chart lists the states of an object, the events that it may receive, and
// what each event does in each state. With a chart in a file in place of nested
// ifs, a reader sees all states of a request on one page, and a check proves
// that every state handles every event:
//
//   {"name": "door", "initial": "open", "final": ["gone"],
//    "states": {
//      "open":   {"on": {"push": {"to": "shut", "do": "latch"}},
//                 "ignore": ["burn"]},
//      "shut":   {"on": {"burn": {"to": "gone"}}, "ignore": ["push"]},
//      "gone":   {"ignore": ["push", "burn"]}}}
//
// A chart is bound to three enums (states, events, actions) through their name
// tables (base/enum_table.h). Binding fails unless the chart and the enum have
// the same states, each state handles each event, and every action is known.
//
//   auto chart = BindChart<DoorState, DoorEvent, DoorAction>(text);
//   ChartMachine machine(*chart);
//   DoorAction act = machine.Apply(DoorEvent::kPush);
//
// The model is that of Harel, "Statecharts" (1987), without nesting.

#ifndef QUAYTRACK_CHART_CHART_H_
#define QUAYTRACK_CHART_CHART_H_

#include <array>
#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_table.h"

namespace quaytrack {

// Why a chart was refused.
enum class ChartFault {
  kNotJson,
  kUnknownState,
  kUnknownEvent,
  kUnknownAction,
  kMissingState,
  kMissingEvent,
  kUnreachableState,
  kNoFinalStateReachable,
};

template <>
struct EnumTable<ChartFault> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ChartFault>>(
      {{ChartFault::kNotJson, "not JSON of the chart form"},
       {ChartFault::kUnknownState, "names a state that the code lacks"},
       {ChartFault::kUnknownEvent, "names an event that the code lacks"},
       {ChartFault::kUnknownAction, "names an action that the code lacks"},
       {ChartFault::kMissingState, "lacks a state that the code has"},
       {ChartFault::kMissingEvent, "lacks an event in a state"},
       {ChartFault::kUnreachableState, "has a state that nothing reaches"},
       {ChartFault::kNoFinalStateReachable,
        "has a state that reaches no final state"}});
};

struct ChartError {
  ChartFault fault{};
  // The state, event or action at fault, or the JSON parser's message.
  std::string detail;
};

namespace chart_internal {

// One transition, by indexes into the name tables. An action of -1 stands for
// no action.
struct Transition {
  int to = 0;
  int action = -1;
};

// A checked chart without types. The transition of `event` in `state` is
// transitions[state * events + event], where `events` is the number of events.
struct Table {
  int initial = 0;
  std::vector<bool> final_states;
  std::vector<Transition> transitions;
};

struct Names {
  std::vector<std::string_view> states;
  std::vector<std::string_view> events;
  std::vector<std::string_view> actions;
};

// Reads and checks `text` against the names that the code knows.
boost::leaf::result<Table> ReadTable(std::string_view text, const Names& names);

template <NamedEnum E>
std::vector<std::string_view> NameList() {
  std::vector<std::string_view> out;
  for (const auto& it : EnumTable<E>::kEntries) out.push_back(it.name);
  return out;
}

template <NamedEnum E>
std::size_t IndexOf(E value) {
  std::size_t n = 0;
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.value == value) return n;
    ++n;
  }
  return n;
}

}  // namespace chart_internal

// A chart bound to its enums. The first entry of `Action`'s table is the action
// of transitions that have none in the file.
template <NamedEnum State, NamedEnum Event, NamedEnum Action>
class Chart {
 public:
  explicit Chart(chart_internal::Table table) : table_(std::move(table)) {}

  State Initial() const { return StateAt(table_.initial); }
  bool IsFinal(State state) const {
    return table_.final_states[chart_internal::IndexOf(state)];
  }
  State Next(State state, Event event) const {
    return StateAt(TransitionOf(state, event).to);
  }
  Action ActionOf(State state, Event event) const {
    const int n = TransitionOf(state, event).action;
    const auto& entries = EnumTable<Action>::kEntries;
    return entries[static_cast<std::size_t>(n < 0 ? 0 : n)].value;
  }

 private:
  static State StateAt(int n) {
    return EnumTable<State>::kEntries[static_cast<std::size_t>(n)].value;
  }
  const chart_internal::Transition& TransitionOf(State state,
                                                 Event event) const {
    const std::size_t events = EnumTable<Event>::kEntries.size();
    return table_.transitions[chart_internal::IndexOf(state) * events +
                              chart_internal::IndexOf(event)];
  }

  chart_internal::Table table_;
};

// Reads, checks and binds a chart.
template <NamedEnum State, NamedEnum Event, NamedEnum Action>
boost::leaf::result<Chart<State, Event, Action>> BindChart(
    std::string_view text) {
  using chart_internal::NameList;
  const chart_internal::Names names{NameList<State>(), NameList<Event>(),
                                    NameList<Action>()};
  BOOST_LEAF_AUTO(table, chart_internal::ReadTable(text, names));
  return Chart<State, Event, Action>(std::move(table));
}

// The current state of one object in a chart. The chart must outlive the
// machine.
template <NamedEnum State, NamedEnum Event, NamedEnum Action>
class ChartMachine {
 public:
  explicit ChartMachine(const Chart<State, Event, Action>& chart)
      : chart_(&chart), state_(chart.Initial()) {}

  State state() const { return state_; }
  bool done() const { return chart_->IsFinal(state_); }

  // Makes the transition for `event` and returns its action.
  Action Apply(Event event) {
    const Action out = chart_->ActionOf(state_, event);
    state_ = chart_->Next(state_, event);
    return out;
  }

 private:
  const Chart<State, Event, Action>* chart_;
  State state_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CHART_CHART_H_
