// How long a router waits for the store to show a change that a peer is known
// to have, before it requests the change from a peer (relay/config_follower.h,
// relay/state_feed.h) or asks the store again (relay/target_follower.h).
//
// The store usually notifies all routers of a change at once, so most requests
// sent without this delay would be needless. With 1 s between two heartbeats
// (relay/peer_mesh.h), a router whose own wait was lost learns of a change
// within 1.3 s and a round trip. The bound is 2 s, both for a configuration and
// for a target that leaves.

#ifndef QUAYTRACK_RELAY_OWN_WAIT_H_
#define QUAYTRACK_RELAY_OWN_WAIT_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

inline constexpr Duration kLocalWaitTime = std::chrono::milliseconds(300);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_OWN_WAIT_H_
