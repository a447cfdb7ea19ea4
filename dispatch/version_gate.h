// VersionGate: which version's targets a request of one service may go to while
// operators move the service to another version (rollout/rollout.h).
//
//   VersionGate gate;
//   gate.SetRule(rule, random_offset);
//   if (gate.Admits(version)) ...            // may get requests at all
//   switch (gate.Turn()) ...                 // which version's turn it is
//   gate.OnSent(version);
//
// The next version, which the service moves to, gets its share by counting
// rather than by chance: each router counts its own requests and multiplies
// them by the share, from a random offset. The total over all routers is then
// at most the share of all their requests plus a fraction of a request for each
// router, even when routers restart, and a router with few requests sends its
// share too.
//
// Owns the rule and two counts, which restart with each change of the share or
// of the next version.

#ifndef QUAYTRACK_DISPATCH_VERSION_GATE_H_
#define QUAYTRACK_DISPATCH_VERSION_GATE_H_

#include <cstdint>
#include <set>
#include <utility>

#include "base/ids.h"

namespace quaytrack {

struct VersionRule {
  // The version that the service moves to; empty if no version is being rolled
  // out.
  VersionName next;
  // Share of the requests that the next version gets.
  double share = 0;
  // Whether other versions may get requests.
  bool allow_others = true;
  // Whether the next version may get requests if no other version has a target.
  bool allow_next_alone = true;
  // Versions that get no requests.
  std::set<VersionName> barred;

  bool operator==(const VersionRule&) const = default;
};

// Which version gets the next request.
enum class VersionTurn {
  kAny,
  kNext,    // the next version; other versions if it has no target
  kOthers,  // other versions only, as long as one of them has a target
};

class VersionGate {
 public:
  const VersionRule& rule() const { return rule_; }
  // `offset`, in [0, 1), is added to the number of requests that are due to the
  // next version. It takes effect only if the share or the next version
  // changes.
  void SetRule(VersionRule rule, double offset) {
    if (rule.share != rule_.share || rule.next != rule_.next) {
      sent_ = 0;
      sent_next_ = 0;
      offset_ = offset;
    }
    rule_ = std::move(rule);
  }

  bool IsNext(const VersionName& version) const {
    return !rule_.next.empty() && version == rule_.next;
  }
  // Whether a request may go to the version at all, whatever the turn.
  bool Admits(const VersionName& version) const {
    if (rule_.barred.contains(version)) return false;
    if (IsNext(version)) return rule_.share > 0 || rule_.allow_next_alone;
    return rule_.allow_others;
  }
  VersionTurn Turn() const {
    if (rule_.next.empty() || !rule_.allow_others) return VersionTurn::kAny;
    const double due = rule_.share * (static_cast<double>(sent_) + 1) + offset_;
    return static_cast<double>(sent_next_) + 1 <= due ? VersionTurn::kNext
                                                      : VersionTurn::kOthers;
  }
  // Whether a target of this version may get the request of this turn.
  bool MayTake(VersionTurn turn, const VersionName& version) const {
    if (!Admits(version)) return false;
    if (turn == VersionTurn::kAny) return true;
    return IsNext(version) == (turn == VersionTurn::kNext);
  }
  void OnSent(const VersionName& version) {
    if (rule_.next.empty()) return;
    ++sent_;
    if (IsNext(version)) ++sent_next_;
  }

 private:
  VersionRule rule_;
  double offset_ = 0;
  // Requests since the share or the next version last changed, in total and to
  // the next version.
  std::uint64_t sent_ = 0;
  std::uint64_t sent_next_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_VERSION_GATE_H_
