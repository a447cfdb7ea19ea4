// PrepaidStore runs the cycle between the prepaid ledger and the store.
//
//   PrepaidStore store(loop, clock, kv, self, ledger, handlers);
//   store.Start();          // runs the cycle every `kCycleInterval`
//   store.RunCycle();       // something is due now
//   store.ScheduleCycle();   // the same, a few milliseconds later
//
// One cycle does what the ledger says is due: it reads the store's values, or
// writes this router's spend account, together with the record if that has to
// change. At most one call is in progress. The outcome of each call goes back
// to the ledger, which alone decides how it affects what may be spent; in
// particular, a write without an answer may or may not have been applied
// (prepaid/prepaid_ledger.h).
//
// Owns the store's two kinds of keys:
//   quaytrack/prepaid               the record, of all routers
//   quaytrack/spend/<incarnation>   the spend account of one router
// After the store came back from an older copy of itself, "/" and the era
// follow the key (KeyRevision). The write that replaces a key of an earlier era
// also removes it; if a late write creates it again, the value of the latest
// era counts.
//
// Errors. A value that can't be decoded is logged (record_refused) and is never
// overwritten: without the record there is no grant. The loss and the return of
// the store are logged (kv_lost, kv_back) and reported.

#ifndef QUAYTRACK_RELAY_PREPAID_STORE_H_
#define QUAYTRACK_RELAY_PREPAID_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "kv/store.h"
#include "net/loop.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/work_pacer.h"

namespace quaytrack {

class PrepaidStore {
 public:
  struct Handlers {
    // Called when the ledger was updated, and may allow more to be spent.
    std::function<void()> ledger_changed;
    // Called when the store was lost (false) or is back (true).
    std::function<void(bool)> reachable;
  };

  PrepaidStore(Loop& loop, const Clock& clock, KvStore& store, Incarnation self,
               PrepaidLedger& ledger, Handlers handlers);

  void Start();
  void RunCycle();
  void ScheduleCycle();
  // Called when the store has come back in a later era (kv/store.h).
  void OnStoreEra() { ScheduleCycle(); }
  bool reachable() const { return reachable_; }

 private:
  void ReadSpends();
  void OnSpends(const StoreSnapshot& snapshot);
  void OnRecord(const StoreSnapshot& snapshot);
  bool DecodeRecord(const std::vector<StoreItem>& items);
  StoreWrite ToStore(const PrepaidWrite& write) const;
  void OnWritten(const StoreWritten& written);
  void OnRejected(const std::vector<StoreItem>& present);
  void SetReachable(bool reachable);
  void LogCharged() const;
  void LogWritten(std::int64_t revision) const;
  void LogPresumed() const;
  void LogDeclared() const;

  Loop& loop_;
  const Clock& clock_;
  KvStore& store_;
  Incarnation self_;
  PrepaidLedger& ledger_;
  Handlers on_;
  KvStore::CallPtr call_;
  // The write in progress.
  PrepaidWrite write_;
  // The results so far of the read in progress.
  PrepaidState read_;
  std::unique_ptr<Timer> cycle_timer_;
  std::unique_ptr<Timer> delayed_cycle_timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool reachable_ = true;
  // Upper bound of the pause before a rejected write is retried.
  int max_jitter_ms_;
  // Paces the work on the record, which grows with customers and holders.
  WorkPacer pacer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PREPAID_STORE_H_
