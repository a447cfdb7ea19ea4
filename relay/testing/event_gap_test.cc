// Regression test: a target skips an event and another target continues. The
// caller must get the missing event too, so nothing after the gap may count as
// forwarded.

#include <boost/test/unit_test.hpp>

#include "relay/events.h"

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(AStreamGoesOnAfterTheLastEventThatWasPassedOn) {
  EventReader it;
  BOOST_TEST(it.Take("id: 1\ndata: a\n\n").count == 1);
  // The request ends this attempt and forwards none of these bytes.
  BOOST_REQUIRE(it.Take("id: 3\ndata: c\n\n").out_of_order);
  it.DropPartial();
  BOOST_TEST(it.last_id() == "1");
  const StreamEvents events = it.Take("id: 2\ndata: b\n\n");
  BOOST_TEST(events.bytes == "id: 2\ndata: b\n\n");
}

}  // namespace
}  // namespace quaytrack
