#include "relay/peer_messages.h"

#include <cmath>

#include "base/cbor.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// A line is sent as whole numbers: nanoseconds for a token, microseconds, and
// answers.
constexpr double kTokenTimeUnit = 1e6;
constexpr double kBaseUnit = 1000;
constexpr std::size_t kLineFields = 3;

Json LineToJson(const SpeedLine& it) {
  return {std::llround(it.ms_per_token * kTokenTimeUnit),
          std::llround(it.base_ms * kBaseUnit), std::llround(it.answers)};
}

// Nothing if it isn't a list of amounts.
std::optional<SpeedLine> LineFromJson(const Json& json) {
  if (!json.is_array() || json.size() != kLineFields) return std::nullopt;
  for (const Json& it : json) {
    if (!it.is_number_integer() || it.get<double>() < 0) return std::nullopt;
  }
  return SpeedLine{.ms_per_token = json[0].get<double>() / kTokenTimeUnit,
                   .base_ms = json[1].get<double>() / kBaseUnit,
                   .answers = json[2].get<double>()};
}

std::map<ServiceName, SpeedLine> LinesFromJson(const Json& json) {
  std::map<ServiceName, SpeedLine> out;
  if (!json.is_object()) return out;
  for (const auto& [service, fields] : json.items()) {
    if (const auto it = LineFromJson(fields)) out[ServiceName(service)] = *it;
  }
  return out;
}

// Empty for a kind that isn't known.
std::optional<PeerMessage> FromJson(const Json& json) {
  const auto kind = FromName<PeerMessageKind>(json.value("kind", ""));
  if (!kind) return std::nullopt;
  PeerMessage out;
  out.kind = *kind;
  out.from = Incarnation(json.value("from", ""));
  out.customer = CustomerName(json.value("customer", ""));
  out.amount = json.value("amount", Tokens{0});
  out.all = json.value("all", false);
  out.request = RequestId(json.value("request", ""));
  const auto answer = FromName<HoldAnswer>(json.value("answer", ""));
  out.answer = answer.value_or(HoldAnswer::kElsewhere);
  out.hall = HallName(json.value("hall", ""));
  out.address = json.value("address", "");
  out.config_version = json.value("config", std::uint64_t{0});
  out.keeps_budgets = json.value("keeps", false);
  out.targets_revision = json.value("targets", std::int64_t{0});
  out.engine_speeds = LinesFromJson(json.value("engines", Json()));
  out.target = TargetName(json.value("target", ""));
  out.item_key = json.value("key", "");
  out.item_value = json.value("value", "");
  return out;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Json json = {{"kind", NameOf(message.kind)}, {"from", message.from.value}};
  if (!message.customer.empty()) {
    json["customer"] = message.customer.value;
    json["all"] = message.all;
  }
  if (message.amount != 0) json["amount"] = message.amount;
  if (!message.request.empty()) json["request"] = message.request.value;
  if (message.kind == PeerMessageKind::kHoldAnswer) {
    json["answer"] = NameOf(message.answer);
  }
  if (!message.address.empty()) {
    json["hall"] = message.hall.value;
    json["address"] = message.address;
  }
  if (message.config_version != 0) json["config"] = message.config_version;
  if (message.keeps_budgets) json["keeps"] = true;
  if (message.targets_revision != 0) {
    json["targets"] = message.targets_revision;
  }
  for (const auto& [service, line] : message.engine_speeds) {
    json["engines"][service.value] = LineToJson(line);
  }
  if (message.kind == PeerMessageKind::kPromptSent) {
    json["target"] = message.target.value;
  }
  if (!message.item_key.empty()) {
    json["key"] = message.item_key;
    json["value"] = message.item_value;
  }
  return ToCbor(json);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return FromCbor(bytes, FromJson).value_or(std::nullopt);
}

}  // namespace quaytrack
