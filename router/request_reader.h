// Reads and checks what callers send.
//
// Everything that can be wrong with a request is found here, before a hold is
// placed or a target chosen, and is answered with the field at fault:
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

// A model call, checked.
struct ModelCall {
  ModelCallKind kind{};
  ModelName model;
  bool stream = false;
  // Whether the caller asked for the usage event of a stream.
  bool include_usage = false;
  std::int64_t max_tokens = 0;
  // No tokenizer makes more tokens than there are bytes.
  std::int64_t prompt_bytes = 0;
  // Hash of the beginning of the prompt, for prefix affinity; never 0.
  std::uint64_t prefix_hash = 1;
  // The body for the engine: as sent, with max_tokens and usage filled in.
  std::string engine_body;

  // The most that the call can cost.
  Tokens WorstCase(const ModelSetting& model_setting) const;
};

// What all requests carry in their headers.
struct CallerHeaders {
  CustomerName customer;
  IdempotencyKey key;  // empty if none was sent
  PriorityClass priority = PriorityClass::kStandard;
  // From arrival; empty if none was sent.
  std::optional<std::chrono::milliseconds> deadline;
  // The caller says that this call must not be repeated.
  bool never_repeat = false;
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
