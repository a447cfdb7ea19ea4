#include "router/sse_relay.h"

#include <event2/buffer.h>

#include <nlohmann/json.hpp>

namespace quaytrack {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kUsageField = "\"usage\"";
constexpr std::string_view kDataPrefix = "data:";

// Whether the text has a usage field with an object in it; engines write
// "usage":null in the other events.
bool MentionsUsage(std::string_view text) {
  std::size_t at = text.find(kUsageField);
  while (at != std::string_view::npos) {
    const std::size_t value =
        text.find_first_not_of(" :", at + kUsageField.size());
    if (value != std::string_view::npos && text[value] == '{') return true;
    at = text.find(kUsageField, at + 1);
  }
  return false;
}

bool HasAnswerEnd(std::string_view text) {
  return text.find(kDone) != std::string_view::npos || MentionsUsage(text);
}

int CountEvents(std::string_view text) {
  int n = 0;
  for (std::size_t at = text.find(kEventEnd); at != std::string_view::npos;
       at = text.find(kEventEnd, at + kEventEnd.size())) {
    ++n;
  }
  return n;
}

std::string_view DataOf(std::string_view event) {
  if (!event.starts_with(kDataPrefix)) return {};
  event.remove_prefix(kDataPrefix.size());
  const std::size_t first = event.find_first_not_of(' ');
  return first == std::string_view::npos ? std::string_view()
                                         : event.substr(first);
}

bool HasChoices(std::string_view event) {
  return event.find("\"choices\":[]") == std::string_view::npos;
}

}  // namespace

std::optional<Usage> UsageFromJson(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("usage")) return std::nullopt;
  const Json& usage = json.at("usage");
  if (!usage.is_object()) return std::nullopt;
  const auto count = [&](const char* field) -> std::int64_t {
    const bool present =
        usage.contains(field) && usage.at(field).is_number_integer();
    return present ? usage.at(field).get<std::int64_t>() : -1;
  };
  const Usage out{count("prompt_tokens"), count("completion_tokens")};
  if (out.prompt < 0 || out.output < 0) return std::nullopt;
  return out;
}

int SseRelay::Feed(evbuffer* in, evbuffer* out) {
  const std::size_t size = evbuffer_get_length(in);
  const char* data = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
  if (data == nullptr) return 0;
  if (too_large_) {
    evbuffer_drain(in, size);
    return 0;
  }
  const std::string_view text(data, size);
  int events = 0;
  const bool complete = partial_.empty() && text.ends_with(kEventEnd);
  if (complete && !HasAnswerEnd(text)) {
    events = CountEvents(text);
    evbuffer_add_buffer(out, in);
  } else {
    partial_ += text;
    evbuffer_drain(in, size);
    events = RelayEvents(out);
    too_large_ =
        partial_.size() > kMaxEventBytes || tail_.size() > kMaxEventBytes;
  }
  events_ += events;
  return events;
}

int SseRelay::RelayEvents(evbuffer* out) {
  int relayed = 0;
  std::size_t begin = 0;
  std::size_t end = 0;
  while ((end = partial_.find(kEventEnd, begin)) != std::string::npos) {
    const std::size_t next = end + kEventEnd.size();
    const auto event = std::string_view(partial_).substr(begin, next - begin);
    if (RelayEvent(event, out)) ++relayed;
    begin = next;
  }
  partial_.erase(0, begin);
  return relayed;
}

// Adds the event to `out` and returns true, or doesn't and returns false. An
// event of the end of the answer is added to `tail_`, unless it has only the
// usage and the caller didn't ask for the usage.
bool SseRelay::RelayEvent(std::string_view event, evbuffer* out) {
  const std::string_view data = DataOf(event);
  if (data.starts_with(kDone)) {
    done_ = true;
    tail_ += event;
    return false;
  }
  if (MentionsUsage(data)) {
    if (auto usage = UsageFromJson(data)) usage_ = usage;
    // Some engines put the usage into the last token's event.
    if (show_usage_ || HasChoices(data)) tail_ += event;
    return false;
  }
  evbuffer_add(out, event.data(), event.size());
  return true;
}

}  // namespace quaytrack
