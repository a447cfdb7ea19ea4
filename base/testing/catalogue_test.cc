// Checks that docs/EVENTS.md lists exactly the events of the catalogue, that
// event numbers are unique, and that base64 round-trips.

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <string>

#include "base/digest.h"
#include "base/events.h"

namespace quaytrack {
namespace {

std::string RowOf(const EventInfo& it) {
  return "| QT" + std::to_string(static_cast<int>(it.event)) + " | `" +
         std::string(it.name) + "` |";
}

BOOST_AUTO_TEST_CASE(EveryEventIsDocumentedAndNoOther) {
  std::set<std::string> rows;
  std::ifstream in(QUAYTRACK_SOURCE_DIR "/docs/EVENTS.md");
  BOOST_REQUIRE(in.good());
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("| QT")) continue;
    const std::size_t second = line.find('|', 1);
    const std::size_t third = line.find('|', second + 1);
    rows.insert(line.substr(0, third + 1));
  }
  for (const EventInfo& it : kEventCatalogue) {
    BOOST_TEST(rows.erase(RowOf(it)) == 1U, it.name);
  }
  for (const std::string& it : rows) BOOST_ERROR("not an event: " + it);
}

BOOST_AUTO_TEST_CASE(EventNumbersAreUnique) {
  std::set<int> numbers;
  for (const EventInfo& it : kEventCatalogue) {
    BOOST_TEST(numbers.insert(static_cast<int>(it.event)).second);
  }
}

BOOST_AUTO_TEST_CASE(Base64RoundTripsAndRefusesGarbage) {
  for (const char* it : {"", "a", "ab", "abc", "abcd"}) {
    BOOST_TEST(Base64Decode(Base64Encode(it)).value() == it);
  }
  BOOST_TEST(!Base64Decode("abc"));
  BOOST_TEST(!Base64Decode("****"));
}

}  // namespace
}  // namespace quaytrack
