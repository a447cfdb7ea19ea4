// Asks engines for their load, so that the TargetBook knows what other routers
// have sent them. Reports are late by their nature; the book ages them.

#ifndef QUAYTRACK_ROUTER_LOAD_POLLER_H_
#define QUAYTRACK_ROUTER_LOAD_POLLER_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "route/target_book.h"

namespace quaytrack {

class LoadPoller {
 public:
  LoadPoller(Loop& loop, HttpClient& http, const Clock& clock,
             TargetBook& targets);

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
  void OnReport(const TargetName& name, const HttpResult& result);

  HttpClient& http_;
  const Clock& clock_;
  TargetBook& book_;
  std::vector<Polled> targets_;
  // Targets whose last poll is not answered.
  std::set<TargetName> open_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_LOAD_POLLER_H_
