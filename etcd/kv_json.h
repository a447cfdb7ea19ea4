// The JSON of the etcd v3 gateway, as far as KvClient speaks it.

#ifndef QUAYTRACK_ETCD_KV_JSON_H_
#define QUAYTRACK_ETCD_KV_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "etcd/kv.h"

namespace quaytrack {

std::string TxnToJson(const KvTxn& txn);
// Sets everything but `end`; empty when `text` isn't a reply.
std::optional<KvTxnReply> TxnReplyFromJson(std::string_view text);
std::optional<KvLeaseReply> LeaseReplyFromJson(std::string_view text);
std::string WatchToJson(const std::string& prefix, std::int64_t after_revision);

struct KvWatchReply {
  std::int64_t revision = 0;
  std::vector<KvWatchEvent> events;
  bool cancelled = false;
};
std::optional<KvWatchReply> WatchReplyFromJson(std::string_view line);

// The first key after all that start with `prefix`.
std::string PrefixEnd(std::string prefix);

}  // namespace quaytrack

#endif  // QUAYTRACK_ETCD_KV_JSON_H_
