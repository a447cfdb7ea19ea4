// The encoding of peer messages, which routers of other builds read: words,
// field names and types stay as they are.

#include "relay/peer_messages.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "base/cbor.h"
#include "base/packed_text.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

PeerMessage Message(PeerMessageKind kind) {
  PeerMessage out;
  out.kind = kind;
  out.from = Incarnation("vm1@1");
  return out;
}

// Compares the encoding with the JSON in `text`, and decodes it again.
void Check(const PeerMessage& message, const char* text) {
  const std::string bytes = EncodePeerMessage(message);
  BOOST_TEST(Json::from_cbor(bytes) == Json::parse(text));
  const auto back = DecodePeerMessage(bytes);
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST(EncodePeerMessage(*back) == bytes);
}

BOOST_AUTO_TEST_CASE(GreetingsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kHello);
  it.hall = HallName("a");
  it.address = "10.0.0.1:8082";
  it.config_version = 7;
  it.keeps_budgets = true;
  it.targets_revision = 12;
  Check(it, R"({"kind": "hello", "from": "vm1@1", "hall": "a",
                "address": "10.0.0.1:8082", "config": 7, "keeps": true,
                "targets": 12})");
  Check(Message(PeerMessageKind::kPing),
        R"({"kind": "ping", "from": "vm1@1"})");
}

BOOST_AUTO_TEST_CASE(ServicesOutOfReachKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kPing);
  it.cut_off = {ServiceName("desk"), ServiceName("llm")};
  Check(it, R"({"kind": "ping", "from": "vm1@1",
                "cut_off": ["desk", "llm"]})");
}

BOOST_AUTO_TEST_CASE(RejectionLimitsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kPing);
  it.rejections = {{ServiceName("desk"), 3}};
  Check(it, R"({"kind": "ping", "from": "vm1@1", "rejections": {"desk": 3}})");
}

BOOST_AUTO_TEST_CASE(MessagesAboutTheStoreKeepTheirForm) {
  PeerMessage heartbeat = Message(PeerMessageKind::kPing);
  heartbeat.marks[FeedName::kTargets] = {12,
                                         std::chrono::microseconds(300'100)};
  heartbeat.routers = 295;
  Check(heartbeat, R"({"kind": "ping", "from": "vm1@1", "routers": 295,
                  "marks": {"targets": [12, 301]}})");
  PeerMessage it = Message(PeerMessageKind::kUpdate);
  it.update.feed = FeedName::kTargets;
  it.update.since = 10;
  it.update.revision = 13;
  it.update.changes = {{{"t/1", "v", 12}, false}, {{"t/2", "", 13}, true}};
  Check(it, R"({"kind": "news", "from": "vm1@1", "news":
                {"feed": "targets", "since": 10, "revision": 13, "age": 0,
                 "notice": false,
                 "changes": [["t/1", 12, "v"], ["t/2", 13]]}})");
  Check(Message(PeerMessageKind::kStateRequest),
        R"({"kind": "state_wanted", "from": "vm1@1", "news":
            {"feed": "config", "since": 0, "revision": 0, "age": 0,
             "notice": false, "changes": []}})");
}

BOOST_AUTO_TEST_CASE(QuestionsAboutMarksKeepTheirForm) {
  for (const auto kind : {PeerMessageKind::kMarkRequest, PeerMessageKind::kMark,
                          PeerMessageKind::kStateRequest}) {
    PeerMessage out;
    out.kind = kind;
    out.from = Incarnation("vm-1@1");
    out.update.feed = FeedName::kConfig;
    out.update.revision = {2, 7};
    out.update.age = std::chrono::milliseconds(30);
    out.asked_ms = 123456;
    out.config_version = 9;
    const auto in = DecodePeerMessage(EncodePeerMessage(out));
    BOOST_REQUIRE(in.has_value());
    BOOST_TEST((in->kind == kind));
    BOOST_TEST(in->update.revision == out.update.revision);
    BOOST_TEST((in->update.age == out.update.age));
    BOOST_TEST(in->asked_ms == 123456);
    BOOST_TEST(in->config_version == 9U);
  }
}

BOOST_AUTO_TEST_CASE(PackedValuesAreUnpacked) {
  const std::string value(20'000, 'x');
  PeerMessage config;
  config.kind = PeerMessageKind::kConfig;
  config.item_key = "c/config";
  config.item_value = PackText(value);
  config.packed = true;
  PeerMessage state;
  state.kind = PeerMessageKind::kState;
  state.update.revision = 5;
  state.update.changes = {{{"t/1", PackText(value), 4}, false},
                          {{"t/2", "", 5}, true}};
  state.packed = true;
  const std::string bytes = EncodePeerMessage(state);
  BOOST_TEST(bytes.size() < value.size() / 10);
  BOOST_TEST(DecodePeerMessage(EncodePeerMessage(config))->item_value == value);
  const auto in = DecodePeerMessage(bytes);
  BOOST_REQUIRE(in.has_value());
  BOOST_TEST(in->update.changes.at(0).item.value == value);
  BOOST_TEST(in->update.changes.at(1).removed);
  // A damaged value makes the whole message invalid.
  state.update.changes[0].item.value = "damaged";
  BOOST_TEST(!DecodePeerMessage(EncodePeerMessage(state)));
}

BOOST_AUTO_TEST_CASE(PagesKeepTheirForm) {
  PeerMessage state_request = Message(PeerMessageKind::kStateRequest);
  state_request.update.feed = FeedName::kTargets;
  state_request.update.since = 9;
  state_request.update.paged = true;
  state_request.update.after = "t/1";
  Check(state_request, R"({"kind": "state_wanted", "from": "vm1@1", "news":
                    {"feed": "targets", "since": 9, "revision": 0, "age": 0,
                     "notice": false, "changes": [], "paged": true,
                     "after": "t/1"}})");
  PeerMessage page = Message(PeerMessageKind::kState);
  page.update.feed = FeedName::kTargets;
  page.update.since = 9;
  page.update.revision = 13;
  page.update.after = "t/1";
  page.update.more = true;
  page.update.changes = {{{"t/2", "v", 12}, false}};
  Check(page, R"({"kind": "state", "from": "vm1@1", "news":
                  {"feed": "targets", "since": 9, "revision": 13, "age": 0,
                   "notice": false, "changes": [["t/2", 12, "v"]],
                   "after": "t/1", "more": true}})");
}

BOOST_AUTO_TEST_CASE(RolloutsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kPing);
  RolloutReport& report = it.rollouts[ServiceName("llm")];
  report.version = VersionName("v2");
  report.order = {2, 41};
  report.state = RolloutState::kTrial;
  report.left = std::chrono::seconds(9);
  report.counted_by = VmName("vm2");
  report.evidence.Add("review", true, {true, {}, {}});
  report.evidence.Add("review", false, {false, 1.0, {}});
  Check(it, R"({"kind": "ping", "from": "vm1@1", "rollouts": {"llm":
                {"version": "v2", "order": [41, 2], "state": "trial",
                 "left": 9000, "counted_by": "vm2", "drained": false,
                 "routers": 1, "next": {"review": [1, 1, [], []]},
                 "current": {"review": [1, 0, [[6, 1]], []]}}}})");
}

BOOST_AUTO_TEST_CASE(RolloutsThatCantBeReadAreNoMessage) {
  for (const char* it :
       {R"({"kind": "ping", "from": "a", "rollouts": {"llm": 7}})",
        R"({"kind": "ping", "from": "a", "rollouts": {"llm":
               {"version": "v2", "state": "trial"}}})",
        R"({"kind": "ping", "from": "a", "rollouts": {"llm":
               {"version": "v2", "order": [1], "state": "trial", "left": 1,
                "counted_by": "", "drained": false, "routers": 1,
                "next": {"review": [1]}, "current": {}}}})"}) {
    const auto bytes = Json::to_cbor(Json::parse(it));
    BOOST_TEST(!DecodePeerMessage(std::string(bytes.begin(), bytes.end())), it);
  }
}

BOOST_AUTO_TEST_CASE(NewsThatCantBeReadAreNoMessage) {
  for (const char* it : {
           R"({"kind": "news", "from": "a"})",
           R"({"kind": "news", "from": "a", "news": {"feed": "moon"}})",
           R"({"kind": "news", "from": "a", "news": 7})",
           R"({"kind": "news", "from": "a", "news": {"feed": "config",
               "since": "0", "revision": 1, "age": 0, "notice": false,
               "changes": []}})",
           R"({"kind": "news", "from": "a", "news": {"feed": "config",
               "since": 0, "revision": 1, "age": 0, "notice": false,
               "changes": [["k"]]}})",
           R"({"kind": "ping", "from": "a", "marks": {"config": [1]}})",
           R"({"kind": "ping", "from": "a", "marks": {"config": 1}})",
       }) {
    BOOST_TEST(!DecodePeerMessage(ToCbor(Json::parse(it))).has_value());
  }
}

BOOST_AUTO_TEST_CASE(MessagesAboutGrantsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kTransferRequest);
  it.customer = CustomerName("clinic");
  it.amount = 500;
  it.all = true;
  Check(it, R"({"kind": "ask", "from": "vm1@1", "customer": "clinic",
                "all": true, "amount": 500})");
  it.kind = PeerMessageKind::kTransfer;
  it.all = false;
  Check(it, R"({"kind": "move", "from": "vm1@1", "customer": "clinic",
                "all": false, "amount": 500})");
}

BOOST_AUTO_TEST_CASE(MessagesAboutHoldsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kHoldRequest);
  it.request = RequestId("r");
  it.customer = CustomerName("clinic");
  it.amount = 130;
  Check(it, R"({"kind": "hold", "from": "vm1@1", "customer": "clinic",
                "all": false, "amount": 130, "request": "r"})");
  it = Message(PeerMessageKind::kSettle);
  it.request = RequestId("r");
  it.amount = 40;
  Check(it, R"({"kind": "settle", "from": "vm1@1", "request": "r",
                "amount": 40})");
  it = Message(PeerMessageKind::kSettled);
  it.request = RequestId("r");
  Check(it, R"({"kind": "settled", "from": "vm1@1", "request": "r"})");
}

// An absent `advance` or `amount` is what older builds send.
BOOST_AUTO_TEST_CASE(HoldsInAdvanceKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kHoldRequest);
  it.request = RequestId("\nadvance-1");
  it.customer = CustomerName("clinic");
  it.amount = 2500;
  it.advance = true;
  Check(it, R"({"kind": "hold", "from": "vm1@1", "customer": "clinic",
                "all": false, "amount": 2500, "request": "\nadvance-1",
                "advance": true})");
  it = Message(PeerMessageKind::kHoldAnswer);
  it.request = RequestId("\nadvance-1");
  it.answer = HoldAnswer::kHeld;
  it.amount = 2000;
  Check(it, R"({"kind": "hold_answer", "from": "vm1@1", "answer": "held",
                "request": "\nadvance-1", "amount": 2000})");
}

BOOST_AUTO_TEST_CASE(AnswersToHoldsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kHoldAnswer);
  it.request = RequestId("r");
  const std::pair<HoldAnswer, std::string> answers[] = {
      {HoldAnswer::kHeld, "held"},
      {HoldAnswer::kShort, "short"},
      {HoldAnswer::kExhausted, "exhausted"},
      {HoldAnswer::kNotHolder, "elsewhere"}};
  for (const auto& [answer, word] : answers) {
    it.answer = answer;
    const std::string text =
        R"({"kind": "hold_answer", "from": "vm1@1", "request": "r",
            "answer": ")" +
        word + "\"}";
    Check(it, text.c_str());
  }
}

BOOST_AUTO_TEST_CASE(ConfigurationsKeepTheirForm) {
  Check(Message(PeerMessageKind::kConfigRequest),
        R"({"kind": "config_wanted", "from": "vm1@1"})");
  PeerMessage it = Message(PeerMessageKind::kConfig);
  it.item_key = "k";
  it.item_value = "v";
  Check(it, R"({"kind": "config", "from": "vm1@1", "key": "k",
                "value": "v"})");
}

BOOST_AUTO_TEST_CASE(WhatIsToldOfEnginesKeepsItsForm) {
  PeerMessage it = Message(PeerMessageKind::kPromptSent);
  it.target = TargetName("i-1");
  it.amount = 2890;
  Check(it, R"({"kind": "sent", "from": "vm1@1", "target": "i-1",
                "amount": 2890})");
  it = Message(PeerMessageKind::kPing);
  it.engine_speeds[ServiceName("llm")] = {
      .ms_per_token = 0.031, .base_ms = 71, .answers = 90};
  Check(it, R"({"kind": "ping", "from": "vm1@1", "engines":
                {"llm": [31000, 71000, 90]}})");
  const auto back = DecodePeerMessage(EncodePeerMessage(it));
  const SpeedLine& read = back->engine_speeds.at(ServiceName("llm"));
  BOOST_TEST(read.ms_per_token == 0.031, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(read.base_ms == 71);
  BOOST_TEST(read.answers == 90);
}

BOOST_AUTO_TEST_CASE(SpeedsThatAreNoAmountsAreSkipped) {
  const Json json = {{"kind", "ping"},
                     {"from", "vm1@1"},
                     {"engines",
                      {{"a", {1, 1, 1}},
                       {"b", {1, -1, 1}},
                       {"c", {1, "x", 1}},
                       {"d", {1, 2}},
                       {"e", 7}}}};
  const auto it = DecodePeerMessage(ToCbor(json));
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST(it->engine_speeds.size() == 1U);
  const Json list = {{"kind", "ping"}, {"from", "vm1@1"}, {"engines", {1, 2}}};
  BOOST_TEST(DecodePeerMessage(ToCbor(list))->engine_speeds.empty());
}

BOOST_AUTO_TEST_CASE(RateLimitsComeBackAsTheyWere) {
  PeerMessage it = Message(PeerMessageKind::kRateLimits);
  it.rate_limits[TargetStart("i-1@5")] = {0.25, 3, std::chrono::seconds(2)};
  it.rate_limits[TargetStart("i-2")] = {std::nullopt, 8, {}};
  Check(it, R"({"kind": "rate_limits", "from": "vm1@1", "rates":
                {"i-1@5": [0.25, 3, 2000], "i-2": [null, 8, 0]}})");
  const auto back = DecodePeerMessage(EncodePeerMessage(it));
  BOOST_TEST((back->rate_limits == it.rate_limits));
}

BOOST_AUTO_TEST_CASE(TargetsThatLeaveComeBackAsTheyWere) {
  PeerMessage it = Message(PeerMessageKind::kPing);
  it.leaving[TargetName("i-1")] = WallTime(std::chrono::milliseconds(1700));
  it.leaving[TargetName("i-2")] = {};
  Check(it, R"({"kind": "ping", "from": "vm1@1", "leaving":
                {"i-1": 1700, "i-2": 0}})");
  const auto back = DecodePeerMessage(EncodePeerMessage(it));
  BOOST_TEST((back->leaving == it.leaving));
}

BOOST_AUTO_TEST_CASE(RateLimitsThatAreNoRatesAreSkipped) {
  const Json json = {
      {"kind", "rate_limits"},
      {"from", "vm1@1"},
      {"rates", {{"a", {1, 1, 0}}, {"b", {-1, 1, 0}}, {"c", {1, 1, -5}}}}};
  const auto it = DecodePeerMessage(ToCbor(json));
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST(it->rate_limits.size() == 2U);
  BOOST_TEST((it->rate_limits.at(TargetStart("c")).age == Duration::zero()));
  const Json broken = {{"kind", "rate_limits"},
                       {"from", "vm1@1"},
                       {"rates", {{"a", {1, "x", 0}}}}};
  BOOST_TEST(!DecodePeerMessage(ToCbor(broken)).has_value());
}

BOOST_AUTO_TEST_CASE(WhatIsNotKnownIsSkipped) {
  const Json more = {{"kind", "ping"}, {"from", "vm1@1"}, {"later", 1}};
  const auto it = DecodePeerMessage(ToCbor(more));
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST((it->kind == PeerMessageKind::kPing));
  const Json other = {{"kind", "later"}, {"from", "vm1@1"}};
  BOOST_TEST(!DecodePeerMessage(ToCbor(other)).has_value());
  BOOST_TEST(!DecodePeerMessage("no message").has_value());
}

// Guards against taking revisions of different eras for the same.
BOOST_AUTO_TEST_CASE(RevisionsKeepTheirEras) {
  PeerMessage it;
  it.kind = PeerMessageKind::kUpdate;
  it.targets_revision = {3, 12};
  it.store_era = 3;
  it.marks[FeedName::kTargets] = {{3, 12}, {}};
  it.halls[HallName("h")] = {{3, 5}, true};
  it.update.feed = FeedName::kTargets;
  it.update.since = {2, 40};
  it.update.revision = {3, 12};
  it.update.changes.push_back({{"t/a", "ready", {3, 11}}, false});
  const auto out = DecodePeerMessage(EncodePeerMessage(it));
  BOOST_REQUIRE(out.has_value());
  BOOST_TEST(out->targets_revision == it.targets_revision);
  BOOST_TEST(out->store_era == 3);
  BOOST_TEST(out->marks.at(FeedName::kTargets).revision == it.targets_revision);
  BOOST_TEST(out->halls.at(HallName("h")).revision == StoreRevision(3, 5));
  BOOST_TEST(out->update.since == it.update.since);
  BOOST_TEST(out->update.revision == it.update.revision);
  BOOST_TEST(out->update.changes.at(0).item.revision == StoreRevision(3, 11));
}

BOOST_AUTO_TEST_CASE(ScarceBudgetsKeepTheirForm) {
  PeerMessage request = Message(PeerMessageKind::kHoldRequest);
  request.customer = CustomerName("c");
  request.amount = 9200;
  request.request = RequestId("r");
  request.urgency = 2;
  Check(request, R"({"kind": "hold", "from": "vm1@1", "customer": "c",
                     "all": false, "amount": 9200, "request": "r",
                     "urgency": 2})");
  PeerMessage answer = Message(PeerMessageKind::kHoldAnswer);
  answer.request = RequestId("r");
  answer.answer = HoldAnswer::kShort;
  answer.retry_after = std::chrono::milliseconds(700);
  Check(answer, R"({"kind": "hold_answer", "from": "vm1@1", "request": "r",
                    "answer": "short", "retry_ms": 700})");
}

// Earlier builds send neither field: their requests are the most urgent.
BOOST_AUTO_TEST_CASE(AbsentUrgencyIsTheMostUrgent) {
  const auto it = DecodePeerMessage(
      EncodePeerMessage(Message(PeerMessageKind::kHoldRequest)));
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST(it->urgency == 0);
  BOOST_TEST((it->retry_after == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(RunsOfStreamsKeepTheirForm) {
  PeerMessage it = Message(PeerMessageKind::kStreamBegan);
  it.request = RequestId("s-1");
  it.version = VersionName("v1");
  it.keep_for = std::chrono::milliseconds(9000);
  it.run = StreamRun{TargetName("e-1"), "10.0.0.9:80", RequestId("s-1-2")};
  it.fingerprint = Fingerprint("5c1e");
  Check(it, R"({"kind": "stream_began", "from": "vm1@1", "request": "s-1",
                "version": "v1", "keep_ms": 9000, "fingerprint": "5c1e",
                "run": ["e-1", "10.0.0.9:80", "s-1-2"]})");
}

// Guards against a call to no address, for a run of which a part is missing.
BOOST_AUTO_TEST_CASE(ARunWithoutAPartIsNone) {
  for (const char* run : {R"(["", "10.0.0.9:80", "s"])", R"(["e", "", "s"])",
                          R"(["e", "10.0.0.9:80", ""])"}) {
    Json json = {{"kind", "stream_began"}, {"from", "vm1@1"}};
    json["run"] = Json::parse(run);
    const auto bytes = Json::to_cbor(json);
    const auto it = DecodePeerMessage(std::string(bytes.begin(), bytes.end()));
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(!it->run.has_value());
  }
}

}  // namespace
}  // namespace quaytrack
