// What all sockets of a loop have carried, for those who watch the link.

#ifndef QUAYTRACK_NET_TRAFFIC_H_
#define QUAYTRACK_NET_TRAFFIC_H_

#include <cstdint>

namespace quaytrack {

// Running totals. A piece is what one call handed to or took from the kernel;
// it stands for at least one packet, and for the packet that acknowledges it.
struct Traffic {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t pieces_in = 0;
  std::uint64_t pieces_out = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_TRAFFIC_H_
