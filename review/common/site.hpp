// A small deployment for the review's cases: the project's stand-ins of the
// store and of runners, relays started with the settings of deploy/system.toml,
// a balancer and clients. All of it is on loopback and on the real clock.
//
//   Site site("review/1/record.txt");
//   site.StartStore(); site.StartTarget("i-e1", "llm", 20); site.PutConfig(c);
//   site.StartRelay("front-bkk-a-1", "bkk-a");
//   site.RunUntil(10.0, [&] { ... });   // every 10 ms, until second 10
//
// Site owns the processes and ends them. Times are seconds since `StartClock`.

#ifndef QUAYTRACK_REVIEW_COMMON_SITE_HPP_
#define QUAYTRACK_REVIEW_COMMON_SITE_HPP_

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/http_parser.h"
#include "net/tcp_socket.h"
#include "testing/fleet.h"

namespace quaytrack::review {

// One client attempt.
struct Try {
  std::string id;
  std::string tenant;
  std::string node;
  double sent_s = 0;
  double ended_s = 0;
  // The most that the request may cost, in tokens; 0 for plain calls.
  long long most = 0;
  int status = 0;
  bool sealed = false;
  // The answer ended as whole.
  bool complete = false;
  bool closed = false;
  bool connected = false;
  double retry_after_s = -1;
  std::string error;
  std::string body;
  bool ended() const { return complete || closed; }
  bool served() const { return complete && sealed && status / 100 == 2; }
  // Number of events with the ids first, first + 1, ...; -1 if out of order.
  int Events(int first = 1) const;

  std::shared_ptr<TcpSocket> socket;
  std::unique_ptr<HttpParser> parser;
};
using TryPtr = std::shared_ptr<Try>;

class Site : public Fleet {
 public:
  explicit Site(const std::string& record);

  static bool TroubleIsOn();

  void StartClock() { begun_ = clock_.Now(); }
  double Now() const { return ToSeconds(clock_.Now() - begun_); }
  // Writes a line to the record.
  void Note(const std::string& line);

  bool StartStore();
  // A runner of a service; its entry is written as "ready".
  bool StartTarget(const std::string& id, const std::string& service,
                   const std::string& zone, bool engine, int step_ms);
  void PutItem(const std::string& key, const std::string& value);
  // Starts a machine's relay, at the machine's addresses if it ran before.
  // With `links_file`, its links to runners can be cut by that file.
  bool StartRelay(const std::string& vm, const std::string& zone,
                  const std::string& links_file = "");
  // Puts a proxy of the project between the machine and the store, before its
  // relay starts; returns the proxy's name.
  std::string AddStoreProxy(const std::string& vm);
  std::string LinksFile(const std::string& vm) const {
    return directory() + "/links-" + vm;
  }
  const std::string& folder() const { return directory(); }

  // The balancer: asks each machine each second whether it is ready; two
  // misses take it out. `Watch` also takes a machine from the list.
  void Watch(const std::string& vm, const std::string& zone);
  void Unwatch(const std::string& vm);
  // A machine for a client of the zone, as PROTOCOL.md says; "" if none runs.
  std::string Pick(const std::string& zone, unsigned draw) const;
  bool IsIn(const std::string& vm) const;

  TryPtr Send(const std::string& vm, const std::string& id,
              const std::string& bytes);

  // Runs the loop until the time, and calls `each` about every 10 ms.
  void RunUntil(double s, const std::function<void()>& each);
  bool WaitReady(const std::string& vm);

 private:
  struct Machine {
    std::string zone;
    int misses = 2;
    double asked_s = -1;
    std::shared_ptr<HttpCall> call;
  };
  void Poll();

  SystemClock clock_;
  Instant begun_{};
  std::ofstream record_;
  std::map<std::string, std::vector<std::string>> addresses_;
  std::map<std::string, Machine> machines_;
  // The addresses at which machines with a proxy find the store.
  std::map<std::string, std::string> store_of_;
};

// The bytes of a generation and of a plain call.
std::string StreamBytes(const std::string& path, const std::string& id,
                        const std::string& key, int prompt, int out,
                        int deadline_ms);
std::string CallBytes(const std::string& method, const std::string& path,
                      const std::string& id, const std::string& key,
                      int deadline_ms);

// A configuration with the routes /review/ and /question/ (streams),
// /sign/ (non-idempotent) and /audit/ (idempotent).
nlohmann::json Config(
    int version, const std::vector<std::pair<std::string, long long>>& tenants);

}  // namespace quaytrack::review

#endif  // QUAYTRACK_REVIEW_COMMON_SITE_HPP_
