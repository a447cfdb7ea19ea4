// Runs the cycle of LedgerSync (ledger/sync.h) against the key-value service.
//
//   ledger.sync().Hold(now, request, budget, amount);
//   ledger.Kick();                  // events reach the handler later
//
// LedgerDriver owns the LedgerSync, the timer that drives it, and a watch on
// the `need` keys, by which other routers request that a record is read. A call
// without a reply is reported as unknown. When the watch breaks, a new one is
// started and all records are read, as changes may have been missed. Loss and
// recovery of the service are logged. LedgerDriver relies on the loop, the
// service's client and the retention lease, which must outlive it.

#ifndef QUAYTRACK_ROUTER_LEDGER_DRIVER_H_
#define QUAYTRACK_ROUTER_LEDGER_DRIVER_H_

#include <functional>
#include <memory>

#include "base/clock.h"
#include "etcd/etcd_client.h"
#include "etcd/retention_lease.h"
#include "ledger/sync.h"
#include "net/loop.h"

namespace quaytrack {

class LedgerDriver {
 public:
  using EventHandler = std::function<void(const LedgerEvent&)>;

  LedgerDriver(Loop& loop, EtcdClient& kv, const Clock& clock,
               const RetentionLease& retention, Incarnation self,
               LedgerSyncOptions options, EventHandler handler);

  LedgerSync& sync() { return sync_; }
  const LedgerSync& sync() const { return sync_; }

  // Schedules the next step of the cycle; call after using `sync()`.
  void Kick();

 private:
  void Pump();
  void Perform(const LedgerAction& action);
  void Read(const ReadShards& read);
  void Commit(const LedgerCommit& commit);
  void StartWatch();
  void OnWatchEvents(const std::vector<EtcdWatchEvent>& events);
  void ReportReachability();

  Loop& loop_;
  EtcdClient& kv_;
  const Clock& clock_;
  const RetentionLease& retention_;
  Incarnation self_;
  LedgerSync sync_;
  EventHandler handler_;
  std::unique_ptr<EtcdClient::Watch> watch_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> watch_retry_;
  bool kicked_ = false;
  bool was_reachable_ = false;
  // Newest revision seen; a new watch starts after it.
  std::int64_t revision_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_LEDGER_DRIVER_H_
