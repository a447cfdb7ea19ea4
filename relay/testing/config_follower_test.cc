// Which configuration is adopted from the store and from peers, and when a
// request goes to a peer.

#include "relay/config_follower.h"

#include <boost/test/unit_test.hpp>

#include "kv/testing/scripted_store.h"
#include "relay/testing/plain_state_reader.h"
#include "relay/testing/the_feed_chart.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const Incarnation kPeer{"vm-2@1"};
// Longer than the router's own wait is given before a request goes to a peer.
constexpr Duration kRequestSentBy = milliseconds(450);

struct Fixture {
  Fixture()
      : follower({loop, clock, store, TheFeedChart()}, reader,
                 {[this] {
                    ++adoptions;
                    if (adopted) adopted();
                  },
                  [this](const Incarnation& to, const PeerMessage& it) {
                    BOOST_TEST((to == kPeer));
                    sent.push_back(it);
                  },
                  [](bool) {}}) {
    follower.Start();
  }

  static StoreItem Item(const std::string& value) {
    return {"c/config", value, 1};
  }
  void StoreHas(const std::string& value) {
    BOOST_TEST(store.AnswerRange("c/", {StoreEnd::kDone, 1, {Item(value)}}));
  }
  // Answers the wait with several changes.
  void StoreShows(const std::vector<std::string>& values) {
    StoreChanges out;
    out.end = StoreEnd::kDone;
    for (const std::string& it : values) {
      out.changes.push_back({Item(it), false});
    }
    BOOST_TEST(store.AnswerWait("c/", out));
  }
  void PeerSends(const std::string& value) {
    PeerMessage it;
    it.kind = PeerMessageKind::kConfig;
    it.from = kPeer;
    it.item_key = "c/config";
    it.item_value = value;
    follower.OnPeer(it);
  }
  void PeerHasVersion(std::uint64_t version) {
    PeerMessage it;
    it.from = kPeer;
    it.config_version = version;
    follower.OnPeer(it);
  }

  const SystemClock clock;
  Loop loop;
  ScriptedStore store;
  PlainStateReader reader;
  int adoptions = 0;
  std::function<void()> adopted;
  std::vector<PeerMessage> sent;
  ConfigFollower follower;
};

BOOST_FIXTURE_TEST_CASE(OnlyAHigherVersionIsTakenFromTheStore, Fixture) {
  BOOST_TEST(follower.version() == 0U);
  StoreHas("5");
  BOOST_TEST(follower.version() == 5U);
  StoreShows({"4", "5"});
  BOOST_TEST(follower.version() == 5U);
  BOOST_TEST(adoptions == 1);
  // The next wait starts some time after an answer with changes.
  RunFor(loop, milliseconds(300));
  StoreShows({"6"});
  BOOST_TEST(follower.version() == 6U);
  BOOST_TEST(adoptions == 2);
}

BOOST_FIXTURE_TEST_CASE(OnlyAHigherVersionIsTakenFromAPeer, Fixture) {
  StoreHas("5");
  PeerSends("4");
  PeerSends("5");
  BOOST_TEST(follower.version() == 5U);
  BOOST_TEST(adoptions == 1);
  PeerSends("7");
  BOOST_TEST(follower.version() == 7U);
  // A store that is behind that peer doesn't revert the configuration.
  StoreShows({"6"});
  BOOST_TEST(follower.version() == 7U);
}

BOOST_FIXTURE_TEST_CASE(AConfigurationThatCantBeReadIsNotTaken, Fixture) {
  StoreHas("5");
  StoreShows({"six"});
  PeerSends("seven");
  BOOST_TEST(follower.version() == 5U);
  BOOST_TEST(adoptions == 1);
}

BOOST_FIXTURE_TEST_CASE(APeerThatHasANewerOneIsAsked, Fixture) {
  StoreHas("5");
  PeerHasVersion(6);
  RunFor(loop, milliseconds(100));
  // The router's own wait comes first.
  BOOST_TEST(sent.empty());
  RunFor(loop, kRequestSentBy);
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].kind == PeerMessageKind::kConfigRequest));
  // The peer may not answer, or the request may be lost.
  PeerHasVersion(6);
  RunFor(loop, kRequestSentBy);
  BOOST_TEST(sent.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(NoPeerIsAskedForWhatTheOwnWatchBrings, Fixture) {
  StoreHas("5");
  PeerHasVersion(6);
  StoreShows({"6"});
  RunFor(loop, kRequestSentBy);
  BOOST_TEST(sent.empty());
}

BOOST_FIXTURE_TEST_CASE(APeerThatHasNoNewerOneIsNotAsked, Fixture) {
  StoreHas("5");
  PeerHasVersion(5);
  PeerHasVersion(4);
  RunFor(loop, kRequestSentBy);
  BOOST_TEST(sent.empty());
}

// --- Currency ----------------------------------------------------------------

// Longer than `AwaitCurrent` waits.
constexpr Duration kUnanswered = milliseconds(500);

struct CurrencyFixture : Fixture {
  void PeerMark(std::uint64_t version, Instant asked_at) {
    PeerMessage it;
    it.kind = PeerMessageKind::kMark;
    it.from = kPeer;
    it.update.feed = FeedName::kConfig;
    it.update.age = milliseconds(100);
    it.config_version = version;
    it.asked_ms = AskedMs(asked_at);
    follower.OnPeer(it);
  }
  void Await(Instant at) {
    follower.AwaitCurrent(at, [this](bool it) { answers.push_back(it); });
  }
  std::vector<bool> answers;
};

// Guards against a refusal by a configuration that may have been replaced: what
// is known is known as of the last answered call's start.
BOOST_FIXTURE_TEST_CASE(ItIsCurrentAsOfAnAnsweredCall, CurrencyFixture) {
  BOOST_TEST(!follower.IsCurrentAt(clock.Now() - std::chrono::hours(1)));
  const Instant before = clock.Now();
  RunFor(loop, milliseconds(20));
  StoreHas("5");
  BOOST_TEST(!follower.IsCurrentAt(before));
  Await(before);
  BOOST_TEST(store.AnswerWait("c/", {StoreEnd::kDone, false, 1, {}}));
  RunFor(loop, milliseconds(20));
  BOOST_TEST((answers == std::vector<bool>{true}));
  BOOST_TEST(follower.IsCurrentAt(before));
}

BOOST_FIXTURE_TEST_CASE(WithoutAnAnswerItIsNotCurrent, CurrencyFixture) {
  StoreHas("5");
  Await(clock.Now());
  RunFor(loop, kUnanswered);
  BOOST_TEST((answers == std::vector<bool>{false}));
}

// A router that the store doesn't answer is current by a peer with the same
// configuration, and not by one with another.
BOOST_FIXTURE_TEST_CASE(APeerWithTheSameVersionShowsItCurrent,
                        CurrencyFixture) {
  StoreHas("5");
  RunFor(loop, milliseconds(150));
  const Instant asked_at = clock.Now();
  Await(asked_at - milliseconds(101));
  PeerMark(6, asked_at);
  BOOST_TEST(answers.empty());
  PeerMark(5, asked_at);
  BOOST_TEST((answers == std::vector<bool>{true}));
  BOOST_TEST(!follower.IsCurrentAt(asked_at));
}

BOOST_FIXTURE_TEST_CASE(AnUnreadableConfigurationLeavesItInDoubt,
                        CurrencyFixture) {
  const Instant before = clock.Now() - std::chrono::hours(1);
  StoreHas("5");
  BOOST_TEST(follower.IsCurrentAt(before));
  StoreShows({"six"});
  BOOST_TEST(!follower.IsCurrentAt(before));
  RunFor(loop, milliseconds(300));
  StoreShows({"7"});
  BOOST_TEST(follower.IsCurrentAt(before));
}

// Guards against serving by a configuration that peers have long replaced.
BOOST_FIXTURE_TEST_CASE(ItIsOutdatedWhileAPeerHasALaterOne, CurrencyFixture) {
  StoreHas("5");
  PeerHasVersion(6);
  BOOST_TEST(!follower.IsOutdated());
  RunFor(loop, ConfigFollower::kMaxBehind + milliseconds(50));
  BOOST_TEST(follower.IsOutdated());
  PeerSends("6");
  BOOST_TEST(!follower.IsOutdated());
  // A peer that is gone holds nobody up.
  PeerHasVersion(7);
  RunFor(loop, ConfigFollower::kVersionHeard + milliseconds(50));
  BOOST_TEST(!follower.IsOutdated());
}

// --- Access ---------------------------------------------------------------

// Guards against a router that takes what it knew before it stood still for the
// present.
BOOST_FIXTURE_TEST_CASE(AfterAStandstillItMayHaveMissedChanges,
                        CurrencyFixture) {
  StoreHas("5");
  follower.Check();
  BOOST_TEST(!follower.MayHaveMissedChanges());
  RunFor(loop, Standstill::kLongestGap + milliseconds(50));
  BOOST_TEST(follower.MayHaveMissedChanges());
  follower.Check();
  BOOST_TEST(follower.MayHaveMissedChanges());
  const Instant asked_at = clock.Now();
  PeerMark(5, asked_at);
  // The peer's state was that old.
  BOOST_TEST(follower.MayHaveMissedChanges());
  RunFor(loop, milliseconds(150));
  PeerMark(5, clock.Now());
  BOOST_TEST(!follower.MayHaveMissedChanges());
}

// Guards against a router that serves nobody during an outage, as it stood
// still or as a peer that is gone had a later configuration.
BOOST_FIXTURE_TEST_CASE(WhileTheStoreIsLostOnlyALaterPeerIsADoubt,
                        CurrencyFixture) {
  StoreHas("5");
  follower.Check();
  RunFor(loop, Standstill::kLongestGap + milliseconds(50));
  BOOST_TEST(follower.MayHaveMissedChanges());
  BOOST_TEST(store.AnswerWait("c/", {StoreEnd::kUnknown, false, 0, {}}));
  BOOST_TEST(!follower.MayHaveMissedChanges());
  PeerHasVersion(6);
  BOOST_TEST(follower.MayHaveMissedChanges());
  RunFor(loop, ConfigFollower::kVersionHeard + milliseconds(50));
  BOOST_TEST(!follower.MayHaveMissedChanges());
}

// Guards against access that is opened by a configuration which doesn't mention
// customers, after one that did.
BOOST_FIXTURE_TEST_CASE(ToMentionNoCustomersOpensNothing, Fixture) {
  StoreHas("5");
  StoreShows({"6-open"});
  BOOST_TEST(follower.version() == 6U);
  BOOST_TEST(follower.map()->needs_keys());
  BOOST_TEST(follower.map()->IsInDoubt("key"));
  RunFor(loop, milliseconds(300));
  StoreShows({"7"});
  BOOST_TEST(!follower.map()->IsInDoubt("key"));
}

// Guards against a deployment without customers whose callers are refused.
BOOST_FIXTURE_TEST_CASE(WithoutCustomersFromTheStartNoKeyIsNeeded, Fixture) {
  StoreHas("5-open");
  BOOST_TEST(!follower.map()->needs_keys());
}

// Guards against a reading that was spoiled on its way and keeps callers out
// for good.
BOOST_FIXTURE_TEST_CASE(WhatCantBeReadIsReadAgain, Fixture) {
  StoreHas("5");
  StoreShows({"six"});
  BOOST_TEST(follower.IsUnreadable());
  RunFor(loop, ConfigFollower::kReadAgain + milliseconds(50));
  StoreHas("6");
  BOOST_TEST(!follower.IsUnreadable());
  BOOST_TEST(follower.version() == 6U);
}

// --- Closed halls ------------------------------------------------------------

struct HallsFixture : Fixture {
  bool IsClosed(const char* hall) const {
    return follower.halls().IsClosed(HallName(hall));
  }
  void StoreChange(const StoreChange& change) {
    BOOST_TEST(store.AnswerWait(
        "c/", {StoreEnd::kDone, false, change.item.revision, {change}}));
    RunFor(loop, milliseconds(300));
  }
};

BOOST_FIXTURE_TEST_CASE(AHallIsClosedBeforeTheFirstConfigurationIsTaken,
                        HallsFixture) {
  bool was_closed = false;
  adopted = [&] { was_closed = IsClosed("b"); };
  BOOST_TEST(store.AnswerRange(
      "c/", {StoreEnd::kDone,
             9,
             {{"c/config", "5", 1}, {"c/closed/b", "what?", 7}}}));
  BOOST_TEST(was_closed);
}

BOOST_FIXTURE_TEST_CASE(AHallIsClosedAndOpenedByTheStore, HallsFixture) {
  StoreHas("5");
  StoreChange({{"c/closed/b", "", 3}, false});
  BOOST_TEST(IsClosed("b"));
  BOOST_TEST(!IsClosed("a"));
  StoreChange({{"c/closed/b", "", 4}, true});
  BOOST_TEST(!IsClosed("b"));
  BOOST_TEST(follower.version() == 5U);
}

BOOST_FIXTURE_TEST_CASE(APeerTellsOfHallsWithEachSignAndConfiguration,
                        HallsFixture) {
  StoreHas("5");
  PeerMessage heartbeat;
  heartbeat.halls[HallName("b")] = {7, true};
  follower.OnPeer(heartbeat);
  BOOST_TEST(IsClosed("b"));
  PeerMessage request;
  request.kind = PeerMessageKind::kConfigRequest;
  request.from = kPeer;
  follower.OnPeer(request);
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent[0].halls.at(HallName("b")).closed);
  // A store that is behind that peer doesn't reopen the hall.
  StoreChange({{"c/closed/b", "", 6}, true});
  BOOST_TEST(IsClosed("b"));
}

BOOST_FIXTURE_TEST_CASE(APeerThatAsksIsSentWhatIsInForce, Fixture) {
  PeerMessage request;
  request.kind = PeerMessageKind::kConfigRequest;
  request.from = kPeer;
  follower.OnPeer(request);
  BOOST_TEST(sent.empty());
  StoreHas("5");
  StoreShows({"4"});
  follower.OnPeer(request);
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].kind == PeerMessageKind::kConfig));
  BOOST_TEST(sent[0].item_key == "c/config");
  BOOST_TEST(sent[0].item_value == "5");
}

}  // namespace
}  // namespace quaytrack
