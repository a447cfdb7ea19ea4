// Tests routers that are killed, or frozen and resumed, with requests in
// flight. Each execution that the engines recorded must be billed once.

#include "ledger/record.h"
#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

struct DeathFixture : FleetFixture {
  DeathFixture() { AwaitWitnesses(); }

  // Starts streams at a router; `ended` counts their answers.
  void StartStreams(int router, int count, int tokens) {
    for (int n = 0; n < count; ++n) {
      fleet.Begin(fleet.Router(router),
                  RouterFleet::Chat(kLakhon, "stream " + std::to_string(n),
                                    tokens, true),
                  [this](const TestReply&) { ++ended; });
    }
  }

  void AwaitRunning(std::size_t count) {
    BOOST_REQUIRE(fleet.WaitFor([&] {
      std::size_t running = 0;
      for (const auto& it : fleet.Executions("engine")) {
        const bool started = it["output_tokens"].get<int>() > 2;
        if (it["ended"] == "running" && started) ++running;
      }
      return running >= count;
    }));
  }

  // Waits until no incarnation of the VM has a grant of the budget.
  void AwaitGrantsReturned(const std::string& vm) {
    BOOST_TEST(fleet.WaitFor([&] {
      const nlohmann::json budget = Budget("lakhon");
      for (const auto& it : budget["grants"].items()) {
        if (it.key().starts_with(vm + "@")) return false;
      }
      return true;
    }));
  }

  int ended = 0;
};

BOOST_FIXTURE_TEST_CASE(KilledMidStreamIsBilledForWhatRan, DeathFixture) {
  StartStreams(1, 5, 400);
  AwaitRunning(5);
  fleet.Kill("router-1", SIGKILL);
  BOOST_TEST(fleet.WaitFor([&] { return ended == 5; }));
  CheckBills();
  AwaitGrantsReturned("vm-router-1");
  BOOST_TEST(Budget("lakhon")["settled"].get<long long>() == Ran("lakhon"));
}

BOOST_FIXTURE_TEST_CASE(KilledRightAfterAnAnswerLosesNoBill, DeathFixture) {
  for (int n = 0; n < 20; ++n) {
    const TestReply it = fleet.Call(
        fleet.Router(1),
        RouterFleet::Chat(kLakhon, "p" + std::to_string(n), 2, true));
    BOOST_TEST(ReadStream(it.body).done);
  }
  fleet.Kill("router-1", SIGKILL);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(KilledWhileTheKvIsOutIsRecoveredLater, DeathFixture) {
  fleet.Control("kv", "mode?mode=refuse");
  for (int n = 0; n < 10; ++n) {
    const TestReply it = fleet.Call(
        fleet.Router(1),
        RouterFleet::Chat(kLakhon, "o" + std::to_string(n), 3, true));
    BOOST_TEST(ReadStream(it.body).done);
  }
  StartStreams(1, 3, 400);
  AwaitRunning(3);
  fleet.Kill("router-1", SIGKILL);
  BOOST_TEST(fleet.WaitFor([&] { return ended == 3; }));
  fleet.Control("kv", "mode?mode=normal");
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(FrozenRouterIsNotRobbedAndGoesOn, DeathFixture) {
  StartStreams(1, 3, 60);
  AwaitRunning(3);
  const long long grants = Budget("lakhon")["outstanding"];
  fleet.Kill("router-1", SIGSTOP);
  // Its lease expires; the other routers then see two routers.
  BOOST_REQUIRE(
      fleet.WaitFor([&] { return Status(2)["routers"].size() == 2; }));
  // The VM is still listed, so its grants weren't taken back.
  BOOST_TEST(Budget("lakhon")["outstanding"].get<long long>() >= grants / 2);
  BOOST_TEST(Status(2)["stranded_tokens"] == 0);
  fleet.Kill("router-1", SIGCONT);
  BOOST_TEST(fleet.WaitFor([&] { return ended == 3; }));
  BOOST_TEST(fleet.WaitFor([&] {
    return fleet
               .Call(fleet.Router(1),
                     RouterFleet::Chat(kLakhon, "back", 2, true))
               .status == 200;
  }));
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(SuccessorOnTheSameVmProvesTheDeath, DeathFixture) {
  StartStreams(1, 2, 400);
  AwaitRunning(2);
  fleet.Kill("router-1", SIGKILL);
  // The VM stays in the list, so only the successor's registration proves that
  // the router is dead.
  fleet.Control("vm-list", "set?name=vm-router-1&state=live");
  BOOST_REQUIRE(fleet.StartRouter(1));
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(RetryElsewhereWithTheSameKeyIsBilledOnce,
                        DeathFixture) {
  TestRequest keyed = RouterFleet::Chat(kLakhon, "keyed", 5, true);
  keyed.headers.push_back({"Idempotency-Key", "chat-1"});
  BOOST_TEST(ReadStream(fleet.Call(fleet.Router(1), keyed).body).done);
  BOOST_TEST(ReadStream(fleet.Call(fleet.Router(2), keyed).body).done);
  BOOST_TEST(ReadStream(fleet.Call(fleet.Router(3), keyed).body).done);
  BOOST_TEST(fleet.WaitFor([&] {
    return fleet.Bills().size() == 1 && Status(1)["unwritten_bills"] == 0 &&
           Status(2)["unwritten_bills"] == 0 &&
           Status(3)["unwritten_bills"] == 0;
  }));
  BOOST_TEST(Budget("lakhon")["settled"] == 7);
}

// The name of a budget that shares its record with no other budget.
std::string SpareName() {
  std::set<int> used;
  for (const FleetCustomer& it : RouterFleetSpec().customers) {
    used.insert(ShardOf(BudgetName(it.name)));
  }
  for (int n = 0;; ++n) {
    std::string out = "spare-" + std::to_string(n);
    if (!used.contains(ShardOf(BudgetName(out)))) return out;
  }
}

RouterFleetSpec WithSpare() {
  RouterFleetSpec out;
  out.customers.push_back(
      {SpareName(), "key-spare", 1000, "cover=1s standing=0"});
  return out;
}

struct SpareFixture : FleetFixture {
  SpareFixture() : FleetFixture(WithSpare()) { AwaitWitnesses(); }

  std::string WitnessOfRouter1() {
    const std::string witness = Status(1)["witness"];
    return witness.starts_with("vm-router-2@") ? "router-2" : "router-3";
  }
};

BOOST_FIXTURE_TEST_CASE(ARecordWithoutGrantsClosesNoOther, SpareFixture) {
  const TestReply spent =
      fleet.Call(fleet.Router(1), RouterFleet::Chat("key-spare", "x", 2, true));
  BOOST_TEST(ReadStream(spent.body).done);
  BOOST_REQUIRE(fleet.WaitFor([&] {
    const nlohmann::json it = Budget(SpareName());
    return it["settled"].get<int>() > 0 && it["grants"].empty();
  }));
  fleet.Control("kv", "mode?mode=refuse");
  for (int n = 0; n < 10; ++n) {
    const TestReply it = fleet.Call(
        fleet.Router(1),
        RouterFleet::Chat(kLakhon, "o" + std::to_string(n), 3, true));
    BOOST_TEST(ReadStream(it.body).done);
  }
  const std::string witness = WitnessOfRouter1();
  const int other = witness == "router-2" ? 3 : 2;
  fleet.Kill(witness, SIGSTOP);
  fleet.Kill("router-1", SIGKILL);
  fleet.Control("kv", "mode?mode=normal");
  // The other router has tried to recover the grants, and found that it can't
  // know what was spent.
  BOOST_TEST(fleet.WaitFor([&] {
    return Status(other).value("stranded_tokens", 0LL) > 0 ||
           fleet.LogCount("router_recovered") > 0;
  }));
  BOOST_TEST(fleet.LogCount("router_recovered") == 0);
  fleet.Kill(witness, SIGCONT);
  CheckBills();
}

}  // namespace
}  // namespace quaytrack
