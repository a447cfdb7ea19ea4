// Tests that CBOR values round-trip, and that bytes that can't be decoded give
// an empty result instead of an exception.

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

// Guards against an escaping exception: the bytes announce an array with more
// elements than memory can hold, for which the parser throws.
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
