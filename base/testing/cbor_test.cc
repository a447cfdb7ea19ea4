#include "base/cbor.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

std::string Text(const nlohmann::json& json) {
  return json.at("text").get<std::string>();
}

BOOST_AUTO_TEST_CASE(AValueIsReadAsItWasWritten) {
  BOOST_TEST(FromCbor(ToCbor({{"text", "a"}}), Text).value_or("") == "a");
  BOOST_TEST(!FromCbor(ToCbor({{"text", 7}}), Text).has_value());
}

// An array of more elements than there can be bytes.
BOOST_AUTO_TEST_CASE(AnImpossibleLengthIsNoValue) {
  BOOST_TEST(!FromCbor("\x9B"
                       "aaaaaaaa",
                       Text)
                  .has_value());
}

BOOST_AUTO_TEST_CASE(GarbageIsNoValue) {
  BOOST_TEST(rc::check("garbage is no value", [](const std::string& bytes) {
    FromCbor(bytes, Text);
  }));
}

}  // namespace
}  // namespace quaytrack
