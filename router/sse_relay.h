// Passes an engine's event stream on to the caller, token by token.
//
// Most parts of a stream are one event with one token, and are moved on as they
// came, without copying or parsing. Only the end is held back: the usage event
// and [DONE] wait until the request's bill is safe, so a caller that has seen
// the end of its answer has been billed, whatever dies next.

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

// Reads {"usage": {"prompt_tokens": .., "completion_tokens": ..}} in a body or
// an event; empty if there is none, or one that makes no sense.
std::optional<Usage> UsageFromJson(std::string_view json);

class SseRelay {
 public:
  // `show_usage`: the caller asked for the usage event.
  explicit SseRelay(bool show_usage) : show_usage_(show_usage) {}

  // Takes everything from `in`; moves what the caller may see now to `out`.
  // Returns how many events that were.
  int Feed(evbuffer* in, evbuffer* out);

  // The engine said that the answer is complete.
  bool done() const { return done_; }
  const std::optional<Usage>& usage() const { return usage_; }
  // Events passed on; each carries at least one token.
  std::int64_t events() const { return events_; }
  // What was held back: to be sent when the bill is safe.
  const std::string& tail() const { return tail_; }

 private:
  int TakeEvents(evbuffer* out);
  bool TakeEvent(std::string_view event, evbuffer* out);

  bool show_usage_;
  bool done_ = false;
  std::optional<Usage> usage_;
  std::int64_t events_ = 0;
  // An event that has not come whole yet.
  std::string partial_;
  std::string tail_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_SSE_RELAY_H_
