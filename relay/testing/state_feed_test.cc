// How routers of a large fleet receive the store's state from readers, and when
// they call the store themselves.

#include "relay/state_feed.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "kv/testing/scripted_store.h"
#include "relay/testing/feed_fleet.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Longer than a router relies on the last heartbeat.
constexpr Duration kStaleAfter = milliseconds(1900);
// Longer than the time after which a request is repeated.
constexpr Duration kRequestRepeated = milliseconds(450);

// Longer than a starting router waits for readers.
constexpr Duration kReadsStore = milliseconds(3200);

// Two readers, a and b, and a router that relies on them.
struct Fixture {
  Fixture()
      : a(fleet.Add("a", true)),
        b(fleet.Add("b", true)),
        follower(fleet.Add("told", false)) {
    fleet.store.Put("t/1", "one");
    fleet.store.Put("t/2", "two");
    fleet.StartAll();
    fleet.BroadcastHeartbeats();
  }

  FeedItems Now() const { return fleet.store.ItemsAt(fleet.store.revision()); }
  PeerMessage Update(std::int64_t since, std::int64_t revision) const {
    PeerMessage out;
    out.kind = PeerMessageKind::kUpdate;
    out.from = a.self;
    out.update.feed = FeedName::kTargets;
    out.update.since = since;
    out.update.revision = revision;
    out.update.changes = fleet.store.Changes(since, revision);
    return out;
  }
  // Lets time pass without any heartbeat.
  void PassTimeSilently(Duration time) {
    fleet.clock.now += time;
    for (auto& it : fleet.nodes) it->feed.Check();
    fleet.Turn();
  }

  FeedFleet fleet;
  FeedNode& a;
  FeedNode& b;
  FeedNode& follower;
};

// A router that starts in a fleet with readers makes no call of its own.
BOOST_FIXTURE_TEST_CASE(ARouterThatStartsIsSentAllItemsByAReader, Fixture) {
  FeedNode& late = fleet.Add("late", false);
  late.feed.StartFromReaders();
  fleet.BroadcastHeartbeats();
  RunFor(fleet.loop, kRequestRepeated);
  fleet.DeliverAll();
  BOOST_TEST((late.items == Now()));
  BOOST_TEST(late.client.calls() == 0U);
  fleet.BroadcastHeartbeats();
  BOOST_TEST((late.feed.state() == FeedState::kNotified));
  RunFor(fleet.loop, kReadsStore);
  BOOST_TEST(late.client.calls() == 0U);
}

BOOST_AUTO_TEST_CASE(ARouterThatNoReaderAnswersAsksTheStore) {
  FeedFleet fleet;
  FeedNode& late = fleet.Add("late", false);
  fleet.store.Put("t/1", "one");
  late.feed.StartFromReaders();
  RunFor(fleet.loop, kReadsStore);
  BOOST_TEST((late.items == fleet.store.ItemsAt(fleet.store.revision())));
}

BOOST_AUTO_TEST_CASE(WithoutReadersARouterFollowsTheStoreItself) {
  FeedFleet fleet;
  FeedNode& it = fleet.Add("vm", false);
  fleet.store.Put("t/1", "one");
  fleet.StartAll();
  fleet.clock.now += kStaleAfter;
  it.feed.Check();
  fleet.store.Put("t/2", "two");
  fleet.Propagate();
  BOOST_TEST((it.feed.state() == FeedState::kReading));
  BOOST_TEST(it.items.size() == 2U);
  BOOST_TEST(!it.feed.Mark().has_value());
  BOOST_TEST(it.reachable.empty());
}

BOOST_FIXTURE_TEST_CASE(ASignOfACurrentReaderEndsARoutersOwnCalls, Fixture) {
  BOOST_TEST((follower.feed.state() == FeedState::kNotified));
  BOOST_TEST(!follower.client.waits());
  BOOST_TEST(a.client.waits());
  BOOST_TEST((follower.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(ChangesReachThoseThatAreTold, Fixture) {
  const auto calls = follower.client.calls();
  fleet.store.Put("t/3", "three");
  fleet.store.Remove("t/1");
  fleet.Propagate();
  BOOST_TEST((follower.items == Now()));
  BOOST_TEST(follower.client.calls() == calls);
}

BOOST_FIXTURE_TEST_CASE(WhoHasMissedChangesAsksForAllItems, Fixture) {
  fleet.store.Put("t/3", "three");
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  fleet.sent.clear();
  fleet.store.Put("t/4", "four");
  fleet.Propagate();
  BOOST_TEST((follower.items == Now()));
  BOOST_TEST((follower.feed.state() == FeedState::kNotified));
}

BOOST_FIXTURE_TEST_CASE(ALostAnswerIsAskedForAgainElsewhere, Fixture) {
  fleet.store.Put("t/3", "three");
  a.client.AnswerWait();
  fleet.Turn();
  fleet.sent.clear();
  PeerMessage heartbeat;
  heartbeat.from = a.self;
  heartbeat.marks[FeedName::kTargets] = {3, {}};
  follower.feed.OnPeer(heartbeat);
  BOOST_REQUIRE(fleet.sent.size() == 1U);
  const Incarnation first = fleet.sent.front().to;
  fleet.sent.clear();
  RunFor(fleet.loop, kRequestRepeated);
  BOOST_REQUIRE(fleet.sent.size() == 1U);
  BOOST_TEST((fleet.sent.front().to != first));
}

BOOST_FIXTURE_TEST_CASE(OldNewsTakeNothingBack, Fixture) {
  fleet.store.Put("t/1", "newer");
  const PeerMessage older = Update(2, 3);
  fleet.store.Remove("t/1");
  fleet.Propagate();
  BOOST_REQUIRE((follower.items == Now()));
  follower.feed.OnPeer(older);
  PeerMessage full = older;
  full.kind = PeerMessageKind::kState;
  full.update.since = 0;
  follower.feed.OnPeer(full);
  BOOST_TEST((follower.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(NewsThatCantBeChangeNothing, Fixture) {
  fleet.store.Put("t/3", "three");
  const FeedItems before = follower.items;
  PeerMessage not_from_reader = Update(2, 3);
  not_from_reader.from = Incarnation("told@1");
  PeerMessage backwards = Update(2, 3);
  backwards.update.since = 4;
  PeerMessage beyond = Update(2, 3);
  beyond.update.changes[0].item.revision = 9;
  PeerMessage negative = Update(2, 3);
  negative.update.since = -1;
  for (const PeerMessage& it : {not_from_reader, backwards, beyond, negative}) {
    follower.feed.OnPeer(it);
    BOOST_TEST((follower.items == before));
  }
  BOOST_TEST(!follower.feed.HasRead(3));
}

BOOST_FIXTURE_TEST_CASE(OfAnotherFeedNothingIsTaken, Fixture) {
  fleet.store.Put("t/3", "three");
  PeerMessage it = Update(2, 3);
  it.update.feed = FeedName::kConfig;
  follower.feed.OnPeer(it);
  BOOST_TEST(!follower.feed.HasRead(3));
}

BOOST_FIXTURE_TEST_CASE(WithoutSignsARouterAsksTheStore, Fixture) {
  a.client.cut = b.client.cut = true;
  PassTimeSilently(kStaleAfter);
  BOOST_TEST((follower.feed.state() == FeedState::kReading));
  fleet.store.Put("t/3", "three");
  fleet.Propagate();
  BOOST_TEST((follower.items == Now()));
}

// The other reader may be dead, frozen or cut off from this router.
BOOST_FIXTURE_TEST_CASE(OneReaderOfTwoIsEnough, Fixture) {
  for (int n = 0; n < 15; ++n) {
    fleet.clock.now += milliseconds(200);
    follower.feed.Check();
    fleet.sent.remove_if([&](const auto& it) { return it.to == a.self; });
    fleet.DeliverAll();
    fleet.Turn();
    fleet.sent.remove_if(
        [&](const auto& it) { return it.message.from == a.self; });
    fleet.DeliverAll();
    BOOST_TEST((follower.feed.state() == FeedState::kNotified));
  }
  BOOST_TEST((follower.feed.Age() < StateFeed::kFreshFor));
}

// Guards against a router that takes itself for current by messages that were
// seconds on their way, in a full link or before a slow process: their age
// doesn't include that time.
BOOST_FIXTURE_TEST_CASE(HeartbeatsThatComeLateShowNoRouterCurrent, Fixture) {
  constexpr int kSecondsLate = 3;
  std::deque<PeerMessage> on_the_way;
  for (int n = 0; n < 3 * kSecondsLate; ++n) {
    fleet.clock.now += milliseconds(1000);
    PeerMessage heartbeat;
    heartbeat.from = a.self;
    heartbeat.marks[FeedName::kTargets] = {2, {}};
    on_the_way.push_back(heartbeat);
    if (on_the_way.size() <= kSecondsLate) continue;
    follower.feed.OnPeer(on_the_way.front());
    on_the_way.pop_front();
    follower.feed.Check();
  }
  BOOST_TEST((follower.feed.state() == FeedState::kReading));
}

// A reader that has lost the store goes on sending heartbeats; their age shows
// the loss.
BOOST_FIXTURE_TEST_CASE(ReadersWithoutTheStoreHoldNobodyBack, Fixture) {
  a.client.cut = b.client.cut = true;
  for (int n = 0; n < 5; ++n) {
    PassTimeSilently(milliseconds(450));
    fleet.BroadcastHeartbeats();
  }
  BOOST_TEST((follower.feed.state() == FeedState::kReading));
  fleet.store.Put("t/3", "three");
  fleet.Propagate();
  BOOST_TEST((follower.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(AReaderWithoutTheStoreIsToldByOthersAndTellsItsHall,
                        Fixture) {
  FeedNode& far = fleet.Add("far", true, "other hall");
  FeedNode& far_follower = fleet.Add("far-told", false, "other hall");
  far.client.cut = far_follower.client.cut = true;
  far.feed.Start();
  far_follower.feed.Start();
  fleet.SetRoles();
  // It learns from the other readers' heartbeats that it is behind.
  fleet.BroadcastHeartbeats();
  RunFor(fleet.loop, kRequestRepeated);
  fleet.DeliverAll();
  BOOST_TEST((far.items == Now()));
  fleet.BroadcastHeartbeats();
  RunFor(fleet.loop, kRequestRepeated);
  fleet.DeliverAll();
  BOOST_TEST((far_follower.items == Now()));
  fleet.store.Put("t/3", "three");
  fleet.Propagate();
  BOOST_TEST((far.items == Now()));
  BOOST_TEST((far_follower.items == Now()));
}

// Guards against a reader that takes an open wait, which may be lost, for a
// sign that it is current: only the time at which an answered call was started
// shows that.
BOOST_AUTO_TEST_CASE(AnAnswerShowsAReaderCurrentAsOfItsCall) {
  FeedFleet fleet;
  FeedNode& reader = fleet.Add("reader", true);
  fleet.store.Put("t/1", "one");
  fleet.StartAll();
  fleet.clock.now += milliseconds(1200);
  BOOST_TEST((reader.feed.Age() >= milliseconds(1200)));
  fleet.store.Put("t/2", "two");
  fleet.Propagate();
  BOOST_TEST((reader.items == fleet.store.ItemsAt(fleet.store.revision())));
  BOOST_TEST((reader.feed.Age() >= milliseconds(1200)));
}

// A reader that is asked, and isn't current, asks the store before it answers;
// one call serves all who ask meanwhile.
BOOST_FIXTURE_TEST_CASE(AReaderThatIsAskedChecksWithTheStore, Fixture) {
  FeedNode& second = fleet.Add("told too", false);
  fleet.clock.now += milliseconds(1000);
  const auto calls = a.client.calls();
  for (FeedNode* it : {&follower, &second}) {
    PeerMessage request;
    request.kind = PeerMessageKind::kMarkRequest;
    request.from = it->self;
    request.update.feed = FeedName::kTargets;
    request.asked_ms = AskedMs(fleet.clock.now);
    a.feed.OnPeer(request);
  }
  fleet.Turn();
  fleet.DeliverAll();
  BOOST_TEST(a.client.calls() == calls + 1);
  BOOST_TEST((follower.feed.Age() == Duration::zero()));
}

// Of all readers the first one asks the store, so the calls don't grow with
// their number.
BOOST_FIXTURE_TEST_CASE(OneReaderAsksTheStoreForAll, Fixture) {
  const auto calls = b.client.calls();
  fleet.clock.now += milliseconds(1000);
  PeerMessage request;
  request.kind = PeerMessageKind::kMarkRequest;
  request.from = follower.self;
  request.update.feed = FeedName::kTargets;
  request.asked_ms = AskedMs(fleet.clock.now);
  b.feed.OnPeer(request);
  for (int n = 0; n < 3; ++n) {
    fleet.DeliverAll();
    fleet.Turn();
  }
  BOOST_TEST((follower.feed.Age() == Duration::zero()));
  BOOST_TEST(b.client.calls() == calls);
}

// The first reader may be frozen, or without the store.
BOOST_FIXTURE_TEST_CASE(AReaderWhoseQuestionIsUnansweredAsksTheStore, Fixture) {
  fleet.clock.now += milliseconds(1000);
  PeerMessage request;
  request.kind = PeerMessageKind::kMarkRequest;
  request.from = follower.self;
  request.update.feed = FeedName::kTargets;
  request.asked_ms = AskedMs(fleet.clock.now);
  b.feed.OnPeer(request);
  fleet.sent.clear();
  RunFor(fleet.loop, milliseconds(250));
  fleet.DeliverAll();
  BOOST_TEST((follower.feed.Age() == Duration::zero()));
}

// An answer counts from the time of its question, however late it comes, and
// one without such a time shows nothing.
BOOST_FIXTURE_TEST_CASE(AnAnswerCountsFromItsQuestion, Fixture) {
  PeerMessage answer;
  answer.kind = PeerMessageKind::kMark;
  answer.from = a.self;
  answer.update.feed = FeedName::kTargets;
  answer.update.revision = 2;
  answer.update.age = milliseconds(100);
  answer.asked_ms = AskedMs(fleet.clock.now);
  fleet.clock.now += milliseconds(3000);
  follower.feed.OnPeer(answer);
  BOOST_TEST((follower.feed.Age() >= milliseconds(3000)));
  answer.asked_ms = 0;
  follower.feed.OnPeer(answer);
  answer.asked_ms = AskedMs(fleet.clock.now + milliseconds(1000));
  follower.feed.OnPeer(answer);
  BOOST_TEST((follower.feed.Age() >= milliseconds(3000)));
}

// Two readers that have both lost the store ask each other all the time.
BOOST_FIXTURE_TEST_CASE(ReadersDontKeepEachOtherCurrent, Fixture) {
  constexpr Duration kTransitTime = milliseconds(60);
  a.client.cut = b.client.cut = true;
  const Instant lost_at = fleet.clock.now;
  for (int n = 0; n < 60; ++n) {
    for (FeedNode* it : {&a, &b}) {
      FeedNode& other = it == &a ? b : a;
      PeerMessage request;
      request.kind = PeerMessageKind::kMarkRequest;
      request.from = other.self;
      request.update.feed = FeedName::kTargets;
      request.asked_ms = AskedMs(fleet.clock.now);
      it->feed.OnPeer(request);
    }
    fleet.clock.now += kTransitTime;
    fleet.DeliverAll();
  }
  BOOST_TEST((a.feed.current_at() <= lost_at));
  BOOST_TEST((b.feed.current_at() <= lost_at));
  BOOST_TEST((a.feed.Mark()->age > milliseconds(3000)));
}

// Guards against a request that is repeated while its answer arrives: each copy
// of a large answer delays all of them on the link of the router.
BOOST_FIXTURE_TEST_CASE(AnAnswerThatIsArrivingIsNotRequestedAgain, Fixture) {
  fleet.store.Put("t/1", std::string(20'000, 'x'));
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  fleet.partial_bytes = 1000;
  while (!fleet.sent.empty() &&
         fleet.sent.front().message.kind == PeerMessageKind::kUpdate) {
    const FeedFleet::Sent it = fleet.sent.front();
    fleet.sent.pop_front();
    fleet.Deliver(it);
  }
  const auto requests = [&] {
    return std::count_if(
        fleet.sent.begin(), fleet.sent.end(), [&](const auto& it) {
          return it.message.kind == PeerMessageKind::kStateRequest &&
                 it.message.from == follower.self;
        });
  };
  BOOST_TEST(requests() == 1);
  for (int n = 0; n < 4; ++n) {
    fleet.partial_bytes += 1000;
    RunFor(fleet.loop, milliseconds(200));
  }
  BOOST_TEST(requests() == 1);
  // Nothing more arrives, so another reader is asked.
  RunFor(fleet.loop, kRequestRepeated);
  BOOST_TEST(requests() == 2);
}

// A list is read in two pages: an item of the second is newer than a change to
// the first that was missed.
BOOST_AUTO_TEST_CASE(AnItemOfALaterPageIsNoProofOfEarlierChanges) {
  Loop loop;
  FeedClock clock;
  ScriptedStore store;
  const Incarnation reader("reader@1");
  StateFeed::Handlers on;
  on.replaced = [](const std::vector<StoreItem>&) {};
  on.changed = [](const StoreChange&) {};
  on.settled = [] {};
  on.reachable = [](bool) {};
  FeedLinks links;
  links.is_reader = [&](const Incarnation& it) { return it == reader; };
  links.readers = [&] { return std::vector<Incarnation>{reader}; };
  links.send = [](const Incarnation&, const PeerMessage&) {};
  StateFeed feed({loop, clock, store, TheFeedChart()},
                 {FeedName::kTargets, {.prefix = "t/"}}, on, links);
  feed.Start();
  BOOST_TEST(store.AnswerRange(
      "t/", {StoreEnd::kDone, 100, {{"t/1", "", 90}, {"t/9", "", 105}}}));
  PeerMessage heartbeat;
  heartbeat.from = reader;
  heartbeat.marks[FeedName::kTargets] = {105, {}};
  feed.OnPeer(heartbeat);
  BOOST_TEST((feed.state() == FeedState::kReading));
}

BOOST_FIXTURE_TEST_CASE(AReadersReturnEndsARoutersOwnCalls, Fixture) {
  PassTimeSilently(kStaleAfter);
  BOOST_REQUIRE((follower.feed.state() == FeedState::kReading));
  fleet.store.Put("t/3", "three");
  fleet.Propagate();
  fleet.BroadcastHeartbeats();
  BOOST_TEST((follower.feed.state() == FeedState::kNotified));
  BOOST_TEST(!follower.client.waits());
}

// Targets that vanish around an outage are kept for a while, so a router that
// relies on readers has to learn of the outage before the removals made during
// it.
BOOST_FIXTURE_TEST_CASE(AnOutageIsReportedBeforeWhatItRemoved, Fixture) {
  for (auto& it : fleet.nodes) it->client.cut = true;
  PassTimeSilently(kStaleAfter);
  BOOST_TEST((follower.reachable == std::vector<bool>{false}));
  fleet.store.Remove("t/1");
  for (auto& it : fleet.nodes) it->client.cut = false;
  follower.client.cut = true;
  fleet.Propagate();
  BOOST_TEST((follower.reachable == std::vector<bool>{false, true}));
  BOOST_TEST((follower.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(LargeChangesAreAskedForOnce, Fixture) {
  fleet.store.Put("t/1", std::string(20'000, 'x'));
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  std::size_t values = 0;
  for (const auto& it : fleet.sent) {
    for (const auto& change : it.message.update.changes) {
      values += change.item.value.size();
    }
  }
  BOOST_TEST(values == 0U);
  fleet.DeliverAll();
  BOOST_TEST((follower.items == Now()));
}

// During a release, each router that sent a request would be sent a large
// answer.
BOOST_FIXTURE_TEST_CASE(ManySmallChangesOfALongListAreSentUnasked, Fixture) {
  const std::string entry(300, 'x');
  for (int n = 0; n < 500; ++n) {
    fleet.store.Put("t/n" + std::to_string(n), entry);
  }
  fleet.Propagate();
  BOOST_REQUIRE((follower.items == Now()));
  for (int n = 0; n < 50; ++n) {
    fleet.store.Put("t/n" + std::to_string(n), entry + "y");
  }
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  for (const auto& it : fleet.sent) {
    BOOST_TEST(!it.message.update.only_notice);
  }
  fleet.DeliverAll();
  BOOST_TEST((follower.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(ARouterBecomesAReaderAndTellsTheNext, Fixture) {
  a.is_reader = b.is_reader = false;
  follower.is_reader = true;
  fleet.SetRoles();
  fleet.Turn();
  BOOST_TEST(follower.feed.Mark().has_value());
  fleet.BroadcastHeartbeats();
  BOOST_TEST((a.feed.state() == FeedState::kNotified));
  fleet.store.Put("t/3", "three");
  fleet.Propagate();
  BOOST_TEST((a.items == Now()));
  BOOST_TEST((b.items == Now()));
}

}  // namespace
}  // namespace quaytrack
