// RouterFleet runs routers (`quaytrack router`) with a signed bundle in force,
// and stand-ins for the key-value service, the VM list, engines and services.
//
//   RouterFleetSpec spec;
//   spec.routers = 3;
//   RouterFleet fleet(spec);
//   fleet.Start();                       // returns when every router is ready
//   fleet.Kill("router-2", SIGKILL);
//   fleet.Control("kv", "mode?mode=hang");
//
// Processes are named "kv", "vm-list", "engine-N", "forms-N" and "router-N";
// with proxies also "kv-proxy-N" and "engine-N-proxy". RouterFleet owns the
// keys of two operators, and relies on testing/fleet.h to run processes.

#ifndef QUAYTRACK_TESTING_ROUTER_FLEET_H_
#define QUAYTRACK_TESTING_ROUTER_FLEET_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bundle/signing.h"
#include "testing/fleet.h"

namespace quaytrack {

struct FleetCustomer {
  std::string name;
  std::string key;
  long long budget_tokens = 0;
  // Fields added to the budget's line, such as "cover=60s standing=8".
  std::string budget_fields;
};

struct RouterFleetSpec {
  int routers = 3;
  int engines = 3;
  int services = 2;
  int halls = 3;
  int engine_slots = 16;
  int engine_step_ms = 10;
  int engine_token_bytes = 0;
  int vm_list_lag_ms = 300;
  // Puts a fault proxy between each router and the key-value service.
  bool proxy_kv = false;
  // Puts a fault proxy before each target.
  bool proxy_targets = false;
  std::vector<FleetCustomer> customers = {
      {"lakhon", "key-lakhon", 2000000, "cover=120s standing=8"},
      {"zellij", "key-zellij", 1000000, "cover=20s standing=16"},
      {"tiny", "key-tiny", 100, "cover=20s standing=4"},
  };
  std::vector<std::string> router_flags;
  // The folder for the processes' logs; if empty, a new one under /tmp.
  std::string directory;
};

// One router and one engine with tokens so large that an answer of some hundred
// tokens is far larger than the socket buffers.
inline RouterFleetSpec LargeTokensSpec(int token_bytes) {
  RouterFleetSpec out;
  out.routers = 1;
  out.engines = 1;
  out.services = 1;
  out.engine_step_ms = 1;
  out.engine_token_bytes = token_bytes;
  return out;
}

class RouterFleet : public Fleet {
 public:
  explicit RouterFleet(RouterFleetSpec spec);

  // Starts all processes; false if one didn't become ready.
  bool Start();
  bool StartRouter(int n);

  nlohmann::json Bills();
  nlohmann::json Budgets();

  // The text of the bundle with `more` lines at its end. `ApplyBundle` signs
  // and applies it, and returns the command's exit code.
  std::string BundleText(int version, const std::string& more = "");
  int ApplyBundle(int version, const std::string& more = "");
  std::string ReadyJson() const;
  const RouterFleetSpec& spec() const { return spec_; }

  // A customer's chat request.
  static TestRequest Chat(const std::string& key, const std::string& text,
                          int max_tokens, bool stream);
  static TestRequest Service(const std::string& key, const std::string& path,
                             const std::string& body,
                             const std::string& idempotency_key);

 private:
  // The JSON output of a command; prints an error if the command fails.
  nlohmann::json List(std::vector<std::string> command);
  bool StartStandins();
  std::string TargetAddress(const std::string& name);

  RouterFleetSpec spec_;
  OperatorKeyPair ann_;
  OperatorKeyPair ben_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_ROUTER_FLEET_H_
