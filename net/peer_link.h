// Links between processes of one fleet, over which they exchange WebSocket
// messages, with websocketpp.
//
// A link delivers complete binary messages in order, and reports when it opens
// and closes. Which processes link, what they send, and when a silent link
// counts as lost is decided in relay/peer_mesh.h and router/peer_driver.h.
//
//   PeerServer server(loop, [&](std::shared_ptr<PeerLink> link) {
//     link->SetHandlers({open, message, closed});   // keep the pointer
//   });
//   server.OnOther([](std::shared_ptr<TcpSocket> socket,
//                     std::string_view first_bytes) {...});
//   server.Listen("10.0.0.7:8082");
//
// A connection whose first bytes don't begin the handshake of a link is passed
// to the handler of `OnOther`, and closed without one.
//
//   const auto link = PeerLink::Connect(loop, "10.0.0.8:8082", handlers);
//   link->Send(bytes);               // once `open` was called
//
// websocketpp uses its transport without sockets; a libevent bufferevent on the
// loop moves the bytes. net/traffic.h doesn't count them.
//
// If a link has no backlog, `Send` passes the message to the kernel before it
// returns, so that the message is sent even if the process is killed right
// after. It may still not arrive: a link that breaks loses messages in transit,
// and the callers resend those that must not be lost. Bytes that the kernel
// doesn't accept are buffered without a bound until the link closes.
//
// Messages have at most 4 MiB; the link to a peer that sends more is closed.
//
// Peers aren't authenticated: the addresses must be on a network that only the
// fleet can reach.

#ifndef QUAYTRACK_NET_PEER_LINK_H_
#define QUAYTRACK_NET_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"
#include "net/tcp_socket.h"

namespace quaytrack {

class PeerLink {
 public:
  // Handlers may set others, or release the link. None is called after that.
  struct Handlers {
    // Called when the link has opened: messages may be sent from now on.
    std::function<void()> open;
    std::function<void(const std::string& message)> message;
    // Called once when the link has ended, whichever side or error ended it.
    // The link can't be used afterwards. Not called for a link that is
    // destroyed.
    std::function<void()> closed;
  };

  virtual ~PeerLink() = default;
  virtual void SetHandlers(Handlers handlers) = 0;
  // Sends a message. Does nothing on a link that has closed.
  virtual void Send(const std::string& message) = 0;
  // Number of bytes received so far.
  virtual std::uint64_t received() const = 0;
  // Number of bytes received of a message that isn't complete, to tell whether
  // a large one is arriving. Bytes that came in one piece with the end of the
  // message before aren't counted.
  virtual std::uint64_t partial() const = 0;

  // Opens a link to "host:port". Returns null if `address` isn't valid; for a
  // peer that can't be reached, `closed` is called.
  static std::shared_ptr<PeerLink> Connect(Loop& loop,
                                           const std::string& address,
                                           Handlers handlers);
};

// Accepts links from other processes.
class PeerServer {
 public:
  using Accepted = std::function<void(std::shared_ptr<PeerLink>)>;
  using Other = std::function<void(std::shared_ptr<TcpSocket>,
                                   std::string_view first_bytes)>;

  PeerServer(Loop& loop, Accepted accepted);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  void OnOther(Other handler) { other_ = std::move(handler); }

  // Returns the bound port, or 0 if the address can't be bound.
  std::uint16_t Listen(const std::string& address) {
    return listener_.Listen(address);
  }

 private:
  // A connection whose first bytes haven't arrived.
  struct NewConnection;
  using NewConnectionPtr = std::shared_ptr<NewConnection>;

  void Accept(int fd);
  void OnFirstBytes(const NewConnectionPtr& it, std::string_view bytes);
  void PassOn(const NewConnectionPtr& it, const std::string& first_bytes);
  void StartLink(int fd, const std::string& first_bytes);

  Loop& loop_;
  Accepted accepted_;
  Other other_;
  std::set<NewConnectionPtr> new_;
  TcpListener listener_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_PEER_LINK_H_
