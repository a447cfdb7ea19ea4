// Runs ClaimTracker (claim/claim.h) against the key-value service.
//
//   claims.tracker().Begin(now, key, digest, request, wall_ms);
//   claims.Kick();                  // events reach the handler later
//
// ClaimDriver owns the ClaimTracker and the timers that start the writes. A
// write without a reply is reported to the ClaimTracker as unknown and is
// repeated. A stored claim that can't be decoded is read as one with an unknown
// outcome, so that its call never runs again. ClaimDriver relies on the loop,
// the service's client and the retention lease, which must outlive it.

#ifndef QUAYTRACK_ROUTER_CLAIM_DRIVER_H_
#define QUAYTRACK_ROUTER_CLAIM_DRIVER_H_

#include <functional>
#include <memory>

#include "base/clock.h"
#include "claim/claim.h"
#include "etcd/etcd_client.h"
#include "etcd/retention_lease.h"
#include "net/loop.h"

namespace quaytrack {

class ClaimDriver {
 public:
  using EventHandler = std::function<void(const ClaimEvent&)>;

  ClaimDriver(Loop& loop, EtcdClient& kv, const Clock& clock,
              const RetentionLease& retention, const Incarnation& self,
              const ClaimChart& chart, EventHandler handler);

  ClaimTracker& tracker() { return tracker_; }
  const ClaimTracker& tracker() const { return tracker_; }

  // Schedules a write of pending claims; call after using `tracker()`.
  void Kick();

 private:
  void Pump();
  void Perform(const ClaimCommit& commit);

  Loop& loop_;
  EtcdClient& kv_;
  const Clock& clock_;
  const RetentionLease& retention_;
  ClaimTracker tracker_;
  EventHandler handler_;
  std::unique_ptr<Timer> tick_timer_;
  std::unique_ptr<Timer> group_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_CLAIM_DRIVER_H_
