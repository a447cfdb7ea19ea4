// TargetFollower keeps the list of targets (fleet/target_registry.h) up to date
// from the store.
//
//   TargetFollower targets(loop, store, reader, handlers);
//   targets.Start();
//   targets.OnStoreReachable(false);        // from every user of the store
//   targets.OnPeer(message);                // each message of a peer
//   placement.SetTargets(targets.registry().entries());
//
// The list is the store's alone, since only the store knows which entries have
// lapsed. In a large fleet readers pass it on as the store has it, with its
// revisions (relay/state_feed.h). Otherwise peers don't send it, but say the
// revision of the latest change that they know. A router that has not read that
// far gives its own wait a moment (relay/own_wait.h) and then asks the store
// again, because a wait that the network or the store has swallowed is not
// answered.
//
// Entries kept through an outage. While the store is away a target's entry may
// lapse although the target lives; the target enters itself again soon after
// the store is back. On the other hand a target that has left must get no new
// work from 2 s after this router saw that it is gone, whatever the store does.
// Both bounds are the users', and the rule serves both:
//
//   - From the first sign that the store is lost, a target that vanishes from
//     the list is kept, unless it was seen leaving.
//   - Keeping ends `kRelistTime` after the first sign that the store is back.
//     What vanishes after that is gone at once. Further signs of the return, as
//     each user of the store gives one, don't extend it; one that comes after
//     that time begins a keeping of its own.
//   - Whatever was kept and isn't listed again is gone `kRelistTime` after the
//     first of the missing targets was seen missing: one timer serves them all,
//     so none is kept longer, and a later one is kept for a shorter time. This
//     holds during the outage as well.
//
// A store that comes back from an older copy of itself lists the targets as
// they were then, until they have written their entries again. So the first
// reading of a later era is the sign of an outage, by the rules above. An entry
// in it of a target that isn't listed here may be that of one that had gone: it
// counts once it is written again, or if it is still there `kEntryTellsWithin`
// later, when it would have lapsed. What is known to leave stays leaving, and
// peers are told (fleet/target_registry.h).
//
// The inputs are the store's answers and `OnStoreReachable`; times are of the
// loop. docs/FINDINGS.md has the two days on which an earlier form of the rule
// failed: one without keeping, and one in which each sign extended it.
//
// Store, reader and loop must outlive the follower. An entry that can't be read
// is refused with a line in the log; its target counts as no longer listed, by
// the rule above, and the others stay.

#ifndef QUAYTRACK_RELAY_TARGET_FOLLOWER_H_
#define QUAYTRACK_RELAY_TARGET_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "fleet/target_registry.h"
#include "net/loop.h"
#include "relay/dialect.h"
#include "relay/state_feed.h"

namespace quaytrack {

class TargetFollower {
 public:
  struct Handlers {
    // The list may have changed.
    std::function<void()> changed;
    // This follower has lost the store (false) or has it back (true). The
    // receiver tells all who need to know, this follower included.
    std::function<void(bool)> store_reachable;
    // What the feed needs of the fleet; unused in a small one.
    FeedLinks feed = {};
    // A target that was listed has started again; this is its earlier start.
    std::function<void(const TargetEntry& before)> restarted = {};
    // A target's entry went, outside an outage, and hadn't said that it leaves.
    std::function<void(const TargetEntry& gone)> vanished = [](const auto&) {};
  };

  TargetFollower(const FeedContext& context, const SharedStateReader& reader,
                 Handlers handlers);

  // Once the list of routers was read: `routers` is their number in a fleet
  // that has readers, who then send the list, and 0 in another.
  void Start(std::size_t routers);
  void OnPeer(const PeerMessage& message);
  // The target has said in an answer that it leaves. Returns whether that is
  // new.
  bool OnSaysLeaving(const TargetEntry& target);
  // Some user of the store has lost it (false) or has it back (true).
  void OnStoreReachable(bool reachable);

  const TargetRegistry& registry() const { return registry_; }
  // Revision of the latest change that is in the list, for peers.
  StoreRevision revision() const { return feed_.latest_change(); }
  StateFeed& feed() { return feed_; }

 private:
  StateFeed::Handlers StoreHandlers();
  // A peer knows a change of the list at this revision of the store.
  void OnPeerRevision(StoreRevision revision);
  void Replace(const std::vector<StoreItem>& items);
  // An entry as it was read, and at which revision.
  struct ReadEntry {
    TargetEntry entry;
    StoreRevision revision;
  };
  void SetAsideUnproven(std::vector<ReadEntry>& read);
  void TakeUnproven();
  void Take(const StoreItem& item);
  void NoticeRestart(const TargetEntry& entry);
  void Remove(const TargetName& name);
  bool MarkLeaving(const TargetName& name, WallTime started_at,
                   const char* told_by);
  void StopKeepingLater();
  void DropMissingLater();
  void DropMissing();

  Loop& loop_;
  const SharedStateReader& reader_;
  Handlers on_;
  TargetRegistry registry_;
  StateFeed feed_;
  // Runs while a change that a peer knows is awaited.
  std::unique_ptr<Timer> behind_timer_;
  // Runs from the store's return until keeping ends.
  std::unique_ptr<Timer> keeping_timer_;
  // Runs while something is missing.
  std::unique_ptr<Timer> missing_timer_;
  // The era of the list, once it was read.
  std::optional<std::int64_t> era_;
  // Entries of a copy that may be those of targets that had gone.
  std::map<TargetName, ReadEntry> unproven_;
  std::unique_ptr<Timer> unproven_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_TARGET_FOLLOWER_H_
