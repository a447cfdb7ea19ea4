// Parses and validates the requests of callers.
//
// All faults in a request are found here, before a hold is placed or a target
// is chosen. The refusal names the invalid field:
//
//   leaf::try_handle_all(
//       [&]() -> leaf::result<void> {
//         BOOST_LEAF_AUTO(chat, ReadModelCall(kind, body, bundle));
//         ...
//       },
//       [&](const Refusal& it) {...});

#ifndef QUAYTRACK_ROUTER_REQUEST_READER_H_
#define QUAYTRACK_ROUTER_REQUEST_READER_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "bundle/bundle.h"
#include "evhttp/http_server.h"
#include "route/wait_queue.h"
#include "router/refusal.h"

namespace quaytrack {

enum class ModelCallKind { kChat, kCompletion };

// A validated model call.
struct ModelCall {
  ModelCallKind kind{};
  ModelName model;
  bool stream = false;
  // Whether the caller asked for the usage event of a stream.
  bool include_usage = false;
  std::int64_t max_tokens = 0;
  // Upper bound of the prompt tokens: the bytes of the prompt, as a token has
  // at least one byte, plus an allowance for the chat template.
  std::int64_t prompt_bytes = 0;
  // Hash of the start of the prompt, for prefix affinity; never 0.
  std::uint64_t prefix_hash = 1;
  // The body for the engine: the caller's body with `max_tokens` set in place
  // of `max_completion_tokens` and, for a stream,
  // `stream_options.include_usage` set to true.
  std::string engine_body;

  // Returns an upper bound of the cost.
  Tokens WorstCase(const ModelSetting& model_setting) const;
};

// The headers that all requests may have.
struct CallerHeaders {
  CustomerName customer;
  IdempotencyKey key;  // empty if none was sent
  PriorityClass priority = PriorityClass::kStandard;
  // Deadline relative to the arrival; empty if none was sent.
  std::optional<std::chrono::milliseconds> deadline;
  // Whether the caller requires that this call isn't repeated.
  bool must_not_repeat = false;
};

inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
inline constexpr char kPriorityHeader[] = "X-Priority";
inline constexpr char kRepeatHeader[] = "X-Repeat";
inline constexpr char kRequestIdHeader[] = "X-Request-Id";

boost::leaf::result<CallerHeaders> ReadHeaders(const HttpExchange& exchange,
                                               const Bundle& bundle);

boost::leaf::result<ModelCall> ReadModelCall(ModelCallKind kind,
                                             std::string_view body,
                                             const Bundle& bundle);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_READER_H_
