// Property test of LedgerSync: whatever the service loses, delays or refuses,
// and however long a router pauses between two steps, spending never exceeds
// the limit, no account shows more than its record grants, and each bill is
// stored once. The test tracks spending itself and compares the ledger with it.
//
// Two budgets are in two records, so that a commit can replace both, and a read
// or a watch can show one of them, before or after the commit takes effect.
// Some bills have a marker, which another router's bill may have as well.

#include <rapidcheck.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ledger/sync.h"
#include "ledger/testing/fake_ledger_store.h"
#include "ledger/testing/make_bill.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Tokens kLimit = 4000;
constexpr unsigned kRouters = 3;
constexpr unsigned kBudgets = 2;
// Few, so that bills of different routers share markers.
constexpr unsigned kMarkers = 100;

// The actual spending of one budget.
struct ActualUsage {
  Tokens spent = 0;
  Tokens running = 0;
  std::map<std::string, Tokens> bills;
};

struct Running {
  RequestId request;
  BudgetName budget;
  Tokens hold = 0;
};

// One router, its running requests, and its unanswered action.
struct Node {
  Node(unsigned n, const std::array<BudgetName, kBudgets>& budgets)
      : self("vm-" + std::to_string(n) + "@1"), ledger(self, {}) {
    std::vector<BudgetSetting> settings;
    for (const BudgetName& it : budgets) {
      settings.push_back({it, kLimit, {std::chrono::seconds(5), 8}});
    }
    ledger.SetBudgets(1, settings);
  }
  Incarnation self;
  LedgerSync ledger;
  std::vector<Running> running;
  std::map<RequestId, Running> waiting;
  std::optional<LedgerAction> unanswered;
  int request_count = 0;
};

class Simulation {
 public:
  Simulation() {
    for (unsigned n = 0; n < kRouters; ++n) {
      nodes_.push_back(std::make_unique<Node>(n, budgets_));
    }
  }

  // One random step; `pick` selects node, operation and budget, `size` an
  // amount.
  void Step(unsigned pick, unsigned size) {
    now_ += milliseconds(1 + size % 150);
    Node& node = *nodes_[pick % kRouters];
    const unsigned operation = (pick / kRouters) % 8;
    const BudgetName& budget = budgets_[(pick / (kRouters * 8)) % kBudgets];
    switch (operation) {
      case 0:
      case 1:
        Start(node, budget, 1 + size % 500);
        break;
      case 2:
      case 3:
        Finish(node, size);
        break;
      case 4:
        store_.ApplyDelayed(size);
        break;
      case 5:
        node.ledger.Tick(now_);
        DeliverRecord(node, budget, size);
        break;
      default:
        Drive(node, size);
    }
    HandleEvents(node);
    CheckInvariants();
  }

  // Ends all requests with a service that answers, then compares the ledger
  // with the tracked spending.
  void Settle() {
    for (int round = 0; round < 60; ++round) {
      now_ += milliseconds(300);
      for (auto& it : nodes_) {
        while (!it->running.empty()) Finish(*it, 0);
        it->ledger.Tick(now_);
        if (it->unanswered) Answer(*it, 0);
        Drive(*it, 0);
        if (it->unanswered) Answer(*it, 0);
        HandleEvents(*it);
        CheckInvariants();
      }
    }
    std::set<std::string> expected_ids;
    for (const BudgetName& name : budgets_) {
      const BudgetEntry entry = store_.Budget(name);
      RC_ASSERT(entry.settled == usage_[name].spent);
      RC_ASSERT(entry.Free() >= 0);
      for (const auto& [id, n] : usage_[name].bills) expected_ids.insert(id);
    }
    std::set<std::string> ids;
    for (const Bill& it : store_.bills()) {
      RC_ASSERT(ids.insert(it.bill_id).second);
    }
    RC_ASSERT(ids == expected_ids);
  }

 private:
  void Start(Node& node, const BudgetName& budget, Tokens amount) {
    const RequestId request(node.self.value + "/" +
                            std::to_string(node.request_count++));
    const Running it{request, budget, amount};
    const auto outcome = node.ledger.Hold(now_, request, budget, amount);
    if (outcome == HoldOutcome::kHeld) Run(node, it);
    if (outcome == HoldOutcome::kWaiting) node.waiting[request] = it;
  }

  void Run(Node& node, const Running& it) {
    node.running.push_back(it);
    usage_[it.budget].running += it.hold;
  }

  void Finish(Node& node, unsigned size) {
    if (node.running.empty()) return;
    const Running it = node.running.back();
    node.running.pop_back();
    ActualUsage& usage = usage_[it.budget];
    usage.running -= it.hold;
    if (size % 5 == 4) {
      node.ledger.Release(it.request, it.budget);
      return;
    }
    Bill bill;
    bill.bill_id = it.request.value;
    bill.budget = it.budget;
    bill.request_id = it.request;
    bill.tokens = static_cast<Tokens>(size) % (it.hold + 1);
    if (size % 3 == 1) bill.marker = "key-" + std::to_string(size % kMarkers);
    usage.spent += bill.tokens;
    usage.bills[bill.bill_id] = bill.tokens;
    node.ledger.Settle(now_, bill);
  }

  // Removes a bill that was dropped because another request's bill has its
  // marker.
  void RemoveBill(const RequestId& request) {
    for (auto& [name, usage] : usage_) {
      auto bill = usage.bills.find(request.value);
      if (bill == usage.bills.end()) continue;
      usage.spent -= bill->second;
      usage.bills.erase(bill);
    }
  }

  // The node receives one record by a watch, or a `need` message for it.
  void DeliverRecord(Node& node, const BudgetName& budget, unsigned size) {
    const int shard = ShardOf(budget);
    if (size % 2 == 0) {
      node.ledger.OnWatched(now_, store_.Read(shard));
    } else {
      node.ledger.OnNeed(shard);
    }
  }

  // Takes the next action, or answers the unanswered one.
  void Drive(Node& node, unsigned size) {
    if (node.unanswered) {
      Answer(node, size);
    } else {
      node.unanswered = node.ledger.Next(now_);
    }
  }

  void Answer(Node& node, unsigned size) {
    const LedgerAction action = *std::exchange(node.unanswered, std::nullopt);
    const unsigned fault = size % 8;
    if (auto* read = std::get_if<ReadShards>(&action)) {
      if (fault == 7) {
        node.ledger.OnRead(now_, std::nullopt, {});
      } else {
        node.ledger.OnRead(now_, store_.Read(read->shards), store_.markers());
      }
      return;
    }
    const LedgerCommit& commit = std::get<LedgerCommit>(action);
    if (fault == 5 || fault == 6) {
      store_.Delay(node.self, commit);
    } else if (fault != 7) {
      const bool ok = store_.Apply(node.self, commit);
      if (fault != 4) {
        node.ledger.OnCommit(
            now_, ok ? CommitOutcome::kApplied : CommitOutcome::kRejected,
            store_.revision());
        return;
      }
    }
    node.ledger.OnCommit(now_, CommitOutcome::kUnknown, 0);
  }

  void HandleEvents(Node& node) {
    for (const LedgerEvent& it : node.ledger.TakeEvents()) {
      RC_ASSERT(it.kind != LedgerEventKind::kFenced);
      if (it.kind == LedgerEventKind::kBillDropped) RemoveBill(it.request);
      auto waiting = node.waiting.find(it.request);
      if (waiting == node.waiting.end()) continue;
      if (it.kind == LedgerEventKind::kHoldGranted) Run(node, waiting->second);
      node.waiting.erase(waiting);
    }
  }

  void CheckInvariants() {
    for (const BudgetName& name : budgets_) {
      const ActualUsage& usage = usage_[name];
      RC_ASSERT(usage.spent + usage.running <= kLimit);
      const BudgetEntry entry = store_.Budget(name);
      RC_ASSERT(entry.settled + entry.Outstanding() <= kLimit);
      for (const auto& [router, n] : entry.grants) RC_ASSERT(n >= 0);
      for (const auto& it : nodes_) {
        const Account& account = it->ledger.accounts().at(name);
        RC_ASSERT(account.Available() >= 0);
        RC_ASSERT(account.Available() + account.HeldTotal() <=
                  entry.GrantOf(it->self));
      }
    }
  }

  const std::array<BudgetName, kBudgets> budgets_{kBudget,
                                                  BudgetInAnotherRecord()};
  Instant now_{std::chrono::hours(1)};
  FakeLedgerStore store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<BudgetName, ActualUsage> usage_;
};

BOOST_AUTO_TEST_CASE(SpendingNeverPassesTheLimitAndBillsAreStoredOnce) {
  const bool ok = rc::check([] {
    Simulation simulation;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        600, rc::gen::pair(rc::gen::inRange(0, 24 * 8),
                           rc::gen::inRange(0, 100000)));
    for (const auto& [pick, size] : steps) {
      simulation.Step(static_cast<unsigned>(pick), static_cast<unsigned>(size));
    }
    simulation.Settle();
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace quaytrack
