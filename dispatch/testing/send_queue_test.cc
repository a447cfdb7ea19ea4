// The order and the pace in which waiting bytes leave.

#include "dispatch/send_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr double kRate = 1e6;
constexpr Duration kLongest = milliseconds(50);

struct Fixture {
  // Uses up the burst, so that entries have to wait.
  void Empty() {
    while (queue.TakeNow(now, 1001)) {
    }
  }
  void Push(const std::string& flow, int urgency = 0, double bytes = 1000) {
    names[queue.Push(now, {urgency, flow, bytes})] = flow;
  }
  // Lets `d` pass in steps of a millisecond and returns the flows that left.
  std::vector<std::string> Leave(Duration d) {
    std::vector<std::string> out;
    for (const Instant end = now + d; now < end;) {
      now += milliseconds(1);
      while (const auto it = queue.Pop(now)) out.push_back(names.at(*it));
    }
    return out;
  }

  Instant now{std::chrono::hours(1)};
  SendQueue queue{kRate, kLongest};
  std::map<SendQueue::Ticket, std::string> names;
};

BOOST_FIXTURE_TEST_CASE(NothingWaitsWhileTheRateIsKept, Fixture) {
  for (int n = 0; n < 1000; ++n) {
    BOOST_TEST(queue.TakeNow(now, 900));
    now += milliseconds(1);
  }
  BOOST_TEST(!queue.NextAt(now).has_value());
}

// Guards against a burst that delays messages of other routers on the link.
BOOST_FIXTURE_TEST_CASE(AQueueLeavesAtTheRate, Fixture) {
  Empty();
  for (int n = 0; n < 40; ++n) Push("a");
  BOOST_TEST(Leave(milliseconds(20)).size() == 20U,
             boost::test_tools::tolerance(0.1));
}

BOOST_FIXTURE_TEST_CASE(TheMoreUrgentLeaveFirst, Fixture) {
  Empty();
  Push("late", 2);
  Push("soon", 1);
  Push("now", 0);
  const std::vector<std::string> expected = {"now", "soon", "late"};
  BOOST_TEST(Leave(milliseconds(10)) == expected,
             boost::test_tools::per_element());
}

// Guards against a customer that delays the others by many or large requests.
BOOST_FIXTURE_TEST_CASE(FlowsGetEqualBytes, Fixture) {
  Empty();
  for (int n = 0; n < 20; ++n) Push("many");
  for (int n = 0; n < 5; ++n) Push("large", 0, 4000);
  for (int n = 0; n < 2; ++n) Push("few");
  std::map<std::string, int> left;
  for (const std::string& it : Leave(milliseconds(14))) ++left[it];
  BOOST_TEST(left["few"] == 2);
  BOOST_TEST(left["many"] >= 4);
  BOOST_TEST(left["many"] <= 8);
  BOOST_TEST(left["large"] >= 1);
}

// Guards against a rate that is set too low: it then doesn't hold work back for
// longer than the bound.
BOOST_FIXTURE_TEST_CASE(NothingWaitsLongerThanTheBound, Fixture) {
  queue.SetRate(now, 1);
  Empty();
  Push("a");
  Push("b", 2);
  BOOST_TEST(Leave(kLongest - milliseconds(1)).empty());
  BOOST_TEST(Leave(milliseconds(1)).size() == 2U);
}

// Guards against a lasting delay after entries left by age.
BOOST_FIXTURE_TEST_CASE(DebtOfAgedEntriesIsBounded, Fixture) {
  Empty();
  for (int n = 0; n < 1000; ++n) Push("a");
  Leave(kLongest);
  Leave(milliseconds(80));
  BOOST_TEST(queue.TakeNow(now, 1000));
}

BOOST_FIXTURE_TEST_CASE(TheNextTimeIsWhenAnEntryLeaves, Fixture) {
  Empty();
  queue.TakeNow(now, 0);
  Push("a", 0, 5000);
  BOOST_REQUIRE(queue.NextAt(now).has_value());
  now = *queue.NextAt(now);
  BOOST_TEST(queue.Pop(now).has_value());
  BOOST_TEST(queue.backlog() == 0);
}

}  // namespace
}  // namespace quaytrack
