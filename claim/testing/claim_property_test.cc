// Property: whatever is lost, delayed or refused, a call is sent at most once,
// a caller that is told "not run" is told the truth, and every request gets one
// end. The judge is the list of sends that the test itself keeps.
//
// The wrong variant that this catches is kept beside it: a book that sends
// before its claim is known to be written.

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

// The service as claims see it.
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
      : self("vm-" + std::to_string(n) + "@1"), book(self, {}, TestChart()) {}
  Incarnation self;
  ClaimBook book;
  std::optional<ClaimCommit> unanswered;
  std::map<RequestId, ClaimKey> waiting;
  std::vector<Running> running;
  int minted = 0;
  bool dead = false;
};

class World {
 public:
  explicit World(bool send_early) : send_early_(send_early) {
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
        Ask(node, static_cast<int>(size % kKeys));
        break;
      case 2:
        EndOne(node, size);
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
    Absorb(node);
  }

  // The last router dies for good; the others go on with a service that
  // answers, and everybody who still waits gets an end.
  void Settle() {
    nodes_.back()->dead = true;
    for (int round = 0; round < 80; ++round) {
      now_ += milliseconds(150);
      for (auto& it : nodes_) {
        if (it->dead) continue;
        while (!it->running.empty()) EndOne(*it, 0);
        Drive(*it, 0);
        Drive(*it, 0);
        Absorb(*it);
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

  void Ask(Node& node, int n) {
    const RequestId request(node.self.value + "/" +
                            std::to_string(node.minted++));
    const ClaimKey key = KeyOf(n);
    const ClaimAnswer answer = node.book.Begin(now_, key, "digest", request, 0);
    const bool waits = answer.kind == ClaimAnswerKind::kWait ||
                       answer.kind == ClaimAnswerKind::kJoin;
    if (waits) node.waiting[request] = key;
    if (waits && send_early_ && answer.kind == ClaimAnswerKind::kWait) {
      Send(node, request, key);
    }
    if (answer.kind == ClaimAnswerKind::kReplay) RC_ASSERT(sends_[key] == 1);
  }

  void Send(Node& node, const RequestId& request, const ClaimKey& key) {
    ++sends_[key];
    RC_ASSERT(sends_[key] == 1);
    node.running.push_back({request, key});
  }

  void EndOne(Node& node, unsigned size) {
    if (node.running.empty()) return;
    const auto [request, key] = node.running.back();
    node.running.pop_back();
    switch (size % 4) {
      case 0:
      case 1:
        node.book.Done(now_, key, {200, "text/plain", "answer", false});
        break;
      case 2:
        node.book.Lost(now_, key);
        break;
      default:
        // The target never took it: as if it had not been sent.
        --sends_[key];
        node.book.Abandon(now_, key, request);
    }
  }

  // A caller that waits for its claim leaves.
  void GiveUp(Node& node) {
    if (node.waiting.empty()) return;
    const auto it = *node.waiting.begin();
    node.waiting.erase(it.first);
    node.book.Abandon(now_, it.second, it.first);
  }

  void Drive(Node& node, unsigned size) {
    if (!node.unanswered) {
      node.unanswered = node.book.Next(now_);
      return;
    }
    const ClaimCommit commit = *std::exchange(node.unanswered, std::nullopt);
    const unsigned fate = size % 8;
    if (fate == 5) {
      delayed_.push_back(commit);
    } else if (fate != 7) {
      const bool ok = store_.Apply(commit);
      if (fate != 6) {
        node.book.OnCommit(
            now_, ok ? ClaimOutcome::kApplied : ClaimOutcome::kRejected,
            store_.revision(), store_.Present(commit));
        return;
      }
    }
    node.book.OnCommit(now_, ClaimOutcome::kUnknown, 0, {});
  }

  void Absorb(Node& node) {
    for (const ClaimEvent& it : node.book.TakeEvents()) {
      auto waiting = node.waiting.find(it.request);
      if (waiting == node.waiting.end()) continue;
      const ClaimKey key = waiting->second;
      node.waiting.erase(waiting);
      if (it.kind == ClaimEventKind::kClaimed && !send_early_) {
        Send(node, it.request, key);
      }
    }
  }

  bool send_early_;
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

void RunWorld(bool send_early, const Steps& steps) {
  World world(send_early);
  for (const auto& [pick, size] : steps) {
    world.Step(static_cast<unsigned>(pick), static_cast<unsigned>(size));
  }
  world.Settle();
}

BOOST_AUTO_TEST_CASE(CallIsSentAtMostOnceAndEveryCallerGetsAnEnd) {
  BOOST_TEST(rc::check([] { RunWorld(false, AnySteps()); }));
}

BOOST_AUTO_TEST_CASE(CheckCatchesSendingBeforeTheClaimIsWritten) {
  // Three routers asked for the same key at once: the wrong variant sends from
  // each.
  const Steps steps = {{0, 0}, {1, 0}, {2, 0}};
  bool caught = false;
  try {
    RunWorld(true, steps);
  } catch (const std::exception&) {
    caught = true;
  } catch (...) {
    caught = true;
  }
  BOOST_TEST(caught);
}

}  // namespace
}  // namespace quaytrack
