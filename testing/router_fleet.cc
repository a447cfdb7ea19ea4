#include "testing/router_fleet.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "base/digest.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kModel[] = "thai-8b";

}  // namespace

RouterFleet::RouterFleet(RouterFleetSpec spec)
    : Fleet("fleet", spec.directory),
      spec_(std::move(spec)),
      ann_(MakeOperatorKeyPair()),
      ben_(MakeOperatorKeyPair()) {}

bool RouterFleet::StartStandins() {
  if (!SpawnStandin("kv", "kv", {})) return false;
  const std::string lag = std::to_string(spec_.vm_list_lag_ms);
  if (!SpawnStandin("vm-list", "vm_list", {"--lag-ms", lag})) return false;
  const auto with_proxy = [&](const std::string& name) {
    if (!spec_.proxy_targets) return true;
    return SpawnStandin(name + "-proxy", "fault_proxy",
                        {"--upstream", Process(name).address});
  };
  for (int n = 1; n <= spec_.engines; ++n) {
    const std::string name = "engine-" + std::to_string(n);
    const bool ok = SpawnStandin(
        name, "engine",
        {"--name", name, "--slots", std::to_string(spec_.engine_slots),
         "--step-ms", std::to_string(spec_.engine_step_ms), "--token-bytes",
         std::to_string(spec_.engine_token_bytes)});
    if (!ok || !with_proxy(name)) return false;
  }
  for (int n = 1; n <= spec_.services; ++n) {
    const std::string name = "forms-" + std::to_string(n);
    const bool ok = SpawnStandin(name, "service", {"--name", name});
    if (!ok || !with_proxy(name)) return false;
  }
  for (const auto& [name, it] : std::map(processes())) {
    if (it.kind != "engine" && it.kind != "service") continue;
    Control("vm-list",
            "watch?name=vm-" + name + "&pid=" + std::to_string(it.pid));
  }
  return true;
}

bool RouterFleet::StartRouter(int n) {
  const std::string vm = "vm-" + RouterName(n);
  const bool ok = SpawnRouter(
      n,
      {"router", "--vm=" + vm,
       "--hall=hall-" + std::to_string((n - 1) % spec_.halls + 1),
       "--listen=127.0.0.1:0", "--admin-listen=127.0.0.1:0",
       "--peer-listen=127.0.0.1:0",
       "--kv=" + (spec_.proxy_kv ? ProxyFor(n, "kv") : Process("kv").address),
       "--vm-list=" + Process("vm-list").address,
       "--operator-key=ann=" + ann_.public_key,
       "--operator-key=ben=" + ben_.public_key, "--balancer-ms=100"},
      spec_.router_flags);
  if (!ok) return false;
  Control("vm-list", "watch?name=" + vm +
                         "&pid=" + std::to_string(Process(RouterName(n)).pid));
  return true;
}

bool RouterFleet::Start() {
  if (!StartStandins()) return false;
  if (ApplyBundle(1) != 0) return false;
  for (int n = 1; n <= spec_.routers; ++n) {
    if (!StartRouter(n)) return false;
  }
  for (int n = 1; n <= spec_.routers; ++n) {
    if (!WaitFor([&] { return RouterReady(n, "/readyz"); })) return false;
  }
  return true;
}

nlohmann::json RouterFleet::List(std::vector<std::string> command) {
  command.insert(command.end(), {"--json", "--kv=" + Process("kv").address});
  std::string out;
  const int code = Command(command, &out);
  if (code != 0) {
    std::fprintf(stderr, "%s ended with %d: %s", command[0].c_str(), code,
                 out.c_str());
  }
  return nlohmann::json::parse(out, nullptr, false);
}

nlohmann::json RouterFleet::Bills() { return List({"bills"}); }

nlohmann::json RouterFleet::Budgets() { return List({"budget", "show"}); }

std::string RouterFleet::TargetAddress(const std::string& name) {
  return spec_.proxy_targets ? Process(name + "-proxy").address
                             : Process(name).address;
}

std::string RouterFleet::BundleText(int version, const std::string& more) {
  std::ostringstream out;
  out << "quaytrack-bundle format=1 version=" << version << "\n";
  for (const FleetCustomer& it : spec_.customers) {
    out << "budget " << it.name << " limit=" << it.budget_tokens << " "
        << it.budget_fields << "\n";
    out << "customer " << it.name << " budget=" << it.name
        << " key=sha256:" << Sha256Hex(it.key) << "\n";
  }
  out << "model " << kModel
      << " price-prompt=1 price-output=1 default-max-tokens=64\n";
  out << "service forms price=5 timeout=5s\n";
  out << "call forms method=POST path=/sign repeat=never\n";
  for (const auto& [name, it] : processes()) {
    const bool engine = it.kind == "engine";
    if (!engine && it.kind != "service") continue;
    const int hall = std::atoi(name.substr(name.rfind('-') + 1).c_str());
    out << "target " << name << " kind=" << it.kind
        << (engine ? std::string(" models=") + kModel : " service=forms")
        << " address=" << TargetAddress(name) << " hall=hall-"
        << (hall - 1) % spec_.halls + 1 << " vm=vm-" << name
        << " slots=" << spec_.engine_slots << "\n";
  }
  out << more;
  return out.str();
}

int RouterFleet::ApplyBundle(int version, const std::string& more) {
  const std::string file = directory() + "/site.bundle";
  std::ofstream(file) << BundleText(version, more);
  std::vector<std::string> apply = {"bundle", "apply", file, "--name=ann",
                                    "--kv=" + Process("kv").address};
  std::string output;
  for (const auto& [name, pair] : {std::pair("ann", ann_), {"ben", ben_}}) {
    const std::string key = directory() + "/" + name + ".key";
    const std::string signature = directory() + "/" + name + ".sig";
    std::ofstream(key) << pair.private_key << "\n";
    const int code =
        Command({"bundle", "sign", file, std::string("--name=") + name,
                 "--key=" + key, "--out=" + signature},
                &output);
    if (code != 0) {
      std::fprintf(stderr, "%s", output.c_str());
      return code;
    }
    apply.push_back("--signature=" + signature);
  }
  const int code = Command(apply, &output);
  if (code != 0) std::fprintf(stderr, "%s", output.c_str());
  return code;
}

std::string RouterFleet::ReadyJson() const {
  Json list = Json::array();
  for (const auto& [name, it] : processes()) {
    list.push_back({{"name", name},
                    {"kind", it.kind},
                    {"pid", it.pid},
                    {"address", it.address},
                    {"admin", it.admin}});
  }
  Json customers = Json::array();
  for (const FleetCustomer& it : spec_.customers) {
    customers.push_back({{"name", it.name},
                         {"key", it.key},
                         {"budget_tokens", it.budget_tokens}});
  }
  const Json service = {{"name", "forms"},
                        {"safe_path", "/svc/forms/read"},
                        {"unsafe_path", "/svc/forms/sign"}};
  return Json{{"processes", list},
              {"customers", customers},
              {"models", {kModel}},
              {"services", {service}},
              {"operators",
               {{{"name", "ann"}, {"key", ann_.private_key}},
                {{"name", "ben"}, {"key", ben_.private_key}}}}}
      .dump(2);
}

TestRequest RouterFleet::Chat(const std::string& key, const std::string& text,
                              int max_tokens, bool stream) {
  TestRequest out;
  out.method = "POST";
  out.path = "/v1/chat/completions";
  out.headers = {{"Authorization", "Bearer " + key},
                 {"Content-Type", "application/json"}};
  const Json message = {{"role", "user"}, {"content", text}};
  out.body = Json{{"model", kModel},
                  {"messages", {message}},
                  {"max_tokens", max_tokens},
                  {"stream", stream},
                  {"stream_options", {{"include_usage", true}}}}
                 .dump();
  return out;
}

TestRequest RouterFleet::Service(const std::string& key,
                                 const std::string& path,
                                 const std::string& body,
                                 const std::string& idempotency_key) {
  TestRequest out;
  out.method = "POST";
  out.path = "/svc/forms" + path;
  out.headers = {{"Authorization", "Bearer " + key},
                 {"Content-Type", "application/json"}};
  if (!idempotency_key.empty()) {
    out.headers.push_back({"Idempotency-Key", idempotency_key});
  }
  out.body = body;
  return out;
}

}  // namespace quaytrack
