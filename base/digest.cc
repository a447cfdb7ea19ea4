#include "base/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <vector>

namespace quaytrack {

std::string HexEncode(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (char it : bytes) {
    const auto b = static_cast<unsigned char>(it);
    out.push_back(kDigits[b >> 4]);
    out.push_back(kDigits[b & 15]);
  }
  return out;
}

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         buf.data());
  return HexEncode({reinterpret_cast<const char*>(buf.data()), buf.size()});
}

std::string Base64Encode(std::string_view bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

std::optional<std::string> Base64Decode(std::string_view text) {
  if (text.empty()) return std::string();
  if (text.size() % 4 != 0) return std::nullopt;
  std::string out(text.size() / 4 * 3, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) return std::nullopt;
  std::size_t size = static_cast<std::size_t>(n);
  if (text.ends_with("==")) {
    size -= 2;
  } else if (text.ends_with("=")) {
    size -= 1;
  }
  out.resize(size);
  return out;
}

std::string RandomHex(std::size_t bytes) {
  std::string buf(bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(buf.data()),
             static_cast<int>(bytes));
  return HexEncode(buf);
}

std::uint64_t StableHash(std::string_view data) {
  std::uint64_t h = 14695981039346656037ULL;
  for (char it : data) {
    h ^= static_cast<unsigned char>(it);
    h *= 1099511628211ULL;
  }
  // FNV's high bits are weak on short strings; this is the 64-bit finalizer
  // of MurmurHash3 (Appleby).
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  h ^= h >> 33;
  return h;
}

std::uint64_t RendezvousWeight(const std::string& name,
                               const std::string& key) {
  return StableHash(name + "/" + key);
}

}  // namespace quaytrack
