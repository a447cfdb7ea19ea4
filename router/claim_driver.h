// Runs ClaimBook against the key-value service.

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
