// Keeps the configuration in force and the list of targets up to date, from the
// store and, for the configuration, from peers.
//
// A version is taken only if it is higher than the one in force, whoever shows
// it, so that no stale answer takes one back. A router that hears of a higher
// version than its own gives its own watch a moment, and then asks the peer.
// The list of targets is the store's alone, as only it knows what has lapsed; a
// router that hears of a later change than its own asks the store again, since
// its wait may be lost.

#ifndef QUAYTRACK_RELAY_CONFIG_DRIVER_H_
#define QUAYTRACK_RELAY_CONFIG_DRIVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "config/service_map.h"
#include "fleet/target_registry.h"
#include "kv/follower.h"
#include "net/loop.h"
#include "relay/dialect.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class ConfigDriver {
 public:
  struct Handlers {
    std::function<void()> config_taken;
    std::function<void()> targets_changed;
    // Sends a message to one peer.
    std::function<void(const Incarnation&, PeerMessage)> tell;
  };

  ConfigDriver(Loop& loop, KvStore& store, const SharedStateReader& reader,
               Handlers handlers);

  void Start();
  void OnPeer(const PeerMessage& message);
  // Some user of the store lost it, or has it back. Targets that vanish from
  // the list around that are kept for a while (fleet/target_registry.h).
  void OnStoreReachable(bool reachable);

  const ServiceMapPtr& map() const { return map_; }
  std::uint64_t version() const { return map_ ? map_->version() : 0; }
  std::int64_t targets_revision() const {
    return target_follower_.latest_change();
  }
  const TargetRegistry& targets() const { return targets_; }

 private:
  StoreFollower::Handlers ConfigHandlers();
  StoreFollower::Handlers TargetHandlers();
  void TakeConfig(const StoreItem& item, const char* from);
  void TakeTarget(const StoreItem& item);
  void ReplaceTargets(const std::vector<StoreItem>& items);
  void NoteTarget(const TargetEntry& entry);
  void AskLater(const Incarnation& peer);
  void CheckTargetsLater(std::int64_t revision);
  void WatchMissing();
  void DropMissing();
  void OnReachable(const char* what, bool reachable);

  Loop& loop_;
  const SharedStateReader& reader_;
  Handlers on_;
  ServiceMapPtr map_;
  // The item that `map_` was read from, for peers.
  StoreItem item_;
  TargetRegistry targets_;
  StoreFollower config_follower_;
  StoreFollower target_follower_;
  std::unique_ptr<Timer> ask_timer_;
  std::unique_ptr<Timer> check_timer_;
  std::unique_ptr<Timer> release_timer_;
  std::unique_ptr<Timer> missing_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CONFIG_DRIVER_H_
