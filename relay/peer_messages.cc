#include "relay/peer_messages.h"

#include <array>
#include <cmath>

#include "base/cbor.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// Sights are sent as whole thousandths: they are sums of milliseconds, seconds
// and counts, and need no more. The time of a token needs more.
constexpr double kSightUnit = 1000;
constexpr double kTokenTimeUnit = 1e6;
constexpr std::size_t kSightFields = 9;

Json SightsToJson(const EngineSights& it) {
  const EngineWork& work = it.work;
  Json out = Json::array();
  for (const double value :
       {work.short_ms, work.long_ms, work.short_streams, work.short_seconds,
        work.watched_seconds, work.held_up, it.speed.base_ms,
        it.speed.answers}) {
    out.push_back(std::llround(value * kSightUnit));
  }
  out.push_back(std::llround(it.speed.ms_per_token * kTokenTimeUnit));
  return out;
}

// Nothing if it isn't a list of amounts.
std::optional<EngineSights> SightsFromJson(const Json& json) {
  if (!json.is_array() || json.size() != kSightFields) return std::nullopt;
  std::array<double, kSightFields> at{};
  for (std::size_t i = 0; i < kSightFields; ++i) {
    if (!json[i].is_number_integer()) return std::nullopt;
    at[i] = json[i].get<double>() / kSightUnit;
    if (at[i] < 0) return std::nullopt;
  }
  EngineSights out;
  out.work = {at[0], at[1], at[2], at[3], at[4], at[5]};
  out.speed.base_ms = at[6];
  out.speed.answers = at[7];
  out.speed.ms_per_token = at[8] * kSightUnit / kTokenTimeUnit;
  return out;
}

std::map<ServiceName, EngineSights> AllSightsFromJson(const Json& json) {
  std::map<ServiceName, EngineSights> out;
  if (!json.is_object()) return out;
  for (const auto& [service, fields] : json.items()) {
    if (const auto it = SightsFromJson(fields)) {
      out[ServiceName(service)] = *it;
    }
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
  out.engine_sights = AllSightsFromJson(json.value("engines", Json()));
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
  for (const auto& [service, sights] : message.engine_sights) {
    json["engines"][service.value] = SightsToJson(sights);
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
