// Tests holds in advance between RemoteHolds and ServedHolds: each failure that
// an advance can bring, and drawn histories over a network
// that loses, delays and repeats messages, with routers that die, freeze and
// restart.
//
// The holders' ledgers are sums. A holder's death charges its whole grant, as
// in prepaid/prepaid_record.h.

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "relay/remote_holds.h"
#include "relay/served_holds.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Tokens kWorst = 100;
// A holder's grant, unless a history draws a smaller one. The load spends about
// 10,000 tokens a second.
constexpr Tokens kGrant = 400000;
// A budget is this many grants, so that it may run out.
constexpr int kGrants = 8;
constexpr Duration kStep = milliseconds(10);
const CustomerName kCustomer("c");
const VmName kHolderVms[] = {VmName("h1"), VmName("h2")};

using Sender = std::function<void(const Incarnation&, PeerMessage)>;

// One run of a holder.
struct Holder {
  Holder(Incarnation name, Tokens granted, const Sender& send)
      : self(std::move(name)), grant(granted) {
    ServedHolds::Handlers on;
    on.has_budget = [](const CustomerName&) { return true; };
    on.hold = [this](const HoldWaiterPtr& it) {
      if (Allowance() < it->worst_case()) return it->OnHoldRefused(false);
      held += it->worst_case();
      it->OnHeld();
    };
    on.forget = [](const HoldWaiterPtr&) {};
    on.settle = [this](const CustomerName&, Tokens amount, Tokens cost) {
      held -= amount;
      spent += cost;
    };
    on.send = [this, send](const Incarnation& to, PeerMessage it) {
      it.from = self;
      send(to, it);
    };
    on.hold_in_advance = [this](const CustomerName&, Tokens asked,
                                Tokens given) {
      const Tokens out =
          scarce ? 0
                 : AdvanceToGive(AdvancePolicy(), asked, Allowance(), given);
      held += out;
      if (out > 0) ++advances;
      return out;
    };
    served = std::make_unique<ServedHolds>(on);
  }

  Tokens Allowance() const { return grant - held - spent; }

  void Receive(PeerMessage it) {
    // A build that doesn't know the field.
    if (old_build) it.advance = false;
    if (it.kind == PeerMessageKind::kHoldRequest) served->OnHoldWanted(it);
    if (it.kind == PeerMessageKind::kSettle) served->OnSettle(it);
  }

  Incarnation self;
  Tokens grant;
  Tokens held = 0;
  Tokens spent = 0;
  bool alive = true;
  bool frozen = false;
  bool scarce = false;
  bool old_build = false;
  int advances = 0;
  std::unique_ptr<ServedHolds> served;
};

// One run of a router without a grant.
struct Asker {
  explicit Asker(Incarnation name) : self(std::move(name)) {}

  Incarnation self;
  bool alive = true;
  Instant frozen_until{};
  // The holders as this router sees them; a death may not be noticed yet.
  std::map<VmName, Incarnation> links;
  std::unique_ptr<RemoteHolds> remote;
  // When each running request ends.
  std::map<RequestId, Instant> running;
  int requests = 0;
  int refused = 0;
};

struct World {
  explicit World(Tokens size_of_grant = kGrant)
      : grant_size(size_of_grant), pool(size_of_grant * kGrants) {
    for (int n = 0; n < 2; ++n) StartHolder(n);
    for (int n = 0; n < 2; ++n) StartAsker(n);
  }

  // --- Routers ---------------------------------------------------------------

  void StartHolder(int n) {
    const Incarnation self(kHolderVms[n].value + "@" + std::to_string(++runs));
    const Tokens grant = std::min(grant_size, pool);
    pool -= grant;
    holders.push_back(std::make_unique<Holder>(
        self, grant, [this](const Incarnation& to, const PeerMessage& it) {
          Send(to, it);
        }));
    current[n] = holders.back().get();
    for (const auto& it : askers) {
      if (it->alive) it->links.try_emplace(kHolderVms[n], self);
    }
  }

  // The whole grant is charged, and the rest of the budget is unaffected.
  void KillHolder(int n) { current[n]->alive = false; }

  // The router notices which holders have died, and links to the later ones.
  void NoticeHolders(Asker& asker) {
    for (int n = 0; n < 2; ++n) {
      Incarnation& link = asker.links[kHolderVms[n]];
      const Incarnation next =
          current[n]->alive ? current[n]->self : Incarnation();
      if (link == next) continue;
      const Incarnation lost = std::exchange(link, next);
      if (!lost.empty()) asker.remote->OnPeerLost(now, lost);
    }
  }

  void StartAsker(int n) {
    askers.push_back(std::make_unique<Asker>(
        Incarnation("a" + std::to_string(n) + "@" + std::to_string(++runs))));
    Asker* asker = askers.back().get();
    RemoteHolds::Handlers on;
    on.linked_incarnation = [asker](const VmName& vm) {
      return asker->links[vm];
    };
    on.send = [this, asker](const Incarnation& to, PeerMessage it) {
      it.from = asker->self;
      if (asker->links[VmOf(to)] == to) Send(to, it);
    };
    asker->remote = std::make_unique<RemoteHolds>(RemoteHolds::Options(), on);
    for (int it = 0; it < 2; ++it) {
      if (current[it]->alive) asker->links[kHolderVms[it]] = current[it]->self;
      current[it]->served->OnHello(asker->self);
    }
    asker_now[n] = asker;
  }

  // What its running requests spent is unknown; here it is the worst case.
  void KillAsker(int n) {
    Asker& it = *asker_now[n];
    it.alive = false;
    spent += static_cast<Tokens>(it.running.size()) * kWorst;
    it.running.clear();
  }

  // --- Messages --------------------------------------------------------------

  void Send(const Incarnation& to, const PeerMessage& it) {
    if (lose && lose(it)) return;
    sent.push_back(it);
    int copies = 1;
    // A plain hold request that is repeated after its refusal is held again and
    // stays held, which counts too much. Links repeat nothing.
    const bool plain = it.kind == PeerMessageKind::kHoldRequest && !it.advance;
    if (!plain && Chance(repeat_share)) copies = 2;
    if (Chance(lose_share)) copies = 0;
    for (int n = 0; n < copies; ++n) {
      const auto late = milliseconds(Chance(late_share) ? Draw(0, 3000) : 0);
      network.emplace(now + milliseconds(1) + late, std::make_pair(to, it));
    }
  }

  void Deliver() {
    std::vector<std::pair<Incarnation, PeerMessage>> due;
    const auto end = network.upper_bound(now);
    for (auto it = network.begin(); it != end; ++it) due.push_back(it->second);
    network.erase(network.begin(), end);
    for (const auto& [to, message] : due) DeliverOne(to, message);
  }

  void DeliverOne(const Incarnation& to, const PeerMessage& message) {
    for (const auto& it : holders) {
      if (it->self != to || !it->alive) continue;
      if (it->frozen) {
        network.emplace(now + kStep, std::make_pair(to, message));
      } else {
        it->Receive(message);
      }
    }
    for (const auto& it : askers) {
      if (it->self != to || !it->alive) continue;
      if (now < it->frozen_until) {
        network.emplace(it->frozen_until, std::make_pair(to, message));
      } else if (message.kind == PeerMessageKind::kHoldAnswer) {
        it->remote->OnAnswer(now, message);
      } else if (message.kind == PeerMessageKind::kSettled) {
        it->remote->OnAcknowledged(message);
      }
    }
  }

  // --- Time and load ---------------------------------------------------------

  void Request(Asker& asker) {
    const RequestId id("r" + std::to_string(++asker.requests));
    const auto run = [this, &asker, id] {
      asker.running[id] = now + milliseconds(Draw(20, 1500));
    };
    const std::vector<VmName> order = {kHolderVms[0], kHolderVms[1]};
    if (asker.remote->Draw(now, id, kCustomer, kWorst)) {
      run();
    } else {
      RemoteHolds::Request out;
      out.id = id;
      out.customer = kCustomer;
      out.amount = kWorst;
      out.holders = order;
      out.done = [&asker, run](PrepaidVerdict it) {
        if (it != PrepaidVerdict::kHeld) ++asker.refused;
        if (it == PrepaidVerdict::kHeld) run();
      };
      asker.remote->RequestHold(now, std::move(out));
    }
    asker.remote->AskInAdvance(now, kCustomer, order);
  }

  void EndRequests(Asker& asker) {
    std::vector<RequestId> ended;
    for (const auto& [id, at] : asker.running) {
      if (at <= now) ended.push_back(id);
    }
    for (const RequestId& id : ended) {
      asker.running.erase(id);
      const Tokens cost = Draw(0, kWorst);
      spent += cost;
      asker.remote->Settle(now, id, cost);
    }
  }

  // Runs for `time`, with a request of each router every 10 ms if `load`.
  void Run(Duration time, bool load) {
    for (Duration at{}; at < time; at += kStep) {
      now += kStep;
      Deliver();
      for (const auto& it : askers) {
        if (!it->alive || now < it->frozen_until) continue;
        if (load) Request(*it);
        EndRequests(*it);
        it->remote->CheckTimeouts(now);
      }
    }
  }

  // --- What is counted -------------------------------------------------------

  Tokens Counted() const {
    Tokens out = 0;
    for (const auto& it : holders) {
      out += it->alive ? it->held + it->spent : it->grant;
    }
    return out;
  }
  Tokens Held() const {
    Tokens out = 0;
    for (const auto& it : holders) out += it->alive ? it->held : 0;
    return out;
  }
  std::uint64_t Drawn() const {
    std::uint64_t out = 0;
    for (const auto& it : askers) out += it->remote->advances().drawn();
    return out;
  }

  int Draw(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  }
  bool Chance(double share) {
    return share > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  Instant now{std::chrono::hours(1)};
  std::mt19937 random{1};
  int runs = 0;
  Tokens grant_size;
  // What isn't granted.
  Tokens pool;
  Tokens spent = 0;
  std::vector<std::unique_ptr<Holder>> holders;
  std::vector<std::unique_ptr<Asker>> askers;
  Holder* current[2] = {};
  Asker* asker_now[2] = {};
  std::multimap<Instant, std::pair<Incarnation, PeerMessage>> network;
  std::function<bool(const PeerMessage&)> lose;
  std::vector<PeerMessage> sent;
  double lose_share = 0;
  double late_share = 0;
  double repeat_share = 0;
};

// A world in which both routers draw from advances.
struct Fixture : World {
  Fixture() {
    Run(seconds(1), true);
    BOOST_REQUIRE(Drawn() > 0U);
  }

  // Ends the load and lets everything be settled.
  void Settle() { Run(seconds(5), false); }
  std::uint64_t DrawnBy(int n) const {
    return asker_now[n]->remote->advances().drawn();
  }
};

BOOST_FIXTURE_TEST_CASE(MostRequestsNeedNoMessage, Fixture) {
  const std::uint64_t before = Drawn();
  Run(seconds(4), true);
  // 800 requests.
  BOOST_TEST(Drawn() - before > 600U);
  Settle();
  BOOST_TEST(Held() == 0);
  BOOST_TEST(Counted() == spent);
}

BOOST_FIXTURE_TEST_CASE(WhileTheBudgetIsScarceNothingIsGiven, Fixture) {
  for (Holder* it : current) it->scarce = true;
  Run(seconds(3), true);
  const std::uint64_t before = Drawn();
  Run(seconds(1), true);
  BOOST_TEST(Drawn() == before);
}

BOOST_FIXTURE_TEST_CASE(AKilledRoutersAdvancesAreChargedInFull, Fixture) {
  KillAsker(0);
  const Tokens before = Held();
  BOOST_TEST(before > 0);
  // What the router has sent arrives before its successor starts.
  Run(milliseconds(50), false);
  StartAsker(0);
  Settle();
  BOOST_TEST(Held() == 0);
  BOOST_TEST(Counted() >= spent);
}

// Guards against spending from an advance that was charged when the router's
// successor arrived.
BOOST_FIXTURE_TEST_CASE(AFrozenRouterWithASuccessorOverspendsNothing, Fixture) {
  Asker& frozen = *asker_now[0];
  frozen.frozen_until = now + seconds(10);
  StartAsker(0);
  Run(seconds(10), true);
  const std::uint64_t before = frozen.remote->advances().drawn();
  Request(frozen);
  BOOST_TEST(frozen.remote->advances().drawn() == before);
  Run(seconds(2), true);
  BOOST_TEST(Counted() >= spent);
  Settle();
  BOOST_TEST(Counted() >= spent);
}

BOOST_FIXTURE_TEST_CASE(AFreezeLosesNothing, Fixture) {
  asker_now[0]->frozen_until = now + seconds(10);
  Run(seconds(11), true);
  Settle();
  BOOST_TEST(Held() == 0);
  BOOST_TEST(Counted() == spent);
}

// Guards against drawing on from a holder whose death isn't noticed.
BOOST_FIXTURE_TEST_CASE(ADeadHoldersAdvancesEndWithinTheirLifetime, Fixture) {
  KillHolder(0);
  Run(AdvancePolicy().lifetime, true);
  const std::uint64_t before = Drawn();
  const int given = current[1]->advances;
  Run(milliseconds(50), true);
  // Only what the other holder has given is drawn from.
  BOOST_TEST((Drawn() == before || given > 0));
  BOOST_TEST(Counted() >= spent);
}

BOOST_FIXTURE_TEST_CASE(ANoticedDeathEndsTheDraws, Fixture) {
  KillHolder(0);
  StartHolder(0);
  for (const auto& it : askers) NoticeHolders(*it);
  const std::uint64_t before = Drawn();
  for (const auto& it : askers) Request(*it);
  BOOST_TEST(Drawn() == before);
  Settle();
  BOOST_TEST(Counted() >= spent);
  for (const auto& it : askers) BOOST_TEST(it->remote->Idle());
}

// The holder hears nothing of the routers, or they hear nothing of it.
BOOST_FIXTURE_TEST_CASE(ACutInEitherDirectionOverspendsNothing, Fixture) {
  for (const bool to_holder : {true, false}) {
    lose = [to_holder](const PeerMessage& it) {
      const bool from_asker = it.from.value.starts_with("a");
      return from_asker == to_holder;
    };
    Run(seconds(4), true);
    BOOST_TEST(Counted() >= spent);
    lose = nullptr;
    Run(seconds(2), true);
  }
  Settle();
  BOOST_TEST(Held() == 0);
  BOOST_TEST(Counted() == spent);
}

BOOST_FIXTURE_TEST_CASE(ALostAnswerLeavesNothingHeld, Fixture) {
  int lost = 0;
  lose = [&lost](const PeerMessage& it) {
    const bool advance =
        it.kind == PeerMessageKind::kHoldAnswer && it.amount > 0;
    if (advance) ++lost;
    return advance;
  };
  Run(seconds(3), true);
  BOOST_TEST(lost > 0);
  lose = nullptr;
  Settle();
  BOOST_TEST(Held() == 0);
  BOOST_TEST(Counted() == spent);
}

BOOST_FIXTURE_TEST_CASE(ALostSettlementIsSentAgain, Fixture) {
  int left = 20;
  lose = [&left](const PeerMessage& it) {
    return it.kind == PeerMessageKind::kSettle && left-- > 0;
  };
  Run(seconds(2), true);
  Settle();
  BOOST_TEST(left < 0);
  BOOST_TEST(Held() == 0);
  BOOST_TEST(Counted() == spent);
}

// A holder of an older build holds all that was asked for, and doesn't say so.
BOOST_AUTO_TEST_CASE(AnOlderHolderIsAskedOnce) {
  World it;
  for (Holder* holder : it.current) holder->old_build = true;
  it.Run(seconds(4), true);
  int asked = 0;
  for (const PeerMessage& message : it.sent) asked += message.advance ? 1 : 0;
  // Once by each router at each holder.
  BOOST_TEST(asked <= 4);
  BOOST_TEST(it.Drawn() > 0U);
  it.Run(seconds(5), false);
  BOOST_TEST(it.Held() == 0);
  BOOST_TEST(it.Counted() == it.spent);
}

// A holder that stops gets its advances back before it leaves.
BOOST_FIXTURE_TEST_CASE(AStoppingHolderTakesItsAdvancesBack, Fixture) {
  current[0]->served->Stop();
  Run(milliseconds(30), true);
  for (const auto& it : askers) it->running.clear();
  const int given = current[0]->advances;
  Run(seconds(2), true);
  BOOST_TEST(current[0]->advances == given);
  BOOST_TEST(current[1]->advances > 0);
}

BOOST_FIXTURE_TEST_CASE(AStoppingRouterSettlesFirst, Fixture) {
  RemoteHolds& remote = *asker_now[0]->remote;
  remote.StopAdvances();
  const std::uint64_t before = DrawnBy(0);
  remote.ReturnAdvances(now);
  Request(*asker_now[0]);
  BOOST_TEST(DrawnBy(0) == before);
  BOOST_TEST(!remote.Idle());
  Run(milliseconds(1600), false);
  BOOST_TEST(remote.Idle());
  BOOST_TEST(remote.advances().empty());
}

// An advance that arrives after the stop has begun is returned unused.
BOOST_FIXTURE_TEST_CASE(AnAdvanceGivenTooLateIsReturned, Fixture) {
  lose = [](const PeerMessage&) { return true; };
  Run(milliseconds(400), true);
  lose = nullptr;
  Asker& asker = *asker_now[0];
  while (!sent.back().advance) {
    now += kStep;
    Request(asker);
    if (asker.requests > 1000) break;
  }
  asker.remote->StopAdvances();
  asker.remote->ReturnAdvances(now);
  Run(milliseconds(1700), false);
  BOOST_TEST(asker.remote->advances().empty());
}

// Whatever happens, the holders count at least what was spent. Without deaths,
// they count exactly that once all is settled.
BOOST_AUTO_TEST_CASE(HoldersCountWhatWasSpent) {
  std::uint64_t drawn = 0;
  const bool ok = rc::check("holders count what was spent", [&drawn] {
    World it(*rc::gen::element<Tokens>(5000, 40000, kGrant));
    it.random.seed(*rc::gen::arbitrary<std::uint32_t>());
    const bool deaths = *rc::gen::arbitrary<bool>();
    it.lose_share = it.Chance(0.5) ? 0.1 : 0;
    it.late_share = it.Chance(0.5) ? 0.1 : 0;
    it.repeat_share = it.Chance(0.5) ? 0.1 : 0;
    for (int n = 0; n < 15; ++n) {
      it.Run(milliseconds(it.Draw(10, 400)), it.Chance(0.8));
      const int which = it.Draw(0, 1);
      switch (it.Draw(0, 9)) {
        case 0:
          if (!deaths) break;
          it.KillAsker(which);
          it.StartAsker(which);
          break;
        case 1:
          if (!deaths) break;
          it.KillHolder(which);
          it.StartHolder(which);
          break;
        case 2:
          it.asker_now[which]->frozen_until = it.now + seconds(10);
          // A frozen router may be given up, and wake up later.
          if (deaths && it.Chance(0.5)) it.StartAsker(which);
          break;
        case 3:
          it.current[which]->frozen = !it.current[which]->frozen;
          break;
        case 4:
          for (const auto& asker : it.askers) it.NoticeHolders(*asker);
          break;
        case 5:
          it.asker_now[which]->remote->ReturnAdvances(it.now);
          break;
        case 6:
          it.current[which]->scarce = !it.current[which]->scarce;
          break;
        default:
          break;
      }
      RC_ASSERT(it.Counted() >= it.spent);
      RC_ASSERT(it.spent <= it.grant_size * kGrants);
    }
    it.lose_share = it.late_share = it.repeat_share = 0;
    for (Holder* holder : it.current) holder->frozen = false;
    for (const auto& asker : it.askers) it.NoticeHolders(*asker);
    it.Run(seconds(13), false);
    RC_ASSERT(it.Counted() >= it.spent);
    if (!deaths) RC_ASSERT(it.Held() == 0);
    if (!deaths) RC_ASSERT(it.Counted() == it.spent);
    drawn += it.Drawn();
  });
  BOOST_TEST(ok);
  // The histories do use advances.
  BOOST_TEST(drawn > 1000U);
}

}  // namespace
}  // namespace quaytrack
