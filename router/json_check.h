// Checks a JSON text for faults that parsers silently accept: unlimited nesting
// and duplicate fields in an object.
//
//   if (const auto fault = CheckJson(body)) return Refuse(fault->field, ...);

#ifndef QUAYTRACK_ROUTER_JSON_CHECK_H_
#define QUAYTRACK_ROUTER_JSON_CHECK_H_

#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

inline constexpr int kMaxJsonDepth = 32;

struct JsonFault {
  std::string field;
  std::string message;
};

// Returns a fault, or std::nullopt if the text is valid JSON and has neither
// fault.
std::optional<JsonFault> CheckJson(std::string_view text);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_JSON_CHECK_H_
