#include "dispatch/tunnel_peers.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <numeric>
#include <optional>

#include "base/digest.h"

namespace quaytrack {
namespace {

// Candidates are compared by the members in their order; the least is chosen.
struct Rank {
  bool is_unknown = false;
  bool hides_end = false;
  int load = 0;
  std::uint64_t order = 0;

  auto operator<=>(const Rank&) const = default;
};

}  // namespace

TunnelPeers::Record TunnelPeers::RecordOf(const VmName& vm) const {
  const auto it = peers_.find(vm);
  return it == peers_.end() ? Record() : it->second;
}

const TunnelPeer* TunnelPeers::Choose(Instant now,
                                      const std::vector<TunnelPeer>& candidates,
                                      const std::set<VmName>& tried) const {
  const TunnelPeer* out = nullptr;
  Rank best;
  for (const TunnelPeer& it : candidates) {
    const FleetMember& member = it.member;
    if (it.is_cut_off || member.vm == self_) continue;
    if (tried.contains(member.vm)) continue;
    const Record record = RecordOf(member.vm);
    if (now < record.paused_until) continue;
    const bool was_used =
        record.opened_at != Instant() && now - record.opened_at < kKnownFor;
    const int distance = member.hall == hall_ ? 0 : kOtherHall;
    const Rank rank{!it.is_linked && !was_used, !record.states_end,
                    record.tunnels + distance,
                    RendezvousWeight(member.vm.value, self_.value)};
    if (out != nullptr && !(rank < best)) continue;
    out = &it;
    best = rank;
  }
  return out;
}

void TunnelPeers::OnEnded(const VmName& vm) {
  Record& record = peers_[vm];
  record.tunnels = std::max(0, record.tunnels - 1);
}

void TunnelPeers::OnOpened(Instant now, const VmName& vm, bool states_end) {
  Record& record = peers_[vm];
  record.failures = 0;
  record.paused_until = {};
  record.opened_at = now;
  record.states_end = states_end;
}

void TunnelPeers::OnFailed(Instant now, const VmName& vm) {
  Record& record = peers_[vm];
  const int doublings = std::min(record.failures, kMaxDoublings);
  ++record.failures;
  record.paused_until = now + kFirstPause * (1 << doublings);
}

int TunnelPeers::tunnels() const {
  return std::accumulate(
      peers_.begin(), peers_.end(), 0,
      [](int n, const auto& it) { return n + it.second.tunnels; });
}

}  // namespace quaytrack
