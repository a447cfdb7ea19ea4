// The part of a request that is particular to model calls (ForwardJob).
//
// Builds the call for an engine, relays its stream (router/sse_relay.h), and
// turns the usage that the engine reports into tokens by the prices that the
// request was admitted under. An answer that is cut short costs what was
// relayed, unless the engine tells more when it is asked to cancel.

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

  // Prices are those of the bundle that the request was admitted under.
  ModelJob(ModelCall call, ModelSetting prices);

  HttpRequest Request(const std::string& address);
  bool streams() const { return call_.stream; }
  void Begin(HttpExchange& exchange);
  int Relay(evbuffer* data, HttpExchange& exchange);
  AnswerKind Judge(const HttpResult& result);
  Tokens Cost() const;
  Tokens CostIfCut() const;
  void Deliver(HttpExchange& exchange);
  KeptAnswer Kept() const { return {}; }
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
  // Reused for every part of the stream.
  std::unique_ptr<evbuffer, void (*)(evbuffer*)> out_;
  std::optional<Usage> usage_;
  HttpResult answer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_MODEL_JOB_H_
