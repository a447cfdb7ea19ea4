// Packed texts: values that are sent to other processes in fewer bytes, by zlib
// (RFC 1950).
//
//   const std::string packed = PackText(value);
//   const auto value = UnpackText(packed, kMaxBytes);   // std::nullopt:
//   damaged
//
// Configurations are JSON with many similar entries; packed, they take about a
// sixth of their bytes. A short text, or one that doesn't get shorter, stays as
// it is, behind one byte that says so.
//
// Stateless. Sizes are in bytes.

#ifndef QUAYTRACK_BASE_PACKED_TEXT_H_
#define QUAYTRACK_BASE_PACKED_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

std::string PackText(std::string_view text);

// Returns std::nullopt if `packed` isn't the result of PackText, or if the text
// has more than `max_bytes`.
std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t max_bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_PACKED_TEXT_H_
