#include "http/tunnel.h"

#include <algorithm>
#include <charconv>

namespace quaytrack {
namespace {

constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Bytes of a head. Requests and answers have about a hundred.
constexpr std::size_t kMaxHeadBytes = 1024;

}  // namespace

std::string TunnelRequest(const std::string& address) {
  return std::string(kTunnelMethod) + address + " " + std::string(kVersion) +
         "\r\nHost: " + address + std::string(kHeadEnd);
}

std::string TunnelAnswer(TunnelStatus status) {
  std::string out = std::string(kVersion) + " " +
                    std::to_string(static_cast<int>(status)) + " " +
                    std::string(NameOf(status));
  if (status != TunnelStatus::kOpen) out += "\r\nContent-Length: 0";
  return out + std::string(kHeadEnd);
}

std::size_t TunnelHead::Feed(std::string_view bytes) {
  if (complete_ || malformed_) return 0;
  const std::size_t before = text_.size();
  text_.append(bytes.substr(0, kMaxHeadBytes));
  const std::size_t end = text_.find(kHeadEnd);
  if (end == std::string::npos) {
    malformed_ = text_.size() >= kMaxHeadBytes;
    return bytes.size();
  }
  complete_ = true;
  text_.resize(end + kHeadEnd.size());
  return text_.size() - before;
}

std::optional<std::string> TunnelHead::TargetAddress() const {
  const std::string_view text = text_;
  if (!complete_ || !text.starts_with(kTunnelMethod)) return std::nullopt;
  const std::string_view rest = text.substr(kTunnelMethod.size());
  const std::size_t end = rest.find(' ');
  if (end == 0 || end == std::string::npos) return std::nullopt;
  if (!rest.substr(end + 1).starts_with(kVersion)) return std::nullopt;
  return std::string(rest.substr(0, end));
}

std::optional<TunnelStatus> TunnelHead::Status() const {
  const std::string_view text = text_;
  if (!complete_ || !text.starts_with(kVersion)) return std::nullopt;
  const std::size_t at = kVersion.size() + 1;
  if (text.size() <= at) return std::nullopt;
  int status = 0;
  std::from_chars(text.data() + at, text.data() + text.size(), status);
  const auto& known = EnumTable<TunnelStatus>::kEntries;
  const auto it = std::find_if(
      known.begin(), known.end(),
      [status](const auto& e) { return static_cast<int>(e.value) == status; });
  if (it == known.end()) return std::nullopt;
  return it->value;
}

}  // namespace quaytrack
