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
    exchange->Reply(
        {200, "text/plain; version=0.0.4", {}, parts_.context.metrics.Text()});
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
  RouterContext& context = parts_.context;
  const auto set = [&](const char* name, auto value) {
    context.metrics.SetGauge(name, static_cast<double>(value));
  };
  std::size_t queued = 0;
  for (const auto& [group, queue] : context.queues) queued += queue.size();
  set("requests", parts_.requests.size());
  set("queued", queued);
  set("unwritten_bills", context.ledger.sync().UnwrittenBills());
  set("unstored_claims", context.claims.book().Unstored());
  set("kv_calls", parts_.kv.calls());
  set("stranded_tokens", parts_.recovery->Stranded());
  set("bundle_version", parts_.bundles.keeper().version());
}

std::string AdminApi::StatusJson() const {
  const RouterContext& context = parts_.context;
  const LedgerSync& ledger = context.ledger.sync();
  const TargetBook& book = context.targets;
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
  for (TargetIndex n = 0; n < book.size(); ++n) {
    targets.push_back({{"target", book.Spec(n).name.value},
                       {"in_flight", book.InFlight(n)},
                       {"limit", book.LimitOf(n)},
                       {"breaker", NameOf(book.BreakerOf(n))},
                       {"leaving", book.Leaving(n)}});
  }
  Json routers = Json::array();
  for (const auto& [name, it] : parts_.members->registry().entries()) {
    routers.push_back({{"incarnation", name.value},
                       {"hall", it.hall.value},
                       {"bundle_version", it.bundle_version}});
  }
  const Json out = {{"incarnation", context.self.value},
                    {"hall", parts_.settings.hall},
                    {"state", handlers_.state()},
                    {"ready", handlers_.ready()},
                    {"bundle_version", parts_.bundles.keeper().version()},
                    {"kv_reachable", ledger.KvReachable()},
                    {"requests", parts_.requests.size()},
                    {"unwritten_bills", ledger.UnwrittenBills()},
                    {"unstored_claims", context.claims.book().Unstored()},
                    {"kv_calls", parts_.kv.calls()},
                    {"witness", ledger.recorded_witness().value},
                    {"witness_for", context.peers.store().owners()},
                    {"stranded_tokens", parts_.recovery->Stranded()},
                    {"budgets", budgets},
                    {"targets", targets},
                    {"routers", routers}};
  return out.dump(2) + "\n";
}

}  // namespace quaytrack
