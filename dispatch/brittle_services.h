// BrittleServices: which services have targets that fail when they have to turn
// away many requests, and how much of such a target this router may use.
//
//   BrittleServices brittle;
//   brittle.OnAnswer(now, service, max_turned_away);   // std::nullopt: sound
//   if (brittle.IsBrittle(now, service)) {
//     bound = ConcurrencyBound(slots, place);          // running requests
//   }
//
// A brittle target says in each answer how many requests a second it can turn
// away for want of room; beyond that it fails. All routers together must not
// send it more than it has room for, even if they can't reach each other. So
// its slots are divided among the routers by their places in its rendezvous
// order (fleet/fleet.h): each router keeps to its share, and the shares add up
// to the slots. Where there are fewer slots than routers, the first routers in
// the order have one each.
//
// Known from answers and from heartbeats of peers that had such an answer
// lately. An answer that doesn't say so ends it; without answers it ends after
// `kMemory`.
//
// Owns a time for each service; reads no clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_BRITTLE_SERVICES_H_
#define QUAYTRACK_DISPATCH_BRITTLE_SERVICES_H_

#include <chrono>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet.h"

namespace quaytrack {

// The number of turned-away requests a second that targets of each service
// bear, as a peer reports it.
using BrittleReports = std::map<ServiceName, int>;

class BrittleServices {
 public:
  static constexpr Duration kMemory = std::chrono::seconds(3);
  // Answers are reported to peers for this long, so that reports don't outlast
  // the answers by being passed on.
  static constexpr Duration kReportedFor = std::chrono::milliseconds(1500);

  // Takes what an answer of the service says. Returns whether `IsBrittle` has
  // changed.
  bool OnAnswer(Instant now, const ServiceName& service,
                std::optional<int> max_turned_away) {
    const bool before = IsBrittle(now, service);
    if (!max_turned_away) {
      services_.erase(service);
    } else {
      services_[service] = {*max_turned_away, now, now + kMemory};
    }
    return before != max_turned_away.has_value();
  }

  // Takes a peer's report. Returns the services that have become brittle by it.
  std::map<ServiceName, int> OnPeer(Instant now,
                                    const BrittleReports& reports) {
    std::map<ServiceName, int> out;
    for (const auto& [service, max_turned_away] : reports) {
      if (!IsBrittle(now, service)) out[service] = max_turned_away;
      Entry& it = services_[service];
      it.max_turned_away = max_turned_away;
      it.until = now + kMemory;
    }
    return out;
  }

  bool IsBrittle(Instant now, const ServiceName& service) const {
    const auto it = services_.find(service);
    return it != services_.end() && now < it->second.until;
  }

  BrittleReports Reports(Instant now) const {
    BrittleReports out;
    for (const auto& [service, it] : services_) {
      const bool is_recent =
          it.answered_at != Instant() && now - it.answered_at < kReportedFor;
      if (is_recent) out[service] = it.max_turned_away;
    }
    return out;
  }

 private:
  struct Entry {
    int max_turned_away = 0;
    // When a target last said so to this router; `Instant{}` if only to peers.
    Instant answered_at{};
    Instant until{};
  };

  std::map<ServiceName, Entry> services_;
};

// The share of `slots` that belongs to the router at `place`.
inline int ConcurrencyBound(int slots, const RendezvousPlace& place) {
  const auto all = static_cast<std::size_t>(slots > 0 ? slots : 1);
  const std::size_t each = all / place.routers;
  const bool has_rest = place.rank < all % place.routers;
  return static_cast<int>(each) + (has_rest ? 1 : 0);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_BRITTLE_SERVICES_H_
