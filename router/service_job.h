// The call-specific code of calls of plain services (ForwardJob).
//
// Each call has one price in prepaid tokens, whether or not its answer was
// complete. Small answers are stored for retries.

#ifndef QUAYTRACK_ROUTER_SERVICE_JOB_H_
#define QUAYTRACK_ROUTER_SERVICE_JOB_H_

#include <string>
#include <utility>

#include "router/forward_job.h"

namespace quaytrack {

// A call as it is sent to the service.
struct ServiceCall {
  std::string method;
  std::string path;  // including the query
  std::string content_type;
  std::string body;
};

class ServiceJob {
 public:
  // The answer is needed for a retry even if the caller has disconnected.
  static constexpr bool kCancellable = false;

  ServiceJob(ServiceCall call, Tokens price)
      : call_(std::move(call)), price_(price) {}

  HttpRequest Request(const std::string& address);
  bool streams() const { return false; }
  void Begin(HttpExchange&) {}
  int Relay(evbuffer*, HttpExchange&) { return 0; }
  bool IsBroken() const { return false; }
  AnswerKind Classify(const HttpResult& result);
  Tokens Cost() const { return price_; }
  // A call that may have run is billed as one that did.
  Tokens CostIfIncomplete() const { return price_; }
  void Deliver(HttpExchange& exchange);
  StoredAnswer AnswerToStore() const;
  HttpRequest CancelRequest(const std::string&, const RequestId&) const {
    return {};
  }
  void OnCancelled(const HttpResult&) {}
  // A plain service can't be queried for the cost of a call, so the intent has
  // no address and no token prices.
  Intent MakeIntent(const std::string&, Bill worst_case) const {
    return {std::move(worst_case), "", 0, 0};
  }

 private:
  // Bytes. Larger answers are not stored for retries.
  static constexpr std::size_t kMaxStoredAnswerBytes = 8 * 1024;

  ServiceCall call_;
  Tokens price_;
  HttpResult answer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_SERVICE_JOB_H_
