// Tests the steps of a planned stop, the condition that ends each, and which
// requests are still accepted.

#include "relay/planned_stop.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "kv/testing/scripted_store.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using Steps = std::vector<std::string>;

// Finishing starts at 100 ms; requests have plenty of time.
PlannedStopTimes LongTimes() {
  PlannedStopTimes out;
  out.balancer_delay = milliseconds(100);
  out.late_after = milliseconds(150);
  out.return_timeout = milliseconds(80);
  out.final_writes = milliseconds(5);
  out.reserve = milliseconds(10);
  out.total = std::chrono::minutes(1);
  out.margin = milliseconds(100);
  return out;
}

// Finishing starts at 100 ms, and the time for requests ends at 300 ms.
PlannedStopTimes Times() {
  PlannedStopTimes out = LongTimes();
  out.total = milliseconds(400);
  return out;
}

DrainChart BoundChart() {
  return boost::leaf::try_handle_all(
      [] { return BindDrainChart(); },
      []() -> DrainChart { throw std::runtime_error("no chart"); });
}

struct Fixture {
  explicit Fixture(const PlannedStopTimes& times = LongTimes())
      : stop(loop, clock, chart, times, Handlers()) {}

  PlannedStop::Handlers Handlers() {
    PlannedStop::Handlers out;
    out.report_unready = [this] { steps.emplace_back("report_unready"); };
    out.stop_listening = [this] { steps.emplace_back("stop_listening"); };
    out.close_idle = [this] { steps.emplace_back("close_idle"); };
    out.return_grants = [this] { steps.emplace_back("return_grants"); };
    out.end_unfinished = [this](Duration) {
      steps.emplace_back("end_unfinished");
    };
    out.finished = [this](Duration) { steps.emplace_back("finished"); };
    out.requests = [this] { return requests; };
    out.requests_before = [this](Instant) {
      return old_requests.value_or(requests);
    };
    out.grants_returned = [this] { return returned; };
    return out;
  }
  Steps Taken() { return std::exchange(steps, {}); }
  // Whether the loop ends by itself.
  bool LoopEnds() {
    bool timed_out = false;
    const auto guard = loop.After(std::chrono::seconds(5), [&] {
      timed_out = true;
      loop.Stop();
    });
    loop.Run();
    return !timed_out;
  }

  const SystemClock clock;
  Loop loop;
  DrainChart chart = BoundChart();
  Steps steps;
  std::size_t requests = 1;
  // Those that began within `late_after`; unset: all of them.
  std::optional<std::size_t> old_requests;
  bool returned = false;
  PlannedStop stop;
};

BOOST_FIXTURE_TEST_CASE(NothingHappensBeforeItIsAsked, Fixture) {
  requests = 0;
  returned = true;
  stop.Check();
  BOOST_TEST(!stop.started());
  BOOST_TEST(Taken().empty());
}

BOOST_FIXTURE_TEST_CASE(AStopGoesThroughItsSteps, Fixture) {
  stop.Start();
  BOOST_TEST(stop.started());
  BOOST_TEST((Taken() == Steps{"report_unready"}));
  // No request runs, but the balancer may not have noticed yet.
  requests = 0;
  stop.Check();
  BOOST_TEST(Taken().empty());
  requests = 1;
  RunFor(loop, milliseconds(120));
  BOOST_TEST((Taken() == Steps{"close_idle"}));
  stop.Check();
  BOOST_TEST(Taken().empty());
  requests = 0;
  stop.Check();
  BOOST_TEST((Taken() == Steps{"stop_listening", "close_idle", "close_idle",
                               "return_grants"}));
  stop.Check();
  BOOST_TEST(Taken().empty());
  returned = true;
  stop.Check();
  BOOST_TEST((Taken() == Steps{"finished"}));
  BOOST_TEST(LoopEnds());
}

BOOST_AUTO_TEST_CASE(RequestsThatDontEndAreNotWaitedForUntilTheKill) {
  Fixture it(Times());
  // Uses timers of the loop, whose order doesn't depend on the machine's load.
  Steps taken;
  const auto before = it.loop.After(milliseconds(250), [&] { it.Taken(); });
  const auto after = it.loop.After(milliseconds(350), [&] {
    taken = it.Taken();
    it.loop.Stop();
  });
  it.stop.Start();
  it.loop.Run();
  BOOST_TEST(
      (taken == Steps{"end_unfinished", "stop_listening", "return_grants"}));
}

BOOST_FIXTURE_TEST_CASE(GrantsThatDontComeBackAreNotWaitedForUntilTheKill,
                        Fixture) {
  stop.Start();
  RunFor(loop, milliseconds(120));
  requests = 0;
  stop.Check();
  Taken();
  // Earlier than the time for requests ends.
  RunFor(loop, milliseconds(130));
  BOOST_TEST((Taken() == Steps{"finished"}));
}

// Late requests are waited for, but the router stops listening meanwhile.
BOOST_FIXTURE_TEST_CASE(LateRequestsDontProlongTheListening, Fixture) {
  stop.Start();
  RunFor(loop, milliseconds(200));
  Taken();
  old_requests = 0;
  stop.Check();
  BOOST_TEST((Taken() == Steps{"stop_listening", "close_idle"}));
  requests = 0;
  stop.Check();
  BOOST_TEST((Taken() == Steps{"close_idle", "return_grants"}));
}

BOOST_FIXTURE_TEST_CASE(OnlyRequestsThatEndInTimeAreTaken, Fixture) {
  BOOST_TEST((stop.LatestDeadline() == Instant::max()));
  stop.Start();
  const Instant end = clock.Now() + LongTimes().total - LongTimes().margin;
  // Also before the balancer has noticed.
  BOOST_TEST((stop.LatestDeadline() <= end));
  BOOST_TEST((stop.LatestDeadline() > end - std::chrono::seconds(10)));
  RunFor(loop, milliseconds(200));
  BOOST_TEST((stop.LatestDeadline() <= end));
  BOOST_TEST((stop.LatestDeadline() > end - std::chrono::seconds(10)));
  requests = 0;
  stop.Check();
  BOOST_TEST((stop.LatestDeadline() == Instant::min()));
  returned = true;
  stop.Check();
  BOOST_TEST((stop.LatestDeadline() == Instant::min()));
}

// If the balancer needs more time than there is, the stop still ends before the
// kill.
BOOST_AUTO_TEST_CASE(AShortStopEndsBeforeTheKill) {
  PlannedStopTimes times = Times();
  times.balancer_delay = std::chrono::seconds(3);
  Fixture it(times);
  Steps taken;
  const auto after = it.loop.After(milliseconds(350), [&] {
    taken = it.Taken();
    it.loop.Stop();
  });
  it.stop.Start();
  it.loop.Run();
  BOOST_TEST((taken == Steps{"report_unready", "end_unfinished",
                             "stop_listening", "return_grants"}));
  BOOST_TEST(it.LoopEnds());
}

BOOST_FIXTURE_TEST_CASE(AskedTwiceItIsTheSameStop, Fixture) {
  stop.Start();
  RunFor(loop, milliseconds(60));
  stop.Start();
  RunFor(loop, milliseconds(60));
  BOOST_TEST((Taken() == Steps{"report_unready", "close_idle"}));
  stop.Start();
  BOOST_TEST(Taken().empty());
}

}  // namespace
}  // namespace quaytrack
