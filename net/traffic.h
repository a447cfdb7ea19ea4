// Counts the bytes that the sockets of a loop have carried, to estimate the
// load of the VM's network link (dispatch/link_watch.h).
//
//   const Traffic& it = loop.traffic();
//   const std::uint64_t carried = it.bytes_in + it.bytes_out;
//
// TcpSocket updates the counters. Links between processes (net/peer_link.h) and
// the router's HTTP (evhttp/) aren't counted, so the relay's figures are a
// little too low.

#ifndef QUAYTRACK_NET_TRAFFIC_H_
#define QUAYTRACK_NET_TRAFFIC_H_

#include <cstdint>

namespace quaytrack {

// Totals since the loop was created; bytes are payload, without TCP/IP headers.
// A piece is what one system call passed to or got from the kernel; it
// corresponds to at least one packet, and to the packet that acknowledges it.
struct Traffic {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t pieces_in = 0;
  std::uint64_t pieces_out = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_TRAFFIC_H_
