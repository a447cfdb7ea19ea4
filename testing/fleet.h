// Fleet runs separate processes on loopback, for process tests and tools/fleet.
// It starts them, learns their addresses, sends them signals and HTTP requests,
// and waits for conditions.
//
//   class MyFleet : public Fleet {...};   // chooses the processes
//   fleet.SpawnStandin("store", "store", {});
//   fleet.Kill("router-2", SIGKILL);
//   fleet.Control("store", "mode?mode=hang");
//   fleet.WaitFor([&] { return fleet.LogCount("peer_linked") > 0; });
//
// Fleet owns the processes, which end with it, and the folder with their logs.
// The processes bind free ports, and print "listening SERVICE ADMIN" when they
// are ready (a proxy first prints "proxying ADDRESS"). Nothing here sleeps for
// a fixed time: `WaitFor` waits for a condition, with a limit far longer than
// any delay without a fault.
//
// testing/router_fleet.h has the fleet of `quaytrack router`, and
// platform/testing/resident_fleet.h that of `quaytrack relay`.

#ifndef QUAYTRACK_TESTING_FLEET_H_
#define QUAYTRACK_TESTING_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "evhttp/http_client.h"
#include "net/loop.h"

namespace quaytrack {

struct FleetProcess {
  std::string name;
  std::string kind;
  pid_t pid = 0;
  std::string address;
  std::string admin;
  // Wait status, once the process has been reaped.
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
  // Logs go to `directory`. If that is empty, they go to a new folder in /tmp
  // whose name contains `name`, and which is removed at the end unless
  // QUAYTRACK_KEEP_LOGS is set.
  explicit Fleet(const std::string& name, std::string directory = "");
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  FleetProcess& Process(const std::string& name);
  const std::map<std::string, FleetProcess>& processes() const {
    return processes_;
  }
  // The port of the process's service.
  int port(const std::string& name);
  static std::string RouterName(int n) { return "router-" + std::to_string(n); }
  std::string Router(int n) { return Process(RouterName(n)).address; }

  // Sends a signal; after SIGKILL, also waits until the process has ended.
  void Kill(const std::string& name, int signal);
  // Waits for the process to end; returns its wait status.
  int Await(const std::string& name);
  // Reaps processes that have ended.
  void Reap();

  // Makes one HTTP call and waits for its answer.
  TestReply Call(const std::string& address, const TestRequest& request);
  // Starts a call; `done` runs during a later `Call` or `WaitFor`.
  std::shared_ptr<HttpCall> Begin(const std::string& address,
                                  const TestRequest& request,
                                  std::function<void(const TestReply&)> done);
  // Calls a stand-in's control, "/control/<what>".
  TestReply Control(const std::string& name, const std::string& what);
  // Runs the loop until `condition` is true; returns false after the limit.
  bool WaitFor(const std::function<bool()>& condition,
               Duration limit = std::chrono::seconds(40));

  // What the admin address of a stand-in answers for `path`.
  nlohmann::json Get(const std::string& name, const std::string& path);
  // The executions that all targets of a kind have recorded.
  nlohmann::json Executions(const std::string& kind);
  // Runs the quaytrack command; returns its exit code and output.
  int Command(std::vector<std::string> arguments, std::string* output);
  // The number of lines in the processes' logs that contain `text`.
  int LogCount(const std::string& text) const;

 protected:
  Loop& loop() { return loop_; }
  const std::string& directory() const { return directory_; }
  // Starts a process. If it isn't ready within 20 s, names its log on standard
  // error and returns false.
  bool Spawn(const std::string& name, const std::string& kind,
             std::vector<std::string> arguments);
  // Starts the stand-in that `kind` names in testing/standins_main.cc.
  bool SpawnStandin(const std::string& name, const std::string& kind,
                    const std::vector<std::string>& more);
  // Starts `binary`, quaytrack or one that takes its arguments, as router `n`,
  // with `arguments` and `more`.
  bool SpawnRouter(int n, std::vector<std::string> arguments,
                   const std::vector<std::string>& more,
                   const std::string& binary = "quaytrack");
  // Whether a router reports at its admin address that it is ready.
  bool RouterReady(int n, const std::string& ready_path);
  // The address of the fault proxy "<upstream>-proxy-<n>", which only router
  // `n` uses to reach the process `upstream`. It is started on first use.
  std::string ProxyFor(int n, const std::string& upstream);

 private:
  std::string directory_;
  bool temporary_;
  Loop loop_;
  HttpClient http_;
  std::map<std::string, FleetProcess> processes_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_FLEET_H_
