// What the balancer, operators and scrapers ask at the admin address:
//
//   GET /healthz   the process runs
//   GET /readyz    200 if this router takes new requests, else 503
//   GET /metrics   Prometheus text
//   GET /status    JSON: this router's budgets, targets and peers as it sees
//   them POST /drain    starts a planned stop
//
// It owns nothing: it reads the router's parts, which must outlive it, and asks
// the router whether it is ready, in which state it is, and to stop.

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
  struct Parts {
    const RouterSettings& settings;
    RouterContext& context;
    const EtcdClient& kv;
    const BundleDriver& bundles;
    const RequestTable& requests;
    // Made once the addresses are bound.
    const std::unique_ptr<Membership>& members;
    const std::unique_ptr<RecoveryDriver>& recovery;
  };
  struct Handlers {
    std::function<bool()> ready;
    std::function<std::string_view()> state;
    std::function<void()> drain;
  };

  AdminApi(const Parts& parts, Handlers handlers)
      : parts_(parts), handlers_(std::move(handlers)) {}

  void Handle(const std::shared_ptr<HttpExchange>& exchange);

 private:
  void UpdateGauges();
  std::string StatusJson() const;

  Parts parts_;
  Handlers handlers_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_ADMIN_API_H_
