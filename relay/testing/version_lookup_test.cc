// How routers find the version of a stream that began elsewhere, with messages
// that the test delivers or drops.

#include "relay/version_lookup.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RequestId kStream("s-1");
const VersionName kV1("v1");
const VersionName kV2("v2");
const Fingerprint kRequest("5c1e07a2-bb");
const StreamRun kFirstRun{TargetName("e-1"), "10.0.0.1:80", kStream};
const StreamRun kSecondRun{TargetName("e-2"), "10.0.0.2:80",
                           RequestId("s-1-2")};

class FakeClock final : public Clock {
 public:
  Instant Now() const override { return now; }
  WallTime WallNow() const override { return {}; }
  Instant now = Instant(std::chrono::hours(1));
};

// A fleet of two halls. In each, the first two routers are holders, and all are
// linked to the holders of their hall; holders are linked to each other.
struct Fixture {
  struct Node {
    Incarnation self;
    int hall = 0;
    bool is_holder = false;
    bool is_down = false;
    // It stands still: its links stay open.
    bool is_frozen = false;
    bool has_links = true;
    // Whether it serves the runs that are noted as its own to their callers.
    bool has_callers = false;
    std::unique_ptr<VersionLookup> lookup;
  };
  struct Sent {
    Incarnation to;
    PeerMessage message;
  };

  Fixture() {
    for (int hall = 0; hall < 2; ++hall) {
      for (int n = 0; n < 4; ++n) {
        Node node;
        node.self = Incarnation("vm-" + std::to_string(hall) + "-" +
                                std::to_string(n) + "@1");
        node.hall = hall;
        node.is_holder = n < 2;
        nodes.push_back(std::move(node));
      }
    }
    for (Node& it : nodes) Start(it);
  }

  std::vector<Incarnation> Holders(const Node& of, bool own, bool others) {
    std::vector<Incarnation> out;
    if (!of.has_links) return out;
    for (const Node& it : nodes) {
      const bool same_hall = it.hall == of.hall;
      const bool is_linked = same_hall || of.is_holder;
      if (!it.is_holder || it.self == of.self || !is_linked) continue;
      if (same_hall ? own : others) out.push_back(it.self);
    }
    return out;
  }
  // Also what a restart does.
  void Start(Node& node) {
    VersionLookup::Handlers on;
    on.send = [this, &node](const Incarnation& to, PeerMessage message) {
      message.from = node.self;
      sent.push_back({to, std::move(message)});
    };
    on.witnesses = [this, &node] { return Holders(node, true, false); };
    on.to_ask = [this, &node] { return Holders(node, true, true); };
    on.to_ask_for_others = [this, &node] { return Holders(node, false, true); };
    on.has_others = [this] { return has_others; };
    on.is_linked = [this](const Incarnation& it) { return !Find(it).is_down; };
    on.is_served = [&node](const RequestId&) { return node.has_callers; };
    node.lookup = std::make_unique<VersionLookup>(loop, clock, std::move(on));
  }
  Node& At(int hall, int n) {
    return nodes.at(static_cast<std::size_t>(hall) * 4 +
                    static_cast<std::size_t>(n));
  }
  Node& Find(const Incarnation& router) {
    return *std::find_if(nodes.begin(), nodes.end(),
                         [&](const Node& it) { return it.self == router; });
  }
  void DeliverAll() {
    while (!sent.empty()) {
      const Sent it = sent.front();
      sent.pop_front();
      Node& node = Find(it.to);
      if (node.is_down || node.is_frozen) continue;
      const auto message =
          DecodePeerMessage(EncodePeerMessage(it.message)).value();
      node.lookup->OnPeer(message);
      Turn();
    }
  }
  // A link between the two has opened.
  void Hello(Node& from, Node& to) {
    PeerMessage it;
    it.kind = PeerMessageKind::kHello;
    it.from = from.self;
    to.lookup->OnPeer(it);
    DeliverAll();
    Turn();
  }
  // Much shorter than the times for answers.
  void Turn() {
    const auto stop = loop.After(Duration::zero(), [this] { loop.Stop(); });
    loop.Run();
  }
  void Begin(Node& node, const RequestId& id, const VersionName& version) {
    BeginNote(node, id, {version, {}, {}});
  }
  void BeginNote(Node& node, const RequestId& id, const StreamNote& note) {
    node.lookup->Announce(id, note, seconds(12));
    DeliverAll();
  }
  VersionLookup::Found Answer() {
    answers.clear();
    notes.clear();
    return [this](const std::optional<StreamNote>& it) {
      answers.push_back(it ? std::optional(it->version) : std::nullopt);
      notes.push_back(it);
    };
  }
  void Ask(Node& node) {
    node.lookup->Find(kStream, Answer());
    DeliverAll();
    Turn();
  }
  void AskByRequest(Node& node) {
    node.lookup->FindRequest(kRequest, Answer());
    // A note that is known here is confirmed in the next turn.
    Turn();
    DeliverAll();
    Turn();
  }

  FakeClock clock;
  Loop loop;
  std::vector<Node> nodes;
  bool has_others = true;
  std::list<Sent> sent;
  std::vector<std::optional<VersionName>> answers;
  // The same answers, with all that is known.
  std::vector<std::optional<StreamNote>> notes;
};

BOOST_FIXTURE_TEST_CASE(AnyRouterOfEitherHallFindsIt, Fixture) {
  Begin(At(0, 3), kStream, kV1);
  for (Node& it : nodes) {
    Ask(it);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front() == kV1));
  }
}

// Guards against a stream whose version is lost with the router that began it,
// or with one of its witnesses.
BOOST_FIXTURE_TEST_CASE(ItIsFoundAfterItsRouterAndAWitnessDied, Fixture) {
  Begin(At(0, 3), kStream, kV1);
  At(0, 3).is_down = true;
  Start(At(0, 0));
  for (Node* it : {&At(0, 2), &At(1, 3), &At(1, 0), &At(0, 0)}) {
    Ask(*it);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front() == kV1));
  }
}

BOOST_FIXTURE_TEST_CASE(WhatAllAnswerNotToKnowIsUnknownAtOnce, Fixture) {
  Begin(At(0, 3), RequestId("another"), kV1);
  Ask(At(1, 3));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(!answers.front().has_value());
}

BOOST_FIXTURE_TEST_CASE(WithoutAnswersItIsUnknownAfterAShortTime, Fixture) {
  Begin(At(0, 3), kStream, kV1);
  for (Node& it : nodes) it.is_down = true;
  Ask(At(1, 3));
  BOOST_TEST(answers.empty());
  RunFor(loop, VersionLookup::kAnswerTime + milliseconds(50));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(!answers.front().has_value());
}

// Guards against a second version for one stream: the first word stands, and
// ends with the caller's deadline.
BOOST_FIXTURE_TEST_CASE(AStreamHasOneVersionUntilItsCallerIsGone, Fixture) {
  Begin(At(0, 3), kStream, kV1);
  Begin(At(0, 2), kStream, kV2);
  Ask(At(0, 0));
  BOOST_TEST((answers.front() == kV1));
  clock.now += seconds(13);
  Ask(At(0, 0));
  BOOST_TEST(!answers.front().has_value());
  BOOST_TEST(At(0, 0).lookup->size() == 0U);
}

// Guards against streams that a router doesn't know because it was frozen, or
// its link was cut, as they began.
BOOST_FIXTURE_TEST_CASE(ALinkThatOpensTellsWhatWasMissed, Fixture) {
  for (const int n : {0, 1}) At(0, n).is_down = true;
  Begin(At(0, 3), kStream, kV1);
  for (const int n : {0, 1}) At(0, n).is_down = false;
  Hello(At(0, 0), At(0, 3));
  At(0, 3).is_down = true;
  Ask(At(0, 2));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers.front() == kV1));
}

// Guards against a refusal by a router that has just started, or was frozen,
// and has no link yet.
BOOST_FIXTURE_TEST_CASE(WithoutALinkTheFirstOneIsAwaited, Fixture) {
  Begin(At(0, 3), kStream, kV1);
  At(0, 2).has_links = false;
  Ask(At(0, 2));
  BOOST_TEST(answers.empty());
  At(0, 2).has_links = true;
  Hello(At(0, 1), At(0, 2));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers.front() == kV1));
}

BOOST_FIXTURE_TEST_CASE(ALoneRouterAwaitsNoLink, Fixture) {
  At(0, 2).has_links = false;
  has_others = false;
  Ask(At(0, 2));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(!answers.front().has_value());
}

BOOST_AUTO_TEST_CASE(TheNumberOfNotesIsBounded) {
  StreamVersions versions;
  const Instant now{std::chrono::hours(1)};
  const int count = static_cast<int>(StreamVersions::kMaxNotes) + 10;
  for (int n = 0; n < count; ++n) {
    versions.Note(now, RequestId(std::to_string(n)),
                  {kV1, {}, Fingerprint(std::to_string(n))},
                  now + seconds(10) + milliseconds(n));
  }
  BOOST_TEST(versions.size() == StreamVersions::kMaxNotes);
  BOOST_TEST(!versions.Find(now, RequestId("9")));
  BOOST_TEST(!versions.FindRequest(now, Fingerprint("9")));
  BOOST_REQUIRE(versions.Find(now, RequestId("10")).has_value());
  BOOST_TEST((versions.Find(now, RequestId("10"))->version == kV1));
  BOOST_TEST(versions.FindRequest(now, Fingerprint("10")).has_value());
}

// Guards against a run that can't be ended, as no router knows its target:
// callers name the first try, or only repeat their request.
BOOST_FIXTURE_TEST_CASE(AnyRouterFindsTheRunByIdAndByRequest, Fixture) {
  BeginNote(At(0, 3), kStream, {kV1, kFirstRun, kRequest});
  At(0, 3).is_down = true;
  for (const int hall : {0, 1}) {
    for (const int n : {0, 1, 2}) {
      Ask(At(hall, n));
      BOOST_REQUIRE((notes.size() == 1U && notes.front()));
      BOOST_TEST((notes.front()->run == kFirstRun));
      AskByRequest(At(hall, n));
      BOOST_REQUIRE((notes.size() == 1U && notes.front()));
      BOOST_TEST((notes.front()->run == kFirstRun));
    }
  }
}

// Guards against ending a run that has ended already, in place of the one that
// has the stream since.
BOOST_FIXTURE_TEST_CASE(TheLatestRunIsFound, Fixture) {
  BeginNote(At(0, 3), kStream, {kV1, kFirstRun, kRequest});
  BeginNote(At(0, 2), kSecondRun.id, {kV1, kSecondRun, kRequest});
  BeginNote(At(0, 2), kStream, {kV2, kSecondRun, kRequest});
  for (Node* it : {&At(0, 1), &At(1, 3)}) {
    Ask(*it);
    BOOST_REQUIRE((notes.size() == 1U && notes.front()));
    BOOST_TEST((notes.front()->run == kSecondRun));
    BOOST_TEST((notes.front()->version == kV1));
    AskByRequest(*it);
    BOOST_REQUIRE((notes.size() == 1U && notes.front()));
    BOOST_TEST((notes.front()->run == kSecondRun));
  }
}

// Guards against callers that wait for peers of earlier builds, which know
// streams by their ids only and repeat what they were asked for.
BOOST_FIXTURE_TEST_CASE(APeerOfAnEarlierBuildKnowsNoRequest, Fixture) {
  Node& node = At(0, 2);
  node.lookup->FindRequest(kRequest, Answer());
  for (const Sent& it : std::exchange(sent, {})) {
    PeerMessage answer;
    answer.kind = PeerMessageKind::kVersion;
    answer.from = it.to;
    answer.request = it.message.request;
    node.lookup->OnPeer(answer);
  }
  BOOST_REQUIRE(notes.size() == 1U);
  BOOST_TEST(!notes.front().has_value());
}

// Guards against a run that is ended though its caller is still there: the
// stream was found by a request that another caller has sent as well.
BOOST_FIXTURE_TEST_CASE(TheRunOfAStreamThatIsServedIsNotTold, Fixture) {
  At(0, 3).has_callers = true;
  BeginNote(At(0, 3), kStream, {kV1, kFirstRun, kRequest});
  // A router that heard of it, one that didn't, one of another hall, and its
  // own.
  for (Node* it : {&At(0, 0), &At(0, 2), &At(1, 2), &At(0, 3)}) {
    AskByRequest(*it);
    BOOST_REQUIRE(notes.size() == 1U);
    BOOST_REQUIRE(notes[0].has_value());
    BOOST_TEST(!notes[0]->run.has_value());
  }
  // By its id it is found with its run, as its caller names it.
  Ask(At(0, 2));
  BOOST_REQUIRE(notes.size() == 1U);
  BOOST_TEST((notes[0]->run == kFirstRun));
}

// Guards against a run that is ended though its caller is still there: the
// router that asked stood still, and so it heard nothing.
BOOST_FIXTURE_TEST_CASE(ARouterThatStoodStillAsksAgain, Fixture) {
  At(0, 3).has_callers = true;
  BeginNote(At(0, 3), kStream, {kV1, kFirstRun, kRequest});
  At(0, 3).is_frozen = true;
  AskByRequest(At(0, 0));
  BOOST_TEST(notes.empty());
  At(0, 3).is_frozen = false;
  clock.now += seconds(1);
  RunFor(loop, VersionLookup::kConfirmTime + milliseconds(20));
  DeliverAll();
  Turn();
  BOOST_REQUIRE(notes.size() == 1U);
  BOOST_TEST(!notes[0]->run.has_value());
}

// Guards against a run that nobody ends, as its router has stopped without a
// sign or its caller has left.
BOOST_FIXTURE_TEST_CASE(TheRunOfAStreamThatIsNotServedIsTold, Fixture) {
  BeginNote(At(0, 3), kStream, {kV1, kFirstRun, kRequest});
  AskByRequest(At(0, 2));
  BOOST_REQUIRE(notes.size() == 1U);
  BOOST_TEST((notes[0]->run == kFirstRun));
  At(0, 3).has_callers = true;
  At(0, 3).is_frozen = true;
  for (Node* it : {&At(0, 0), &At(0, 2)}) {
    AskByRequest(*it);
    RunFor(loop, VersionLookup::kConfirmTime + milliseconds(50));
    DeliverAll();
    Turn();
    BOOST_REQUIRE(notes.size() == 1U);
    BOOST_TEST((notes[0]->run == kFirstRun));
  }
  // A link that has ended needs no question.
  At(0, 3).is_down = true;
  AskByRequest(At(0, 2));
  BOOST_REQUIRE(notes.size() == 1U);
  BOOST_TEST((notes[0]->run == kFirstRun));
}

}  // namespace
}  // namespace quaytrack
