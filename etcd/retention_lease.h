// A lease that deletes stored records (claims, billed markers) after the
// retention time.
//
// All records written within an hour share one lease, so that no record needs a
// lease call of its own. A record lives between `retention` and `retention`
// plus an hour. RetentionLease relies on the loop, the service's client and the
// clock, which must outlive it.

#ifndef QUAYTRACK_ETCD_RETENTION_LEASE_H_
#define QUAYTRACK_ETCD_RETENTION_LEASE_H_

#include <cstdint>
#include <memory>

#include "base/clock.h"
#include "etcd/etcd_client.h"
#include "net/loop.h"

namespace quaytrack {

class RetentionLease {
 public:
  RetentionLease(Loop& loop, EtcdClient& kv, const Clock& clock,
                 std::chrono::hours retention);

  // The lease to attach to a record; 0 (the record never expires) until the
  // first lease is granted.
  std::int64_t lease() const { return lease_; }

 private:
  void Renew();

  EtcdClient& kv_;
  const Clock& clock_;
  std::chrono::hours retention_;
  std::int64_t lease_ = 0;
  Instant granted_at_{};
  bool grant_pending_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ETCD_RETENTION_LEASE_H_
