// Drawn fleets whose targets name rate limits: what reaches a target in any
// four seconds, from the routers that have been told.
//
// Requests come to all routers; most share a part of the prompt, so that most
// prefer one target. Answers name the limit that is in force when their head is
// written, and take some time. Lists of routers are behind at some of them,
// routers start again or stand still, connections take up to 250 ms to open,
// and limits change and end. Messages between routers take some time, and some
// or all are lost. Kept: the bound holds with every draw, callers are served
// where others have room, and a limit that ended is lifted at all routers.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"
#include "fleet/fleet.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
// The users' rule: what a target may get in any such span, and from which
// routers it counts.
constexpr Duration kSpan = seconds(4);
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;
constexpr Duration kToldFor = milliseconds(500);
constexpr Duration kSettles = milliseconds(3000);
// As relay/relay_router.cc does.
constexpr Duration kTellEvery = milliseconds(200);
constexpr RateAllowance kAllowance{kSpan, kOverage, kSlack};
constexpr Duration kLongestFreeze = milliseconds(5000);
constexpr Duration kLongestOpening = milliseconds(250);

// The limit that a target names from `since` on.
struct Phase {
  Instant since{};
  std::optional<double> per_s;
};

struct Spec {
  int routers = 7;
  int targets = 12;
  // Requests a second, at all routers together.
  double requests_per_s = 46;
  // Routers that start again, a second.
  double restarts_per_s = 0.1;
  // Routers that stand still for up to `kLongestFreeze`, a second.
  double freezes_per_s = 0.1;
  // Part of the routers whose list lacks the two newest.
  double behind = 0.3;
  // Part of the messages between routers that are lost.
  double lost = 0.1;
  // Routers that are down, from the first of a target's order on.
  int down = 0;
  // Part of the requests that are bound to one region.
  double bound = 0;
  Duration time = seconds(30);
  // By target; those without phases name no limit.
  std::map<int, std::vector<Phase>> phases;
};

// A request on its way, to its target or back.
struct InFlight {
  int router = 0;
  int life = 0;
  TargetEntry target;
  Residency residency;
  Instant sent_at{};
  Instant arrives{};
  Instant answered{};
  bool written = false;
};

struct Arrival {
  Instant at{};
  // The router had passed on an answer with the limit long enough before.
  bool counts = false;
};

class World {
 public:
  World(std::uint32_t seed, Spec spec)
      : random_(seed), residency_random_(seed), spec_(std::move(spec)) {
    targets_ = Targets(kEngines, spec_.targets);
    for (auto& [name, entry] : targets_) entry.start = TargetStart(name.value);
    for (int n = 0; n < spec_.routers; ++n) members_.push_back(Member(n));
    routers_.resize(static_cast<std::size_t>(spec_.routers));
    Link();
    StopOwners();
    for (int n = 0; n < spec_.routers; ++n) Begin(n, kStart - seconds(60));
  }

  void Run() {
    const Instant end = kStart + spec_.time;
    for (Instant now = kStart; now < end; now += kStep) {
      now_ = now;
      Deliver();
      AskLate();
      if ((now - kStart) % kTellEvery == Duration::zero()) TellPeers();
      if (Happens(spec_.restarts_per_s)) {
        Begin(static_cast<int>(random_() % routers_.size()), now);
      }
      if (Happens(spec_.freezes_per_s)) {
        Router& it = routers_[random_() % routers_.size()];
        it.frozen_until = now + Draw(kLongestFreeze);
      }
      const double each = spec_.requests_per_s * ToSeconds(kStep);
      for (double due = each + Part(); due >= 1; due -= 1) Ask();
    }
  }

  // The most that a target got in a span beyond what its limit allows there; 0
  // or less if the bound holds.
  double Excess() const {
    double worst = -kSlack;
    for (const auto& [n, phases] : spec_.phases) {
      const auto it = arrivals_.find("t" + std::to_string(n));
      if (it == arrivals_.end() || phases.empty()) continue;
      for (const Arrival& first : it->second) {
        worst = std::max(worst, ExcessFrom(first.at, it->second, phases));
      }
    }
    return worst;
  }
  // Routers that hold a limit of the target, of those that are up.
  int Holding(int target) const {
    const TargetStart start("t" + std::to_string(target));
    int out = 0;
    for (int n = 0; n < spec_.routers; ++n) {
      const Router& it = routers_[static_cast<std::size_t>(n)];
      const bool holds = it.placement->rate_limits().LimitOf(start).has_value();
      out += holds && !down_.contains(n) ? 1 : 0;
    }
    return out;
  }
  // Requests that reached a target where they may not be processed.
  int astray() const { return astray_; }
  int asked() const { return asked_; }
  int refused() const { return refused_; }
  // What one target got since then.
  std::size_t Got(int target, Instant since) const {
    const auto it = arrivals_.find("t" + std::to_string(target));
    if (it == arrivals_.end()) return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(),
                      [&](const Arrival& a) { return a.at >= since; }));
  }

 private:
  struct Router {
    std::unique_ptr<Placement> placement;
    std::unique_ptr<FleetDirectory> list;
    int life = 0;
    std::map<TargetName, Instant> told_at;
    Instant frozen_until{};
  };

  static FleetMember Member(int n) {
    FleetMember out;
    out.vm = VmName("vm-" + std::to_string(n));
    out.hall = HallName("hall-" + std::to_string(n % 3));
    return out;
  }

  double Part() { return static_cast<double>(random_()) / 4294967296.0; }
  bool Happens(double per_s) { return Part() < per_s * ToSeconds(kStep); }
  Duration Draw(Duration longest) {
    return std::chrono::duration_cast<Duration>(longest * Part());
  }

  void Begin(int n, Instant now) {
    Router& it = routers_[static_cast<std::size_t>(n)];
    ++it.life;
    it.told_at.clear();
    it.frozen_until = {};
    it.list = std::make_unique<FleetDirectory>(
        members_[static_cast<std::size_t>(n)], FleetOptions{});
    const bool behind = Part() < spec_.behind &&
                        static_cast<std::size_t>(n) + 2 < members_.size();
    it.list->Put({members_.begin(), members_.end() - (behind ? 2 : 0)});
    it.list->MarkRead();
    it.placement = std::make_unique<Placement>(
        members_[static_cast<std::size_t>(n)].hall,
        PlacementRates{SharedRate(now, {}), SharedRate(now, kAllowance)},
        regions_);
    const FleetDirectory& list = *it.list;
    it.placement->SetPlaces([&list](const TargetStart& target) {
      return list.PlaceFor(target.value);
    });
    it.placement->SetTargets(now, targets_);
    for (std::size_t peer = 0; peer < routers_.size(); ++peer) {
      if (!IsLinked(static_cast<std::size_t>(n), peer)) continue;
      Tell(static_cast<std::size_t>(n),
           routers_[peer].placement->rate_limits().All(now));
    }
  }

  // Links follow the list that lacks nobody.
  bool IsLinked(std::size_t a, std::size_t b) const {
    if (a == b || !routers_[a].placement || !routers_[b].placement) {
      return false;
    }
    return links_.contains({a, b}) || links_.contains({b, a});
  }
  void Link() {
    for (std::size_t n = 0; n < members_.size(); ++n) {
      FleetDirectory list(members_[n], {});
      list.Put(members_);
      for (const FleetMember& it : list.MembersToLink()) {
        links_.insert({n, std::stoul(it.vm.value.substr(3))});
      }
      if (list.IsReader(members_[n].vm)) readers_.insert(n);
    }
  }
  // Stops the routers that come first in the order of the first target.
  void StopOwners() {
    std::vector<std::pair<std::size_t, int>> order;
    for (int n = 0; n < spec_.routers; ++n) {
      FleetDirectory list(members_[static_cast<std::size_t>(n)], {});
      list.Put(members_);
      list.MarkRead();
      order.push_back({list.PlaceFor("t0")->rank, n});
    }
    std::sort(order.begin(), order.end());
    for (int n = 0; n < spec_.down; ++n) {
      down_.insert(order[static_cast<std::size_t>(n)].second);
    }
  }

  void Tell(std::size_t to, const RateReports& reports) {
    if (reports.empty() || Part() < spec_.lost) return;
    const Instant arrives = now_ + milliseconds(2) + Draw(milliseconds(40));
    messages_.push_back({to, arrives, reports});
  }
  void TellPeers() {
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      if (IsFrozen(n)) continue;
      const auto reports =
          routers_[n].placement->TakeUntoldRates(now_, readers_.contains(n));
      for (std::size_t peer = 0; peer < routers_.size(); ++peer) {
        if (IsLinked(n, peer)) Tell(peer, reports);
      }
    }
  }

  std::optional<double> LimitAt(const TargetName& target, Instant at) const {
    const auto it = spec_.phases.find(std::stoi(target.value.substr(1)));
    std::optional<double> out;
    if (it == spec_.phases.end()) return out;
    for (const Phase& phase : it->second) {
      if (phase.since <= at) out = phase.per_s;
    }
    return out;
  }

  void Ask() {
    ++asked_;
    const int n = static_cast<int>(random_() % routers_.size());
    if (down_.contains(n)) return;
    if (IsFrozen(static_cast<std::size_t>(n))) return late_.push_back(n);
    AskAt(n);
  }
  bool IsFrozen(std::size_t n) const { return routers_[n].frozen_until > now_; }
  // What came to routers while they stood still.
  void AskLate() {
    for (const int n : std::exchange(late_, {})) {
      if (IsFrozen(static_cast<std::size_t>(n))) {
        late_.push_back(n);
      } else {
        AskAt(n);
      }
    }
  }
  void AskAt(int n) {
    Router& it = routers_[static_cast<std::size_t>(n)];
    const std::uint64_t shared = Part() < 0.7 ? 7 : random_() % 40;
    PlacementRequest request = Prompt(shared, 1000 + random_());
    request.residency = DrawResidency();
    Send(n, it, request, 0);
  }
  // Draws of its own, so that the others stay as they are.
  Residency DrawResidency() {
    std::uniform_real_distribution<double> part(0, 1);
    if (part(residency_random_) >= spec_.bound) return {};
    const bool north = part(residency_random_) < 0.5;
    return Residency({RegionName(north ? "north" : "south")});
  }

  void Send(int n, Router& it, const PlacementRequest& request, int held_back) {
    const auto choice = it.placement->Choose(now_, request);
    if (!choice) {
      ++refused_;
      return;
    }
    it.placement->OnSent(now_, choice->target.name, request,
                         choice->is_preferred);
    InFlight call;
    call.router = n;
    call.life = it.life;
    call.target = choice->target;
    call.residency = request.residency;
    call.sent_at = now_;
    call.arrives = now_ + milliseconds(2);
    const bool opens = Part() < 0.3;
    if (opens) call.arrives += Draw(kLongestOpening);
    call.answered = call.arrives + milliseconds(20) + Draw(milliseconds(900));
    if (opens) {
      waiting_.push_back({call, *choice, request, held_back});
    } else {
      Arrive(call);
    }
  }

  void Arrive(InFlight call) {
    const Router& it = routers_[static_cast<std::size_t>(call.router)];
    const auto told = it.told_at.find(call.target.name);
    const bool counts =
        told != it.told_at.end() && call.arrives - told->second >= kToldFor;
    arrivals_[call.target.name.value].push_back({call.arrives, counts});
    const RegionName region = regions_.RegionOf(call.target.hall);
    astray_ += call.residency.Allows(region) ? 0 : 1;
    running_.push_back(std::move(call));
  }

  void Deliver() {
    auto opened = std::stable_partition(
        waiting_.begin(), waiting_.end(), [&](const Waiting& it) {
          return it.call.arrives > now_ ||
                 IsFrozen(static_cast<std::size_t>(it.call.router));
        });
    const std::vector<Waiting> ready(opened, waiting_.end());
    waiting_.erase(opened, waiting_.end());
    for (const Waiting& it : ready) Open(it);
    auto done = std::stable_partition(
        running_.begin(), running_.end(), [&](const InFlight& it) {
          return it.answered > now_ ||
                 IsFrozen(static_cast<std::size_t>(it.router));
        });
    const std::vector<InFlight> answered(done, running_.end());
    running_.erase(done, running_.end());
    for (const InFlight& it : answered) Answer(it);
    auto told = std::stable_partition(
        messages_.begin(), messages_.end(), [&](const Message& it) {
          return it.arrives > now_ || IsFrozen(it.to);
        });
    const std::vector<Message> arrived(told, messages_.end());
    messages_.erase(told, messages_.end());
    for (const Message& it : arrived) {
      routers_[it.to].placement->OnRateReports(now_, it.reports);
    }
  }

  struct Message {
    std::size_t to = 0;
    Instant arrives{};
    RateReports reports;
  };

  struct Waiting {
    InFlight call;
    PlacementChoice choice;
    PlacementRequest request;
    int held_back = 0;
  };

  void Open(const Waiting& it) {
    Router& router = routers_[static_cast<std::size_t>(it.call.router)];
    if (router.life != it.call.life) return;
    if (router.placement->MayStillSend(now_, it.choice, it.request)) {
      InFlight call = it.call;
      call.answered += now_ - call.arrives;
      call.arrives = now_;
      return Arrive(call);
    }
    router.placement->OnEnded(now_, it.call.target.name, 0,
                              PlacementOutcome::kNeutral);
    if (it.held_back < 3) {
      Send(it.call.router, router, it.request, it.held_back + 1);
    }
  }

  void Answer(const InFlight& call) {
    Router& it = routers_[static_cast<std::size_t>(call.router)];
    if (it.life != call.life) return;
    RateStatement said;
    said.per_s = LimitAt(call.target.name, call.answered - milliseconds(2));
    said.is_unlimited = !said.per_s;
    it.placement->OnRate(now_, call.target.start, call.sent_at, said);
    it.placement->OnEnded(now_, call.target.name, 0, PlacementOutcome::kGood);
    if (said.per_s) it.told_at.try_emplace(call.target.name, now_);
    if (said.is_unlimited) it.told_at.erase(call.target.name);
  }

  // What a limit allows in a span; only spans within one phase are judged.
  double ExcessFrom(Instant begin, const std::vector<Arrival>& arrivals,
                    const std::vector<Phase>& phases) const {
    const Phase* at = nullptr;
    for (const Phase& it : phases) {
      if (it.since <= begin) at = &it;
      if (it.since > begin && it.since < begin + kSpan) return -kSlack;
    }
    if (at == nullptr || !at->per_s) return -kSlack;
    if (begin < at->since + kSettles) return -kSlack;
    const auto got =
        std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& it) {
          return it.counts && it.at >= begin && it.at < begin + kSpan;
        });
    return static_cast<double>(got) -
           (*at->per_s * kOverage * ToSeconds(kSpan) + kSlack);
  }

  std::mt19937 random_;
  std::mt19937 residency_random_;
  Spec spec_;
  const HallRegions regions_ =
      *HallRegions::Parse("hall-0=north,hall-1=north,hall-2=south");
  std::map<TargetName, TargetEntry> targets_;
  std::vector<FleetMember> members_;
  std::vector<Router> routers_;
  std::set<std::pair<std::size_t, std::size_t>> links_;
  std::set<std::size_t> readers_;
  std::set<int> down_;
  std::vector<Message> messages_;
  // Routers that were asked while they stood still.
  std::vector<int> late_;
  std::vector<Waiting> waiting_;
  std::vector<InFlight> running_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  Instant now_{};
  int asked_ = 0;
  int refused_ = 0;
  int astray_ = 0;
};

constexpr std::uint32_t kDraws = 12;

struct Figures {
  int broken = 0;
  double worst = -kSlack;
  int asked = 0;
  int refused = 0;
  int astray = 0;
};

Figures Play(const Spec& spec) {
  Figures out;
  for (std::uint32_t seed = 1; seed <= kDraws; ++seed) {
    World it(seed, spec);
    it.Run();
    const double excess = it.Excess();
    out.worst = std::max(out.worst, excess);
    out.broken += excess > 0 ? 1 : 0;
    out.asked += it.asked();
    out.refused += it.refused();
    out.astray += it.astray();
  }
  BOOST_TEST_MESSAGE("worst excess " << out.worst << ", broken in "
                                     << out.broken << " of " << kDraws << ", "
                                     << out.refused << " of " << out.asked
                                     << " refused");
  return out;
}

Spec WithLimit(int routers, int targets, int limited, double per_s) {
  Spec out;
  out.routers = routers;
  out.targets = targets;
  for (int n = 0; n < limited; ++n) {
    out.phases[n] = {{kStart + milliseconds(500 * n), per_s}};
  }
  return out;
}

// A target's limit counted at each router alone, so that all of them together
// sent it many times as much.
BOOST_AUTO_TEST_CASE(ALimitHoldsOverAllRouters) {
  for (const int routers : {3, 7, 74}) {
    for (const double per_s : {0.0, 0.3, 1.0, 4.5, 20.0}) {
      Spec spec = WithLimit(routers, 12, 2, per_s);
      spec.requests_per_s = std::max(46.0, 2.0 * routers);
      const Figures it = Play(spec);
      BOOST_TEST(it.broken == 0,
                 routers << " routers, " << per_s << " a second");
      // Ten others have room.
      BOOST_TEST(it.refused == 0);
    }
  }
}

// Limits of most targets at once: what is left is spread, and refused at once
// where no target has room.
BOOST_AUTO_TEST_CASE(LimitsOfMostTargetsHoldTogether) {
  const Figures it = Play(WithLimit(7, 12, 11, 1));
  BOOST_TEST(it.broken == 0);
  BOOST_TEST(it.refused == 0);
  const Figures all = Play(WithLimit(7, 12, 12, 2));
  BOOST_TEST(all.broken == 0);
  BOOST_TEST(all.refused > 0);
}

// Limits that fall, rise and come back.
BOOST_AUTO_TEST_CASE(ALimitThatChangesHoldsInEachPhase) {
  Spec spec = WithLimit(7, 12, 3, 1);
  spec.time = seconds(50);
  for (auto& [n, phases] : spec.phases) {
    phases = {{kStart + seconds(1), 10.0},
              {kStart + seconds(12), 0.5},
              {kStart + seconds(24), 3.0},
              {kStart + seconds(36), 0.0}};
  }
  BOOST_TEST(Play(spec).broken == 0);
}

// Requests that are bound to regions leave fewer targets to choose from, and
// must neither pass a limit nor leave their region for it.
BOOST_AUTO_TEST_CASE(ALimitHoldsForRequestsThatAreBoundToRegions) {
  for (const int routers : {7, 74}) {
    for (const int limited : {2, 8, 12}) {
      Spec spec = WithLimit(routers, 12, limited, 1);
      spec.requests_per_s = std::max(46.0, 2.0 * routers);
      spec.bound = 0.6;
      const Figures it = Play(spec);
      BOOST_TEST(it.broken == 0, routers << " routers, " << limited);
      BOOST_TEST(it.astray == 0);
      BOOST_TEST((limited == 12 || it.refused == 0));
    }
  }
}

// Nobody can tell another router anything; each goes by its own answers.
BOOST_AUTO_TEST_CASE(ALimitHoldsWithoutMessages) {
  Spec spec = WithLimit(7, 12, 2, 1);
  spec.lost = 1;
  spec.time = seconds(90);
  BOOST_TEST(Play(spec).broken == 0);
  spec.routers = 74;
  spec.requests_per_s = 150;
  BOOST_TEST(Play(spec).broken == 0);
}

struct Lifted {
  int holding = 0;
  std::size_t got = 0;
};

// A limit that ends at 10 s, and what is left of it at the end of the time.
Lifted PlayEnded(const Spec& limited) {
  Spec spec = limited;
  for (auto& [n, phases] : spec.phases) {
    phases.push_back({kStart + seconds(10), std::nullopt});
  }
  Lifted out;
  for (std::uint32_t seed = 1; seed <= kDraws; ++seed) {
    World it(seed, spec);
    it.Run();
    BOOST_TEST(it.Excess() <= 0);
    out.holding += it.Holding(0);
    out.got += it.Got(0, kStart + spec.time - seconds(4));
  }
  BOOST_TEST_MESSAGE(out.holding << " hold it, " << out.got << " sent in 4 s");
  return out;
}

// Who doesn't send to a limited target would never learn that its limit ended.
BOOST_AUTO_TEST_CASE(ALimitThatEndedIsLiftedEverywhere) {
  for (const int routers : {3, 7, 74}) {
    Spec spec = WithLimit(routers, 12, 2, 1);
    spec.lost = 0;
    spec.freezes_per_s = 0;
    spec.time = seconds(18);
    spec.requests_per_s = std::max(46.0, 4.0 * routers);
    const Lifted it = PlayEnded(spec);
    BOOST_TEST(it.holding == 0);
    BOOST_TEST(it.got > 8 * kDraws);
  }
}

// A target that takes nothing at all is tried now and then.
BOOST_AUTO_TEST_CASE(ALimitOfZeroThatEndedIsLifted) {
  Spec spec = WithLimit(7, 12, 1, 0);
  spec.time = seconds(60);
  spec.restarts_per_s = 0;
  BOOST_TEST(PlayEnded(spec).holding == 0);
}

// Its owners are down, so others find out.
BOOST_AUTO_TEST_CASE(ALimitIsLiftedAlthoughItsOwnersAreDown) {
  for (const int routers : {7, 74}) {
    Spec spec = WithLimit(routers, 12, 1, 1);
    spec.restarts_per_s = 0;
    spec.down = 2;
    spec.time = seconds(50);
    BOOST_TEST(PlayEnded(spec).holding == 0);
  }
}

}  // namespace
}  // namespace quaytrack
