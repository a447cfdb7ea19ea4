#include "http/tunnel.h"

#include <algorithm>

#include "net/http_message.h"

namespace quaytrack {
namespace {

constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Bytes of a head. Requests and answers have about a hundred.
constexpr std::size_t kMaxHeadBytes = 1024;

// The header line that asks for frames and confirms them.
constexpr std::string_view kFramesLine = "\r\nTunnel-Frames: 1";

// A frame's header: its kind, and the number of bytes that follow, in network
// byte order.
constexpr std::size_t kFrameHeaderBytes = 5;
constexpr char kDataFrame = 'D';
constexpr char kClosedFrame = 'C';
constexpr char kResetFrame = 'R';

std::string FrameHeader(char kind, std::uint32_t size) {
  std::string out(1, kind);
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((size >> shift) & 0xff));
  return out;
}

std::uint32_t SizeIn(std::string_view header) {
  std::uint32_t out = 0;
  for (char it : header.substr(1))
    out = (out << 8) | static_cast<unsigned char>(it);
  return out;
}

}  // namespace

std::string TunnelRequest(const std::string& address) {
  return std::string(kTunnelMethod) + address + " " + std::string(kVersion) +
         "\r\nHost: " + address + std::string(kFramesLine) +
         std::string(kHeadEnd);
}

std::string TunnelData(std::string_view bytes) {
  std::string out =
      FrameHeader(kDataFrame, static_cast<std::uint32_t>(bytes.size()));
  out += bytes;
  return out;
}

std::string TunnelEnd(SocketEnd end) {
  return FrameHeader(end == SocketEnd::kClosed ? kClosedFrame : kResetFrame, 0);
}

TunnelFrame TunnelFrames::Next(std::string_view& bytes) {
  if (left_ == 0) {
    const std::size_t missing = kFrameHeaderBytes - header_.size();
    header_.append(bytes.substr(0, missing));
    bytes.remove_prefix(std::min(missing, bytes.size()));
    if (header_.size() < kFrameHeaderBytes) return {};
    const char kind = header_.front();
    left_ = SizeIn(header_);
    header_.clear();
    if (kind == kDataFrame && left_ > 0) return Next(bytes);
    if (kind == kClosedFrame && left_ == 0) return {TunnelFrameKind::kClosed};
    if (kind == kResetFrame && left_ == 0) return {TunnelFrameKind::kReset};
    return {TunnelFrameKind::kMalformed};
  }
  if (bytes.empty()) return {};
  const std::string_view data = bytes.substr(0, left_);
  bytes.remove_prefix(data.size());
  left_ -= static_cast<std::uint32_t>(data.size());
  return {TunnelFrameKind::kData, data};
}

std::string TunnelAnswer(TunnelStatus status, bool framed) {
  std::string out = std::string(kVersion) + " " +
                    std::to_string(static_cast<int>(status)) + " " +
                    std::string(NameOf(status));
  if (status != TunnelStatus::kOpen) out += "\r\nContent-Length: 0";
  if (framed) out += kFramesLine;
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
  if (!complete_) return std::nullopt;
  const std::string_view text = text_;
  const auto status = ReadStatusLine(text.substr(0, text.find("\r\n")));
  if (!status) return std::nullopt;
  const auto& known = EnumTable<TunnelStatus>::kEntries;
  const auto it = std::find_if(known.begin(), known.end(), [&](const auto& e) {
    return static_cast<int>(e.value) == *status;
  });
  if (it == known.end()) return std::nullopt;
  return it->value;
}

bool TunnelHead::framed() const {
  return complete_ && text_.find(kFramesLine) != std::string::npos;
}

}  // namespace quaytrack
