// Names of all keys that quaytrack uses in the key-value service.
//
//   const std::string key = keys::Ledger(7);   // "qt/ledger/7"
//
// Later versions of quaytrack read the values stored under these keys, so no
// name may change. All names start with "qt/", as the service may also have
// keys of other programs.

#ifndef QUAYTRACK_ETCD_KEYS_H_
#define QUAYTRACK_ETCD_KEYS_H_

#include <cstdint>
#include <cstdio>
#include <string>

#include "base/digest.h"
#include "base/ids.h"
#include "claim/claim.h"

namespace quaytrack::keys {

inline const std::string kBundleHead = "qt/bundle/head";
inline const std::string kLedgerPrefix = "qt/ledger/";
inline const std::string kJournalPrefix = "qt/journal/";
inline const std::string kRouterPrefix = "qt/router/";

inline std::string BundleChunk(const std::string& digest) {
  return "qt/bundle/chunk/" + digest;
}

inline std::string Ledger(int shard) {
  return kLedgerPrefix + std::to_string(shard);
}

// Prefix of the keys that a router writes to request that the routers read a
// ledger record immediately; the value is the incarnation of the requesting
// router.
inline const std::string kNeedPrefix = "qt/need/";
inline std::string Need(int shard) {
  return kNeedPrefix + std::to_string(shard);
}

// Prefix of the keys of all batches of one router.
inline std::string JournalOf(const Incarnation& writer) {
  return kJournalPrefix + writer.value + "/";
}

// Key of one batch. The number is zero-padded, so that the batches of a router
// sort by number.
inline std::string Journal(const Incarnation& writer, std::uint64_t seq) {
  char buf[24];
  std::snprintf(buf, sizeof buf, "%012llu",
                static_cast<unsigned long long>(seq));
  return JournalOf(writer) + buf;
}

// Key of the marker that a request with a caller's key has been billed.
inline std::string Billed(const std::string& marker) {
  return "qt/billed/" + marker;
}

// Key of a claim. Callers choose their idempotency keys, so these are hashed to
// limit the length of the name.
inline std::string Claim(const ClaimKey& it) {
  return "qt/claim/" + it.customer.value + "/" + Sha256Hex(it.key.value);
}

inline std::string Router(const Incarnation& it) {
  return kRouterPrefix + it.value;
}

}  // namespace quaytrack::keys

#endif  // QUAYTRACK_ETCD_KEYS_H_
