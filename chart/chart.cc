#include "chart/chart.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace quaytrack::chart_internal {
namespace {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

std::optional<int> Find(const std::vector<std::string_view>& names,
                        std::string_view name) {
  auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<int>(it - names.begin());
}

auto Fail(ChartFault fault, std::string detail) {
  return leaf::new_error(ChartError{fault, std::move(detail)});
}

leaf::result<int> StateIndex(const Names& names, const std::string& name) {
  if (auto n = Find(names.states, name)) return *n;
  return Fail(ChartFault::kUnknownState, name);
}

leaf::result<int> EventIndex(const Names& names, const std::string& name) {
  if (auto n = Find(names.events, name)) return *n;
  return Fail(ChartFault::kUnknownEvent, name);
}

leaf::result<Transition> ReadTransition(const Json& json, const Names& names) {
  Transition out;
  BOOST_LEAF_ASSIGN(out.to,
                    StateIndex(names, json.at("to").get<std::string>()));
  if (!json.contains("do")) return out;
  const auto action = json.at("do").get<std::string>();
  const auto n = Find(names.actions, action);
  if (!n) return Fail(ChartFault::kUnknownAction, action);
  out.action = *n;
  return out;
}

// Reads one state's transitions into `transitions`, which has a slot for each
// event.
leaf::result<void> ReadState(
    int state, const Json& json, const Names& names,
    std::vector<std::optional<Transition>>& transitions) {
  const Json on = json.value("on", Json::object());
  for (const auto& [event, transition] : on.items()) {
    BOOST_LEAF_AUTO(n, EventIndex(names, event));
    BOOST_LEAF_AUTO(read, ReadTransition(transition, names));
    transitions[static_cast<std::size_t>(n)] = read;
  }
  for (const Json& event : json.value("ignore", Json::array())) {
    BOOST_LEAF_AUTO(n, EventIndex(names, event.get<std::string>()));
    transitions[static_cast<std::size_t>(n)] = Transition{state, -1};
  }
  return {};
}

leaf::result<void> ReadStates(const Json& json, const Names& names,
                              Table& table) {
  const std::size_t events = names.events.size();
  for (std::size_t state = 0; state < names.states.size(); ++state) {
    const std::string name(names.states[state]);
    if (!json.contains(name)) return Fail(ChartFault::kMissingState, name);
    std::vector<std::optional<Transition>> transitions(events);
    BOOST_LEAF_CHECK(
        ReadState(static_cast<int>(state), json.at(name), names, transitions));
    for (std::size_t event = 0; event < events; ++event) {
      if (!transitions[event]) {
        return Fail(ChartFault::kMissingEvent,
                    name + "/" + std::string(names.events[event]));
      }
      table.transitions.push_back(*transitions[event]);
    }
  }
  return {};
}

// Marks `from` and every state that can be reached from it.
void MarkReachable(const Table& table, std::size_t events, std::size_t from,
                   std::vector<bool>& reached) {
  if (reached[from]) return;
  reached[from] = true;
  for (std::size_t event = 0; event < events; ++event) {
    const Transition& it = table.transitions[from * events + event];
    MarkReachable(table, events, static_cast<std::size_t>(it.to), reached);
  }
}

leaf::result<void> CheckReachability(const Table& table, const Names& names) {
  const std::size_t events = names.events.size();
  std::vector<bool> reached(names.states.size());
  MarkReachable(table, events, static_cast<std::size_t>(table.initial),
                reached);
  for (std::size_t n = 0; n < reached.size(); ++n) {
    const std::string name(names.states[n]);
    if (!reached[n]) return Fail(ChartFault::kUnreachableState, name);
    std::vector<bool> onward(names.states.size());
    MarkReachable(table, events, n, onward);
    bool ends = false;
    for (std::size_t it = 0; it < onward.size(); ++it) {
      ends = ends || (onward[it] && table.final_states[it]);
    }
    if (!ends) return Fail(ChartFault::kNoFinalStateReachable, name);
  }
  return {};
}

leaf::result<Table> ReadParsed(const Json& json, const Names& names) {
  Table out;
  BOOST_LEAF_ASSIGN(out.initial,
                    StateIndex(names, json.at("initial").get<std::string>()));
  out.final_states.resize(names.states.size());
  for (const Json& it : json.at("final")) {
    BOOST_LEAF_AUTO(n, StateIndex(names, it.get<std::string>()));
    out.final_states[static_cast<std::size_t>(n)] = true;
  }
  for (const auto& [name, it] : json.at("states").items()) {
    BOOST_LEAF_CHECK(StateIndex(names, name));
  }
  BOOST_LEAF_CHECK(ReadStates(json.at("states"), names, out));
  BOOST_LEAF_CHECK(CheckReachability(out, names));
  return out;
}

}  // namespace

leaf::result<Table> ReadTable(std::string_view text, const Names& names) {
  try {
    return ReadParsed(Json::parse(text), names);
  } catch (const Json::exception& ex) {
    return Fail(ChartFault::kNotJson, ex.what());
  }
}

}  // namespace quaytrack::chart_internal
