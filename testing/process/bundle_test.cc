// Tests that a bundle comes into force at every router, that an older one never
// returns, and that only one of two concurrent bundles is applied.

#include <fstream>

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

struct BundleFixture : FleetFixture {
  bool InForceEverywhere(int version) {
    for (int n = 1; n <= 3; ++n) {
      if (Status(n)["bundle_version"] != version) return false;
    }
    return true;
  }
};

BOOST_FIXTURE_TEST_CASE(NewVersionComesIntoForceAndOldNeverReturns,
                        BundleFixture) {
  BOOST_TEST(fleet.ApplyBundle(2) == 0);
  BOOST_TEST(fleet.WaitFor([&] { return InForceEverywhere(2); }));
  constexpr int kConflict = 4;
  BOOST_TEST(fleet.ApplyBundle(1) == kConflict);
  // A later version still comes into force at every router.
  BOOST_TEST(fleet.ApplyBundle(3) == 0);
  BOOST_TEST(fleet.WaitFor([&] { return InForceEverywhere(3); }));
  std::string shown;
  fleet.Command({"bundle", "show", "--kv=" + fleet.Process("kv").address},
                &shown);
  BOOST_TEST(shown == fleet.BundleText(3));
}

BOOST_FIXTURE_TEST_CASE(SecondOperatorIsToldWhoWonAndWhatDiffers,
                        BundleFixture) {
  BOOST_TEST(fleet.ApplyBundle(5, "model other price-prompt=2\n") == 0);
  constexpr int kConflict = 4;
  BOOST_TEST(fleet.ApplyBundle(5, "model different\n") == kConflict);
  // Applying the same bundle again is no conflict.
  BOOST_TEST(fleet.ApplyBundle(5, "model other price-prompt=2\n") == 0);
}

BOOST_FIXTURE_TEST_CASE(BundleAppliedDuringARoutersCutArrivesAfterIt,
                        BundleFixture) {
  fleet.Kill("router-2", SIGSTOP);
  BOOST_TEST(fleet.ApplyBundle(2) == 0);
  fleet.Kill("router-2", SIGCONT);
  BOOST_TEST(fleet.WaitFor([&] { return InForceEverywhere(2); }));
}

BOOST_FIXTURE_TEST_CASE(BadBundleIsRefusedWithLineAndField, BundleFixture) {
  constexpr int kRefused = 2;
  BOOST_TEST(fleet.ApplyBundle(2, "budget b limit=-1\n") == kRefused);
  BOOST_TEST(fleet.ApplyBundle(2, "customer c budget=none key=x\n") ==
             kRefused);
  BOOST_TEST(InForceEverywhere(1));
}

}  // namespace
}  // namespace quaytrack
