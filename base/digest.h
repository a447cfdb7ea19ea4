// Digests, text encodings, random names, and hashes that are the same in every
// process. Digests and random bytes come from OpenSSL.
//
//   const std::string name = "vm-7@" + RandomHex(4);   // 8 digits
//   const std::uint64_t n = StableHash(budget) % shards;
//   // The VM with the highest weight serves the customer.
//   const auto weight = RendezvousWeight(vm, customer);
//
// Values that were stored or sent depend on `Sha256Hex`, `StableHash` and
// `RendezvousWeight`: two versions of quaytrack in one fleet must compute the
// same results, so none of these functions may ever change.
//
// Lengths are in bytes. Only decoding can fail; it then returns std::nullopt.

#ifndef QUAYTRACK_BASE_DIGEST_H_
#define QUAYTRACK_BASE_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quaytrack {

// Returns the SHA-256 of `data` as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view data);

// Encodes each byte as two lower-case hex digits.
std::string HexEncode(std::string_view bytes);
// Encodes as Base64 with padding (RFC 4648, section 4).
std::string Base64Encode(std::string_view bytes);

// Returns std::nullopt if `text` isn't valid Base64 with padding.
std::optional<std::string> Base64Decode(std::string_view text);

// Returns `bytes` random bytes as hex, for names that must not collide.
std::string RandomHex(std::size_t bytes);

// Returns a 64-bit hash: FNV-1a with the finalizer of MurmurHash3. The hash
// doesn't resist collisions between inputs that are chosen on purpose.
std::uint64_t StableHash(std::string_view data);

// Returns the weight of `name` for `key` in rendezvous hashing (Thaler and
// Ravishankar 1998): the name with the highest weight gets the key. Processes
// that know the same names choose the same name, and removing a name moves only
// its keys.
std::uint64_t RendezvousWeight(const std::string& name, const std::string& key);

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_DIGEST_H_
