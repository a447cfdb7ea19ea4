#include "net/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace quaytrack {
namespace {

constexpr auto kHopHeaders = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer",
     "transfer-encoding", "upgrade", "proxy-authenticate",
     "proxy-authorization", "content-length", "expect"});

struct StatusReason {
  int status;
  std::string_view reason;
};

constexpr auto kReasons =
    std::to_array<StatusReason>({{200, "OK"},
                                 {400, "Bad Request"},
                                 {401, "Unauthorized"},
                                 {402, "Payment Required"},
                                 {404, "Not Found"},
                                 {408, "Request Timeout"},
                                 {413, "Content Too Large"},
                                 {421, "Misdirected Request"},
                                 {429, "Too Many Requests"},
                                 {431, "Request Header Fields Too Large"},
                                 {502, "Bad Gateway"},
                                 {503, "Service Unavailable"},
                                 {504, "Gateway Timeout"}});

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// The first statuses of an interim response and behind those of all others
// (RFC 9110, 15), and that of a change of the protocol.
constexpr int kFirstStatus = 100;
constexpr int kEndOfStatuses = 600;
constexpr int kSwitchingProtocols = 101;

constexpr std::string_view kVersionBegin = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool IsDigit(char it) { return it >= '0' && it <= '9'; }

std::string LowerCase(std::string_view text) {
  std::string out(text);
  for (char& it : out)
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return out;
}

// Memory that a string takes beside itself.
std::size_t HeapBytes(const std::string& text) {
  static const std::size_t kInline = std::string().capacity();
  return text.capacity() > kInline ? text.capacity() + 1 : 0;
}

}  // namespace

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpHeader& it : headers) {
    if (SameHeaderName(it.name, name)) return &it.value;
  }
  return nullptr;
}

int HttpHead::Count(std::string_view name) const {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [&](const HttpHeader& it) { return SameHeaderName(it.name, name); }));
}

std::string_view HttpHead::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::size_t HttpHead::MemoryBytes() const {
  std::size_t out = HeapBytes(target) + headers.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& it : headers)
    out += HeapBytes(it.name) + HeapBytes(it.value);
  return out;
}

HopHeaders::HopHeaders(const HttpHead& head) {
  for (const HttpHeader& it : head.headers) {
    if (!SameHeaderName(it.name, "connection")) continue;
    std::string_view list = it.value;
    while (!list.empty()) {
      const std::size_t comma = std::min(list.find(','), list.size());
      listed_.insert(LowerCase(Trimmed(list.substr(0, comma))));
      list.remove_prefix(std::min(comma + 1, list.size()));
    }
  }
}

bool HopHeaders::Contains(std::string_view name) const {
  const auto is_name = [name](std::string_view it) {
    return SameHeaderName(it, name);
  };
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(), is_name) ||
         (!listed_.empty() && listed_.contains(LowerCase(name)));
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char it) {
    const auto c = static_cast<unsigned char>(it);
    return (c < 0x20 && c != '\t') || c == 0x7f;
  });
}

std::optional<int> ReadStatusLine(std::string_view line) {
  constexpr std::size_t kStatusAt = kVersionBegin.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusAt + kStatusDigits;
  if (line.size() < kStatusEnd || !line.starts_with(kVersionBegin) ||
      !IsDigit(line[kVersionBegin.size()]) || line[kStatusAt - 1] != ' ')
    return std::nullopt;
  int out = 0;
  for (char it : line.substr(kStatusAt, kStatusDigits)) {
    if (!IsDigit(it)) return std::nullopt;
    out = out * 10 + (it - '0');
  }
  const std::string_view reason = line.substr(kStatusEnd);
  const bool is_ended = reason.empty() || reason.front() == ' ';
  const bool is_status =
      out >= kFirstStatus && out < kEndOfStatuses && out != kSwitchingProtocols;
  if (!is_ended || !is_status || HasControl(reason)) return std::nullopt;
  return out;
}

std::string_view ReasonOf(int status) {
  for (const StatusReason& it : kReasons) {
    if (it.status == status) return it.reason;
  }
  return "Status";
}

}  // namespace quaytrack
