// The HTTP API at the admin address, for the balancer, operators and scrapers:
//
//   GET /healthz   the process runs
//   GET /readyz    200 if this router accepts new requests, else 503
//   GET /metrics   metrics in Prometheus text format
//   GET /status    JSON: budgets, targets and peers as this router sees them
//   POST /drain    starts a planned stop
//
// AdminApi owns no state: it reads the router's components, which must outlive
// it, and calls the handlers for readiness, drain state and a planned stop.

#ifndef QUAYTRACK_ROUTER_ADMIN_API_H_
#define QUAYTRACK_ROUTER_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "evhttp/http_server.h"
#include "router/bundle_driver.h"
#include "router/context.h"
#include "router/membership.h"
#include "router/recovery_driver.h"
#include "router/request_table.h"
#include "router/settings.h"

namespace quaytrack {

class AdminApi {
 public:
  struct Components {
    const RouterSettings& settings;
    RouterContext& context;
    const EtcdClient& kv;
    const BundleDriver& bundles;
    const RequestTable& requests;
    // `members` and `recovery` are created once the addresses are bound.
    const std::unique_ptr<Membership>& members;
    const std::unique_ptr<RecoveryDriver>& recovery;
  };
  struct Handlers {
    std::function<bool()> ready;
    std::function<std::string_view()> state;
    std::function<void()> drain;
  };

  AdminApi(const Components& components, Handlers handlers)
      : components_(components), handlers_(std::move(handlers)) {}

  void Handle(const std::shared_ptr<HttpExchange>& exchange);

 private:
  void UpdateGauges();
  std::string StatusJson() const;

  Components components_;
  Handlers handlers_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_ADMIN_API_H_
