// Property test of claims: whatever the service loses, delays or refuses, a
// call is sent at most once, a replayed answer belongs to a call that was sent
// once, and every request ends. The test counts the sends itself.
//
// A second case shows that the check fails for a faulty variant that sends a
// call before its claim is known to be written.

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>

#include "claim/claim.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr int kRouters = 3;
constexpr int kKeys = 4;

// A fake of the key-value service as claims use it.
class FakeClaimStore {
 public:
  struct Stored {
    std::int64_t revision = 0;
    ClaimEntry entry;
  };

  FoundClaim Find(const ClaimKey& key) const {
    auto it = data_.find(key);
    if (it == data_.end()) return {};
    return {true, it->second.revision, it->second.entry};
  }

  bool Apply(const ClaimCommit& commit) {
    for (const ClaimWrite& it : commit.writes) {
      const FoundClaim found = Find(it.key);
      const bool create = it.kind == ClaimWriteKind::kCreate;
      if (create && found.exists) return false;
      if (!create && found.revision != it.revision) return false;
    }
    ++revision_;
    for (const ClaimWrite& it : commit.writes) {
      if (it.kind == ClaimWriteKind::kDelete) {
        data_.erase(it.key);
      } else {
        data_[it.key] = {revision_, it.entry};
      }
    }
    return true;
  }

  std::vector<FoundClaim> Present(const ClaimCommit& commit) const {
    std::vector<FoundClaim> out;
    for (const ClaimWrite& it : commit.writes) out.push_back(Find(it.key));
    return out;
  }

  std::int64_t revision() const { return revision_; }

 private:
  std::map<ClaimKey, Stored> data_;
  std::int64_t revision_ = 0;
};

const ClaimChart& TestChart() {
  static const ClaimChart kChart = BindClaimChart().value();
  return kChart;
}

// A call that was sent, and the request that owns its claim.
struct Running {
  RequestId request;
  ClaimKey key;
};

struct Node {
  explicit Node(int n)
      : self("vm-" + std::to_string(n) + "@1"), claims(self, {}, TestChart()) {}
  Incarnation self;
  ClaimTracker claims;
  std::optional<ClaimCommit> unanswered;
  std::map<RequestId, ClaimKey> waiting;
  std::vector<Running> running;
  int request_count = 0;
  bool dead = false;
};

class Simulation {
 public:
  explicit Simulation(bool send_before_claim)
      : send_before_claim_(send_before_claim) {
    for (int n = 0; n < kRouters; ++n) {
      nodes_.push_back(std::make_unique<Node>(n));
    }
  }

  void Step(unsigned pick, unsigned size) {
    now_ += milliseconds(1 + size % 60);
    Node& node = *nodes_[pick % kRouters];
    if (node.dead) return;
    switch ((pick / kRouters) % 8) {
      case 0:
      case 1:
        StartCall(node, static_cast<int>(size % kKeys));
        break;
      case 2:
        EndCall(node, size);
        break;
      case 3:
        if (!delayed_.empty()) {
          store_.Apply(delayed_.back());
          delayed_.pop_back();
        }
        break;
      case 4:
        GiveUp(node);
        break;
      default:
        Drive(node, size);
    }
    HandleEvents(node);
  }

  // Stops the last router and runs the others with a service that answers; all
  // their waiting requests must end.
  void Settle() {
    nodes_.back()->dead = true;
    for (int round = 0; round < 80; ++round) {
      now_ += milliseconds(150);
      for (auto& it : nodes_) {
        if (it->dead) continue;
        while (!it->running.empty()) EndCall(*it, 0);
        Drive(*it, 0);
        Drive(*it, 0);
        HandleEvents(*it);
      }
    }
    for (auto& it : nodes_) {
      if (!it->dead) RC_ASSERT(it->waiting.empty());
    }
  }

 private:
  ClaimKey KeyOf(int n) const {
    return {CustomerName("c"), IdempotencyKey("k" + std::to_string(n))};
  }

  void StartCall(Node& node, int n) {
    const RequestId request(node.self.value + "/" +
                            std::to_string(node.request_count++));
    const ClaimKey key = KeyOf(n);
    const ClaimAnswer answer =
        node.claims.Begin(now_, key, "digest", request, 0);
    const bool waits = answer.kind == ClaimAnswerKind::kWait ||
                       answer.kind == ClaimAnswerKind::kJoin;
    if (waits) node.waiting[request] = key;
    if (waits && send_before_claim_ && answer.kind == ClaimAnswerKind::kWait) {
      Send(node, request, key);
    }
    if (answer.kind == ClaimAnswerKind::kReplay) RC_ASSERT(sends_[key] == 1);
  }

  void Send(Node& node, const RequestId& request, const ClaimKey& key) {
    ++sends_[key];
    RC_ASSERT(sends_[key] == 1);
    node.running.push_back({request, key});
  }

  void EndCall(Node& node, unsigned size) {
    if (node.running.empty()) return;
    const auto [request, key] = node.running.back();
    node.running.pop_back();
    switch (size % 4) {
      case 0:
      case 1:
        node.claims.MarkDone(now_, key, {200, "text/plain", "answer", false});
        break;
      case 2:
        node.claims.MarkUnknown(now_, key);
        break;
      default:
        // The target refused the call, so it doesn't count as sent.
        --sends_[key];
        node.claims.Abandon(now_, key, request);
    }
  }

  // A caller that waits for its claim gives up.
  void GiveUp(Node& node) {
    if (node.waiting.empty()) return;
    const auto it = *node.waiting.begin();
    node.waiting.erase(it.first);
    node.claims.Abandon(now_, it.second, it.first);
  }

  void Drive(Node& node, unsigned size) {
    if (!node.unanswered) {
      node.unanswered = node.claims.Next(now_);
      return;
    }
    const ClaimCommit commit = *std::exchange(node.unanswered, std::nullopt);
    const unsigned fault = size % 8;
    if (fault == 5) {
      delayed_.push_back(commit);
    } else if (fault != 7) {
      const bool ok = store_.Apply(commit);
      if (fault != 6) {
        node.claims.OnCommit(
            now_, ok ? ClaimOutcome::kApplied : ClaimOutcome::kRejected,
            store_.revision(), store_.Present(commit));
        return;
      }
    }
    node.claims.OnCommit(now_, ClaimOutcome::kUnknown, 0, {});
  }

  void HandleEvents(Node& node) {
    for (const ClaimEvent& it : node.claims.TakeEvents()) {
      auto waiting = node.waiting.find(it.request);
      if (waiting == node.waiting.end()) continue;
      const ClaimKey key = waiting->second;
      node.waiting.erase(waiting);
      if (it.kind == ClaimEventKind::kClaimed && !send_before_claim_) {
        Send(node, it.request, key);
      }
    }
  }

  bool send_before_claim_;
  Instant now_{std::chrono::hours(1)};
  FakeClaimStore store_;
  std::vector<ClaimCommit> delayed_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<ClaimKey, int> sends_;
};

using Steps = std::vector<std::pair<int, int>>;

Steps AnySteps() {
  return *rc::gen::container<Steps>(
      400,
      rc::gen::pair(rc::gen::inRange(0, 24 * 7), rc::gen::inRange(0, 100000)));
}

void RunSimulation(bool send_before_claim, const Steps& steps) {
  Simulation simulation(send_before_claim);
  for (const auto& [pick, size] : steps) {
    simulation.Step(static_cast<unsigned>(pick), static_cast<unsigned>(size));
  }
  simulation.Settle();
}

BOOST_AUTO_TEST_CASE(CallIsSentAtMostOnceAndEveryCallerGetsAnEnd) {
  BOOST_TEST(rc::check([] { RunSimulation(false, AnySteps()); }));
}

BOOST_AUTO_TEST_CASE(CheckCatchesSendingBeforeTheClaimIsWritten) {
  // Three routers get the same key at once; the faulty variant sends from each.
  const Steps steps = {{0, 0}, {1, 0}, {2, 0}};
  bool caught = false;
  try {
    RunSimulation(true, steps);
  } catch (const std::exception&) {
    caught = true;
  } catch (...) {
    caught = true;
  }
  BOOST_TEST(caught);
}

}  // namespace
}  // namespace quaytrack
