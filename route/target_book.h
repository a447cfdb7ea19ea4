// What one router knows of its targets, and which of them takes a request.
//
// Every router chooses alone, from load reports that are late and from what it
// sent itself since. Three ideas carry the choice:
//
//   * Few candidates. Sampling a few targets at random and taking the best of
//     them gives most of the benefit of looking at all (Mitzenmacher, "The
//     Power of Two Choices in Randomized Load Balancing", 2001), and unlike the
//     global best it doesn't make all routers run to the same target between
//     two reports. The cost doesn't grow with the number of targets.
//   * Own knowledge first. A router knows exactly what it has in flight. A
//     report adds what the others have, and counts less the older it is.
//   * Prefix affinity with bounded load. Requests with the same prefix go to
//   the
//     same target by consistent hashing, where the prefix is cached, unless
//     that target already has more than `affinity_overload` times the mean load
//     (Mirrokni et al., "Consistent Hashing with Bounded Loads", 2018).
//
// Whether a target is used at all is decided by its limit (how many of this
// router's requests at once), its breaker, and whether it is leaving.
//
//   TargetBook book({}, seed);
//   book.SetTargets(specs);
//   if (auto n = book.Choose(now, group, prefix_hash, {})) {
//     book.OnSent(now, *n);
//     ...
//     book.OnEnd(now, *n, TargetOutcome::kOk, service_time);
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

// Who said that a target is leaving. Any one is enough, and only the one that
// said so can take it back.
enum class LeavingCause { kBundle, kVmList, kTarget };

// What a request needs: a model's name, or a service's.
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

// A target's own report of its load, as it was some time ago.
struct LoadReport {
  int running = 0;
  int queued = 0;
};

enum class TargetOutcome {
  kOk,
  kOverloaded,  // the target refused for lack of room
  kFailed,      // error, reset, garbled answer or no answer in time
  kCancelled,   // the router ended it; says nothing about the target
};

struct TargetBookOptions {
  HallName own_hall;
  // Random candidates beside the prefix's own target.
  int samples = 2;
  double affinity_overload = 1.25;
  // A report's weight halves about every 0.7 of this.
  Duration report_decay = std::chrono::seconds(4);
  // Extra cost of a target in another hall.
  Duration other_hall_cost = std::chrono::milliseconds(2);
  // What a cached prefix is expected to save.
  Duration prefix_saving = std::chrono::milliseconds(80);
  BreakerOptions breaker;
};

// Index of a target within its book. Valid until the next `SetTargets`.
using TargetIndex = std::size_t;

class TargetBook {
 public:
  TargetBook(TargetBookOptions options, std::uint64_t seed);

  // Takes a new set; targets that keep their name keep what is known of them.
  void SetTargets(const std::vector<TargetSpec>& specs);

  // The target for one request, or none if no usable one has room. `excluded`
  // are targets that this request has tried.
  std::optional<TargetIndex> Choose(Instant now, const GroupName& group,
                                    std::uint64_t prefix_hash,
                                    const std::set<TargetName>& excluded);

  // Whether any target of the group could be used now or later.
  bool AnyUsable(Instant now, const GroupName& group) const;

  void OnSent(Instant now, TargetIndex n);
  // Returns whether this opened the target's breaker.
  bool OnEnd(Instant now, const TargetName& name, TargetOutcome outcome,
             Duration service_time);
  void OnLoadReport(Instant now, const TargetName& name,
                    const LoadReport& report);
  // Whether the target answers at all; one that doesn't gets no work.
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
  // Smoothed time that one request of the group takes.
  Duration MeanService(const GroupName& group) const;

 private:
  struct Target {
    Target(TargetSpec s, BreakerOptions options)
        : spec(std::move(s)), breaker(options), limit(spec.slots) {}

    TargetSpec spec;
    std::set<LeavingCause> leaving;
    bool responsive = true;
    int in_flight = 0;
    double others_reported = 0;
    Instant reported_at{};
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

  TargetBookOptions options_;
  std::mt19937_64 random_;
  std::vector<Target> targets_;
  std::map<TargetName, TargetIndex> by_name_;
  std::map<GroupName, Group> groups_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_TARGET_BOOK_H_
