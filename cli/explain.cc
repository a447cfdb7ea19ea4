#include "cli/explain.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quaytrack {
namespace {

struct StateEvent {
  std::string_view event;
  std::string_view kind;
};

// Events that change a router's state, with the kind of state that each
// changes.
constexpr auto kStateEvents =
    std::to_array<StateEvent>({{"QT1001", "process"},
                               {"QT1003", "process"},
                               {"QT1012", "link"},
                               {"QT1013", "link"},
                               {"QT1101", "store"},
                               {"QT1102", "store"},
                               {"QT1203", "configuration"},
                               {"QT1308", "targets"},
                               {"QT1409", "budget"},
                               {"QT1412", "predecessor"}});

// Returns the time of a line. A text line begins with the time, and a JSON line
// has it as its first field.
std::string TimeOf(const std::string& line) {
  constexpr std::string_view kJsonTime = "{\"time\":\"";
  const bool json = line.starts_with(kJsonTime);
  const std::size_t begin = json ? kJsonTime.size() : 0;
  const std::size_t end = line.find_first_of(json ? "\"" : " ", begin);
  return line.substr(begin, end - begin);
}

std::string_view StateKindOf(const std::string& line) {
  for (const StateEvent& it : kStateEvents) {
    if (line.find(it.event) != std::string::npos) return it.kind;
  }
  return {};
}

// Whether a text or JSON line has the field with this value.
bool HasField(const std::string& line, const std::string& name,
              const std::string& value) {
  const std::string text = name + "=" + value;
  const std::string json = "\"" + name + "\":\"" + value + "\"";
  const std::size_t at = line.find(text);
  const std::size_t end = at + text.size();
  const bool matches =
      at != std::string::npos && (end == line.size() || line[end] == ' ');
  return matches || line.find(json) != std::string::npos;
}

}  // namespace

bool RequestTimeline::IsAbout(const std::string& line) const {
  return HasField(line, "request", request_) ||
         HasField(line, "fingerprint", request_);
}

void RequestTimeline::Add(const std::string& source, const std::string& line) {
  if (line.find("QT1") == std::string::npos) {
    ++unreadable_;
    return;
  }
  Line it{TimeOf(line), source, line};
  if (!IsAbout(line)) {
    const std::string_view kind = StateKindOf(line);
    if (!kind.empty()) states_[source][std::string(kind)] = std::move(it);
    return;
  }
  if (!states_before_.contains(source)) {
    std::vector<Line>& before = states_before_[source];
    for (const auto& [kind, state] : states_[source]) {
      before.push_back(state);
    }
  }
  lines_.push_back(std::move(it));
}

std::string RequestTimeline::Text() const {
  const auto earlier = [](const Line& a, const Line& b) {
    return a.time < b.time;
  };
  std::string out;
  for (const auto& [source, before] : states_before_) {
    std::vector<Line> sorted = before;
    std::stable_sort(sorted.begin(), sorted.end(), earlier);
    out += "what " + source + " believed:\n";
    for (const Line& it : sorted) out += "  " + it.text + "\n";
  }
  std::vector<Line> sorted = lines_;
  std::stable_sort(sorted.begin(), sorted.end(), earlier);
  out += "what happened to " + request_ + ":\n";
  for (const Line& it : sorted) out += "  " + it.source + "  " + it.text + "\n";
  return out;
}

}  // namespace quaytrack
