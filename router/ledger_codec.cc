#include "router/ledger_codec.h"

#include "etcd/keys.h"

namespace quaytrack {

ShardState ShardFromKv(int shard, const std::vector<EtcdItem>& found) {
  ShardState out;
  out.shard = shard;
  if (found.empty()) return out;
  out.revision = found[0].mod_revision;
  out.record = DecodeRecord(found[0].value).value_or(LedgerRecord());
  return out;
}

EtcdTxn TxnFor(const Incarnation& writer, const LedgerCommit& commit,
               std::int64_t marker_lease) {
  EtcdTxn out;
  for (const ShardState& it : commit.shards) {
    const std::string key = keys::Ledger(it.shard);
    out.compares.push_back(EtcdCompare::Revision(key, it.revision));
    out.puts.push_back({key, EncodeRecord(it.record), 0});
  }
  for (int it : commit.need) {
    out.puts.push_back({keys::Need(it), writer.value, 0});
  }
  if (!commit.batch.bills.empty()) {
    const std::string journal = keys::Journal(writer, commit.batch.seq);
    out.compares.push_back(EtcdCompare::Revision(journal, 0));
    out.puts.push_back({journal, EncodeBatch(commit.batch), 0});
  }
  for (const Bill& it : commit.batch.bills) {
    if (it.marker.empty()) continue;
    const std::string marker = keys::Billed(it.marker);
    out.compares.push_back(EtcdCompare::Revision(marker, 0));
    out.puts.push_back({marker, it.bill_id, marker_lease});
  }
  return out;
}

}  // namespace quaytrack
