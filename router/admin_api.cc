#include "router/admin_api.h"

#include <nlohmann/json.hpp>

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

}  // namespace

void AdminApi::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string path = exchange->path();
  if (path == "/healthz") {
    exchange->Reply({200, "text/plain", {}, "ok\n"});
  } else if (path == "/readyz") {
    const bool ready = handlers_.ready();
    exchange->Reply({ready ? 200 : 503,
                     "text/plain",
                     {},
                     ready ? "ready\n" : "not ready\n"});
  } else if (path == "/metrics") {
    UpdateGauges();
    exchange->Reply({200,
                     "text/plain; version=0.0.4",
                     {},
                     components_.context.metrics.Text()});
  } else if (path == "/status") {
    exchange->Reply({200, "application/json", {}, StatusJson()});
  } else if (path == "/drain" && exchange->method() == "POST") {
    exchange->Reply({202, "text/plain", {}, "draining\n"});
    handlers_.drain();
  } else {
    exchange->Reply({404, "text/plain", {}, "nothing here\n"});
  }
}

void AdminApi::UpdateGauges() {
  RouterContext& context = components_.context;
  const auto set = [&](const char* name, auto value) {
    context.metrics.SetGauge(name, static_cast<double>(value));
  };
  std::size_t queued = 0;
  for (const auto& [group, queue] : context.queues) queued += queue.size();
  set("requests", components_.requests.size());
  set("queued", queued);
  set("unwritten_bills", context.ledger.sync().UnwrittenBills());
  set("unstored_claims", context.claims.tracker().Unstored());
  set("kv_calls", components_.kv.calls());
  set("stranded_tokens", components_.recovery->Stranded());
  set("bundle_version", components_.bundles.keeper().version());
}

std::string AdminApi::StatusJson() const {
  const RouterContext& context = components_.context;
  const LedgerSync& ledger = context.ledger.sync();
  const TargetTable& target_table = context.targets;
  Json budgets = Json::array();
  for (const auto& [name, it] : ledger.accounts()) {
    budgets.push_back({{"budget", name.value},
                       {"granted", it.granted()},
                       {"available", it.Available()},
                       {"held", it.HeldTotal()},
                       {"unwritten", it.unwritten()},
                       {"waiting", it.waiting().size()}});
  }
  Json targets = Json::array();
  for (TargetIndex n = 0; n < target_table.size(); ++n) {
    targets.push_back({{"target", target_table.Spec(n).name.value},
                       {"in_flight", target_table.InFlight(n)},
                       {"limit", target_table.LimitOf(n)},
                       {"breaker", NameOf(target_table.BreakerOf(n))},
                       {"leaving", target_table.Leaving(n)}});
  }
  Json routers = Json::array();
  for (const auto& [name, it] : components_.members->registry().entries()) {
    routers.push_back({{"incarnation", name.value},
                       {"hall", it.hall.value},
                       {"bundle_version", it.bundle_version}});
  }
  const Json out = {{"incarnation", context.self.value},
                    {"hall", components_.settings.hall},
                    {"state", handlers_.state()},
                    {"ready", handlers_.ready()},
                    {"bundle_version", components_.bundles.keeper().version()},
                    {"kv_reachable", ledger.KvReachable()},
                    {"requests", components_.requests.size()},
                    {"unwritten_bills", ledger.UnwrittenBills()},
                    {"unstored_claims", context.claims.tracker().Unstored()},
                    {"kv_calls", components_.kv.calls()},
                    {"witness", ledger.recorded_witness().value},
                    {"witness_for", context.peers.store().owners()},
                    {"stranded_tokens", components_.recovery->Stranded()},
                    {"budgets", budgets},
                    {"targets", targets},
                    {"routers", routers}};
  return out.dump(2) + "\n";
}

}  // namespace quaytrack
