// Tests which regions a residency allows, and the intersection of two.

#include "base/residency.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

const RegionName kNorth("north");
const RegionName kSouth("south");
const RegionName kUnknown;

BOOST_AUTO_TEST_CASE(WithoutRegionsEverythingIsAllowed) {
  const Residency it;
  BOOST_TEST(!it.IsNowhere());
  BOOST_TEST(it.Allows(kNorth));
  BOOST_TEST(it.Allows(kUnknown));
}

BOOST_AUTO_TEST_CASE(NamedRegionsAllowNoOther) {
  const Residency it({kNorth});
  BOOST_TEST(it.Allows(kNorth));
  BOOST_TEST(!it.Allows(kSouth));
  BOOST_TEST(!it.Allows(kUnknown));
}

BOOST_AUTO_TEST_CASE(NoNamedRegionIsNowhere) {
  const Residency it{std::set<RegionName>()};
  BOOST_TEST(it.IsNowhere());
  BOOST_TEST(!it.Allows(kNorth));
  BOOST_TEST(!it.Allows(kUnknown));
}

BOOST_AUTO_TEST_CASE(BothBind) {
  const Residency anywhere;
  const Residency north({kNorth});
  const Residency both({kNorth, kSouth});
  BOOST_TEST((anywhere.And(north) == north));
  BOOST_TEST((north.And(anywhere) == north));
  BOOST_TEST((both.And(north) == north));
  BOOST_TEST(north.And(Residency({kSouth})).IsNowhere());
  BOOST_TEST((anywhere.And(anywhere) == anywhere));
}

}  // namespace
}  // namespace quaytrack
