// ConfigFollower keeps the configuration in force up to date, from the store
// and from peers.
//
//   ConfigFollower configs(context, reader, handlers);
//   configs.Start();
//   configs.OnPeer(message);         // each message of a peer
//   if (configs.map()) Serve(*configs.map());
//
// Adoption. A configuration is adopted only if its version is higher than the
// one in force, whether it comes from the store's answer to a wait, a full read
// or a peer. So a store that is behind, an operator's older write or a peer
// that was cut off can't revert the configuration in force. A configuration
// that can't be read is refused and logged, and the one in force stays.
//
// Requests to peers. Each heartbeat of a peer (relay/peer_mesh.h, one a second)
// carries the version that the peer has in force. A router that receives a
// higher one first gives its own wait for changes some time (`kLocalWaitTime`),
// as the store usually notifies all routers at once. If its version hasn't
// changed by then, it sends a request to that peer, which sends the store's
// item unchanged. After a lost request or answer, the next heartbeat causes
// another; while an answer is arriving, none is sent, because a second copy of
// a large configuration would delay the first.
//
// Currency. A router refuses a request for its route or its key only if it
// knows that the configuration in force has neither: `IsCurrentAt` says whether
// every configuration that was accepted by a time has been read here, as shown
// by the store or by a peer that was asked (relay/state_feed.h). `AwaitCurrent`
// asks both. A configuration that was accepted and can't be read here leaves
// that unknown.
//
// Access. What is in doubt lets nobody in:
//   - A configuration that was accepted and can't be read may have taken keys
//     away (`IsUnreadable`). It is read again every `kReadAgain`, in case the
//     answer was spoiled.
//   - A router that stood still, with its process or VM, doesn't know what was
//     changed meanwhile, until the store or a peer has shown the present state
//     (`MayHaveMissedChanges`). While the store is away it serves by what it
//     has, as any router does.
//   - Callers that needed keys go on to need them if a later configuration
//     doesn't mention customers: to say nothing isn't to open access.
//
// `IsOutdated` says whether a peer has had a later configuration in force for
// so long that this one must not be used any more. Without such a peer a router
// serves by what it has: an outage of the store must not stop the fleet.
//
// Halls that are closed to new work are stored below the same prefix, so they
// cost no calls of their own (fleet/closed_halls.h). They are sent with each
// heartbeat and with each configuration that is sent to a peer, and take effect
// before that configuration does: a router that starts while a hall is closed
// isn't ready before it knows.
//
// A store that comes back from an older copy of itself, in a later era
// (kv/store.h), shows an older configuration, which isn't adopted, and the
// halls as they were. Its state of halls that are known here takes effect only
// `kRewriteTime` later, as operators write again what was lost.
//
// In a large fleet most routers don't follow the store but receive updates from
// readers (relay/state_feed.h); the rules above apply to these updates as well.
//
// ConfigFollower owns the configuration in force and the feed of the store's
// prefix. It uses `SharedStateReader` to read items, and its handlers to reach
// peers. Store, reader and loop must outlive it. Errors are logged here and
// aren't reported to the caller.

#ifndef QUAYTRACK_RELAY_CONFIG_FOLLOWER_H_
#define QUAYTRACK_RELAY_CONFIG_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "config/service_map.h"
#include "fleet/closed_halls.h"
#include "net/loop.h"
#include "relay/currency_wait_list.h"
#include "relay/dialect.h"
#include "relay/packed_value_cache.h"
#include "relay/peer_messages.h"
#include "relay/standstill.h"
#include "relay/state_feed.h"
#include "rollout/order_book.h"

namespace quaytrack {

class ConfigFollower {
 public:
  // How long a router may know of a later configuration before it stops using
  // its own: less than the 2 s within which a configuration must be in force.
  static constexpr Duration kMaxBehind = std::chrono::milliseconds(1500);
  // How long a peer's word on its version holds: two heartbeats.
  static constexpr Duration kVersionHeard = std::chrono::milliseconds(2500);
  // Time from the first read of a later era until the store's halls and orders
  // replace those known from before. Operators write again within some seconds
  // what the store has lost.
  static constexpr Duration kRewriteTime = std::chrono::seconds(10);
  // How often a configuration that can't be read is read again: seldom enough
  // that the reads of a fleet don't weigh on the store.
  static constexpr Duration kReadAgain = std::chrono::seconds(2);

  struct Handlers {
    // Called when a configuration was adopted: the first one, or one of a
    // higher version.
    std::function<void()> adopted;
    // Sends a message to one peer.
    std::function<void(const Incarnation&, PeerMessage)> send;
    // Called when the store was lost (false) or is back (true).
    std::function<void(bool)> store_reachable;
    // The feed's access to the fleet; unused in a small fleet.
    FeedLinks feed = {};
    // Called when a hall was closed or reopened.
    std::function<void()> halls_changed = [] {};
    // Called when a service was ordered to move to another version; the order
    // is null if it was withdrawn.
    std::function<void(const ServiceName&, const RolloutOrder*)>
        rollout_ordered = [](const ServiceName&, const RolloutOrder*) {};
  };

  ConfigFollower(const FeedContext& context, const SharedStateReader& reader,
                 Handlers handlers);

  void Start() { feed_.Start(); }
  void OnPeer(const PeerMessage& message);
  // Starts a new wait for changes when the store is back, as a wait that was
  // open during the outage may never be answered.
  void RestartStoreWait() { feed_.RestartWait(); }
  StateFeed& feed() { return feed_; }

  // Whether every configuration that was accepted by `at` has been read here.
  bool IsCurrentAt(Instant at) const;
  // Asks the store and peers, and calls `done` with true once
  // `IsCurrentAt(at)`, or with false if no answer comes. Never calls it from
  // inside.
  void AwaitCurrent(Instant at, CurrencyWaitList::Done done) {
    waits_.Await(at, std::move(done));
  }
  // Whether a peer has had a later configuration for over `kMaxBehind`.
  bool IsOutdated() const;
  // Whether the store's configuration can't be read.
  bool IsUnreadable() const { return is_unreadable_; }
  // Whether this router stood still, and changes of that time may be unknown.
  bool MayHaveMissedChanges();
  // When this router last ran again after it had stood still.
  Instant resumed_at() const { return standstill_.resumed_at(); }
  // Shows that the loop runs; called several times a second.
  void Check() { standstill_.Note(clock_.Now()); }

  // Null until a configuration was adopted.
  const ServiceMapPtr& map() const { return map_; }
  // Version of the configuration in force; 0 if there is none.
  std::uint64_t version() const { return map_ ? map_->version() : 0; }
  const ClosedHalls& halls() const { return halls_; }

 private:
  // Where a configuration came from, as the log names it.
  enum class Source { kStore, kPeer };

  StateFeed::Handlers StoreHandlers();
  void ReplaceHalls(const std::vector<StoreItem>& items);
  void ApplyHall(const StoreChange& change);
  void AdoptStoredHallsLater();
  void ReplaceOrders(const std::vector<StoreItem>& items);
  void ApplyOrder(const StoreChange& change);
  void NotifyOrders(const std::vector<ServiceName>& changed);
  void DropCarriedOrdersLater();
  void ReportHalls(const std::vector<HallName>& changed, Source source);
  void LogConfigGone() const;
  bool AdoptIfHigher(const StoreItem& item, Source source);
  ServiceMapPtr KeepAccessClosed(const ServiceMapPtr& next) const;
  void SetUnreadable(bool is_unreadable);
  void RequestFromPeerLater(const Incarnation& peer);
  bool IsReceiving() const;
  void SendTo(const PeerMessage& request);

  // Currency.
  FeedLinks LinksOfFeed() const;
  void OnMark(const PeerMessage& message);
  void NoteLaterVersion();
  // Whether a peer has lately said that it has a later configuration.
  bool HasLaterPeer() const;

  Loop& loop_;
  const Clock& clock_;
  const SharedStateReader& reader_;
  Handlers on_;
  ServiceMapPtr map_;
  // The item that `map_` was read from; it is sent to peers. Its revision is 0
  // if it came from a peer.
  StoreItem item_;
  PackedValueCache packed_values_;
  ClosedHalls halls_;
  RolloutOrders orders_;
  // The latest configuration of the store can't be read.
  bool is_unreadable_ = false;
  // Runs while that is so.
  std::unique_ptr<Timer> read_again_timer_;
  Standstill standstill_;
  bool is_store_lost_ = false;
  // Every configuration that was accepted by this time is known here, as shown
  // by a peer that has the same one in force.
  Instant current_by_peer_{};
  // Since when peers have a later configuration, and when one last said so.
  std::optional<Instant> later_since_;
  Instant later_heard_{};
  CurrencyWaitList waits_;
  StateFeed feed_;
  // Peers that were asked for a later configuration than the present one.
  std::set<Incarnation> requested_from_;
  std::unique_ptr<Timer> request_timer_;
  // Runs while the state of the halls differs from the store's.
  std::unique_ptr<Timer> stored_halls_timer_;
  // Runs while orders are kept that the store no longer shows.
  std::unique_ptr<Timer> carried_orders_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CONFIG_FOLLOWER_H_
