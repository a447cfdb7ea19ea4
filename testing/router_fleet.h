// Starts a whole fleet as separate processes on loopback, for process tests,
// the demo and tools/fleet.
//
//   FleetSpec spec;
//   spec.routers = 3;
//   Fleet fleet(spec);
//   fleet.Start();                       // returns when every router is ready
//   fleet.Kill("router-2", SIGKILL);
//   fleet.Control("kv", "mode?mode=hang");
//
// All ports are free ones picked by the processes themselves. Nothing here
// waits for a time; `WaitFor` waits for a condition, with a limit far beyond
// any honest delay.

#ifndef QUAYTRACK_TESTING_ROUTER_FLEET_H_
#define QUAYTRACK_TESTING_ROUTER_FLEET_H_

#include <sys/types.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bundle/signing.h"
#include "evhttp/http_client.h"
#include "net/loop.h"

namespace quaytrack {

struct FleetCustomer {
  std::string name;
  std::string key;
  long long budget_tokens = 0;
  // Fields added to the budget's line, "cover=60s standing=8".
  std::string budget_fields;
};

struct FleetSpec {
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

struct FleetProcess {
  std::string name;
  std::string kind;
  pid_t pid = 0;
  std::string address;
  std::string admin;
  std::vector<std::string> arguments;
  // Exit status once it has been reaped.
  int status = 0;
  bool alive = false;
};

struct TestReply {
  HttpEnd end = HttpEnd::kBroken;
  int status = 0;
  std::string body;
  nlohmann::json Json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
};

struct TestRequest {
  std::string method = "GET";
  std::string path = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(30);
};

class Fleet {
 public:
  explicit Fleet(FleetSpec spec);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts everything; false if a process didn't come up.
  bool Start();
  bool StartStandins();
  bool StartRouter(int n);

  FleetProcess& Process(const std::string& name);
  const std::map<std::string, FleetProcess>& processes() const {
    return processes_;
  }
  // Sends a signal; SIGKILL also waits until the process is gone.
  void Kill(const std::string& name, int signal);
  // Waits for the process to end; returns its wait status.
  int Await(const std::string& name);
  // Collects processes that have ended.
  void Reap();

  // One HTTP call, waiting for its answer.
  TestReply Call(const std::string& address, const TestRequest& request);
  // Starts a call; `done` runs while some later call or `WaitFor` waits.
  std::shared_ptr<HttpCall> Begin(const std::string& address,
                                  const TestRequest& request,
                                  std::function<void(const TestReply&)> done);
  int port(const std::string& name) {
    const std::string& address = Process(name).address;
    return std::atoi(address.c_str() + address.rfind(':') + 1);
  }
  TestReply Control(const std::string& name, const std::string& what);
  // Runs the loop until `condition` holds; false after the limit.
  bool WaitFor(const std::function<bool()>& condition,
               Duration limit = std::chrono::seconds(40));

  // What all engines, or all services, say they ran.
  nlohmann::json Executions(const std::string& kind);
  // Runs the quaytrack command; returns its exit code and output.
  int Command(std::vector<std::string> arguments, std::string* output);
  nlohmann::json Bills();
  nlohmann::json Budgets();

  // Text of the bundle, and putting it in force.
  std::string BundleText(int version, const std::string& more = "");
  int ApplyBundle(int version, const std::string& more = "");
  std::string ReadyJson() const;
  const FleetSpec& spec() const { return spec_; }
  std::string Router(int n) { return Process(RouterName(n)).address; }
  static std::string RouterName(int n) { return "router-" + std::to_string(n); }

  // A chat request of a customer, to a router.
  static TestRequest Chat(const std::string& key, const std::string& text,
                          int max_tokens, bool stream);
  static TestRequest Service(const std::string& key, const std::string& path,
                             const std::string& body,
                             const std::string& idempotency_key);

 protected:
  Loop& loop() { return loop_; }
  bool Spawn(const std::string& name, const std::string& kind,
             std::vector<std::string> arguments);
  bool SpawnStandin(const std::string& name, const std::string& kind,
                    std::vector<std::string> more);
  std::string BinaryPath(const std::string& binary) const;

 private:
  std::string TargetAddress(const std::string& name);
  std::string KvFor(int router);
  bool RouterReady(int n);

  FleetSpec spec_;
  std::string directory_;
  Loop loop_;
  HttpClient http_;
  std::map<std::string, FleetProcess> processes_;
  OperatorKeyPair ann_;
  OperatorKeyPair ben_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_ROUTER_FLEET_H_
