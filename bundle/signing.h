// Signs bundles with Ed25519, and verifies that two different operators signed
// them.
//
// A signature covers the version and the digest of the text, so a signed text
// can't be presented under another version. The operators' public keys are in
// each router's settings and not in the bundle, as a bundle must not be able to
// name its signers. All keys and signatures are in base64.

#ifndef QUAYTRACK_BUNDLE_SIGNING_H_
#define QUAYTRACK_BUNDLE_SIGNING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quaytrack {

inline constexpr std::size_t kSignaturesNeeded = 2;

// A key pair; each key is the base64 of its 32 raw bytes.
struct OperatorKeyPair {
  std::string private_key;
  std::string public_key;
};

struct BundleSignature {
  std::string operator_name;
  std::string signature;  // base64
};

// Public keys by operator.
using OperatorKeys = std::map<std::string, std::string>;

OperatorKeyPair MakeOperatorKeyPair();

// Returns std::nullopt if `private_key` isn't a key.
std::optional<std::string> SignBundle(const std::string& private_key,
                                      std::uint64_t version,
                                      std::string_view text);

// Returns the number of different operators in `keys` with a valid signature of
// this version and text.
std::size_t CountValidSignatures(
    const OperatorKeys& keys, std::uint64_t version, std::string_view text,
    const std::vector<BundleSignature>& signatures);

}  // namespace quaytrack

#endif  // QUAYTRACK_BUNDLE_SIGNING_H_
