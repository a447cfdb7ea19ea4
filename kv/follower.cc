#include "kv/follower.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

StoreFollower::StoreFollower(Loop& loop, KvStore& store, Options options,
                             Handlers handlers)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      on_(std::move(handlers)) {}

void StoreFollower::Read() {
  caught_up_ = false;
  call_ = store_.Range(options_.prefix,
                       [this](const StoreSnapshot& it) { OnSnapshot(it); });
}

void StoreFollower::Wait() {
  call_ = store_.Wait(options_.prefix, revision_, options_.patience,
                      [this](const StoreChanges& it) { OnChanges(it); });
}

void StoreFollower::OnSnapshot(const StoreSnapshot& snapshot) {
  call_.reset();
  SetReachable(snapshot.end == StoreEnd::kDone);
  if (snapshot.end != StoreEnd::kDone) return RetryLater();
  revision_ = snapshot.revision;
  caught_up_ = true;
  for (const StoreItem& it : snapshot.items) {
    latest_change_ = std::max(latest_change_, it.revision);
  }
  on_.replaced(snapshot.items);
  on_.settled();
  Wait();
}

void StoreFollower::OnChanges(const StoreChanges& changes) {
  call_.reset();
  if (changes.forgotten) return Read();
  SetReachable(changes.end == StoreEnd::kDone);
  if (changes.end != StoreEnd::kDone) return RetryLater();
  revision_ = std::max(revision_, changes.revision);
  if (changes.changes.empty()) return Wait();
  for (const StoreChange& it : changes.changes) {
    latest_change_ = std::max(latest_change_, it.item.revision);
    on_.changed(it);
  }
  on_.settled();
  CallLater(options_.spacing);
}

void StoreFollower::AskAgain() {
  // A read, or a pause before the next call, ends by itself.
  if (caught_up_ && call_) Wait();
}

void StoreFollower::CallLater(Duration delay) {
  later_ = loop_.After(delay, [this] {
    if (caught_up_) return Wait();
    Read();
  });
}

// With jitter, as all routers lose the store at the same moment.
void StoreFollower::RetryLater() {
  std::uniform_real_distribution<double> jitter(0.7, 1.3);
  CallLater(std::chrono::duration_cast<Duration>(options_.retry_after *
                                                 jitter(random_)));
}

void StoreFollower::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  on_.reachable(reachable);
}

}  // namespace quaytrack
