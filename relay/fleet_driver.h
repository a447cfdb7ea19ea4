// Keeps the list of routers (fleet/fleet.h) up to date: each writes an entry
// of its own into the store when it starts, and reads all of them now and then.
// Between reads, routers that link to this one say where they are.
//
// The entries are polled, not followed: a fleet that starts would wake all
// routers for each entry, and a list that is some seconds old does no harm.

#ifndef QUAYTRACK_RELAY_FLEET_DRIVER_H_
#define QUAYTRACK_RELAY_FLEET_DRIVER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "fleet/fleet.h"
#include "kv/store.h"
#include "net/loop.h"

namespace quaytrack {

class FleetDriver {
 public:
  FleetDriver(Loop& loop, KvStore& store, FleetMember self,
              FleetOptions options);

  // Called when the list has changed, and once when it was first read.
  void OnChanged(std::function<void()> changed) {
    changed_ = std::move(changed);
  }
  // Where peers reach this router; before `Start`.
  void SetAddress(const std::string& address);
  void Start();
  // A router has said who and where it is.
  void OnHello(const FleetMember& member);

  const FleetDirectory& directory() const { return directory_; }
  // The routers of a fleet that starts have had time to write their entries.
  bool settled() const { return settled_; }

 private:
  void Register();
  void Read();
  void OnSnapshot(const StoreSnapshot& snapshot);
  void After(Duration delay, void (FleetDriver::*step)());

  Loop& loop_;
  KvStore& store_;
  FleetDirectory directory_;
  std::function<void()> changed_;
  bool settled_ = false;
  // Time to the next read.
  Duration interval_;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FLEET_DRIVER_H_
