// Tests how the region of each hall is read from the settings.

#include "fleet/hall_regions.h"

#include <boost/test/unit_test.hpp>
#include <initializer_list>

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(ReadsTheRegionOfEachHall) {
  const auto it = HallRegions::Parse("a-1=a,a-2=a,b-1=b");
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST((it->RegionOf(HallName("a-1")) == RegionName("a")));
  BOOST_TEST((it->RegionOf(HallName("a-2")) == RegionName("a")));
  BOOST_TEST((it->RegionOf(HallName("b-1")) == RegionName("b")));
  BOOST_TEST(it->RegionOf(HallName("c-1")).empty());
  BOOST_TEST(it->RegionOf(HallName()).empty());
}

BOOST_AUTO_TEST_CASE(AnEmptySettingNamesNoHall) {
  const auto it = HallRegions::Parse("");
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST(it->RegionOf(HallName("a-1")).empty());
}

BOOST_AUTO_TEST_CASE(WhatIsNoListIsRefused) {
  for (const char* it : {"a-1", "=a", "a-1=", ",", "a-1=a,", ",a-1=a",
                         "a-1=a,,b-1=b", "a-1=a,a-1=b"}) {
    BOOST_TEST(!HallRegions::Parse(it).has_value(), it);
  }
}

}  // namespace
}  // namespace quaytrack
