// Reads the events of a stream (text/event-stream, WHATWG HTML 9.2) as they
// pass, and lets only whole ones through.
//
//   EventReader reader;
//   const StreamEvents it = reader.Take(bytes);
//   if (it.out_of_order) ...              // the target skipped an event
//   caller.WriteChunk(it.bytes);
//   ...
//   reader.DropPartial();                 // another target goes on
//   facts.last_event = reader.last_id();  // after this event
//
// A target may end in the middle of an event. What has come of it is kept back,
// so that a caller never sees a piece of one, and another target can go on
// after the last whole event. That target may begin earlier than it was asked
// to: events whose ids were passed on before are dropped.
//
// It owns the bytes of the event that is not yet whole and the id of the last
// whole one, and relies on ids that are whole numbers and rise by one. Events
// without such an id pass as they are. Bytes can't be refused: a stream that is
// no stream of events is one event that never becomes whole.

#ifndef QUAYTRACK_RELAY_EVENTS_H_
#define QUAYTRACK_RELAY_EVENTS_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

// Whole events, as they came, without those that were passed on before.
struct StreamEvents {
  std::string bytes;
  int count = 0;
  // An event came that doesn't follow the one before it.
  bool out_of_order = false;
};

class EventReader {
 public:
  // Adds bytes as they came, and takes out the events that are whole by them.
  StreamEvents Take(std::string_view bytes);

  // Some of an event has come, and not all.
  bool InEvent() const { return !partial_.empty(); }
  // Forgets what has come of an event, when another target goes on.
  void DropPartial() { partial_.clear(); }
  // The id of the last whole event; empty if events carry none.
  std::string last_id() const {
    return last_id_ ? std::to_string(*last_id_) : std::string();
  }

 private:
  // False for an event that was passed on before. Notes its id, and in `out`
  // whether it skips one.
  bool IsNew(std::string_view event, StreamEvents& out) {
    const auto id = IdOf(event);
    if (!id) return true;
    if (last_id_ && *id <= *last_id_) return false;
    if (last_id_ && *id != *last_id_ + 1) out.out_of_order = true;
    last_id_ = id;
    return true;
  }

  // The number in the first `id:` line that has one.
  static std::optional<std::int64_t> IdOf(std::string_view event) {
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
  std::optional<std::int64_t> last_id_;
};

inline StreamEvents EventReader::Take(std::string_view bytes) {
  partial_.append(bytes);
  StreamEvents out;
  std::size_t used = 0;
  while (true) {
    const std::size_t end = partial_.find("\n\n", used);
    if (end == std::string::npos) break;
    const std::size_t next = end + 2;
    const std::string_view event(partial_.data() + used, next - used);
    if (IsNew(event, out)) {
      out.bytes += event;
      ++out.count;
    }
    used = next;
  }
  partial_.erase(0, used);
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_EVENTS_H_
