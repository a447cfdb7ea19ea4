// RateLimits: the rate limits that targets announce, in requests a second from
// all routers together.
//
//   RateLimits limits;
//   limits.OnLimit(now, target, sent_at, 1.5);   // an answer states a limit
//   limits.OnNoLimit(now, target, sent_at);      // an answer states no limit
//   limits.OnPeer(now, target, report);          // report from a peer
//   if (const auto per_s = limits.LimitOf(target)) ...
//   send(limits.TakeUnreported(now, forwards));
//
// A limit applies until it is known to have ended or to have been raised: from
// an answer to a request that was sent after the limit was learned, or from a
// peer that has seen such an answer. Answers can overtake each other, so an
// answer to an older request is no evidence that a limit ended or was raised. A
// lower limit applies at once, whatever its source.
//
// Versions order the reports of peers. A change that a router has seen itself
// gets the next version after the latest it knew, and only a later version
// replaces an earlier one. Of two changes with the same version, which were
// seen at the same time, the lower limit applies. A router that wrongly takes a
// limit for ended learns of the limit again from the next answer of the target.
//
// A limit belongs to one start of a target, which is one run of its process
// (TargetStart). After a restart, an answer of the new start may be attributed
// to the previous start until the target's new entry has been read. `OnRestart`
// therefore carries a recently confirmed limit over to the new start.
//
// Owns the limits; does not read the clock; cannot fail. It does not decide
// what may be sent; dispatch/shared_rate.h does.

#ifndef QUAYTRACK_DISPATCH_RATE_LIMITS_H_
#define QUAYTRACK_DISPATCH_RATE_LIMITS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/target_registry.h"

namespace quaytrack {

// What one answer states about its target's limit.
struct RateStatement {
  // The stated limit in requests a second; finite, 0 or more.
  std::optional<double> per_s;
  // Whether the answer states no limit, and would state a limit if there were
  // one.
  bool is_unlimited = false;
};

// A target's limit as one router knows it; sent to its peers.
struct RateReport {
  // The limit in requests a second; unset if the limit has ended.
  std::optional<double> per_s;
  // Orders the reports on a target: a later version replaces an earlier one.
  std::uint64_t version = 0;
  // Time since an answer of the target last confirmed `per_s`.
  Duration age{};

  bool operator==(const RateReport&) const = default;
};

using RateReports = std::map<TargetStart, RateReport>;

class RateLimits {
 public:
  // Minimum time between two reports to peers that a limit still applies.
  static constexpr Duration kMinReportInterval = std::chrono::seconds(4);
  // Reports that a limit has ended are repeated for this long.
  static constexpr Duration kRepeatEndFor = std::chrono::seconds(10);
  // A router that has just linked is sent the end of a limit if it was
  // confirmed within this time.
  static constexpr Duration kReportEndToNewPeersFor = std::chrono::minutes(5);

  // Notes that an answer to a request that was sent at `sent_at` states a
  // limit. `OnLimit`, `OnNoLimit` and `OnPeer` return whether the limit that
  // applies has changed.
  bool OnLimit(Instant now, const TargetStart& target, Instant sent_at,
               double per_s) {
    Item& at = items_[target];
    const bool is_raise = at.per_s && per_s > *at.per_s;
    if (is_raise && sent_at < at.learned_at) return false;
    at.confirmed_at = now;
    if (at.per_s != per_s) return Change(now, at, per_s);
    if (now - at.reported_at >= kMinReportInterval) at.MarkUnreported(true);
    return false;
  }

  // Notes that an answer to a request that was sent at `sent_at` states no
  // limit.
  bool OnNoLimit(Instant now, const TargetStart& target, Instant sent_at) {
    const auto it = items_.find(target);
    if (it == items_.end()) return false;
    Item& at = it->second;
    if (sent_at < at.learned_at) return false;
    at.confirmed_at = now;
    if (at.per_s) return Change(now, at, std::nullopt);
    const bool repeat = now - at.learned_at < kRepeatEndFor &&
                        now - at.reported_at >= kMinReportInterval;
    if (repeat) at.MarkUnreported(true);
    return false;
  }

  // Takes a report of a peer. Its age does not include the transit time of the
  // message.
  bool OnPeer(Instant now, const TargetStart& target,
              const RateReport& report) {
    Item& at = items_[target];
    if (report.version < at.version) return false;
    const bool replaces =
        report.version > at.version || IsLower(report.per_s, at.per_s);
    if (!replaces && report.per_s != at.per_s) return false;
    const Instant confirmed_at = now - report.age;
    if (confirmed_at > at.confirmed_at &&
        now - at.reported_at >= kMinReportInterval) {
      at.MarkUnreported(false);
    }
    at.confirmed_at = std::max(at.confirmed_at, confirmed_at);
    if (!replaces) return false;
    const bool changed = at.per_s != report.per_s;
    at.per_s = report.per_s;
    at.version = report.version;
    at.learned_at = now;
    at.MarkUnreported(false);
    EvictIfFull();
    return changed;
  }

  // Carries a recently confirmed limit over to the new start of a target that
  // has restarted. Returns whether there was one to carry over.
  bool OnRestart(Instant now, const TargetStart& before,
                 const TargetStart& after) {
    const auto it = items_.find(before);
    if (it == items_.end() || !it->second.per_s) return false;
    if (now - it->second.confirmed_at >= kMaxEntryDelay) return false;
    const Item item = it->second;
    return items_.try_emplace(after, item).second;
  }

  std::optional<double> LimitOf(const TargetStart& target) const {
    const auto it = items_.find(target);
    return it == items_.end() ? std::nullopt : it->second.per_s;
  }
  // When an answer to this router or a peer last confirmed what is known of the
  // limit of the target; `Instant{}` if nothing is known.
  Instant ConfirmedAt(const TargetStart& target) const {
    const auto it = items_.find(target);
    return it == items_.end() ? Instant{} : it->second.confirmed_at;
  }

  // Returns the reports that were not sent to the peers yet. With `forwards`,
  // these include reports received from other peers.
  RateReports TakeUnreported(Instant now, bool forwards) {
    RateReports out;
    for (auto& [target, it] : items_) {
      if (!it.unreported || !(it.seen_locally || forwards)) continue;
      out[target] = it.Report(now);
      it.reported_at = now;
      it.unreported = false;
      it.seen_locally = false;
    }
    return out;
  }

  // Returns the reports for a peer that has just linked.
  RateReports All(Instant now) const {
    RateReports out;
    for (const auto& [target, it] : items_) {
      const bool is_sent =
          it.per_s || now - it.confirmed_at < kReportEndToNewPeersFor;
      if (is_sent) out[target] = it.Report(now);
    }
    return out;
  }

  // Number of targets with a limit.
  std::size_t size() const {
    return static_cast<std::size_t>(std::count_if(
        items_.begin(), items_.end(),
        [](const auto& it) { return it.second.per_s.has_value(); }));
  }

 private:
  // Bound on the target starts in `items_`, several times the number in a large
  // fleet.
  static constexpr std::size_t kMaxItems = 4096;

  struct Item {
    std::optional<double> per_s;
    std::uint64_t version = 0;
    // When this router learned of `per_s`.
    Instant learned_at{};
    // When an answer last confirmed `per_s`.
    Instant confirmed_at{};
    Instant reported_at{};
    bool unreported = false;
    // Whether some of the unreported information came from the target to this
    // router.
    bool seen_locally = false;

    void MarkUnreported(bool here) {
      unreported = true;
      seen_locally = seen_locally || here;
    }
    RateReport Report(Instant now) const {
      return {per_s, version, std::max(now - confirmed_at, Duration::zero())};
    }
  };

  static bool IsLower(const std::optional<double>& a,
                      const std::optional<double>& b) {
    return a && (!b || *a < *b);
  }

  bool Change(Instant now, Item& at, std::optional<double> per_s) {
    at.per_s = per_s;
    ++at.version;
    at.learned_at = now;
    at.MarkUnreported(true);
    EvictIfFull();
    return true;
  }

  // Evicts the item that was confirmed least recently.
  void EvictIfFull() {
    if (items_.size() <= kMaxItems) return;
    items_.erase(std::min_element(
        items_.begin(), items_.end(), [](const auto& a, const auto& b) {
          return a.second.confirmed_at < b.second.confirmed_at;
        }));
  }

  std::map<TargetStart, Item> items_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_RATE_LIMITS_H_
