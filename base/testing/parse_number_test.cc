// Tests which texts ParseNumber and ParseDecimal accept.

#include "base/parse_number.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(ANumberIsTheWholeText) {
  BOOST_TEST(ParseNumber<int>("15").value() == 15);
  BOOST_TEST(ParseNumber<int>("-15").value() == -15);
  BOOST_TEST(ParseNumber<std::uint64_t>("5c1e07A2", 16).value() == 0x5c1e07a2U);
  for (const char* text : {"", " 1", "1 ", "+1", "1x", "0x1", "1.0", "-"}) {
    BOOST_TEST(!ParseNumber<int>(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(ANumberThatDoesNotFitIsNone) {
  BOOST_TEST(ParseNumber<std::uint16_t>("65535").value() == 65535);
  BOOST_TEST(!ParseNumber<std::uint16_t>("65536").has_value());
  BOOST_TEST(!ParseNumber<std::uint16_t>("-1").has_value());
}

}  // namespace
}  // namespace quaytrack
