// TargetFollower keeps the list of targets (fleet/target_registry.h) up to date
// from the store.
//
//   TargetFollower targets(context, reader, handlers);
//   targets.Start(routers);
//   targets.OnStoreReachable(false);        // from every client of the store
//   targets.OnPeer(message);                // each message of a peer
//   placement.SetTargets(targets.registry().entries());
//
// The list comes from the store alone, since only the store knows which entries
// have expired. In a large fleet readers forward it as the store has it, with
// its revisions (relay/state_feed.h). Otherwise peers don't send it, but only
// the revision of the latest change that they know. A router that has not read
// that far gives its own wait some time (relay/own_wait.h) and then asks the
// store again, because a wait that the network or the store has lost is not
// answered.
//
// Entries kept through an outage. During an outage of the store a target's
// entry may expire although the target lives; the target enters itself again
// shortly after the store is back. On the other hand a target that has left
// must get no new work from 2 s after this router saw its entry missing,
// whatever the store does. The rule satisfies both bounds:
//
//   - From the first report that the store is lost, a target that vanishes from
//     the list is kept, unless it was seen leaving.
//   - Keeping ends `kRelistTime` after the first report that the store is back.
//     A target that vanishes after that is removed at once. Further reports of
//     the return (each client of the store makes one) don't extend it; a report
//     after that time starts a new period of keeping.
//   - A kept target that isn't listed again is removed `kRelistTime` after the
//     first of the missing targets was seen missing: one timer serves them all,
//     so none is kept longer, and a later one is kept for a shorter time. This
//     holds during the outage as well.
//
// A store that comes back from an older copy of itself lists the targets as
// they were then, until they have written their entries again. So the first
// read of a later era (kv/store.h) counts as an outage, by the rules above. An
// entry in it of a target that isn't listed here may be that of a target that
// had left: it takes effect once it is written again, or if it is still there
// after `kMaxEntryDelay`, by which time it would have expired. A target that is
// known to leave stays leaving, and peers are notified
// (fleet/target_registry.h).
//
// Currency. A decision that rests on what the list lacks, such as another
// version of a service, needs a list that is known to be complete:
// `IsCurrentAt` says whether every change that the store accepted by a time is
// known here, as shown by the store or by a peer that was asked
// (relay/state_feed.h), and `complete_since` since when no version can have
// come and gone unseen. A router that was frozen or cut off learns of its gap
// only so.
//
// The inputs are the store's answers and `OnStoreReachable`; times are the
// loop's. Without keeping, all targets would seem gone after an outage; if each
// report extended it, targets that have left would keep getting work.
//
// Store, reader and loop must outlive the follower. An entry that can't be read
// is refused and logged; its target counts as no longer listed, by the rule
// above, and the others stay.

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
#include "relay/currency_wait_list.h"
#include "relay/dialect.h"
#include "relay/state_feed.h"

namespace quaytrack {

class TargetFollower {
 public:
  struct Handlers {
    // Called when the list may have changed.
    std::function<void()> changed;
    // Called when this follower has lost the store (false) or has it back
    // (true). The receiver notifies every part concerned, including this
    // follower.
    std::function<void(bool)> store_reachable;
    // The feed's access to the fleet; unused in a small fleet.
    FeedLinks feed = {};
    // Called when a listed target has started again; `before` is its entry from
    // before the restart.
    std::function<void(const TargetEntry& before)> restarted = {};
    // Called when a target's entry vanished outside an outage, without an
    // announcement that the target leaves.
    std::function<void(const TargetEntry& gone)> vanished = [](const auto&) {};
  };

  TargetFollower(const FeedContext& context, const SharedStateReader& reader,
                 Handlers handlers);

  // Call once the list of routers was read. `routers` is their number in a
  // fleet that has readers, which then send the list, and 0 in another.
  void Start(std::size_t routers);
  void OnPeer(const PeerMessage& message);
  // Called when the target has announced in an answer that it leaves. Returns
  // whether this was not known before.
  bool OnLeavingNotice(const TargetEntry& target);
  // Called when a client of the store has lost the store (false) or has it back
  // (true).
  void OnStoreReachable(bool reachable);

  // Whether every change that the store accepted by `at` is known here.
  bool IsCurrentAt(Instant at) const;
  // Asks the store and peers, and calls `done` with true once
  // `IsCurrentAt(at)`, or with false if no answer comes. Never calls it from
  // inside.
  void AwaitCurrent(Instant at, CurrencyWaitList::Done done) {
    waits_.Await(at, std::move(done));
  }
  // Whether peers have lately said that they know no later change either. That
  // is no proof, but all that can be known while the store is away for all; a
  // router that is cut off hears no peer.
  bool AgreesWithPeers() const;
  // Every target that was listed since this time has been known here.
  Instant complete_since() const { return complete_since_; }

  const TargetRegistry& registry() const { return registry_; }
  // Revision of the latest change in the list; sent to peers.
  StoreRevision revision() const { return feed_.latest_change(); }
  StateFeed& feed() { return feed_; }

 private:
  StateFeed::Handlers StoreHandlers();
  // Called when a peer knows a change of the list at `revision`.
  void OnPeerRevision(StoreRevision revision);
  void OnMark(const PeerMessage& message);
  void NotePeerRevision(StoreRevision revision);
  void Replace(const std::vector<StoreItem>& items);
  // An entry and the revision at which it was read.
  struct ReadEntry {
    TargetEntry entry;
    StoreRevision revision;
  };
  void SetAsideUnconfirmed(std::vector<ReadEntry>& read);
  void AcceptUnconfirmed();
  void ApplyEntry(const StoreItem& item);
  void ReportRestart(const TargetEntry& entry);
  void Remove(const TargetName& name);
  bool MarkLeaving(const TargetName& name, WallTime started_at,
                   const char* source);
  void StopKeepingLater();
  void DropMissingLater();
  void DropMissing();

  Loop& loop_;
  const Clock& clock_;
  const SharedStateReader& reader_;
  Handlers on_;
  TargetRegistry registry_;
  CurrencyWaitList waits_;
  // As `StateFeed::current_at`, as shown by a peer in a small fleet.
  Instant current_by_peer_{};
  // The latest change that a peer knows, and when a peer last named one.
  StoreRevision peer_revision_;
  Instant peer_heard_at_{};
  Instant complete_since_{};
  StateFeed feed_;
  // Runs while a change that a peer knows is awaited.
  std::unique_ptr<Timer> behind_timer_;
  // Runs from the store's return until keeping ends.
  std::unique_ptr<Timer> keeping_timer_;
  // Runs while any target is missing.
  std::unique_ptr<Timer> missing_timer_;
  // The era of the list; unset until the list was read.
  std::optional<std::int64_t> era_;
  // Entries of an older copy of the store that may be those of targets that had
  // left.
  std::map<TargetName, ReadEntry> unconfirmed_;
  std::unique_ptr<Timer> unconfirmed_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_TARGET_FOLLOWER_H_
