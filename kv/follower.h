// StoreFollower reads all items below a prefix of the store and follows their
// changes.
//
//   StoreFollower::Options options;
//   options.prefix = "op/";
//   StoreFollower follower(loop, store, options, handlers);
//   follower.Start();
//   follower.RestartWait();       // the current wait may have been lost
//
// It reads all items, then waits for changes after that revision (a long poll),
// and reads all items again when the store no longer has the changes since. A
// failed call is retried after `retry_after`, without limit; what the handlers
// have received stays valid. Handlers receive all items, each change, and
// whether the store is reachable.
//
// Each answer costs a call, and a single change is answered at once. When many
// changes come one by one, as at the start of a fleet, each would cost every
// follower a call; so after an answer with changes the next wait starts
// `spacing` later, and its answer holds all changes since.
//
// The store answers with the current value of an item. If an item changes twice
// between two answers, a follower may see only the later value.
//
// Two functions save calls where many routers follow the same prefix
// (relay/state_feed.h). A caller that has received all changes up to a revision
// from elsewhere calls `SkipTo`; earlier changes in the answer of the running
// call are then ignored, so the handlers never receive an older state than the
// known one. `Pause` stops the calls until `Resume` continues.
//
// A store that was restored from an older copy (kv/store.h) is in a later era.
// All items are then read again, however the revision numbers compare;
// `CheckEra` does so when another call has shown the era. The store may hold a
// wait from a number that exists in the later era too without an answer, so the
// first wait after a failed call is short: its answer names the era.
//
// It owns its call and timer. Loop and store must outlive it. Revisions are
// those of the store (kv/store.h); times are measured by the loop.

#ifndef QUAYTRACK_KV_FOLLOWER_H_
#define QUAYTRACK_KV_FOLLOWER_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kv/store.h"
#include "net/loop.h"

namespace quaytrack {

class StoreFollower {
 public:
  struct Options {
    std::string prefix;
    // Longest duration of one wait for changes. A wait that the network or the
    // store has lost is noticed a little later than this, or when `RestartWait`
    // is called. With 3 s, waits were a third of the calls of a router in a
    // large fleet.
    Duration wait_timeout = std::chrono::milliseconds(8000);
    // Average delay from a failed call to the next. It doubles with each
    // further failure up to `longest_retry`.
    Duration retry_after = std::chrono::milliseconds(250);
    Duration longest_retry = std::chrono::milliseconds(250);
    // From an answer with changes to the next wait. Without it each of 143
    // targets cost each router a call at the start of a fleet.
    Duration spacing = std::chrono::milliseconds(200);
  };
  struct Handlers {
    // All items that exist; any other reported before has been removed.
    std::function<void(const std::vector<StoreItem>& items)> replaced;
    std::function<void(const StoreChange& change)> changed;
    // After each read, and each answer that brought changes.
    std::function<void()> settled;
    // The store became unreachable (false) or reachable again (true).
    std::function<void(bool reachable)> reachable;
    // The store has answered. The calls of `replaced` or `changed` that follow,
    // if any, complete the state as of this answer. Optional.
    std::function<void()> answered = {};
  };

  StoreFollower(Loop& loop, KvStore& store, Options options, Handlers handlers);

  void Start() { Read(); }
  // Replaces the current wait, which may have been lost, by a new one. Does
  // nothing during a read or the delay before the next call.
  void RestartWait();
  // Makes no calls until `Resume`.
  void Pause();
  // Continues after the last revision that was reported or skipped.
  void Resume();
  // Reads all items again.
  void ReadAgain() { Resume(&StoreFollower::Read); }
  // Reads all items again if the store is in a later era than the last read.
  void CheckEra();
  // Tells the follower that its user has received all changes up to `revision`
  // from elsewhere; `latest` is the revision of the last of them.
  void SkipTo(StoreRevision revision, StoreRevision latest);
  // Both hold from the next call on; see `Options`.
  void SetWaitTimeout(Duration timeout) { options_.wait_timeout = timeout; }
  void SetRetry(Duration first, Duration longest);

  // A wait is running, so the store would report a change at once.
  bool IsWaiting() const { return has_read_ && call_; }
  // All changes up to this one have been reported or skipped; 0 before the
  // first read.
  StoreRevision revision() const { return revision_; }
  // Revision of the latest change that was reported.
  StoreRevision latest_change() const { return latest_change_; }
  // Whether a change of that revision is part of what the handlers received. A
  // removal before the first read shows as a missing item.
  bool HasRead(StoreRevision revision) const {
    return revision <= std::max(revision_, latest_change_);
  }

 private:
  void Read();
  void Wait();
  void Resume(void (StoreFollower::*call)());
  void OnSnapshot(const StoreSnapshot& snapshot);
  void IgnoreOlder(StoreRevision revision);
  void OnChanges(const StoreChanges& changes);
  // After `delay`, waits, or reads if all items have to be read.
  void CallLater(Duration delay);
  void RetryLater();
  void SetReachable(bool reachable);

  Loop& loop_;
  KvStore& store_;
  Options options_;
  Handlers on_;
  StoreRevision revision_;
  // `revision_` at the start of the current wait.
  StoreRevision wait_start_revision_;
  // `revision_` at the start of the current read.
  StoreRevision read_start_revision_;
  StoreRevision latest_change_;
  // All items were read, so the follower can wait for changes.
  bool has_read_ = false;
  bool reachable_ = true;
  bool logged_older_ = false;
  // The last call that ended has failed.
  bool has_failed_ = false;
  bool paused_ = false;
  // The delay after the next failure.
  Duration retry_after_;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  std::unique_ptr<Timer> call_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_FOLLOWER_H_
