#include "kv/follower.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

// A pause before another try is drawn from between these parts of
// `Options::retry_after`, as all routers lose the store at the same moment. Not
// measured.
constexpr double kLeastJitter = 0.7;
constexpr double kMostJitter = 1.3;

}  // namespace

StoreFollower::StoreFollower(Loop& loop, KvStore& store, Options options,
                             Handlers handlers)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      on_(std::move(handlers)) {}

void StoreFollower::Read() {
  has_read_ = false;
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
  has_read_ = true;
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
  if (has_read_ && call_) Wait();
}

void StoreFollower::CallLater(Duration delay) {
  call_timer_ = loop_.After(delay, [this] {
    if (has_read_) return Wait();
    Read();
  });
}

void StoreFollower::RetryLater() {
  std::uniform_real_distribution<double> jitter(kLeastJitter, kMostJitter);
  CallLater(std::chrono::duration_cast<Duration>(options_.retry_after *
                                                 jitter(random_)));
}

void StoreFollower::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  on_.reachable(reachable);
}

}  // namespace quaytrack
