#include "base/packed_text.h"

#include <zlib.h>

#include <cstdint>

namespace quaytrack {
namespace {

// The first byte of a packed text.
constexpr char kPlain = 'p';
constexpr char kZlib = 'z';
// The length of the text follows `kZlib`, in this many bytes, lowest first.
constexpr std::size_t kLengthBytes = 4;
// A shorter text isn't worth the processor time.
constexpr std::size_t kMinBytes = 1024;

std::string Plain(std::string_view text) {
  return std::string(1, kPlain).append(text);
}

void AppendLength(std::size_t length, std::string& out) {
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    out += static_cast<char>(length >> (8 * n) & 0xff);
  }
}

std::size_t LengthFrom(std::string_view bytes) {
  std::size_t out = 0;
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    out |= std::size_t{static_cast<std::uint8_t>(bytes[n])} << (8 * n);
  }
  return out;
}

const Bytef* Bytes(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string PackText(std::string_view text) {
  if (text.size() < kMinBytes || text.size() > UINT32_MAX) return Plain(text);
  std::string out(1, kZlib);
  AppendLength(text.size(), out);
  const std::size_t head = out.size();
  uLongf size = compressBound(text.size());
  out.resize(head + size);
  auto* to = reinterpret_cast<Bytef*>(out.data() + head);
  const int rc = compress2(to, &size, Bytes(text), text.size(), Z_BEST_SPEED);
  if (rc != Z_OK || head + size > text.size()) return Plain(text);
  out.resize(head + size);
  return out;
}

std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t max_bytes) {
  if (packed.empty()) return std::nullopt;
  const char kind = packed.front();
  packed.remove_prefix(1);
  if (kind == kPlain && packed.size() <= max_bytes) return std::string(packed);
  if (kind != kZlib || packed.size() < kLengthBytes) return std::nullopt;
  const std::size_t length = LengthFrom(packed);
  packed.remove_prefix(kLengthBytes);
  if (length > max_bytes) return std::nullopt;
  std::string out(length, '\0');
  uLongf size = length;
  const int rc = uncompress(reinterpret_cast<Bytef*>(out.data()), &size,
                            Bytes(packed), packed.size());
  if (rc != Z_OK || size != length) return std::nullopt;
  return out;
}

}  // namespace quaytrack
