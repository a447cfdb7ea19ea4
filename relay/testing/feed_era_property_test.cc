// Random histories of a store that comes back from older copies of itself, and
// the state that the routers of a fleet have of it.
//
// The rules: a router's state is that of the store at one revision of one era,
// which never goes back; and in the end it equals the store's state.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "relay/testing/feed_fleet.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kHistories = 20;

// A fleet, small (no readers) or large, whose routers learn of each return of
// the store at different times: some are cut off from the store, and messages
// are lost, repeated and reordered.
class World {
 public:
  World(std::uint32_t seed, int readers) : random_(seed) {
    for (int n = 0; n < kRouters; ++n) {
      fleet_.Add("vm" + std::to_string(n), n < readers);
    }
    fleet_.store.StartEras();
    Change();
    fleet_.StartAll();
  }

  // Whether all routers have the store's state in the end.
  bool Run() {
    fleet_.brief_turns = true;
    for (int n = 0; n < kSteps; ++n) {
      Step();
      CheckKnown();
    }
    for (auto& it : fleet_.nodes) it->client.cut = false;
    // A wait that was lost is started again; the state arrives with the first
    // change after it.
    for (int n = 0; n < kCalmRounds; ++n) {
      fleet_.clock.now += milliseconds(900);
      Change();
      for (auto& it : fleet_.nodes) {
        it->feed.RestartWait();
        it->feed.Check();
      }
      fleet_.Propagate();
      fleet_.BroadcastHeartbeats();
      fleet_.Turn();
    }
    const FeedItems now = fleet_.store.ItemsAt(fleet_.store.revision());
    return std::all_of(fleet_.nodes.begin(), fleet_.nodes.end(),
                       [&](const auto& it) { return it->items == now; });
  }

 private:
  static constexpr int kRouters = 5;
  static constexpr int kSteps = 40;
  static constexpr int kCalmRounds = 6;
  static constexpr int kKeys = 5;

  int Draw(int n) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(n));
  }
  FeedNode& Any() {
    return *fleet_.nodes[static_cast<std::size_t>(Draw(kRouters))];
  }

  void Change() {
    const std::string key = "t/" + std::to_string(Draw(kKeys));
    const auto items = fleet_.store.ItemsAt(fleet_.store.revision());
    if (items.contains(key) && Draw(3) == 0) return fleet_.store.Remove(key);
    fleet_.store.Put(key, std::to_string(++values_));
  }

  void Step() {
    switch (Draw(9)) {
      case 0:
      case 1:
      case 2:
        return Change();
      case 3:
        Any().client.cut ^= true;
        return;
      case 4:
        Any().client.AnswerWait();
        return fleet_.Turn();
      case 5:
        return DeliverAny();
      case 6:
        fleet_.clock.now += milliseconds(Draw(1200));
        for (auto& it : fleet_.nodes) it->feed.Check();
        return fleet_.Turn();
      case 7:
        return Draw(2) == 0 ? fleet_.BroadcastHeartbeats() : fleet_.Propagate();
      default:
        if (Draw(3) == 0) RestoreCopy();
    }
  }

  void CheckKnown() {
    for (auto& it : fleet_.nodes) {
      const StoreRevision known = it->feed.known();
      StoreRevision& before = known_[it->self];
      BOOST_TEST(before <= known);
      before = known;
      if (known != StoreRevision()) {
        BOOST_TEST((it->items == fleet_.store.ItemsAt(known)));
      }
    }
  }

  void RestoreCopy() {
    const std::int64_t lost = Draw(12);
    const std::int64_t copy =
        std::max<std::int64_t>(0, fleet_.store.revision() - lost);
    // The counter may be lower than, equal to or above what the routers know.
    fleet_.store.RestoreCopy(copy, Draw(2) == 0 ? 0 : Draw(15));
  }

  // Some messages arrive late, twice or never.
  void DeliverAny() {
    if (fleet_.sent.empty()) return;
    auto it = fleet_.sent.begin();
    std::advance(it, Draw(static_cast<int>(fleet_.sent.size())));
    const FeedFleet::Sent sent = *it;
    if (Draw(4) > 0) fleet_.sent.erase(it);
    if (Draw(5) > 0) fleet_.Deliver(sent);
  }

  std::mt19937 random_;
  FeedFleet fleet_;
  int values_ = 0;
  std::map<Incarnation, StoreRevision> known_;
};

// Guards against changes that are ignored because the store's revisions went
// back, in a fleet whose routers all follow the store.
BOOST_AUTO_TEST_CASE(AStoreThatCameBackOlderIsKnownAtAllWhoFollowIt) {
  for (std::uint32_t seed = 1; seed <= kHistories; ++seed) {
    BOOST_TEST(World(seed, 0).Run(), "seed " << seed);
  }
}

// Guards against the same in a fleet whose readers update the other routers.
BOOST_AUTO_TEST_CASE(AStoreThatCameBackOlderIsKnownAtAllWhoAreTold) {
  for (std::uint32_t seed = 1; seed <= kHistories; ++seed) {
    BOOST_TEST(World(seed, 2).Run(), "seed " << seed);
  }
}

}  // namespace
}  // namespace quaytrack
