// What a fleet sends a service again, with routers that restart, don't know the
// fleet yet, take over load from each other, and whose sends arrive late.
//
// The rule: within any window, all routers together send the service at most
// `ratio` times its requests plus `slack` retries. Its requests are those of
// the window, of the one before it, or of the one half a window before it,
// whichever are most. Each router here sends all that its share allows.

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "dispatch/retry_share.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(100);
constexpr int kStepsPerWindow = 100;
constexpr int kSteps = 600;
constexpr int kRouters = 7;
constexpr int kMaxArrivalSteps = 25;
constexpr int kMaxListSteps = 30;
constexpr int kMaxRequestsPerStep = 4;

enum class Trouble { kNone, kKills, kHerds };

RetryShareOptions Options() {
  RetryShareOptions out;
  out.ratio = 0.2;
  out.window = kStep * kStepsPerWindow;
  out.slack = 54;
  return out;
}

class World {
 public:
  World(std::uint32_t seed, Trouble trouble)
      : random_(seed), trouble_(trouble), requests_(kSteps), retries_(kSteps) {
    for (int n = 0; n < kRouters; ++n) {
      routers_.push_back(Start(0));
      routers_.back().share.SetHasPredecessor(false);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) Step(step);
  }

  // The largest excess of retries over what the rule allows, over all windows.
  double Excess() const {
    double out = -1e9;
    for (int begin = 0; begin + kStepsPerWindow <= kSteps; ++begin) {
      const int most = std::max({Sum(requests_, begin),
                                 Sum(requests_, begin - kStepsPerWindow / 2),
                                 Sum(requests_, begin - kStepsPerWindow)});
      const double allowed = Options().ratio * most + Options().slack;
      out = std::max(out, Sum(retries_, begin) - allowed);
    }
    return out;
  }
  int retries() const {
    int out = 0;
    for (const int it : retries_) out += it;
    return out;
  }

 private:
  struct Router {
    RetryShare share;
    // When it will have read the list of routers.
    int list_at = 0;
    int per_step = 0;
  };

  int Draw(int n) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(n));
  }
  static Instant TimeOf(int step) {
    return Instant(std::chrono::hours(1)) + kStep * step;
  }
  Router Start(int step) {
    RetryShareOptions options = Options();
    options.started_at = TimeOf(step);
    return {RetryShare(options), step + Draw(kMaxListSteps), 0};
  }
  static int Sum(const std::vector<int>& counts, int begin) {
    int out = 0;
    for (int n = std::max(0, begin); n < begin + kStepsPerWindow; ++n) {
      out += counts[static_cast<std::size_t>(n)];
    }
    return out;
  }

  void Step(int step) {
    if (trouble_ == Trouble::kHerds && step % 60 == 59) {
      for (Router& it : routers_) it = Start(step);
    }
    for (Router& it : routers_) {
      if (trouble_ == Trouble::kKills && Draw(100) == 0) it = Start(step);
      // Callers move from router to router.
      if (Draw(20) == 0) {
        it.per_step = Draw(3) == 0 ? 0 : Draw(kMaxRequestsPerStep + 1);
      }
      if (step >= it.list_at) it.share.SetRouters(kRouters);
      Use(it, step);
    }
  }

  void Use(Router& router, int step) {
    for (int n = 0; n < router.per_step; ++n) {
      router.share.OnRequest(TimeOf(step));
      ++requests_[static_cast<std::size_t>(step)];
    }
    // Some routers save what they may send, and send it at once.
    if (Draw(3) > 0) return;
    while (router.share.TryRetry(TimeOf(step))) {
      const int arrives = step + Draw(kMaxArrivalSteps + 1);
      if (arrives < kSteps) ++retries_[static_cast<std::size_t>(arrives)];
    }
  }

  std::mt19937 random_;
  Trouble trouble_;
  std::vector<Router> routers_;
  std::vector<int> requests_;
  std::vector<int> retries_;
};

void CheckBound(Trouble trouble) {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    World world(seed, trouble);
    world.Run();
    BOOST_TEST(world.Excess() <= 0,
               "seed " << seed << ": " << world.Excess() << " above the bound");
    BOOST_TEST(world.retries() > 0);
  }
}

BOOST_AUTO_TEST_CASE(AFleetThatStaysUpKeepsTheBound) {
  CheckBound(Trouble::kNone);
}

// Guards against a fresh share after each restart of a router.
BOOST_AUTO_TEST_CASE(RestartedRoutersKeepTheBound) {
  CheckBound(Trouble::kKills);
}

// Guards against routers that take themselves for the only one until they have
// read the list.
BOOST_AUTO_TEST_CASE(AFleetThatRestartsAtOnceKeepsTheBound) {
  CheckBound(Trouble::kHerds);
}

}  // namespace
}  // namespace quaytrack
