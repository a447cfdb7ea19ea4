// A numeric IPv4 address and port, such as "10.1.0.7:8000".
//
//   if (const auto it = ParseAddress(text)) {
//     const sockaddr_in to = ToSocketAddress(*it);
//     ...
//   }
//
// Addresses come from settings, from the store and from peers. Host names
// aren't resolved, as a DNS look-up would block the event loop.
//
// Only the port is checked when an address is parsed. A host that isn't an IPv4
// address becomes 0.0.0.0 in `ToSocketAddress`.

#ifndef QUAYTRACK_NET_ADDRESS_H_
#define QUAYTRACK_NET_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/parse_number.h"

namespace quaytrack {

struct Address {
  // The host as given; it isn't checked.
  std::string host;
  std::uint16_t port = 0;
};

// Returns std::nullopt if `text` lacks a host, a colon, or a port from 0 to
// 65535.
inline std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  Address out;
  out.host = std::string(text.substr(0, colon));
  const auto number = ParseNumber<std::uint16_t>(port);
  if (!number) return std::nullopt;
  out.port = *number;
  return out;
}

// Converts an address to the kernel's form.
inline sockaddr_in ToSocketAddress(const Address& it) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(it.port);
  inet_pton(AF_INET, it.host.c_str(), &out.sin_addr);
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_ADDRESS_H_
