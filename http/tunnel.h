// The heads that open a tunnel: a connection to a peer that the peer continues
// to a target (HTTP CONNECT, RFC 9110, 9.3.6).
//
//   socket->Write(TunnelRequest("10.0.0.9:80"));
//   TunnelHead head;                         // at either end
//   head.Feed(bytes);                        // until `complete` or `malformed`
//   head.TargetAddress();                    // at the peer
//   head.Status();                           // at the router that asked
//
// After a head with status 200 both directions carry bytes of the target's
// connection. Any other status ends the connection.

#ifndef QUAYTRACK_HTTP_TUNNEL_H_
#define QUAYTRACK_HTTP_TUNNEL_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/enum_table.h"

namespace quaytrack {

enum class TunnelStatus {
  kOpen = 200,
  kMalformed = 400,
  kNoTarget = 403,     // no target that may get work has the address
  kUnreachable = 502,  // the peer can't connect to the target
  kNoRoom = 503,       // the peer carries no further tunnel for now
};

template <>
struct EnumTable<TunnelStatus> {
  static constexpr auto kEntries = std::to_array<EnumEntry<TunnelStatus>>(
      {{TunnelStatus::kOpen, "open"},
       {TunnelStatus::kMalformed, "malformed"},
       {TunnelStatus::kNoTarget, "no_target"},
       {TunnelStatus::kUnreachable, "unreachable"},
       {TunnelStatus::kNoRoom, "no_room"}});
};

// The first bytes of a tunnel, by which its connection differs from a link
// between routers.
inline constexpr std::string_view kTunnelMethod = "CONNECT ";

// `address` is that of the target, "host:port".
std::string TunnelRequest(const std::string& address);
std::string TunnelAnswer(TunnelStatus status);

// Collects the head of a request or an answer.
class TunnelHead {
 public:
  // Takes bytes up to the end of the head, and returns the number taken.
  std::size_t Feed(std::string_view bytes);
  bool complete() const { return complete_; }
  // The head is longer than any that is expected.
  bool malformed() const { return malformed_; }

  // std::nullopt unless this is the head of a request for a tunnel.
  std::optional<std::string> TargetAddress() const;
  // std::nullopt unless this is the head of an answer with a known status.
  std::optional<TunnelStatus> Status() const;

 private:
  std::string text_;
  bool complete_ = false;
  bool malformed_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_TUNNEL_H_
