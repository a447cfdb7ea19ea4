// Property: whatever the service loses, delays or refuses, and however long a
// router stops between two steps, spending never passes the limit and each bill
// is stored once. The judge is a book kept by the test, not the ledger's own.

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

#include "ledger/sync.h"
#include "ledger/testing/fake_ledger_store.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Tokens kLimit = 4000;
constexpr int kRouters = 3;

// What really ran.
struct Book {
  Tokens spent = 0;
  Tokens running = 0;
  std::set<std::string> bill_ids;
};

struct Running {
  RequestId request;
  Tokens hold = 0;
};

// One router, its running requests, and its unanswered action.
struct Node {
  Node(int n, const BudgetName& budget)
      : self("vm-" + std::to_string(n) + "@1"), ledger(self, {}) {
    ledger.SetBudgets(1, {{budget, kLimit, {std::chrono::seconds(5), 8}}});
  }
  Incarnation self;
  LedgerSync ledger;
  std::vector<Running> running;
  std::map<RequestId, Tokens> waiting;
  std::optional<LedgerAction> unanswered;
  int minted = 0;
};

class World {
 public:
  World() {
    for (int n = 0; n < kRouters; ++n) {
      nodes_.push_back(std::make_unique<Node>(n, budget_));
    }
  }

  // One random step; `pick` chooses node and deed, `size` an amount.
  void Step(unsigned pick, unsigned size) {
    now_ += milliseconds(1 + size % 150);
    Node& node = *nodes_[pick % kRouters];
    switch ((pick / kRouters) % 8) {
      case 0:
      case 1:
        Start(node, 1 + size % 500, size % 7 == 0);
        break;
      case 2:
      case 3:
        Finish(node, size);
        break;
      case 4:
        store_.ApplyLate(size);
        break;
      case 5:
        node.ledger.Tick(now_);
        if (size % 2 == 0) {
          node.ledger.OnWatched(now_, store_.Read(ShardOf(budget_)));
        } else {
          node.ledger.OnNeed(ShardOf(budget_));
        }
        break;
      default:
        Drive(node, size);
    }
    Absorb(node);
    Check();
  }

  // Ends everything with a service that answers, and compares the books.
  void Settle() {
    for (int round = 0; round < 60; ++round) {
      now_ += milliseconds(300);
      for (auto& it : nodes_) {
        while (!it->running.empty()) Finish(*it, 0);
        it->ledger.Tick(now_);
        if (it->unanswered) Answer(*it, 0);
        Drive(*it, 0);
        if (it->unanswered) Answer(*it, 0);
        Absorb(*it);
        Check();
      }
    }
    const BudgetEntry entry = store_.Budget(budget_);
    RC_ASSERT(entry.settled == book_.spent);
    std::set<std::string> ids;
    for (const Bill& it : store_.bills()) {
      RC_ASSERT(ids.insert(it.bill_id).second);
    }
    RC_ASSERT(ids == book_.bill_ids);
    RC_ASSERT(entry.Free() >= 0);
  }

 private:
  void Start(Node& node, Tokens amount, bool) {
    const RequestId request(node.self.value + "/" +
                            std::to_string(node.minted++));
    const auto outcome = node.ledger.Hold(now_, request, budget_, amount);
    if (outcome == HoldOutcome::kHeld) Run(node, request, amount);
    if (outcome == HoldOutcome::kWaiting) node.waiting[request] = amount;
  }

  void Run(Node& node, const RequestId& request, Tokens hold) {
    node.running.push_back({request, hold});
    book_.running += hold;
  }

  void Finish(Node& node, unsigned size) {
    if (node.running.empty()) return;
    const Running it = node.running.back();
    node.running.pop_back();
    book_.running -= it.hold;
    if (size % 5 == 4) {
      node.ledger.Release(it.request, budget_);
      return;
    }
    Bill bill;
    bill.bill_id = it.request.value;
    bill.budget = budget_;
    bill.request_id = it.request;
    bill.tokens = static_cast<Tokens>(size) % (it.hold + 1);
    book_.spent += bill.tokens;
    book_.bill_ids.insert(bill.bill_id);
    node.ledger.Settle(now_, bill);
  }

  // Takes the next action, or answers the one that is open.
  void Drive(Node& node, unsigned size) {
    if (node.unanswered) {
      Answer(node, size);
    } else {
      node.unanswered = node.ledger.Next(now_);
    }
  }

  void Answer(Node& node, unsigned size) {
    const LedgerAction action = *std::exchange(node.unanswered, std::nullopt);
    const unsigned fate = size % 8;
    if (auto* read = std::get_if<ReadShards>(&action)) {
      if (fate == 7) {
        node.ledger.OnRead(now_, std::nullopt, {});
      } else {
        node.ledger.OnRead(now_, store_.Read(read->shards), store_.markers());
      }
      return;
    }
    const LedgerCommit& commit = std::get<LedgerCommit>(action);
    if (fate == 5 || fate == 6) {
      store_.Delay(node.self, commit);
    } else if (fate != 7) {
      const bool ok = store_.Apply(node.self, commit);
      if (fate != 4) {
        node.ledger.OnCommit(
            now_, ok ? CommitOutcome::kApplied : CommitOutcome::kRejected,
            store_.revision());
        return;
      }
    }
    node.ledger.OnCommit(now_, CommitOutcome::kUnknown, 0);
  }

  void Absorb(Node& node) {
    for (const LedgerEvent& it : node.ledger.TakeEvents()) {
      auto waiting = node.waiting.find(it.request);
      if (waiting == node.waiting.end()) continue;
      if (it.kind == LedgerEventKind::kHoldGranted) {
        Run(node, it.request, waiting->second);
      }
      node.waiting.erase(waiting);
    }
  }

  void Check() {
    RC_ASSERT(book_.spent + book_.running <= kLimit);
    const BudgetEntry entry = store_.Budget(budget_);
    RC_ASSERT(entry.settled + entry.Outstanding() <= kLimit);
    for (const auto& [who, n] : entry.grants) RC_ASSERT(n >= 0);
    for (const auto& it : nodes_) {
      RC_ASSERT(it->ledger.accounts().at(budget_).Available() >= 0);
    }
  }

  BudgetName budget_{"b"};
  Instant now_{std::chrono::hours(1)};
  FakeLedgerStore store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  Book book_;
};

BOOST_AUTO_TEST_CASE(SpendingNeverPassesTheLimitAndBillsAreStoredOnce) {
  const bool ok = rc::check([] {
    World world;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        600, rc::gen::pair(rc::gen::inRange(0, 24 * 7),
                           rc::gen::inRange(0, 100000)));
    for (const auto& [pick, size] : steps) {
      world.Step(static_cast<unsigned>(pick), static_cast<unsigned>(size));
    }
    world.Settle();
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace quaytrack
