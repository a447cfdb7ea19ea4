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

// Guards against the end of the process: the parser calls itself for each level
// of nesting, whatever brings it about.
BOOST_AUTO_TEST_CASE(DeepNestingIsNoValue) {
  constexpr std::size_t kLevels = 300'000;
  const std::string array("\x81", 1);
  const std::string map("\xA1\x61\x61", 3);
  for (const std::string& level :
       {array, map, std::string("\x9F"), std::string("\xBF\x61\x61"),
        std::string("\x5F"), std::string("\x7F"), std::string("\xC1")}) {
    std::string bytes;
    for (std::size_t n = 0; n < kLevels; ++n) bytes += level;
    BOOST_TEST(!IsBoundedCbor(bytes));
    BOOST_TEST(!FromCbor(bytes + "\x01", Text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(DepthIsBoundedExactly) {
  const auto nested = [](std::size_t levels) {
    nlohmann::json out = 1;
    for (std::size_t n = 0; n < levels; ++n) out = nlohmann::json::array({out});
    return ToCbor(out);
  };
  BOOST_TEST(IsBoundedCbor(nested(kMaxCborDepth)));
  BOOST_TEST(!IsBoundedCbor(nested(kMaxCborDepth + 1)));
}

// Guards against a refusal of what quaytrack writes itself.
BOOST_AUTO_TEST_CASE(WhatTheParserTakesIsBounded) {
  const auto identity = [](const nlohmann::json& it) { return it; };
  const nlohmann::json value = {
      {"a", {1, -2, 3.5, "text", nullptr, true, nlohmann::json::object()}},
      {"b", std::string(70'000, 'x')},
      {"c", std::vector<std::int64_t>(300, -5'000'000'000)}};
  BOOST_TEST((FromCbor(ToCbor(value), identity) == value));
  const std::string indefinite("\x9F\x01\x7F\x61\x61\x61\x62\xFF\xFF", 9);
  BOOST_TEST((FromCbor(indefinite, identity) == nlohmann::json({1, "ab"})));
  BOOST_TEST(!IsBoundedCbor(ToCbor(value) + "\x01"));
  BOOST_TEST(!IsBoundedCbor("\xFF"));
  BOOST_TEST(!IsBoundedCbor("\xBB\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"));
}

BOOST_AUTO_TEST_CASE(GarbageIsNoValue) {
  BOOST_TEST(rc::check("garbage is no value", [](const std::string& bytes) {
    FromCbor(bytes, Text);
  }));
}

}  // namespace
}  // namespace quaytrack
