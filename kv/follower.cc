#include "kv/follower.h"

#include <algorithm>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"

namespace quaytrack {
namespace {

// The delay before a retry is a random multiple of `Options::retry_after`
// between these factors, because all routers lose the store at the same moment.
constexpr double kMinJitter = 0.7;
constexpr double kMaxJitter = 1.3;

// Timeout of the first wait after a failed call.
constexpr Duration kTimeoutAfterFailure = std::chrono::milliseconds(100);
// Timeout of a check, which is answered at once.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(1);

}  // namespace

StoreFollower::StoreFollower(Loop& loop, const Clock& clock, KvStore& store,
                             Options options, Handlers handlers)
    : loop_(loop),
      clock_(clock),
      store_(store),
      options_(std::move(options)),
      on_(std::move(handlers)),
      retry_after_(options_.retry_after) {}

void StoreFollower::Read() {
  if (paused_) return;
  has_read_ = false;
  read_start_revision_ = revision_;
  asked_at_ = clock_.Now();
  call_ = store_.Range(options_.prefix,
                       [this](const StoreSnapshot& it) { OnSnapshot(it); });
}

void StoreFollower::Wait() {
  if (paused_) return;
  wait_start_revision_ = revision_;
  asked_at_ = clock_.Now();
  const Duration timeout =
      has_failed_ ? std::min(kTimeoutAfterFailure, options_.wait_timeout)
                  : options_.wait_timeout;
  call_ = store_.Wait(options_.prefix, revision_, timeout,
                      [this](const StoreChanges& it) { OnWaitAnswer(it); });
}

void StoreFollower::Check() {
  if (paused_ || !has_read_ || check_) return;
  check_start_revision_ = revision_;
  check_asked_at_ = clock_.Now();
  check_ = store_.Wait(options_.prefix, revision_, kCheckTimeout,
                       [this](const StoreChanges& it) { OnCheckAnswer(it); });
}

void StoreFollower::OnSnapshot(const StoreSnapshot& snapshot) {
  call_.reset();
  SetReachable(snapshot.end == StoreEnd::kDone);
  if (snapshot.end != StoreEnd::kDone) return RetryLater();
  has_read_ = true;
  if (snapshot.revision < revision_) return IgnoreOlder(snapshot.revision);
  logged_older_ = false;
  if (on_.answered) on_.answered(asked_at_);
  revision_ = snapshot.revision;
  if (latest_change_.era < revision_.era) latest_change_ = {revision_.era, 0};
  for (const StoreItem& it : snapshot.items) {
    latest_change_ = std::max(latest_change_, it.revision);
  }
  on_.replaced(snapshot.items);
  on_.settled();
  Wait();
}

// Handles a snapshot that is older than the known state: `SkipTo` was called
// during the read, or a peer has announced a later era than that of the store.
void StoreFollower::IgnoreOlder(StoreRevision revision) {
  if (revision < read_start_revision_ && !std::exchange(logged_older_, true)) {
    LogEvent(Event::kReadingOlder, {{"prefix", options_.prefix},
                                    {"revision", ToText(revision)},
                                    {"known", ToText(revision_)}});
  }
  if (revision.era == revision_.era) return Wait();
  has_read_ = false;
  RetryLater();
}

void StoreFollower::OnWaitAnswer(const StoreChanges& changes) {
  call_.reset();
  if (changes.forgotten) return Read();
  SetReachable(changes.end == StoreEnd::kDone);
  if (changes.end != StoreEnd::kDone) return RetryLater();
  if (changes.revision.era != wait_start_revision_.era) return Read();
  const bool used = TakeChanges(changes, wait_start_revision_, asked_at_);
  if (used && changes.changes.empty()) return Wait();
  CallLater(options_.spacing);
}

// A check that fails changes nothing: the wait notices the loss of the store.
// An answer that requires a read, or that was overtaken, is not used either.
void StoreFollower::OnCheckAnswer(const StoreChanges& changes) {
  check_.reset();
  if (paused_ || !has_read_) return;
  const bool is_receiving = call_ && call_->IsReceiving();
  if (changes.forgotten && !is_receiving) return ReadAgain();
  if (changes.end != StoreEnd::kDone) return;
  if (changes.revision.era != revision_.era) return CheckEra();
  TakeChanges(changes, check_start_revision_, check_asked_at_);
}

bool StoreFollower::TakeChanges(const StoreChanges& changes,
                                StoreRevision since, Instant asked_at) {
  // `SkipTo` was called since the call started, or another call was answered
  // first, and some changes in this answer may be older than the known ones; so
  // they are ignored.
  if (since < revision_) return false;
  if (on_.answered) on_.answered(asked_at);
  revision_ = std::max(revision_, changes.revision);
  if (changes.changes.empty()) return true;
  for (const StoreChange& it : changes.changes) {
    latest_change_ = std::max(latest_change_, it.item.revision);
    on_.changed(it);
  }
  on_.settled();
  return true;
}

void StoreFollower::RestartWait() {
  if (has_read_ && call_ && !call_->IsReceiving()) Wait();
}

void StoreFollower::CheckEra() {
  const bool is_behind = revision_.era < store_.era();
  if (has_read_ && is_behind && !paused_) ReadAgain();
}

void StoreFollower::Pause() {
  paused_ = true;
  call_.reset();
  check_.reset();
  call_timer_.reset();
}

void StoreFollower::Resume() {
  Resume(has_read_ ? &StoreFollower::Wait : &StoreFollower::Read);
}

void StoreFollower::Resume(void (StoreFollower::*call)()) {
  paused_ = false;
  call_timer_.reset();
  (this->*call)();
}

void StoreFollower::SkipTo(StoreRevision revision, StoreRevision latest) {
  if (revision <= revision_) return;
  revision_ = revision;
  latest_change_ = std::max(latest_change_, latest);
  has_read_ = true;
}

void StoreFollower::SetRetry(Duration first, Duration longest) {
  options_.retry_after = first;
  options_.longest_retry = longest;
  retry_after_ = first;
}

void StoreFollower::CallLater(Duration delay) {
  call_timer_ = loop_.After(delay, [this] {
    if (has_read_) return Wait();
    Read();
  });
}

void StoreFollower::RetryLater() {
  CallLater(Jittered(random_, retry_after_, kMinJitter, kMaxJitter));
  retry_after_ = std::min(retry_after_ * 2, options_.longest_retry);
}

void StoreFollower::SetReachable(bool reachable) {
  has_failed_ = !reachable;
  if (reachable) retry_after_ = options_.retry_after;
  if (reachable == reachable_) return;
  reachable_ = reachable;
  on_.reachable(reachable);
}

}  // namespace quaytrack
