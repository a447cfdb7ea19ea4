// Tests of router components that need no event loop: the stream relay, request
// and settings validation, the charts, the bill gate and the peer messages.

#include <event2/buffer.h>
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

#include "router/bill_gate.h"
#include "router/charts.h"
#include "router/json_check.h"
#include "router/peer_codec.h"
#include "router/request_reader.h"
#include "router/settings.h"
#include "router/sse_relay.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;

using Buffer = std::unique_ptr<evbuffer, void (*)(evbuffer*)>;

Buffer NewBuffer() { return Buffer(evbuffer_new(), evbuffer_free); }

std::string Contents(evbuffer* buf) {
  std::string out(evbuffer_get_length(buf), '\0');
  evbuffer_copyout(buf, out.data(), out.size());
  return out;
}

const std::string kToken =
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}],\"usage\":null}\n\n";
const std::string kUsage =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,"
    "\"completion_tokens\":5}}\n\n";
const std::string kDone = "data: [DONE]\n\n";

BOOST_AUTO_TEST_CASE(StreamIsTheSameHoweverItIsCut) {
  const std::string stream = kToken + kToken + kToken + kUsage + kDone;
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t>& cuts) {
    SseRelay relay(true);
    const Buffer in = NewBuffer();
    const Buffer out = NewBuffer();
    std::size_t at = 0;
    for (std::uint8_t it : cuts) {
      const std::size_t n = std::min<std::size_t>(it, stream.size() - at);
      evbuffer_add(in.get(), stream.data() + at, n);
      relay.Feed(in.get(), out.get());
      at += n;
    }
    evbuffer_add(in.get(), stream.data() + at, stream.size() - at);
    relay.Feed(in.get(), out.get());
    RC_ASSERT(Contents(out.get()) == kToken + kToken + kToken);
    RC_ASSERT(relay.tail() == kUsage + kDone);
    RC_ASSERT(relay.done());
    RC_ASSERT(relay.events() == 3);
    RC_ASSERT(relay.usage()->prompt == 3);
    RC_ASSERT(relay.usage()->output == 5);
  }));
}

BOOST_AUTO_TEST_CASE(UsageIsHiddenFromCallersThatDidNotAsk) {
  SseRelay relay(false);
  const Buffer in = NewBuffer();
  const Buffer out = NewBuffer();
  const std::string text = kUsage + kDone;
  evbuffer_add(in.get(), text.data(), text.size());
  relay.Feed(in.get(), out.get());
  BOOST_TEST(relay.tail() == kDone);
  BOOST_TEST(relay.usage().has_value());
}

BOOST_AUTO_TEST_CASE(UsageThatMakesNoSenseIsNone) {
  BOOST_TEST(
      !UsageFromJson("{\"usage\":{\"prompt_tokens\":-1,"
                     "\"completion_tokens\":2}}"));
  BOOST_TEST(!UsageFromJson("{\"usage\":{\"prompt_tokens\":\"many\"}}"));
  BOOST_TEST(!UsageFromJson("{"));
}

BOOST_AUTO_TEST_CASE(AnyBodyIsReadOrRefusedWithAField) {
  Bundle bundle;
  bundle.models[ModelName("m")] = {ModelName("m")};
  BOOST_TEST(rc::check([&](const std::string& text) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_CHECK(ReadModelCall(ModelCallKind::kChat, text, bundle));
          return {};
        },
        [](const Refusal& it) { RC_ASSERT(!it.field.empty()); },
        [] { RC_FAIL("refused without a reason"); });
  }));
}

BOOST_AUTO_TEST_CASE(JsonWithDoubledOrDeepFieldsIsRefused) {
  BOOST_TEST(!CheckJson("{\"a\":{\"b\":1},\"b\":2}"));
  BOOST_TEST(CheckJson("{\"a\":1,\"a\":2}")->field == "a");
  BOOST_TEST(CheckJson("{\"x\":{\"a\":1,\"a\":2}}")->field == "a");
  BOOST_TEST(CheckJson(std::string(100, '[')).has_value());
  BOOST_TEST(CheckJson("").has_value());
}

BOOST_AUTO_TEST_CASE(ChartsOfTheRouterAreComplete) {
  BOOST_TEST(BindRouterCharts().has_value());
}

// For any sequence of events a request ends once, is billed at most once, and
// is never refused as "not run" after it was billed.
BOOST_AUTO_TEST_CASE(EveryRequestEndsInOneFinalAction) {
  const auto chart =
      BindChart<ForwardState, ForwardEvent, ForwardAction>(kForwardChart)
          .value();
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t>& events) {
    ChartMachine machine(chart);
    int finals = 0;
    int settled = 0;
    for (std::uint8_t it : events) {
      const auto& entries = EnumTable<ForwardEvent>::kEntries;
      const bool over = machine.done();
      const ForwardAction action =
          machine.Apply(entries[it % entries.size()].value);
      RC_ASSERT(!over || action == ForwardAction::kNone);
      const bool settles = action == ForwardAction::kSettle ||
                           action == ForwardAction::kSettleBroken ||
                           action == ForwardAction::kCancel;
      const bool ends = action == ForwardAction::kRefuse ||
                        action == ForwardAction::kAbandon ||
                        action == ForwardAction::kFinish;
      settled += settles ? 1 : 0;
      finals += ends ? 1 : 0;
      RC_ASSERT(!(action == ForwardAction::kRefuse && settled > 0));
    }
    RC_ASSERT(settled <= 1);
    RC_ASSERT(finals <= 1);
    RC_ASSERT(machine.done() == (finals == 1));
  }));
}

BOOST_AUTO_TEST_CASE(GateOpensForTheFirstSafety) {
  std::vector<std::pair<std::string, BillSafety>> opened;
  BillGate gate(std::chrono::milliseconds(400),
                [&](const RequestId& it, BillSafety safety) {
                  opened.emplace_back(it.value, safety);
                });
  const Instant now{std::chrono::hours(1)};
  for (const char* it : {"a", "b", "c"}) gate.Wait(now, RequestId(it), 5);
  gate.OnWitnessed(RequestId("a"));
  gate.OnWitnessed(RequestId("a"));
  gate.OnWritten(4);
  BOOST_TEST(opened.size() == 1U);
  gate.OnWritten(5);
  BOOST_TEST(opened.size() == 3U);
  gate.Wait(now, RequestId("d"), 6);
  gate.Tick(now + std::chrono::milliseconds(399));
  BOOST_TEST(opened.size() == 3U);
  gate.Tick(now + std::chrono::milliseconds(400));
  BOOST_TEST((opened.back().second == BillSafety::kUnprotected));
}

BOOST_AUTO_TEST_CASE(PeerMessagesSurviveTheWireAndGarbageIsRefused) {
  Intent intent;
  intent.worst_case.request_id = RequestId("r");
  intent.worst_case.tokens = 9;
  intent.target_address = "1.2.3.4:5";
  const std::string wire =
      EncodePeerMessage(WitnessMessage(IntentMessage{intent}));
  const auto back = DecodePeerMessage(wire);
  BOOST_REQUIRE(back);
  const auto& message = std::get<WitnessMessage>(*back);
  BOOST_TEST((std::get<IntentMessage>(message).intent == intent));
  BOOST_TEST(
      rc::check([](const std::string& bytes) { DecodePeerMessage(bytes); }));
}

BOOST_AUTO_TEST_CASE(SettingsAreCheckedAsAWhole) {
  RouterFlags flags;
  flags.kv = {"nowhere"};
  flags.drain_ms = -5;
  flags.log_level = "loud";
  RouterSettings settings;
  std::set<std::string> faulty;
  for (const SettingFault& it : CheckSettings(flags, settings)) {
    faulty.insert(it.flag);
    BOOST_TEST(!it.allowed.empty());
  }
  for (const char* it : {"--vm", "--hall", "--kv", "--drain-ms", "--log-level",
                         "--operator-key"}) {
    BOOST_TEST(faulty.contains(it), it);
  }
}

}  // namespace
}  // namespace quaytrack
