// Tests that a call that must not be repeated runs at most once when routers
// and services fail.

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

struct ClaimFixture : FleetFixture {
  ClaimFixture() { AwaitWitnesses(); }
};

BOOST_FIXTURE_TEST_CASE(LostAnswerIsUnknownAndNeverRunAgain, ClaimFixture) {
  fleet.Control("forms-1", "mode?mode=lose");
  fleet.Control("forms-2", "mode?mode=lose");
  const TestRequest sign = RouterFleet::Service(kLakhon, "/sign", "{}", "l1");
  const TestReply first = fleet.Call(fleet.Router(1), sign);
  BOOST_TEST(first.Json()["ran"] == "unknown");
  fleet.Control("forms-1", "mode?mode=normal");
  fleet.Control("forms-2", "mode?mode=normal");
  for (int n = 1; n <= 3; ++n) {
    BOOST_TEST(fleet.WaitFor([&] {
      const TestReply it = fleet.Call(fleet.Router(n), sign);
      return it.Json()["error"]["code"] == "outcome_unknown";
    }));
  }
  BOOST_TEST(ServiceRuns("l1") == 1);
  // The call ran once, so it is billed once.
  BOOST_TEST(fleet.WaitFor([&] { return fleet.Bills().size() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(DeadOwnersCallIsNeverRunAgain, ClaimFixture) {
  fleet.Control("forms-1", "mode?mode=hang");
  fleet.Control("forms-2", "mode?mode=hang");
  const TestRequest sign = RouterFleet::Service(kLakhon, "/sign", "{}", "d1");
  int ended = 0;
  fleet.Begin(fleet.Router(1), sign, [&](const TestReply&) { ++ended; });
  BOOST_REQUIRE(fleet.WaitFor([&] { return ServiceRuns("d1") == 1; }));
  // While the claim's owner lives, a retry at another router is refused with
  // 409.
  const TestReply early = fleet.Call(fleet.Router(2), sign);
  BOOST_TEST(early.status == 409);
  BOOST_TEST(early.Json()["ran"] == "unknown");
  fleet.Kill("router-1", SIGKILL);
  fleet.Control("forms-1", "mode?mode=normal");
  fleet.Control("forms-2", "mode?mode=normal");
  BOOST_TEST(fleet.WaitFor([&] {
    const TestReply it = fleet.Call(fleet.Router(2), sign);
    return it.Json()["error"]["code"] == "outcome_unknown";
  }));
  BOOST_TEST(ServiceRuns("d1") == 1);
  BOOST_TEST(fleet.WaitFor([&] { return fleet.Bills().size() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(RefusedByTheServiceMeansNotRun, ClaimFixture) {
  fleet.Control("forms-1", "mode?mode=refuse");
  fleet.Control("forms-2", "mode?mode=refuse");
  const TestRequest sign = RouterFleet::Service(kLakhon, "/sign", "{}", "r1");
  const TestReply refused = fleet.Call(fleet.Router(1), sign);
  BOOST_TEST(refused.Json()["ran"] == "no");
  BOOST_TEST(ServiceRuns("r1") == 0);
  fleet.Control("forms-1", "mode?mode=normal");
  fleet.Control("forms-2", "mode?mode=normal");
  BOOST_TEST(fleet.WaitFor(
      [&] { return fleet.Call(fleet.Router(2), sign).status == 200; }));
  BOOST_TEST(ServiceRuns("r1") == 1);
}

// Guards against a caller that is told that its call hasn't run, because the
// service ran it and then answered with a status that promises this.
BOOST_FIXTURE_TEST_CASE(ARefusalWithoutProofIsAnUnknownOutcome, ClaimFixture) {
  int calls = 0;
  for (const std::string status : {"408", "429", "503"}) {
    for (const std::string it : {"forms-1", "forms-2"})
      fleet.Control(it, "mode?mode=refuse_after_run&status=" + status);
    const std::string key = "u" + std::to_string(++calls);
    const TestRequest sign = RouterFleet::Service(kLakhon, "/sign", "{}", key);
    const TestReply first = fleet.Call(fleet.Router(1), sign);
    BOOST_TEST(first.status == 502);
    BOOST_TEST(first.Json()["ran"] == "unknown");
    BOOST_TEST(ServiceRuns(key) == 1);
    const TestReply again = fleet.Call(fleet.Router(2), sign);
    BOOST_TEST(again.Json()["ran"] == "unknown");
    BOOST_TEST(ServiceRuns(key) == 1);
  }
}

// Guards against a promise by the last attempt alone: an earlier one of a call
// that may be repeated has run it.
BOOST_FIXTURE_TEST_CASE(AnEarlierAttemptMayHaveRunTheCall, ClaimFixture) {
  fleet.Control("forms-1", "mode?mode=refuse_after_run&status=503");
  fleet.Control("forms-2", "mode?mode=refuse");
  int ran = 0;
  for (int n = 0; n < 12; ++n) {
    const std::size_t before = fleet.Executions("service").size();
    const TestReply it = fleet.Call(
        fleet.Router(1), RouterFleet::Service(kLakhon, "/read", "{}", ""));
    if (fleet.Executions("service").size() == before) continue;
    ++ran;
    BOOST_TEST(it.Json()["ran"] == "unknown", it.body);
  }
  BOOST_TEST(ran > 0);
}

BOOST_FIXTURE_TEST_CASE(DeadServicesMeanNotRun, ClaimFixture) {
  fleet.Kill("forms-1", SIGKILL);
  fleet.Kill("forms-2", SIGKILL);
  const TestReply refused = fleet.Call(
      fleet.Router(1), RouterFleet::Service(kLakhon, "/sign", "{}", "x1"));
  BOOST_TEST(refused.status >= 500);
  BOOST_TEST(refused.Json()["ran"] == "no");
}

BOOST_FIXTURE_TEST_CASE(CallerThatLeavesFindsItsAnswerLater, ClaimFixture) {
  fleet.Control("forms-1", "delay?ms=400");
  fleet.Control("forms-2", "delay?ms=400");
  const TestRequest sign = RouterFleet::Service(kLakhon, "/sign", "{}", "g1");
  auto call = fleet.Begin(fleet.Router(1), sign, [](const TestReply&) {});
  BOOST_REQUIRE(fleet.WaitFor([&] { return ServiceRuns("g1") == 1; }));
  call->Cancel();
  BOOST_TEST(fleet.WaitFor(
      [&] { return fleet.Call(fleet.Router(3), sign).status == 200; }));
  BOOST_TEST(ServiceRuns("g1") == 1);
}

}  // namespace
}  // namespace quaytrack
