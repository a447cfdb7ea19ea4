// How routers find the version of a stream that began elsewhere, with messages
// that the test delivers or drops.

#include "relay/version_lookup.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RequestId kStream("s-1");
const VersionName kV1("v1");
const VersionName kV2("v2");

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
    bool has_links = true;
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
    node.lookup = std::make_unique<VersionLookup>(loop, clock, std::move(on));
  }
  Node& At(int hall, int n) {
    return nodes.at(static_cast<std::size_t>(hall) * 4 +
                    static_cast<std::size_t>(n));
  }
  void DeliverAll() {
    while (!sent.empty()) {
      const Sent it = sent.front();
      sent.pop_front();
      const auto node =
          std::find_if(nodes.begin(), nodes.end(),
                       [&](const Node& n) { return n.self == it.to; });
      if (node->is_down) continue;
      const auto message =
          DecodePeerMessage(EncodePeerMessage(it.message)).value();
      node->lookup->OnPeer(message);
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
    node.lookup->Announce(id, version, seconds(12));
    DeliverAll();
  }
  void Ask(Node& node) {
    answers.clear();
    node.lookup->Find(kStream, [this](std::optional<VersionName> it) {
      answers.push_back(std::move(it));
    });
    DeliverAll();
    Turn();
  }

  FakeClock clock;
  Loop loop;
  std::vector<Node> nodes;
  bool has_others = true;
  std::list<Sent> sent;
  std::vector<std::optional<VersionName>> answers;
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
    versions.Note(now, RequestId(std::to_string(n)), kV1,
                  now + seconds(10) + milliseconds(n));
  }
  BOOST_TEST(versions.size() == StreamVersions::kMaxNotes);
  BOOST_TEST(!versions.Find(now, RequestId("9")));
  BOOST_TEST((versions.Find(now, RequestId("10")) == kV1));
}

}  // namespace
}  // namespace quaytrack
