// VersionGate: which version's targets a request of one service may go to,
// while operators move the service to another version (rollout/rollout.h).
//
//   VersionGate gate;
//   gate.SetRule(rule, random_part);
//   if (gate.Admits(version)) ...            // may get requests at all
//   switch (gate.Turn()) ...                 // whose turn it is
//   gate.OnSent(version);
//
// The next version gets its share by counting, and not by chance: of each
// router's own requests, so many times the share, from a random beginning. The
// sum over all routers is then at most the share of all their requests and a
// part of one for each of them, whoever starts again, and a router with few
// requests sends its part too.
//
// It owns the rule and two counts, which start anew with each share.

#ifndef QUAYTRACK_DISPATCH_VERSION_GATE_H_
#define QUAYTRACK_DISPATCH_VERSION_GATE_H_

#include <cstdint>
#include <set>
#include <utility>

#include "base/ids.h"

namespace quaytrack {

struct VersionRule {
  // Empty if no version is being rolled out.
  VersionName next;
  // Part of the requests that it gets.
  double share = 0;
  // Other versions may get requests.
  bool others = true;
  // It may get requests where no other version has a target.
  bool next_alone = true;
  // These get none.
  std::set<VersionName> barred;

  bool operator==(const VersionRule&) const = default;
};

// Whose turn it is.
enum class VersionTurn {
  kAny,
  kNext,    // the next version's; others take it if it has no target
  kOthers,  // theirs alone, as long as one of them has a target
};

class VersionGate {
 public:
  const VersionRule& rule() const { return rule_; }
  // `begin` in [0, 1) is where this router's counting begins.
  void SetRule(VersionRule rule, double begin) {
    if (rule.share != rule_.share || rule.next != rule_.next) {
      sent_ = 0;
      sent_next_ = 0;
      begin_ = begin;
    }
    rule_ = std::move(rule);
  }

  bool IsNext(const VersionName& version) const {
    return !rule_.next.empty() && version == rule_.next;
  }
  // Whether a request may go there, be it its turn or not.
  bool Admits(const VersionName& version) const {
    if (rule_.barred.contains(version)) return false;
    if (IsNext(version)) return rule_.share > 0 || rule_.next_alone;
    return rule_.others;
  }
  VersionTurn Turn() const {
    if (rule_.next.empty() || !rule_.others) return VersionTurn::kAny;
    const double due = rule_.share * (static_cast<double>(sent_) + 1) + begin_;
    return static_cast<double>(sent_next_) + 1 <= due ? VersionTurn::kNext
                                                      : VersionTurn::kOthers;
  }
  // Whether a target of this version may take a turn.
  bool Takes(VersionTurn turn, const VersionName& version) const {
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
  double begin_ = 0;
  // Since the share was set.
  std::uint64_t sent_ = 0;
  std::uint64_t sent_next_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_VERSION_GATE_H_
