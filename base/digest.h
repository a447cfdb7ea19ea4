// Digests, text encodings, random names, and hashes that all processes agree
// on. Digests and random bytes come from OpenSSL.
//
//   const std::string name = "vm-7@" + RandomHex(4);   // 8 digits
//   const std::uint64_t n = StableHash(budget) % shards;
//   // Who is asked for a customer: the highest weight.
//   const auto weight = RendezvousWeight(vm, customer);
//
// Values that were stored or sent depend on `Sha256Hex`, `StableHash` and
// `RendezvousWeight`: two versions of quaytrack in one fleet must compute the
// same, so none of them may ever change.
//
// Lengths are in bytes. Only decoding can fail, and then it returns nothing.

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

// Two lower-case digits for each byte.
std::string HexEncode(std::string_view bytes);
// With padding (RFC 4648, section 4).
std::string Base64Encode(std::string_view bytes);

// Empty when `text` isn't valid padded base64.
std::optional<std::string> Base64Decode(std::string_view text);

// `bytes` random bytes as hex; for names that must not collide.
std::string RandomHex(std::size_t bytes);

// A 64-bit hash: FNV-1a with the final mix of MurmurHash3. It isn't meant to
// withstand callers who choose their input.
std::uint64_t StableHash(std::string_view data);

// Rendezvous hashing (Thaler and Ravishankar 1998): among the names for a key,
// the one with the highest weight is chosen. All who know the same names choose
// alike, and a name that goes moves only the keys that it had.
std::uint64_t RendezvousWeight(const std::string& name, const std::string& key);

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_DIGEST_H_
