// Links between processes of one fleet: websocket messages, by websocketpp.
//
// A link carries whole binary messages in order, and says when it opens and
// closes. Who may link to whom, what is said, and when a silent link counts as
// lost is decided by its users (relay/peer_mesh.h, router/peer_driver.h).
//
//   PeerServer server(loop, [&](std::shared_ptr<PeerLink> link) {
//     link->SetHandlers({open, message, closed});   // keep the pointer
//   });
//   server.Listen("10.0.0.7:8082");
//
//   const auto link = PeerLink::Connect(loop, "10.0.0.8:8082", handlers);
//   link->Send(bytes);               // once `open` was called
//
// websocketpp runs on its transport without sockets; the bytes move through a
// libevent bufferevent on the loop. What a link carries isn't counted in
// net/traffic.h.
//
// A message is handed to the kernel before `Send` returns, if the link isn't
// backed up, so that it outlives a process that is killed right after. That
// says nothing about its arrival: a link that breaks loses what is under way,
// and its users repeat what must not be lost. What the kernel doesn't take is
// kept without a bound until the link closes.
//
// Messages have at most 4 MiB; a peer that sends more is cut off.
//
// Peers aren't authenticated: the addresses have to be on a network that only
// the fleet can reach.

#ifndef QUAYTRACK_NET_PEER_LINK_H_
#define QUAYTRACK_NET_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.h"
#include "net/tcp_socket.h"

namespace quaytrack {

class PeerLink {
 public:
  struct Handlers {
    // Messages may be sent from now on.
    std::function<void()> open;
    std::function<void(const std::string& message)> message;
    // Called once, whichever side or error ended it; the link is of no use
    // afterwards. Not called for a link that is dropped.
    std::function<void()> closed;
  };

  virtual ~PeerLink() = default;
  virtual void SetHandlers(Handlers handlers) = 0;
  // Does nothing on a link that has closed.
  virtual void Send(const std::string& message) = 0;

  // Opens a link to "host:port". Null if that is no address; a peer that can't
  // be reached shows as `closed`.
  static std::shared_ptr<PeerLink> Connect(Loop& loop,
                                           const std::string& address,
                                           Handlers handlers);
};

// Accepts links from other routers.
class PeerServer {
 public:
  using Accepted = std::function<void(std::shared_ptr<PeerLink>)>;

  PeerServer(Loop& loop, Accepted accepted);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Returns the bound port, or 0 if the address can't be bound.
  std::uint16_t Listen(const std::string& address) {
    return listener_.Listen(address);
  }

 private:
  void Accept(int fd);

  Loop& loop_;
  Accepted accepted_;
  TcpListener listener_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_PEER_LINK_H_
