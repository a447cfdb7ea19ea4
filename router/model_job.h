// The call-specific code of model calls (ForwardJob).
//
// Builds the call for an engine, relays its stream (router/sse_relay.h), and
// converts the usage that the engine reports into prepaid tokens, at the prices
// under which the request was admitted. An incomplete answer is billed by the
// events relayed, unless the engine reports its usage when it is cancelled.

#ifndef QUAYTRACK_ROUTER_MODEL_JOB_H_
#define QUAYTRACK_ROUTER_MODEL_JOB_H_

#include <memory>
#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "router/forward_job.h"
#include "router/request_reader.h"
#include "router/sse_relay.h"

namespace quaytrack {

class ModelJob {
 public:
  static constexpr bool kCancellable = true;

  // `prices` are from the bundle under which the request was admitted.
  ModelJob(ModelCall call, ModelSetting prices);

  HttpRequest Request(const std::string& address);
  bool streams() const { return call_.stream; }
  void Begin(HttpExchange& exchange);
  int Relay(evbuffer* data, HttpExchange& exchange);
  // Whether the stream can't be relayed further.
  bool IsBroken() const { return relay_.too_large(); }
  AnswerKind Classify(const HttpResult& result);
  Tokens Cost() const;
  Tokens CostIfIncomplete() const;
  void Deliver(HttpExchange& exchange);
  StoredAnswer AnswerToStore() const { return {}; }
  HttpRequest CancelRequest(const std::string& address,
                            const RequestId& request) const;
  void OnCancelled(const HttpResult& result);
  Intent MakeIntent(const std::string& address, Bill worst_case) const;

 private:
  Tokens PriceOf(const Usage& usage) const;
  Usage Estimate() const;

  ModelCall call_;
  ModelSetting prices_;
  SseRelay relay_;
  // Holds the piece of the stream that is being sent to the caller. One buffer
  // serves all pieces.
  std::unique_ptr<evbuffer, void (*)(evbuffer*)> out_;
  std::optional<Usage> usage_;
  HttpResult answer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_MODEL_JOB_H_
