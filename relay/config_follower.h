// ConfigFollower keeps the configuration in force up to date, from the store
// and from peers.
//
//   ConfigFollower configs(loop, store, reader, handlers);
//   configs.Start();
//   configs.OnPeer(message);         // each message of a peer
//   if (configs.map()) Serve(*configs.map());
//
// Adoption. A configuration is adopted only if its version is higher than the
// one in force, whoever shows it: the store's answer to a wait, a whole read,
// or a peer. A store that is behind, an operator's older write or a peer that
// was cut off can therefore take nothing back. One that can't be read is
// refused with a line in the log, and the one in force stays.
//
// Asking a peer. Each sign of life of a peer (relay/peer_mesh.h, one a second)
// says which version the peer has in force. A router that hears of a higher one
// first gives its own wait for changes a moment (`kOwnWaitFirst`), as the store
// usually tells all routers at once. If it still has the version that it had
// then, it asks that peer, which sends the store's item as it has it. Only one
// such question is under way at a time; a question or an answer that is lost is
// made up for after the next sign of life.
//
// Halls that are closed to new work stand below the same prefix, and so cost no
// call of their own (fleet/closed_halls.h). They are told with each sign of
// life and with each configuration that is sent to a peer, and are in force
// before that configuration is: a router that starts while a hall is closed
// isn't ready before it knows.
//
// A store that comes back from an older copy of itself shows an older
// configuration, which isn't adopted, and the halls as they were. What it shows
// of halls that are known here counts `kWrittenAgainWithin` later, as operators
// write again what was lost.
//
// In a large fleet most routers don't follow the store but are told by readers
// (relay/state_feed.h); the rules above are the same for what those tell.
//
// It owns the configuration in force and the feed of the store's prefix. It
// relies on `SharedStateReader` to read items, and on its handlers to reach
// peers. Store, reader and loop must outlive it. Errors are logged here and
// aren't reported to the caller.

#ifndef QUAYTRACK_RELAY_CONFIG_FOLLOWER_H_
#define QUAYTRACK_RELAY_CONFIG_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "config/service_map.h"
#include "fleet/closed_halls.h"
#include "net/loop.h"
#include "relay/dialect.h"
#include "relay/peer_messages.h"
#include "relay/state_feed.h"
#include "rollout/order_book.h"

namespace quaytrack {

class ConfigFollower {
 public:
  // After the first reading of a later era. Operators write again within some
  // seconds what the store has lost.
  static constexpr Duration kWrittenAgainWithin = std::chrono::seconds(10);

  struct Handlers {
    // Another configuration is in force: the first, or a higher version.
    std::function<void()> adopted;
    // Sends a message to one peer.
    std::function<void(const Incarnation&, PeerMessage)> send;
    // The store was lost (false) or is back (true).
    std::function<void(bool)> store_reachable;
    // What the feed needs of the fleet; unused in a small one.
    FeedLinks feed = {};
    // Some hall is closed that was open, or the other way round.
    std::function<void()> halls_changed = [] {};
    // A service is to move to another version; null if it no longer is.
    std::function<void(const ServiceName&, const RolloutOrder*)>
        rollout_ordered = [](const ServiceName&, const RolloutOrder*) {};
  };

  ConfigFollower(const FeedContext& context, const SharedStateReader& reader,
                 Handlers handlers);

  void Start() { feed_.Start(); }
  void OnPeer(const PeerMessage& message);
  // The store is back: what waited through the outage may never be answered.
  void AskStoreAgain() { feed_.AskAgain(); }
  StateFeed& feed() { return feed_; }

  // Null before the first.
  const ServiceMapPtr& map() const { return map_; }
  // Of the configuration in force; 0 before the first.
  std::uint64_t version() const { return map_ ? map_->version() : 0; }
  const ClosedHalls& halls() const { return halls_; }

 private:
  // Who has shown a configuration; the word is the log's.
  enum class Source { kStore, kPeer };

  StateFeed::Handlers StoreHandlers();
  void ReplaceHalls(const std::vector<StoreItem>& items);
  void NoteHall(const StoreChange& change);
  void TakeShownHallsLater();
  void ReplaceOrders(const std::vector<StoreItem>& items);
  void NoteOrder(const StoreChange& change);
  void TellOrders(const std::vector<ServiceName>& changed);
  void DropCarriedOrdersLater();
  void TakeHalls(const std::vector<HallName>& changed, Source source);
  void AdoptIfHigher(const StoreItem& item, Source source);
  void AskPeerLater(const Incarnation& peer);
  void SendTo(const Incarnation& peer);

  Loop& loop_;
  const SharedStateReader& reader_;
  Handlers on_;
  ServiceMapPtr map_;
  // The item that `map_` was read from, for peers.
  StoreItem item_;
  ClosedHalls halls_;
  OrderBook orders_;
  StateFeed feed_;
  std::unique_ptr<Timer> ask_timer_;
  // Runs while halls are not as the store shows them.
  std::unique_ptr<Timer> shown_timer_;
  // The same for orders.
  std::unique_ptr<Timer> carried_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CONFIG_FOLLOWER_H_
