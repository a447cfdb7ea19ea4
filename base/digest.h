// Digests, text encodings and stable hashes.
//
//   const std::string id = Sha256Hex(text);
//   const std::optional<std::string> bytes = Base64Decode(text);
//   const std::uint64_t weight = RendezvousWeight(target, part);
//
// SHA-256, base64 and random bytes are OpenSSL's; the hash and the rendezvous
// weight are written out here, since routers of different builds must agree on
// them. Changing either moves every shard and every preferred target.

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
