// The HTTP API for callers: model calls, the list of models, service calls.
//
// CallerApi parses and validates each request, and starts a Forward for it
// (router/forward.h). Requests that fail validation get a refusal from
// CallerApi itself.

#ifndef QUAYTRACK_ROUTER_CALLER_API_H_
#define QUAYTRACK_ROUTER_CALLER_API_H_

#include <functional>
#include <memory>
#include <string>

#include "bundle/bundle.h"
#include "evhttp/http_server.h"
#include "router/request_reader.h"
#include "router/request_table.h"

namespace quaytrack {

class CallerApi {
 public:
  // `default_deadline` is for requests without a deadline.
  CallerApi(RouterContext& context, RequestTable& requests,
            Duration default_deadline);

  void SetBundle(std::shared_ptr<const Bundle> bundle) {
    bundle_ = std::move(bundle);
  }
  // Refuses all further requests, for a planned stop.
  void StopAccepting() { stopping_ = true; }

  void Handle(const std::shared_ptr<HttpExchange>& exchange);

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  boost::leaf::result<void> Route(const ExchangePtr& exchange);
  boost::leaf::result<void> ListModels(const ExchangePtr& exchange);
  boost::leaf::result<void> StartModelCall(const ExchangePtr& exchange,
                                           ModelCallKind kind);
  boost::leaf::result<void> StartServiceCall(const ExchangePtr& exchange,
                                             const std::string& path);
  RequestBasics MakeBasics(CallerHeaders headers);
  void Answer(const ExchangePtr& exchange, const Refusal& refusal);

  RouterContext& context_;
  RequestTable& requests_;
  Duration default_deadline_;
  std::shared_ptr<const Bundle> bundle_;
  bool stopping_ = false;
  std::uint64_t last_request_number_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_CALLER_API_H_
