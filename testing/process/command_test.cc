// Tests operators' commands while the key-value service is slow or not
// reachable.

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

RouterFleetSpec OneRouter() {
  RouterFleetSpec out;
  out.routers = 1;
  return out;
}

struct CommandFixture : FleetFixture {
  CommandFixture() : FleetFixture(OneRouter()) {
    BOOST_REQUIRE(fleet.WaitFor([&] { return Budget("lakhon").is_object(); }));
  }

  int Audit(const std::string& kv) {
    std::string output;
    return fleet.Command({"budget", "audit", "--kv=" + kv}, &output);
  }
};

BOOST_FIXTURE_TEST_CASE(AReadWaitsForASlowAnswer, CommandFixture) {
  // Longer than a router's timeout.
  fleet.Control("kv", "mode?mode=slow&ms=1500");
  BOOST_TEST(fleet.Bills().is_array());
  BOOST_TEST(fleet.Budgets().is_array());
  BOOST_TEST(Audit(fleet.Process("kv").address) == 0);
}

BOOST_FIXTURE_TEST_CASE(AReadGoesToTheNextEndpoint, CommandFixture) {
  // No process listens at the first address.
  BOOST_TEST(Audit("127.0.0.1:1," + fleet.Process("kv").address) == 0);
}

BOOST_FIXTURE_TEST_CASE(AServiceThatIsAwayIsToldFromAnEmptyOne,
                        CommandFixture) {
  constexpr int kUnreachable = 3;
  BOOST_TEST(Audit("127.0.0.1:1") == kUnreachable);
  fleet.Control("kv", "mode?mode=refuse");
  BOOST_TEST(Audit(fleet.Process("kv").address) == kUnreachable);
}

}  // namespace
}  // namespace quaytrack
