// Which reports on engines routers send to each other, and which they use.

#include "dispatch/pace_exchange.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
const ServiceName kService("llm");
const TargetStart kSlow("slow@1");

// The routers of a fleet, and links over which each report arrives unless it is
// cut.
struct PaceFleet {
  struct Router {
    explicit Router(const FleetMember& self)
        : fleet(self, FleetOptions()), exchange(fleet, pace) {}

    const VmName& vm() const { return fleet.self().vm; }

    FleetDirectory fleet;
    EnginePace pace;
    PaceExchange exchange;
  };

  explicit PaceFleet(int routers_per_hall) {
    std::vector<FleetMember> members;
    for (int n = 0; n < routers_per_hall * 3; ++n) {
      members.push_back({VmName("vm-" + std::to_string(n)),
                         HallName("hall-" + std::to_string(n % 3)), "a", 0});
    }
    for (const FleetMember& it : members) {
      routers.push_back(std::make_unique<Router>(it));
      routers.back()->fleet.Put(members);
      routers.back()->fleet.MarkRead();
    }
  }

  // Each router sees three answers a second of each of nine engines.
  void Run(Duration time) {
    for (const Instant end = now + time; now < end; now += milliseconds(333)) {
      for (auto& it : routers) {
        for (int n = 0; n < 8; ++n) {
          it->pace.OnPauses(now, kService,
                            TargetStart("usual-" + std::to_string(n)), 50, 80);
        }
        it->pace.OnPauses(now, kService, kSlow, 110, 150);
        it->pace.Update(now);
      }
      if (++rounds % 3 == 0) Exchange();
    }
  }

  void Exchange() {
    for (auto& from : routers) {
      // One report for each scope, as in a heartbeat.
      std::map<PaceScope, PaceReports> sent;
      for (auto& to : routers) {
        if (from == to || is_cut) continue;
        const auto scope = from->exchange.ScopeFor(to->vm());
        if (!scope) continue;
        if (!sent.contains(*scope))
          sent[*scope] = from->pace.Report(now, *scope);
        const PaceReports& reports = sent[*scope];
        to->exchange.OnReport(now, from->vm(), {*scope, reports});
        if (is_doubled)
          to->exchange.OnReport(now, from->vm(), {*scope, reports});
      }
    }
  }

  Instant now = kStart;
  int rounds = 0;
  bool is_cut = false;
  bool is_doubled = false;
  std::vector<std::unique_ptr<Router>> routers;
};

// Guards against routers that prefer different engines.
BOOST_AUTO_TEST_CASE(AllRoutersOfALargeFleetAgree) {
  PaceFleet fleet(8);
  fleet.Run(seconds(10));
  for (const auto& it : fleet.routers)
    BOOST_TEST(it->pace.RatioOf(kSlow) == 2.0);
}

BOOST_AUTO_TEST_CASE(AllRoutersOfASmallFleetAgree) {
  PaceFleet fleet(2);
  fleet.Run(seconds(10));
  for (const auto& it : fleet.routers)
    BOOST_TEST(it->pace.RatioOf(kSlow) == 2.0);
}

// Guards against answers that count twice when readers exchange their sums: no
// router may know of more answers than there were.
BOOST_AUTO_TEST_CASE(NoAnswerCountsTwice) {
  for (const int per_hall : {2, 8}) {
    PaceFleet fleet(per_hall);
    fleet.is_doubled = true;
    fleet.Run(seconds(5));
    const double seen = static_cast<double>(fleet.routers.size()) *
                        ToSeconds(fleet.now - kStart) * 3;
    double most = 0;
    for (auto& it : fleet.routers) {
      const auto all = it->pace.Report(fleet.now, PaceScope::kAll);
      const auto service = all.find(kService);
      if (service == all.end()) continue;
      most = std::max(most, service->second.at(kSlow).answers);
    }
    BOOST_TEST(most <= seen);
    // Reports of the last second are missing, and older answers weigh less.
    BOOST_TEST(most > seen * 0.5);
  }
}

// A partition, or the loss of all readers: each router goes on by its own
// answers, and takes part again afterwards.
BOOST_AUTO_TEST_CASE(APartitionLeavesEachRouterItsOwnAnswers) {
  PaceFleet fleet(8);
  fleet.Run(seconds(10));
  fleet.is_cut = true;
  fleet.Run(seconds(15));
  for (const auto& it : fleet.routers)
    BOOST_TEST(it->pace.RatioOf(kSlow) == 2.0);
  fleet.is_cut = false;
  fleet.Run(seconds(5));
  for (const auto& it : fleet.routers)
    BOOST_TEST(it->pace.RatioOf(kSlow) == 2.0);
}

// Guards against a router of another list, or an older one, that sends sums to
// where they would count twice.
BOOST_AUTO_TEST_CASE(ReportsOfAnUnexpectedScopeAreIgnored) {
  PaceFleet fleet(8);
  const auto is_reader = [](const auto& it) {
    return it->fleet.IsReader(it->vm());
  };
  const auto reader =
      std::find_if(fleet.routers.begin(), fleet.routers.end(), is_reader);
  const PaceReports slow = {{kService, {{kSlow, {0, 2.0, 50, {}}}}}};
  PaceFleet::Router& at = **reader;
  for (const auto& from : fleet.routers) {
    const bool own_hall = from->fleet.self().hall == at.fleet.self().hall;
    at.exchange.OnReport(kStart, from->vm(), {PaceScope::kAll, slow});
    if (own_hall)
      at.exchange.OnReport(kStart, from->vm(), {PaceScope::kHall, slow});
    else
      at.exchange.OnReport(kStart, from->vm(), {PaceScope::kOwn, slow});
  }
  at.exchange.OnReport(kStart, VmName("unknown"), {PaceScope::kOwn, slow});
  BOOST_TEST(at.pace.Report(kStart, PaceScope::kAll).empty());
}

// Before the list of routers was read, a router of a large fleet takes it for a
// small one.
BOOST_AUTO_TEST_CASE(NothingIsSentBeforeTheListIsRead) {
  FleetDirectory fleet({VmName("vm-1"), HallName("a"), "a", 0}, FleetOptions());
  EnginePace pace;
  const PaceExchange exchange(fleet, pace);
  BOOST_TEST(!exchange.ScopeFor(VmName("vm-2")).has_value());
}

}  // namespace
}  // namespace quaytrack
