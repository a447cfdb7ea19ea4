// Drawn fleets that send to targets which have just started: how many requests
// reach one in a second, by what each router goes by.
//
// Every router wants to send all the time, to the same target, as with one
// prompt that most callers share. Lists of routers are behind at some of them,
// routers start again, requests wait for their connection, and the clocks that
// people set differ and jump. Kept: the bound holds with every draw. The ways
// that were weighed against it break it, or send nothing.

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
// The rule of the deployment that has cold targets, and what it allows.
constexpr double kPerS = 6.6;
constexpr Duration kColdTime = milliseconds(3000);
constexpr RateAllowance kAllowance{seconds(1), 1.5, 5};
constexpr double kMost = 6.6 * 1.5 + 5;
constexpr Duration kStep = milliseconds(20);
// relay/attempt.h gives a connection so long to open.
constexpr Duration kLongestWait = milliseconds(250);
const std::string kTarget = "i-7f3a91c2";

// By what a router decides that it may send now.
enum class Way {
  kNoRule,     // a cold target is like any other
  kOwnRate,    // each router keeps to the rate by itself
  kEqualPart,  // each keeps to the rate over the number of routers
  kSlots,      // each has its time slot, by the calendar's clock
  kOwners,     // two routers share it (dispatch/shared_rate.h)
};

struct Router {
  FleetMember self;
  FleetDirectory list;
  SharedRate rate;
  // By its list, which stays as it is.
  OwnerPart part;
  bool owns = false;
  // Its calendar's clock is off by this.
  Duration off{};
  std::vector<Instant> sent;
};

class World {
 public:
  World(std::uint32_t seed, Way way, int routers) : random_(seed), way_(way) {
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
      // Some have not read of the two that joined last.
      const bool behind = Draw(3) == 0 && &it < &all[all.size() - 2];
      routers_.back().list.Put(
          {all.begin(), behind ? all.end() - 2 : all.end()});
      routers_.back().list.MarkRead();
      const RendezvousPlace place = *routers_.back().list.PlaceFor(kTarget);
      routers_.back().part = routers_.back().rate.PartOf(kPerS, place.routers);
      routers_.back().owns = routers_.back().part.IsOwner(place);
      routers_.back().off = milliseconds(Draw(4000));
    }
  }

  // The most that reach the target in any second of its cold time.
  std::size_t Run() {
    for (Instant now = kBegin; now < kBegin + kColdTime; now += kStep) {
      if (Draw(20) == 0) Restart(now);
      for (Router& it : routers_) {
        if (Wants(it, now)) Send(it, now);
      }
    }
    return MostWithin(arrivals_, seconds(1));
  }
  std::size_t arrivals() const { return arrivals_.size(); }

 private:
  static FleetMember Member(int n) {
    FleetMember out;
    out.vm = VmName("vm-" + std::to_string(n));
    out.hall = HallName("hall-" + std::to_string(n % 3));
    return out;
  }

  int Draw(int n) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(n));
  }

  void Restart(Instant now) {
    Router& it = routers_[random_() % routers_.size()];
    it.rate = SharedRate(now, kAllowance);
    it.sent.clear();
  }

  bool Wants(const Router& it, Instant now) const {
    const auto n = static_cast<double>(it.list.size());
    switch (way_) {
      case Way::kNoRule:
        return true;
      case Way::kOwnRate:
        return SentSince(it, now - seconds(1)) < kMost;
      case Way::kEqualPart:
        return SentSince(it, now - std::chrono::duration_cast<Duration>(
                                       seconds(1) * (n / kMost))) == 0;
      case Way::kSlots: {
        const auto slot =
            (now + it.off).time_since_epoch() /
            std::chrono::duration_cast<Duration>(seconds(1) / kMost);
        const auto rank = std::stoi(it.self.vm.value.substr(3));
        return slot % static_cast<long>(n) == rank &&
               SentSince(it, now - seconds(1)) == 0;
      }
      case Way::kOwners:
        return it.owns && it.rate.MaySend(now, TargetStart(kTarget), it.part);
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
    arrivals_.push_back(now + milliseconds(Draw(longest)));
  }

  std::mt19937 random_;
  Way way_;
  std::vector<Router> routers_;
  std::vector<Instant> arrivals_;
};

struct Figures {
  int broken = 0;
  std::size_t most = 0;
  std::size_t arrivals = 0;
};

Figures Play(Way way, int routers) {
  constexpr int kDraws = 40;
  Figures out;
  for (std::uint32_t seed = 1; seed <= kDraws; ++seed) {
    World it(seed, way, routers);
    const std::size_t most = it.Run();
    out.most = std::max(out.most, most);
    out.arrivals += it.arrivals();
    if (static_cast<double>(most) > kMost) ++out.broken;
  }
  BOOST_TEST_MESSAGE("way " << static_cast<int>(way) << ", " << routers
                            << " routers: most " << out.most << " in a second, "
                            << out.arrivals / kDraws << " in all, broken in "
                            << out.broken << " of " << kDraws);
  return out;
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundAndSend) {
  for (const int routers : {3, 7, 74, 295}) {
    const Figures it = Play(Way::kOwners, routers);
    BOOST_TEST(it.broken == 0);
    BOOST_TEST(it.arrivals > 0U);
  }
}

BOOST_AUTO_TEST_CASE(TheOtherWaysBreakIt) {
  BOOST_TEST(Play(Way::kNoRule, 74).broken == 40);
  BOOST_TEST(Play(Way::kOwnRate, 74).broken == 40);
  BOOST_TEST(Play(Way::kEqualPart, 74).broken > 20);
  BOOST_TEST(Play(Way::kSlots, 74).broken > 0);
}

BOOST_AUTO_TEST_CASE(AServiceThatBearsLittleGetsARequestNowAndThen) {
  SharedRate it(kBegin - std::chrono::hours(1), {});
  const OwnerPart part = it.PartOf(1, 7);
  const TargetStart target(kTarget);
  int sent = 0;
  for (Instant now = kBegin; now < kBegin + seconds(60); now += kStep) {
    if (!it.MaySend(now, target, part)) continue;
    it.OnSent(now, target);
    ++sent;
  }
  // One owner's part, of four that may act at once.
  BOOST_TEST(sent >= 10);
  BOOST_TEST(sent <= 15);
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsSendsNothingForAWindow) {
  SharedRate it(kBegin, kAllowance);
  const OwnerPart part = it.PartOf(kPerS, 7);
  const TargetStart target(kTarget);
  BOOST_TEST(!it.MaySend(kBegin + milliseconds(1299), target, part));
  BOOST_TEST(it.MaySend(kBegin + milliseconds(1300), target, part));
}

}  // namespace
}  // namespace quaytrack
