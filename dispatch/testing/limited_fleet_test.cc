// Simulates randomized fleets (fixed seeds) whose targets announce rate limits.
// Counts what reaches a target in any four seconds from the routers that know
// its limit.
//
// Requests arrive at all routers. Most share a part of the prompt, so most
// prefer one target. An answer states the limit at the time its head is
// written, and takes some time. Some routers have outdated lists, routers
// restart or freeze, connections take up to 250 ms to open, and limits change
// and end. Messages between routers are delayed, and some or all are lost. For
// every seed the bound has to hold, callers have to be served while other
// targets have capacity, and a limit that ended has to be lifted at all
// routers.

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
// The platform's limit: what a target may get in any such span. Requests of a
// router count from `kKnownFor` after it received an answer with the limit, and
// spans from `kGracePeriod` after a limit takes effect.
constexpr Duration kSpan = seconds(4);
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;
constexpr Duration kKnownFor = milliseconds(500);
constexpr Duration kGracePeriod = milliseconds(3000);
// As in relay/relay_router.cc.
constexpr Duration kReportInterval = milliseconds(200);
constexpr RateAllowance kAllowance{kSpan, kOverage, kSlack};
constexpr Duration kLongestFreeze = milliseconds(5000);
constexpr Duration kLongestOpening = milliseconds(250);

// The limit that a target announces from `since` on.
struct Phase {
  Instant since{};
  std::optional<double> per_s;
};

struct Spec {
  int routers = 7;
  int targets = 12;
  // Requests a second at all routers together.
  double requests_per_s = 46;
  // Restarts of routers, a second.
  double restarts_per_s = 0.1;
  // Freezes of routers for up to `kLongestFreeze`, a second.
  double freezes_per_s = 0.1;
  // Share of the routers whose list lacks the two newest.
  double outdated = 0.3;
  // Share of the messages between routers that are lost.
  double lost = 0.1;
  // Routers that are down, from the first in the order of target 0 on.
  int down = 0;
  // Share of the requests that are bound to one region.
  double bound = 0;
  Duration time = seconds(30);
  // By target; those without phases announce no limit.
  std::map<int, std::vector<Phase>> phases;
};

// A request in flight to its target, or its answer on the way back.
struct InFlight {
  int router = 0;
  int run_number = 0;
  TargetEntry target;
  Residency residency;
  Instant sent_at{};
  Instant arrives{};
  Instant answered{};
  bool written = false;
};

struct Arrival {
  Instant at{};
  // The router had passed on an answer with the limit at least `kKnownFor`
  // before.
  bool counts = false;
};

class SimulatedFleet {
 public:
  SimulatedFleet(std::uint32_t seed, Spec spec)
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
      IssueDeferred();
      if ((now - kStart) % kReportInterval == Duration::zero()) ReportToPeers();
      if (Happens(spec_.restarts_per_s)) {
        Begin(static_cast<int>(random_() % routers_.size()), now);
      }
      if (Happens(spec_.freezes_per_s)) {
        Router& it = routers_[random_() % routers_.size()];
        it.frozen_until = now + RandomUpTo(kLongestFreeze);
      }
      const double each = spec_.requests_per_s * ToSeconds(kStep);
      for (double due = each + Uniform(); due >= 1; due -= 1) IssueRequest();
    }
  }

  // The largest excess of a target over what its limit allows in a span; 0 or
  // less if the bound holds.
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
  // Routers, of those that are up, that apply a limit to the target.
  int RoutersWithLimit(int target) const {
    const TargetStart start("t" + std::to_string(target));
    int out = 0;
    for (int n = 0; n < spec_.routers; ++n) {
      const Router& it = routers_[static_cast<std::size_t>(n)];
      const bool has_limit =
          it.placement->rate_limits().LimitOf(start).has_value();
      out += has_limit && !down_.contains(n) ? 1 : 0;
    }
    return out;
  }
  // Requests that reached a target in a region where they may not be processed.
  int outside_region() const { return outside_region_; }
  int requests() const { return requests_; }
  int refused() const { return refused_; }
  // Requests that a target received since then.
  std::size_t Received(int target, Instant since) const {
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
    int run_number = 0;
    std::map<TargetName, Instant> limit_known_at;
    Instant frozen_until{};
  };

  static FleetMember Member(int n) {
    FleetMember out;
    out.vm = VmName("vm-" + std::to_string(n));
    out.hall = HallName("hall-" + std::to_string(n % 3));
    return out;
  }

  double Uniform() { return static_cast<double>(random_()) / 4294967296.0; }
  bool Happens(double per_s) { return Uniform() < per_s * ToSeconds(kStep); }
  Duration RandomUpTo(Duration longest) {
    return std::chrono::duration_cast<Duration>(longest * Uniform());
  }

  void Begin(int n, Instant now) {
    Router& it = routers_[static_cast<std::size_t>(n)];
    ++it.run_number;
    it.limit_known_at.clear();
    it.frozen_until = {};
    it.list = std::make_unique<FleetDirectory>(
        members_[static_cast<std::size_t>(n)], FleetOptions{});
    const bool outdated = Uniform() < spec_.outdated &&
                          static_cast<std::size_t>(n) + 2 < members_.size();
    it.list->Put({members_.begin(), members_.end() - (outdated ? 2 : 0)});
    it.list->MarkRead();
    it.placement = std::make_unique<Placement>(
        members_[static_cast<std::size_t>(n)].hall,
        PlacementRates{SharedRate(now, {}), SharedRate(now, kAllowance)},
        regions_);
    const FleetDirectory& list = *it.list;
    it.placement->SetPlaceLookup([&list](const TargetStart& target) {
      return list.PlaceFor(target.value);
    });
    it.placement->SetTargets(now, targets_);
    for (std::size_t peer = 0; peer < routers_.size(); ++peer) {
      if (!IsLinked(static_cast<std::size_t>(n), peer)) continue;
      SendReports(static_cast<std::size_t>(n),
                  routers_[peer].placement->rate_limits().All(now));
    }
  }

  // Links follow the complete list.
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
  // Stops the routers that are first in the order of the first target.
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

  void SendReports(std::size_t to, const RateReports& reports) {
    if (reports.empty() || Uniform() < spec_.lost) return;
    const Instant arrives =
        now_ + milliseconds(2) + RandomUpTo(milliseconds(40));
    messages_.push_back({to, arrives, reports});
  }
  void ReportToPeers() {
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      if (IsFrozen(n)) continue;
      const auto reports = routers_[n].placement->TakeUnreportedRates(
          now_, readers_.contains(n));
      for (std::size_t peer = 0; peer < routers_.size(); ++peer) {
        if (IsLinked(n, peer)) SendReports(peer, reports);
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

  void IssueRequest() {
    ++requests_;
    const int n = static_cast<int>(random_() % routers_.size());
    if (down_.contains(n)) return;
    if (IsFrozen(static_cast<std::size_t>(n))) return deferred_.push_back(n);
    IssueRequestAt(n);
  }
  bool IsFrozen(std::size_t n) const { return routers_[n].frozen_until > now_; }
  // Handles the requests that arrived at routers while they were frozen.
  void IssueDeferred() {
    for (const int n : std::exchange(deferred_, {})) {
      if (IsFrozen(static_cast<std::size_t>(n))) {
        deferred_.push_back(n);
      } else {
        IssueRequestAt(n);
      }
    }
  }
  void IssueRequestAt(int n) {
    Router& it = routers_[static_cast<std::size_t>(n)];
    const std::uint64_t shared = Uniform() < 0.7 ? 7 : random_() % 40;
    PlacementRequest request = Prompt(shared, 1000 + random_());
    request.residency = RandomResidency();
    Send(n, it, request, 0);
  }
  // Uses its own random numbers, so that the other sequences do not change.
  Residency RandomResidency() {
    std::uniform_real_distribution<double> part(0, 1);
    if (part(residency_random_) >= spec_.bound) return {};
    const bool north = part(residency_random_) < 0.5;
    return Residency({RegionName(north ? "north" : "south")});
  }

  void Send(int n, Router& it, const PlacementRequest& request, int rechosen) {
    const auto choice = it.placement->Choose(now_, request);
    if (!choice) {
      ++refused_;
      return;
    }
    it.placement->OnSent(now_, choice->target.name, request,
                         choice->is_preferred);
    InFlight call;
    call.router = n;
    call.run_number = it.run_number;
    call.target = choice->target;
    call.residency = request.residency;
    call.sent_at = now_;
    call.arrives = now_ + milliseconds(2);
    const bool opens = Uniform() < 0.3;
    if (opens) call.arrives += RandomUpTo(kLongestOpening);
    call.answered =
        call.arrives + milliseconds(20) + RandomUpTo(milliseconds(900));
    if (opens) {
      waiting_.push_back({call, *choice, request, rechosen});
    } else {
      Arrive(call);
    }
  }

  void Arrive(InFlight call) {
    const Router& it = routers_[static_cast<std::size_t>(call.router)];
    const auto known = it.limit_known_at.find(call.target.name);
    const bool counts = known != it.limit_known_at.end() &&
                        call.arrives - known->second >= kKnownFor;
    arrivals_[call.target.name.value].push_back({call.arrives, counts});
    const RegionName region = regions_.RegionOf(call.target.hall);
    outside_region_ += call.residency.Allows(region) ? 0 : 1;
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
    auto delivered = std::stable_partition(
        messages_.begin(), messages_.end(), [&](const Message& it) {
          return it.arrives > now_ || IsFrozen(it.to);
        });
    const std::vector<Message> arrived(delivered, messages_.end());
    messages_.erase(delivered, messages_.end());
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
    int rechosen = 0;
  };

  void Open(const Waiting& it) {
    Router& router = routers_[static_cast<std::size_t>(it.call.router)];
    if (router.run_number != it.call.run_number) return;
    if (router.placement->MayStillSend(now_, it.choice, it.request)) {
      InFlight call = it.call;
      call.answered += now_ - call.arrives;
      call.arrives = now_;
      return Arrive(call);
    }
    router.placement->OnEnded(now_, it.call.target.name, 0,
                              PlacementOutcome::kNeutral);
    if (it.rechosen < 3) {
      Send(it.call.router, router, it.request, it.rechosen + 1);
    }
  }

  void Answer(const InFlight& call) {
    Router& it = routers_[static_cast<std::size_t>(call.router)];
    if (it.run_number != call.run_number) return;
    RateStatement statement;
    statement.per_s =
        LimitAt(call.target.name, call.answered - milliseconds(2));
    statement.is_unlimited = !statement.per_s;
    it.placement->OnRate(now_, call.target.start, call.sent_at, statement);
    it.placement->OnEnded(now_, call.target.name, 0, PlacementOutcome::kGood);
    if (statement.per_s) it.limit_known_at.try_emplace(call.target.name, now_);
    if (statement.is_unlimited) it.limit_known_at.erase(call.target.name);
  }

  // Excess over what the limit allows in the span; only spans within one phase
  // are checked.
  double ExcessFrom(Instant begin, const std::vector<Arrival>& arrivals,
                    const std::vector<Phase>& phases) const {
    const Phase* at = nullptr;
    for (const Phase& it : phases) {
      if (it.since <= begin) at = &it;
      if (it.since > begin && it.since < begin + kSpan) return -kSlack;
    }
    if (at == nullptr || !at->per_s) return -kSlack;
    if (begin < at->since + kGracePeriod) return -kSlack;
    const auto received =
        std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& it) {
          return it.counts && it.at >= begin && it.at < begin + kSpan;
        });
    return static_cast<double>(received) -
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
  // Routers that got requests while they were frozen.
  std::vector<int> deferred_;
  std::vector<Waiting> waiting_;
  std::vector<InFlight> running_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  Instant now_{};
  int requests_ = 0;
  int refused_ = 0;
  int outside_region_ = 0;
};

constexpr std::uint32_t kSeeds = 12;

struct Results {
  int broken = 0;
  double worst = -kSlack;
  int requests = 0;
  int refused = 0;
  int outside_region = 0;
};

Results Simulate(const Spec& spec) {
  Results out;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet it(seed, spec);
    it.Run();
    const double excess = it.Excess();
    out.worst = std::max(out.worst, excess);
    out.broken += excess > 0 ? 1 : 0;
    out.requests += it.requests();
    out.refused += it.refused();
    out.outside_region += it.outside_region();
  }
  BOOST_TEST_MESSAGE("worst excess " << out.worst << ", broken in "
                                     << out.broken << " of " << kSeeds << ", "
                                     << out.refused << " of " << out.requests
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

// Regression: each router applied the limit of a target by itself, so all of
// them together sent it many times as much.
BOOST_AUTO_TEST_CASE(ALimitHoldsOverAllRouters) {
  for (const int routers : {3, 7, 74}) {
    for (const double per_s : {0.0, 0.3, 1.0, 4.5, 20.0}) {
      Spec spec = WithLimit(routers, 12, 2, per_s);
      spec.requests_per_s = std::max(46.0, 2.0 * routers);
      const Results it = Simulate(spec);
      BOOST_TEST(it.broken == 0,
                 routers << " routers, " << per_s << " a second");
      // Ten other targets have capacity.
      BOOST_TEST(it.refused == 0);
    }
  }
}

// Most targets have a limit at the same time: requests are spread over the
// remaining capacity, and refused at once where there is none.
BOOST_AUTO_TEST_CASE(LimitsOfMostTargetsHoldTogether) {
  const Results it = Simulate(WithLimit(7, 12, 11, 1));
  BOOST_TEST(it.broken == 0);
  BOOST_TEST(it.refused == 0);
  const Results all = Simulate(WithLimit(7, 12, 12, 2));
  BOOST_TEST(all.broken == 0);
  BOOST_TEST(all.refused > 0);
}

// Limits that fall, rise and return.
BOOST_AUTO_TEST_CASE(ALimitThatChangesHoldsInEachPhase) {
  Spec spec = WithLimit(7, 12, 3, 1);
  spec.time = seconds(50);
  for (auto& [n, phases] : spec.phases) {
    phases = {{kStart + seconds(1), 10.0},
              {kStart + seconds(12), 0.5},
              {kStart + seconds(24), 3.0},
              {kStart + seconds(36), 0.0}};
  }
  BOOST_TEST(Simulate(spec).broken == 0);
}

// Requests that are bound to regions have fewer targets to choose from, and
// must neither exceed a limit nor leave their region because of it.
BOOST_AUTO_TEST_CASE(ALimitHoldsForRequestsThatAreBoundToRegions) {
  for (const int routers : {7, 74}) {
    for (const int limited : {2, 8, 12}) {
      Spec spec = WithLimit(routers, 12, limited, 1);
      spec.requests_per_s = std::max(46.0, 2.0 * routers);
      spec.bound = 0.6;
      const Results it = Simulate(spec);
      BOOST_TEST(it.broken == 0, routers << " routers, " << limited);
      BOOST_TEST(it.outside_region == 0);
      BOOST_TEST((limited == 12 || it.refused == 0));
    }
  }
}

// No messages arrive; each router relies on its own answers.
BOOST_AUTO_TEST_CASE(ALimitHoldsWithoutMessages) {
  Spec spec = WithLimit(7, 12, 2, 1);
  spec.lost = 1;
  spec.time = seconds(90);
  BOOST_TEST(Simulate(spec).broken == 0);
  spec.routers = 74;
  spec.requests_per_s = 150;
  BOOST_TEST(Simulate(spec).broken == 0);
}

struct Lifted {
  int routers_with_limit = 0;
  std::size_t received = 0;
};

// Runs with a limit that ends at 10 s; returns what is left of it at the end.
Lifted SimulateEnded(const Spec& limited) {
  Spec spec = limited;
  for (auto& [n, phases] : spec.phases) {
    phases.push_back({kStart + seconds(10), std::nullopt});
  }
  Lifted out;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet it(seed, spec);
    it.Run();
    BOOST_TEST(it.Excess() <= 0);
    out.routers_with_limit += it.RoutersWithLimit(0);
    out.received += it.Received(0, kStart + spec.time - seconds(4));
  }
  BOOST_TEST_MESSAGE(out.routers_with_limit << " routers apply it, "
                                            << out.received << " sent in 4 s");
  return out;
}

// A router that does not send to a limited target would never learn from its
// answers that the limit ended.
BOOST_AUTO_TEST_CASE(ALimitThatEndedIsLiftedEverywhere) {
  for (const int routers : {3, 7, 74}) {
    Spec spec = WithLimit(routers, 12, 2, 1);
    spec.lost = 0;
    spec.freezes_per_s = 0;
    spec.time = seconds(18);
    spec.requests_per_s = std::max(46.0, 4.0 * routers);
    const Lifted it = SimulateEnded(spec);
    BOOST_TEST(it.routers_with_limit == 0);
    BOOST_TEST(it.received > 8 * kSeeds);
  }
}

// A target with a limit of zero is probed now and then.
BOOST_AUTO_TEST_CASE(ALimitOfZeroThatEndedIsLifted) {
  Spec spec = WithLimit(7, 12, 1, 0);
  spec.time = seconds(60);
  spec.restarts_per_s = 0;
  BOOST_TEST(SimulateEnded(spec).routers_with_limit == 0);
}

// All owners are down, so other routers have to find out.
BOOST_AUTO_TEST_CASE(ALimitIsLiftedAlthoughItsOwnersAreDown) {
  for (const int routers : {7, 74}) {
    Spec spec = WithLimit(routers, 12, 1, 1);
    spec.restarts_per_s = 0;
    spec.down = 2;
    spec.time = seconds(50);
    BOOST_TEST(SimulateEnded(spec).routers_with_limit == 0);
  }
}

}  // namespace
}  // namespace quaytrack
