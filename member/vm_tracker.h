// Decides from the platform's VM list which VMs are leaving or gone.
//
// The list shows live and leaving VMs with a delay. VmTracker derives three
// results from the lists:
//
//   Leaving(vm)     the last list shows the VM as leaving: it gets no new work;
//   Dropped(vm)     lists showed the VM, and have lacked it since, without a
//                   gap, for longer than the list's lag: the VM is gone;
//   Absent(vm)      as Dropped(vm), or lists never showed the VM. This is also
//                   true of a new VM that the list doesn't show yet, so it is a
//                   proof only for VMs that are known to be old.
//
// A missing list proves nothing: the time counts anew after a gap, as the VM
// may have been listed meanwhile. A router's lapsed lease is no proof either:
// the router may be paused and continue.

#ifndef QUAYTRACK_MEMBER_VM_TRACKER_H_
#define QUAYTRACK_MEMBER_VM_TRACKER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"

namespace quaytrack {

enum class VmState { kLive, kLeaving };

template <>
struct EnumTable<VmState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<VmState>>(
      {{VmState::kLive, "live"}, {VmState::kLeaving, "leaving"}});
};

struct VmEntry {
  VmName name;
  VmState state = VmState::kLive;
};

// Parses {"vms": [{"name": "vm-1", "state": "live"}]}; returns std::nullopt if
// `text` has another form.
std::optional<std::vector<VmEntry>> DecodeVmList(std::string_view text);

struct VmTrackerOptions {
  // Maximum delay of the list, with a margin.
  Duration lag = std::chrono::seconds(3);
  // Maximum time between two lists; a longer time is a gap.
  Duration max_gap = std::chrono::seconds(10);
};

class VmTracker {
 public:
  explicit VmTracker(VmTrackerOptions options) : options_(options) {}

  void OnList(Instant now, const std::vector<VmEntry>& list);

  bool Leaving(const VmName& vm) const;
  bool Dropped(Instant now, const VmName& vm) const;
  bool Absent(Instant now, const VmName& vm) const;

 private:
  bool ListsCurrent(Instant now) const;

  VmTrackerOptions options_;
  std::map<VmName, VmState> listed_;
  // Since when lists, without a gap, have lacked a VM that was listed before.
  std::map<VmName, Instant> absent_since_;
  // Since when lists have arrived without a gap.
  std::optional<Instant> continuous_since_;
  Instant last_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_MEMBER_VM_TRACKER_H_
