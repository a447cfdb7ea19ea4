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
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& deeds) {
    TargetBook book({}, 7);
    book.SetTargets(Specs(4, 3));
    std::vector<TargetName> running;
    Instant now = kStart;
    for (std::uint8_t it : deeds) {
      now += milliseconds(it);
      const TargetName name("t" + std::to_string(it % 4));
      if (it % 11 == 0) {
        book.SetLeaving(name, LeavingCause::kVmList, it % 2 == 0);
      } else if (it % 5 == 0 && !running.empty()) {
        const auto outcome =
            it % 3 == 0 ? TargetOutcome::kFailed : TargetOutcome::kOk;
        book.OnEnd(now, running.back(), outcome, milliseconds(5));
        running.pop_back();
      } else if (const auto n = book.Choose(now, kGroup, it, {})) {
        RC_ASSERT(!book.Leaving(*n));
        book.OnSent(now, *n);
        RC_ASSERT(book.InFlight(*n) <= 3);
        running.push_back(book.Spec(*n).name);
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(FindsTheOnlyRoomThereIs) {
  TargetBook book({}, 7);
  book.SetTargets(Specs(50, 1));
  for (int n = 0; n < 50; ++n) {
    const auto chosen = book.Choose(kStart, kGroup, 0, {});
    BOOST_REQUIRE(chosen);
    book.OnSent(kStart, *chosen);
  }
  BOOST_TEST(!book.Choose(kStart, kGroup, 0, {}));
}

BOOST_AUTO_TEST_CASE(SamePrefixStaysTogetherUntilItsTargetIsBusy) {
  TargetBook book({}, 7);
  book.SetTargets(Specs(8, 16));
  const auto first = book.Choose(kStart, kGroup, 99, {});
  for (int n = 0; n < 20; ++n) {
    BOOST_TEST(*book.Choose(kStart, kGroup, 99, {}) == *first);
  }
  for (int n = 0; n < 16; ++n) book.OnSent(kStart, *first);
  BOOST_TEST(*book.Choose(kStart, kGroup, 99, {}) != *first);
}

BOOST_AUTO_TEST_CASE(LoadOfOthersCountsLessTheOlderItIs) {
  TargetBook book({}, 7);
  book.SetTargets(Specs(2, 8));
  book.OnLoadReport(kStart, TargetName("t0"), {8, 4});
  std::map<std::string, int> soon;
  std::map<std::string, int> late;
  for (int n = 0; n < 200; ++n) {
    ++soon[book.Spec(*book.Choose(kStart, kGroup, 0, {})).name.value];
    ++late[book.Spec(*book.Choose(kStart + seconds(60), kGroup, 0, {}))
               .name.value];
  }
  BOOST_TEST(soon["t0"] < 70);
  BOOST_TEST(late["t0"] > 70);
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
    budget.OnFresh();
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
  // Serves ten a second.
  Instant now = kStart;
  for (int n = 0; n < 200; ++n) queue.Push(now, Queued("a", n), {});
  for (int n = 0; n < 50; ++n) {
    now += milliseconds(100);
    queue.Pop(now);
  }
  QueuedRequest hurried = Queued("b", 1);
  hurried.deadline = now + seconds(1);
  const QueueAnswer answer = queue.Push(now, hurried, milliseconds(100));
  BOOST_TEST((answer.verdict == QueueVerdict::kTooLate));
  BOOST_TEST(ToSeconds(answer.retry_after) > 5);
  BOOST_TEST(ToSeconds(answer.retry_after) <= 60);
}

BOOST_AUTO_TEST_CASE(EveryQueuedRequestLeavesOnceByOneWay) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& deeds) {
    WaitQueue queue({});
    std::set<RequestId> inside;
    Instant now = kStart;
    int minted = 0;
    for (std::uint8_t it : deeds) {
      now += milliseconds(it);
      switch (it % 4) {
        case 0:
        case 1: {
          QueuedRequest request = Queued(
              it % 3 == 0 ? "a" : "b", minted++,
              it % 5 == 0 ? PriorityClass::kBatch : PriorityClass::kStandard);
          request.deadline = now + milliseconds(it * 5);
          const auto answer = queue.Push(now, request, milliseconds(1));
          if (answer.verdict == QueueVerdict::kQueued) {
            inside.insert(request.request);
          }
          break;
        }
        case 2:
          for (const auto& gone : queue.TakeExpired(now)) {
            RC_ASSERT(inside.erase(gone.request) == 1U);
          }
          break;
        default:
          if (auto next = queue.Pop(now)) {
            if (it % 7 == 0) {
              queue.Restore(*next);
            } else {
              RC_ASSERT(inside.erase(next->request) == 1U);
            }
          }
      }
      RC_ASSERT(queue.size() == inside.size());
    }
    now += std::chrono::hours(1);
    for (const auto& it : queue.TakeExpired(now)) inside.erase(it.request);
    RC_ASSERT(inside.empty());
  }));
}

}  // namespace
}  // namespace quaytrack
