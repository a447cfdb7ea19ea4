// Tests RemoteHolds against ServedHolds: both sides of the protocol, over a
// network that loses messages and with a ledger that only sums up.

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "relay/remote_holds.h"
#include "relay/served_holds.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

const CustomerName kCustomer{"c"};
const Incarnation kAsker{"asker@1"};
const VmName kHolders[] = {VmName("h1"), VmName("h2")};

// One holder: its served holds and the totals of its ledger.
struct Holder {
  explicit Holder(Incarnation name) : self(std::move(name)) {
    ServedHolds::Handlers on;
    on.has_budget = [](const CustomerName&) { return true; };
    on.hold = [this](const HoldWaiterPtr& it) {
      waiting.push_back(it);
      if (!silent) HoldWaiting();
    };
    on.forget = [](const std::shared_ptr<HoldWaiter>&) {};
    on.settle = [this](const CustomerName&, Tokens amount, Tokens cost) {
      held -= amount;
      spent += cost;
    };
    on.send = [this](const Incarnation&, PeerMessage it) {
      it.from = self;
      sent.push_back(it);
    };
    served = std::make_unique<ServedHolds>(on);
  }

  void HoldWaiting() {
    for (const HoldWaiterPtr& it : std::exchange(waiting, {})) {
      held += it->worst_case();
      it->OnHeld();
    }
  }

  Incarnation self;
  // Leaves hold requests unanswered.
  bool silent = false;
  std::vector<HoldWaiterPtr> waiting;
  Tokens held = 0;
  Tokens spent = 0;
  std::deque<PeerMessage> sent;
  std::unique_ptr<ServedHolds> served;
};

struct Fixture {
  Fixture() {
    RemoteHolds::Handlers on;
    on.linked_incarnation = [this](const VmName& vm) {
      for (const Holder& it : holders) {
        if (linked && VmOf(it.self) == vm) return it.self;
      }
      return Incarnation();
    };
    on.send = [this](const Incarnation& to, PeerMessage it) {
      it.from = kAsker;
      if (lose_next > 0) {
        --lose_next;
        return;
      }
      for (Holder& holder : holders) {
        if (linked && holder.self == to) Deliver(holder, it);
      }
    };
    remote = std::make_unique<RemoteHolds>(RemoteHolds::Options(), on);
  }

  static void Deliver(Holder& holder, const PeerMessage& it) {
    if (it.kind == PeerMessageKind::kHoldRequest)
      holder.served->OnHoldWanted(it);
    if (it.kind == PeerMessageKind::kSettle) holder.served->OnSettle(it);
  }

  void Ask(const std::string& id, Tokens amount) {
    RemoteHolds::Request out;
    out.id = RequestId(id);
    out.customer = kCustomer;
    out.amount = amount;
    out.holders = {kHolders[0], kHolders[1]};
    out.done = [this](PrepaidVerdict it) { verdicts.push_back(it); };
    remote->RequestHold(now, out);
  }

  // Delivers the holders' answers to the asker.
  void DeliverAnswers() {
    for (Holder& holder : holders) {
      while (!holder.sent.empty()) {
        const PeerMessage it = holder.sent.front();
        holder.sent.pop_front();
        if (it.kind == PeerMessageKind::kHoldAnswer) remote->OnAnswer(now, it);
        if (it.kind == PeerMessageKind::kSettled) remote->OnAcknowledged(it);
      }
    }
  }

  void Advance(Duration time) {
    now += time;
    remote->CheckTimeouts(now);
    DeliverAnswers();
  }

  bool Got(PrepaidVerdict verdict) const {
    return verdicts == std::vector<PrepaidVerdict>{verdict};
  }

  Instant now{std::chrono::hours(1)};
  bool linked = true;
  int lose_next = 0;
  Holder holders[2] = {Holder(Incarnation("h1@1")),
                       Holder(Incarnation("h2@1"))};
  std::unique_ptr<RemoteHolds> remote;
  std::vector<PrepaidVerdict> verdicts;
};

BOOST_FIXTURE_TEST_CASE(AHoldIsSettledAtItsCost, Fixture) {
  Ask("r", 100);
  DeliverAnswers();
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
  BOOST_TEST(holders[0].held == 100);
  remote->Settle(now, RequestId("r"), 30);
  BOOST_TEST(holders[0].held == 0);
  BOOST_TEST(holders[0].spent == 30);
}

BOOST_FIXTURE_TEST_CASE(ALostCostIsToldAgain, Fixture) {
  Ask("r", 100);
  DeliverAnswers();
  lose_next = 1;
  remote->Settle(now, RequestId("r"), 30);
  BOOST_TEST(holders[0].held == 100);
  Advance(milliseconds(1100));
  BOOST_TEST(holders[0].held == 0);
  BOOST_TEST(holders[0].spent == 30);
  BOOST_TEST(remote->Idle());
}

BOOST_FIXTURE_TEST_CASE(ASilentHolderIsPassedOver, Fixture) {
  holders[0].silent = true;
  Ask("r", 100);
  DeliverAnswers();
  Advance(milliseconds(210));
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
  BOOST_TEST(holders[1].held == 100);
  // It received a cost of zero.
  BOOST_TEST(holders[0].served->size() == 0U);
}

// The holder decides by the request's urgency.
BOOST_FIXTURE_TEST_CASE(AHoldersRequestHasTheUrgencyOfItsAsker, Fixture) {
  holders[0].silent = true;
  RemoteHolds::Request out;
  out.id = RequestId("r");
  out.customer = kCustomer;
  out.amount = 100;
  out.urgency = 2;
  out.holders = {kHolders[0]};
  out.done = [](PrepaidVerdict) {};
  remote->RequestHold(now, out);
  BOOST_REQUIRE(holders[0].waiting.size() == 1U);
  BOOST_TEST(holders[0].waiting[0]->urgency() == 2);
}

// No second holder is asked: it would refuse for the same reason.
BOOST_FIXTURE_TEST_CASE(AReservedBudgetIsRefusedWithItsTime, Fixture) {
  holders[0].silent = true;
  std::vector<Duration> reserved;
  RemoteHolds::Request out;
  out.id = RequestId("r");
  out.customer = kCustomer;
  out.amount = 100;
  out.holders = {kHolders[0], kHolders[1]};
  out.done = [this](PrepaidVerdict it) { verdicts.push_back(it); };
  out.reserved = [&](Duration it) { reserved.push_back(it); };
  remote->RequestHold(now, out);
  holders[0].waiting.at(0)->OnHoldReserved(milliseconds(700));
  BOOST_TEST(holders[0].served->size() == 0U);
  DeliverAnswers();
  BOOST_REQUIRE(reserved.size() == 1U);
  BOOST_TEST((reserved[0] == milliseconds(700)));
  BOOST_TEST(verdicts.empty());
  BOOST_TEST(holders[1].held == 0);
  BOOST_TEST(remote->Idle());
}

// The second holder may let the hold wait as long as the first one.
BOOST_FIXTURE_TEST_CASE(ASecondHolderHasItsWholeTime, Fixture) {
  holders[0].silent = true;
  holders[1].silent = true;
  Ask("r", 100);
  Advance(milliseconds(200));
  BOOST_REQUIRE(holders[1].waiting.size() == 1U);
  Advance(HoldTimeouts().give_up_after);
  BOOST_TEST(verdicts.empty());
  holders[1].HoldWaiting();
  DeliverAnswers();
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
}

BOOST_FIXTURE_TEST_CASE(SilentHoldersEndTheAsk, Fixture) {
  holders[0].silent = true;
  holders[1].silent = true;
  Ask("r", 100);
  Advance(milliseconds(200));
  Advance(milliseconds(199));
  BOOST_TEST(verdicts.empty());
  Advance(milliseconds(1));
  BOOST_TEST(Got(PrepaidVerdict::kShort));
  BOOST_TEST(holders[0].served->size() == 0U);
  BOOST_TEST(holders[1].served->size() == 0U);
}

// A hold doesn't wait for the timeout of a holder whose link is lost.
BOOST_FIXTURE_TEST_CASE(ALostHolderIsPassedOverAtOnce, Fixture) {
  holders[0].silent = true;
  Ask("r", 100);
  remote->OnPeerLost(now, holders[0].self);
  DeliverAnswers();
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
  BOOST_TEST(holders[1].held == 100);
  BOOST_TEST(holders[0].served->size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(TheLastHoldersLossEndsTheAsk, Fixture) {
  holders[0].silent = true;
  holders[1].silent = true;
  Ask("r", 100);
  remote->OnPeerLost(now, holders[0].self);
  BOOST_TEST(holders[1].waiting.size() == 1U);
  remote->OnPeerLost(now, holders[1].self);
  Advance(milliseconds(0));
  BOOST_TEST(Got(PrepaidVerdict::kShort));
}

// No further holder is asked after `ask_holders_until`, as it could not answer
// in time.
BOOST_FIXTURE_TEST_CASE(NoHolderIsAskedLate, Fixture) {
  holders[0].silent = true;
  Ask("r", 100);
  Advance(milliseconds(100));
  // The loop is blocked meanwhile.
  now += milliseconds(200);
  remote->OnPeerLost(now, holders[0].self);
  BOOST_TEST(holders[1].held == 0);
  Advance(milliseconds(0));
  BOOST_TEST(Got(PrepaidVerdict::kShort));
}

BOOST_FIXTURE_TEST_CASE(AStoppingHolderSendsAskersOn, Fixture) {
  holders[0].served->Stop();
  Ask("r", 100);
  DeliverAnswers();
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
  BOOST_TEST(holders[1].held == 100);
}

BOOST_FIXTURE_TEST_CASE(WithoutAHolderTheRequestIsRefusedSoon, Fixture) {
  linked = false;
  Ask("r", 100);
  Advance(milliseconds(10));
  BOOST_TEST(Got(PrepaidVerdict::kShort));
}

BOOST_FIXTURE_TEST_CASE(AnAskThatArrivesAfterItsEndHoldsNothing, Fixture) {
  PeerMessage hold_request;
  hold_request.kind = PeerMessageKind::kHoldRequest;
  hold_request.from = kAsker;
  hold_request.request = RequestId("r");
  hold_request.customer = kCustomer;
  hold_request.amount = 100;
  PeerMessage settle = hold_request;
  settle.kind = PeerMessageKind::kSettle;
  settle.amount = 0;
  Deliver(holders[0], settle);
  Deliver(holders[0], hold_request);
  BOOST_TEST(holders[0].held == 0);
}

BOOST_FIXTURE_TEST_CASE(ADeadAskersHoldsCountAsSpent, Fixture) {
  Ask("r", 100);
  DeliverAnswers();
  holders[0].served->OnHello(kAsker);
  BOOST_TEST(holders[0].held == 100);
  holders[0].served->OnHello(Incarnation("asker@2"));
  BOOST_TEST(holders[0].held == 0);
  BOOST_TEST(holders[0].spent == 100);
}

BOOST_FIXTURE_TEST_CASE(TimeAloneEndsNoHold, Fixture) {
  Ask("r", 100);
  DeliverAnswers();
  Advance(std::chrono::hours(2));
  BOOST_TEST(holders[0].held == 100);
}

// --- No holder answers in time -----------------------------------------------

// Asks every 20 ms for `time`, with a check every 10 ms.
void AskFor(Fixture& it, Duration time) {
  for (Duration at{}; at < time; at += milliseconds(20)) {
    it.Ask("load-" + std::to_string(it.now.time_since_epoch().count()), 100);
    it.Advance(milliseconds(10));
    it.Advance(milliseconds(10));
  }
}

// Guards against refusals that take two timeouts while nobody can answer.
BOOST_FIXTURE_TEST_CASE(WhileAllHoldersAreSilentARefusalIsImmediate, Fixture) {
  holders[0].silent = true;
  holders[1].silent = true;
  AskFor(*this, milliseconds(1500));
  BOOST_TEST(remote->refused_at_once() > 0U);
  Advance(milliseconds(10));
  verdicts.clear();
  Ask("r", 100);
  Advance(milliseconds(10));
  BOOST_TEST(Got(PrepaidVerdict::kShort));
}

// Guards against refusals after the holders have come back.
BOOST_FIXTURE_TEST_CASE(AHolderThatAnswersAgainIsAskedAgain, Fixture) {
  holders[0].silent = true;
  holders[1].silent = true;
  AskFor(*this, milliseconds(1500));
  holders[1].silent = false;
  // One probe interval, and the checks.
  AskFor(*this, milliseconds(140));
  verdicts.clear();
  const auto refused = remote->refused_at_once();
  Ask("r", 100);
  DeliverAnswers();
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
  AskFor(*this, milliseconds(500));
  BOOST_TEST(remote->refused_at_once() == refused);
}

BOOST_FIXTURE_TEST_CASE(ASilentHolderIsSkippedWhileAnotherAnswers, Fixture) {
  holders[0].silent = true;
  AskFor(*this, milliseconds(1500));
  verdicts.clear();
  Ask("r", 100);
  DeliverAnswers();
  BOOST_TEST(Got(PrepaidVerdict::kHeld));
  BOOST_TEST(remote->refused_at_once() == 0U);
}

// Guards against a router that refuses all callers and looks well.
BOOST_FIXTURE_TEST_CASE(WhileAllHoldersAreSilentARouterLacksThem, Fixture) {
  AskFor(*this, milliseconds(200));
  BOOST_TEST(!remote->LacksHolder(now));
  holders[0].silent = true;
  AskFor(*this, milliseconds(1500));
  BOOST_TEST(!remote->LacksHolder(now));
  holders[1].silent = true;
  AskFor(*this, milliseconds(1000));
  BOOST_TEST(remote->LacksHolder(now));
  holders[1].silent = false;
  AskFor(*this, milliseconds(140));
  BOOST_TEST(!remote->LacksHolder(now));
}

BOOST_FIXTURE_TEST_CASE(ARouterWithoutLinksToHoldersLacksThem, Fixture) {
  linked = false;
  Ask("r", 100);
  Advance(milliseconds(10));
  BOOST_TEST(remote->LacksHolder(now));
  now += RemoteHolds::kLacksHolderFor;
  BOOST_TEST(!remote->LacksHolder(now));
}

// Guards against refusals by a router that was itself frozen, with the answers
// unread.
BOOST_FIXTURE_TEST_CASE(AStallOfThisRouterIsNoSilence, Fixture) {
  for (int n = 0; n < 50; ++n) {
    Ask("r-" + std::to_string(n), 100);
    Advance(milliseconds(10));
    Ask("s-" + std::to_string(n), 100);
    now += std::chrono::seconds(10);
    remote->CheckTimeouts(now);
    DeliverAnswers();
  }
  BOOST_TEST(remote->refused_at_once() == 0U);
}

// The same with a stall shorter than the timeout: requests that were sent
// before it time out at the first check after it, with their answers unread.
BOOST_FIXTURE_TEST_CASE(AShortStallOfThisRouterIsNoSilence, Fixture) {
  for (int n = 0; n < 50; ++n) {
    for (int it = 0; it < 5; ++it) {
      Ask("r-" + std::to_string(n * 5 + it), 100);
      now += milliseconds(20);
      remote->CheckTimeouts(now);
    }
    now += milliseconds(190);
    remote->CheckTimeouts(now);
    DeliverAnswers();
  }
  BOOST_TEST(remote->refused_at_once() == 0U);
}

// A probe leaves nothing held, whether it is answered or not.
BOOST_FIXTURE_TEST_CASE(ProbesLeaveNoHolds, Fixture) {
  holders[0].silent = true;
  holders[1].silent = true;
  AskFor(*this, milliseconds(2000));
  for (int n = 0; n < 60; ++n) Advance(milliseconds(10));
  BOOST_TEST(holders[0].served->size() == 0U);
  BOOST_TEST(holders[1].served->size() == 0U);
  BOOST_TEST(remote->Idle());
}

// Whichever messages are lost, a holder never counts less than what was spent
// of its holds, and exactly that once every message has arrived.
BOOST_AUTO_TEST_CASE(HoldersNeverCountLessThanWasSpent) {
  const bool ok = rc::check("holders never count less than was spent", [] {
    Fixture it;
    Tokens spent = 0;
    int asked = 0;
    std::vector<RequestId> open;
    const int steps = *rc::gen::inRange(5, 60);
    for (int n = 0; n < steps; ++n) {
      const int step = *rc::gen::inRange(0, 6);
      if (step == 0) {
        const RequestId id("r" + std::to_string(++asked));
        it.Ask(id.value, 100);
        open.push_back(id);
      }
      if (step == 1 && !open.empty()) {
        const RequestId id = open.back();
        open.pop_back();
        const Tokens cost = *rc::gen::inRange(0, 101);
        if (it.remote->Holds(id)) spent += cost;
        it.remote->Forget(it.now, id);
        it.remote->Settle(it.now, id, cost);
      }
      if (step == 2) it.lose_next = *rc::gen::inRange(0, 3);
      if (step == 3) it.linked = !it.linked;
      if (step == 4) it.DeliverAnswers();
      if (step == 5) it.Advance(milliseconds(*rc::gen::inRange(1, 400)));
      const Tokens counted = it.holders[0].held + it.holders[0].spent +
                             it.holders[1].held + it.holders[1].spent;
      RC_ASSERT(counted >= spent);
    }
    it.linked = true;
    it.lose_next = 0;
    for (int n = 0; n < 5; ++n) it.Advance(milliseconds(1100));
    for (const RequestId& id : open) it.remote->Settle(it.now, id, 0);
    for (int n = 0; n < 5; ++n) it.Advance(milliseconds(1100));
    RC_ASSERT(it.holders[0].held + it.holders[1].held == 0);
    RC_ASSERT(it.holders[0].spent + it.holders[1].spent == spent);
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace quaytrack
