// What is learned of the engines' pace, and what routers tell each other.

#include "dispatch/engine_pace.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "dispatch/overdue_watch.h"
#include "dispatch/slot_watch.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
const ServiceName kService("llm");

TargetStart Engine(int n) { return TargetStart("e" + std::to_string(n)); }

// One router and eight engines, of which each answers ten times a second.
struct OneRouter {
  // Runs until `end`; engine 0 takes `ratio` times as long as the others.
  void Run(Duration time, double ratio) {
    for (const Instant end = now + time; now < end; now += milliseconds(100)) {
      for (int n = 0; n < 8; ++n) {
        const double pause = 50 * (n == 0 ? ratio : 1);
        pace.OnPauses(now, kService, Engine(n), pause, pause * 2);
      }
      pace.Update(now);
    }
  }

  Instant now = kStart;
  EnginePace pace;
};

// The evidence of a source that says that engine 0 takes twice as long.
PaceReports SlowEngine(double answers, Duration age = {}) {
  return {{kService, {{Engine(0), {0, 2.0, answers, age}}}}};
}

// Guards against an engine at half speed that is treated like the others.
BOOST_FIXTURE_TEST_CASE(ASlowEngineIsKnownWithinSeconds, OneRouter) {
  Run(seconds(8), 2.2);
  BOOST_TEST(pace.RatioOf(Engine(0)) == 2.0);
  for (int n = 1; n < 8; ++n) BOOST_TEST(pace.RatioOf(Engine(n)) == 1.0);
  BOOST_TEST(pace.slow() == 1U);
}

// Guards against different costs where engines are alike.
BOOST_FIXTURE_TEST_CASE(EqualEnginesHaveTheRatioOne, OneRouter) {
  Run(seconds(8), 1.15);
  for (int n = 0; n < 8; ++n) BOOST_TEST(pace.RatioOf(Engine(n)) == 1.0);
  BOOST_TEST(pace.Report(now, PaceScope::kOwn).empty());
}

// Guards against a slow moment that lasts as a low weight.
BOOST_FIXTURE_TEST_CASE(ASlowMomentChangesNothing, OneRouter) {
  Run(seconds(8), 1);
  for (int n = 0; n < 5; ++n) {
    Run(milliseconds(600), 2.5);
    BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
    Run(milliseconds(3400), 1);
    BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
  }
}

BOOST_FIXTURE_TEST_CASE(AnEngineThatRecoversIsUsedAgain, OneRouter) {
  Run(seconds(8), 2.2);
  Run(seconds(40), 1);
  BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
}

// Guards against a busy engine that is taken for a slow one: its first events
// wait in a queue, but its pauses are as usual.
BOOST_FIXTURE_TEST_CASE(AQueueIsNoSlowEngine, OneRouter) {
  for (int n = 0; n < 80; ++n) {
    pace.OnFirstEvent(now, kService, Engine(0), 4);
    Run(milliseconds(100), 1);
  }
  BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(NothingIsKnownOfANewStart, OneRouter) {
  Run(seconds(8), 2.2);
  BOOST_TEST(pace.RatioOf(TargetStart("e0@2")) == 1.0);
}

// --- Reports -----------------------------------------------------------------

struct Reader {
  void Wait(Duration time) {
    for (const Instant end = now + time; now < end; now += milliseconds(200))
      pace.Update(now);
  }

  Instant now = kStart;
  EnginePace pace;
};

// Guards against one observation that counts twice because its message, or that
// of another reader of its hall, arrives again.
BOOST_FIXTURE_TEST_CASE(RepeatedReportsCountOnce, Reader) {
  for (int n = 0; n < 20; ++n) {
    pace.OnReport(now, {PaceScope::kOwn, "vm-1"}, SlowEngine(3));
    pace.OnReport(now, {PaceScope::kHall, "hall-2"}, SlowEngine(4));
  }
  const auto all = pace.Report(now, PaceScope::kAll);
  BOOST_TEST(all.at(kService).at(Engine(0)).answers == 7,
             boost::test_tools::tolerance(1e-6));
  // The sums of a hall don't include those of other halls.
  const auto hall = pace.Report(now, PaceScope::kHall);
  BOOST_TEST(hall.at(kService).at(Engine(0)).answers == 3,
             boost::test_tools::tolerance(1e-6));
}

// Guards against a router that adds its own answers to sums which have them.
BOOST_FIXTURE_TEST_CASE(AReadersSumsAreUsedAlone, OneRouter) {
  Run(seconds(8), 2.2);
  BOOST_TEST(pace.RatioOf(Engine(0)) == 2.0);
  for (int n = 0; n < 20; ++n) {
    pace.OnReport(now, {PaceScope::kAll, ""}, {});
    Run(seconds(1), 2.2);
  }
  BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
}

// A lost reader, a partition: reports lose their weight.
BOOST_FIXTURE_TEST_CASE(OldReportsLoseTheirWeight, Reader) {
  pace.OnReport(now, {PaceScope::kAll, ""}, SlowEngine(100));
  Wait(seconds(4));
  BOOST_TEST(pace.RatioOf(Engine(0)) == 2.0);
  Wait(seconds(11));
  BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(TheAgeOfAReportCounts, Reader) {
  pace.OnReport(now, {PaceScope::kAll, ""}, SlowEngine(100, seconds(11)));
  Wait(seconds(4));
  BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(FewAnswersAreNotBelieved, Reader) {
  for (int n = 0; n < 10; ++n) {
    pace.OnReport(now, {PaceScope::kAll, ""}, SlowEngine(5));
    Wait(seconds(1));
  }
  BOOST_TEST(pace.RatioOf(Engine(0)) == 1.0);
}

// Guards against messages that grow with the number of engines.
BOOST_AUTO_TEST_CASE(ALargeServiceIsReportedInTurns) {
  EnginePace pace;
  PaceReports reports;
  for (int n = 0; n < 300; ++n) reports[kService][Engine(n)] = {0, 2.0, 20, {}};
  pace.OnReport(kStart, {PaceScope::kOwn, "vm-1"}, reports);
  std::set<TargetStart> seen;
  for (int n = 0; n < 5; ++n) {
    const auto out = pace.Report(kStart + seconds(n), PaceScope::kHall);
    BOOST_TEST(out.at(kService).size() <= EnginePace::kMaxReported);
    for (const auto& [start, it] : out.at(kService)) seen.insert(start);
  }
  BOOST_TEST(seen.size() == 300U);
}

// --- The weighted order ------------------------------------------------------

BOOST_AUTO_TEST_CASE(EqualRatiosKeepTheOrderOfTheHash) {
  const std::vector<std::uint64_t> hashes = {
      0, 1, 2, 1U << 20, 1ULL << 63, ~0ULL - 1, ~0ULL};
  for (std::size_t n = 1; n < hashes.size(); ++n) {
    for (const double ratio : {0.5, 1.0, 2.0}) {
      BOOST_TEST((KeyFor(hashes[n - 1], ratio) < KeyFor(hashes[n], ratio)));
    }
  }
}

// --- Watches -----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(ALateAnswerMakesATargetOverdueUntilItComes) {
  OverdueWatch it;
  it.OnSent(kStart, milliseconds(50));
  BOOST_TEST(!it.IsOverdue(kStart + milliseconds(139)));
  BOOST_TEST(it.IsOverdue(kStart + milliseconds(140)));
  BOOST_TEST(it.IsOverdue(kStart + milliseconds(639)));
  BOOST_TEST(!it.IsOverdue(kStart + milliseconds(640)));
  it.OnSent(kStart + milliseconds(200), milliseconds(50));
  it.OnAnswer();
  BOOST_TEST(!it.IsOverdue(kStart + milliseconds(200)));
}

// Guards against a request that was never answered and hides all later ones.
BOOST_AUTO_TEST_CASE(AnUnansweredRequestDoesNotHideLaterOnes) {
  OverdueWatch it;
  it.OnSent(kStart, milliseconds(50));
  const Instant later = kStart + seconds(5);
  it.OnSent(later, milliseconds(50));
  BOOST_TEST(it.IsOverdue(later + milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(ARefusalOrASlowAnswerMakesSlotsBusyForAMoment) {
  SlotWatch it;
  it.OnAnswer(kStart, 100, 0);
  BOOST_TEST(!it.IsBusy(kStart));
  it.OnAnswer(kStart, 100, 50);
  BOOST_TEST(it.IsBusy(kStart + milliseconds(199)));
  BOOST_TEST(!it.IsBusy(kStart + milliseconds(200)));
  it.OnRefused(kStart);
  BOOST_TEST(it.IsBusy(kStart));
  it.OnAnswer(kStart, 60, 50);
  BOOST_TEST(!it.IsBusy(kStart));
}

}  // namespace
}  // namespace quaytrack
