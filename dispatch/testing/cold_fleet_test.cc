// Simulates randomized fleets (fixed seeds) that send to a target that has just
// started. Counts how many requests reach it in a second under several rules
// for which router may send.
//
// Every router wants to send to the same target all the time, as with one
// prompt that most callers share. Some routers have outdated lists, routers
// restart, requests wait for their connection, and wall clocks differ. With the
// rule in use, the bound has to hold for every seed. The rejected alternatives
// break it.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/shared_rate.h"
#include "fleet/fleet.h"
#include "testing/most_within.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kBegin{std::chrono::hours(1)};
// The cold rule of a deployment, and the bound that follows from it.
constexpr double kPerS = 6.6;
constexpr Duration kColdTime = milliseconds(3000);
constexpr RateAllowance kAllowance{seconds(1), 1.5, 5};
constexpr double kMaxPerSecond = 6.6 * 1.5 + 5;
constexpr Duration kStep = milliseconds(20);
// Time that relay/attempt.h allows for a connection to open.
constexpr Duration kLongestWait = milliseconds(250);
const std::string kTarget = "i-7f3a91c2";

// How a router decides whether it may send now.
enum class Rule {
  kNoRule,      // cold targets are treated like any other
  kLocalRate,   // each router applies the whole rate locally
  kEqualShare,  // each applies the rate divided by the number of routers
  kSlots,       // each has a time slot of the wall clock
  kOwners,      // two routers share the rate (dispatch/shared_rate.h)
};

struct Router {
  FleetMember self;
  FleetDirectory list;
  SharedRate rate;
  // By its list, which does not change.
  OwnerShare share;
  bool is_owner = false;
  // Error of its wall clock.
  Duration clock_error{};
  std::vector<Instant> sent;
};

class SimulatedFleet {
 public:
  SimulatedFleet(std::uint32_t seed, Rule rule, int routers)
      : random_(seed), rule_(rule) {
    std::vector<FleetMember> all;
    for (int n = 0; n < routers; ++n) all.push_back(Member(n));
    for (const FleetMember& it : all) {
      routers_.push_back({it,
                          FleetDirectory(it, {}),
                          SharedRate(kBegin - seconds(10), kAllowance),
                          {},
                          false,
                          {},
                          {}});
      // Some lists lack the two routers that joined last.
      const bool behind = Random(3) == 0 && &it < &all[all.size() - 2];
      routers_.back().list.Put(
          {all.begin(), behind ? all.end() - 2 : all.end()});
      routers_.back().list.MarkRead();
      const RendezvousPlace place = *routers_.back().list.PlaceFor(kTarget);
      routers_.back().share =
          routers_.back().rate.ShareOf(kPerS, place.routers);
      routers_.back().is_owner = routers_.back().share.IsOwner(place);
      routers_.back().clock_error = milliseconds(Random(4000));
    }
  }

  // The most requests that reach the target in any second of its cold time.
  std::size_t Run() {
    for (Instant now = kBegin; now < kBegin + kColdTime; now += kStep) {
      if (Random(20) == 0) Restart(now);
      for (Router& it : routers_) {
        if (Wants(it, now)) Send(it, now);
      }
    }
    return MaxCountWithin(arrivals_, seconds(1));
  }
  std::size_t arrivals() const { return arrivals_.size(); }

 private:
  static FleetMember Member(int n) {
    FleetMember out;
    out.vm = VmName("vm-" + std::to_string(n));
    out.hall = HallName("hall-" + std::to_string(n % 3));
    return out;
  }

  int Random(int n) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(n));
  }

  void Restart(Instant now) {
    Router& it = routers_[random_() % routers_.size()];
    it.rate = SharedRate(now, kAllowance);
    it.sent.clear();
  }

  bool Wants(const Router& it, Instant now) const {
    const auto n = static_cast<double>(it.list.size());
    switch (rule_) {
      case Rule::kNoRule:
        return true;
      case Rule::kLocalRate:
        return SentSince(it, now - seconds(1)) < kMaxPerSecond;
      case Rule::kEqualShare:
        return SentSince(it, now - std::chrono::duration_cast<Duration>(
                                       seconds(1) * (n / kMaxPerSecond))) == 0;
      case Rule::kSlots: {
        const auto slot =
            (now + it.clock_error).time_since_epoch() /
            std::chrono::duration_cast<Duration>(seconds(1) / kMaxPerSecond);
        const auto rank = std::stoi(it.self.vm.value.substr(3));
        return slot % static_cast<long>(n) == rank &&
               SentSince(it, now - seconds(1)) == 0;
      }
      case Rule::kOwners:
        return it.is_owner &&
               it.rate.MaySend(now, TargetStart(kTarget), it.share);
    }
    return false;
  }

  static std::size_t SentSince(const Router& it, Instant since) {
    return static_cast<std::size_t>(
        std::count_if(it.sent.begin(), it.sent.end(),
                      [since](Instant at) { return at > since; }));
  }

  void Send(Router& it, Instant now) {
    it.sent.push_back(now);
    it.rate.OnSent(now, TargetStart(kTarget));
    const int longest = static_cast<int>(kLongestWait / milliseconds(1));
    arrivals_.push_back(now + milliseconds(Random(longest)));
  }

  std::mt19937 random_;
  Rule rule_;
  std::vector<Router> routers_;
  std::vector<Instant> arrivals_;
};

struct Results {
  int broken = 0;
  std::size_t most = 0;
  std::size_t arrivals = 0;
};

Results Simulate(Rule rule, int routers) {
  constexpr int kSeeds = 40;
  Results out;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet it(seed, rule, routers);
    const std::size_t most = it.Run();
    out.most = std::max(out.most, most);
    out.arrivals += it.arrivals();
    if (static_cast<double>(most) > kMaxPerSecond) ++out.broken;
  }
  BOOST_TEST_MESSAGE("rule " << static_cast<int>(rule) << ", " << routers
                             << " routers: at most " << out.most
                             << " in a second, " << out.arrivals / kSeeds
                             << " in all, broken in " << out.broken << " of "
                             << kSeeds);
  return out;
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundAndSend) {
  for (const int routers : {3, 7, 74, 295}) {
    const Results it = Simulate(Rule::kOwners, routers);
    BOOST_TEST(it.broken == 0);
    BOOST_TEST(it.arrivals > 0U);
  }
}

BOOST_AUTO_TEST_CASE(TheOtherWaysBreakIt) {
  BOOST_TEST(Simulate(Rule::kNoRule, 74).broken == 40);
  BOOST_TEST(Simulate(Rule::kLocalRate, 74).broken == 40);
  BOOST_TEST(Simulate(Rule::kEqualShare, 74).broken > 20);
  BOOST_TEST(Simulate(Rule::kSlots, 74).broken > 0);
}

BOOST_AUTO_TEST_CASE(AServiceThatBearsLittleGetsARequestNowAndThen) {
  SharedRate it(kBegin - std::chrono::hours(1), {});
  const OwnerShare share = it.ShareOf(1, 7);
  const TargetStart target(kTarget);
  int sent = 0;
  for (Instant now = kBegin; now < kBegin + seconds(60); now += kStep) {
    if (!it.MaySend(now, target, share)) continue;
    it.OnSent(now, target);
    ++sent;
  }
  // The share of one owner, of four routers that may act at once.
  BOOST_TEST(sent >= 10);
  BOOST_TEST(sent <= 15);
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsSendsNothingForAWindow) {
  SharedRate it(kBegin, kAllowance);
  const OwnerShare share = it.ShareOf(kPerS, 7);
  const TargetStart target(kTarget);
  BOOST_TEST(!it.MaySend(kBegin + milliseconds(1299), target, share));
  BOOST_TEST(it.MaySend(kBegin + milliseconds(1300), target, share));
}

}  // namespace
}  // namespace quaytrack
