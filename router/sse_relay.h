// Relays an engine's event stream to the caller, token by token.
//
// Most pieces of a stream are one event with one token; they are moved without
// copying or parsing. Only the end is held back: the usage event and [DONE]
// wait until the request's bill is safe. So a caller that has received the end
// of its answer has been billed, whichever process fails next.

#ifndef QUAYTRACK_ROUTER_SSE_RELAY_H_
#define QUAYTRACK_ROUTER_SSE_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace quaytrack {

// Tokens as the engine counted them.
struct Usage {
  std::int64_t prompt = 0;
  std::int64_t output = 0;
};

// Reads {"usage": {"prompt_tokens": .., "completion_tokens": ..}} from a body
// or an event; returns std::nullopt if the usage is missing or invalid.
std::optional<Usage> UsageFromJson(std::string_view json);

class SseRelay {
 public:
  // Bytes of one event, and of the events that are held back.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  // `show_usage` tells whether the caller asked for the usage event.
  explicit SseRelay(bool show_usage) : show_usage_(show_usage) {}

  // Consumes all of `in` and moves what can be sent to the caller to `out`.
  // Returns the number of events moved.
  int Feed(evbuffer* in, evbuffer* out);

  // Whether the engine has reported the end of the answer.
  bool done() const { return done_; }
  // Whether an event, or what follows the answer's end, is larger than any that
  // is expected. Nothing more is taken then.
  bool too_large() const { return too_large_; }
  const std::optional<Usage>& usage() const { return usage_; }
  // Number of events relayed; each has at least one token.
  std::int64_t events() const { return events_; }
  // The end of the stream, to be sent when the bill is safe.
  const std::string& tail() const { return tail_; }

 private:
  int RelayEvents(evbuffer* out);
  bool RelayEvent(std::string_view event, evbuffer* out);

  bool show_usage_;
  bool done_ = false;
  bool too_large_ = false;
  std::optional<Usage> usage_;
  std::int64_t events_ = 0;
  // The start of an event that is still incomplete.
  std::string partial_;
  std::string tail_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_SSE_RELAY_H_
