// How routers of a large fleet are told what the store has, and when they ask
// it themselves.

#include "relay/state_feed.h"

#include <boost/test/unit_test.hpp>

#include "kv/testing/scripted_store.h"
#include "relay/testing/feed_fleet.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Beyond the longest time that a router does without a sign.
constexpr Duration kStaleAfter = milliseconds(1900);
// Beyond the time after which a reader is asked again.
constexpr Duration kAskedAgain = milliseconds(450);

// Beyond the time that a router which starts waits for readers.
constexpr Duration kReadItself = milliseconds(3200);

// Two readers, a and b, and a router that is told.
struct Fixture {
  Fixture()
      : a(fleet.Add("a", true)),
        b(fleet.Add("b", true)),
        told(fleet.Add("told", false)) {
    fleet.store.Put("t/1", "one");
    fleet.store.Put("t/2", "two");
    fleet.StartAll();
    fleet.BroadcastSigns();
  }

  FeedItems Now() const { return fleet.store.ItemsAt(fleet.store.revision()); }
  PeerMessage News(std::int64_t since, std::int64_t revision) const {
    PeerMessage out;
    out.kind = PeerMessageKind::kNews;
    out.from = a.self;
    out.news.feed = FeedName::kTargets;
    out.news.since = since;
    out.news.revision = revision;
    out.news.changes = fleet.store.Changes(since, revision);
    return out;
  }
  static PeerMessage Sign(const FeedNode& node) {
    PeerMessage out;
    out.from = node.self;
    out.marks[FeedName::kTargets] = *node.feed.Mark();
    return out;
  }
  // Time without any sign.
  void Silence(Duration time) {
    fleet.clock.now += time;
    for (auto& it : fleet.nodes) it->feed.Check();
    fleet.Turn();
  }

  FeedFleet fleet;
  FeedNode& a;
  FeedNode& b;
  FeedNode& told;
};

// A router that starts among readers makes no call of its own.
BOOST_FIXTURE_TEST_CASE(ARouterThatStartsIsSentAllItemsByAReader, Fixture) {
  FeedNode& late = fleet.Add("late", false);
  late.feed.StartFromReaders();
  fleet.BroadcastSigns();
  RunFor(fleet.loop, kAskedAgain);
  fleet.DeliverAll();
  BOOST_TEST((late.items == Now()));
  BOOST_TEST(late.client.calls() == 0U);
  fleet.BroadcastSigns();
  BOOST_TEST((late.feed.state() == FeedState::kTold));
  RunFor(fleet.loop, kReadItself);
  BOOST_TEST(late.client.calls() == 0U);
}

BOOST_AUTO_TEST_CASE(ARouterThatNoReaderAnswersAsksTheStore) {
  FeedFleet fleet;
  FeedNode& late = fleet.Add("late", false);
  fleet.store.Put("t/1", "one");
  late.feed.StartFromReaders();
  RunFor(fleet.loop, kReadItself);
  BOOST_TEST((late.items == fleet.store.ItemsAt(fleet.store.revision())));
}

// Each answer to a reader is told on, to the feeds beside it.
BOOST_AUTO_TEST_CASE(AnAnswerOfTheStoreIsToldToOtherFeeds) {
  FeedFleet fleet;
  FeedNode& it = fleet.Add("vm", true);
  fleet.store.Put("t/1", "one");
  fleet.StartAll();
  const int before = it.answers;
  BOOST_TEST(before > 0);
  fleet.store.Put("t/2", "two");
  fleet.Spread();
  BOOST_TEST(it.answers == before + 1);
}

// A reader whose store answers nobody else waits as briefly as it must: an
// answer of its own says nothing of how often it will be answered.
BOOST_AUTO_TEST_CASE(TheOwnAnswersDontLengthenAReadersWaits) {
  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  std::vector<StateFeed*> feeds;
  FeedLinks links;
  links.is_reader = [](const Incarnation&) { return true; };
  links.tell = [](const PeerMessage&) {};
  links.store_answered = [&](const StateFeed& it) {
    TellOthersOfAnswer(feeds, it);
  };
  StateFeed::Handlers on;
  on.replaced = [](const std::vector<StoreItem>&) {};
  on.changed = [](const StoreChange&) {};
  on.settled = [] {};
  on.reachable = [](bool) {};
  StateFeed feed({loop, clock, store, TheFeedChart()},
                 {FeedName::kTargets, {.prefix = "t/"}}, on, links);
  feeds.push_back(&feed);
  feed.Start();
  feed.SetRole(true, 1);
  BOOST_REQUIRE(store.AnswerRange("t/", {StoreEnd::kDone, 1, {}}));
  BOOST_REQUIRE(store.AnswerWait("t/", {StoreEnd::kDone, false, 1, {}}));
  BOOST_TEST((store.last_patience.at("t/") <= milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(WithoutReadersARouterFollowsTheStoreItself) {
  FeedFleet fleet;
  FeedNode& it = fleet.Add("vm", false);
  fleet.store.Put("t/1", "one");
  fleet.StartAll();
  fleet.clock.now += kStaleAfter;
  it.feed.Check();
  fleet.store.Put("t/2", "two");
  fleet.Spread();
  BOOST_TEST((it.feed.state() == FeedState::kReading));
  BOOST_TEST(it.items.size() == 2U);
  BOOST_TEST(!it.feed.Mark().has_value());
  BOOST_TEST(it.reachable.empty());
}

BOOST_FIXTURE_TEST_CASE(ASignOfACurrentReaderEndsARoutersOwnCalls, Fixture) {
  BOOST_TEST((told.feed.state() == FeedState::kTold));
  BOOST_TEST(!told.client.waits());
  BOOST_TEST(a.client.waits());
  BOOST_TEST((told.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(ChangesReachThoseThatAreTold, Fixture) {
  const auto calls = told.client.calls();
  fleet.store.Put("t/3", "three");
  fleet.store.Remove("t/1");
  fleet.Spread();
  BOOST_TEST((told.items == Now()));
  BOOST_TEST(told.client.calls() == calls);
}

BOOST_FIXTURE_TEST_CASE(WhoHasMissedChangesAsksForAllItems, Fixture) {
  fleet.store.Put("t/3", "three");
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  fleet.sent.clear();
  fleet.store.Put("t/4", "four");
  fleet.Spread();
  BOOST_TEST((told.items == Now()));
  BOOST_TEST((told.feed.state() == FeedState::kTold));
}

BOOST_FIXTURE_TEST_CASE(ALostAnswerIsAskedForAgainElsewhere, Fixture) {
  fleet.store.Put("t/3", "three");
  a.client.AnswerWait();
  fleet.Turn();
  fleet.sent.clear();
  PeerMessage sign;
  sign.from = a.self;
  sign.marks[FeedName::kTargets] = {3, {}};
  told.feed.OnPeer(sign);
  BOOST_REQUIRE(fleet.sent.size() == 1U);
  const Incarnation first = fleet.sent.front().to;
  fleet.sent.clear();
  RunFor(fleet.loop, kAskedAgain);
  BOOST_REQUIRE(fleet.sent.size() == 1U);
  BOOST_TEST((fleet.sent.front().to != first));
}

BOOST_FIXTURE_TEST_CASE(OldNewsTakeNothingBack, Fixture) {
  fleet.store.Put("t/1", "newer");
  const PeerMessage older = News(2, 3);
  fleet.store.Remove("t/1");
  fleet.Spread();
  BOOST_REQUIRE((told.items == Now()));
  told.feed.OnPeer(older);
  PeerMessage whole = older;
  whole.kind = PeerMessageKind::kState;
  whole.news.since = 0;
  told.feed.OnPeer(whole);
  BOOST_TEST((told.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(NewsThatCantBeChangeNothing, Fixture) {
  fleet.store.Put("t/3", "three");
  const FeedItems before = told.items;
  PeerMessage stranger = News(2, 3);
  stranger.from = Incarnation("told@1");
  PeerMessage backwards = News(2, 3);
  backwards.news.since = 4;
  PeerMessage beyond = News(2, 3);
  beyond.news.changes[0].item.revision = 9;
  PeerMessage negative = News(2, 3);
  negative.news.since = -1;
  for (const PeerMessage& it : {stranger, backwards, beyond, negative}) {
    told.feed.OnPeer(it);
    BOOST_TEST((told.items == before));
  }
  BOOST_TEST(!told.feed.HasRead(3));
}

BOOST_FIXTURE_TEST_CASE(OfAnotherFeedNothingIsTaken, Fixture) {
  fleet.store.Put("t/3", "three");
  PeerMessage it = News(2, 3);
  it.news.feed = FeedName::kConfig;
  told.feed.OnPeer(it);
  BOOST_TEST(!told.feed.HasRead(3));
}

BOOST_FIXTURE_TEST_CASE(WithoutSignsARouterAsksTheStore, Fixture) {
  a.client.cut = b.client.cut = true;
  Silence(kStaleAfter);
  BOOST_TEST((told.feed.state() == FeedState::kReading));
  fleet.store.Put("t/3", "three");
  fleet.Spread();
  BOOST_TEST((told.items == Now()));
}

// Dead, frozen or cut off from this router: one of two is enough.
BOOST_FIXTURE_TEST_CASE(OneReaderOfTwoIsEnough, Fixture) {
  fleet.nodes[0]->is_reader = true;
  for (int n = 0; n < 5; ++n) {
    fleet.clock.now += milliseconds(900);
    PeerMessage sign;
    sign.from = b.self;
    sign.marks[FeedName::kTargets] = {2, {}};
    told.feed.OnPeer(sign);
    told.feed.Check();
    BOOST_TEST((told.feed.state() == FeedState::kTold));
  }
}

// A reader that lives and has lost the store goes on sending signs of life; the
// age in them tells.
BOOST_FIXTURE_TEST_CASE(ReadersWithoutTheStoreHoldNobodyBack, Fixture) {
  a.client.cut = b.client.cut = true;
  for (int n = 0; n < 5; ++n) {
    Silence(milliseconds(450));
    fleet.BroadcastSigns();
  }
  BOOST_TEST((told.feed.state() == FeedState::kReading));
  fleet.store.Put("t/3", "three");
  fleet.Spread();
  BOOST_TEST((told.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(AReaderWithoutTheStoreIsToldByOthersAndTellsItsHall,
                        Fixture) {
  FeedNode& far = fleet.Add("far", true, "other hall");
  FeedNode& far_told = fleet.Add("far-told", false, "other hall");
  far.client.cut = far_told.client.cut = true;
  far.feed.Start();
  far_told.feed.Start();
  fleet.SetRoles();
  // It learns from the others' signs that there is something.
  fleet.BroadcastSigns();
  RunFor(fleet.loop, kAskedAgain);
  fleet.DeliverAll();
  BOOST_TEST((far.items == Now()));
  fleet.BroadcastSigns();
  RunFor(fleet.loop, kAskedAgain);
  fleet.DeliverAll();
  BOOST_TEST((far_told.items == Now()));
  fleet.store.Put("t/3", "three");
  fleet.Spread();
  BOOST_TEST((far.items == Now()));
  BOOST_TEST((far_told.items == Now()));
}

// Holders call the store for the budgets; each answer is a sign that a change
// would have been told.
BOOST_FIXTURE_TEST_CASE(AnyAnswerShowsAReaderThatItIsCurrent, Fixture) {
  fleet.clock.now += milliseconds(1200);
  BOOST_TEST((a.feed.Mark()->age >= milliseconds(1200)));
  a.feed.OnStoreAnswered();
  BOOST_TEST((a.feed.Mark()->age == Duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(WithoutAWaitOtherAnswersShowNothing, Fixture) {
  FeedNode& late = fleet.Add("late", true);
  late.client.cut = true;
  late.feed.Start();
  fleet.SetRoles();
  fleet.clock.now += milliseconds(1200);
  late.feed.OnStoreAnswered();
  BOOST_TEST((late.feed.Age() >= milliseconds(1200)));
  BOOST_TEST(!late.feed.Mark().has_value());
}

// Two readers that both have lost the store tell each other all the time.
BOOST_FIXTURE_TEST_CASE(ReadersDontKeepEachOtherCurrent, Fixture) {
  constexpr Duration kTakesOnTheWay = milliseconds(60);
  a.client.cut = b.client.cut = true;
  for (int n = 0; n < 60; ++n) {
    const PeerMessage from_a = Sign(a);
    const PeerMessage from_b = Sign(b);
    fleet.clock.now += kTakesOnTheWay;
    a.feed.OnPeer(from_b);
    b.feed.OnPeer(from_a);
  }
  BOOST_TEST((a.feed.Mark()->age > milliseconds(3000)));
}

// A list read in two pages: one item of the second is newer than a change of
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
  PeerMessage sign;
  sign.from = reader;
  sign.marks[FeedName::kTargets] = {105, {}};
  feed.OnPeer(sign);
  BOOST_TEST((feed.state() == FeedState::kReading));
}

BOOST_FIXTURE_TEST_CASE(AReadersReturnEndsARoutersOwnCalls, Fixture) {
  Silence(kStaleAfter);
  BOOST_REQUIRE((told.feed.state() == FeedState::kReading));
  fleet.store.Put("t/3", "three");
  fleet.Spread();
  fleet.BroadcastSigns();
  BOOST_TEST((told.feed.state() == FeedState::kTold));
  BOOST_TEST(!told.client.waits());
}

// What vanishes around an outage is kept for a while, so a router that is told
// has to learn of an outage too, before what it removed.
BOOST_FIXTURE_TEST_CASE(AnOutageIsReportedBeforeWhatItRemoved, Fixture) {
  for (auto& it : fleet.nodes) it->client.cut = true;
  Silence(kStaleAfter);
  BOOST_TEST((told.reachable == std::vector<bool>{false}));
  fleet.store.Remove("t/1");
  for (auto& it : fleet.nodes) it->client.cut = false;
  told.client.cut = true;
  fleet.Spread();
  BOOST_TEST((told.reachable == std::vector<bool>{false, true}));
  BOOST_TEST((told.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(LargeChangesAreAskedForOnce, Fixture) {
  fleet.store.Put("t/1", std::string(20'000, 'x'));
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  std::size_t values = 0;
  for (const auto& it : fleet.sent) {
    for (const auto& change : it.message.news.changes) {
      values += change.item.value.size();
    }
  }
  BOOST_TEST(values == 0U);
  fleet.DeliverAll();
  BOOST_TEST((told.items == Now()));
}

// A release in a large list: whoever asked would be sent all of it.
BOOST_FIXTURE_TEST_CASE(ManySmallChangesOfALongListAreSentUnasked, Fixture) {
  const std::string entry(300, 'x');
  for (int n = 0; n < 500; ++n) {
    fleet.store.Put("t/n" + std::to_string(n), entry);
  }
  fleet.Spread();
  BOOST_REQUIRE((told.items == Now()));
  for (int n = 0; n < 50; ++n) {
    fleet.store.Put("t/n" + std::to_string(n), entry + "y");
  }
  a.client.AnswerWait();
  b.client.AnswerWait();
  fleet.Turn();
  for (const auto& it : fleet.sent) {
    BOOST_TEST(!it.message.news.only_notice);
  }
  fleet.DeliverAll();
  BOOST_TEST((told.items == Now()));
}

BOOST_FIXTURE_TEST_CASE(ARouterBecomesAReaderAndTellsTheNext, Fixture) {
  a.is_reader = b.is_reader = false;
  told.is_reader = true;
  fleet.SetRoles();
  fleet.Turn();
  BOOST_TEST(told.feed.Mark().has_value());
  fleet.BroadcastSigns();
  BOOST_TEST((a.feed.state() == FeedState::kTold));
  fleet.store.Put("t/3", "three");
  fleet.Spread();
  BOOST_TEST((a.items == Now()));
  BOOST_TEST((b.items == Now()));
}

}  // namespace
}  // namespace quaytrack
