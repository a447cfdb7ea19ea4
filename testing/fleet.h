// A fleet of separate processes on loopback, for process tests and tools/fleet:
// it starts them, finds out where they listen, signals them, calls them over
// HTTP and waits for conditions.
//
//   class MyFleet : public Fleet {...};   // says which processes there are
//   fleet.SpawnStandin("store", "store", {});
//   fleet.Kill("router-2", SIGKILL);
//   fleet.Control("store", "mode?mode=hang");
//   fleet.WaitFor([&] { return fleet.LogCount("peer_linked") > 0; });
//
// It owns the processes, which end with it, and the folder with their logs. All
// ports are free ones picked by the processes themselves, which print
// "listening SERVICE ADMIN" when they are ready (a proxy prints "proxying
// ADDRESS" before). Nothing here waits for a time; `WaitFor` waits for a
// condition, with a limit far beyond any honest delay.
//
// testing/router_fleet.h has the fleet of `quaytrack router`,
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
  // Logs go to `directory`; if that is empty, to a new folder in /tmp that has
  // `name` in its own and is removed at the end, unless QUAYTRACK_KEEP_LOGS is
  // set.
  explicit Fleet(const std::string& name, std::string directory = "");
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  FleetProcess& Process(const std::string& name);
  const std::map<std::string, FleetProcess>& processes() const {
    return processes_;
  }
  // Port of the process's service.
  int port(const std::string& name);
  static std::string RouterName(int n) { return "router-" + std::to_string(n); }
  std::string Router(int n) { return Process(RouterName(n)).address; }

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
  TestReply Control(const std::string& name, const std::string& what);
  // Runs the loop until `condition` holds; false after the limit.
  bool WaitFor(const std::function<bool()>& condition,
               Duration limit = std::chrono::seconds(40));

  // What all targets of a kind say they ran.
  nlohmann::json Executions(const std::string& kind);
  // Runs the quaytrack command; returns its exit code and output.
  int Command(std::vector<std::string> arguments, std::string* output);
  // How many lines of the processes' logs contain `text`.
  int LogCount(const std::string& text) const;

 protected:
  Loop& loop() { return loop_; }
  const std::string& directory() const { return directory_; }
  // Starts a process; false, with a line about its log, if it isn't ready soon.
  bool Spawn(const std::string& name, const std::string& kind,
             std::vector<std::string> arguments);
  // Starts the stand-in that `kind` names in testing/standins_main.cc.
  bool SpawnStandin(const std::string& name, const std::string& kind,
                    const std::vector<std::string>& more);
  // Starts quaytrack as router `n`, with `arguments` and `more`.
  bool SpawnRouter(int n, std::vector<std::string> arguments,
                   const std::vector<std::string>& more);
  // Whether a router says at its admin address that it is ready.
  bool RouterReady(int n, const std::string& ready_path);
  // The address of router `n`'s own fault proxy before a process,
  // "<upstream>-proxy-<n>", which is started on first use.
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
