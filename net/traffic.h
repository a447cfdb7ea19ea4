// What the sockets of a loop have carried, for those who watch the VM's network
// link (dispatch/link_watch.h).
//
//   const Traffic& it = loop.traffic();
//   const std::uint64_t carried = it.bytes_in + it.bytes_out;
//
// TcpSocket counts here. Links between processes (net/peer_link.h) and the
// router's HTTP (evhttp/) don't, so the figure is a little low for the relay.

#ifndef QUAYTRACK_NET_TRAFFIC_H_
#define QUAYTRACK_NET_TRAFFIC_H_

#include <cstdint>

namespace quaytrack {

// Running totals since the start; bytes of payload, without headers. A piece is
// what one call handed to or took from the kernel; it stands for at least one
// packet, and for the packet that acknowledges it.
struct Traffic {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t pieces_in = 0;
  std::uint64_t pieces_out = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_TRAFFIC_H_
