// Tests a fleet in which one router is cut off from the key-value service and
// the others aren't.

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

RouterFleetSpec WithKvProxies() {
  RouterFleetSpec out;
  out.proxy_kv = true;
  return out;
}

struct CutFixture : FleetFixture {
  CutFixture() : FleetFixture(WithKvProxies()) { AwaitWitnesses(); }

  void SetProxy(const std::string& mode) {
    fleet.Control("kv-proxy-1", "mode?mode=" + mode);
  }

  // Sends `count` chats to a router, one after the other; returns how many
  // streams were complete.
  int Serve(int router, int count, const std::string& name) {
    int complete = 0;
    for (int n = 0; n < count; ++n) {
      const TestReply it = fleet.Call(
          fleet.Router(router),
          RouterFleet::Chat(kLakhon, name + std::to_string(n), 3, true));
      if (ReadStream(it.body).done) ++complete;
    }
    return complete;
  }
};

BOOST_FIXTURE_TEST_CASE(CutRouterServesFromItsGrantAndBillsLater, CutFixture) {
  for (const char* mode : {"cut", "freeze", "drop_answers"}) {
    SetProxy(mode);
    BOOST_TEST(Serve(1, 15, std::string(mode) + "-a") == 15);
    BOOST_TEST(Serve(2, 15, std::string(mode) + "-b") == 15);
    SetProxy("pass");
    CheckBills();
  }
}

BOOST_FIXTURE_TEST_CASE(CutRouterThatDiesIsRecoveredByItsWitness, CutFixture) {
  SetProxy("cut");
  BOOST_TEST(Serve(1, 15, "dies") == 15);
  fleet.Kill("router-1", SIGKILL);
  CheckBills();
  BOOST_TEST(fleet.WaitFor([&] {
    const nlohmann::json budget = Budget("lakhon");
    for (const auto& it : budget["grants"].items()) {
      if (it.key().starts_with("vm-router-1@")) return false;
    }
    return true;
  }));
}

BOOST_FIXTURE_TEST_CASE(CutRouterClaimsNothing, CutFixture) {
  SetProxy("freeze");
  const TestRequest sign =
      RouterFleet::Service(kLakhon, "/sign", "{}", "cut-1");
  const TestReply refused = fleet.Call(fleet.Router(1), sign);
  BOOST_TEST(refused.Json()["ran"] == "no");
  const TestReply other = fleet.Call(fleet.Router(2), sign);
  BOOST_TEST(other.status == 200);
  SetProxy("pass");
  // Whether or not the first router's claim was written, the call ran once.
  BOOST_TEST(fleet.WaitFor(
      [&] { return fleet.Call(fleet.Router(1), sign).body == other.body; }));
  BOOST_TEST(ServiceRuns("cut-1") == 1);
}

}  // namespace
}  // namespace quaytrack
