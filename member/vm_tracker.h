// What the platform's VM list proves.
//
// The list shows live and leaving VMs, late. Three conclusions are drawn:
//
//   Leaving(vm)     from the first list that says so: it gets no new work;
//   Dropped(vm)     lists showed the VM, and have lacked it since, without a
//                   break, for longer than the list's lag: it is gone;
//   Absent(vm)      the same, or lists never showed it at all. A VM so new that
//                   the list doesn't show it yet looks the same, so this proves
//                   something only of VMs that are known to be old.
//
// A list that can't be had proves nothing: the count starts again after a gap,
// as the VM may have been listed meanwhile. A lapsed lease is no proof either:
// its holder may be paused and go on.

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

// Reads {"vms": [{"name": "vm-1", "state": "live"}]}; empty if it isn't that.
std::optional<std::vector<VmEntry>> DecodeVmList(std::string_view text);

struct VmTrackerOptions {
  // How far the list may be behind, with a margin.
  Duration lag = std::chrono::seconds(3);
  // A longer pause between two lists is a gap.
  Duration gap = std::chrono::seconds(10);
};

class VmTracker {
 public:
  explicit VmTracker(VmTrackerOptions options) : options_(options) {}

  void OnList(Instant now, const std::vector<VmEntry>& list);

  bool Leaving(const VmName& vm) const;
  bool Dropped(Instant now, const VmName& vm) const;
  bool Absent(Instant now, const VmName& vm) const;

 private:
  bool Fresh(Instant now) const;

  VmTrackerOptions options_;
  std::map<VmName, VmState> listed_;
  // Since when lists without a gap have lacked a VM that was once listed.
  std::map<VmName, Instant> absent_since_;
  // Since when lists have come without a gap.
  std::optional<Instant> unbroken_since_;
  Instant last_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_MEMBER_VM_TRACKER_H_
