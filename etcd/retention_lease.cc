#include "etcd/retention_lease.h"

namespace quaytrack {
namespace {

constexpr Duration kCheckEvery = std::chrono::seconds(2);
constexpr Duration kRenewAfter = std::chrono::hours(1);

}  // namespace

RetentionLease::RetentionLease(Loop& loop, EtcdClient& kv, const Clock& clock,
                               std::chrono::hours retention)
    : kv_(kv),
      clock_(clock),
      retention_(retention),
      timer_(loop.Every(kCheckEvery, [this] { Renew(); })) {
  Renew();
}

void RetentionLease::Renew() {
  const bool fresh = lease_ != 0 && clock_.Now() - granted_ < kRenewAfter;
  if (fresh || asking_) return;
  asking_ = true;
  const std::chrono::seconds ttl = retention_ + std::chrono::hours(1);
  kv_.GrantLease(ttl.count(), [this](const EtcdLeaseReply& it) {
    asking_ = false;
    if (it.end != EtcdEnd::kOk || it.lease == 0) return;
    lease_ = it.lease;
    granted_ = clock_.Now();
  });
}

}  // namespace quaytrack
