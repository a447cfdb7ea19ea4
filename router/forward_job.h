// The interface of the call-specific code of a forwarded request: the job.
//
// ModelJob (router/model_job.h) and ServiceJob (router/service_job.h) satisfy
// ForwardJob; Forward (router/forward.h) is the common code. A job builds the
// call for a target, relays a stream, classifies the answer, and knows its cost
// in prepaid tokens. It owns the call and the answer. Forward decides when
// something is sent.

#ifndef QUAYTRACK_ROUTER_FORWARD_JOB_H_
#define QUAYTRACK_ROUTER_FORWARD_JOB_H_

#include <concepts>
#include <optional>
#include <string>

#include "base/ids.h"
#include "claim/claim.h"
#include "evhttp/http_client.h"
#include "evhttp/http_server.h"
#include "ledger/bill.h"
#include "ledger/witness.h"

struct evbuffer;

namespace quaytrack {

// Classification of a target's answer.
enum class AnswerKind {
  kComplete,    // a normal answer for the caller
  kRejected,    // rejected for an error of the caller; nothing ran
  kOverloaded,  // refused, with a statement that nothing ran
  kUnproven,    // refused without that statement; it may have run
  kFailed,      // an error or an incomplete answer
};

// By this header, whatever its value, a target states in a refusal that it has
// not run the call.
inline constexpr char kNotRunHeader[] = "X-Not-Run";

// Classifies a complete answer as a refusal; std::nullopt for other answers. A
// target that refuses may have run the call before, unless it states otherwise
// or the call wasn't meant for it (421).
std::optional<AnswerKind> ClassifyRefusal(const HttpResult& result);

// Call-specific code of a request.
template <class J>
concept ForwardJob = requires(J job, const std::string& address,
                              const HttpResult& result, evbuffer* data,
                              HttpExchange& exchange, int status) {
  { job.Request(address) } -> std::same_as<HttpRequest>;
  // Whether the answer is streamed to the caller.
  { job.streams() } -> std::same_as<bool>;
  { job.Begin(exchange) } -> std::same_as<void>;
  // Relays data to the caller; returns the number of events relayed.
  { job.Relay(data, exchange) } -> std::same_as<int>;
  // Whether the stream can't be relayed further.
  { job.IsBroken() } -> std::same_as<bool>;
  { job.Classify(result) } -> std::same_as<AnswerKind>;
  // Cost of a complete and of an incomplete answer.
  { job.Cost() } -> std::same_as<Tokens>;
  { job.CostIfIncomplete() } -> std::same_as<Tokens>;
  // Sends a complete answer; for a stream, sends its last part, which the job
  // keeps until the bill is safe (router/sse_relay.h).
  { job.Deliver(exchange) } -> std::same_as<void>;
  // The answer to store for retries.
  { job.AnswerToStore() } -> std::same_as<StoredAnswer>;
  // Whether the call is cancelled when its caller disconnects. If so:
  // CancelRequest builds the request that ends the call at the target, and
  // OnCancelled takes the usage from the reply.
  { J::kCancellable } -> std::convertible_to<bool>;
  { job.CancelRequest(address, RequestId()) } -> std::same_as<HttpRequest>;
  { job.OnCancelled(result) } -> std::same_as<void>;
  // What a witness (ledger/witness.h) needs to determine the cost of this
  // request.
  { job.MakeIntent(address, Bill()) } -> std::same_as<Intent>;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_FORWARD_JOB_H_
