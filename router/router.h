// The process of `quaytrack router`: its parts, wired together.
//
//   Router router(loop, clock, settings, charts);
//   if (!router.Listen()) return kExitRefused;
//   loop.Run();                      // until a planned stop is over
//   return router.exit_code();
//
// It owns the parts, the queues and the addresses of targets, passes events
// between them, and follows chart/charts/drain.json through a planned stop. A
// router that has been declared dead stops as well; its exit code is then 75.
// It relies on the key-value service for everything that routers share, and
// goes on without it on the grants that it has.

#ifndef QUAYTRACK_ROUTER_ROUTER_H_
#define QUAYTRACK_ROUTER_ROUTER_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "etcd/etcd_client.h"
#include "etcd/retention_lease.h"
#include "evhttp/http_client.h"
#include "evhttp/http_server.h"
#include "net/loop.h"
#include "router/admin_api.h"
#include "router/bill_gate.h"
#include "router/bundle_driver.h"
#include "router/caller_api.h"
#include "router/claim_driver.h"
#include "router/context.h"
#include "router/ledger_driver.h"
#include "router/load_poller.h"
#include "router/membership.h"
#include "router/metrics.h"
#include "router/peer_driver.h"
#include "router/recovery_driver.h"
#include "router/request_table.h"
#include "router/settings.h"

namespace quaytrack {

class Router {
 public:
  // The charts must outlive the router.
  Router(Loop& loop, const Clock& clock, RouterSettings settings,
         const RouterCharts& charts);

  // Binds the addresses; false, with a message printed, if one is taken.
  bool Listen();

  // Starts a planned stop; `Loop::Run` returns when it is over.
  void Drain();

  // 0 after a planned stop, otherwise why the router gave up.
  int exit_code() const { return exit_code_; }

 private:
  RouterContext MakeContext(const ForwardChart& chart);
  PeerDriver::Handlers PeerHandlers();
  void JoinFleet();
  void OnLedgerEvent(const LedgerEvent& event);
  void OnClaimEvent(const ClaimEvent& event);
  void OnBundleTaken();
  void OnMembersChanged();
  void UpdateTargets(const Bundle& bundle);
  void UpdateLeaving();
  void PumpQueue(const GroupName& group);
  void PumpLater(const GroupName& group);
  void Tick();
  bool Ready() const;

  void ApplyDrain(DrainEvent event);
  void CutRequests();
  void CheckDrain();

  Loop& loop_;
  const Clock& clock_;
  RouterSettings settings_;
  Incarnation self_;
  HttpClient http_;
  EtcdClient kv_;
  RetentionLease retention_;
  Metrics metrics_;
  TargetBook targets_;
  RetryBudget retries_;
  std::map<GroupName, WaitQueue> queues_;
  std::map<TargetName, std::string> addresses_;
  BillGate gate_;
  LedgerDriver ledger_;
  ClaimDriver claims_;
  BundleDriver bundles_;
  PeerDriver peers_;
  std::unique_ptr<Membership> members_;
  std::unique_ptr<RecoveryDriver> recovery_;
  LoadPoller loads_;
  RequestTable requests_;
  RouterContext context_;
  CallerApi callers_;
  AdminApi admin_;
  HttpServer caller_server_;
  HttpServer admin_server_;
  ChartMachine<DrainState, DrainEvent, DrainAction> drain_;
  std::set<GroupName> pump_due_;
  std::unique_ptr<Timer> tick_;
  std::unique_ptr<Timer> drain_timer_;
  std::unique_ptr<Timer> cut_timer_;
  std::unique_ptr<Timer> exit_timer_;
  bool announced_ready_ = false;
  int exit_code_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_ROUTER_H_
