// The list of targets as the router follows it: which entries are kept through
// an outage of the store, and when the store is called again.

#include "relay/target_follower.h"

#include <boost/test/unit_test.hpp>

#include "kv/testing/scripted_store.h"
#include "relay/testing/plain_state_reader.h"
#include "relay/testing/the_feed_chart.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// A target that vanishes around an outage is kept for more than the first and
// less than the sum of both.
constexpr Duration kKeptFor = milliseconds(1400);
constexpr Duration kGoneAfter = milliseconds(600);
// Longer than the open wait is given before the store is called again.
constexpr Duration kCalledAgainBy = milliseconds(450);
// Longer than the pause after an answer with changes.
constexpr Duration kNextWait = milliseconds(500);

void PeerKnows(TargetFollower& follower, std::int64_t revision) {
  PeerMessage it;
  it.targets_revision = revision;
  follower.OnPeer(it);
}

struct Fixture {
  Fixture()
      : follower({loop, clock, store, TheFeedChart()}, reader,
                 {[this] { ++changes; }, [](bool) {}}) {
    follower.Start(0);
    BOOST_TEST(store.AnswerRange(
        "t/",
        {StoreEnd::kDone, 2, {{"t/a", "ready", 1}, {"t/b", "ready", 2}}}));
  }

  void StoreShows(const std::string& key, const std::string& value,
                  std::int64_t revision) {
    BOOST_TEST(store.AnswerWait(
        "t/",
        {StoreEnd::kDone, false, revision, {{{key, value, revision}, false}}}));
  }
  void StoreRemoves(const std::string& key, std::int64_t revision) {
    BOOST_TEST(store.AnswerWait(
        "t/",
        {StoreEnd::kDone, false, revision, {{{key, "", revision}, true}}}));
  }
  bool Listed(const char* name) const {
    return follower.registry().entries().contains(TargetName(name));
  }
  bool Leaving(const char* name) const {
    return follower.registry().entries().at(TargetName(name)).leaving;
  }

  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  PlainStateReader reader;
  int changes = 0;
  TargetFollower follower;
};

BOOST_FIXTURE_TEST_CASE(TheListIsReadAndFollowed, Fixture) {
  BOOST_TEST(Listed("a"));
  BOOST_TEST(changes == 1);
  StoreRemoves("t/a", 3);
  BOOST_TEST(!Listed("a"));
  BOOST_TEST(changes == 2);
  RunFor(loop, kNextWait);
  StoreShows("t/c", "ready", 4);
  BOOST_TEST(Listed("c"));
  BOOST_TEST(changes == 3);
}

// The entry may come from another program: its target is no longer listed, and
// the others stay.
BOOST_FIXTURE_TEST_CASE(AnEntryThatCantBeReadNamesNoTarget, Fixture) {
  StoreShows("t/a", "unheard of", 3);
  BOOST_TEST(!Listed("a"));
  BOOST_TEST(Listed("b"));
  BOOST_TEST(!Leaving("b"));
  RunFor(loop, kNextWait);
  StoreShows("t/a", "ready", 4);
  BOOST_TEST(Listed("a"));
  BOOST_TEST(!Leaving("a"));
  RunFor(loop, kNextWait);
  StoreShows("t/a", "unexplained", 5);
  BOOST_TEST(!Listed("a"));
  BOOST_TEST(Listed("b"));
}

BOOST_FIXTURE_TEST_CASE(ATargetThatLeftStaysLeavingWhenItIsListedAgain,
                        Fixture) {
  StoreShows("t/a", "leaving", 3);
  BOOST_TEST(Leaving("a"));
  RunFor(loop, kNextWait);
  StoreRemoves("t/a", 4);
  BOOST_TEST(!Listed("a"));
  RunFor(loop, kNextWait);
  StoreShows("t/a", "ready", 5);
  BOOST_TEST(Leaving("a"));
}

BOOST_FIXTURE_TEST_CASE(ATargetThatVanishesAroundAnOutageIsKeptForAWhile,
                        Fixture) {
  follower.OnStoreReachable(false);
  StoreRemoves("t/a", 3);
  BOOST_TEST(Listed("a"));
  RunFor(loop, kKeptFor);
  BOOST_TEST(Listed("a"));
  const int before = changes;
  RunFor(loop, kGoneAfter);
  BOOST_TEST(!Listed("a"));
  BOOST_TEST(Listed("b"));
  BOOST_TEST(changes == before + 1);
}

BOOST_FIXTURE_TEST_CASE(ATargetThatIsListedAgainServesOn, Fixture) {
  follower.OnStoreReachable(false);
  StoreRemoves("t/a", 3);
  RunFor(loop, kNextWait);
  StoreShows("t/a", "ready", 4);
  RunFor(loop, kKeptFor + kGoneAfter);
  BOOST_TEST(Listed("a"));
  BOOST_TEST(!Leaving("a"));
}

// Guards against a target that left being kept longer because each client of
// the store reports its return.
BOOST_FIXTURE_TEST_CASE(FurtherSignsOfTheStoresReturnKeepNothingLonger,
                        Fixture) {
  follower.OnStoreReachable(false);
  follower.OnStoreReachable(true);
  StoreRemoves("t/a", 3);
  RunFor(loop, kKeptFor / 2);
  follower.OnStoreReachable(true);
  RunFor(loop, kKeptFor / 2);
  follower.OnStoreReachable(true);
  RunFor(loop, kGoneAfter);
  BOOST_TEST(!Listed("a"));
  // The period that the first report started is over for later targets too.
  StoreRemoves("t/b", 4);
  BOOST_TEST(!Listed("b"));
}

// Guards against work for a target that has gone, as its entry went some time
// after the store's return and was then kept for as long as one that lapsed in
// the outage.
BOOST_FIXTURE_TEST_CASE(AnEntryThatGoesAfterTheStoresReturnIsKeptNoLonger,
                        Fixture) {
  follower.OnStoreReachable(false);
  follower.OnStoreReachable(true);
  RunFor(loop, kKeptFor / 2);
  StoreRemoves("t/a", 3);
  BOOST_TEST(Listed("a"));
  const int before = changes;
  RunFor(loop, kKeptFor / 2 + kGoneAfter);
  BOOST_TEST(!Listed("a"));
  BOOST_TEST(changes == before + 1);
}

BOOST_FIXTURE_TEST_CASE(AnOutageThatComesBackKeepsOn, Fixture) {
  follower.OnStoreReachable(false);
  follower.OnStoreReachable(true);
  RunFor(loop, kKeptFor);
  follower.OnStoreReachable(false);
  RunFor(loop, kGoneAfter);
  StoreRemoves("t/a", 3);
  BOOST_TEST(Listed("a"));
}

BOOST_FIXTURE_TEST_CASE(AStoreThatIsBackIsAskedAgain, Fixture) {
  BOOST_TEST(store.waits.started_by_key["t/"] == 1);
  follower.OnStoreReachable(false);
  BOOST_TEST(store.waits.started_by_key["t/"] == 1);
  follower.OnStoreReachable(true);
  BOOST_TEST(store.waits.started_by_key["t/"] == 2);
}

BOOST_FIXTURE_TEST_CASE(AChangeThatPeersHaveReadIsAskedForAgain, Fixture) {
  PeerKnows(follower, 3);
  RunFor(loop, milliseconds(100));
  // The open wait comes first.
  BOOST_TEST(store.waits.started_by_key["t/"] == 1);
  RunFor(loop, kCalledAgainBy);
  BOOST_TEST(store.waits.started_by_key["t/"] == 2);
}

BOOST_FIXTURE_TEST_CASE(AChangeThatHasBeenReadIsNotAskedForAgain, Fixture) {
  PeerKnows(follower, 2);
  RunFor(loop, kCalledAgainBy);
  BOOST_TEST(store.waits.started_by_key["t/"] == 1);
  // The open wait reports the change in time; the next wait is the usual one.
  PeerKnows(follower, 3);
  StoreShows("t/c", "ready", 3);
  RunFor(loop, kNextWait);
  BOOST_TEST(store.waits.started_by_key["t/"] == 2);
}

// Routers without the store rely on answers of targets and on peers.
BOOST_FIXTURE_TEST_CASE(ATargetLeavesByItsAnswerOrAPeersWord, Fixture) {
  const int before = changes;
  BOOST_TEST(follower.OnLeavingNotice(
      follower.registry().entries().at(TargetName("a"))));
  BOOST_TEST(Leaving("a"));
  BOOST_TEST(!Leaving("b"));
  PeerMessage message;
  message.leaving = follower.registry().announced_leaving();
  message.leaving[TargetName("b")] = {};
  message.leaving[TargetName("unknown")] = {};
  follower.OnPeer(message);
  BOOST_TEST(Leaving("b"));
  BOOST_TEST(!Listed("unknown"));
  BOOST_TEST(changes == before + 2);
  follower.OnPeer(message);
  BOOST_TEST(changes == before + 2);
}

// Guards against new work for a target that had left, or was leaving, when the
// store came back from a copy in which it was ready.
BOOST_FIXTURE_TEST_CASE(AnOlderCopyBringsNoTargetBack, Fixture) {
  StoreShows("t/a", "leaving", 3);
  RunFor(loop, kNextWait);
  StoreRemoves("t/b", 4);
  RunFor(loop, kNextWait);
  BOOST_TEST(store.AnswerWait("t/", {StoreEnd::kDone, false, {2, 4}, {}}));
  BOOST_TEST(store.AnswerRange(
      "t/", {StoreEnd::kDone,
             {2, 2},
             {{"t/a", "ready", {2, 1}}, {"t/b", "ready", {2, 2}}}}));
  BOOST_TEST(Leaving("a"));
  BOOST_TEST(!Listed("b"));
  // The same after another read.
  follower.feed().ReadUpTo({3, 0});
  BOOST_TEST(store.AnswerRange(
      "t/", {StoreEnd::kDone,
             {2, 2},
             {{"t/a", "ready", {2, 1}}, {"t/b", "ready", {2, 2}}}}));
  BOOST_TEST(!Listed("b"));
  // Peers are notified, as they may have read nothing but the copy.
  BOOST_TEST(follower.registry().announced_leaving().contains(TargetName("a")));
  // The target is alive, and writes its entry again.
  BOOST_TEST(store.AnswerWait(
      "t/",
      {StoreEnd::kDone, false, {2, 3}, {{{"t/b", "ready", {2, 3}}, false}}}));
  BOOST_TEST(Listed("b"));
}

// Guards against dropping a target because the copy doesn't have its entry yet.
BOOST_FIXTURE_TEST_CASE(ATargetThatAnOlderCopyLacksIsKeptForAWhile, Fixture) {
  BOOST_TEST(store.AnswerWait("t/", {StoreEnd::kDone, false, {2, 1}, {}}));
  BOOST_TEST(store.AnswerRange(
      "t/", {StoreEnd::kDone, {2, 1}, {{"t/a", "ready", {2, 1}}}}));
  BOOST_TEST(Listed("b"));
  RunFor(loop, kKeptFor);
  BOOST_TEST(Listed("b"));
  RunFor(loop, kGoneAfter);
  BOOST_TEST(!Listed("b"));
}

// --- Currency ----------------------------------------------------------------

// Longer than `AwaitCurrent` waits.
constexpr Duration kUnanswered = milliseconds(500);

struct CurrencyFixture : Fixture {
  void Await(Instant at) {
    follower.AwaitCurrent(at, [this](bool it) { answers.push_back(it); });
  }
  void PeerMark(std::int64_t revision, Instant asked_at) {
    PeerMessage it;
    it.kind = PeerMessageKind::kMark;
    it.from = Incarnation("vm-2@1");
    it.update.feed = FeedName::kTargets;
    it.update.revision = revision;
    it.asked_ms = AskedMs(asked_at);
    follower.OnPeer(it);
  }
  std::vector<bool> answers;
};

// Guards against a decision by a list that was read before the question.
BOOST_FIXTURE_TEST_CASE(TheListIsCurrentAsOfAnAnsweredCall, CurrencyFixture) {
  RunFor(loop, milliseconds(20));
  const Instant now = clock.Now();
  BOOST_TEST(!follower.IsCurrentAt(now));
  RunFor(loop, milliseconds(20));
  Await(now);
  // The wait that was open before says nothing of `now`, the question does.
  BOOST_TEST(store.AnswerWait("t/", {StoreEnd::kDone, false, 2, {}}));
  BOOST_TEST(!follower.IsCurrentAt(now));
  BOOST_TEST(store.AnswerWait("t/", {StoreEnd::kDone, false, 2, {}}));
  RunFor(loop, milliseconds(20));
  BOOST_TEST((answers == std::vector<bool>{true}));
  BOOST_TEST(follower.IsCurrentAt(now));
}

BOOST_FIXTURE_TEST_CASE(WithoutAnAnswerTheListIsNotCurrent, CurrencyFixture) {
  Await(clock.Now());
  RunFor(loop, kUnanswered);
  BOOST_TEST((answers == std::vector<bool>{false}));
}

// While the store doesn't answer, a peer that knows no later change shows the
// list current, and one that does doesn't.
BOOST_FIXTURE_TEST_CASE(APeerWithoutLaterChangesShowsItCurrent,
                        CurrencyFixture) {
  RunFor(loop, milliseconds(20));
  const Instant asked_at = clock.Now();
  // A mark names the time of its question in milliseconds.
  Await(asked_at - milliseconds(1));
  PeerMark(3, asked_at);
  BOOST_TEST(answers.empty());
  PeerMark(2, asked_at);
  BOOST_TEST((answers == std::vector<bool>{true}));
}

// Guards against a decision by the list of a router that is cut off from the
// store and from its peers, or that they know to be behind.
BOOST_FIXTURE_TEST_CASE(OnlyPeersThatWereHeardLatelyAgree, CurrencyFixture) {
  BOOST_TEST(!follower.AgreesWithPeers());
  PeerKnows(follower, 2);
  BOOST_TEST(follower.AgreesWithPeers());
  PeerKnows(follower, 3);
  PeerKnows(follower, 2);
  BOOST_TEST(!follower.AgreesWithPeers());
  RunFor(loop, kCalledAgainBy);
  StoreShows("t/c", "ready", 3);
  BOOST_TEST(follower.AgreesWithPeers());
  RunFor(loop, milliseconds(2600));
  BOOST_TEST(!follower.AgreesWithPeers());
}

// Guards against a version that came and went while this router was away.
BOOST_FIXTURE_TEST_CASE(ATargetThatWasNeverSeenShowsAGap, Fixture) {
  const Instant before = follower.complete_since();
  StoreShows("t/c", "ready", 3);
  RunFor(loop, kNextWait);
  StoreRemoves("t/c", 4);
  BOOST_TEST((follower.complete_since() == before));
  RunFor(loop, kNextWait);
  StoreRemoves("t/d", 6);
  BOOST_TEST((follower.complete_since() > before));
}

}  // namespace
}  // namespace quaytrack
