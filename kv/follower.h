// Keeps up with everything below a prefix of the store.
//
//   StoreFollower follower(loop, store, "op/", options, handlers);
//   follower.Start();
//
// It reads all items, then waits for changes from there, and reads anew when
// the store has forgotten where it was. While the store is away it goes on
// trying; what was handed out stays as it was.
//
// Each answer costs a call, and a change that comes alone is answered at once.
// Where many come one by one, as when a fleet starts, all followers would call
// for each; so after an answer with changes the next call waits a little.

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
    // How long one wait for changes may last; a wait that the network or the
    // store has swallowed is noticed a little later than this, or when
    // `AskAgain` is called.
    Duration patience = std::chrono::milliseconds(8000);
    Duration retry_after = std::chrono::milliseconds(250);
    // From an answer with changes to the next call.
    Duration spacing = std::chrono::milliseconds(200);
  };
  struct Handlers {
    // All items there are.
    std::function<void(const std::vector<StoreItem>& items)> replaced;
    std::function<void(const StoreChange& change)> changed;
    // After each answer that brought something.
    std::function<void()> settled;
    // The store was lost (false) or is back (true).
    std::function<void(bool reachable)> reachable;
  };

  StoreFollower(Loop& loop, KvStore& store, Options options, Handlers handlers);

  void Start() { Read(); }
  // There is reason to think that the present wait is lost: waits anew.
  void AskAgain();
  // Revision of the latest change that was handed out.
  std::int64_t latest_change() const { return latest_change_; }
  // Whether a change of that revision would have been handed out, or, if it
  // removed something before the first read, been seen to be missing.
  bool HasRead(std::int64_t revision) const {
    return revision <= std::max(revision_, latest_change_);
  }

 private:
  void Read();
  void Wait();
  void OnSnapshot(const StoreSnapshot& snapshot);
  void OnChanges(const StoreChanges& changes);
  // Waits, or reads if nothing has been read yet.
  void CallLater(Duration delay);
  void RetryLater();
  void SetReachable(bool reachable);

  Loop& loop_;
  KvStore& store_;
  Options options_;
  Handlers on_;
  std::int64_t revision_ = 0;
  std::int64_t latest_change_ = 0;
  bool caught_up_ = false;
  bool reachable_ = true;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  std::unique_ptr<Timer> later_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_FOLLOWER_H_
