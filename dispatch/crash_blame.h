// CrashBlame: finds the requests that crash the targets that run them.
//
//   CrashBlame blame;
//   blame.Note({fingerprint, start, wall_now, run_time}, wall_now);
//   blame.NoteRan(fingerprint, at, wall_now);   // ran well at `at`
//   if (blame.IsBlamed(fingerprint)) ...        // refuse the request
//
// A target that crashes loses all its requests, up to as many as it has slots,
// and any of them may be the cause. A report says that a request had just begun
// to run at a target when that target ended. Reports also name innocent
// requests, and a retried request may be named several times, because it may
// meet the same harmful request again within seconds. The rule therefore looks
// at all reports of the fleet together:
//
//   1. If a request later ran at a target to its end, or well past its
//      beginning, its earlier reports do not count.
//   2. Of the requests with at least `kCrashesToBlame` crashes, the one with
//      the most crashes is blamed; on a tie, the one with the shortest total
//      run time.
//   3. The crashes of a blamed request are explained and count against no other
//      request. Step 2 is repeated with the remaining crashes.
//
// The decision depends on the reports alone. Routers with the same reports
// agree, whatever the order of arrival, and a request that was wrongly blamed
// because reports were missing is cleared when these reports arrive. The
// platform allows three crashes before a request has to be recognized. In
// simulations with twelve targets (testing/crash_blame_test.cc), none of 73,000
// innocent requests was blamed in fleets with one or two harmful requests, and
// 4 of 37,000 with four. Where targets crash without a harmful request, none
// was blamed at one crash each 2 s, 6 of 37,000 at one each 0.7 s, and 109 at
// one each 0.3 s, which leaves at most three targets up.
//
// Memory is bounded (`kMaxRequests`). Requests that never return have one
// report each and are evicted first. A report counts for the time
// `kCrashMemory`.
//
// Times are wall-clock times of the reporting routers, because reports outlive
// processes and boots. An error of a few seconds has no effect. A time in the
// future is reduced to the receiver's time; reports of a router whose clock is
// behind by more than `kCrashMemory` are ignored.
//
// Owns its reports; does not read the clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_CRASH_BLAME_H_
#define QUAYTRACK_DISPATCH_CRASH_BLAME_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

// How many targets a request has to crash before it is blamed: the platform's
// limit.
inline constexpr std::size_t kCrashesToBlame = 3;

// How long a report counts. This bounds how long a caller is refused by a wrong
// decision, and the cost of a harmful request: three targets in each such
// period.
inline constexpr std::chrono::milliseconds kCrashMemory = std::chrono::hours(1);

// Reports that a target ended while a request had just begun to run there.
struct CrashReport {
  Fingerprint request;
  TargetStart target;
  // Wall clock of the router that saw the crash.
  WallTime at{};
  Duration run_time{};

  bool operator==(const CrashReport&) const = default;
};

// Reports that a request with crash reports later ran to its end, or well past
// its beginning.
struct RanReport {
  Fingerprint request;
  WallTime at{};

  bool operator==(const RanReport&) const = default;
};

class CrashBlame {
 public:
  // Bound on requests with reports. Beyond it, the request with the fewest
  // reports is evicted; on a tie, the one with the oldest latest report. At
  // some 150 bytes a report and one or two reports a request, this is 0.3 MB.
  // Twelve targets that crash every few seconds cause a few reports a second,
  // so requests that never return are remembered for some minutes.
  static constexpr std::size_t kMaxRequests = 1024;
  // Bound on reports of one request; further ones would not change a decision.
  static constexpr std::size_t kMaxReports = 16;

  // Adds a report. Returns whether it was new. `now` is the receiver's wall
  // clock.
  bool Note(const CrashReport& report, WallTime now);
  // Notes that the request ran well (see `RanReport`) at `at`. Does nothing if
  // the request has no report.
  void NoteRan(const Fingerprint& request, WallTime at, WallTime now);
  // Adds many reports and evaluates once. A router that starts receives up to
  // 64 reports from each other router, mostly about few requests.
  void NoteAll(const std::vector<CrashReport>& crashes,
               const std::vector<RanReport>& ran, WallTime now);
  // Removes reports older than `kCrashMemory`.
  void Expire(WallTime now);

  bool IsBlamed(const Fingerprint& request) const {
    return blamed_.contains(request);
  }
  const std::set<Fingerprint>& blamed() const { return blamed_; }
  // Whether any report counts against the request.
  bool IsSuspected(const Fingerprint& request) const {
    return Crashes(request) > 0;
  }
  // Number of crashes that count against the request, including crashes that
  // are explained by another request.
  std::size_t Crashes(const Fingerprint& request) const;
  std::vector<TargetStart> TargetsOf(const Fingerprint& request) const;
  // How long the request stays blamed if no more reports arrive.
  Duration Remaining(const Fingerprint& request, WallTime now) const;
  bool empty() const { return suspects_.empty(); }
  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::map<TargetStart, CrashReport> reports;
    // The latest time at which the request is known to have run well.
    WallTime ran_at{};
  };
  struct Candidate {
    Fingerprint request;
    std::size_t crashes = 0;
    // Total run time before the crashes in `crashes`.
    Duration run_time{};
  };

  // `Add` and `AddRan` add a report without evaluating, and return whether
  // anything changed.
  bool Add(const CrashReport& report, WallTime now);
  bool AddRan(const RanReport& report, WallTime now);
  static bool CountsAgainst(const Suspect& it, const CrashReport& report) {
    return report.at > it.ran_at;
  }
  static bool IsBlamedBefore(const Candidate& a, const Candidate& b);
  static Candidate UnexplainedCrashes(const Fingerprint& request,
                                      const Suspect& it,
                                      const std::set<TargetStart>& explained);
  void Evaluate();
  void EvictIfFull();

  std::map<Fingerprint, Suspect> suspects_;
  // Derived from `suspects_`.
  std::set<Fingerprint> blamed_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_CRASH_BLAME_H_
