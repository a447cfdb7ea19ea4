// Encodes JSON values as CBOR (RFC 8949) and decodes them.
//
// Binary messages between quaytrack processes, and binary records in the store,
// are encoded and decoded here. The bytes are untrusted: they may come from
// another version, a damaged record or a foreign process. So decoding never
// throws and never ends the process: for anything but the expected value it
// returns std::nullopt, and the caller logs that. The parser calls itself for
// each level of nesting, so bytes that nest deeper than `kMaxCborDepth` are
// refused before they are parsed.
//
//   const std::string bytes = ToCbor({{"vm", "vm-7"}});
//   const auto vm = FromCbor(bytes, [](const nlohmann::json& json) {
//     return json.at("vm").get<std::string>();
//   });
//   if (!vm) ...                              // not CBOR, or has no "vm"
//
// Relies on nlohmann::json; owns nothing.

#ifndef QUAYTRACK_BASE_CBOR_H_
#define QUAYTRACK_BASE_CBOR_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

// Encodes `json`. Its strings may hold any bytes; they needn't be UTF-8.
inline std::string ToCbor(const nlohmann::json& json) {
  const auto bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

// Maximum nesting of arrays, maps and strings in chunks.
inline constexpr std::size_t kMaxCborDepth = 32;

// Whether `bytes` are exactly one CBOR value without tags, nested no deeper
// than `kMaxCborDepth`, with no length beyond the end of `bytes`.
bool IsBoundedCbor(std::string_view bytes);

// Decodes `bytes` and returns the result of `read`. Returns std::nullopt if
// they aren't CBOR, or if `read` throws a nlohmann::json::exception, as `at`
// and `get` do for a missing key or a wrong type.
//
// The parser has a mode without exceptions, but even there it throws for an
// impossible length, so the exceptions are caught here.
template <class Read>
auto FromCbor(std::string_view bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json()))> {
  if (!IsBoundedCbor(bytes)) return std::nullopt;
  try {
    return read(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_CBOR_H_
