// Tests that a chart's transitions are followed, and that a chart that doesn't
// fit its enums, or can't reach a final state, is refused.

#include "chart/chart.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {

enum class DoorState { kOpen, kShut, kGone };
enum class DoorEvent { kPush, kBurn };
enum class DoorAction { kNone, kLatch };

template <>
struct EnumTable<DoorState> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<DoorState>>({{DoorState::kOpen, "open"},
                                           {DoorState::kShut, "shut"},
                                           {DoorState::kGone, "gone"}});
};
template <>
struct EnumTable<DoorEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<DoorEvent>>(
      {{DoorEvent::kPush, "push"}, {DoorEvent::kBurn, "burn"}});
};
template <>
struct EnumTable<DoorAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<DoorAction>>(
      {{DoorAction::kNone, "none"}, {DoorAction::kLatch, "latch"}});
};

namespace {

namespace leaf = boost::leaf;

constexpr char kGood[] = R"({"initial": "open", "final": ["gone"], "states": {
  "open": {"on": {"push": {"to": "shut", "do": "latch"}}, "ignore": ["burn"]},
  "shut": {"on": {"burn": {"to": "gone"}}, "ignore": ["push"]},
  "gone": {"ignore": ["push", "burn"]}}})";

// The error with which `text` is refused; empty if it is accepted.
std::optional<ChartError> FaultOf(std::string text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ChartError>> {
        BOOST_LEAF_CHECK((BindChart<DoorState, DoorEvent, DoorAction>(text)));
        return std::optional<ChartError>();
      },
      [](const ChartError& it) { return std::optional<ChartError>(it); },
      [] { return std::optional<ChartError>(ChartError{}); });
}

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

BOOST_AUTO_TEST_CASE(FollowsItsArrows) {
  const auto chart = BindChart<DoorState, DoorEvent, DoorAction>(kGood).value();
  ChartMachine machine(chart);
  BOOST_TEST((machine.Apply(DoorEvent::kBurn) == DoorAction::kNone));
  BOOST_TEST((machine.Apply(DoorEvent::kPush) == DoorAction::kLatch));
  BOOST_TEST((machine.state() == DoorState::kShut));
  machine.Apply(DoorEvent::kBurn);
  BOOST_TEST(machine.done());
}

struct BadChart {
  const char* from;
  const char* to;
  ChartFault fault;
  const char* detail;
};

const BadChart kBadCharts[] = {
    {R"({"initial")", R"("initial")", ChartFault::kNotJson, ""},
    {R"("to": "shut")", R"("to": "ajar")", ChartFault::kUnknownState, "ajar"},
    {R"("push": {)", R"("pull": {)", ChartFault::kUnknownEvent, "pull"},
    {R"("do": "latch")", R"("do": "lock")", ChartFault::kUnknownAction, "lock"},
    {",\n  \"gone\": {\"ignore\": [\"push\", \"burn\"]}", "",
     ChartFault::kMissingState, "gone"},
    {R"("ignore": ["push"])", R"("ignore": [])", ChartFault::kMissingEvent,
     "shut/push"},
    {R"("to": "shut")", R"("to": "gone")", ChartFault::kUnreachableState,
     "shut"},
    {R"("final": ["gone"])", R"("final": [])",
     ChartFault::kNoFinalStateReachable, "open"},
};

BOOST_AUTO_TEST_CASE(RefusesWhatIsIncomplete) {
  BOOST_TEST(!FaultOf(kGood));
  for (const BadChart& it : kBadCharts) {
    const auto fault = FaultOf(Replaced(kGood, it.from, it.to));
    BOOST_REQUIRE(fault);
    BOOST_TEST(NameOf(fault->fault) == NameOf(it.fault), it.from);
    if (*it.detail != '\0') BOOST_TEST(fault->detail == it.detail);
  }
}

}  // namespace
}  // namespace quaytrack
