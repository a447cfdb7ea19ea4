// StoreFollower reads all items below a prefix of the store and follows their
// changes.
//
//   StoreFollower::Options options;
//   options.prefix = "op/";
//   StoreFollower follower(loop, clock, store, options, handlers);
//   follower.Start();
//   follower.RestartWait();       // the current wait may have been lost
//
// A follower reads all items, then waits for changes after the revision of that
// read (a long poll). The follower reads all items again when the store no
// longer has all changes since the revision of a wait. A failed call is retried
// after `retry_after`, without limit; what the handlers have received stays
// valid. Handlers receive all items, each change, and whether the store is
// reachable.
//
// Each answer costs a call, and a single change is answered at once. When many
// changes come one by one, as at the start of a fleet, each change would cost
// every follower a call; so after an answer with changes the next wait starts
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
// `CheckEra` does so when another call has shown the era. If the revision
// number of a wait exists in the later era too, the store may leave the wait
// unanswered; so the first wait after a failed call is short, as its answer
// names the era.
//
// Nothing tells an open wait from one that was lost on its way. `Check` asks
// whether there are changes, without waiting for one. Its answer, like that of
// any call, shows all changes that were made before the call started;
// `answered` passes that time on.
//
// A wait or a read whose answer has begun to arrive is not started again: on a
// slow link the answer would never arrive as a whole.
//
// A follower owns its calls and timer. Loop, clock and store must outlive it.
// Revisions are those of the store (kv/store.h); times are measured by the
// loop.

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
    // Timeout of one wait for changes. A wait that the network or the store has
    // lost is noticed a little after this time, or when `RestartWait` is
    // called. A shorter timeout costs calls: with 3 s, a third of the calls of
    // a router in a large fleet are waits.
    Duration wait_timeout = std::chrono::milliseconds(8000);
    // Average delay from a failed call to the next. The delay doubles with each
    // further failure up to `longest_retry`.
    Duration retry_after = std::chrono::milliseconds(250);
    Duration longest_retry = std::chrono::milliseconds(250);
    // Delay from an answer with changes to the next wait. Without this delay,
    // the start of a fleet costs each router a call for each target: 143 calls
    // in a fleet of 143 targets.
    Duration spacing = std::chrono::milliseconds(200);
  };
  struct Handlers {
    // Receives all items that exist; any other item that was reported before
    // has been removed.
    std::function<void(const std::vector<StoreItem>& items)> replaced;
    std::function<void(const StoreChange& change)> changed;
    // Called after each read of all items, and after each answer that contained
    // changes.
    std::function<void()> settled;
    // Called when the store has become unreachable (false) or reachable again
    // (true).
    std::function<void(bool reachable)> reachable;
    // Called when the store has answered a call that started at `asked_at`. If
    // calls of `replaced` or `changed` follow, they complete the state: it then
    // includes all changes made before that time. Optional.
    std::function<void(Instant asked_at)> answered = {};
  };

  StoreFollower(Loop& loop, const Clock& clock, KvStore& store, Options options,
                Handlers handlers);

  void Start() { Read(); }
  // Replaces the current wait, which may have been lost, by a new one. Does
  // nothing during a read, while the wait's answer is arriving, or during the
  // delay before the next call.
  void RestartWait();
  // Asks the store whether there are changes after `revision()`. Does nothing
  // before the first read, during a pause, or while another check is open.
  void Check();
  // Makes no calls until `Resume`.
  void Pause();
  // Makes calls again: waits for changes after `revision()`, or reads all items
  // if they haven't been read.
  void Resume();
  // Reads all items again; this also ends a pause.
  void ReadAgain() { Resume(&StoreFollower::Read); }
  // Reads all items again if the store is in a later era than `revision()`,
  // unless the follower is paused or is reading.
  void CheckEra();
  // Tells the follower that its user has received all changes up to `revision`
  // from elsewhere; `latest` is the revision of the last of them.
  void SkipTo(StoreRevision revision, StoreRevision latest);
  // Changes `Options::retry_after` and `longest_retry`.
  void SetRetry(Duration first, Duration longest);

  // All changes up to this revision have been reported or skipped; 0 before the
  // first read.
  StoreRevision revision() const { return revision_; }
  // Revision of the latest change that was reported or skipped.
  StoreRevision latest_change() const { return latest_change_; }
  // Whether the change of `revision` has been reported or skipped. A removal
  // before the first read isn't reported as a change: the item is just absent
  // from the items of that read.
  bool HasRead(StoreRevision revision) const {
    return revision <= std::max(revision_, latest_change_);
  }

 private:
  void Read();
  void Wait();
  void Resume(void (StoreFollower::*call)());
  void OnSnapshot(const StoreSnapshot& snapshot);
  void IgnoreOlder(StoreRevision revision);
  void OnWaitAnswer(const StoreChanges& changes);
  void OnCheckAnswer(const StoreChanges& changes);
  // Takes the answer to a wait or a check from revision `since`. Returns
  // whether it was used.
  bool TakeChanges(const StoreChanges& changes, StoreRevision since,
                   Instant asked_at);
  // Once `delay` has passed, starts a wait, or a read if all items have to be
  // read.
  void CallLater(Duration delay);
  void RetryLater();
  void SetReachable(bool reachable);

  Loop& loop_;
  const Clock& clock_;
  KvStore& store_;
  Options options_;
  Handlers on_;
  StoreRevision revision_;
  // `revision_` at the start of the current wait, and of the current check.
  StoreRevision wait_start_revision_;
  StoreRevision check_start_revision_;
  // `revision_` at the start of the current read.
  StoreRevision read_start_revision_;
  StoreRevision latest_change_;
  // Whether all items were read, so that the follower can wait for changes.
  bool has_read_ = false;
  bool reachable_ = true;
  bool logged_older_ = false;
  // Whether the last call that ended has failed.
  bool has_failed_ = false;
  bool paused_ = false;
  // Average delay after the next failed call.
  Duration retry_after_;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  Instant asked_at_{};
  KvStore::CallPtr check_;
  Instant check_asked_at_{};
  std::unique_ptr<Timer> call_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_FOLLOWER_H_
