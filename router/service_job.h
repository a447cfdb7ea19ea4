// The part of a request that is particular to calls of plain services
// (ForwardJob). Each call has one price, whether its answer came whole or not;
// the answer is kept for retries if it is small.

#ifndef QUAYTRACK_ROUTER_SERVICE_JOB_H_
#define QUAYTRACK_ROUTER_SERVICE_JOB_H_

#include <string>
#include <utility>

#include "router/forward_job.h"

namespace quaytrack {

// A call as it goes to the service.
struct ServiceCall {
  std::string method;
  std::string path;  // with the query
  std::string content_type;
  std::string body;
};

class ServiceJob {
 public:
  // Its answer is wanted even if its caller has left.
  static constexpr bool kCancellable = false;

  ServiceJob(ServiceCall call, Tokens price)
      : call_(std::move(call)), price_(price) {}

  HttpRequest Request(const std::string& address);
  bool streams() const { return false; }
  void Begin(HttpExchange&) {}
  int Relay(evbuffer*, HttpExchange&) { return 0; }
  AnswerKind Judge(const HttpResult& result);
  Tokens Cost() const { return price_; }
  // A call that may have run is billed like one that did.
  Tokens CostIfCut() const { return price_; }
  void Deliver(HttpExchange& exchange);
  KeptAnswer Kept() const;
  HttpRequest CancelRequest(const std::string&, const RequestId&) const {
    return {};
  }
  void OnCancelled(const HttpResult&) {}
  // A plain service can't be asked what it ran.
  Intent MakeIntent(const std::string&, Bill worst_case) const {
    return {std::move(worst_case), "", 0, 0};
  }

 private:
  // Larger answers are not kept for retries.
  static constexpr std::size_t kMostKeptBytes = 8 * 1024;

  ServiceCall call_;
  Tokens price_;
  HttpResult answer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_SERVICE_JOB_H_
