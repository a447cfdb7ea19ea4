// Tests EventReader: incomplete, repeated and missing events, and streams cut
// at any byte.

#include "relay/events.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(KeepsBackAnEventUntilItIsWhole) {
  EventReader it;
  BOOST_TEST(it.Take("id: 1\ndata: a").bytes.empty());
  BOOST_TEST(it.InEvent());
  const StreamEvents events = it.Take("\n\nid: 2\n");
  BOOST_TEST(events.bytes == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.count == 1);
  BOOST_TEST(it.last_id() == "1");
}

// Guards against a target that sends bytes without end.
BOOST_AUTO_TEST_CASE(AnEventThatIsTooLargeIsNotRead) {
  EventReader it;
  it.Take("id: 1\ndata: a\n\n");
  const std::string block(EventReader::kMaxEventBytes, 'x');
  BOOST_TEST(it.Take(block).valid());
  BOOST_TEST(it.Take("x").too_large);
  BOOST_TEST(!it.InEvent());
  BOOST_TEST(it.last_id() == "1");
}

// The end of an event may arrive in two halves.
BOOST_AUTO_TEST_CASE(AnEndInTwoHalvesIsFound) {
  EventReader it;
  BOOST_TEST(it.Take("id: 1\ndata: a\n").count == 0);
  BOOST_TEST(it.Take("\nid: 2\n").count == 1);
  BOOST_TEST(it.Take("data: b\n\n").count == 1);
}

BOOST_AUTO_TEST_CASE(DropsWhatWasPassedOnBefore) {
  EventReader it;
  it.Take("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  it.DropPartial();
  const StreamEvents events = it.Take("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  BOOST_TEST(events.bytes == "id: 3\ndata: c\n\n");
  BOOST_TEST(!events.out_of_order);
}

BOOST_AUTO_TEST_CASE(NoticesAnEventThatIsMissing) {
  EventReader it;
  it.Take("id: 1\ndata: a\n\n");
  BOOST_TEST(it.Take("id: 3\ndata: c\n\n").out_of_order);
}

// Guards against forwarding bytes in which an event is missing.
BOOST_AUTO_TEST_CASE(WhatCameWithAGapIsAskedForAgain) {
  EventReader it;
  it.Take("id: 1\ndata: a\n\n");
  const StreamEvents gap =
      it.Take("id: 2\ndata: b\n\nid: 4\ndata: d\n\nid: 5\n");
  BOOST_TEST(gap.out_of_order);
  BOOST_TEST(gap.bytes.empty());
  BOOST_TEST(gap.count == 0);
  BOOST_TEST(it.last_id() == "1");
  it.DropPartial();
  const std::string rest = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  const StreamEvents events = it.Take(rest);
  BOOST_TEST(!events.out_of_order);
  BOOST_TEST(events.bytes == rest);
}

BOOST_AUTO_TEST_CASE(AGapBeforeTheFirstEventIsPassedOnStartsAnew) {
  EventReader it;
  BOOST_TEST(it.Take("id: 1\ndata: a\n\nid: 3\n\n").out_of_order);
  BOOST_TEST(it.last_id().empty());
}

BOOST_AUTO_TEST_CASE(StartsWhereverTheCallerWentOn) {
  EventReader it;
  BOOST_TEST(!it.Take("id: 13\ndata: a\n\n").out_of_order);
  BOOST_TEST(it.last_id() == "13");
}

BOOST_AUTO_TEST_CASE(AnyCutOfTheBytesPassesTheSame) {
  BOOST_TEST(rc::check("cuts", [] {
    std::string stream;
    for (int n = 1; n <= 5; ++n) {
      stream += "x-version: 1\nid: " + std::to_string(n) + "\ndata: t\n\n";
    }
    EventReader it;
    std::string passed;
    int count = 0;
    std::string_view rest(stream);
    while (!rest.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      const StreamEvents events = it.Take(rest.substr(0, n));
      RC_ASSERT(!events.out_of_order);
      passed += events.bytes;
      count += events.count;
      rest.remove_prefix(n);
    }
    RC_ASSERT(passed == stream);
    RC_ASSERT(count == 5);
  }));
}

// Guards against ids whose successor overflows.
BOOST_AUTO_TEST_CASE(TheLargestIdHasNoSuccessor) {
  EventReader it;
  BOOST_TEST(it.Take("id: 9223372036854775807\ndata: a\n\n").count == 1);
  BOOST_TEST(it.Take("id: -9223372036854775808\ndata: b\n\n").valid());
  BOOST_TEST(it.Take("id: 9223372036854775807\ndata: c\n\n").count == 0);
  BOOST_TEST(it.last_id() == "9223372036854775807");
}

}  // namespace
}  // namespace quaytrack
