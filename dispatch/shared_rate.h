// SharedRate: how many requests this router may send to a target that takes
// only so many a second from all routers together.
//
//   SharedRate rate(started, {.span = 1s, .overage = 1.5, .slack = 5});
//   const auto part = rate.PartOf(per_s, place.routers);
//   if (part.IsOwner(place) && rate.MaySend(now, target, part)) {
//     rate.OnSent(now, target);
//   }
//
// In any span of `span`, all routers together send one target at most
// `MostInASpan`, whoever of them is in touch with whom. So the bound can't rest
// on messages between them. It rests on the list of routers: the first few of
// it in the rendezvous order of the target (fleet/fleet.h) own it, and nobody
// else sends to it, but for stand-ins (below). Each owner sends at most its
// part. Over longer times, all owners together keep to the rate itself.
//
// Lists may differ for a while. Entries are never removed from them, so a list
// that is behind lacks the newest routers, and only a router that one of those
// has put out of the owners wrongly takes itself for one. So each owner's part
// is taken for twice as many owners: the bound holds as long as no more of a
// target's owners than it has were put out within the time that a list is
// behind, and no list is less than half of the longest. A router that has not
// read the list owns nothing.
//
// Stand-ins. Owners may all be down, and nobody would then find out that a
// limit has ended. When nothing has been heard of the target for a while, the
// next routers in its order send one request each beside the owners, as many as
// there are owners, and after as long again those behind them. An answer that
// one of them gets is told to all. The parts leave room for that as well: for
// owners and stand-ins with equal lists, or for differing lists without
// stand-ins. Routers that can't tell each other anything stand in by turns, so
// few act at a time.
//
// A process that starts doesn't know what the one before it on its VM has sent,
// so it sends nothing for one window. A window is longer than a span by what
// a request may wait for its connection after it was let through
// (relay/attempt.h): requests that were let through in two windows can't be
// written within one span. What a network holds up after that has left this
// router in another span than it arrives in.
//
// docs/design/rate-limits.md has the proof.
//
// It owns the times of what was sent, reads no clock, and reports no errors.

#ifndef QUAYTRACK_DISPATCH_SHARED_RATE_H_
#define QUAYTRACK_DISPATCH_SHARED_RATE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet.h"

namespace quaytrack {

// What may be sent in any span: so many times the rate, and so many requests
// more.
struct RateAllowance {
  Duration span = std::chrono::seconds(1);
  double overage = 1;
  double slack = 0;
};

// One owner's part of a target's rate.
struct OwnerPart {
  // So many windows without news of the target make a turn of stand-ins.
  static constexpr int kWindowsPerTurn = 3;

  // Two at least, so that a target gets work while one of them is down; more
  // where each has a part that is worth having.
  std::size_t owners = 1;
  // One owner sends at most so many in a window.
  std::size_t requests = 1;
  Duration window{};

  bool IsOwner(const RendezvousPlace& place) const {
    return place.rank < owners;
  }

  // What a router at that place sends: an owner its part, a stand-in one
  // request.
  OwnerPart For(const RendezvousPlace& place) const {
    OwnerPart out = *this;
    if (!IsOwner(place)) out.requests = 1;
    return out;
  }

  // Whether a router at that place is an owner or stands in for one, `silent`
  // after anything was last heard of the target.
  bool Acts(const RendezvousPlace& place, Duration silent) const {
    if (IsOwner(place)) return true;
    const auto turn = static_cast<std::size_t>(
        std::max(silent, Duration::zero()) / (kWindowsPerTurn * window));
    const std::size_t groups = (place.routers + owners - 1) / owners;
    return place.rank / owners == turn % groups;
  }
};

class SharedRate {
 public:
  // `started` is when the process did.
  SharedRate(Instant started, RateAllowance allowance)
      : started_(started), allowance_(allowance) {}

  // Of all routers, to one target that takes `per_s` requests a second.
  double MostInASpan(double per_s) const {
    return std::clamp(per_s, 0.0, kMostPerS) * ToSeconds(allowance_.span) *
               allowance_.overage +
           allowance_.slack;
  }

  // Of one owner, with so many routers on the list.
  OwnerPart PartOf(double per_s, std::size_t routers) const {
    OwnerPart out;
    const double most = MostInASpan(per_s);
    const std::size_t worth = static_cast<std::size_t>(most / kWorthOwning);
    out.owners = std::max(kLeastOwners,
                          std::min(worth, std::max<std::size_t>(1, routers)));
    const double owners = static_cast<double>(out.owners);
    const double part = most / (2 * owners);
    out.requests = static_cast<std::size_t>(std::max(1.0, part));
    out.window =
        WindowOf(part, static_cast<double>(out.requests) * owners / per_s);
    return out;
  }

  bool MaySend(Instant now, const TargetStart& target,
               const OwnerPart& part) const {
    if (now - started_ < part.window) return false;
    const auto it = sent_.find(target);
    if (it == sent_.end()) return true;
    std::size_t recent = 0;
    for (const Instant at : it->second)
      recent += now - at < part.window ? 1 : 0;
    return recent < part.requests;
  }

  void OnSent(Instant now, const TargetStart& target) {
    Forget(now);
    sent_[target].push_back(now);
  }

 private:
  static constexpr std::size_t kLeastOwners = 2;
  // Requests of a span for each owner, before there are more than the least.
  static constexpr double kWorthOwning = 8;
  // What a request may wait for its connection, and some more.
  static constexpr Duration kOpening = std::chrono::milliseconds(300);
  // However little a target takes, it gets a request now and then.
  static constexpr Duration kLongestWindow = std::chrono::seconds(20);
  // Rates above it are reckoned with as this.
  static constexpr double kMostPerS = 1e6;

  // Longer than a span where an owner's part is less than one request, or where
  // it takes `even_s` seconds to get what all owners send in one.
  Duration WindowOf(double part, double even_s) const {
    const double least = ToSeconds(allowance_.span + kOpening);
    const double longest = ToSeconds(kLongestWindow);
    double out = least;
    if (part < 1) out = part * longest > least ? least / part : longest;
    if (!(even_s < longest)) even_s = longest;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::max(out, even_s)));
  }

  // What is older than any window.
  void Forget(Instant now) {
    for (auto& [target, times] : sent_) {
      while (!times.empty() && now - times.front() > kLongestWindow) {
        times.pop_front();
      }
    }
    std::erase_if(sent_, [](const auto& it) { return it.second.empty(); });
  }

  Instant started_;
  RateAllowance allowance_;
  std::map<TargetStart, std::deque<Instant>> sent_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_SHARED_RATE_H_
