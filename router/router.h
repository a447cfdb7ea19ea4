// The process of `quaytrack router`: creates and connects its components.
//
//   Router router(loop, clock, settings, charts);
//   if (!router.Listen()) return kExitRefused;
//   loop.Run();                      // until a planned stop is over
//   return router.exit_code();
//
// Router owns the components, the wait queues and the target addresses, passes
// events between the components, and follows chart/charts/drain.json in a
// planned stop. A router that has been declared dead stops as well, with exit
// code 75. It relies on the key-value service for all state that routers share;
// while the service is unreachable it continues with the grants it has.

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

  // Binds the addresses; logs an error and returns false if one fails.
  bool Listen();

  // Starts a planned stop; `Loop::Run` returns when it is over.
  void Drain();

  // 0 after a planned stop, 75 if the router was fenced.
  int exit_code() const { return exit_code_; }

 private:
  RouterContext MakeContext(const ForwardChart& chart);
  PeerDriver::Handlers PeerHandlers();
  void JoinFleet();
  void OnLedgerEvent(const LedgerEvent& event);
  void OnClaimEvent(const ClaimEvent& event);
  void OnBundleAccepted();
  void OnMembersChanged();
  void UpdateTargets(const Bundle& bundle);
  void UpdateLeaving();
  void PumpQueue(const GroupName& group);
  void PumpLater(const GroupName& group);
  void Tick();
  bool Ready() const;

  void ApplyDrain(DrainEvent event);
  void EndRemainingRequests();
  void CheckDrain();

  Loop& loop_;
  const Clock& clock_;
  RouterSettings settings_;
  Incarnation self_;
  HttpClient http_;
  EtcdClient kv_;
  RetentionLease retention_;
  Metrics metrics_;
  TargetTable targets_;
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
  CallerApi caller_api_;
  AdminApi admin_api_;
  HttpServer caller_server_;
  HttpServer admin_server_;
  ChartMachine<DrainState, DrainEvent, DrainAction> drain_;
  std::set<GroupName> pump_due_;
  std::unique_ptr<Timer> tick_;
  std::unique_ptr<Timer> drain_timer_;
  std::unique_ptr<Timer> end_requests_timer_;
  std::unique_ptr<Timer> exit_timer_;
  bool announced_ready_ = false;
  int exit_code_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_ROUTER_H_
