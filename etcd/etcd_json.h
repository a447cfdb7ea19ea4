// Encodes and decodes the JSON of the etcd v3 gateway for EtcdClient. Keys and
// values are base64, 64-bit numbers are strings, and zeros are omitted. Pure
// functions; decoding an invalid reply returns std::nullopt.

#ifndef QUAYTRACK_ETCD_ETCD_JSON_H_
#define QUAYTRACK_ETCD_ETCD_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "etcd/etcd_client.h"

namespace quaytrack {

std::string TxnToJson(const EtcdTxn& txn);
// Returns the reply with all fields but `end` set, or std::nullopt if `text`
// isn't a valid reply.
std::optional<EtcdTxnReply> TxnReplyFromJson(std::string_view text);
std::optional<EtcdLeaseReply> LeaseReplyFromJson(std::string_view text);
std::string WatchToJson(const std::string& prefix, std::int64_t after_revision);

struct EtcdWatchReply {
  std::int64_t revision = 0;
  std::vector<EtcdWatchEvent> events;
  bool cancelled = false;
};
std::optional<EtcdWatchReply> WatchReplyFromJson(std::string_view line);

// Returns the first key after all keys that start with `prefix`.
std::string PrefixEnd(std::string prefix);

}  // namespace quaytrack

#endif  // QUAYTRACK_ETCD_ETCD_JSON_H_
