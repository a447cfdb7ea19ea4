// The pauses of one stream, from which an engine's speed is learned.

#include "relay/stream_pauses.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(TheMedianIsNotMovedByAFewLongPauses) {
  StreamPauses it;
  BOOST_TEST((it.Median() == Duration::zero()));
  for (const int ms : {50, 900, 52, 51, 300, 49}) it.Add(milliseconds(ms));
  BOOST_TEST((it.Median() == milliseconds(51)));
  BOOST_TEST((it.longest() == milliseconds(900)));
}

// Guards against memory that grows with the length of a stream.
BOOST_AUTO_TEST_CASE(OnlyTheFirstPausesAreKeptButTheLongestOfAll) {
  StreamPauses it;
  for (int n = 0; n < 1000; ++n) it.Add(milliseconds(50));
  it.Add(milliseconds(400));
  BOOST_TEST(it.size() == 15U);
  BOOST_TEST((it.longest() == milliseconds(400)));
}

}  // namespace
}  // namespace quaytrack
