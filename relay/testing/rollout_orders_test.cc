// The operators' orders to move a service to another version, as the follower
// of the configuration reports them.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "kv/testing/scripted_store.h"
#include "relay/config_follower.h"
#include "relay/testing/plain_state_reader.h"
#include "relay/testing/the_feed_chart.h"

namespace quaytrack {
namespace {

struct Fixture {
  Fixture() { follower.Start(); }

  ConfigFollower::Handlers Handlers() {
    ConfigFollower::Handlers out;
    out.adopted = [] {};
    out.send = [](const Incarnation&, const PeerMessage&) {};
    out.store_reachable = [](bool) {};
    out.rollout_ordered = [this](const ServiceName& service,
                                 const RolloutOrder* order) {
      reported.push_back(service.value + " " +
                         (order == nullptr ? "none" : order->version.value));
    };
    return out;
  }
  void StoreHas(const std::vector<StoreItem>& items, StoreRevision revision) {
    BOOST_TEST(store.AnswerRange("c/", {StoreEnd::kDone, revision, items}));
  }
  void StoreShows(const StoreChange& change) {
    StoreChanges out;
    out.end = StoreEnd::kDone;
    out.revision = change.item.revision;
    out.changes = {change};
    BOOST_TEST(store.AnswerWait("c/", out));
    RunFor(loop, std::chrono::milliseconds(250));
  }
  std::vector<std::string> TakeReports() { return std::exchange(reported, {}); }

  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  PlainStateReader reader;
  std::vector<std::string> reported;
  ConfigFollower follower{
      {loop, clock, store, TheFeedChart()}, reader, Handlers()};
};

using Reports = std::vector<std::string>;

BOOST_FIXTURE_TEST_CASE(OrdersAreHandedOnAsTheyComeAndGo, Fixture) {
  StoreHas({{"c/rollout/s", "v2", 3}, {"c/config", "7", 2}}, 3);
  BOOST_TEST((TakeReports() == Reports{"s v2"}));
  StoreShows({{"c/rollout/s", "v3", 4}, false});
  BOOST_TEST((TakeReports() == Reports{"s v3"}));
  StoreShows({{"c/rollout/s", "", 5}, true});
  BOOST_TEST((TakeReports() == Reports{"s none"}));
  BOOST_TEST(follower.version() == 7U);
}

// An order that can't be read doesn't withdraw the one before it.
BOOST_FIXTURE_TEST_CASE(AnUnreadableOrderChangesNothing, Fixture) {
  StoreHas({{"c/rollout/s", "v2", 3}}, 3);
  TakeReports();
  StoreShows({{"c/rollout/s", "", 4}, false});
  StoreShows({{"c/rollout/other", "", 5}, false});
  BOOST_TEST(TakeReports().empty());
}

}  // namespace
}  // namespace quaytrack
