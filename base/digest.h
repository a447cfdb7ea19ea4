// Digests and text encodings, all by OpenSSL.

#ifndef QUAYTRACK_BASE_DIGEST_H_
#define QUAYTRACK_BASE_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

// SHA-256 of `data`, 64 lower-case hex digits.
std::string Sha256Hex(std::string_view data);

std::string HexEncode(std::string_view bytes);
std::string Base64Encode(std::string_view bytes);

// Empty when `text` is not valid padded base64.
std::optional<std::string> Base64Decode(std::string_view text);

// `bytes` random bytes as hex; for names that must not collide.
std::string RandomHex(std::size_t bytes);

// A stable 64-bit hash (FNV-1a with a final mix). Stable across processes and
// versions, as shard and rendezvous choices must agree between routers.
std::uint64_t StableHash(std::string_view data);

// How much `name` is wanted for `key`: who has the most weight is chosen, and
// all who know the names choose alike (Thaler and Ravishankar 1998).
std::uint64_t RendezvousWeight(const std::string& name, const std::string& key);

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_DIGEST_H_
