// Tests a fleet whose key-value service refuses calls, hangs, or loses answers.

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

struct OutageFixture : FleetFixture {
  OutageFixture() { AwaitWitnesses(); }

  // Sends `count` chats over all routers; returns how many streams were
  // complete.
  int Serve(int count, const std::string& name) {
    int complete = 0;
    int ended = 0;
    for (int n = 0; n < count; ++n) {
      fleet.Begin(fleet.Router(n % 3 + 1),
                  RouterFleet::Chat(kLakhon, name + std::to_string(n), 3, true),
                  [&](const TestReply& it) {
                    ++ended;
                    if (ReadStream(it.body).done) ++complete;
                  });
    }
    BOOST_TEST(fleet.WaitFor([&] { return ended == count; }));
    return complete;
  }
};

BOOST_FIXTURE_TEST_CASE(SpendingGoesOnThroughAnOutage, OutageFixture) {
  for (const char* mode : {"refuse", "hang"}) {
    fleet.Control("kv", std::string("mode?mode=") + mode);
    BOOST_TEST(Serve(60, mode) == 60);
    fleet.Control("kv", "mode?mode=normal");
    CheckBills();
  }
}

BOOST_FIXTURE_TEST_CASE(LostAnswersDoubleNothing, OutageFixture) {
  fleet.Control("kv", "mode?mode=lose");
  BOOST_TEST(Serve(60, "lose") == 60);
  fleet.Control("kv", "mode?mode=normal");
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(BudgetIsNotPassedThroughAnOutage, OutageFixture) {
  // Each request may cost 16 + 6 + 10; the budget of 100 covers few.
  fleet.Control("kv", "mode?mode=refuse");
  int ended = 0;
  for (int n = 0; n < 60; ++n) {
    fleet.Begin(fleet.Router(n % 3 + 1),
                RouterFleet::Chat(kTiny, "tiny", 10, true),
                [&](const TestReply&) { ++ended; });
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == 60; }));
  BOOST_TEST(Ran("tiny") <= 100);
  fleet.Control("kv", "mode?mode=normal");
  for (int n = 1; n <= 3; ++n) {
    BOOST_TEST(
        fleet.WaitFor([&] { return Status(n)["kv_reachable"] == true; }));
  }
  ended = 0;
  for (int n = 0; n < 60; ++n) {
    fleet.Begin(fleet.Router(n % 3 + 1),
                RouterFleet::Chat(kTiny, "tiny", 10, true),
                [&](const TestReply&) { ++ended; });
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == 60; }));
  BOOST_TEST(Ran("tiny") <= 100);
  // Some requests were served.
  BOOST_TEST(Ran("tiny") > 0);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(UnclaimedCallIsRefusedAndNotRun, OutageFixture) {
  const TestRequest sign =
      RouterFleet::Service(kLakhon, "/sign", "{}", "out-1");
  fleet.Control("kv", "mode?mode=refuse");
  const TestReply refused = fleet.Call(fleet.Router(1), sign);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Json()["ran"] == "no");
  BOOST_TEST(refused.Json()["error"]["code"] == "claims_unavailable");
  BOOST_TEST(ServiceRuns("out-1") == 0);
  fleet.Control("kv", "mode?mode=normal");
  // The withdrawn claim must not block the retry.
  BOOST_TEST(fleet.WaitFor(
      [&] { return fleet.Call(fleet.Router(2), sign).status == 200; }));
  BOOST_TEST(ServiceRuns("out-1") == 1);
}

BOOST_FIXTURE_TEST_CASE(ClaimWhoseAnswerIsLostRunsAtMostOnce, OutageFixture) {
  const TestRequest sign =
      RouterFleet::Service(kLakhon, "/sign", "{}", "lost-1");
  fleet.Control("kv", "mode?mode=lose");
  int ended = 0;
  int not_run = 0;
  for (int n = 1; n <= 3; ++n) {
    fleet.Begin(fleet.Router(n), sign, [&](const TestReply& it) {
      ++ended;
      if (it.Json()["ran"] == "no") ++not_run;
    });
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == 3; }));
  BOOST_TEST(ServiceRuns("lost-1") + not_run <= 3);
  BOOST_TEST(ServiceRuns("lost-1") <= 1);
  fleet.Control("kv", "mode?mode=normal");
  BOOST_TEST(fleet.WaitFor([&] {
    const TestReply it = fleet.Call(fleet.Router(1), sign);
    return it.status == 200;
  }));
  BOOST_TEST(ServiceRuns("lost-1") == 1);
}

}  // namespace
}  // namespace quaytrack
