// What differs between the requests that a router forwards: the job.
//
// ModelJob (router/model_job.h) and ServiceJob (router/service_job.h) satisfy
// ForwardJob; Forward (router/forward.h) does the rest for both. A job builds
// the call for a target, passes a stream on, judges the answer, and knows what
// it costs. It owns the call and the answer, and never waits or decides when
// something is sent.

#ifndef QUAYTRACK_ROUTER_FORWARD_JOB_H_
#define QUAYTRACK_ROUTER_FORWARD_JOB_H_

#include <concepts>
#include <string>

#include "base/ids.h"
#include "claim/claim.h"
#include "evhttp/http_client.h"
#include "evhttp/http_server.h"
#include "ledger/bill.h"
#include "ledger/witness.h"

struct evbuffer;

namespace quaytrack {

// What a target's answer means.
enum class AnswerKind {
  kComplete,    // the caller's answer
  kPassedOn,    // an error that is the caller's own; nothing ran
  kOverloaded,  // refused for lack of room; nothing ran
  kFailed,      // an error, or an answer that is cut short
};

// The part of a request that depends on its kind.
template <class J>
concept ForwardJob = requires(J job, const std::string& address,
                              const HttpResult& result, evbuffer* data,
                              HttpExchange& exchange, int status) {
  { job.Request(address) } -> std::same_as<HttpRequest>;
  // The answer goes to the caller while it arrives.
  { job.streams() } -> std::same_as<bool>;
  { job.Begin(exchange) } -> std::same_as<void>;
  // Passes data on; returns how many events it had.
  { job.Relay(data, exchange) } -> std::same_as<int>;
  { job.Judge(result) } -> std::same_as<AnswerKind>;
  // Cost of a complete answer, and of one that was cut short.
  { job.Cost() } -> std::same_as<Tokens>;
  { job.CostIfCut() } -> std::same_as<Tokens>;
  // Sends what was held back.
  { job.Deliver(exchange) } -> std::same_as<void>;
  { job.Kept() } -> std::same_as<KeptAnswer>;
  // Whether it is ended when its caller leaves; then, how to ask the target
  // what had run, and what to make of the answer.
  { J::kCancellable } -> std::convertible_to<bool>;
  { job.CancelRequest(address, RequestId()) } -> std::same_as<HttpRequest>;
  { job.OnCancelled(result) } -> std::same_as<void>;
  // What a witness must know to find out what this request cost.
  { job.MakeIntent(address, Bill()) } -> std::same_as<Intent>;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_FORWARD_JOB_H_
