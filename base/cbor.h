// Values as CBOR (RFC 8949), by way of JSON.
//
// Everything that processes of quaytrack tell each other or keep in the store
// as bytes is written and read here. The bytes may come from anywhere: another
// version, a damaged record, a stranger. So reading never throws and never ends
// the process; what isn't the expected value is no value, and the caller says
// so in the log.
//
//   const std::string bytes = ToCbor({{"vm", "vm-7"}});
//   const auto vm = FromCbor(bytes, [](const nlohmann::json& json) {
//     return json.at("vm").get<std::string>();
//   });
//   if (!vm) ...                              // not CBOR, or has no "vm"
//
// It relies on nlohmann::json and owns nothing.

#ifndef QUAYTRACK_BASE_CBOR_H_
#define QUAYTRACK_BASE_CBOR_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

// Strings may hold any bytes; they needn't be UTF-8.
inline std::string ToCbor(const nlohmann::json& json) {
  const auto bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

// What `read` makes of the bytes. Empty if they aren't CBOR, or if `read`
// throws a nlohmann::json::exception, as `at` and `get` do for what they don't
// find.
//
// The parser can be told not to throw, but it throws all the same for a length
// that can't be (docs/FINDINGS.md), so the exceptions are caught here.
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
