// Polls engines for their load, so that the TargetTable accounts for the
// requests that other routers have sent to the engines. Reports are always
// somewhat outdated; the TargetTable takes their age into account.
//
// An engine that doesn't answer two polls in a row is frozen or unreachable. It
// gets no new requests until it answers, and the callback `unresponsive` lets
// requests that wait for their first byte from the engine move to another
// target.

#ifndef QUAYTRACK_ROUTER_LOAD_POLLER_H_
#define QUAYTRACK_ROUTER_LOAD_POLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "evhttp/http_client.h"
#include "net/loop.h"
#include "route/target_book.h"

namespace quaytrack {

class LoadPoller {
 public:
  LoadPoller(Loop& loop, HttpClient& http, const Clock& clock,
             TargetTable& targets,
             std::function<void(const TargetName&)> unresponsive);

  struct Polled {
    TargetName name;
    std::string address;
  };
  void SetTargets(std::vector<Polled> targets) {
    targets_ = std::move(targets);
  }

 private:
  void PollAll();
  void Poll(const Polled& target);
  void OnMissed(const TargetName& name);
  void OnReport(const TargetName& name, const HttpResult& result);

  HttpClient& http_;
  const Clock& clock_;
  TargetTable& target_table_;
  std::vector<Polled> targets_;
  std::function<void(const TargetName&)> on_unresponsive_;
  // Number of consecutive unanswered polls, by target.
  std::map<TargetName, int> missed_polls_;
  // Targets with a poll in progress.
  std::set<TargetName> pending_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_LOAD_POLLER_H_
