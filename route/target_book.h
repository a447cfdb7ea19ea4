// The targets that one router knows, their state, and the choice of a target
// for a request.
//
// Every router chooses independently, from delayed load reports and from its
// requests in flight. The choice rests on three techniques:
//
//   * Few candidates. Sampling a few targets at random and choosing the best of
//     them gives most of the benefit of comparing all (Mitzenmacher, "The Power
//     of Two Choices in Randomized Load Balancing", 2001), and unlike the
//     global best it doesn't make all routers choose the same target between
//     two reports. The cost doesn't grow with the number of targets.
//   * Local state first. A router knows exactly what it has in flight. A report
//     adds the load from other routers, with a weight that decays with its age.
//   * Prefix affinity with bounded load. Requests with the same prefix go to
//     the same target, which has the prefix cached, by consistent hashing,
//     unless that target has more than `affinity_overload` times the mean load
//     (Mirrokni et al., "Consistent Hashing with Bounded Loads", 2018).
//
// A target is used only if it answers, its breaker allows it, it has fewer of
// this router's requests than its limit, and it isn't leaving.
//
//   TargetTable targets({}, seed);
//   targets.SetTargets(specs);
//   if (auto n = targets.Choose(now, group, prefix_hash, {})) {
//     const TargetName name = targets.Spec(*n).name;
//     targets.OnSent(now, *n);
//     ...
//     targets.OnEnd(now, name, TargetOutcome::kOk, service_time);
//   }

#ifndef QUAYTRACK_ROUTE_TARGET_BOOK_H_
#define QUAYTRACK_ROUTE_TARGET_BOOK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "route/breaker.h"
#include "route/concurrency_limit.h"

namespace quaytrack {

// The source that marked a target as leaving. One source is enough, and only
// that source can clear its mark.
enum class LeavingCause { kBundle, kVmList, kTarget };

// Targets that can serve the same requests: those of one model or one service.
using GroupName = Id<struct GroupTag>;

inline GroupName GroupOf(const ModelName& it) {
  return GroupName("model:" + it.value);
}
inline GroupName GroupOf(const ServiceName& it) {
  return GroupName("service:" + it.value);
}

struct TargetSpec {
  TargetName name;
  HallName hall;
  std::vector<GroupName> groups;
  int slots = 8;
  bool leaving = false;
};

// A target's report of its load.
struct LoadReport {
  int running = 0;
  int queued = 0;
};

enum class TargetOutcome {
  kOk,
  kOverloaded,  // the target refused because of overload
  kFailed,      // error, reset, malformed answer or timeout
  kCancelled,   // the router ended the request, which shows nothing about the
                // target
};

struct TargetTableOptions {
  HallName local_hall;
  // Number of random candidates besides the prefix's target.
  int samples = 2;
  // Bound on the load of a prefix's target, as a multiple of the mean load.
  double affinity_overload = 1.25;
  // Time constant of the exponential decay of a report's weight; the weight
  // halves about every 0.7 of this time.
  Duration report_decay = std::chrono::seconds(4);
  // Extra cost of a target in another hall.
  Duration remote_hall_cost = std::chrono::milliseconds(2);
  // Time that a cached prefix is expected to save.
  Duration prefix_saving = std::chrono::milliseconds(80);
  BreakerOptions breaker;
};

// Index of a target; valid until the next `SetTargets`.
using TargetIndex = std::size_t;

class TargetTable {
 public:
  TargetTable(TargetTableOptions options, std::uint64_t seed);

  // Replaces the targets; a target whose name stays keeps its state.
  void SetTargets(const std::vector<TargetSpec>& specs);

  // Returns the target for one request, or std::nullopt if no usable target has
  // room. `excluded` are the targets that this request has tried. A
  // `prefix_hash` of 0 means no prefix.
  std::optional<TargetIndex> Choose(Instant now, const GroupName& group,
                                    std::uint64_t prefix_hash,
                                    const std::set<TargetName>& excluded);

  // Whether any target of the group is usable now, with room or without.
  bool AnyUsable(Instant now, const GroupName& group) const;

  void OnSent(Instant now, TargetIndex n);
  // Call when a request has ended. Returns whether its outcome opened the
  // target's breaker.
  bool OnEnd(Instant now, const TargetName& name, TargetOutcome outcome,
             Duration service_time);
  void OnLoadReport(Instant now, const TargetName& name,
                    const LoadReport& report);
  // Sets whether the target answers; one that doesn't gets no requests.
  void SetResponsive(const TargetName& name, bool responsive);
  void SetLeaving(const TargetName& name, LeavingCause cause, bool leaving);
  bool Leaving(TargetIndex n) const { return !targets_[n].leaving.empty(); }

  const TargetSpec& Spec(TargetIndex n) const { return targets_[n].spec; }
  std::optional<TargetIndex> Find(const TargetName& name) const;
  std::size_t size() const { return targets_.size(); }
  int InFlight(TargetIndex n) const { return targets_[n].in_flight; }
  BreakerState BreakerOf(TargetIndex n) const {
    return targets_[n].breaker.state();
  }
  int LimitOf(TargetIndex n) const { return targets_[n].limit.limit(); }
  // Mean over the group's targets of the smoothed service time.
  Duration MeanService(const GroupName& group) const;

 private:
  struct Target {
    Target(TargetSpec s, BreakerOptions options)
        : spec(std::move(s)), breaker(options), limit(spec.slots) {}

    TargetSpec spec;
    std::set<LeavingCause> leaving;
    bool responsive = true;
    int in_flight = 0;
    double reported_other_load = 0;
    Instant reported_at{};
    // Smoothed service time in seconds.
    double mean_service = 0.5;
    Breaker breaker;
    ConcurrencyLimit limit;
  };
  struct RingPoint {
    std::uint64_t hash;
    TargetIndex target;
  };
  struct Group {
    std::vector<TargetIndex> members;
    std::vector<RingPoint> ring;
    int in_flight = 0;
  };

  bool Usable(Instant now, const Target& it) const;
  bool HasRoom(const Target& it) const;
  double Load(Instant now, const Target& it) const;
  double Cost(Instant now, const Target& it, bool has_prefix) const;
  TargetIndex RingOwner(const Group& group, std::uint64_t hash) const;
  bool WithinAffinityBound(Instant now, const Group& group,
                           const Target& it) const;
  std::optional<TargetIndex> FirstWithRoom(
      Instant now, const Group& group, const std::set<TargetName>& excluded);
  void BuildGroups();

  TargetTableOptions options_;
  std::mt19937_64 random_;
  std::vector<Target> targets_;
  std::map<TargetName, TargetIndex> by_name_;
  std::map<GroupName, Group> groups_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_TARGET_BOOK_H_
