// HoldPatience: how long a request waits for tokens of its customer's budget.
// This is the only place that says so.
//
// Inputs: when the request began to wait, whether this router keeps a grant of
// the budget (fleet/fleet.h), and whether the store answers.
//
// A router that keeps a grant, if the grant is too small (relay/hold_queue.h):
//   at once                 asks the store for a larger grant
//   after `ask_some_after`  asks its peers for half of what each doesn't use;
//                           at once if the store is known to be away
//   after `ask_all_after`   asks its peers for all of it
//   after `give_up_after`   refuses the request with 503 and a Retry-After. At
//                           the next tick if a later process of its VM has
//                           replaced it or it has left the budgets: no tokens
//                           come any more, and a caller that learns it 150 ms
//                           sooner may be served elsewhere
//
// A router that keeps none (relay/remote_holds.h):
//   at once                 asks the first holder
//   after `holder_answer`   asks the next holder; at once if the link to the
//                           holder breaks or the holder sends the asker on
//   when none is left       refuses the request with 503 and a Retry-After; so
//                           it does after `ask_holders_until`, when it asks no
//                           further one
// Each holder that is asked has the whole of `holder_answer`, since it may let
// the ask wait for `give_up_after`. So the wait ends after 400 ms if two
// holders are silent, and after 500 at the latest. A holder's own refusal ends
// it, as the holder has asked its peers by then; no second holder is asked.
// Without any linked holder the request is refused at the next tick.
//
// Before this router has read the list of routers, which says whom to ask, a
// request waits for it up to `give_up_after`.
//
// A request that the budget can't ever hold is refused at once, with 402. The
// request's own deadline ends either wait earlier (RelayedRequest::OnDeadline),
// and so does a caller that leaves.
//
// Reason: the store's answer takes some milliseconds, so that peers are asked
// only when it is slow or away, and then gently first, since what one router
// takes another may need next. A refusal soon after that leaves the caller the
// rest of its own time to come back, here or at another router.
//
// Units: milliseconds. Waits are looked at every `check_every`, so each ends up
// to that much late.

#ifndef QUAYTRACK_RELAY_HOLD_PATIENCE_H_
#define QUAYTRACK_RELAY_HOLD_PATIENCE_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

struct HoldPatience {
  // The first four are of commit df506c1, the next two of e7705ae. None of them
  // was measured against another value.
  Duration check_every = std::chrono::milliseconds(10);
  Duration ask_some_after = std::chrono::milliseconds(25);
  Duration ask_all_after = std::chrono::milliseconds(70);
  Duration give_up_after = std::chrono::milliseconds(160);
  // Longer than `give_up_after`, since the holder may itself wait that long.
  Duration holder_answer = std::chrono::milliseconds(200);
  // Lets two silent holders be asked one after the other, and no third.
  Duration ask_holders_until = std::chrono::milliseconds(300);
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLD_PATIENCE_H_
