// Runs ClaimBook (claim/claim.h) against the key-value service.
//
//   claims.book().Begin(now, key, digest, request, wall_ms);
//   claims.Kick();                  // events go to the handler, later
//
// It owns the book, and the timers that make a group of claims due. A write
// without an answer is told to the book as unknown, and is written again. A
// stored claim that can't be read counts as taken, so that its call never runs
// again. Relies on the loop, the service's client and the retention lease,
// which must outlive it.

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

  ClaimBook& book() { return book_; }
  const ClaimBook& book() const { return book_; }

  // Looks for something to do soon; call after using `book()`.
  void Kick();

 private:
  void Pump();
  void Perform(const ClaimCommit& commit);

  Loop& loop_;
  EtcdClient& kv_;
  const Clock& clock_;
  const RetentionLease& retention_;
  ClaimBook book_;
  EventHandler handler_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> group_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_CLAIM_DRIVER_H_
