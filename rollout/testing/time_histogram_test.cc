// Medians and counts of times in buckets.

#include "rollout/time_histogram.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(TheMedianIsAtMostHalfTooLarge) {
  TimeHistogram it;
  BOOST_TEST(it.Median() == 0);
  for (int n = 1; n <= 99; ++n) it.Add(n);
  BOOST_TEST(it.total() == 99U);
  BOOST_TEST(it.Median() >= 50);
  BOOST_TEST(it.Median() <= 75);
}

BOOST_AUTO_TEST_CASE(ValuesBeyondTheBucketsCountAtTheirEnds) {
  TimeHistogram it;
  it.Add(0);
  it.Add(-1);
  it.Add(1e12);
  BOOST_TEST(it.total() == 3U);
  BOOST_TEST(it.CountAbove(1000) == 1U);
}

BOOST_AUTO_TEST_CASE(CountsOfRoutersAreAdded) {
  TimeHistogram a;
  TimeHistogram b;
  a.Add(10);
  b.Add(10);
  b.Add(1000);
  a.Merge(b);
  BOOST_TEST(a.total() == 3U);
  BOOST_TEST(a.CountAbove(100) == 1U);
}

BOOST_AUTO_TEST_CASE(ABucketThatDoesntExistIsPassedOver) {
  TimeHistogram it;
  it.SetCount(TimeHistogram::kBuckets, 7);
  BOOST_TEST(it.total() == 0U);
}

}  // namespace
}  // namespace quaytrack
