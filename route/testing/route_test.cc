// Tests the choice of targets, the circuit breaker, the retry budget and the
// wait queue. Property tests check that limits hold, that a leaving target is
// never chosen, and that every queued request leaves the queue exactly once.

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "route/breaker.h"
#include "route/retry_budget.h"
#include "route/target_book.h"
#include "route/wait_queue.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup{"model:m"};
const Instant kStart{std::chrono::hours(1)};

std::vector<TargetSpec> Specs(int count, int slots) {
  std::vector<TargetSpec> out;
  for (int n = 0; n < count; ++n) {
    TargetSpec it;
    it.name = TargetName("t" + std::to_string(n));
    it.hall = HallName("h1");
    it.groups = {kGroup};
    it.slots = slots;
    out.push_back(it);
  }
  return out;
}

BOOST_AUTO_TEST_CASE(NeverPassesALimitAndNeverChoosesALeavingTarget) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& operations) {
    TargetTable targets({}, 7);
    targets.SetTargets(Specs(4, 3));
    std::vector<TargetName> running;
    Instant now = kStart;
    for (std::uint8_t it : operations) {
      now += milliseconds(it);
      const TargetName name("t" + std::to_string(it % 4));
      if (it % 11 == 0) {
        targets.SetLeaving(name, LeavingCause::kVmList, it % 2 == 0);
      } else if (it % 5 == 0 && !running.empty()) {
        const auto outcome =
            it % 3 == 0 ? TargetOutcome::kFailed : TargetOutcome::kOk;
        targets.OnEnd(now, running.back(), outcome, milliseconds(5));
        running.pop_back();
      } else if (const auto n = targets.Choose(now, kGroup, it, {})) {
        RC_ASSERT(!targets.Leaving(*n));
        targets.OnSent(now, *n);
        RC_ASSERT(targets.InFlight(*n) <= 3);
        running.push_back(targets.Spec(*n).name);
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(FindsTheOnlyRoomThereIs) {
  TargetTable targets({}, 7);
  targets.SetTargets(Specs(50, 1));
  for (int n = 0; n < 50; ++n) {
    const auto chosen = targets.Choose(kStart, kGroup, 0, {});
    BOOST_REQUIRE(chosen);
    targets.OnSent(kStart, *chosen);
  }
  BOOST_TEST(!targets.Choose(kStart, kGroup, 0, {}));
}

BOOST_AUTO_TEST_CASE(SamePrefixStaysTogetherUntilItsTargetIsBusy) {
  TargetTable targets({}, 7);
  targets.SetTargets(Specs(8, 16));
  const auto first = targets.Choose(kStart, kGroup, 99, {});
  for (int n = 0; n < 20; ++n) {
    BOOST_TEST(*targets.Choose(kStart, kGroup, 99, {}) == *first);
  }
  for (int n = 0; n < 16; ++n) targets.OnSent(kStart, *first);
  BOOST_TEST(*targets.Choose(kStart, kGroup, 99, {}) != *first);
}

BOOST_AUTO_TEST_CASE(LoadOfOthersCountsLessTheOlderItIs) {
  TargetTable targets({}, 7);
  targets.SetTargets(Specs(2, 8));
  targets.OnLoadReport(kStart, TargetName("t0"), {8, 4});
  std::map<std::string, int> new_report;
  std::map<std::string, int> old_report;
  for (int n = 0; n < 200; ++n) {
    ++new_report[targets.Spec(*targets.Choose(kStart, kGroup, 0, {}))
                     .name.value];
    ++old_report[targets
                     .Spec(*targets.Choose(kStart + seconds(60), kGroup, 0, {}))
                     .name.value];
  }
  BOOST_TEST(new_report["t0"] < 70);
  BOOST_TEST(old_report["t0"] > 70);
}

BOOST_AUTO_TEST_CASE(BreakerOpensProbesAndCloses) {
  Breaker breaker({2, milliseconds(100), seconds(1)});
  breaker.OnFailure(kStart);
  BOOST_TEST(breaker.Allows(kStart));
  breaker.OnFailure(kStart);
  BOOST_TEST(!breaker.Allows(kStart));
  const Instant later = kStart + milliseconds(100);
  BOOST_TEST(breaker.Allows(later));
  breaker.OnSent(later);
  // One probe at a time.
  BOOST_TEST(!breaker.Allows(later));
  breaker.OnFailure(later);
  BOOST_TEST(!breaker.Allows(later + milliseconds(150)));
  const Instant last = later + milliseconds(200);
  breaker.OnSent(last);
  breaker.OnSuccess();
  BOOST_TEST(breaker.Allows(last));
}

BOOST_AUTO_TEST_CASE(RetriesAreAFractionOfFreshWork) {
  RetryBudget budget;
  int retried = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.OnNewRequest();
    if (budget.TryRetry()) ++retried;
  }
  BOOST_TEST(retried <= 100);
  BOOST_TEST(retried >= 50);
}

QueuedRequest Queued(const std::string& customer, int n,
                     PriorityClass priority = PriorityClass::kStandard) {
  QueuedRequest out;
  out.request = RequestId(customer + std::to_string(n));
  out.customer = CustomerName(customer);
  out.priority = priority;
  out.deadline = kStart + seconds(100);
  return out;
}

BOOST_AUTO_TEST_CASE(CustomersShareHoweverManyTheyHaveWaiting) {
  WaitQueue queue({});
  for (int n = 0; n < 500; ++n) queue.Push(kStart, Queued("big", n), {});
  for (int n = 0; n < 20; ++n) queue.Push(kStart, Queued("small", n), {});
  int small = 0;
  for (int n = 0; n < 40; ++n) {
    if (queue.Pop(kStart)->customer.value == "small") ++small;
  }
  BOOST_TEST(small >= 19);
}

BOOST_AUTO_TEST_CASE(NoClassStarves) {
  WaitQueue queue({});
  for (int n = 0; n < 200; ++n) {
    queue.Push(kStart, Queued("a", n, PriorityClass::kInteractive), {});
    queue.Push(kStart, Queued("b", n, PriorityClass::kBatch), {});
  }
  int batch = 0;
  for (int n = 0; n < 170; ++n) {
    if (queue.Pop(kStart)->priority == PriorityClass::kBatch) ++batch;
  }
  BOOST_TEST(batch >= 9);
  BOOST_TEST(batch <= 12);
}

BOOST_AUTO_TEST_CASE(HopelessIsRefusedOnArrivalWithATimeToComeBack) {
  WaitQueue queue({});
  // The queue serves ten requests per second.
  Instant now = kStart;
  for (int n = 0; n < 200; ++n) queue.Push(now, Queued("a", n), {});
  for (int n = 0; n < 50; ++n) {
    now += milliseconds(100);
    queue.Pop(now);
  }
  QueuedRequest urgent = Queued("b", 1);
  urgent.deadline = now + seconds(1);
  const QueueAnswer answer = queue.Push(now, urgent, milliseconds(100));
  BOOST_TEST((answer.verdict == QueueVerdict::kMissesDeadline));
  BOOST_TEST(ToSeconds(answer.retry_after) > 5);
  BOOST_TEST(ToSeconds(answer.retry_after) <= 60);
}

BOOST_AUTO_TEST_CASE(EveryQueuedRequestLeavesOnceByOneWay) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& operations) {
    WaitQueue queue({});
    std::set<RequestId> queued;
    Instant now = kStart;
    int request_count = 0;
    for (std::uint8_t it : operations) {
      now += milliseconds(it);
      switch (it % 4) {
        case 0:
        case 1: {
          QueuedRequest request = Queued(
              it % 3 == 0 ? "a" : "b", request_count++,
              it % 5 == 0 ? PriorityClass::kBatch : PriorityClass::kStandard);
          request.deadline = now + milliseconds(it * 5);
          const auto answer = queue.Push(now, request, milliseconds(1));
          if (answer.verdict == QueueVerdict::kQueued) {
            queued.insert(request.request);
          }
          break;
        }
        case 2:
          for (const auto& expired : queue.TakeExpired(now)) {
            RC_ASSERT(queued.erase(expired.request) == 1U);
          }
          break;
        default:
          if (auto next = queue.Pop(now)) {
            if (it % 7 == 0) {
              queue.Restore(*next);
            } else {
              RC_ASSERT(queued.erase(next->request) == 1U);
            }
          }
      }
      RC_ASSERT(queue.size() == queued.size());
    }
    now += std::chrono::hours(1);
    for (const auto& it : queue.TakeExpired(now)) queued.erase(it.request);
    RC_ASSERT(queued.empty());
  }));
}

}  // namespace
}  // namespace quaytrack
