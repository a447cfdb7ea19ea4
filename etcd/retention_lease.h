// A lease that ends kept records (claims, billed markers) after the retention.
//
// One lease is shared by everything written in an hour, so leases don't add to
// the calls for each record. A record lives between `retention` and
// `retention` plus an hour.

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

  // The lease to attach; 0 (kept without end) until the first is granted.
  std::int64_t lease() const { return lease_; }

 private:
  void Renew();

  EtcdClient& kv_;
  const Clock& clock_;
  std::chrono::hours retention_;
  std::int64_t lease_ = 0;
  Instant granted_{};
  bool asking_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ETCD_RETENTION_LEASE_H_
