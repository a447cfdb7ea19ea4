// BundleKeeper decides which bundle is in force at this router.
//
// A bundle is taken if its version is higher than the one in force, two
// operators signed it, and its text reads without a problem. Where it came from
// doesn't matter: the key-value service, a replayed watch event, a restored
// snapshot, or a peer. So an old version can never come back, and to roll back
// means to sign the old text under a higher version.

#ifndef QUAYTRACK_BUNDLE_KEEPER_H_
#define QUAYTRACK_BUNDLE_KEEPER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_table.h"
#include "bundle/bundle.h"
#include "bundle/signing.h"

namespace quaytrack {

// What is stored under the head key. The text is stored in chunks, each under
// its own digest, as a value may not pass the service's size limit.
struct BundleHead {
  std::uint64_t version = 0;
  std::string digest;
  std::vector<std::string> chunks;
  std::vector<BundleSignature> signatures;
  // The operator who applied it; told to whoever loses a race.
  std::string applied_by;
};

std::string EncodeHead(const BundleHead& head);
std::optional<BundleHead> DecodeHead(std::string_view text);

inline constexpr std::size_t kBundleChunkBytes = 512 * 1024;

// Cuts a text into chunks of at most `kBundleChunkBytes`.
std::vector<std::string> CutIntoChunks(std::string_view text);

enum class BundleVerdict {
  kTaken,
  kNotNewer,
  kWrongDigest,
  kTooFewSignatures,
  kUnreadable,
  kVersionMismatch,
};

template <>
struct EnumTable<BundleVerdict> {
  static constexpr auto kEntries = std::to_array<EnumEntry<BundleVerdict>>(
      {{BundleVerdict::kTaken, "taken"},
       {BundleVerdict::kNotNewer, "not_newer"},
       {BundleVerdict::kWrongDigest, "wrong_digest"},
       {BundleVerdict::kTooFewSignatures, "too_few_signatures"},
       {BundleVerdict::kUnreadable, "unreadable"},
       {BundleVerdict::kVersionMismatch, "version_mismatch"}});
};

class BundleKeeper {
 public:
  explicit BundleKeeper(OperatorKeys keys) : keys_(std::move(keys)) {}

  // Whether a head is worth fetching the text for.
  bool IsNewer(const BundleHead& head) const {
    return head.version > version();
  }

  BundleVerdict Offer(const BundleHead& head, std::string_view text);

  std::uint64_t version() const { return bundle_ ? bundle_->version : 0; }
  // Null before the first bundle. Requests keep the one they began with.
  std::shared_ptr<const Bundle> bundle() const { return bundle_; }

 private:
  OperatorKeys keys_;
  std::shared_ptr<const Bundle> bundle_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BUNDLE_KEEPER_H_
