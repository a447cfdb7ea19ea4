#include "dispatch/memory_pressure.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <utility>

namespace quaytrack {
namespace {

// A holder that may be cut.
struct Candidate {
  MemoryCut cut;
  // What its customer holds in its rank and isn't to be cut yet.
  std::size_t* sum = nullptr;
  double weight = 0;
};

// Holders without a known customer are told apart by their ids. Names of
// customers have no slash (config/service_map.h), so none equals such a key.
std::string KeyOf(const MemoryHolder& it) {
  return it.customer.empty() ? "/" + std::to_string(it.id) : it.customer.value;
}

}  // namespace

bool MemoryPressure::Admits(std::size_t held, std::size_t body) const {
  if (!on() || body <= kSmallBody) return true;
  // A body takes its size twice while it is copied for its target.
  const std::size_t tight = Level(kTight);
  if (held < tight && 2 * body <= tight - held) return true;
  return body <= LargestBody(held);
}

std::size_t MemoryPressure::LargestBody(std::size_t held) const {
  const std::size_t left = held < bound_ ? bound_ - held : 0;
  return std::max(kSmallBody, left / kLargeBody);
}

std::size_t MemoryPressure::UnsentLimit(std::size_t held, bool in_full) const {
  if (!on()) return kMaxUnsent;
  if (held >= Level(kTight)) return kMaxUnsentTight;
  return in_full ? std::numeric_limits<std::size_t>::max() : kMaxUnsent;
}

bool MemoryPressure::Update(std::size_t held) {
  const bool before = tight_;
  tight_ = on() && held >= Level(before ? kEased : kTight);
  return tight_ != before;
}

void MemoryPressure::Observe(Instant now,
                             const std::vector<MemoryHolder>& holders) {
  std::unordered_map<std::uint64_t, Progress> next;
  next.reserve(holders.size());
  for (const MemoryHolder& it : holders) {
    const auto known = progress_.find(it.id);
    const bool stays =
        known != progress_.end() && known->second.moved == it.moved;
    next[it.id] = {it.moved, stays ? known->second.since : now};
  }
  progress_ = std::move(next);
}

MemoryRank MemoryPressure::RankOf(const MemoryHolder& holder,
                                  Duration stalled) {
  if (stalled < kStallTime) return MemoryRank::kProgressing;
  if (holder.awaits_target) return MemoryRank::kAwaitsTarget;
  const bool unread = holder.is_paused && stalled >= kUnreadTime;
  return unread ? MemoryRank::kUnread : MemoryRank::kStalled;
}

std::vector<MemoryCut> MemoryPressure::Check(
    Instant now, std::size_t held, const std::vector<MemoryHolder>& holders) {
  Observe(now, holders);
  if (!on() || held <= bound_) return {};
  std::vector<Candidate> all;
  std::map<std::pair<MemoryRank, std::string>, std::size_t> sums;
  for (std::size_t n = 0; n < holders.size(); ++n) {
    const MemoryHolder& it = holders[n];
    if (it.held == 0) continue;
    Candidate out;
    out.cut.holder = n;
    out.cut.without_progress = now - progress_[it.id].since;
    out.cut.rank = RankOf(it, out.cut.without_progress);
    const bool last_resort = out.cut.rank >= MemoryRank::kAwaitsTarget;
    if (last_resort && held <= Level(kHard)) continue;
    out.sum = &sums[{out.cut.rank, KeyOf(it)}];
    // A holder that was first seen now has been without progress for no time
    // yet, but its size still counts.
    constexpr double kMinSeconds = 0.01;
    out.weight = static_cast<double>(it.held) *
                 (ToSeconds(out.cut.without_progress) + kMinSeconds);
    *out.sum += it.held;
    all.push_back(out);
  }
  // Each cut lowers what its customer holds, so the customers' turns alternate
  // once they hold the same.
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return std::pair(a.cut.rank, -a.weight) < std::pair(b.cut.rank, -b.weight);
  });
  std::vector<MemoryCut> out;
  std::size_t left = held;
  while (left > Level(kCutTo) && !all.empty()) {
    const MemoryRank rank = all.front().cut.rank;
    auto chosen = all.begin();
    for (auto it = all.begin(); it != all.end() && it->cut.rank == rank; ++it) {
      if (*it->sum > *chosen->sum) chosen = it;
    }
    const std::size_t bytes = holders[chosen->cut.holder].held;
    chosen->cut.customer_held = *chosen->sum;
    out.push_back(chosen->cut);
    *chosen->sum -= bytes;
    left -= std::min(left, bytes);
    all.erase(chosen);
  }
  return out;
}

}  // namespace quaytrack
