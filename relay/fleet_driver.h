// FleetDriver keeps the list of routers (fleet/fleet.h) up to date.
//
//   FleetDriver fleet(loop, store, {vm, hall, ""}, options);
//   fleet.OnChanged([&] { peers.KeepLinksTo(fleet.directory()...); });
//   fleet.SetAddress("10.0.0.7:8082");
//   fleet.Start();
//   fleet.OnHello(member);            // a router that has linked to this one
//   fleet.OnReaderCounts(295);        // from each reader's sign of life
//
// Each router writes an entry of its own into the store when it starts, and
// reads those of all routers again and again: soon at first, as the routers of
// a fleet start together, and then less and less often (constants in the .cc).
// Between two reads, a router that opens a link says who and where it is.
//
// The entries are polled, not followed: while a fleet starts, following would
// wake all routers for each entry, and a list that is some seconds old does no
// harm (fleet/fleet.h says why). In a large fleet the readers (fleet/fleet.h)
// poll; they say with each sign of life how many routers they know, and the
// others read the list only where they know another number, or after a long
// time. One that knows the number that a reader knows needs no second reading
// to settle. Nothing removes an entry; a VM that is gone for good stays in the
// list (docs/FINDINGS.md).
//
// The list grows with the fleet, and so do those that read it. So all but the
// readers spread a reading over a time that grows with both (`ReadingSpread`):
// together they take the same part of the store's link in a fleet of any size.
//
// A store that comes back from an older copy of itself may lack this router's
// entry, or have that of an earlier run; the entry is then written again.
//
// It owns the directory. Calls to the store that fail are made again after
// `kRetryAfter`, without end; writing the entry twice is the same as once. An
// entry that can't be read is left out, with a line in the log. Store and loop
// must outlive the driver.

#ifndef QUAYTRACK_RELAY_FLEET_DRIVER_H_
#define QUAYTRACK_RELAY_FLEET_DRIVER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"
#include "kv/store.h"
#include "net/loop.h"

namespace quaytrack {

class FleetDriver {
 public:
  // Over how long all routers of a fleet spread one reading of the list each.
  static constexpr Duration ReadingSpread(std::size_t routers) {
    return std::chrono::microseconds(4) * static_cast<long>(routers * routers);
  }

  FleetDriver(Loop& loop, KvStore& store, FleetMember self,
              FleetOptions options);

  // Called when the list has changed, and once when it has settled.
  void OnChanged(std::function<void()> changed) {
    changed_ = std::move(changed);
  }
  // Called once, when the list was first read; after `OnChanged`'s.
  void OnFirstRead(std::function<void()> first_read) {
    first_read_ = std::move(first_read);
  }
  // Where peers reach this router, "host:port"; before `Start`.
  void SetAddress(const std::string& address);
  void Start() { WriteOwnEntry(); }
  // A router has said who and where it is.
  void OnHello(const FleetMember& member);
  // A reader, which this router isn't, knows so many routers.
  void OnReaderCounts(std::size_t routers);

  // The store has come back in a later era.
  void OnStoreEra();

  const FleetDirectory& directory() const { return directory_; }
  // The list was read for the second time, so that routers that started
  // together with this one have had time to write their entries.
  bool settled() const { return settled_; }

 private:
  void WriteOwnEntry();
  void ReadEntries();
  void OnSnapshot(const StoreSnapshot& snapshot);
  std::vector<FleetMember> OthersIn(const StoreSnapshot& snapshot) const;
  void ReadSoon();
  void Settle();
  // Nothing for a reader, or in a small fleet.
  Duration DrawSpread();
  // Runs `step` after `delay`, more or less.
  void RunLater(Duration delay, void (FleetDriver::*step)());

  Loop& loop_;
  KvStore& store_;
  FleetDirectory directory_;
  std::function<void()> changed_;
  std::function<void()> first_read_;
  bool settled_ = false;
  // From the next read to the one after it.
  Duration interval_;
  Duration longest_interval_;
  // Runs while the list was read too shortly ago to be read for its number.
  std::unique_ptr<Timer> recent_timer_;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FLEET_DRIVER_H_
