// TunnelServer: carries the tunnels that peers open through this router
// (http/tunnel.h).
//
//   TunnelServer tunnels(loop, dial, {check, dialed});
//   tunnels.Accept(socket, first_bytes);
//   if (tunnels.size() == 0) ...       // a planned stop may end the process
//
// A tunnel is two sockets, and copies bytes between them. The peer's connection
// is answered once the connection to the target has opened, so that a peer
// that wasn't answered knows that the target got nothing. How the target's
// connection ends is passed on in a frame of its own (http/tunnel.h): an answer
// without a length is complete only if its connection was closed and not reset.
// A router of an earlier version that asks for no frames would take any end of
// the tunnel for that of the answer. Its connection is therefore reset if this
// process ends. When the peer leaves, the connection to the target is closed at
// once.
//
// A tunnel buffers at most `kMaxBufferedBytes` in each direction, and what one
// read returns; then it stops reading from the faster side.
//
// Owns the tunnels. The loop must outlive the server. The bound on the number
// of tunnels is part of `Handlers::check`.

#ifndef QUAYTRACK_HTTP_TUNNEL_SERVER_H_
#define QUAYTRACK_HTTP_TUNNEL_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "http/tunnel.h"
#include "net/loop.h"
#include "net/tcp_socket.h"

namespace quaytrack {

class TunnelServer {
 public:
  // The handlers may destroy the server.
  struct Handlers {
    // Whether a tunnel to the address is carried.
    std::function<TunnelStatus(const std::string& address)> check;
    // Whether the connection to the address has opened.
    std::function<void(const std::string& address, bool opened)> dialed;
  };

  TunnelServer(Loop& loop, Dialer dial, Handlers handlers)
      : loop_(loop),
        dial_(std::move(dial)),
        on_(std::make_shared<const Handlers>(std::move(handlers))) {}
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  // Takes a peer's connection; `first_bytes` have been read from it.
  void Accept(std::shared_ptr<TcpSocket> socket, std::string_view first_bytes);
  // Number of tunnels that carry a request, are being opened, or have bytes for
  // their peer that the kernel has not accepted.
  std::size_t size() const;
  // Number of tunnels opened so far.
  std::uint64_t opened() const { return opened_; }

 private:
  struct Tunnel;
  using TunnelPtr = std::shared_ptr<Tunnel>;

  // A few answers' events; more would only delay the backpressure.
  static constexpr std::size_t kMaxBufferedBytes = 32 * 1024;
  // How long the connection to a target may take to open. It is shorter than
  // the timeout of the peer's request, so that the peer learns the reason.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
  // How long the end of an answer may take to reach the peer.
  static constexpr Duration kCloseTimeout = std::chrono::seconds(2);

  void OnPeerData(const TunnelPtr& it, std::string_view bytes);
  void ReadHead(const TunnelPtr& it, std::string_view bytes);
  void Connect(const TunnelPtr& it, const std::string& address);
  void OnConnected(const TunnelPtr& it);
  // Reports whether a connection has opened. Returns false if the handler has
  // destroyed the server.
  bool ReportDialed(const TunnelPtr& it, bool opened);
  void OnNotConnected(const TunnelPtr& it);
  void Refuse(const TunnelPtr& it, TunnelStatus status);
  void OnTargetEnded(const TunnelPtr& it, SocketEnd end);
  void FinishPeer(const TunnelPtr& it);
  void Remove(TunnelPtr it);

  Loop& loop_;
  Dialer dial_;
  // Shared with a handler that runs.
  std::shared_ptr<const Handlers> on_;
  // Expires with the server.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>();
  std::set<TunnelPtr> tunnels_;
  // Tunnels whose last bytes are on their way to the peer.
  std::set<TunnelPtr> closing_;
  std::uint64_t opened_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_TUNNEL_SERVER_H_
