// Operators' orders to move a service, as the follower of the configuration
// hands them on.

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
      heard.push_back(service.value + " " +
                      (order == nullptr ? "none" : order->version.value));
    };
    return out;
  }
  void Reads(const std::vector<StoreItem>& items, StoreRevision revision) {
    BOOST_TEST(store.AnswerRange("c/", {StoreEnd::kDone, revision, items}));
  }
  void Shows(const StoreChange& change) {
    StoreChanges out;
    out.end = StoreEnd::kDone;
    out.revision = change.item.revision;
    out.changes = {change};
    BOOST_TEST(store.AnswerWait("c/", out));
    RunFor(loop, std::chrono::milliseconds(250));
  }
  std::vector<std::string> Take() { return std::exchange(heard, {}); }

  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  PlainStateReader reader;
  std::vector<std::string> heard;
  ConfigFollower follower{
      {loop, clock, store, TheFeedChart()}, reader, Handlers()};
};

using Heard = std::vector<std::string>;

BOOST_FIXTURE_TEST_CASE(OrdersAreHandedOnAsTheyComeAndGo, Fixture) {
  Reads({{"c/rollout/s", "v2", 3}, {"c/config", "7", 2}}, 3);
  BOOST_TEST((Take() == Heard{"s v2"}));
  Shows({{"c/rollout/s", "v3", 4}, false});
  BOOST_TEST((Take() == Heard{"s v3"}));
  Shows({{"c/rollout/s", "", 5}, true});
  BOOST_TEST((Take() == Heard{"s none"}));
  BOOST_TEST(follower.version() == 7U);
}

// One that can't be read takes the one before it not back.
BOOST_FIXTURE_TEST_CASE(AnUnreadableOrderChangesNothing, Fixture) {
  Reads({{"c/rollout/s", "v2", 3}}, 3);
  Take();
  Shows({{"c/rollout/s", "", 4}, false});
  Shows({{"c/rollout/other", "", 5}, false});
  BOOST_TEST(Take().empty());
}

}  // namespace
}  // namespace quaytrack
