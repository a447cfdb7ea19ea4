// Planned stops: nothing in flight is cut, grants go back, exit code 0.

#include <sys/wait.h>

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

struct StopFixture : FleetFixture {
  StopFixture() { AwaitWitnesses(); }

  void StartStreams(int router, int count, int tokens) {
    for (int n = 0; n < count; ++n) {
      ++started;
      const std::string prompt = "stop " + std::to_string(started);
      fleet.Begin(fleet.Router(router),
                  RouterFleet::Chat(kLakhon, prompt, tokens, true),
                  [this, prompt, tokens](const TestReply& it) {
                    ++ended;
                    const SeenStream seen = ReadStream(it.body);
                    const bool right =
                        seen.done && seen.text == ExpectedText(prompt, tokens);
                    if (right) ++whole;
                  });
    }
  }

  bool Ready(int router) {
    TestRequest request;
    request.path = "/readyz";
    return fleet.Call(fleet.Process(Fleet::RouterName(router)).admin, request)
               .status == 200;
  }

  int started = 0;
  int ended = 0;
  int whole = 0;
};

BOOST_FIXTURE_TEST_CASE(SigtermCutsNothingAndReturnsGrants, StopFixture) {
  StartStreams(1, 8, 150);
  BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() == 8; }));
  fleet.Kill("router-1", SIGTERM);
  BOOST_TEST(fleet.WaitFor([&] { return !Ready(1); }));
  const int status = fleet.Await("router-1");
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
  BOOST_TEST(fleet.WaitFor([&] { return ended == 8; }));
  BOOST_TEST(whole == 8);
  JudgeBills();
  std::string ledger;
  fleet.Command({"budget", "show", "--kv=" + fleet.Process("kv").address},
                &ledger);
  // The two that stay hold an eighth each.
  BOOST_TEST(Budget("lakhon")["outstanding"].get<long long>() <= 500000);
}

BOOST_FIXTURE_TEST_CASE(RollingReplacementUnderLoadLosesNothing, StopFixture) {
  for (int round = 1; round <= 3; ++round) {
    for (int n = 1; n <= 3; ++n) StartStreams(n, 4, 60);
    fleet.Kill(Fleet::RouterName(round), SIGTERM);
    // The balancer sends to the others from here on.
    const int next = round % 3 + 1;
    BOOST_TEST(fleet.WaitFor([&] { return !Ready(round); }));
    StartStreams(next, 4, 60);
    const int status = fleet.Await(Fleet::RouterName(round));
    BOOST_TEST(WEXITSTATUS(status) == 0);
    BOOST_REQUIRE(fleet.StartRouter(round));
    BOOST_REQUIRE(fleet.WaitFor([&] { return Ready(round); }));
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == started; }));
  BOOST_TEST(whole == started);
  JudgeBills();
}

BOOST_FIXTURE_TEST_CASE(DrainCommandStopsARouter, StopFixture) {
  std::string output;
  const int code = fleet.Command(
      {"drain", "--admin=" + fleet.Process("router-2").admin}, &output);
  BOOST_TEST(code == 0, output);
  const int status = fleet.Await("router-2");
  BOOST_TEST(WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace quaytrack
