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
//
// Frames. The end of the peer's connection doesn't show how the target's
// connection ended, as it also ends with the peer's process. So the bytes from
// the target come in frames, and the last frame states the end:
//
//   peer->Write(TunnelData(bytes));          // at the peer
//   peer->Write(TunnelEnd(SocketEnd::kClosed));
//   TunnelFrames frames;                     // at the router that asked
//   while (!bytes.empty()) {
//     const TunnelFrame it = frames.Next(bytes);
//     ...
//   }
//
// A tunnel whose connection ends without such a frame is broken. The router
// asks for frames in its head, and the peer's head confirms them. A peer of an
// earlier version does neither: its tunnels carry plain bytes.

#ifndef QUAYTRACK_HTTP_TUNNEL_H_
#define QUAYTRACK_HTTP_TUNNEL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_table.h"
#include "net/tcp_socket.h"

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

// `address` is that of the target, "host:port". The request asks for frames.
std::string TunnelRequest(const std::string& address);
// `framed` confirms frames; only with TunnelStatus::kOpen.
std::string TunnelAnswer(TunnelStatus status, bool framed = false);

// A frame with bytes of the target, and the frame that states how the target's
// connection ended.
std::string TunnelData(std::string_view bytes);
std::string TunnelEnd(SocketEnd end);

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
  // Whether the head asks for frames, or confirms them.
  bool framed() const;

 private:
  std::string text_;
  bool complete_ = false;
  bool malformed_ = false;
};

enum class TunnelFrameKind {
  kPartial,    // more bytes are needed
  kData,       // bytes of the target
  kClosed,     // the target has closed its connection
  kReset,      // the target's connection was reset
  kMalformed,  // the bytes aren't frames
};

struct TunnelFrame {
  TunnelFrameKind kind = TunnelFrameKind::kPartial;
  // Of kData: the next bytes, which may be a part of the frame's.
  std::string_view data = {};
};

// Reads frames from pieces of any size, without copying their contents.
class TunnelFrames {
 public:
  // Takes bytes off the front of `bytes`, which must outlive the result.
  TunnelFrame Next(std::string_view& bytes);

 private:
  // The header of the current frame, as far as it has arrived.
  std::string header_;
  // Bytes of the current frame that are yet to arrive.
  std::uint32_t left_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_TUNNEL_H_
