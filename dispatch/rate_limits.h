// RateLimits: how many requests a second targets say they take from all routers
// together.
//
//   RateLimits limits;
//   limits.OnNamed(now, target, sent_at, 1.5);   // an answer names a limit
//   limits.OnNotNamed(now, target, sent_at);     // an answer names none
//   limits.OnPeer(now, target, report);          // what a peer knows
//   if (const auto per_s = limits.LimitOf(target)) ...
//   tell(limits.TakeUntold(now, forwards));
//
// A limit holds until it is known to have ended or to have been raised: by an
// answer to a request that was sent after the limit was learned, or by a peer
// that has seen such an answer. Answers overtake each other, so an older one
// proves nothing of that; but a lower limit holds at once, whoever names it.
//
// Versions order what peers know: a change that a router has seen itself gets
// the next version after the latest that it knew, and only a later version
// replaces an earlier one. Of two changes of one version, which were seen at
// the same time, the lower limit holds. A router that takes a limit for ended
// too early learns of it again with its next answer.
//
// What is remembered is of one start of a target. An answer of a new start may
// be taken for one of the start before, until the target's entry has been
// read; `OnStartedAgain` carries a limit over that was heard of so lately.
//
// It owns what was said, reads no clock, and reports no errors. It doesn't
// decide what may be sent; dispatch/shared_rate.h does.

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

// What one answer says about its target's limit.
struct RateStatement {
  // The limit that it names, in requests a second; finite, 0 or more.
  std::optional<double> per_s;
  // It names none, and would if there were one.
  bool is_unlimited = false;
};

// What a router knows of a target's limit, for its peers.
struct RateReport {
  // Nothing if the limit has ended.
  std::optional<double> per_s;
  std::uint64_t version = 0;
  // Since an answer of the target last said so.
  Duration age{};

  bool operator==(const RateReport&) const = default;
};

using RateReports = std::map<TargetStart, RateReport>;

class RateLimits {
 public:
  // Peers are told anew that a limit still holds, at most this often.
  static constexpr Duration kTellAgain = std::chrono::seconds(4);
  // And that it has ended, for this long.
  static constexpr Duration kRepeatEndFor = std::chrono::seconds(10);
  // For this long a router that links anew is told that a limit has ended.
  static constexpr Duration kEndedIsNews = std::chrono::minutes(5);

  // An answer to a request that was sent at `sent_at` names a limit. Returns
  // whether the limit in force has changed, as the next two do.
  bool OnNamed(Instant now, const TargetStart& target, Instant sent_at,
               double per_s) {
    Item& at = items_[target];
    const bool raises = at.per_s && per_s > *at.per_s;
    if (raises && sent_at < at.learned_at) return false;
    at.heard_at = now;
    if (at.per_s != per_s) return Change(now, at, per_s);
    if (now - at.told_at >= kTellAgain) at.MarkUntold(true);
    return false;
  }

  // An answer to a request that was sent at `sent_at` names no limit.
  bool OnNotNamed(Instant now, const TargetStart& target, Instant sent_at) {
    const auto it = items_.find(target);
    if (it == items_.end()) return false;
    Item& at = it->second;
    if (sent_at < at.learned_at) return false;
    at.heard_at = now;
    if (at.per_s) return Change(now, at, std::nullopt);
    const bool repeat =
        now - at.learned_at < kRepeatEndFor && now - at.told_at >= kTellAgain;
    if (repeat) at.MarkUntold(true);
    return false;
  }

  // A report's age may be too low by the time that the message took.
  bool OnPeer(Instant now, const TargetStart& target,
              const RateReport& report) {
    Item& at = items_[target];
    if (report.version < at.version) return false;
    const bool replaces =
        report.version > at.version || IsLower(report.per_s, at.per_s);
    if (!replaces && report.per_s != at.per_s) return false;
    const Instant heard_at = now - report.age;
    if (heard_at > at.heard_at && now - at.told_at >= kTellAgain) {
      at.MarkUntold(false);
    }
    at.heard_at = std::max(at.heard_at, heard_at);
    if (!replaces) return false;
    const bool changed = at.per_s != report.per_s;
    at.per_s = report.per_s;
    at.version = report.version;
    at.learned_at = now;
    at.MarkUntold(false);
    Bound();
    return changed;
  }

  // A target has started again. Returns whether its limit is kept.
  bool OnStartedAgain(Instant now, const TargetStart& before,
                      const TargetStart& after) {
    const auto it = items_.find(before);
    if (it == items_.end() || !it->second.per_s) return false;
    if (now - it->second.heard_at >= kEntryTellsWithin) return false;
    const Item kept = it->second;
    return items_.try_emplace(after, kept).second;
  }

  std::optional<double> LimitOf(const TargetStart& target) const {
    const auto it = items_.find(target);
    return it == items_.end() ? std::nullopt : it->second.per_s;
  }
  // When an answer, here or at a peer, last said what is known of the target's
  // limit.
  Instant HeardAt(const TargetStart& target) const {
    const auto it = items_.find(target);
    return it == items_.end() ? Instant{} : it->second.heard_at;
  }

  // What peers haven't been told. `forwards`: also what other peers have said.
  RateReports TakeUntold(Instant now, bool forwards) {
    RateReports out;
    for (auto& [target, it] : items_) {
      if (!it.untold || !(it.seen_here || forwards)) continue;
      out[target] = it.Report(now);
      it.told_at = now;
      it.untold = false;
      it.seen_here = false;
    }
    return out;
  }

  // For a peer that has just linked.
  RateReports All(Instant now) const {
    RateReports out;
    for (const auto& [target, it] : items_) {
      const bool is_news = it.per_s || now - it.heard_at < kEndedIsNews;
      if (is_news) out[target] = it.Report(now);
    }
    return out;
  }

  // Targets with a limit.
  std::size_t size() const {
    return static_cast<std::size_t>(std::count_if(
        items_.begin(), items_.end(),
        [](const auto& it) { return it.second.per_s.has_value(); }));
  }

 private:
  // Starts that are remembered; some times as many as a large fleet has.
  static constexpr std::size_t kMostItems = 4096;

  struct Item {
    std::optional<double> per_s;
    std::uint64_t version = 0;
    // When this router learned of `per_s`.
    Instant learned_at{};
    // When an answer last said so.
    Instant heard_at{};
    Instant told_at{};
    bool untold = false;
    // What is untold was said to this router by the target.
    bool seen_here = false;

    void MarkUntold(bool here) {
      untold = true;
      seen_here = seen_here || here;
    }
    RateReport Report(Instant now) const {
      return {per_s, version, std::max(now - heard_at, Duration::zero())};
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
    at.MarkUntold(true);
    Bound();
    return true;
  }

  // Forgets the one that was heard of least lately.
  void Bound() {
    if (items_.size() <= kMostItems) return;
    items_.erase(std::min_element(
        items_.begin(), items_.end(), [](const auto& a, const auto& b) {
          return a.second.heard_at < b.second.heard_at;
        }));
  }

  std::map<TargetStart, Item> items_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_RATE_LIMITS_H_
