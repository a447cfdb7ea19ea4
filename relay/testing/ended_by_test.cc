// Tests that the log tells apart who ended a request.

#include "relay/ended_by.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

// Guards against streams that are cut at their deadline and look in the log
// like those that a target or the router broke off.
BOOST_AUTO_TEST_CASE(ACutStreamNamesWhoEndedIt) {
  const AttemptFault none = AttemptFault::kNone;
  BOOST_TEST((EndedByOf(RelayCause::kTimedOut, none) == EndedBy::kDeadline));
  BOOST_TEST((EndedByOf(RelayCause::kStopped, none) == EndedBy::kStop));
  BOOST_TEST((EndedByOf(RelayCause::kCallerGone, none) == EndedBy::kCaller));
  BOOST_TEST((EndedByOf(RelayCause::kVersionUnknown, AttemptFault::kTimeout) ==
              EndedBy::kRouter));
  BOOST_TEST((EndedByOf(RelayCause::kTurnedAway, AttemptFault::kBroken) ==
              EndedBy::kTarget));
  BOOST_TEST((EndedByOf(RelayCause::kTurnedAway, AttemptFault::kTimeout) ==
              EndedBy::kRouter));
}

}  // namespace
}  // namespace quaytrack
