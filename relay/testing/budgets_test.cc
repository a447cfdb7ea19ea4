// A router's budgets with all their parts: requests that hold and wait, the
// store with and without answers, and peers that request and transfer grant.
// The loop and its timers are real; the clock can be stopped, so that time
// limits are tested to the millisecond on any machine. The store is a map, and
// peers are lists of messages.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "prepaid/prepaid_record.h"
#include "relay/budget_driver.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Tokens kLimit = 100000;
constexpr char kRecordKey[] = "quaytrack/prepaid";
const CustomerName kCustomer("clinic");
const Incarnation kSelf("vm1@1");
const Incarnation kPeer("vm2@1");
// Ends a test that hangs; nothing is expected to take so long.
constexpr Duration kTestTimeout = seconds(10);

// Follows the system clock until it is stopped; then only `Advance` moves it.
class TestClock final : public Clock {
 public:
  Instant Now() const override { return stopped_ ? at_ : SystemClock().Now(); }
  WallTime WallNow() const override { return SystemClock().WallNow(); }
  void Stop() {
    at_ = Now();
    stopped_ = true;
  }
  void Advance(Duration time) { at_ += time; }

 private:
  bool stopped_ = false;
  Instant at_{};
};

// How the store treats calls.
enum class StoreMode {
  kNormal,
  kSilent,       // accepts calls and never answers
  kLosesWrites,  // writes aren't applied, and end without an answer
  kAway,         // calls end without an answer
};

class FakeStore final : public KvStore {
 public:
  explicit FakeStore(Loop& loop) : loop_(loop) {}

  CallPtr Range(const std::string& prefix,
                std::function<void(const StoreSnapshot&)> done) override {
    ++reads;
    StoreSnapshot out;
    out.end = mode == StoreMode::kAway ? StoreEnd::kUnknown : StoreEnd::kDone;
    for (const auto& [key, item] : items) {
      if (key.starts_with(prefix)) out.items.push_back(item);
    }
    return Report(std::move(out), std::move(done));
  }

  CallPtr Write(const StoreWrite& write,
                std::function<void(const StoreWritten&)> done) override {
    ++writes;
    StoreWritten out;
    if (mode == StoreMode::kNormal) out = Apply(write);
    return Report(std::move(out), std::move(done));
  }

  CallPtr Wait(const std::string&, StoreRevision, Duration,
               std::function<void(const StoreChanges&)>) override {
    return nullptr;
  }
  std::uint64_t calls() const override { return reads + writes; }

  void Put(const std::string& key, const std::string& value) {
    items[key] = {key, value, ++revision};
  }

  StoreMode mode = StoreMode::kNormal;
  std::map<std::string, StoreItem> items;
  std::int64_t revision = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

 private:
  struct FakeCall : Call {
    std::shared_ptr<bool> live = std::make_shared<bool>(true);
    ~FakeCall() override { *live = false; }
  };

  template <class Result>
  CallPtr Report(Result result, std::function<void(const Result&)> done) {
    auto out = std::make_unique<FakeCall>();
    if (mode == StoreMode::kSilent) return out;
    loop_.Post(
        [result = std::move(result), done = std::move(done), live = out->live] {
          if (*live) done(result);
        });
    return out;
  }

  StoreWritten Apply(const StoreWrite& write) {
    StoreWritten out;
    out.end = StoreEnd::kDone;
    for (const StoreCondition& it : write.conditions) {
      const auto found = items.find(it.key);
      const StoreRevision at =
          found == items.end() ? StoreRevision() : found->second.revision;
      if (at != it.revision) out.end = StoreEnd::kRejected;
      out.present.push_back(found == items.end() ? StoreItem{it.key, "", 0}
                                                 : found->second);
    }
    if (out.end == StoreEnd::kRejected) return out;
    out.present.clear();
    out.revision = ++revision;
    for (const StoreItem& it : write.puts) {
      items[it.key] = {it.key, it.value, revision};
    }
    for (const std::string& it : write.removes) items.erase(it);
    return out;
  }

  Loop& loop_;
};

struct Waiter final : HoldWaiter {
  Waiter(std::string name, Tokens worst, std::vector<std::string>& order)
      : id_(std::move(name)), worst_(worst), order_(order) {}
  const RequestId& id() const override { return id_; }
  const CustomerName& customer() const override { return kCustomer; }
  Tokens worst_case() const override { return worst_; }
  void OnHeld() override {
    ++held;
    order_.push_back(id_.value);
  }
  void OnHoldRefused(bool exhausted) override {
    ++refused;
    was_exhausted = exhausted;
    order_.push_back(id_.value);
  }
  int answers() const { return held + refused; }

  RequestId id_;
  Tokens worst_;
  std::vector<std::string>& order_;
  int held = 0;
  int refused = 0;
  bool was_exhausted = false;
};
using WaiterPtr = std::shared_ptr<Waiter>;

struct Sent {
  Incarnation to;
  PeerMessage message;
};

struct Fixture {
  Fixture() : Fixture(FleetOptions()) {}
  explicit Fixture(FleetOptions options, bool knows_fleet = true)
      : fleet({VmName("vm1"), HallName("a"), "h:1"}, options),
        budgets(loop, clock, store, fleet, {kSelf, "boot", clock.Now()},
                PrepaidPolicy()) {
    BudgetDriver::Handlers on;
    on.broadcast = [this](const PeerMessage& it) {
      broadcasts.push_back({{}, it});
    };
    on.send = [this](const Incarnation& to, const PeerMessage& it) {
      unicasts.push_back({to, it});
    };
    on.linked = [this](const VmName& vm) {
      return Incarnation(linked ? vm.value + "@1" : "");
    };
    on.store_reachable = [this](bool it) { reachable.push_back(it); };
    budgets.SetHandlers(on);
    if (knows_fleet) fleet.MarkRead();
    PrepaidRecord record;
    record.members.insert(kPeer);
    store.Put(kRecordKey, EncodePrepaid(record));
  }

  void Configure(std::uint64_t version = 1, Tokens limit = kLimit) {
    CustomerRule rule;
    rule.name = kCustomer;
    rule.prepaid = limit;
    budgets.SetConfig(ServiceMap(version, {}, {}, {{rule}}, {}));
  }

  // Starts, and waits until this router has its share of the budget.
  void Join() {
    Configure();
    budgets.Start();
    budgets.JoinIfHolder();
    BOOST_REQUIRE(RunUntil([&] { return Allowance() > 0; }));
  }

  // The same, and then stops the clock.
  void JoinAndStopClock(StoreMode mode = StoreMode::kSilent) {
    Join();
    store.mode = mode;
    clock.Stop();
    // Past the minimum time between two writes.
    clock.Advance(PrepaidPolicy().urgent_spacing);
  }

  bool RunUntil(const std::function<bool()>& done,
                Duration max_time = kTestTimeout) {
    const auto watch = loop.Every(milliseconds(1), [&] {
      if (done()) loop.Stop();
    });
    const auto end = loop.After(max_time, [&] { loop.Stop(); });
    if (!done()) loop.Run();
    return done();
  }
  // Runs each timer a few times, to show that something doesn't happen.
  void RunSome() {
    RunUntil([] { return false; }, milliseconds(50));
  }
  bool Answered(const Waiter& it) {
    return RunUntil([&] { return it.answers() > 0; });
  }

  WaiterPtr Make(const std::string& name, Tokens worst) {
    return std::make_shared<Waiter>(name, worst, order);
  }
  Tokens Allowance() const {
    return budgets.ledger().Allowance(clock.Now(), kCustomer);
  }
  PrepaidRecord Record() const {
    return *DecodePrepaid(store.items.at(kRecordKey).value);
  }
  // The tokens that this router has reported as spent, in its account and in
  // the record.
  Tokens Reported() {
    Tokens out = Record().customers[kCustomer].settled;
    const auto it = store.items.find("quaytrack/spend/" + kSelf.value);
    if (it == store.items.end()) return out;
    return out + DecodeSpend(it->second.value)->customers[kCustomer].spent;
  }
  std::vector<Sent> UnicastsOf(PeerMessageKind kind) const {
    std::vector<Sent> out;
    for (const Sent& it : unicasts) {
      if (it.message.kind == kind) out.push_back(it);
    }
    return out;
  }

  static PeerMessage Message(PeerMessageKind kind, Tokens amount,
                             const std::string& request = "") {
    PeerMessage out;
    out.kind = kind;
    out.from = kPeer;
    out.customer = kCustomer;
    out.amount = amount;
    out.request = RequestId(request);
    return out;
  }

  Loop loop;
  TestClock clock;
  FakeStore store{loop};
  FleetDirectory fleet;
  bool linked = true;
  std::vector<std::string> order;
  std::vector<Sent> broadcasts;
  std::vector<Sent> unicasts;
  std::vector<bool> reachable;
  BudgetDriver budgets;
};

// --- Holds and costs ---------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(AHoldIsCountedOnceAndSettledAtItsCost, Fixture) {
  JoinAndStopClock();
  const Tokens before = Allowance();
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kHeld));
  BOOST_TEST(Allowance() == before - 1000);
  budgets.Settle(*it, 400);
  BOOST_TEST(Allowance() == before - 400);
  // `Hold` returned the answer; it isn't repeated through the callbacks.
  RunSome();
  BOOST_TEST(it->answers() == 0);
}

BOOST_FIXTURE_TEST_CASE(TheStoreIsToldWhatWasSpent, Fixture) {
  JoinAndStopClock(StoreMode::kNormal);
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kHeld));
  budgets.Settle(*it, 400);
  clock.Advance(PrepaidPolicy().report_every);
  BOOST_TEST(RunUntil([&] { return Reported() != 0; }));
  BOOST_TEST(Reported() == 400);
}

BOOST_FIXTURE_TEST_CASE(ACustomerWithoutABudgetIsNotLimited, Fixture) {
  Configure(1, -1);
  BOOST_TEST((budgets.Hold(Make("r", kLimit)) == PrepaidVerdict::kHeld));
}

BOOST_FIXTURE_TEST_CASE(WhatTheBudgetCantHoldIsRefusedAtOnce, Fixture) {
  Join();
  BOOST_TEST((budgets.Hold(Make("r", kLimit)) == PrepaidVerdict::kExhausted));
  RunSome();
  BOOST_TEST(broadcasts.empty());
}

BOOST_FIXTURE_TEST_CASE(WhatTheBudgetCantHoldDoesntQueue, Fixture) {
  JoinAndStopClock();
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(
      (budgets.Hold(Make("huge", kLimit)) == PrepaidVerdict::kExhausted));
  RunSome();
  BOOST_TEST(it->answers() == 0);
}

// The refusal doesn't wait for the requests before it.
BOOST_FIXTURE_TEST_CASE(ALoweredLimitRefusesWhatItCantHoldInTheQueue, Fixture) {
  JoinAndStopClock();
  const WaiterPtr first = Make("first", 40000);
  const WaiterPtr large = Make("large", 50000);
  const WaiterPtr last = Make("last", 30000);
  for (const WaiterPtr& it : {first, large, last}) {
    BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  }
  Configure(2, 45000);
  BOOST_TEST(Answered(*large));
  BOOST_TEST(large->refused == 1);
  BOOST_TEST(large->was_exhausted);
  RunSome();
  BOOST_TEST(first->answers() == 0);
  BOOST_TEST(last->answers() == 0);
}

// --- Waiting -----------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(AWaitingRequestIsHeldOnceTheStoreGrantsMore, Fixture) {
  JoinAndStopClock(StoreMode::kNormal);
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->held == 1);
  clock.Advance(seconds(1));
  RunSome();
  BOOST_TEST(it->answers() == 1);
  BOOST_TEST(broadcasts.empty());
}

BOOST_FIXTURE_TEST_CASE(ASmallRequestDoesntOvertakeOneThatWaits, Fixture) {
  JoinAndStopClock();
  const WaiterPtr large = Make("large", 40000);
  const WaiterPtr small = Make("small", 1);
  BOOST_TEST((budgets.Hold(large) == PrepaidVerdict::kShort));
  BOOST_TEST((budgets.Hold(small) == PrepaidVerdict::kShort));
  RunSome();
  BOOST_TEST(order.empty());
  // A peer's transfer serves both, in their order.
  budgets.OnPeer(Message(PeerMessageKind::kTransfer, 40000));
  BOOST_TEST(RunUntil([&] { return order.size() == 2; }));
  const std::vector<std::string> expected = {"large", "small"};
  BOOST_TEST(order == expected);
  BOOST_TEST(large->held == 1);
  BOOST_TEST(small->held == 1);
}

BOOST_FIXTURE_TEST_CASE(AWaitEndsAfterItsPatience, Fixture) {
  JoinAndStopClock();
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(159));
  RunSome();
  BOOST_TEST(it->answers() == 0);
  clock.Advance(milliseconds(1));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->refused == 1);
  BOOST_TEST(!it->was_exhausted);
  clock.Advance(seconds(1));
  RunSome();
  BOOST_TEST(it->answers() == 1);
}

// The first request is for half of what peers don't use and includes something
// to spare; the second is for all of it.
BOOST_FIXTURE_TEST_CASE(PeersAreAskedTwiceForOneThatWaits, Fixture) {
  JoinAndStopClock();
  const Tokens allowance = Allowance();
  const WaiterPtr it = Make("r", 20000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(24));
  RunSome();
  BOOST_TEST(broadcasts.size() == 0U);
  clock.Advance(milliseconds(1));
  BOOST_REQUIRE(RunUntil([&] { return broadcasts.size() == 1U; }));
  clock.Advance(milliseconds(44));
  RunSome();
  BOOST_TEST(broadcasts.size() == 1U);
  clock.Advance(milliseconds(1));
  BOOST_REQUIRE(RunUntil([&] { return broadcasts.size() == 2U; }));
  clock.Advance(milliseconds(89));
  RunSome();
  BOOST_REQUIRE(broadcasts.size() == 2U);
  for (const Sent& sent : broadcasts) {
    BOOST_TEST((sent.message.kind == PeerMessageKind::kTransferRequest));
    BOOST_TEST(sent.message.from.value == kSelf.value);
    BOOST_TEST(sent.message.customer.value == kCustomer.value);
  }
  BOOST_TEST(!broadcasts[0].message.all);
  BOOST_TEST(broadcasts[0].message.amount == 20000 + 30000 - allowance);
  BOOST_TEST(broadcasts[1].message.all);
  BOOST_TEST(broadcasts[1].message.amount == 20000 - allowance);
}

// The amount requested beyond what waits is what was held in the last second,
// if that is more than 30,000 tokens.
BOOST_FIXTURE_TEST_CASE(PeersAreAskedForWhatWasHeldLately, Fixture) {
  JoinAndStopClock();
  const Tokens allowance = Allowance();
  const WaiterPtr it = Make("r", 60000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(25));
  BOOST_REQUIRE(RunUntil([&] { return !broadcasts.empty(); }));
  const Tokens spare = broadcasts[0].message.amount - 60000 + allowance;
  BOOST_TEST(spare > 58000);
  BOOST_TEST(spare < 60000);
}

BOOST_FIXTURE_TEST_CASE(PeersAreAskedAtOnceWhileTheStoreIsAway, Fixture) {
  JoinAndStopClock(StoreMode::kAway);
  // A first cost makes a write due, and its end shows that the store is lost.
  const WaiterPtr first = Make("first", 1000);
  BOOST_TEST((budgets.Hold(first) == PrepaidVerdict::kHeld));
  budgets.Settle(*first, 1000);
  clock.Advance(PrepaidPolicy().report_every);
  BOOST_TEST(RunUntil([&] { return !reachable.empty(); }));
  const std::vector<bool> lost = {false};
  BOOST_TEST(reachable == lost);
  const WaiterPtr it = Make("r", 60000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(RunUntil([&] { return !broadcasts.empty(); }));
}

// --- Nothing can arrive ------------------------------------------------------

// A router that has lost the store, and whose peers have given nothing for a
// request of 40,000 tokens, which waited its full time.
struct DeclinedFixture : Fixture {
  DeclinedFixture() {
    JoinAndStopClock(StoreMode::kAway);
    const WaiterPtr first = Make("first", 1000);
    BOOST_REQUIRE((budgets.Hold(first) == PrepaidVerdict::kHeld));
    budgets.Settle(*first, 1000);
    clock.Advance(PrepaidPolicy().report_every);
    BOOST_REQUIRE(RunUntil([&] { return !reachable.empty(); }));
    WaitInVain("declined");
  }

  void WaitInVain(const std::string& name) {
    const std::size_t asked = broadcasts.size();
    const WaiterPtr it = Make(name, 40000);
    BOOST_REQUIRE((budgets.Hold(it) == PrepaidVerdict::kShort));
    BOOST_REQUIRE(RunUntil([&] { return broadcasts.size() == asked + 1; }));
    clock.Advance(milliseconds(70));
    BOOST_REQUIRE(RunUntil([&] { return broadcasts.size() == asked + 2; }));
    clock.Advance(milliseconds(90));
    BOOST_REQUIRE(Answered(*it));
    BOOST_REQUIRE(it->refused == 1);
  }

  // Holds a request, which waits as a probe.
  WaiterPtr Probe() {
    WaiterPtr out = Make("probe", 40000);
    BOOST_REQUIRE((budgets.Hold(out) == PrepaidVerdict::kShort));
    RunSome();
    BOOST_REQUIRE(out->answers() == 0);
    return out;
  }

  bool IsRefusedAtOnce(Tokens amount) {
    const WaiterPtr it = Make("r", amount);
    BOOST_REQUIRE((budgets.Hold(it) == PrepaidVerdict::kShort));
    RunSome();
    const bool refused = it->refused == 1;
    if (!refused) budgets.Forget(it);
    return refused;
  }
};

BOOST_FIXTURE_TEST_CASE(WhatCantArriveIsRefusedAtOnce, DeclinedFixture) {
  const WaiterPtr probe = Probe();
  BOOST_TEST(IsRefusedAtOnce(40000));
  BOOST_TEST(IsRefusedAtOnce(50000));
  BOOST_TEST(budgets.refused_at_once() == 2U);
  BOOST_TEST(probe->answers() == 0);
}

// The probe asks the peers again, and what it learns is as good as before.
BOOST_FIXTURE_TEST_CASE(AProbeRenewsWhatIsKnown, DeclinedFixture) {
  WaitInVain("next");
  const WaiterPtr probe = Probe();
  BOOST_TEST(IsRefusedAtOnce(40000));
}

// Peers may have enough for a smaller request.
BOOST_FIXTURE_TEST_CASE(ASmallerRequestWaits, DeclinedFixture) {
  const WaiterPtr probe = Probe();
  BOOST_TEST(!IsRefusedAtOnce(39999));
}

BOOST_FIXTURE_TEST_CASE(ATransferEndsTheRefusals, DeclinedFixture) {
  const WaiterPtr probe = Probe();
  budgets.OnPeer(Message(PeerMessageKind::kTransfer, 1));
  BOOST_TEST(!IsRefusedAtOnce(40000));
}

BOOST_FIXTURE_TEST_CASE(OldKnowledgeRefusesNothing, DeclinedFixture) {
  clock.Advance(milliseconds(250));
  const WaiterPtr probe = Probe();
  BOOST_TEST(!IsRefusedAtOnce(40000));
}

// The router was busy, and asked the peers for all only just before the end.
BOOST_FIXTURE_TEST_CASE(PeersThatWereAskedLateHaveDeclinedNothing,
                        DeclinedFixture) {
  clock.Advance(milliseconds(250));
  const std::size_t asked = broadcasts.size();
  const WaiterPtr it = Make("late", 40000);
  BOOST_REQUIRE((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_REQUIRE(RunUntil([&] { return broadcasts.size() == asked + 1; }));
  clock.Advance(milliseconds(150));
  BOOST_REQUIRE(RunUntil([&] { return broadcasts.size() == asked + 2; }));
  clock.Advance(milliseconds(10));
  BOOST_REQUIRE(Answered(*it));
  const WaiterPtr probe = Probe();
  BOOST_TEST(!IsRefusedAtOnce(40000));
}

// Guards against refusals while a hold may still be returned in time.
BOOST_FIXTURE_TEST_CASE(AHoldThatMayReturnIsWaitedFor, DeclinedFixture) {
  // Gives this router 40,000 tokens, nearly all of them held.
  const WaiterPtr probe = Probe();
  budgets.OnPeer(Message(PeerMessageKind::kTransfer, 40000));
  BOOST_REQUIRE(Answered(*probe));
  BOOST_REQUIRE(probe->held == 1);
  const WaiterPtr again = Make("again", 40000);
  BOOST_REQUIRE((budgets.Hold(again) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(70));
  RunSome();
  clock.Advance(milliseconds(90));
  BOOST_REQUIRE(Answered(*again));
  const WaiterPtr next = Probe();
  BOOST_TEST(!IsRefusedAtOnce(40000));
  budgets.Settle(*probe, 0);
  BOOST_TEST(Answered(*next));
  BOOST_TEST(next->held == 1);
}

BOOST_FIXTURE_TEST_CASE(AForgottenRequestIsNotAnswered, Fixture) {
  JoinAndStopClock();
  const WaiterPtr it = Make("r", 40000);
  const WaiterPtr next = Make("next", 1);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST((budgets.Hold(next) == PrepaidVerdict::kShort));
  const Tokens before = Allowance();
  budgets.Forget(it);
  budgets.OnPeer(Message(PeerMessageKind::kTransfer, 1));
  BOOST_TEST(Answered(*next));
  BOOST_TEST(next->held == 1);
  clock.Advance(seconds(1));
  RunSome();
  BOOST_TEST(it->answers() == 0);
  // The peer's token went to the other request.
  BOOST_TEST(Allowance() == before);
}

// No other event could serve the next request.
BOOST_FIXTURE_TEST_CASE(WhoLeavesTheQueueLetsTheNextBeHeld, Fixture) {
  JoinAndStopClock();
  const WaiterPtr large = Make("large", 40000);
  const WaiterPtr small = Make("small", 1);
  BOOST_TEST((budgets.Hold(large) == PrepaidVerdict::kShort));
  BOOST_TEST((budgets.Hold(small) == PrepaidVerdict::kShort));
  budgets.Forget(large);
  BOOST_TEST(Answered(*small));
  BOOST_TEST(small->held == 1);
  RunSome();
  BOOST_TEST(large->answers() == 0);
}

BOOST_FIXTURE_TEST_CASE(WhoIsRefusedLetsTheNextBeHeld, Fixture) {
  JoinAndStopClock();
  const WaiterPtr large = Make("large", 40000);
  BOOST_TEST((budgets.Hold(large) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(100));
  const WaiterPtr small = Make("small", 1);
  BOOST_TEST((budgets.Hold(small) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(60));
  BOOST_TEST(Answered(*small));
  BOOST_TEST(large->refused == 1);
  BOOST_TEST(small->held == 1);
}

// A settled hold makes room for the next one.
BOOST_FIXTURE_TEST_CASE(ASettledHoldServesWhoWaits, Fixture) {
  JoinAndStopClock();
  const WaiterPtr first = Make("first", Allowance());
  BOOST_TEST((budgets.Hold(first) == PrepaidVerdict::kHeld));
  const WaiterPtr next = Make("next", 500);
  BOOST_TEST((budgets.Hold(next) == PrepaidVerdict::kShort));
  budgets.Settle(*first, 0);
  BOOST_TEST(Answered(*next));
  BOOST_TEST(next->held == 1);
}

// --- The store ---------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(AWriteWithoutAnAnswerGrantsNothing, Fixture) {
  JoinAndStopClock(StoreMode::kLosesWrites);
  const Tokens before = Allowance();
  const std::uint64_t writes = store.writes;
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(RunUntil([&] { return !reachable.empty(); }));
  BOOST_TEST(store.writes > writes);
  BOOST_TEST(Allowance() == before);
  clock.Advance(milliseconds(160));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->refused == 1);
  BOOST_TEST(it->held == 0);
}

// Guards against a read for each change that another router makes to the
// record, which would double the calls.
BOOST_FIXTURE_TEST_CASE(ARejectedWriteUsesTheRecordThatItWasShown, Fixture) {
  JoinAndStopClock(StoreMode::kNormal);
  PrepaidRecord record = Record();
  record.members.insert(Incarnation("vm3@1"));
  store.Put(kRecordKey, EncodePrepaid(record));
  const std::uint64_t reads = store.reads;
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->held == 1);
  BOOST_TEST(store.reads == reads);
  BOOST_TEST(Record().members.size() == 3U);
}

// Another writer's change of this router's account can't be trusted without a
// read.
BOOST_FIXTURE_TEST_CASE(AnAccountThatHasChangedIsRead, Fixture) {
  JoinAndStopClock(StoreMode::kNormal);
  const std::string key = "quaytrack/spend/" + kSelf.value;
  store.Put(key, store.items.at(key).value);
  const std::uint64_t reads = store.reads;
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->held == 1);
  BOOST_TEST(store.reads > reads);
}

BOOST_FIXTURE_TEST_CASE(ARecordThatCantBeReadIsNotReplaced, Fixture) {
  store.Put(kRecordKey, "not a record");
  Configure();
  budgets.Start();
  budgets.JoinIfHolder();
  RunSome();
  BOOST_TEST(store.reads > 0U);
  BOOST_TEST(store.writes == 0U);
  BOOST_TEST(store.items.at(kRecordKey).value == "not a record");
  BOOST_TEST(Allowance() == 0);
}

BOOST_FIXTURE_TEST_CASE(ALeavingRouterReturnsItsGrant, Fixture) {
  Join();
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kHeld));
  budgets.Settle(*it, 400);
  budgets.StartLeaving();
  BOOST_TEST(RunUntil([&] { return budgets.ledger().HasLeft(); }));
  PrepaidRecord record = Record();
  BOOST_TEST(!record.members.contains(kSelf));
  BOOST_TEST(record.customers[kCustomer].settled == 400);
  BOOST_TEST(record.customers[kCustomer].Outstanding() == 0);
}

// Neither the store nor peers grant anything to a router that was replaced.
BOOST_FIXTURE_TEST_CASE(AReplacedRouterLetsNothingWait, Fixture) {
  JoinAndStopClock(StoreMode::kNormal);
  store.items.erase("quaytrack/spend/" + kSelf.value);
  PrepaidRecord record = Record();
  record.members.erase(kSelf);
  store.Put(kRecordKey, EncodePrepaid(record));
  // The router's write is rejected, and a read shows why.
  const WaiterPtr first = Make("first", 40000);
  BOOST_TEST((budgets.Hold(first) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*first));
  BOOST_TEST(budgets.ledger().Fenced());
  BOOST_TEST(first->refused == 1);
  BOOST_TEST(!first->was_exhausted);
  const WaiterPtr next = Make("next", 1);
  BOOST_TEST((budgets.Hold(next) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*next));
  BOOST_TEST(next->refused == 1);
}

BOOST_FIXTURE_TEST_CASE(ARouterThatHasLeftLetsNothingWait, Fixture) {
  Join();
  budgets.StartLeaving();
  BOOST_REQUIRE(RunUntil([&] { return budgets.ledger().HasLeft(); }));
  clock.Stop();
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->refused == 1);
  BOOST_TEST(!it->was_exhausted);
}

// --- Peers -------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(AnAskIsGivenOnceAndTakenOff, Fixture) {
  JoinAndStopClock();
  const Tokens before = Allowance();
  PeerMessage from_peer = Message(PeerMessageKind::kTransferRequest, 1000);
  from_peer.all = true;
  budgets.OnPeer(from_peer);
  const auto transfers = UnicastsOf(PeerMessageKind::kTransfer);
  BOOST_REQUIRE(transfers.size() == 1U);
  BOOST_TEST(transfers[0].to.value == kPeer.value);
  BOOST_TEST(transfers[0].message.amount == 1000);
  BOOST_TEST(Allowance() == before - 1000);
  // The message holds the running total of all transfers.
  budgets.OnPeer(from_peer);
  BOOST_TEST(UnicastsOf(PeerMessageKind::kTransfer).back().message.amount ==
             2000);
  BOOST_TEST(Allowance() == before - 2000);
}

BOOST_FIXTURE_TEST_CASE(AnAskForSomeLeavesHalf, Fixture) {
  JoinAndStopClock();
  const Tokens before = Allowance();
  budgets.OnPeer(Message(PeerMessageKind::kTransferRequest, kLimit));
  const auto transfers = UnicastsOf(PeerMessageKind::kTransfer);
  BOOST_REQUIRE(transfers.size() == 1U);
  BOOST_TEST(transfers[0].message.amount == before / 2);
}

BOOST_FIXTURE_TEST_CASE(AMoveThatComesTwiceCountsOnce, Fixture) {
  JoinAndStopClock();
  const Tokens before = Allowance();
  budgets.OnPeer(Message(PeerMessageKind::kTransfer, 700));
  budgets.OnPeer(Message(PeerMessageKind::kTransfer, 700));
  BOOST_TEST(Allowance() == before + 700);
}

BOOST_FIXTURE_TEST_CASE(APeersHoldIsKeptUntilItsCostIsTold, Fixture) {
  JoinAndStopClock();
  const Tokens before = Allowance();
  budgets.OnPeer(Message(PeerMessageKind::kHoldRequest, 1000, "r"));
  budgets.OnPeer(Message(PeerMessageKind::kHoldRequest, 1000, "r"));
  const auto answers = UnicastsOf(PeerMessageKind::kHoldAnswer);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].message.answer == HoldAnswer::kHeld));
  BOOST_TEST(answers[0].message.from.value == kSelf.value);
  BOOST_TEST(Allowance() == before - 1000);
  budgets.OnPeer(Message(PeerMessageKind::kSettle, 300, "r"));
  budgets.OnPeer(Message(PeerMessageKind::kSettle, 300, "r"));
  BOOST_TEST(UnicastsOf(PeerMessageKind::kSettled).size() == 2U);
  BOOST_TEST(Allowance() == before - 300);
}

BOOST_FIXTURE_TEST_CASE(APeersHoldWaitsLikeAnyOther, Fixture) {
  JoinAndStopClock();
  budgets.OnPeer(Message(PeerMessageKind::kHoldRequest, 40000, "r"));
  BOOST_TEST(UnicastsOf(PeerMessageKind::kHoldAnswer).empty());
  clock.Advance(milliseconds(160));
  const auto answered = [&] {
    return !UnicastsOf(PeerMessageKind::kHoldAnswer).empty();
  };
  BOOST_REQUIRE(RunUntil(answered));
  const auto answers = UnicastsOf(PeerMessageKind::kHoldAnswer);
  BOOST_TEST((answers[0].message.answer == HoldAnswer::kShort));
}

// The holder's configuration is older or newer than the requester's. It
// wouldn't count what it held for the requester.
BOOST_FIXTURE_TEST_CASE(AHolderThatDoesntKnowTheBudgetHoldsNothing, Fixture) {
  JoinAndStopClock();
  PeerMessage from_peer = Message(PeerMessageKind::kHoldRequest, 1000, "r");
  from_peer.customer = CustomerName("newcomer");
  budgets.OnPeer(from_peer);
  const auto answers = UnicastsOf(PeerMessageKind::kHoldAnswer);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].message.answer == HoldAnswer::kNotHolder));
}

BOOST_FIXTURE_TEST_CASE(AStoppingRouterSendsAskersToOtherHolders, Fixture) {
  Join();
  budgets.StopServing();
  budgets.OnPeer(Message(PeerMessageKind::kHoldRequest, 1000, "r"));
  const auto answers = UnicastsOf(PeerMessageKind::kHoldAnswer);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].message.answer == HoldAnswer::kNotHolder));
}

// A router that keeps no grants; `holder` keeps some.
struct RequesterFixture : Fixture {
  RequesterFixture() : Fixture(OneHolder()) {
    std::vector<FleetMember> members;
    for (const char* it : {"vm2", "vm3", "vm4", "vm5"}) {
      members.push_back({VmName(it), HallName("a"), "h:2"});
    }
    fleet.Put(members);
    BOOST_REQUIRE(!fleet.IsHolder(VmName("vm1")));
    holder = Incarnation(fleet.HoldersFor(kCustomer).at(0).value + "@1");
    Configure();
    budgets.Start();
  }
  static FleetOptions OneHolder() {
    FleetOptions out;
    out.small_fleet = 0;
    out.holders_per_hall = 1;
    return out;
  }
  PeerMessage FromHolder(PeerMessageKind kind, HoldAnswer answer) const {
    PeerMessage out = Message(kind, 0, "r");
    out.from = holder;
    out.answer = answer;
    return out;
  }

  Incarnation holder;
};

BOOST_FIXTURE_TEST_CASE(WithoutAGrantAHolderIsAskedAndTold, RequesterFixture) {
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  const auto requests = UnicastsOf(PeerMessageKind::kHoldRequest);
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].to.value == holder.value);
  BOOST_TEST(requests[0].message.amount == 1000);
  budgets.OnPeer(FromHolder(PeerMessageKind::kHoldAnswer, HoldAnswer::kHeld));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->held == 1);
  budgets.Settle(*it, 400);
  const auto costs = UnicastsOf(PeerMessageKind::kSettle);
  BOOST_REQUIRE(costs.size() == 1U);
  BOOST_TEST(costs[0].message.amount == 400);
  // The cost is sent until the holder acknowledges it.
  BOOST_TEST(RunUntil(
      [&] { return UnicastsOf(PeerMessageKind::kSettle).size() > 1; }));
  BOOST_TEST(store.writes == 0U);
}

// A router of a large fleet that has just started and already gets requests.
// --- Holds in advance --------------------------------------------------------

PeerMessage AdvanceRequest(const std::string& id, Tokens amount) {
  PeerMessage out;
  out.kind = PeerMessageKind::kHoldRequest;
  out.from = kPeer;
  out.customer = kCustomer;
  out.request = RequestId(id);
  out.amount = amount;
  out.advance = true;
  return out;
}

// A holder with a grant, and the answers that it gave.
struct HolderFixture : Fixture {
  HolderFixture() { JoinAndStopClock(); }
  PeerMessage LastAnswer() const {
    const auto answers = UnicastsOf(PeerMessageKind::kHoldAnswer);
    return answers.empty() ? PeerMessage() : answers.back().message;
  }
};

BOOST_FIXTURE_TEST_CASE(AnAdvanceIsHeldUntilItIsSettled, HolderFixture) {
  const Tokens before = Allowance();
  const Tokens asked = before / 16;
  budgets.OnPeer(AdvanceRequest("a", asked));
  BOOST_TEST((LastAnswer().answer == HoldAnswer::kHeld));
  BOOST_TEST(LastAnswer().amount == asked);
  BOOST_TEST(Allowance() == before - asked);
  BOOST_TEST(budgets.AdvancesGiven() == asked);
  // A second copy holds nothing more.
  budgets.OnPeer(AdvanceRequest("a", asked));
  BOOST_TEST(Allowance() == before - asked);
  budgets.OnPeer(Message(PeerMessageKind::kSettle, 70, "a"));
  BOOST_TEST(Allowance() == before - 70);
  BOOST_TEST(budgets.AdvancesGiven() == 0);
}

BOOST_FIXTURE_TEST_CASE(AnAdvanceIsASmallPartOfTheGrant, HolderFixture) {
  const Tokens before = Allowance();
  budgets.OnPeer(AdvanceRequest("a", before / 4));
  BOOST_TEST(LastAnswer().amount == before / 8);
  budgets.OnPeer(AdvanceRequest("b", before));
  BOOST_TEST((LastAnswer().answer == HoldAnswer::kShort));
}

// Nor is the store or a peer asked for it.
BOOST_FIXTURE_TEST_CASE(AnAdvanceDoesntGoBeforeOneThatWaits, HolderFixture) {
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  const Tokens before = Allowance();
  budgets.OnPeer(AdvanceRequest("a", 100));
  BOOST_TEST((LastAnswer().answer == HoldAnswer::kShort));
  BOOST_TEST(Allowance() == before);
}

BOOST_FIXTURE_TEST_CASE(AnAdvanceAsksNobody, HolderFixture) {
  const std::uint64_t writes = store.writes;
  const std::uint64_t reads = store.reads;
  budgets.OnPeer(AdvanceRequest("a", kLimit));
  BOOST_TEST((LastAnswer().answer == HoldAnswer::kShort));
  RunSome();
  BOOST_TEST(broadcasts.empty());
  BOOST_TEST(store.writes == writes);
  BOOST_TEST(store.reads == reads);
}

// A refused advance whose request arrives twice is held by nobody.
BOOST_FIXTURE_TEST_CASE(ARefusedAdvanceStaysRefused, HolderFixture) {
  const WaiterPtr it = Make("r", 40000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  budgets.OnPeer(AdvanceRequest("a", 100));
  budgets.Forget(it);
  const Tokens before = Allowance();
  budgets.OnPeer(AdvanceRequest("a", 100));
  BOOST_TEST(Allowance() == before);
}

// Guards against 402 for a request that the budget can hold once advances are
// returned.
BOOST_FIXTURE_TEST_CASE(AdvancesDontCountAsSpent, HolderFixture) {
  budgets.OnPeer(AdvanceRequest("a", Allowance() / 8));
  const Tokens given = budgets.AdvancesGiven();
  BOOST_REQUIRE(given > 0);
  // The limit less the reserve of 1 in 100.
  const Tokens largest = kLimit / 100 * 99;
  BOOST_TEST((budgets.Hold(Make("r", largest)) == PrepaidVerdict::kShort));
}

BOOST_FIXTURE_TEST_CASE(ADeadRoutersAdvanceIsChargedInFull, HolderFixture) {
  const Tokens before = Allowance();
  budgets.OnPeer(AdvanceRequest("a", before / 16));
  PeerMessage hello = Message(PeerMessageKind::kHello, 0);
  hello.from = Incarnation("vm2@2");
  budgets.OnPeer(hello);
  BOOST_TEST(Allowance() == before - before / 16);
  BOOST_TEST(budgets.AdvancesGiven() == 0);
  // The dead router wakes up after all, and is charged nothing more.
  budgets.OnPeer(Message(PeerMessageKind::kSettle, 70, "a"));
  BOOST_TEST(Allowance() == before - before / 16);
}

BOOST_FIXTURE_TEST_CASE(AStoppingHolderTakesBackWhatItGave, HolderFixture) {
  budgets.OnPeer(AdvanceRequest("a", 100));
  budgets.StopServing();
  BOOST_TEST((LastAnswer().answer == HoldAnswer::kNotHolder));
  BOOST_TEST(LastAnswer().request.value == "a");
}

BOOST_FIXTURE_TEST_CASE(AScarceBudgetGivesNothingInAdvance, HolderFixture) {
  BudgetDriver::Handlers on;
  on.send = [this](const Incarnation& to, const PeerMessage& it) {
    unicasts.push_back({to, it});
  };
  on.is_scarce = [](const CustomerName& it) { return it == kCustomer; };
  budgets.SetHandlers(on);
  budgets.OnPeer(AdvanceRequest("a", 100));
  BOOST_TEST((LastAnswer().answer == HoldAnswer::kShort));
}

// A router without a grant that has an advance of 300 tokens.
struct AdvanceFixture : RequesterFixture {
  AdvanceFixture() {
    clock.Stop();
    for (int n = 0; n < 20; ++n) {
      const WaiterPtr it = Make("load-" + std::to_string(n), 100);
      budgets.Hold(it);
      budgets.Forget(it);
    }
    for (const Sent& it : UnicastsOf(PeerMessageKind::kHoldRequest)) {
      if (it.message.advance) id = it.message.request;
    }
    BOOST_REQUIRE(!id.empty());
    PeerMessage answer =
        FromHolder(PeerMessageKind::kHoldAnswer, HoldAnswer::kHeld);
    answer.request = id;
    answer.amount = 300;
    budgets.OnPeer(answer);
  }

  bool IsDrawn(const std::string& name) {
    const WaiterPtr it = Make(name, 100);
    drawn.push_back(it);
    return budgets.Hold(it) == PrepaidVerdict::kHeld;
  }
  // The cost with which the advance was settled.
  std::optional<Tokens> Settled() const {
    for (const Sent& it : UnicastsOf(PeerMessageKind::kSettle)) {
      if (it.message.request == id) return it.message.amount;
    }
    return std::nullopt;
  }

  RequestId id;
  std::vector<WaiterPtr> drawn;
};

BOOST_FIXTURE_TEST_CASE(ADrawNeedsNoMessageAndIsChargedOnce, AdvanceFixture) {
  BOOST_TEST(IsDrawn("r"));
  for (const Sent& it : unicasts) BOOST_TEST(it.message.request.value != "r");
  budgets.Settle(*drawn[0], 70);
  budgets.StartLeaving();
  BOOST_REQUIRE(Settled().has_value());
  BOOST_TEST(*Settled() == 70);
}

BOOST_FIXTURE_TEST_CASE(ARouterThatLeavesSettlesItsAdvances, AdvanceFixture) {
  BOOST_TEST(IsDrawn("r"));
  budgets.StartLeaving();
  BOOST_TEST(!Settled().has_value());
  BOOST_TEST(!budgets.HasLeft());
  budgets.Settle(*drawn[0], 70);
  BOOST_REQUIRE(Settled().has_value());
  BOOST_TEST(*Settled() == 70);
  BOOST_TEST(!budgets.HasLeft());
  for (const Sent& it : UnicastsOf(PeerMessageKind::kSettle)) {
    PeerMessage settled =
        FromHolder(PeerMessageKind::kSettled, HoldAnswer::kNotHolder);
    settled.request = it.message.request;
    budgets.OnPeer(settled);
  }
  BOOST_TEST(budgets.HasLeft());
}

BOOST_FIXTURE_TEST_CASE(ALowerLimitReturnsAdvances, AdvanceFixture) {
  Configure(2, kLimit + 1);
  BOOST_TEST(!Settled().has_value());
  Configure(3, kLimit - 1);
  BOOST_TEST(Settled().has_value());
  BOOST_TEST(!IsDrawn("r"));
}

BOOST_FIXTURE_TEST_CASE(ABudgetThatIsRemovedReturnsAdvances, AdvanceFixture) {
  Configure(2, -1);
  BOOST_TEST(Settled().has_value());
}

// Until it has declared itself, only the holder knows what it gave lately.
BOOST_FIXTURE_TEST_CASE(AnOlderCopyOfTheStoreReturnsAdvances, AdvanceFixture) {
  budgets.OnStoreEra();
  BOOST_TEST(Settled().has_value());
  BOOST_TEST(!IsDrawn("r"));
}

BOOST_FIXTURE_TEST_CASE(ALostLinkReturnsAdvances, AdvanceFixture) {
  budgets.OnPeerLost(holder);
  BOOST_TEST(Settled().has_value());
  BOOST_TEST(!IsDrawn("r"));
}

BOOST_FIXTURE_TEST_CASE(UnusedAdvancesAreReturned, AdvanceFixture) {
  clock.Advance(milliseconds(1000));
  BOOST_TEST(RunUntil([&] { return Settled().has_value(); }));
  BOOST_TEST(*Settled() == 0);
}

struct EarlyFixture : Fixture {
  EarlyFixture() : Fixture(FleetOptions(), false) {
    Configure();
    budgets.Start();
  }
  void ReadFleet() {
    std::vector<FleetMember> members;
    for (int n = 2; n < 100; ++n) {
      const std::string name = "vm" + std::to_string(n);
      members.push_back({VmName(name), HallName("a"), "h:2"});
    }
    fleet.Put(members);
    fleet.MarkRead();
    budgets.OnFleetRead();
  }
};

BOOST_FIXTURE_TEST_CASE(WhoHasNotReadTheListOfRoutersKeepsNoBudgets,
                        EarlyFixture) {
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  budgets.JoinIfHolder();
  RunSome();
  BOOST_TEST(!budgets.ledger().ActsAsHolder());
  BOOST_TEST(store.writes == 0U);
  BOOST_TEST(it->answers() == 0);
  ReadFleet();
  BOOST_REQUIRE(!fleet.IsHolder(VmName("vm1")));
  BOOST_TEST(UnicastsOf(PeerMessageKind::kHoldRequest).size() == 1U);
  BOOST_TEST(!budgets.ledger().ActsAsHolder());
}

BOOST_FIXTURE_TEST_CASE(WithoutAListOfRoutersARequestIsRefusedSoon,
                        EarlyFixture) {
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->refused == 1);
  BOOST_TEST(!it->was_exhausted);
}

// Guards against a router that refuses all callers and looks well.
BOOST_FIXTURE_TEST_CASE(WithoutAListOfRoutersARefusalMakesARouterUnready,
                        EarlyFixture) {
  BOOST_TEST(!budgets.LacksHolder());
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(budgets.LacksHolder());
  ReadFleet();
  BOOST_TEST(!budgets.LacksHolder());
}

BOOST_FIXTURE_TEST_CASE(AnEarlyRequestThatIsForgottenIsNotAnswered,
                        EarlyFixture) {
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  budgets.Forget(it);
  ReadFleet();
  RunSome();
  BOOST_TEST(it->answers() == 0);
  BOOST_TEST(UnicastsOf(PeerMessageKind::kHoldRequest).empty());
}

BOOST_FIXTURE_TEST_CASE(AHoldersNoIsPassedOn, RequesterFixture) {
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  budgets.OnPeer(
      FromHolder(PeerMessageKind::kHoldAnswer, HoldAnswer::kExhausted));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->refused == 1);
  BOOST_TEST(it->was_exhausted);
}

BOOST_FIXTURE_TEST_CASE(AnAskWithoutAnAnswerEnds, RequesterFixture) {
  clock.Stop();
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  clock.Advance(milliseconds(199));
  RunSome();
  BOOST_TEST(it->answers() == 0);
  clock.Advance(milliseconds(1));
  BOOST_TEST(Answered(*it));
  BOOST_TEST(it->refused == 1);
  BOOST_TEST(!it->was_exhausted);
  // The holder may hold the amount, and is notified that nothing ran.
  const auto costs = UnicastsOf(PeerMessageKind::kSettle);
  BOOST_REQUIRE(!costs.empty());
  BOOST_TEST(costs[0].message.amount == 0);
}

BOOST_FIXTURE_TEST_CASE(AForgottenAskIsTakenBack, RequesterFixture) {
  const WaiterPtr it = Make("r", 1000);
  BOOST_TEST((budgets.Hold(it) == PrepaidVerdict::kShort));
  budgets.Forget(it);
  BOOST_TEST(UnicastsOf(PeerMessageKind::kSettle).size() == 1U);
  budgets.OnPeer(FromHolder(PeerMessageKind::kHoldAnswer, HoldAnswer::kHeld));
  RunSome();
  BOOST_TEST(it->answers() == 0);
}

}  // namespace
}  // namespace quaytrack
