// SharedRate: how many requests this router may send to a target whose rate
// limit applies to all routers together.
//
//   SharedRate rate(started, {.span = 1s, .overage = 1.5, .slack = 5});
//   const auto share = rate.ShareOf(per_s, place.routers);
//   if (share.IsOwner(place) && rate.MaySend(now, target, share)) {
//     rate.OnSent(now, target);
//   }
//
// In any period of length `span`, all routers together send one target at most
// `MaxPerSpan` requests, even if routers cannot reach each other. The bound
// therefore does not rest on messages between routers but on the list of
// routers: the first few routers in the rendezvous order of the target
// (fleet/fleet.h) own it, and no other router sends to it, except backups (see
// below). Each owner sends at most its share. Over longer periods, all owners
// together keep to the rate itself.
//
// Lists may differ for a while. Entries are never removed from a list, so an
// outdated list lacks only the newest routers, and a router wrongly considers
// itself an owner only if a newer router has displaced it. Each share is
// therefore computed for twice the number of owners. The bound holds as long
// as, within the time by which a list is outdated, no more owners of a target
// are displaced than the target has, and no list is shorter than half the
// longest. A router that has not read the list owns no target.
//
// Backups: all owners may be down, and then no router would learn that a limit
// has ended. When no answer of the target has been reported for a while
// (`OwnerShare::kWindowsPerTurn`), the next routers in its order, as many as
// there are owners, may send one request each in addition to the owners; after
// the same time again, the group after these may. An answer that a backup
// receives is reported to all routers. The shares leave room for this too: for
// owners and backups with equal lists, or for differing lists without backups.
// Routers that cannot reach each other act as backups in turn, so few of them
// act at a time.
//
// A process that has just started does not know what the previous process on
// its VM has sent, so it sends nothing for one window. A window is longer than
// a span by the time that a request may wait for its connection after it was
// allowed (relay/attempt.h). Requests that were allowed in two windows
// therefore cannot be written within one span. Network delay after that can
// move a request into another span at the target than the one in which it was
// sent.
//
// Owns the times of sends; does not read the clock; cannot fail.

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

// What may be sent in any span: `overage` times the rate, plus `slack`
// requests.
struct RateAllowance {
  Duration span = std::chrono::seconds(1);
  double overage = 1;
  double slack = 0;
};

// One owner's share of a target's rate.
struct OwnerShare {
  // The group of backups changes after this many windows without an answer of
  // the target.
  static constexpr int kWindowsPerTurn = 3;

  // Number of owners: at least two, so that a target gets work while one of
  // them is down; more if the rate is large enough for each to get several
  // requests.
  std::size_t owners = 1;
  // Maximum number of requests that one owner sends in a window.
  std::size_t requests = 1;
  Duration window{};

  bool IsOwner(const RendezvousPlace& place) const {
    return place.rank < owners;
  }

  // The share of a router at `place`: the full share for an owner, one request
  // for a backup.
  OwnerShare For(const RendezvousPlace& place) const {
    OwnerShare out = *this;
    if (!IsOwner(place)) out.requests = 1;
    return out;
  }

  // Whether a router at `place` is an owner, or a backup whose turn it is when
  // the last report on the target is `silent` ago.
  bool IsActive(const RendezvousPlace& place, Duration silent) const {
    if (IsOwner(place)) return true;
    const auto turn = static_cast<std::size_t>(
        std::max(silent, Duration::zero()) / (kWindowsPerTurn * window));
    const std::size_t groups = (place.routers + owners - 1) / owners;
    return place.rank / owners == turn % groups;
  }
};

class SharedRate {
 public:
  // `started` is the start time of the process.
  SharedRate(Instant started, RateAllowance allowance)
      : started_(started), allowance_(allowance) {}

  // The most that all routers together may send to a target with limit `per_s`
  // in one span.
  double MaxPerSpan(double per_s) const {
    return std::clamp(per_s, 0.0, kMaxPerS) * ToSeconds(allowance_.span) *
               allowance_.overage +
           allowance_.slack;
  }

  // The share of each owner of a target with limit `per_s`, if the list has
  // `routers` routers.
  OwnerShare ShareOf(double per_s, std::size_t routers) const {
    OwnerShare out;
    const double max_per_span = MaxPerSpan(per_s);
    const std::size_t max_owners =
        static_cast<std::size_t>(max_per_span / kRequestsPerOwner);
    out.owners = std::max(
        kMinOwners, std::min(max_owners, std::max<std::size_t>(1, routers)));
    const double owners = static_cast<double>(out.owners);
    const double share = max_per_span / (2 * owners);
    out.requests = static_cast<std::size_t>(std::max(1.0, share));
    out.window =
        WindowOf(share, static_cast<double>(out.requests) * owners / per_s);
    return out;
  }

  bool MaySend(Instant now, const TargetStart& target,
               const OwnerShare& share) const {
    if (now - started_ < share.window) return false;
    const auto it = sent_.find(target);
    if (it == sent_.end()) return true;
    std::size_t recent = 0;
    for (const Instant at : it->second)
      recent += now - at < share.window ? 1 : 0;
    return recent < share.requests;
  }

  void OnSent(Instant now, const TargetStart& target) {
    DropOld(now);
    sent_[target].push_back(now);
  }

 private:
  static constexpr std::size_t kMinOwners = 2;
  // Requests per span for each owner, if there are more owners than
  // `kMinOwners`.
  static constexpr double kRequestsPerOwner = 8;
  // By how much a window is longer than a span. It must exceed the time that a
  // request may wait for its connection.
  static constexpr Duration kConnectAllowance = std::chrono::milliseconds(300);
  // Even a target with a very low limit gets a request in this time.
  static constexpr Duration kLongestWindow = std::chrono::seconds(20);
  // Largest rate that is used; higher rates are lowered to it.
  static constexpr double kMaxPerS = 1e6;

  // The window of an owner whose share in a span is `share` requests. The
  // window is longer if `share` is less than 1, or if the rate allows what all
  // owners send in a window only every `even_s` seconds.
  Duration WindowOf(double share, double even_s) const {
    const double min_s = ToSeconds(allowance_.span + kConnectAllowance);
    const double max_s = ToSeconds(kLongestWindow);
    double out = min_s;
    if (share < 1) out = share * max_s > min_s ? min_s / share : max_s;
    if (!(even_s < max_s)) even_s = max_s;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::max(out, even_s)));
  }

  // Drops sends that are older than any window.
  void DropOld(Instant now) {
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
