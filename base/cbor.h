// Values as CBOR (RFC 8949), by way of JSON.
//
//   const std::string bytes = ToCbor(json);
//   const auto it = FromCbor(bytes, [](const nlohmann::json& json) {...});

#ifndef QUAYTRACK_BASE_CBOR_H_
#define QUAYTRACK_BASE_CBOR_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

inline std::string ToCbor(const nlohmann::json& json) {
  const auto bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

// What `read` makes of the bytes; empty if they are something else, which
// `read` tells by nlohmann::json::exception. The parser's own way without
// exceptions isn't used: it throws for a length that can't be, all the same.
template <class Read>
auto FromCbor(std::string_view bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json()))> {
  try {
    return read(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_CBOR_H_
