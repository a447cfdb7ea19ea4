// HoldTimeouts defines how long a request waits for tokens of its customer's
// budget. No other file defines these times.
//
// The wait depends on when the request began to wait, whether this router keeps
// a grant of the budget (fleet/fleet.h), and whether the store is reachable.
//
// A router that keeps a grant, if the grant is too small (relay/hold_queue.h):
//   at once                 requests a larger grant from the store
//   after `ask_half_after`  asks its peers for half of what each doesn't use;
//                           at once if the store is known to be unreachable
//   after `ask_all_after`   asks its peers for all of what they don't use
//   after `give_up_after`   refuses the request with 503 and a Retry-After. If
//                           the router has left the budgets, or a later process
//                           of its VM has replaced it, it refuses at the next
//                           check: no more tokens will arrive, and a caller
//                           that learns it 150 ms sooner may be served
//                           elsewhere.
//
// A router that keeps none (relay/remote_holds.h):
//   at once                 asks the first holder
//   after `holder_timeout`  asks the next holder; at once if the link to the
//                           holder breaks or the holder refers the router to
//                           another one
//   when none is left       refuses the request with 503 and a Retry-After,
//                           also if the next holder would be asked later than
//                           `ask_holders_until`
//
// Each holder has the full `holder_timeout`, since it may let the hold wait for
// `give_up_after`. So the wait ends after 400 ms if two holders are silent, and
// after 500 ms at the latest. A holder's refusal ends the wait, as the holder
// has asked its own peers by then; no second holder is asked. Without any
// linked holder the request is refused at the next check.
//
// Either router refuses immediately what would wait in vain. One without a
// grant does so while no holder answers in time (relay/holder_answers.h). One
// with a grant does so for `declined_for` after a request has waited its full
// time while the store was unreachable and peers gave nothing
// (relay/hold_queue.h). Both keep probing meanwhile.
//
// Before this router has read the list of routers, which names the holders, a
// request waits for the list up to `give_up_after`.
//
// A request that the budget can never hold is refused at once, with 402. The
// request's own deadline ends either wait earlier (RelayedRequest::OnDeadline),
// and so does a caller that leaves.
//
// Reason: the store answers within some milliseconds, so peers are asked only
// when the store is slow or unreachable. They are asked for half first, since a
// peer may soon need what it gives away. A refusal shortly after that leaves
// the caller the rest of its time to retry, at this router or another.
//
// Units: milliseconds. Waits are checked every `check_every`, so each may last
// that much longer.

#ifndef QUAYTRACK_RELAY_HOLD_PATIENCE_H_
#define QUAYTRACK_RELAY_HOLD_PATIENCE_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

struct HoldTimeouts {
  Duration check_every = std::chrono::milliseconds(10);
  Duration ask_half_after = std::chrono::milliseconds(25);
  Duration ask_all_after = std::chrono::milliseconds(70);
  Duration give_up_after = std::chrono::milliseconds(160);
  // Peers that gave nothing by then have nothing to give. Nearly all the time
  // between `ask_all_after` and `give_up_after`, as a peer with few cores may
  // be stopped for some of it.
  Duration peers_answer_within = std::chrono::milliseconds(80);
  // Longer than `give_up_after`, so that the next request that waits in vain
  // renews what the last one has shown.
  Duration declined_for = std::chrono::milliseconds(250);
  // Longer than `give_up_after`, since the holder may itself wait that long.
  Duration holder_timeout = std::chrono::milliseconds(200);
  // Long enough to ask two silent holders one after the other, but not a third.
  Duration ask_holders_until = std::chrono::milliseconds(300);
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_PATIENCE_H_
