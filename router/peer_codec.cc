#include "router/peer_codec.h"

#include "base/cbor.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

Json ToJson(const Bill& it) {
  return {{"id", it.bill_id},     {"c", it.customer.value},
          {"b", it.budget.value}, {"r", it.request_id.value},
          {"n", it.tokens},       {"at", it.at_ms},
          {"m", it.marker}};
}

Bill BillFrom(const Json& json) {
  Bill out;
  out.bill_id = json.at("id").get<std::string>();
  out.customer.value = json.at("c").get<std::string>();
  out.budget.value = json.at("b").get<std::string>();
  out.request_id.value = json.at("r").get<std::string>();
  out.tokens = json.at("n").get<Tokens>();
  out.at_ms = json.at("at").get<std::int64_t>();
  out.marker = json.at("m").get<std::string>();
  return out;
}

Json ToJson(const IntentMessage& message) {
  const Intent& it = message.intent;
  return {{"t", "intent"},
          {"bill", ToJson(it.worst_case)},
          {"at", it.target_address},
          {"pp", it.price_prompt},
          {"po", it.price_output}};
}

Json ToJson(const BillMessage& it) {
  return {{"t", "bill"}, {"seq", it.seq}, {"bill", ToJson(it.bill)}};
}

Json ToJson(const ReleaseMessage& it) {
  return {{"t", "release"}, {"r", it.request.value}};
}

Json ToJson(const WrittenMessage& it) {
  return {{"t", "written"}, {"seq", it.seq}};
}

Json ToJson(const CaughtUpMessage&) { return {{"t", "caught_up"}}; }

Json ToJson(const HelloMessage& it) {
  return {{"t", "hello"}, {"owner", it.owner.value}};
}

Json ToJson(const AckMessage& it) { return {{"t", "ack"}, {"n", it.count}}; }

Json ToJson(const WitnessMessage& message) {
  return std::visit([](const auto& it) { return ToJson(it); }, message);
}

IntentMessage IntentFrom(const Json& json) {
  IntentMessage out;
  out.intent.worst_case = BillFrom(json.at("bill"));
  out.intent.target_address = json.at("at").get<std::string>();
  out.intent.price_prompt = json.at("pp").get<Tokens>();
  out.intent.price_output = json.at("po").get<Tokens>();
  return out;
}

std::optional<PeerMessage> FromJson(const Json& json) {
  const auto type = json.at("t").get<std::string>();
  if (type == "hello") {
    return HelloMessage{Incarnation(json.at("owner").get<std::string>())};
  }
  if (type == "ack") return AckMessage{json.at("n").get<std::uint64_t>()};
  if (type == "intent") return WitnessMessage(IntentFrom(json));
  if (type == "bill") {
    return WitnessMessage(BillMessage{json.at("seq").get<std::uint64_t>(),
                                      BillFrom(json.at("bill"))});
  }
  if (type == "release") {
    return WitnessMessage(
        ReleaseMessage{RequestId(json.at("r").get<std::string>())});
  }
  if (type == "caught_up") return WitnessMessage(CaughtUpMessage{});
  if (type == "written") {
    return WitnessMessage(WrittenMessage{json.at("seq").get<std::uint64_t>()});
  }
  return std::nullopt;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  const Json json =
      std::visit([](const auto& it) { return ToJson(it); }, message);
  return ToCbor(json);
}

std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  return FromCbor(bytes, FromJson).value_or(std::nullopt);
}

}  // namespace quaytrack
