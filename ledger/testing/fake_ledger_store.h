// A fake of the key-value service as the ledger uses it, for tests.
//
// `Apply` refuses stale commits. A test simulates a lost answer by not
// reporting the result of `Apply`, and a write that takes effect after its
// sender gave up by `Delay` and `ApplyDelayed`.

#ifndef QUAYTRACK_LEDGER_TESTING_FAKE_LEDGER_STORE_H_
#define QUAYTRACK_LEDGER_TESTING_FAKE_LEDGER_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger/sync.h"

namespace quaytrack {

class FakeLedgerStore {
 public:
  ShardState Read(int shard) const {
    auto it = shards_.find(shard);
    if (it == shards_.end()) return {shard, 0, {}};
    return it->second;
  }

  std::vector<ShardState> Read(const std::vector<int>& shards) const {
    std::vector<ShardState> out;
    for (int it : shards) out.push_back(Read(it));
    return out;
  }

  // Applies the commit if every comparison holds.
  bool Apply(const Incarnation& writer, const LedgerCommit& commit) {
    for (const ShardState& it : commit.shards) {
      if (Read(it.shard).revision != it.revision) return false;
    }
    for (const Bill& it : commit.batch.bills) {
      if (markers_.contains(it.marker)) return false;
    }
    ++revision_;
    ++writes_;
    for (const ShardState& it : commit.shards) {
      shards_[it.shard] = {it.shard, revision_, it.record};
    }
    for (const Bill& it : commit.batch.bills) {
      bills_.push_back(it);
      if (!it.marker.empty()) markers_.insert(it.marker);
    }
    writers_.insert(writer);
    return true;
  }

  // Keeps a commit whose sender has given up, for `ApplyDelayed`.
  void Delay(const Incarnation& writer, const LedgerCommit& commit) {
    delayed_.push_back({writer, commit});
  }
  // Tries to apply one of the delayed commits.
  void ApplyDelayed(std::size_t n) {
    if (delayed_.empty()) return;
    n %= delayed_.size();
    Apply(delayed_[n].writer, delayed_[n].commit);
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(n));
  }

  BudgetEntry Budget(const BudgetName& name) const {
    const LedgerRecord record = Read(ShardOf(name)).record;
    auto it = record.budgets.find(name);
    return it == record.budgets.end() ? BudgetEntry() : it->second;
  }

  // Replaces a record, as an operator's command does.
  void Put(int shard, const LedgerRecord& record) {
    shards_[shard] = {shard, ++revision_, record};
  }

  const std::vector<Bill>& bills() const { return bills_; }
  const std::set<std::string>& markers() const { return markers_; }
  std::int64_t revision() const { return revision_; }
  std::uint64_t writes() const { return writes_; }

 private:
  struct Delayed {
    Incarnation writer;
    LedgerCommit commit;
  };

  std::map<int, ShardState> shards_;
  std::vector<Bill> bills_;
  std::set<std::string> markers_;
  std::set<Incarnation> writers_;
  std::vector<Delayed> delayed_;
  std::int64_t revision_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_TESTING_FAKE_LEDGER_STORE_H_
