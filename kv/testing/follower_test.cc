// Tests of StoreFollower against scripted in-memory stores and the real loop:
// reads, waits, retries, spacing of waits and changes of the store's era.

#include "kv/follower.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "kv/testing/scripted_store.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Answers every read with no items, and every wait at once with one change.
class BusyStore final : public KvStore {
 public:
  explicit BusyStore(Loop& loop) : loop_(loop) {}

  CallPtr Range(const std::string&,
                std::function<void(const StoreSnapshot&)> done) override {
    loop_.Post([done] { done({StoreEnd::kDone, 1, {}}); });
    return std::make_unique<Call>();
  }
  CallPtr Write(const StoreWrite&,
                std::function<void(const StoreWritten&)>) override {
    return nullptr;
  }
  CallPtr Wait(const std::string&, StoreRevision revision, Duration,
               std::function<void(const StoreChanges&)> done) override {
    ++waits;
    loop_.Post([done, revision] {
      const StoreItem item = {"a/b", "", revision.number + 1};
      done({StoreEnd::kDone, false, revision.number + 1, {{item, false}}});
    });
    return std::make_unique<Call>();
  }
  std::uint64_t calls() const override { return waits; }

  std::uint64_t waits = 0;

 private:
  Loop& loop_;
};

BOOST_AUTO_TEST_CASE(ChangesThatComeOneByOneAreReadTogether) {
  constexpr int kAnswers = 5;
  constexpr Duration kSpacing = milliseconds(20);
  const SystemClock clock;
  Loop loop;
  BusyStore store(loop);
  StoreFollower::Options options;
  options.prefix = "a/";
  options.spacing = kSpacing;

  StoreFollower::Handlers on;
  on.replaced = [](const std::vector<StoreItem>&) {};
  int changes = 0;
  on.changed = [&](const StoreChange&) { ++changes; };
  on.settled = [&] {
    if (changes == kAnswers) loop.Stop();
  };
  on.reachable = [](bool) {};
  StoreFollower follower(loop, clock, store, options, on);
  const Instant start = clock.Now();
  follower.Start();
  loop.Run();
  BOOST_TEST((clock.Now() - start >= kSpacing * (kAnswers - 1)));
  BOOST_TEST(store.waits == static_cast<std::uint64_t>(kAnswers));
}

// Guards against endless calls for a revision that no item has: an entry was
// removed before the first read, and a router took its revision for unread.
BOOST_AUTO_TEST_CASE(WhatWentBeforeTheFirstReadHasBeenRead) {
  const SystemClock clock;
  Loop loop;
  BusyStore store(loop);
  StoreFollower::Handlers on;
  on.replaced = [](const std::vector<StoreItem>&) {};
  on.changed = [](const StoreChange&) {};
  on.settled = [&] { loop.Stop(); };
  on.reachable = [](bool) {};
  StoreFollower follower(loop, clock, store, {"a/"}, on);
  follower.Start();
  loop.Run();
  // The store is at revision 1 and has no items.
  BOOST_TEST(follower.latest_change() == 0);
  BOOST_TEST(follower.HasRead(1));
  BOOST_TEST(!follower.HasRead(2));
}

// Records the calls of a follower's handlers, in order.
struct HandlerLog {
  StoreFollower::Handlers Handlers() {
    StoreFollower::Handlers out;
    out.replaced = [this](const std::vector<StoreItem>& items) {
      lines.push_back("all " + std::to_string(items.size()));
    };
    out.changed = [this](const StoreChange& it) {
      lines.push_back((it.removed ? "gone " : "new ") + it.item.key);
    };
    out.settled = [this] { lines.emplace_back("settled"); };
    out.reachable = [this](bool it) {
      lines.emplace_back(it ? "back" : "lost");
    };
    return out;
  }
  std::vector<std::string> Take() { return std::exchange(lines, {}); }
  std::vector<std::string> lines;
};

struct FollowFixture {
  FollowFixture() : follower(loop, clock, store, Options(), log.Handlers()) {
    follower.Start();
  }
  static StoreFollower::Options Options() {
    StoreFollower::Options out;
    out.prefix = "a/";
    out.retry_after = milliseconds(20);
    out.spacing = milliseconds(20);
    return out;
  }
  bool AnswerRead(StoreEnd end) {
    return store.AnswerRange("a/", {end, 3, {{"a/b", "", 2}}});
  }
  bool AnswerWait(const StoreChanges& it) { return store.AnswerWait("a/", it); }

  using Lines = std::vector<std::string>;
  // Longer than a delay with its jitter.
  static constexpr Duration kPause = milliseconds(50);
  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  HandlerLog log;
  StoreFollower follower;
};

BOOST_FIXTURE_TEST_CASE(ItReadsAllAndThenFollows, FollowFixture) {
  BOOST_TEST(AnswerRead(StoreEnd::kDone));
  BOOST_TEST((log.Take() == Lines{"all 1", "settled"}));
  BOOST_TEST(follower.latest_change() == 2);
  BOOST_TEST(AnswerWait({StoreEnd::kDone, false, 5, {{{"a/b", "", 5}, true}}}));
  BOOST_TEST((log.Take() == Lines{"gone a/b", "settled"}));
  BOOST_TEST(follower.latest_change() == 5);
  RunFor(loop, kPause);
  // An answer without changes calls no handler; the next wait starts at once.
  BOOST_TEST(AnswerWait({StoreEnd::kDone, false, 9, {}}));
  BOOST_TEST(log.Take().empty());
  BOOST_TEST(follower.HasRead(9));
  BOOST_TEST(AnswerWait({StoreEnd::kDone, false, 9, {}}));
}

BOOST_FIXTURE_TEST_CASE(AForgottenHistoryIsReadAnewAtOnce, FollowFixture) {
  AnswerRead(StoreEnd::kDone);
  log.Take();
  BOOST_TEST(AnswerWait({StoreEnd::kRefused, true, 0, {}}));
  // The store is reachable.
  BOOST_TEST(log.Take().empty());
  BOOST_TEST(AnswerRead(StoreEnd::kDone));
  BOOST_TEST((log.Take() == Lines{"all 1", "settled"}));
}

BOOST_FIXTURE_TEST_CASE(AStoreThatIsLostIsAskedUntilItIsBack, FollowFixture) {
  AnswerRead(StoreEnd::kDone);
  log.Take();
  for (const StoreEnd it : {StoreEnd::kUnknown, StoreEnd::kRefused}) {
    BOOST_TEST(AnswerWait({it, false, 0, {}}));
    RunFor(loop, kPause);
  }
  // Reported once.
  BOOST_TEST((log.Take() == Lines{"lost"}));
  BOOST_TEST(
      AnswerWait({StoreEnd::kDone, false, 6, {{{"a/c", "", 6}, false}}}));
  BOOST_TEST((log.Take() == Lines{"back", "new a/c", "settled"}));
}

BOOST_FIXTURE_TEST_CASE(AFirstReadThatFailsIsMadeAgain, FollowFixture) {
  BOOST_TEST(AnswerRead(StoreEnd::kRefused));
  RunFor(loop, kPause);
  BOOST_TEST(AnswerRead(StoreEnd::kDone));
  BOOST_TEST((log.Take() == Lines{"lost", "back", "all 1", "settled"}));
}

BOOST_FIXTURE_TEST_CASE(OnlyAWaitIsAskedAgain, FollowFixture) {
  follower.RestartWait();
  BOOST_TEST(store.calls() == 1U);
  AnswerRead(StoreEnd::kDone);
  follower.RestartWait();
  BOOST_TEST(store.waits.started == 2U);
  BOOST_TEST(AnswerWait({StoreEnd::kDone, false, 5, {{{"a/b", "", 5}, true}}}));
  // The wait before it was cancelled.
  BOOST_TEST(!AnswerWait({StoreEnd::kDone, false, 5, {}}));
  // The follower is in the delay before its next call.
  follower.RestartWait();
  BOOST_TEST(store.waits.started == 2U);
}

// Guards against a wait that was lost: a check finds what it would have shown,
// and the wait's own answer, if it comes after all, changes nothing.
BOOST_FIXTURE_TEST_CASE(ACheckFindsWhatALostWaitHides, FollowFixture) {
  AnswerRead(StoreEnd::kDone);
  log.Take();
  follower.Check();
  BOOST_TEST(store.waits.started == 2U);
  // One check at a time.
  follower.Check();
  BOOST_TEST(store.waits.started == 2U);
  BOOST_REQUIRE(store.waits.entries.size() == 2U);
  const auto wait = store.waits.entries.front();
  const auto check = store.waits.entries.back();
  check->done({StoreEnd::kDone, false, 5, {{{"a/c", "", 5}, false}}});
  BOOST_TEST((log.Take() == Lines{"new a/c", "settled"}));
  BOOST_TEST(follower.revision() == 5);
  wait->done({StoreEnd::kDone, false, 5, {{{"a/c", "", 5}, false}}});
  BOOST_TEST(log.Take().empty());
}

// Guards against a crash: the store forgets its history while the follower is
// in the delay after changes, so that no wait is open when a check tells it.
BOOST_FIXTURE_TEST_CASE(ACheckWithoutAWaitMayFindTheHistoryForgotten,
                        FollowFixture) {
  AnswerRead(StoreEnd::kDone);
  follower.Check();
  const auto check = store.waits.entries.back();
  BOOST_TEST(AnswerWait({StoreEnd::kDone, false, 5, {{{"a/b", "", 5}, true}}}));
  log.Take();
  check->done({StoreEnd::kRefused, true, 0, {}});
  BOOST_TEST(AnswerRead(StoreEnd::kDone));
}

// Guards against an answer that is given up while it arrives: on a slow link
// the next one would be, too.
BOOST_FIXTURE_TEST_CASE(AWaitWhoseAnswerArrivesIsNotAskedAgain, FollowFixture) {
  AnswerRead(StoreEnd::kDone);
  store.receiving = true;
  follower.RestartWait();
  BOOST_TEST(store.waits.started == 1U);
  store.receiving = false;
  follower.RestartWait();
  BOOST_TEST(store.waits.started == 2U);
}

// Guards against late detection of a new era: the store holds a wait whose
// revision number exists in the new era too until the wait times out.
BOOST_AUTO_TEST_CASE(TheFirstWaitAfterAFailureIsShort) {
  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  StoreFollower::Options options;
  options.prefix = "a/";
  options.retry_after = milliseconds(1);
  options.longest_retry = milliseconds(1);
  StoreFollower::Handlers on;
  on.replaced = [](const std::vector<StoreItem>&) {};
  on.changed = [](const StoreChange&) {};
  on.settled = [] {};
  on.reachable = [](bool) {};
  StoreFollower follower(loop, clock, store, options, on);
  follower.Start();
  BOOST_TEST(store.AnswerRange("a/", {StoreEnd::kDone, {1, 5}, {}}));
  BOOST_TEST((store.last_timeout["a/"] == options.wait_timeout));
  BOOST_TEST(store.AnswerWait("a/", {StoreEnd::kUnknown, false, {}, {}}));
  RunFor(loop, milliseconds(20));
  BOOST_TEST((store.last_timeout["a/"] < milliseconds(200)));
  // Its answer names the later era, so all items are read again.
  BOOST_TEST(store.AnswerWait("a/", {StoreEnd::kDone, false, {2, 5}, {}}));
  BOOST_TEST(store.AnswerRange("a/", {StoreEnd::kDone, {2, 5}, {}}));
  BOOST_TEST(follower.revision() == StoreRevision(2, 5));
  BOOST_TEST((store.last_timeout["a/"] == options.wait_timeout));
}

// Guards against a follower that goes on after a handler has paused it, with
// the answer that the handler was called for.
BOOST_AUTO_TEST_CASE(AHandlerMayPauseTheFollower) {
  enum class Where { kReplaced, kChanged, kSettled, kAnswered };
  for (const Where where :
       {Where::kReplaced, Where::kChanged, Where::kSettled, Where::kAnswered}) {
    const SystemClock clock;
    Loop loop;
    BusyStore store(loop);
    StoreFollower::Options options;
    options.prefix = "a/";
    options.spacing = milliseconds(1);
    StoreFollower* follower = nullptr;
    bool is_paused = false;
    const auto enter = [&](Where at) {
      if (at != where) return;
      is_paused = true;
      follower->Pause();
    };
    StoreFollower::Handlers on;
    on.replaced = [&](const std::vector<StoreItem>&) {
      enter(Where::kReplaced);
    };
    on.changed = [&](const StoreChange&) { enter(Where::kChanged); };
    on.settled = [&] { enter(Where::kSettled); };
    on.answered = [&](Instant) { enter(Where::kAnswered); };
    on.reachable = [](bool) {};
    StoreFollower it(loop, clock, store, options, on);
    follower = &it;
    it.Start();
    RunFor(loop, milliseconds(30));
    BOOST_TEST(is_paused);
    const std::uint64_t waits = store.waits;
    RunFor(loop, milliseconds(30));
    BOOST_TEST(store.waits == waits);
    it.Resume();
    RunFor(loop, milliseconds(30));
    BOOST_TEST(store.waits > waits);
  }
}

}  // namespace
}  // namespace quaytrack
