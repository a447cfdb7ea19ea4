// ColdPermits: how many requests this router may send to a cold target.
//
//   ColdPermits permits(now, {overage, slack});
//   if (owns(target) && permits.MaySend(now, target, rate)) ...
//   permits.OnSent(now, target);
//
// All routers together may send one cold target a bounded number of requests
// in any second (`MostInASecond`), whoever of them is in touch with whom. So
// the bound can't rest on messages between them. It rests on the list of
// routers: the first `kOwners` of it in the rendezvous order of the target
// (fleet/fleet.h) own it while it is cold, and nobody else sends to it. Each
// owner sends at most its part.
//
// Lists may differ for a while. Entries are never removed from them, so a list
// that is behind lacks the newest routers, and only a router that one of those
// has put out of the first `kOwners` wrongly takes itself for an owner. So each
// owner's part is taken for twice as many owners: the bound holds as long as no
// more than `kOwners` of a target's owners were put out within the time that a
// list is behind. A router that has not read the list owns nothing.
//
// A process that starts doesn't know what the one before it on its VM has sent,
// so it sends nothing for one window. A window is longer than a second by what
// a request may wait for its connection after it was let through
// (relay/attempt.h): requests that were let through in two windows can't be
// written within one second. What a network holds up after that has left this
// router in another second than it arrives in.
//
// Other ways were compared in testing/cold_fleet_test.cc and
// docs/design/cold-targets.md.
//
// It owns the times of what was sent, reads no clock, and reports no errors.

#ifndef QUAYTRACK_DISPATCH_COLD_PERMITS_H_
#define QUAYTRACK_DISPATCH_COLD_PERMITS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

// How a service's targets bear requests after a start.
struct ColdRule {
  // How long one stays cold.
  Duration start{};
  // Requests a second that a cold one bears; 0 if nothing is known to bound it.
  double per_s = 0;
};

// What the deployment allows beyond `ColdRule::per_s`: so many times as much,
// and so many requests more in any second.
struct ColdAllowance {
  double overage = 1;
  double slack = 0;
};

class ColdPermits {
 public:
  // Routers that may send to one cold target. Two, so that it gets work while
  // one of them is down. Not compared with other numbers.
  static constexpr std::size_t kOwners = 2;
  // A second, and what a request may wait for its connection.
  static constexpr Duration kWindow = std::chrono::milliseconds(1300);

  // `started` is when the process did.
  ColdPermits(Instant started, ColdAllowance allowance)
      : started_(started), allowance_(allowance) {}

  // Of all routers, to one cold target.
  double MostInASecond(const ColdRule& rule) const {
    return rule.per_s * allowance_.overage + allowance_.slack;
  }

  // Of one owner, in `WindowOf`.
  std::size_t PartOfOwner(const ColdRule& rule) const {
    return static_cast<std::size_t>(std::max(1.0, ExactPart(rule)));
  }

  // Longer than `kWindow` where an owner's part is less than one request.
  Duration WindowOf(const ColdRule& rule) const {
    const double least =
        std::chrono::duration<double>(kWindow) / kLongestWindow;
    const double part = std::clamp(ExactPart(rule), least, 1.0);
    return std::chrono::duration_cast<Duration>(kWindow / part);
  }

  bool MaySend(Instant now, const TargetStart& target,
               const ColdRule& rule) const {
    const Duration window = WindowOf(rule);
    if (now - started_ < window) return false;
    const auto it = sent_.find(target);
    if (it == sent_.end()) return true;
    std::size_t recent = 0;
    for (const Instant at : it->second) recent += now - at < window ? 1 : 0;
    return recent < PartOfOwner(rule);
  }

  void OnSent(Instant now, const TargetStart& target) {
    Forget(now);
    sent_[target].push_back(now);
  }

 private:
  // Routers that may take themselves for an owner at once.
  static constexpr double kMostActing = 2.0 * kOwners;
  // However little a target bears, it gets a request now and then.
  static constexpr Duration kLongestWindow = std::chrono::seconds(60);

  double ExactPart(const ColdRule& rule) const {
    return MostInASecond(rule) / kMostActing;
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
  ColdAllowance allowance_;
  std::map<TargetStart, std::deque<Instant>> sent_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_COLD_PERMITS_H_
