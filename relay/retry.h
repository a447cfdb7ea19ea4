// Decides whether a request is sent again, to another target. The complete
// rule:
//
//   1. `MaySendAgain`, from what is known about the request alone:
//      - its caller is still connected, and enough of its time is left;
//      - it has not been sent too often;
//      - it isn't known to crash targets, and wouldn't be after one more
//        crash, if it may have crashed this target (relay/crash_watch.h);
//      - it isn't a stream whose version is unknown;
//      - if the attempt may have run, its route allows repetition, and allows
//        another target.
//   2. A target that wasn't tried is available (`Placement::Choose`), or may
//      be once it is known whether this router's own links are lost.
//   3. The service's retries are within their share (dispatch/retry_share.h).
//      An attempt that sent nothing put no load on a target, so the next one
//      is no retry in this sense.
//
// Condition 1 is checked first as it is free, and 3 last as it counts the
// retry. A target that turned the request away, or never received it, has not
// run it, so the route's `max_attempts` doesn't prevent another send. That send
// still counts towards `max_attempts` once an attempt may have run. Every send
// counts for 3, which bounds the load on the service's targets. An attempt that
// sent nothing is no send (`CountsAsSend`) while this router's own links may be
// lost: once they are known to be, a peer carries the request.
//
//   shares.OnRequest(now, service);                       // once a request
//   if (shares.TakeRetry(now, facts, placement, request)) // after an attempt
//
// RetryShares owns one RetryShare a service. Durations are std::chrono's; the
// clock is passed in. There are no errors.

#ifndef QUAYTRACK_RELAY_RETRY_H_
#define QUAYTRACK_RELAY_RETRY_H_

#include <cstddef>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/placement.h"
#include "dispatch/retry_share.h"
#include "relay/ran.h"

namespace quaytrack {

// A request with less time than this until its deadline is not sent, as no
// answer would arrive in time.
inline constexpr Duration kMinTimeToSend = std::chrono::milliseconds(30);

// Sends of one request, including those that a target turned away.
inline constexpr int kMaxSends = 3;

struct RetryFacts {
  // Whether the attempt that has ended may have run the request.
  Ran ran = Ran::kUnknown;
  // Whether something of that attempt was sent.
  bool was_sent = true;
  // Whether this router's own links to the service are lost or being probed,
  // and the attempt used them.
  bool links_in_doubt = false;
  bool caller_gone = false;
  // A probe round is about to tell whether the targets or the links are lost;
  // until then it isn't known which targets are available.
  bool awaits_probes = false;
  // The request is known to crash targets, or may have crashed the target of
  // this attempt and would be after one more crash.
  bool crashes_targets = false;
  // Another target may do the rest; not of a stream whose version is unknown.
  bool may_go_on = true;
  // Time until the deadline.
  Duration left{};
  // Number of sends, including this attempt.
  int sends = 0;
  // The route's `RouteRule::Repeatable` and `RouteRule::max_attempts`.
  bool repeatable = false;
  int max_attempts = 1;
};

bool MaySendAgain(const RetryFacts& facts);

// Whether the attempt counts for `RetryFacts::sends`.
inline bool CountsAsSend(const RetryFacts& facts) {
  return facts.was_sent || !facts.links_in_doubt;
}

// This router's share of the retries of each service (dispatch/retry_share.h).
class RetryShares {
 public:
  explicit RetryShares(const RetryShareOptions& options) : options_(options) {}

  // Sets the number of routers that share the retries of a service; 0 while
  // this is unknown.
  void SetRouters(std::size_t routers) { routers_ = routers; }
  // Sets whether an earlier process on this VM may have used the slack.
  void SetHasPredecessor(bool has_predecessor) {
    has_predecessor_ = has_predecessor;
  }

  // Called when a request for the service was admitted.
  void OnRequest(Instant now, const ServiceName& service) {
    ShareOf(service).OnRequest(now);
  }

  // Applies the rule above, and counts the retry if it is allowed.
  bool TakeRetry(Instant now, const RetryFacts& facts,
                 const Placement& placement, const PlacementRequest& request);

 private:
  RetryShare& ShareOf(const ServiceName& service);

  RetryShareOptions options_;
  std::size_t routers_ = 0;
  bool has_predecessor_ = true;
  // Each entry is created on first use.
  std::map<ServiceName, RetryShare> shares_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RETRY_H_
