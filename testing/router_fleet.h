// A fleet of `quaytrack router`: its key-value service, VM list, engines and
// services as stand-ins, and routers with a signed bundle in force.
//
//   RouterFleetSpec spec;
//   spec.routers = 3;
//   RouterFleet fleet(spec);
//   fleet.Start();                       // returns when every router is ready
//   fleet.Kill("router-2", SIGKILL);
//   fleet.Control("kv", "mode?mode=hang");
//
// Processes are named "kv", "vm-list", "engine-N", "forms-N" and "router-N";
// with proxies also "kv-proxy-N" and "engine-N-proxy". It owns the two
// operators' keys, and relies on testing/fleet.h for all that is done with
// processes.

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
  // Fields added to the budget's line, "cover=60s standing=8".
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
  // Where the processes' logs go; empty for a new folder under /tmp.
  std::string directory;
};

// One router before one engine whose tokens are so large that an answer of some
// hundred is far larger than what the sockets keep.
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

  // Starts everything; false if a process didn't come up.
  bool Start();
  bool StartRouter(int n);

  nlohmann::json Bills();
  nlohmann::json Budgets();

  // Text of the bundle, and putting it in force.
  std::string BundleText(int version, const std::string& more = "");
  int ApplyBundle(int version, const std::string& more = "");
  std::string ReadyJson() const;
  const RouterFleetSpec& spec() const { return spec_; }

  // A chat request of a customer, to a router.
  static TestRequest Chat(const std::string& key, const std::string& text,
                          int max_tokens, bool stream);
  static TestRequest Service(const std::string& key, const std::string& path,
                             const std::string& body,
                             const std::string& idempotency_key);

 private:
  // What a command lists as JSON; says why if it lists nothing.
  nlohmann::json List(std::vector<std::string> command);
  bool StartStandins();
  std::string TargetAddress(const std::string& name);

  RouterFleetSpec spec_;
  OperatorKeyPair ann_;
  OperatorKeyPair ben_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_ROUTER_FLEET_H_
