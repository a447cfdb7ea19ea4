// StoreFollower keeps up with everything below a prefix of the store.
//
//   StoreFollower::Options options;
//   options.prefix = "op/";
//   StoreFollower follower(loop, store, options, handlers);
//   follower.Start();
//   follower.AskAgain();          // the present wait may have been swallowed
//
// It reads all items, then waits for changes after that revision (a long poll),
// and reads all anew when the store has forgotten where it was. A call that
// fails is made again after `retry_after`, without end; what was handed out
// stays as it was. Handlers are told of all items, of each change, and when the
// store is lost or back.
//
// Each answer costs a call, and a change that comes alone is answered at once.
// Where many come one by one, as when a fleet starts, all followers would call
// for each; so after an answer with changes the next wait is `spacing` later
// and brings what came meanwhile together.
//
// The store tells what an item is when it answers. Of an item that changed
// twice between two answers, a follower may see the later value alone.
//
// Two more ways to learn of changes save calls where many would follow the same
// prefix (relay/state_feed.h). Somebody who was told of all changes up to a
// revision says so with `SkipTo`; what the call under way then answers about
// earlier ones is passed over, so nothing is handed out that takes back what is
// known. And `Pause` stops calling until `Resume` goes on from there.
//
// A store that comes back from an older copy of itself (kv/store.h) begins a
// later era. What was known of the era before is then read anew, however the
// numbers compare; `CheckEra` does so when another call has shown it. A wait
// from a number that the later era has as well may be held without an answer,
// so the first one after a failed call is short: its answer names the era.
//
// It owns its call and timer. Loop and store must outlive it. Revisions are the
// store's (kv/store.h); times are of the loop.

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
    // How long one wait for changes may last. A wait that the network or the
    // store has swallowed is noticed a little later than this, or when
    // `AskAgain` is called. It was 3 s until commit 288b6d2, when waits were a
    // third of the calls of a router in a large fleet; 8 s itself is not
    // measured.
    Duration patience = std::chrono::milliseconds(8000);
    // From a call that failed to the next, on average. It doubles with each
    // further failure up to `longest_retry`. Not measured.
    Duration retry_after = std::chrono::milliseconds(250);
    Duration longest_retry = std::chrono::milliseconds(250);
    // From an answer with changes to the next wait. Commit e7705ae: without it
    // each of 143 targets cost each router a call at a start. 200 ms itself is
    // not measured.
    Duration spacing = std::chrono::milliseconds(200);
  };
  struct Handlers {
    // All items there are; others that were told of before are gone.
    std::function<void(const std::vector<StoreItem>& items)> replaced;
    std::function<void(const StoreChange& change)> changed;
    // After each read, and each answer that brought changes.
    std::function<void()> settled;
    // The store was lost (false) or is back (true).
    std::function<void(bool reachable)> reachable;
    // The store has answered: what is handed out next, if anything, is all that
    // had changed by then. Optional.
    std::function<void()> answered = {};
  };

  StoreFollower(Loop& loop, KvStore& store, Options options, Handlers handlers);

  void Start() { Read(); }
  // There is reason to think that the present wait is lost: waits anew. Does
  // nothing while it reads, or pauses before the next call.
  void AskAgain();
  // Calls no more, until `Resume`.
  void Pause();
  // Goes on from what was handed out or skipped.
  void Resume();
  // Reads all items anew.
  void ReadAgain() { Resume(&StoreFollower::Read); }
  // The store may be in a later era than what was read.
  void CheckEra();
  // All changes up to `revision` were handed out by somebody else; the last of
  // them was `latest`.
  void SkipTo(StoreRevision revision, StoreRevision latest);
  // From the next call on; see `Options`.
  void SetPatience(Duration patience) { options_.patience = patience; }
  void SetRetry(Duration first, Duration longest);

  // A wait is under way, so the store would tell of a change at once.
  bool IsWaiting() const { return has_read_ && call_; }
  // All changes up to this one have been handed out or skipped; 0 before.
  StoreRevision revision() const { return revision_; }
  // Revision of the latest change that was handed out.
  StoreRevision latest_change() const { return latest_change_; }
  // Whether a change of that revision would have been handed out, or, if it
  // removed something before the first read, been seen to be missing.
  bool HasRead(StoreRevision revision) const {
    return revision <= std::max(revision_, latest_change_);
  }

 private:
  void Read();
  void Wait();
  void Resume(void (StoreFollower::*call)());
  void OnSnapshot(const StoreSnapshot& snapshot);
  void PassOver(StoreRevision revision);
  void OnChanges(const StoreChanges& changes);
  // Waits, or reads if all items have to be read.
  void CallLater(Duration delay);
  void RetryLater();
  void SetReachable(bool reachable);

  Loop& loop_;
  KvStore& store_;
  Options options_;
  Handlers on_;
  StoreRevision revision_;
  // `revision_` when the wait under way began.
  StoreRevision waits_from_;
  // The same of the read under way.
  StoreRevision reads_from_;
  StoreRevision latest_change_;
  // All items were read, so changes can be waited for.
  bool has_read_ = false;
  bool reachable_ = true;
  bool logged_older_ = false;
  // A call has failed, and none was answered since.
  bool has_failed_ = false;
  bool paused_ = false;
  // The pause after the next failure.
  Duration retry_after_;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  std::unique_ptr<Timer> call_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_FOLLOWER_H_
