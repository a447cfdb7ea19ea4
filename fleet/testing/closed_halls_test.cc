// Tests which halls are closed to new work, from whichever source and in
// whatever order the changes arrive.

#include "fleet/closed_halls.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

const HallName kHall("hall-2");
const HallName kOther("hall-3");

BOOST_AUTO_TEST_CASE(AHallIsClosedUntilItIsOpenedAgain) {
  ClosedHalls it;
  BOOST_TEST(it.ApplyChange(kHall, {5, true}));
  BOOST_TEST(it.IsClosed(kHall));
  BOOST_TEST(!it.IsClosed(kOther));
  BOOST_TEST(it.ApplyChange(kHall, {8, false}));
  BOOST_TEST(!it.IsClosed(kHall));
}

BOOST_AUTO_TEST_CASE(WhatIsOlderTurnsNothingBack) {
  ClosedHalls it;
  it.ApplyChange(kHall, {5, true});
  BOOST_TEST(!it.ApplyChange(kHall, {4, false}));
  BOOST_TEST(it.Replace({}, 4).empty());
  BOOST_TEST(it.Merge({{kHall, {3, false}}}).empty());
  BOOST_TEST(it.IsClosed(kHall));
  it.ApplyChange(kHall, {8, false});
  BOOST_TEST(!it.ApplyChange(kHall, {5, true}));
  BOOST_TEST(it.Merge({{kHall, {5, true}}}).empty());
  BOOST_TEST(!it.IsClosed(kHall));
}

BOOST_AUTO_TEST_CASE(AWholeReadingOpensWhatItDoesntName) {
  ClosedHalls it;
  it.Replace({{kHall, {5, true}}, {kOther, {6, true}}}, 7);
  BOOST_TEST(it.closed().size() == 2U);
  const std::vector<HallName> changed = it.Replace({{kOther, {6, true}}}, 9);
  BOOST_TEST((changed == std::vector<HallName>{kHall}));
  BOOST_TEST(it.IsClosed(kOther));
}

// Guards against dropping an item that is newer than the revision of the read:
// a page of a read may show one.
BOOST_AUTO_TEST_CASE(AnItemNewerThanItsReadingCounts) {
  ClosedHalls it;
  it.Replace({{kHall, {9, true}}}, 7);
  BOOST_TEST(it.IsClosed(kHall));
  BOOST_TEST(it.Replace({}, 8).empty());
  BOOST_TEST(it.IsClosed(kHall));
}

// Guards against an outdated message of a peer that closes a hall. This router
// has read that the hall is open, and never knew it as closed.
BOOST_AUTO_TEST_CASE(OldNewsOfAPeerClosesNothing) {
  ClosedHalls it;
  it.Replace({}, 9);
  BOOST_TEST(it.Merge({{kHall, {5, true}}}).empty());
  BOOST_TEST(!it.IsClosed(kHall));
  BOOST_TEST(it.Merge({{kHall, {12, true}}}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(APeerThatWasCutOffIsToldThatAHallIsOpen) {
  ClosedHalls cut_off;
  cut_off.ApplyChange(kHall, {5, true});
  ClosedHalls current = cut_off;
  current.Replace({}, 9);
  BOOST_TEST(cut_off.Merge(current.states()).size() == 1U);
  BOOST_TEST(!cut_off.IsClosed(kHall));
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedAndClosedHallsAreKept) {
  ClosedHalls it;
  it.ApplyChange(kHall, {1, true});
  for (int n = 0; n < 500; ++n) {
    const HallName hall("h" + std::to_string(n));
    it.ApplyChange(hall, {10 + 2 * n, true});
    it.ApplyChange(hall, {11 + 2 * n, false});
  }
  BOOST_TEST(it.states().size() == ClosedHalls::kMaxOpened + 1);
  BOOST_TEST(it.IsClosed(kHall));
}

// A store's history of four halls, and routers that learn of it by complete
// reads, by single changes in order, and by each other's messages, which may be
// late, duplicated, reordered or lost.
class Simulation {
 public:
  explicit Simulation(std::uint32_t seed) : random_(seed) {
    history_.push_back({});
    for (int n = 1; n <= kChanges; ++n) {
      HallStates next = history_.back();
      const HallName hall("h" + std::to_string(Draw(kHalls)));
      const auto at = next.find(hall);
      if (at == next.end()) {
        next[hall] = {n, true};
      } else {
        next.erase(at);
      }
      history_.push_back(next);
    }
  }

  // `last_message_wins`: send messages by the wrong rule, by which the last
  // message received counts instead of the latest revision.
  bool AnyGoesBack(bool last_message_wins) {
    for (int n = 0; n < kSteps; ++n) {
      Step(last_message_wins);
      for (Router& it : routers_) {
        if (GoesBack(it)) return true;
      }
    }
    return false;
  }

 private:
  static constexpr int kHalls = 4;
  static constexpr int kChanges = 40;
  static constexpr int kRouters = 3;
  static constexpr int kSteps = 200;

  struct Router {
    ClosedHalls halls;
    // The states by the wrong rule.
    HallStates last_received;
    // The router has received every change up to this one.
    int read = 0;
  };

  int Draw(int n) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(n));
  }

  void Step(bool last_message_wins) {
    now_ = std::min(now_ + Draw(2), kChanges);
    Router& it = routers_[static_cast<std::size_t>(Draw(kRouters))];
    switch (Draw(4)) {
      case 0:
        return Read(it);
      case 1:
        return Follow(it);
      case 2:
        return messages_.push_back(last_message_wins ? it.last_received
                                                     : it.halls.states());
      default:
        if (messages_.empty()) return;
        const auto at = messages_.size();
        const HallStates& message =
            messages_[static_cast<std::size_t>(Draw(static_cast<int>(at)))];
        it.halls.Merge(message);
        for (const auto& [hall, state] : message)
          it.last_received[hall] = state;
    }
  }

  void Read(Router& it) {
    it.read = std::max(it.read, now_);
    const HallStates& closed = history_[static_cast<std::size_t>(it.read)];
    it.halls.Replace(closed, it.read);
    for (auto& [hall, state] : it.last_received) state.closed = false;
    for (const auto& [hall, state] : closed) it.last_received[hall] = state;
  }

  void Follow(Router& it) {
    if (it.read >= now_) return;
    ++it.read;
    const HallStates& before = history_[static_cast<std::size_t>(it.read) - 1];
    const HallStates& after = history_[static_cast<std::size_t>(it.read)];
    for (int n = 0; n < kHalls; ++n) {
      const HallName hall("h" + std::to_string(n));
      if (before.contains(hall) == after.contains(hall)) continue;
      const HallState state{it.read, after.contains(hall)};
      it.halls.ApplyChange(hall, state);
      it.last_received[hall] = state;
    }
    it.halls.SetAppliedUpTo(it.read);
  }

  // Whether the router has a state of a hall from before a change that it has
  // received. It may have a newer state than that, from a peer, but not an
  // older one.
  bool GoesBack(const Router& it) const {
    for (int n = 0; n < kHalls; ++n) {
      const HallName hall("h" + std::to_string(n));
      if (!IsPossibleState(it, hall)) return true;
    }
    return false;
  }

  bool IsPossibleState(const Router& it, const HallName& hall) const {
    const bool closed = it.halls.IsClosed(hall);
    const auto received = it.last_received.find(hall);
    const bool wrong =
        received != it.last_received.end() && received->second.closed;
    for (int at = it.read; at <= now_; ++at) {
      const bool then = history_[static_cast<std::size_t>(at)].contains(hall);
      if (then == (check_wrong_rule ? wrong : closed)) return true;
    }
    return false;
  }

 public:
  bool check_wrong_rule = false;

 private:
  std::mt19937 random_;
  std::vector<HallStates> history_;
  std::vector<HallStates> messages_;
  std::vector<Router> routers_{kRouters};
  int now_ = 0;
};

BOOST_AUTO_TEST_CASE(NoHistoryTurnsARouterBack) {
  BOOST_TEST(rc::check([](std::uint32_t seed) {
    RC_ASSERT(!Simulation(seed).AnyGoesBack(false));
  }));
}

// Checks that the property is strict enough to detect the wrong rule.
BOOST_AUTO_TEST_CASE(TheRuleThatTakesWhatComesLastIsFound) {
  int found = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Simulation it(seed);
    it.check_wrong_rule = true;
    if (it.AnyGoesBack(true)) ++found;
  }
  BOOST_TEST(found >= 15);
}

// Guards against a closed hall that gets work again, and a reopened one that is
// closed again, when the store is restored from a copy taken before the change.
BOOST_AUTO_TEST_CASE(AnOlderCopyChangesNoHallThatIsKnown) {
  ClosedHalls it;
  it.Replace({{kOther, {{1, 5}, true}}}, {1, 9});
  it.ApplyChange(kHall, {{1, 12}, true});
  it.ApplyChange(kOther, {{1, 13}, false});
  BOOST_TEST(it.Replace({{kOther, {{2, 5}, true}}}, {2, 10}).empty());
  BOOST_TEST(it.IsClosed(kHall));
  BOOST_TEST(!it.IsClosed(kOther));
  // Operators repeat the lost changes.
  BOOST_TEST(!it.ApplyChange(kHall, {{2, 11}, true}));
  BOOST_TEST(!it.ApplyChange(kOther, {{2, 12}, false}));
  BOOST_TEST(!it.HasCarried());
}

// Guards against a hall that stays closed for good: the copy was taken after it
// was reopened, and this router never learned of that.
BOOST_AUTO_TEST_CASE(WhatNobodyWritesAgainIsTakenAsTheStoreShowsIt) {
  ClosedHalls it;
  it.Replace({{kHall, {{1, 5}, true}}}, {1, 9});
  BOOST_TEST(it.Replace({}, {2, 7}).empty());
  BOOST_TEST(it.IsClosed(kHall));
  // A later read of the same era changes nothing more.
  BOOST_TEST(it.Replace({}, {2, 8}).empty());
  BOOST_TEST(it.HasCarried());
  BOOST_TEST(it.AdoptStoreStates().size() == 1U);
  BOOST_TEST(!it.IsClosed(kHall));
}

}  // namespace
}  // namespace quaytrack
