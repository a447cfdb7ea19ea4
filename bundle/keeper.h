// BundleKeeper decides which bundle is active at this router.
//
// A bundle is accepted if its version is higher than the active one's, two
// operators signed it, and its text parses without a problem. The bundle's
// source doesn't matter: the key-value service, a replayed watch event, a
// restored snapshot, or a peer. So an old version can never become active
// again; to roll back, operators sign the old text under a higher version.
//
//   BundleKeeper keeper(keys);
//   if (keeper.IsNewer(head)) keeper.Offer(head, FetchText(head));
//   const auto bundle = keeper.bundle();

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

// The value under the head key. The text is stored in chunks, each under its
// digest as the key, because the service limits the size of a value.
struct BundleHead {
  std::uint64_t version = 0;
  std::string digest;
  std::vector<std::string> chunks;
  std::vector<BundleSignature> signatures;
  // The operator who applied the bundle; shown to an operator whose concurrent
  // change is refused.
  std::string applied_by;
};

std::string EncodeHead(const BundleHead& head);
std::optional<BundleHead> DecodeHead(std::string_view text);

inline constexpr std::size_t kBundleChunkBytes = 512 * 1024;

// Splits a text into chunks of at most `kBundleChunkBytes`.
std::vector<std::string> CutIntoChunks(std::string_view text);

enum class BundleVerdict {
  kAccepted,
  kNotNewer,
  kWrongDigest,
  kTooFewSignatures,
  kUnreadable,
  kVersionMismatch,
};

template <>
struct EnumTable<BundleVerdict> {
  static constexpr auto kEntries = std::to_array<EnumEntry<BundleVerdict>>(
      {{BundleVerdict::kAccepted, "taken"},
       {BundleVerdict::kNotNewer, "not_newer"},
       {BundleVerdict::kWrongDigest, "wrong_digest"},
       {BundleVerdict::kTooFewSignatures, "too_few_signatures"},
       {BundleVerdict::kUnreadable, "unreadable"},
       {BundleVerdict::kVersionMismatch, "version_mismatch"}});
};

class BundleKeeper {
 public:
  explicit BundleKeeper(OperatorKeys keys) : keys_(std::move(keys)) {}

  // Whether a head is newer, so that its text should be fetched.
  bool IsNewer(const BundleHead& head) const {
    return head.version > version();
  }

  // Makes the bundle active if it is acceptable; returns the decision.
  BundleVerdict Offer(const BundleHead& head, std::string_view text);

  std::uint64_t version() const { return bundle_ ? bundle_->version : 0; }
  // The active bundle; nullptr before the first one. Requests keep the bundle
  // they started with.
  std::shared_ptr<const Bundle> bundle() const { return bundle_; }

 private:
  OperatorKeys keys_;
  std::shared_ptr<const Bundle> bundle_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BUNDLE_KEEPER_H_
