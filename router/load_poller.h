// Asks engines for their load, so that the TargetBook knows what other routers
// have sent them. Reports are late by their nature; the book ages them.
//
// An engine that doesn't answer two polls in a row is frozen or cut off. It
// gets no new work until it answers, and requests that wait there for their
// first byte are told, so that they can go elsewhere.

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
             TargetBook& targets,
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
  TargetBook& book_;
  std::vector<Polled> targets_;
  std::function<void(const TargetName&)> unresponsive_;
  // Polls in a row that each target left unanswered.
  std::map<TargetName, int> missed_;
  // Targets whose last poll is not answered.
  std::set<TargetName> open_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_LOAD_POLLER_H_
