// Feeds of one prefix over a store in memory, with messages that the test
// delivers: for tests of what routers send each other about the store.
//
//   FeedFleet fleet;
//   FeedNode& reader = fleet.Add("r1", /*is_reader=*/true);
//   FeedNode& other = fleet.Add("vm-1", false);
//   fleet.store.Put("t/a", "1");      // answers open waits
//   fleet.Turn();                     // runs the loop until nothing is due
//   fleet.DeliverAll();
//   fleet.BroadcastHeartbeats();
//   BOOST_TEST(other.items == fleet.store.ItemsAt(fleet.store.revision()));
//
// The test sets the time (`clock.now`). Only the pauses between calls use the
// real clock; `spacing` sets the one after changes to zero.

#ifndef QUAYTRACK_RELAY_TESTING_FEED_FLEET_H_
#define QUAYTRACK_RELAY_TESTING_FEED_FLEET_H_

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/state_feed.h"
#include "relay/testing/the_feed_chart.h"
#include "testing/run_for.h"

namespace quaytrack {

class FeedClock final : public Clock {
 public:
  Instant Now() const override { return now; }
  WallTime WallNow() const override { return {}; }
  Instant now = Instant(std::chrono::hours(1));
};

using FeedItems = std::map<std::string, std::string>;

// A store of one prefix that keeps its complete history, and may come back from
// an older copy of itself.
class HistoryStore {
 public:
  // Drops all changes after `revision`, and moves the revision counter `ahead`
  // further.
  void RestoreCopy(std::int64_t revision, std::int64_t ahead) {
    eras_[era_] = history_;
    std::erase_if(history_, [revision](const StoreChange& it) {
      return it.item.revision > revision;
    });
    revision_ = std::min(revision, revision_) + ahead;
    ++era_;
  }
  std::int64_t era() const { return era_; }
  // From now on, revisions carry an era.
  void StartEras() { era_ = 1; }

  void Put(const std::string& key, const std::string& value) {
    history_.push_back({{key, value, ++revision_}, false});
  }
  void Remove(const std::string& key) {
    history_.push_back({{key, "", ++revision_}, true});
  }
  std::int64_t revision() const { return revision_; }

  // Of any era, including those that have ended.
  FeedItems ItemsAt(StoreRevision revision) const {
    HistoryStore before;
    const auto it = eras_.find(revision.era);
    before.history_ = it == eras_.end() ? history_ : it->second;
    return before.ItemsAt(revision.number);
  }
  FeedItems ItemsAt(std::int64_t revision) const {
    FeedItems out;
    for (const StoreItem& it : SnapshotAt(revision)) out[it.key] = it.value;
    return out;
  }
  std::vector<StoreItem> SnapshotAt(std::int64_t revision) const {
    std::map<std::string, StoreItem> items;
    for (const StoreChange& it : history_) {
      if (it.item.revision > revision) break;
      items.erase(it.item.key);
      if (!it.removed) items[it.item.key] = it.item;
    }
    std::vector<StoreItem> out;
    for (const auto& [key, it] : items) out.push_back(it);
    return out;
  }
  // The changes after one revision and up to another. Of an item that changed
  // twice only the later change is included, as in the store.
  std::vector<StoreChange> Changes(std::int64_t after, std::int64_t to) const {
    std::map<std::string, StoreChange> latest;
    for (const StoreChange& it : history_) {
      const bool in = it.item.revision > after && it.item.revision <= to;
      if (in) latest[it.item.key] = it;
    }
    std::vector<StoreChange> out;
    for (const auto& [key, it] : latest) out.push_back(it);
    return out;
  }

 private:
  std::vector<StoreChange> history_;
  std::int64_t revision_ = 0;
  std::int64_t era_ = 0;
  // The histories of earlier eras.
  std::map<std::int64_t, std::vector<StoreChange>> eras_;
};

// One router's connection to the store.
class HistoryClient final : public KvStore {
 public:
  HistoryClient(Loop& loop, HistoryStore& store) : loop_(loop), store_(store) {}

  CallPtr Range(const std::string&,
                std::function<void(const StoreSnapshot&)> done) override {
    ++calls_;
    const auto call = std::make_shared<Open>();
    if (!cut) {
      Post(call, [this, done] {
        NoteEra(store_.era());
        done({StoreEnd::kDone, Tagged(store_.revision()),
              Tagged(store_.SnapshotAt(store_.revision()))});
      });
    }
    return std::make_unique<Handle>(call);
  }
  CallPtr Write(const StoreWrite&,
                std::function<void(const StoreWritten&)>) override {
    return nullptr;
  }
  CallPtr Wait(const std::string&, StoreRevision after, Duration timeout,
               std::function<void(const StoreChanges&)> done) override {
    ++calls_;
    if (timeout <= std::chrono::milliseconds(1)) {
      return AnswerAtOnce(after.number, std::move(done));
    }
    wait_ = std::make_shared<Open>();
    wait_->after = after.number;
    wait_->done = std::move(done);
    auto out = std::make_unique<Handle>(wait_);
    AnswerWait();
    return out;
  }
  std::uint64_t calls() const override { return calls_; }

  // Answers a wait without a timeout, whatever has changed.
  CallPtr AnswerAtOnce(std::int64_t after,
                       std::function<void(const StoreChanges&)> done) {
    const auto call = std::make_shared<Open>();
    auto out = std::make_unique<Handle>(call);
    if (cut) return out;
    Post(call, [this, after, done = std::move(done)] {
      NoteEra(store_.era());
      StoreChanges it;
      it.end = StoreEnd::kDone;
      it.forgotten = after > store_.revision();
      it.revision = Tagged(store_.revision());
      it.changes = Tagged(store_.Changes(after, store_.revision()));
      done(it);
    });
    return out;
  }

  // Answers the open wait if there are changes for it.
  void AnswerWait() {
    if (!waits() || cut || store_.revision() == wait_->after) return;
    const auto call = std::exchange(wait_, nullptr);
    if (call->after > store_.revision()) {
      StoreChanges gone;
      gone.end = StoreEnd::kRefused;
      gone.forgotten = true;
      // Delayed, so that a router that calls without end fails the test instead
      // of hanging it.
      timer_ = loop_.After(std::chrono::milliseconds(1), [call, gone] {
        if (!call->dropped) call->done(gone);
      });
      return;
    }
    NoteEra(store_.era());
    const StoreChanges out{
        StoreEnd::kDone, false, Tagged(store_.revision()),
        Tagged(store_.Changes(call->after, store_.revision()))};
    Post(call, [call, out] { call->done(out); });
  }
  bool waits() const { return wait_ && !wait_->dropped; }

  // While set, calls are neither answered nor refused.
  bool cut = false;

 private:
  struct Open {
    std::int64_t after = 0;
    std::function<void(const StoreChanges&)> done;
    bool dropped = false;
  };
  struct Handle final : Call {
    explicit Handle(std::shared_ptr<Open> it) : open(std::move(it)) {}
    ~Handle() override { open->dropped = true; }
    std::shared_ptr<Open> open;
  };
  // Adds the store's era, as the store's client does.
  StoreRevision Tagged(StoreRevision it) const {
    return {store_.era(), it.number};
  }
  std::vector<StoreItem> Tagged(std::vector<StoreItem> items) const {
    for (StoreItem& it : items) it.revision = Tagged(it.revision);
    return items;
  }
  std::vector<StoreChange> Tagged(std::vector<StoreChange> changes) const {
    for (StoreChange& it : changes) it.item.revision = Tagged(it.item.revision);
    return changes;
  }
  void Post(std::shared_ptr<Open> call, std::function<void()> run) {
    loop_.Post([call = std::move(call), run = std::move(run)] {
      if (!call->dropped) run();
    });
  }

  Loop& loop_;
  HistoryStore& store_;
  std::uint64_t calls_ = 0;
  std::shared_ptr<Open> wait_;
  std::unique_ptr<Timer> timer_;
};

struct FeedFleet;

// The part of a router that its feed needs.
struct FeedNode {
  FeedNode(FeedFleet& in_fleet, const std::string& vm, const std::string& hall);

  StateFeed::Handlers Handlers();
  FeedLinks Links();

  FeedFleet& fleet;
  Incarnation self;
  std::string hall;
  bool is_reader = false;
  FeedItems items;
  // Bytes of keys and values received from other nodes.
  std::size_t received = 0;
  // Reports on the store: lost (false) and back (true).
  std::vector<bool> reachable;
  HistoryClient client;
  StateFeed feed;
};

struct FeedFleet {
  struct Sent {
    Incarnation to;
    PeerMessage message;
  };

  FeedNode& Add(const std::string& vm, bool is_reader,
                const std::string& hall = "hall") {
    nodes.push_back(std::make_unique<FeedNode>(*this, vm, hall));
    nodes.back()->is_reader = is_reader;
    return *nodes.back();
  }
  void StartAll() {
    for (auto& it : nodes) it->feed.Start();
    SetRoles();
    Turn();
  }
  // Starts as in a fleet whose list of routers was read: readers read the
  // store, and the others wait for them.
  void StartFromReaders() {
    SetRoles();
    for (auto& it : nodes) {
      if (!it->is_reader) it->feed.StartFromReaders();
    }
    Turn();
  }
  void SetRoles() {
    for (auto& it : nodes) it->feed.SetRole(it->is_reader);
  }
  void Turn() {
    if (!brief_turns) return RunFor(loop, std::chrono::milliseconds(2));
    constexpr int kTurns = 4;
    for (int n = 0; n < kTurns; ++n) {
      const auto stop =
          loop.After(std::chrono::milliseconds(1), [this] { loop.Stop(); });
      loop.Run();
    }
  }
  // The store's changes reach the open waits, and the resulting messages all
  // nodes.
  void Propagate() {
    for (auto& it : nodes) it->client.AnswerWait();
    Turn();
    DeliverAll();
    Turn();
  }
  FeedNode* Find(const Incarnation& it) {
    for (auto& node : nodes) {
      if (node->self == it) return node.get();
    }
    return nullptr;
  }
  void Deliver(const Sent& it) {
    FeedNode* node = Find(it.to);
    if (node == nullptr) return;
    // Encoding and decoding unpacks the values.
    const PeerMessage message =
        it.message.packed
            ? DecodePeerMessage(EncodePeerMessage(it.message)).value()
            : it.message;
    std::size_t bytes = 0;
    for (const StoreChange& change : message.update.changes) {
      bytes += change.item.key.size() + change.item.value.size();
    }
    node->received += bytes;
    largest = std::max(largest, bytes);
    node->feed.OnPeer(message);
  }
  void DeliverAll() {
    while (!sent.empty()) {
      const Sent it = sent.front();
      sent.pop_front();
      ++delivered;
      Deliver(it);
    }
  }
  // Sends each reader's heartbeat to all nodes, and lets each node ask readers
  // whether it is current.
  void BroadcastHeartbeats() {
    SendHeartbeats();
    Poll();
  }
  // Lets each node ask a reader, and delivers the questions and the answers.
  void Poll() {
    for (auto& it : nodes) it->feed.Check();
    DeliverAll();
    // A reader that has to ask the store answers in a later turn.
    Turn();
    DeliverAll();
  }
  void SendHeartbeats() {
    for (auto& from : nodes) {
      const auto mark = from->feed.Mark();
      if (!mark) continue;
      PeerMessage it;
      it.from = from->self;
      it.marks[FeedName::kTargets] = *mark;
      for (auto& to : nodes) {
        if (to != from) sent.push_back({to->self, it});
      }
    }
    DeliverAll();
  }
  std::uint64_t Calls() const {
    std::uint64_t out = 0;
    for (const auto& it : nodes) out += it->client.calls();
    return out;
  }

  FeedClock clock;
  Loop loop;
  HistoryStore store;
  std::vector<std::unique_ptr<FeedNode>> nodes;
  std::list<Sent> sent;
  int delivered = 0;
  // Bytes that each node has received of an incomplete message.
  std::uint64_t partial_bytes = 0;
  // The most bytes of keys and values in one message.
  std::size_t largest = 0;
  // Makes turns last only some milliseconds, for tests of many steps.
  bool brief_turns = false;
};

inline FeedNode::FeedNode(FeedFleet& in_fleet, const std::string& vm,
                          const std::string& in_hall)
    : fleet(in_fleet),
      self(vm + "@1"),
      hall(in_hall),
      client(in_fleet.loop, in_fleet.store),
      feed({in_fleet.loop, in_fleet.clock, client, TheFeedChart()},
           {FeedName::kTargets,
            {.prefix = "t/", .spacing = std::chrono::milliseconds(0)}},
           Handlers(), Links()) {
  client.OnNewEra([this] { fleet.loop.Post([this] { feed.OnStoreEra(); }); });
}

inline StateFeed::Handlers FeedNode::Handlers() {
  StateFeed::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& all) {
    items.clear();
    for (const StoreItem& it : all) items[it.key] = it.value;
  };
  on.changed = [this](const StoreChange& it) {
    items.erase(it.item.key);
    if (!it.removed) items[it.item.key] = it.item.value;
  };
  on.settled = [] {};
  on.reachable = [this](bool it) { reachable.push_back(it); };
  return on;
}

inline FeedLinks FeedNode::Links() {
  FeedLinks out;
  out.send = [this](const Incarnation& to, PeerMessage it) {
    it.from = self;
    fleet.sent.push_back({to, it});
  };
  out.publish = [this](PeerMessage it) {
    it.from = self;
    for (auto& node : fleet.nodes) {
      const bool is_recipient = node->hall == hall || node->is_reader;
      if (is_recipient && node->self != self)
        fleet.sent.push_back({node->self, it});
    }
  };
  out.is_reader = [this](const Incarnation& it) {
    const FeedNode* node = fleet.Find(it);
    return node != nullptr && node->is_reader;
  };
  out.readers = [this] {
    std::vector<Incarnation> all;
    for (auto& node : fleet.nodes) {
      if (node->is_reader && node->self != self) all.push_back(node->self);
    }
    return all;
  };
  out.partial_bytes = [this](const Incarnation&) {
    return fleet.partial_bytes;
  };
  out.checking_peer = [this] {
    Incarnation first = self;
    for (auto& node : fleet.nodes) {
      if (node->is_reader) first = std::min(first, node->self);
    }
    return first == self ? Incarnation() : first;
  };
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_TESTING_FEED_FLEET_H_
