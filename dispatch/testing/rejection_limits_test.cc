// Rejection limits: what is known of them, and that all routers together stay
// within their slots without a message between them.

#include "dispatch/rejection_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/digest.h"
#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Guards against a limit that outlasts its cause.
BOOST_AUTO_TEST_CASE(AnAnswerThatSaysNothingEndsIt) {
  RejectionLimits it;
  BOOST_TEST(!it.IsLimited(kStart, kDesk));
  BOOST_TEST(it.OnAnswer(kStart, kDesk, 3));
  BOOST_TEST(!it.OnAnswer(kStart, kDesk, 3));
  BOOST_TEST(it.IsLimited(kStart, kDesk));
  BOOST_TEST(!it.IsLimited(kStart, kEngines));
  BOOST_TEST(it.OnAnswer(kStart, kDesk, std::nullopt));
  BOOST_TEST(!it.IsLimited(kStart, kDesk));
}

// Guards against a limit that nothing ends.
BOOST_AUTO_TEST_CASE(WithoutAnswersItEnds) {
  RejectionLimits it;
  it.OnAnswer(kStart, kDesk, 3);
  BOOST_TEST(
      it.IsLimited(kStart + RejectionLimits::kMemory - Duration(1), kDesk));
  BOOST_TEST(!it.IsLimited(kStart + RejectionLimits::kMemory, kDesk));
}

// Guards against routers that keep a limit alive by telling each other.
BOOST_AUTO_TEST_CASE(OnlyOwnRecentAnswersAreReported) {
  RejectionLimits own;
  own.OnAnswer(kStart, kDesk, 3);
  RejectionLimits told;
  BOOST_TEST(told.OnPeer(kStart, own.Reports(kStart)).size() == 1U);
  BOOST_TEST(told.OnPeer(kStart, own.Reports(kStart)).empty());
  BOOST_TEST(told.IsLimited(kStart, kDesk));
  BOOST_TEST(told.Reports(kStart).empty());
  BOOST_TEST(own.Reports(kStart + RejectionLimits::kReportedFor).empty());
}

// Guards against routers that overload a target together.
BOOST_AUTO_TEST_CASE(TheSharesAddUpToTheSlots) {
  for (std::size_t routers = 1; routers <= 80; ++routers) {
    for (int slots = 1; slots <= 64; ++slots) {
      int sum = 0;
      for (std::size_t rank = 0; rank < routers; ++rank)
        sum += SlotShare(slots, {rank, routers});
      BOOST_TEST(sum == slots);
    }
  }
}

// Routers that all know the limit, with drawn loads.
class LimitedFleet {
 public:
  LimitedFleet(unsigned seed, int routers, int targets, int slots)
      : random_(seed), entries_(Targets(kDesk, targets)) {
    for (auto& [name, entry] : entries_) {
      entry.slots = slots;
      entry.start = TargetStart(name.value + "@1");
    }
    for (int n = 0; n < routers; ++n) {
      routers_.push_back(std::make_unique<Placement>(HallName("hall-0")));
      Placement& it = *routers_.back();
      it.SetTargets(kStart, entries_);
      it.SetPlaceLookup([n, routers](const TargetStart& target) {
        return PlaceOf(n, routers, target.value);
      });
      it.OnRejectionLimit(kStart, kDesk, 3);
    }
    running_.resize(routers_.size());
  }

  // Each router gets requests as long as it takes them.
  void Fill() {
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      while (Send(n)) {
      }
    }
  }
  bool Send(std::size_t n) {
    PlacementRequest request;
    request.service = kDesk;
    const auto choice = routers_[n]->Choose(kStart, request);
    if (!choice) return false;
    const TargetName& name = choice->target.name;
    routers_[n]->OnSent(kStart, name, request, false);
    running_[n].push_back(name);
    ++at_target_[name];
    return true;
  }
  void EndSome() {
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      auto& all = running_[n];
      std::shuffle(all.begin(), all.end(), random_);
      while (all.size() > 1) {
        routers_[n]->OnEnded(kStart, all.back(), 0, PlacementOutcome::kGood);
        --at_target_[all.back()];
        all.pop_back();
      }
    }
  }
  int Most() const {
    int out = 0;
    for (const auto& [name, n] : at_target_) out = std::max(out, n);
    return out;
  }
  int All() const {
    int out = 0;
    for (const auto& [name, n] : at_target_) out += n;
    return out;
  }
  bool HasRoom(std::size_t n) { return Send(n); }
  std::size_t size() const { return routers_.size(); }

 private:
  static RendezvousPlace PlaceOf(int router, int routers,
                                 const std::string& key) {
    RendezvousPlace out{0, static_cast<std::size_t>(routers)};
    const auto weight = [&](int n) {
      return RendezvousWeight("vm-" + std::to_string(n), key);
    };
    for (int n = 0; n < routers; ++n)
      if (weight(n) > weight(router)) ++out.rank;
    return out;
  }

  std::mt19937 random_;
  std::map<TargetName, TargetEntry> entries_;
  std::vector<std::unique_ptr<Placement>> routers_;
  std::vector<std::vector<TargetName>> running_;
  std::map<TargetName, int> at_target_;
};

// Guards against targets that have to reject requests, and slots that are
// wasted.
BOOST_AUTO_TEST_CASE(ATargetNeverGetsMoreThanItsSlots) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 draw(seed);
    const int routers = 2 + static_cast<int>(draw() % 11);
    const int slots = routers + static_cast<int>(draw() % 60);
    const int targets = 1 + static_cast<int>(draw() % 12);
    LimitedFleet fleet(seed, routers, targets, slots);
    for (int n = 0; n < 5; ++n) {
      fleet.Fill();
      BOOST_TEST(fleet.Most() <= slots, "seed " << seed);
      // All slots can be used.
      BOOST_TEST(fleet.All() == slots * targets, "seed " << seed);
      fleet.EndSome();
    }
  }
}

// With fewer slots than routers, each router still serves.
BOOST_AUTO_TEST_CASE(EachRouterMaySendSomething) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    LimitedFleet fleet(seed, 40, 3, 6);
    for (std::size_t n = 0; n < fleet.size(); ++n)
      BOOST_TEST(fleet.HasRoom(n), "seed " << seed << ", router " << n);
  }
}

// A target that turned away a request is left for a second.
BOOST_AUTO_TEST_CASE(ARejectionIsAPause) {
  Placement placement(HallName("hall-0"));
  placement.SetTargets(kStart, Targets(kDesk, 1));
  placement.OnRejectionLimit(kStart, kDesk, 3);
  PlacementRequest request;
  request.service = kDesk;
  const TargetName name("t0");
  placement.OnSent(kStart, name, request, false);
  BOOST_TEST(placement.HasLimited(kStart, request));
  placement.OnEnded(kStart, name, 0, PlacementOutcome::kRefused);
  BOOST_TEST(
      !placement.Choose(kStart + milliseconds(999), request).has_value());
  BOOST_TEST(
      placement.Choose(kStart + milliseconds(1000), request).has_value());
}

}  // namespace
}  // namespace quaytrack
