// RejectionLimits: which services have targets that fail if they have to reject
// many requests, and how much of such a target this router may use.
//
//   RejectionLimits limits;
//   limits.OnAnswer(now, service, max_rejections);   // std::nullopt: no limit
//   if (limits.IsLimited(now, service)) {
//     share = SlotShare(slots, place);               // of running requests
//   }
//
// Such a target states in each answer how many requests a second it can reject
// for lack of capacity; beyond that it fails. All routers together must not
// send it more than it can run, even if they can't reach each other. So its
// slots are divided among the routers by their places in its rendezvous order
// (fleet/fleet.h): each router keeps to its share, and the shares add up to the
// slots. Where there are fewer slots than routers, the first routers in the
// order have one each.
//
// A limit is known from answers, and from heartbeats of peers that had such an
// answer lately. An answer that states none ends it; without answers it ends
// after `kMemory`.
//
// Owns a time for each service; reads no clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_REJECTION_LIMITS_H_
#define QUAYTRACK_DISPATCH_REJECTION_LIMITS_H_

#include <chrono>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet.h"

namespace quaytrack {

// The number of rejections a second that targets of each service bear, as a
// peer reports it.
using RejectionReports = std::map<ServiceName, int>;

class RejectionLimits {
 public:
  // Longer than two heartbeats of a peer, so that one lost heartbeat doesn't
  // end a limit.
  static constexpr Duration kMemory = std::chrono::seconds(3);
  // Answers are reported to peers for this long, so that reports don't outlast
  // the answers by being passed on.
  static constexpr Duration kReportedFor = std::chrono::milliseconds(1500);

  // Takes what an answer of the service says. Returns whether `IsLimited` has
  // changed.
  bool OnAnswer(Instant now, const ServiceName& service,
                std::optional<int> max_rejections) {
    const bool before = IsLimited(now, service);
    if (!max_rejections) {
      services_.erase(service);
    } else {
      services_[service] = {*max_rejections, now, now + kMemory};
    }
    return before != max_rejections.has_value();
  }

  // Takes a peer's report. Returns the limits that weren't known before.
  std::map<ServiceName, int> OnPeer(Instant now,
                                    const RejectionReports& reports) {
    std::map<ServiceName, int> out;
    for (const auto& [service, max_rejections] : reports) {
      if (!IsLimited(now, service)) out[service] = max_rejections;
      Entry& it = services_[service];
      it.max_rejections = max_rejections;
      it.until = now + kMemory;
    }
    return out;
  }

  bool IsLimited(Instant now, const ServiceName& service) const {
    const auto it = services_.find(service);
    return it != services_.end() && now < it->second.until;
  }

  RejectionReports Reports(Instant now) const {
    RejectionReports out;
    for (const auto& [service, it] : services_) {
      const bool is_recent =
          it.answered_at != Instant() && now - it.answered_at < kReportedFor;
      if (is_recent) out[service] = it.max_rejections;
    }
    return out;
  }

 private:
  struct Entry {
    int max_rejections = 0;
    // When a target last said so to this router; `Instant{}` if only to peers.
    Instant answered_at{};
    Instant until{};
  };

  std::map<ServiceName, Entry> services_;
};

// The share of `slots` that belongs to the router at `place`.
inline int SlotShare(int slots, const RendezvousPlace& place) {
  const auto all = static_cast<std::size_t>(slots > 0 ? slots : 1);
  const std::size_t each = all / place.routers;
  const bool has_rest = place.rank < all % place.routers;
  return static_cast<int>(each) + (has_rest ? 1 : 0);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_REJECTION_LIMITS_H_
