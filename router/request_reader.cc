#include "router/request_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/parse_number.h"
#include "router/json_check.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kPrefixBytes = 512;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
// Allowance for the roles and separators that a chat template adds.
constexpr std::int64_t kTemplateTokensPerMessage = 16;

auto Fault(const std::string& field, std::string message) {
  return leaf::new_error(
      Refusal{RefusalCode::kInvalidRequest, std::move(message), field, {}});
}

leaf::result<CustomerName> ReadCustomer(const HttpExchange& exchange,
                                        const Bundle& bundle) {
  static constexpr std::string_view kScheme = "Bearer ";
  const auto fail = [](std::string message) {
    return leaf::new_error(Refusal{
        RefusalCode::kUnauthorized, std::move(message), "Authorization", {}});
  };
  if (exchange.HeaderCount("Authorization") > 1) {
    return fail("Authorization is given twice");
  }
  const auto header = exchange.Header("Authorization");
  if (!header) return fail("Authorization is missing");
  if (!header->starts_with(kScheme)) {
    return fail("Authorization must be 'Bearer KEY'");
  }
  if (header->size() == kScheme.size()) {
    return fail("Authorization has an empty key");
  }
  // The lookup is by digest, so its duration reveals nothing about the key.
  const std::string digest = Sha256Hex(header->substr(kScheme.size()));
  auto it = bundle.customer_by_key.find(digest);
  if (it == bundle.customer_by_key.end()) {
    return fail("Authorization has a key that no customer has");
  }
  return it->second;
}

leaf::result<IdempotencyKey> ReadKey(const HttpExchange& exchange) {
  if (exchange.HeaderCount(kKeyHeader) > 1) {
    return Fault(kKeyHeader, "Idempotency-Key is given twice");
  }
  const auto header = exchange.Header(kKeyHeader);
  if (!header) return IdempotencyKey();
  if (header->empty() || header->size() > kMaxKeyBytes) {
    return Fault(kKeyHeader, "Idempotency-Key must have 1 to " +
                                 std::to_string(kMaxKeyBytes) + " characters");
  }
  const bool printable =
      std::all_of(header->begin(), header->end(),
                  [](char it) { return it > ' ' && it < 0x7f; });
  if (!printable) {
    return Fault(kKeyHeader,
                 "Idempotency-Key must be printable ASCII without spaces");
  }
  return IdempotencyKey(*header);
}

leaf::result<std::optional<std::chrono::milliseconds>> ReadDeadline(
    const HttpExchange& exchange) {
  const auto header = exchange.Header(kDeadlineHeader);
  if (!header) return std::nullopt;
  const auto ms = ParseNumber<std::int64_t>(*header);
  if (!ms || *ms < 1 || *ms > kMaxDeadlineMs) {
    return Fault(kDeadlineHeader,
                 "X-Deadline-Ms must be a whole number from 1 "
                 "to " +
                     std::to_string(kMaxDeadlineMs));
  }
  return std::chrono::milliseconds(*ms);
}

leaf::result<PriorityClass> ReadPriority(const HttpExchange& exchange) {
  const auto header = exchange.Header(kPriorityHeader);
  if (!header) return PriorityClass::kStandard;
  if (const auto it = FromName<PriorityClass>(*header)) return *it;
  return Fault(kPriorityHeader,
               "X-Priority must be interactive, standard or batch");
}

// Reads an integer within [low, high]; returns the fallback if the field is
// absent.
leaf::result<std::int64_t> ReadCount(const Json& json, const char* field,
                                     std::int64_t low, std::int64_t high,
                                     std::int64_t fallback) {
  if (!json.contains(field) || json.at(field).is_null()) return fallback;
  const Json& it = json.at(field);
  const std::string allowed =
      std::string(field) + " must be a whole number from " +
      std::to_string(low) + " to " + std::to_string(high);
  if (!it.is_number_integer()) return Fault(field, allowed);
  // An unsigned value above the signed range would become negative in the
  // conversion to std::int64_t below.
  const bool too_large =
      it.is_number_unsigned() &&
      it.get<std::uint64_t>() > static_cast<std::uint64_t>(high);
  if (too_large) return Fault(field, allowed);
  const auto n = it.get<std::int64_t>();
  if (n < low || n > high) return Fault(field, allowed);
  return n;
}

leaf::result<bool> ReadFlag(const Json& json, const char* field) {
  if (!json.contains(field) || json.at(field).is_null()) return false;
  if (!json.at(field).is_boolean()) {
    return Fault(field, std::string(field) + " must be true or false");
  }
  return json.at(field).get<bool>();
}

// Adds the text of one message's content: a string, or a list of text parts.
leaf::result<void> AddContent(const Json& content, const std::string& field,
                              std::string& prompt) {
  if (content.is_string()) {
    prompt += content.get_ref<const std::string&>();
    return {};
  }
  if (!content.is_array()) {
    return Fault(field, field + " must be a string or a list of parts");
  }
  for (const Json& part : content) {
    const bool is_text = part.is_object() && part.contains("text") &&
                         part.at("text").is_string();
    if (!is_text) return Fault(field, field + " has a part that isn't text");
    prompt += part.at("text").get_ref<const std::string&>();
  }
  return {};
}

leaf::result<std::int64_t> ReadMessages(const Json& json, std::string& prompt) {
  if (!json.contains("messages")) {
    return Fault("messages", "messages is missing");
  }
  const Json& messages = json.at("messages");
  if (!messages.is_array() || messages.empty()) {
    return Fault("messages", "messages must be a list with at least one entry");
  }
  std::int64_t n = 0;
  for (const Json& it : messages) {
    const std::string field = "messages[" + std::to_string(n++) + "]";
    if (!it.is_object()) return Fault(field, field + " must be an object");
    if (!it.contains("role") || !it.at("role").is_string()) {
      return Fault(field + ".role", field + ".role must be a string");
    }
    if (!it.contains("content")) {
      return Fault(field + ".content", field + ".content is missing");
    }
    BOOST_LEAF_CHECK(AddContent(it.at("content"), field + ".content", prompt));
  }
  return n * kTemplateTokensPerMessage;
}

leaf::result<void> ReadPrompt(const Json& json, ModelCall& out) {
  std::string prompt;
  std::int64_t template_tokens = kTemplateTokensPerMessage;
  if (out.kind == ModelCallKind::kChat) {
    BOOST_LEAF_ASSIGN(template_tokens, ReadMessages(json, prompt));
  } else {
    if (!json.contains("prompt") || !json.at("prompt").is_string()) {
      return Fault("prompt", "prompt must be a string");
    }
    prompt = json.at("prompt").get<std::string>();
  }
  out.prompt_bytes = static_cast<std::int64_t>(prompt.size()) + template_tokens;
  const std::uint64_t hash =
      StableHash(out.model.value + "|" + prompt.substr(0, kPrefixBytes));
  out.prefix_hash = std::max<std::uint64_t>(1, hash);
  return {};
}

leaf::result<const ModelSetting*> ReadModel(const Json& json,
                                            const Bundle& bundle) {
  if (!json.contains("model") || !json.at("model").is_string()) {
    return Fault("model", "model must be a string");
  }
  const ModelName name(json.at("model").get<std::string>());
  auto it = bundle.models.find(name);
  if (it != bundle.models.end()) return &it->second;
  return leaf::new_error(Refusal{RefusalCode::kUnknownModel,
                                 "no model is called '" + name.value + "'",
                                 "model",
                                 {}});
}

leaf::result<void> ReadStreaming(Json& json, ModelCall& out) {
  BOOST_LEAF_ASSIGN(out.stream, ReadFlag(json, "stream"));
  if (json.contains("stream_options") && !json["stream_options"].is_null()) {
    if (!json["stream_options"].is_object()) {
      return Fault("stream_options", "stream_options must be an object");
    }
    BOOST_LEAF_ASSIGN(out.include_usage,
                      ReadFlag(json["stream_options"], "include_usage"));
  }
  // The bill needs the usage even if the caller did not ask for it.
  if (out.stream) json["stream_options"]["include_usage"] = true;
  return {};
}

}  // namespace

Tokens ModelCall::WorstCase(const ModelSetting& model_setting) const {
  return prompt_bytes * model_setting.price_prompt +
         max_tokens * model_setting.price_output;
}

leaf::result<CallerHeaders> ReadHeaders(const HttpExchange& exchange,
                                        const Bundle& bundle) {
  CallerHeaders out;
  BOOST_LEAF_ASSIGN(out.customer, ReadCustomer(exchange, bundle));
  BOOST_LEAF_ASSIGN(out.key, ReadKey(exchange));
  BOOST_LEAF_ASSIGN(out.deadline, ReadDeadline(exchange));
  BOOST_LEAF_ASSIGN(out.priority, ReadPriority(exchange));
  const auto repeat = exchange.Header(kRepeatHeader);
  if (repeat) {
    const auto it = FromName<Repeat>(*repeat);
    if (!it) return Fault(kRepeatHeader, "X-Repeat must be allowed or never");
    out.must_not_repeat = *it == Repeat::kNever;
  }
  return out;
}

leaf::result<ModelCall> ReadModelCall(ModelCallKind kind, std::string_view body,
                                      const Bundle& bundle) {
  if (const auto fault = CheckJson(body)) {
    return Fault(fault->field, fault->message);
  }
  Json json = Json::parse(body);
  if (!json.is_object()) return Fault("body", "the body must be an object");
  ModelCall out;
  out.kind = kind;
  BOOST_LEAF_AUTO(model, ReadModel(json, bundle));
  out.model = model->name;
  BOOST_LEAF_CHECK(ReadPrompt(json, out));
  BOOST_LEAF_CHECK(ReadStreaming(json, out));
  BOOST_LEAF_CHECK(ReadCount(json, "n", 1, 1, 1));
  const char* limit_field = json.contains("max_completion_tokens")
                                ? "max_completion_tokens"
                                : "max_tokens";
  BOOST_LEAF_ASSIGN(out.max_tokens,
                    ReadCount(json, limit_field, 1, model->max_tokens,
                              model->default_max_tokens));
  json.erase("max_completion_tokens");
  json["max_tokens"] = out.max_tokens;
  out.engine_body = json.dump();
  return out;
}

}  // namespace quaytrack
