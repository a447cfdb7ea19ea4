#include "router/refusal.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

std::string_view RanName(Ran ran) { return ran == Ran::kNo ? "no" : "unknown"; }

Json ToJson(const Refusal& refusal) {
  const RefusalInfo& info = InfoOf(refusal.code);
  Json error = {{"code", info.name},
                {"type", info.name},
                {"message", refusal.message},
                {"ran", RanName(info.ran)}};
  if (!refusal.field.empty()) error["param"] = refusal.field;
  if (refusal.retry_after > Duration::zero()) {
    error["retry_after_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            refusal.retry_after)
            .count();
  }
  return Json{{"error", error}, {"ran", RanName(info.ran)}};
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

const RefusalInfo& InfoOf(RefusalCode code) {
  for (const RefusalInfo& it : kRefusals) {
    if (it.code == code) return it;
  }
  return kRefusals[0];
}

HttpReply ReplyFor(const Refusal& refusal) {
  HttpReply out;
  out.status = InfoOf(refusal.code).status;
  out.content_type = "application/json";
  out.body = Dump(ToJson(refusal)) + "\n";
  if (refusal.retry_after > Duration::zero()) {
    const double seconds = std::ceil(ToSeconds(refusal.retry_after));
    out.headers.push_back(
        {"Retry-After", std::to_string(static_cast<int>(seconds))});
  }
  return out;
}

std::string StreamErrorFor(const Refusal& refusal) {
  return "data: " + Dump(ToJson(refusal)) + "\n\n";
}

}  // namespace quaytrack
