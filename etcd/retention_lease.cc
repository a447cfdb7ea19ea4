#include "etcd/retention_lease.h"

namespace quaytrack {
namespace {

constexpr Duration kCheckInterval = std::chrono::seconds(2);
constexpr Duration kRenewInterval = std::chrono::hours(1);

}  // namespace

RetentionLease::RetentionLease(Loop& loop, EtcdClient& kv, const Clock& clock,
                               std::chrono::hours retention)
    : kv_(kv),
      clock_(clock),
      retention_(retention),
      timer_(loop.Every(kCheckInterval, [this] { Renew(); })) {
  Renew();
}

void RetentionLease::Renew() {
  const bool recent =
      lease_ != 0 && clock_.Now() - granted_at_ < kRenewInterval;
  if (recent || grant_pending_) return;
  grant_pending_ = true;
  const std::chrono::seconds ttl = retention_ + std::chrono::hours(1);
  kv_.GrantLease(ttl.count(), [this](const EtcdLeaseReply& it) {
    grant_pending_ = false;
    if (it.end != EtcdEnd::kOk || it.lease == 0) return;
    lease_ = it.lease;
    granted_at_ = clock_.Now();
  });
}

}  // namespace quaytrack
