// Converts ledger records and commits to key-value transactions and back
// (key names: etcd/keys.h). A record that can't be decoded is read as an empty
// one. Pure functions.

#ifndef QUAYTRACK_ROUTER_LEDGER_CODEC_H_
#define QUAYTRACK_ROUTER_LEDGER_CODEC_H_

#include <cstdint>
#include <vector>

#include "etcd/etcd_client.h"
#include "ledger/sync.h"

namespace quaytrack {

// Returns the record that was read, or an empty one if its key doesn't exist.
ShardState ShardFromKv(int shard, const std::vector<EtcdItem>& found);

// Returns the transaction that writes a commit whose batch belongs to `writer`.
EtcdTxn TxnFor(const Incarnation& writer, const LedgerCommit& commit,
               std::int64_t marker_lease);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_LEDGER_CODEC_H_
