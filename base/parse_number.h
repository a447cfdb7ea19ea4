// Parses a number that makes up an entire text.
//
//   ParseNumber<int>("15");                 // 15
//   ParseNumber<std::uint64_t>("5c1e", 16); // 0x5c1e
//   ParseNumber<int>("15 ms");              // std::nullopt
//   ParseDecimal("1.5");                    // 1.5
//
// The result is std::nullopt for an empty text, blanks, a leading plus,
// anything after the digits, or a number that `T` can't hold. Callers check
// bounds.

#ifndef QUAYTRACK_BASE_PARSE_NUMBER_H_
#define QUAYTRACK_BASE_PARSE_NUMBER_H_

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace quaytrack {

// Parses an integer of type `T`. (No concept restricts `T`, as net/peer_link.cc
// is compiled as C++17.)
template <class T>
std::optional<T> ParseNumber(std::string_view text, int base = 10) {
  T out{};
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, out, base);
  if (ec != std::errc() || stop != end) return std::nullopt;
  return out;
}

// Parses a finite decimal number without an exponent.
inline std::optional<double> ParseDecimal(std::string_view text) {
  double out = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] =
      std::from_chars(text.data(), end, out, std::chars_format::fixed);
  const bool complete = ec == std::errc() && stop == end;
  return complete && std::isfinite(out) ? std::optional(out) : std::nullopt;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_PARSE_NUMBER_H_
