// The follower of a prefix, against a store in memory and the real loop.

#include "kv/follower.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Answers every read as empty, and every wait at once with one change.
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
  CallPtr Wait(const std::string&, std::int64_t revision, Duration,
               std::function<void(const StoreChanges&)> done) override {
    ++waits;
    loop_.Post([done, revision] {
      const StoreItem item = {"a/b", "", revision + 1};
      done({StoreEnd::kDone, false, revision + 1, {{item, false}}});
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
  StoreFollower follower(loop, store, options, on);
  const Instant begun = clock.Now();
  follower.Start();
  loop.Run();
  BOOST_TEST((clock.Now() - begun >= kSpacing * (kAnswers - 1)));
  BOOST_TEST(store.waits == static_cast<std::uint64_t>(kAnswers));
}

// An entry that went before the first read left a revision that no item has; a
// router that takes it for unread asks again and again.
BOOST_AUTO_TEST_CASE(WhatWentBeforeTheFirstReadHasBeenRead) {
  Loop loop;
  BusyStore store(loop);
  StoreFollower::Handlers on;
  on.replaced = [](const std::vector<StoreItem>&) {};
  on.changed = [](const StoreChange&) {};
  on.settled = [&] { loop.Stop(); };
  on.reachable = [](bool) {};
  StoreFollower follower(loop, store, {"a/"}, on);
  follower.Start();
  loop.Run();
  // The store is at 1 and has no items.
  BOOST_TEST(follower.latest_change() == 0);
  BOOST_TEST(follower.HasRead(1));
  BOOST_TEST(!follower.HasRead(2));
}

}  // namespace
}  // namespace quaytrack
