// EventReader splits a stream (text/event-stream, WHATWG HTML 9.2) into events
// and lets only complete ones through.
//
//   EventReader reader;
//   const StreamEvents it = reader.Take(bytes);
//   if (it.out_of_order) ...              // the target skipped an event
//   caller.WriteChunk(it.bytes);
//   ...
//   reader.DropPartial();                 // another target continues
//   facts.last_event = reader.last_id();  // after this event
//
// A target may end in the middle of an event. Incomplete events are buffered,
// so that a caller never sees part of one, and another target can continue
// after the last complete event. That target may start earlier than requested:
// events whose ids were forwarded before are dropped. If a target skips an
// event, none of the events that arrived in the same `Take` are returned or
// counted, so the next target continues before the gap and no caller misses an
// event.
//
// EventReader owns the bytes of the incomplete event and the id of the last
// complete one, and relies on ids that are integers and rise by one. Events
// without such an id are forwarded as they are. Bytes that are no event stream
// are treated as one event that never completes, until it is too large.

#ifndef QUAYTRACK_RELAY_EVENTS_H_
#define QUAYTRACK_RELAY_EVENTS_H_

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

// Complete events, unchanged, without those that were forwarded before.
struct StreamEvents {
  std::string bytes;
  int count = 0;
  // An event's id skips a number. `bytes` is then empty, and omits also the
  // earlier events of the same `Take`.
  bool out_of_order = false;
  // An event is larger than EventReader::kMaxEventBytes. `bytes` is then empty.
  bool too_large = false;

  bool valid() const { return !out_of_order && !too_large; }
};

class EventReader {
 public:
  // Largest event that is read, in bytes. Events hold some tokens each, and a
  // target in trouble may send bytes without end.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;
  // Memory that is kept for the next bytes, after more has been read at once.
  static constexpr std::size_t kMaxSpareBytes = 4 * 1024;

  // Appends received bytes, and returns the events that these complete: all of
  // them, or none if an event was skipped. The caller must forward the returned
  // events, as `last_id` counts them.
  StreamEvents Take(std::string_view bytes);

  // Memory of the incomplete event, in bytes.
  std::size_t HeldBytes() const { return partial_.capacity(); }
  // Whether part of an event has arrived.
  bool InEvent() const { return !partial_.empty(); }
  // Drops the incomplete event, when another target continues.
  void DropPartial() {
    partial_.clear();
    searched_ = 0;
  }
  // The id of the last event that was returned; empty if events carry none.
  std::string last_id() const {
    return last_id_ ? std::to_string(*last_id_) : std::string();
  }

 private:
  using EventId = std::optional<std::int64_t>;

  // The position of an event relative to the one with the id `last`.
  enum class Order { kNext, kRepeated, kSkips };
  static Order OrderOf(const EventId& id, const EventId& last) {
    if (!id || !last) return Order::kNext;
    if (*id <= *last) return Order::kRepeated;
    // No id is above the largest one, so this doesn't overflow.
    return *id == *last + 1 ? Order::kNext : Order::kSkips;
  }

  // Returns the number in the first `id:` line that has a number.
  static EventId IdOf(std::string_view event) {
    constexpr std::string_view kField = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
      const std::size_t end = event.find('\n', at);
      std::string_view line = event.substr(at, end - at);
      at = end == std::string_view::npos ? event.size() : end + 1;
      if (!line.starts_with(kField)) continue;
      line.remove_prefix(kField.size());
      while (line.starts_with(' ')) line.remove_prefix(1);
      std::int64_t id = 0;
      const char* stop = line.data() + line.size();
      if (std::from_chars(line.data(), stop, id).ec != std::errc()) continue;
      return id;
    }
    return std::nullopt;
  }

  std::string partial_;
  // Bytes of `partial_` that have been searched for the end of the event.
  std::size_t searched_ = 0;
  EventId last_id_;
};

inline StreamEvents EventReader::Take(std::string_view bytes) {
  partial_.append(bytes);
  StreamEvents out;
  EventId last = last_id_;
  std::size_t used = 0;
  while (true) {
    const std::size_t end = partial_.find("\n\n", std::max(used, searched_));
    if (end == std::string::npos) break;
    const std::size_t next = end + 2;
    const std::string_view event(partial_.data() + used, next - used);
    used = next;
    const EventId id = IdOf(event);
    const Order order = OrderOf(id, last);
    if (order == Order::kRepeated) continue;
    if (order == Order::kSkips) {
      partial_.erase(0, used);
      searched_ = 0;
      return {.bytes = "", .count = 0, .out_of_order = true};
    }
    if (id) last = id;
    out.bytes += event;
    ++out.count;
  }
  if (partial_.size() - used > kMaxEventBytes) {
    DropPartial();
    return {.bytes = "", .count = 0, .too_large = true};
  }
  partial_.erase(0, used);
  if (partial_.capacity() > kMaxSpareBytes &&
      partial_.size() < partial_.capacity() / 2)
    partial_.shrink_to_fit();
  // The last byte may be the first half of the end.
  searched_ = partial_.empty() ? 0 : partial_.size() - 1;
  last_id_ = last;
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_EVENTS_H_
