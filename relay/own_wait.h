// How long a router lets its own wait for changes of the store show what a peer
// is known to have, before it asks the peer (relay/config_follower.h) or the
// store again (relay/target_follower.h).
//
// The store usually tells all routers of a change at once, so most questions
// asked without waiting would be needless. With the second between two signs of
// life (relay/peer_mesh.h), a router whose wait was swallowed learns of a
// change within 1.3 s and a round trip. The users' bound for a configuration,
// and for a target that leaves, is 2 s.

#ifndef QUAYTRACK_RELAY_OWN_WAIT_H_
#define QUAYTRACK_RELAY_OWN_WAIT_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

// Not measured; it was 200 ms until commit 288b6d2.
inline constexpr Duration kOwnWaitFirst = std::chrono::milliseconds(300);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_OWN_WAIT_H_
