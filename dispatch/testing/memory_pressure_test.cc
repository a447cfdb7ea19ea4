// Tests which requests are admitted as memory fills, and which connections are
// cut when it is full.

#include "dispatch/memory_pressure.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBound = 1'000'000;

struct Fixture {
  // Returns the ids of the holders that are cut at `held`.
  std::vector<std::uint64_t> CutAt(std::size_t held) {
    std::vector<std::uint64_t> out;
    last = pressure.Check(now, held, holders);
    for (const MemoryCut& it : last) out.push_back(holders[it.holder].id);
    return out;
  }
  void Add(std::uint64_t id, const std::string& customer, std::size_t held) {
    MemoryHolder it;
    it.id = id;
    it.customer = CustomerName(customer);
    it.held = held;
    holders.push_back(it);
  }
  // Lets time pass, in which the holders `moving` make progress.
  void Wait(Duration time, const std::vector<std::uint64_t>& moving = {}) {
    const Instant end = now + time;
    while (now < end) {
      pressure.Check(now, 0, holders);
      now += milliseconds(100);
      for (MemoryHolder& it : holders) {
        for (const std::uint64_t id : moving) it.moved += it.id == id ? 1 : 0;
      }
    }
  }

  Instant now{std::chrono::hours(1)};
  MemoryPressure pressure{kBound};
  std::vector<MemoryHolder> holders;
  std::vector<MemoryCut> last;
};

using Ids = std::vector<std::uint64_t>;

// --- Admission and backpressure ----------------------------------------------

// Guards against a change for deployments whose memory isn't known.
BOOST_AUTO_TEST_CASE(WithoutABoundNothingIsRefusedPausedOrCut) {
  MemoryPressure off(0);
  constexpr std::size_t kHuge = std::size_t{1} << 40;
  BOOST_TEST(off.Admits(kHuge, kHuge));
  BOOST_TEST(off.UnsentLimit(kHuge, false) == 64U * 1024);
  BOOST_TEST(!off.MayReadInFull(0));
  BOOST_TEST(!off.IsWatched(kHuge));
  BOOST_TEST(!off.Update(kHuge));
  MemoryHolder holder;
  holder.held = kHuge;
  BOOST_TEST(
      off.Check(Instant(std::chrono::hours(1)), kHuge, {holder}).empty());
}

BOOST_FIXTURE_TEST_CASE(TheSizeThatIsRefusedShrinksAsMemoryFills, Fixture) {
  BOOST_TEST(pressure.Admits(0, 300'000));
  BOOST_TEST(!pressure.Admits(0, 400'000));
  BOOST_TEST(pressure.Admits(700'000, 20'000));
  BOOST_TEST(!pressure.Admits(750'000, 20'000));
  BOOST_TEST(pressure.Admits(750'000, 3'900));
  BOOST_TEST(!pressure.Admits(900'000, 3'900));
  BOOST_TEST(pressure.Admits(900'000, 1'500));
}

// Guards against refusing all requests while memory is full: without a body,
// or with a small one, they cost less than their connection.
BOOST_FIXTURE_TEST_CASE(SmallRequestsAreAdmittedAtAnyLevel, Fixture) {
  BOOST_TEST(pressure.Admits(3 * kBound, 0));
  BOOST_TEST(pressure.Admits(3 * kBound, 1024));
  BOOST_TEST(!pressure.Admits(3 * kBound, 1025));
}

BOOST_FIXTURE_TEST_CASE(LessIsBufferedForEachCallerWhileMemoryIsTight,
                        Fixture) {
  BOOST_TEST(pressure.UnsentLimit(749'999, false) == 64U * 1024);
  BOOST_TEST(pressure.UnsentLimit(750'000, false) == 8U * 1024);
  BOOST_TEST(pressure.UnsentLimit(100'000, true) > kBound);
  BOOST_TEST(pressure.UnsentLimit(750'000, true) == 8U * 1024);
  BOOST_TEST(pressure.MayReadInFull(499'999));
  BOOST_TEST(!pressure.MayReadInFull(500'000));
}

BOOST_FIXTURE_TEST_CASE(ItEasesLowerThanItGetsTight, Fixture) {
  BOOST_TEST(!pressure.Update(749'999));
  BOOST_TEST(pressure.Update(750'000));
  BOOST_TEST(!pressure.Update(600'000));
  BOOST_TEST(pressure.IsTight());
  BOOST_TEST(pressure.Update(599'999));
  BOOST_TEST(!pressure.IsTight());
}

// --- Cuts --------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(NothingIsCutUpToTheBound, Fixture) {
  Add(1, "a", kBound);
  Wait(std::chrono::seconds(5));
  BOOST_TEST(CutAt(kBound).empty());
  BOOST_TEST(CutAt(kBound + 1) == Ids{1}, boost::test_tools::per_element());
}

// Guards against cutting a caller that reads slowly but steadily, although it
// holds more than one that rests.
BOOST_FIXTURE_TEST_CASE(AHolderThatProgressesIsNeverCutBesideAStalledOne,
                        Fixture) {
  Add(1, "a", 900'000);
  Add(2, "b", 150'000);
  Wait(std::chrono::seconds(3), {1});
  BOOST_TEST(CutAt(1'050'000) == Ids{2}, boost::test_tools::per_element());
  BOOST_TEST((last[0].rank == MemoryRank::kStalled));
  BOOST_TEST((last[0].without_progress >= std::chrono::seconds(2)));
}

BOOST_FIXTURE_TEST_CASE(WhereAllProgressNoneIsCutBelowTheHardLimit, Fixture) {
  Add(1, "a", 700'000);
  Add(2, "b", 440'000);
  Wait(std::chrono::seconds(3), {1, 2});
  BOOST_TEST(CutAt(1'140'000).empty());
  BOOST_TEST(CutAt(1'160'000) == Ids{1}, boost::test_tools::per_element());
}

// A request that waits for its target isn't stalled by its caller.
BOOST_FIXTURE_TEST_CASE(RequestsAtSlowTargetsOutlastStalledCallers, Fixture) {
  Add(1, "a", 800'000);
  Add(2, "a", 250'000);
  holders[0].awaits_target = true;
  Wait(std::chrono::seconds(3));
  BOOST_TEST(CutAt(1'050'000) == Ids{2}, boost::test_tools::per_element());
  holders.pop_back();
  BOOST_TEST(CutAt(1'050'000).empty());
  BOOST_TEST(CutAt(1'160'000) == Ids{1}, boost::test_tools::per_element());
}

// Guards against cutting a stream between two of its events, which holds
// little, before a caller that fills the memory.
BOOST_FIXTURE_TEST_CASE(AStreamBetweenTwoEventsIsNotTakenForASlowTarget,
                        Fixture) {
  Add(1, "a", 1'150'000);
  Add(2, "b", 3'000);
  holders[1].awaits_target = true;
  Wait(milliseconds(400));
  BOOST_TEST(CutAt(1'160'000) == Ids{1}, boost::test_tools::per_element());
}

// Its target would cut it soon, so it is the least loss.
BOOST_FIXTURE_TEST_CASE(AnAnswerThatWasLeftUnreadGoesFirst, Fixture) {
  Add(1, "a", 900'000);
  Add(2, "b", 150'000);
  holders[1].is_paused = true;
  Wait(milliseconds(900));
  BOOST_TEST(CutAt(1'050'000) == Ids{1}, boost::test_tools::per_element());
  Wait(milliseconds(300));
  BOOST_TEST(CutAt(1'050'000) == Ids{2}, boost::test_tools::per_element());
}

// Guards against cutting the connections of customers that hold little.
BOOST_FIXTURE_TEST_CASE(TheCustomerThatHoldsTheMostGivesFirst, Fixture) {
  for (std::uint64_t n = 1; n <= 10; ++n) Add(n, "large", 60'000);
  Add(20, "small", 200'000);
  Wait(std::chrono::seconds(2));
  const Ids cut = CutAt(1'100'000);
  BOOST_TEST(cut.size() == 4U);
  for (const std::uint64_t id : cut) BOOST_TEST(id <= 10U);
  BOOST_TEST(last[0].customer_held == 600'000U);
  BOOST_TEST(last[3].customer_held == 420'000U);
}

BOOST_FIXTURE_TEST_CASE(WithinACustomerSizeAndTimeDecide, Fixture) {
  Add(1, "a", 300'000);
  Wait(std::chrono::seconds(2));
  Add(2, "a", 400'000);
  Add(3, "a", 200'000);
  Wait(std::chrono::seconds(2));
  // 300 KB for 4 s, 400 KB for 2 s, 200 KB for 2 s.
  BOOST_TEST(CutAt(1'400'000) == (Ids{1, 2}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(HoldersWithoutACustomerCountOneByOne, Fixture) {
  for (std::uint64_t n = 1; n <= 10; ++n) Add(n, "", 60'000);
  Add(20, "known", 200'000);
  Wait(std::chrono::seconds(2));
  BOOST_TEST(CutAt(1'001'000) == Ids{20}, boost::test_tools::per_element());
}

// Guards against a holder that is judged by what an earlier one with its id
// did, and against progress that is kept forever.
BOOST_FIXTURE_TEST_CASE(WhatIsGoneIsForgotten, Fixture) {
  Add(1, "a", 500'000);
  Wait(std::chrono::seconds(5));
  const auto gone = std::exchange(holders, {});
  Wait(milliseconds(100));
  holders = gone;
  Wait(milliseconds(100));
  BOOST_TEST(CutAt(1'100'000).empty());
}

}  // namespace
}  // namespace quaytrack
