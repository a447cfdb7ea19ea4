// FleetDriver keeps the list of routers (fleet/fleet.h) up to date.
//
//   FleetDriver fleet(loop, store, {vm, hall, ""}, options);
//   fleet.OnChanged([&] { peers.KeepLinksTo(fleet.directory()...); });
//   fleet.SetAddress("10.0.0.7:8082");
//   fleet.Start();
//   fleet.OnHello(member);            // a router that has linked to this one
//   fleet.OnReaderCounts(295);        // from each reader's heartbeat
//
// Each router writes its entry into the store when it starts, and polls the
// entries of all routers: at short intervals at first, as the routers of a
// fleet start together, and then at growing ones (constants in the .cc).
// Between two reads, a router that opens a link sends its name and address.
//
// The entries are polled, not followed: while a fleet starts, following would
// wake all routers for each entry, and a list that is some seconds old does no
// harm (fleet/fleet.h says why). In a large fleet the readers (fleet/fleet.h)
// poll. They send with each heartbeat how many routers they know, and the other
// routers read the list only if they know another number, or after a long time.
// A router that knows the same number as a reader settles without a second
// read. Nothing removes an entry; a VM that is gone for good stays in the list.
//
// The size of the list grows with the fleet, and so does the number of routers
// that read it. So all routers but the readers spread a read over a time that
// grows with both (`ReadingSpread`): together they take the same share of the
// store's link in a fleet of any size.
//
// The first write of the entry requires that there is none, which shows whether
// this process is the first on its VM.
//
// A store that comes back from an older copy of itself, in a later era, may
// lack this router's entry, or have that of an earlier run; the entry is then
// written again.
//
// FleetDriver owns the directory. Calls to the store that fail are retried
// after `kRetryAfter`, without limit; writing the entry twice does no harm. An
// entry that can't be read is skipped and logged. Store and loop must outlive
// the driver.

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
  // The time over which all routers of a fleet spread one read of the list
  // each.
  static constexpr Duration ReadingSpread(std::size_t routers) {
    return std::chrono::microseconds(4) * static_cast<long>(routers * routers);
  }

  FleetDriver(Loop& loop, KvStore& store, FleetMember self,
              FleetOptions options);

  // Sets a callback for when the list has changed, and once when it has settled
  // (`settled`).
  void OnChanged(std::function<void()> changed) {
    changed_ = std::move(changed);
  }
  // Sets a callback for the first read of the list; it runs after
  // `OnChanged`'s.
  void OnFirstRead(std::function<void()> first_read) {
    first_read_ = std::move(first_read);
  }
  // Sets where peers reach this router, "host:port"; call before `Start`.
  void SetAddress(const std::string& address);
  void Start() { WriteEntry(); }
  // Called when a router has sent its name and address.
  void OnHello(const FleetMember& member);
  // Called when a reader's heartbeat states that the reader knows `routers`
  // routers. Not called at readers.
  void OnReaderCounts(std::size_t routers);

  // Called when the store has come back in a later era (kv/store.h).
  void OnStoreEra();

  const FleetDirectory& directory() const { return directory_; }
  // Whether an earlier process on this VM may have written an entry.
  bool has_predecessor() const { return has_predecessor_; }
  // Whether the list was read for the second time, or was found complete.
  // Routers that started together with this one have then had time to write
  // their entries.
  bool settled() const { return settled_; }

 private:
  void WriteEntry();
  void ReadEntries();
  void OnSnapshot(const StoreSnapshot& snapshot);
  std::vector<FleetMember> OtherMembers(const StoreSnapshot& snapshot) const;
  void ScheduleCountRead();
  void Settle();
  // Returns the random delay of a read, up to `ReadingSpread`; zero for a
  // reader or in a small fleet.
  Duration DrawSpread();
  // Runs `step` after about `delay`, with jitter.
  void RunLater(Duration delay, void (FleetDriver::*step)());

  Loop& loop_;
  KvStore& store_;
  FleetDirectory directory_;
  std::function<void()> changed_;
  std::function<void()> first_read_;
  bool settled_ = false;
  bool has_predecessor_ = false;
  // Interval from the next read to the one after it.
  Duration interval_;
  Duration max_interval_;
  // Runs while the last read of the list is too recent for another one because
  // of a differing number of routers.
  std::unique_ptr<Timer> recent_timer_;
  std::minstd_rand random_{std::random_device{}()};
  KvStore::CallPtr call_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FLEET_DRIVER_H_
