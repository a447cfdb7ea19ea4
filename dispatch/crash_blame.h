// CrashBlame: which requests crash the targets that run them.
//
//   CrashBlame blame;
//   blame.Note({fingerprint, start, wall_now, begun_for}, wall_now);
//   blame.NoteRan(fingerprint, at, wall_now);
//   if (blame.IsBlamed(fingerprint)) ...        // refuse it
//
// A target that crashes takes all its requests with it, up to as many as it has
// slots, and any of them may be the cause. A report says that a request had
// just begun at a target when that target ended. Innocent requests are in
// reports too, and those that are sent again may be in several, since what
// crashes targets meets many of them within seconds. So the rule looks at all
// reports of the fleet together:
//
//   1. A request that ran somewhere after its reports, to its end or well past
//      its beginning, is none that crashes what runs it: those reports don't
//      count.
//   2. Among requests with at least `kCrashesToBlame` crashes, the one with the
//      most is blamed, among equals the one that had run for the shortest time.
//   3. The crashes that it was in are explained, and count against nobody else;
//      then 2 is asked again of the crashes that are left.
//
// The verdict follows from the reports alone, so routers with the same reports
// agree, in whatever order they came, and one that was blamed for want of
// reports is cleared by those that come later. Three crashes is what the users
// allow before a request has to be known. In drawn fleets of twelve targets
// (testing/crash_blame_test.cc) none of 73,000 innocent requests was blamed
// beside one or two that crash what runs them, and 4 of 37,000 beside four.
// Where targets crash by themselves, nobody was with one crash each 2 s, 6 of
// 37,000 with one each 0.7 s, and 109 with one each 0.3 s, when at most three
// targets are up.
//
// Memory is bounded. Requests that never come again have one report each, and
// are forgotten first; of what there is room for, see `kMostRequests`. A report
// counts for `kCrashMemory`.
//
// Times are of the reporting routers' wall clocks, as reports outlive processes
// and boots. A clock that is wrong by seconds changes nothing that matters; one
// that is ahead is taken back to the reader's, and one that is behind by more
// than `kCrashMemory` makes its router's reports useless.
//
// It owns its reports, reads no clock and reports no errors.

#ifndef QUAYTRACK_DISPATCH_CRASH_BLAME_H_
#define QUAYTRACK_DISPATCH_CRASH_BLAME_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

// Different targets that have to end under a request before it is blamed: the
// users' number.
inline constexpr std::size_t kCrashesToBlame = 3;

// How long a report counts. It bounds what a wrong verdict costs its caller,
// and what a right one costs in targets: three for each time. Not measured.
inline constexpr std::chrono::milliseconds kCrashMemory = std::chrono::hours(1);

// A target ended while a request had just begun to run there.
struct CrashReport {
  Fingerprint request;
  TargetStart target;
  // By the wall clock of the router that saw it.
  WallTime at{};
  // How long the request had run.
  Duration begun_for{};

  bool operator==(const CrashReport&) const = default;
};

// A request with reports that ran well after all.
struct RanReport {
  Fingerprint request;
  WallTime at{};

  bool operator==(const RanReport&) const = default;
};

class CrashBlame {
 public:
  // Requests with reports; beyond that the one with the fewest is forgotten, of
  // those the oldest. At some 150 bytes a report and one or two a request, that
  // is 0.3 MB. Twelve targets that crash each few seconds make a few reports a
  // second, so it holds some minutes of a caller that never repeats itself.
  static constexpr std::size_t kMostRequests = 1024;
  // Reports of one request; those that are beyond would change no verdict.
  static constexpr std::size_t kMostReports = 16;

  // Returns whether it was new. `now` is the reader's wall clock.
  bool Note(const CrashReport& report, WallTime now);
  // The request ran well at `at`. Ignored if it has no report.
  void NoteRan(const Fingerprint& request, WallTime at, WallTime now);
  // The same of many, with one verdict for all. A router that starts takes up
  // to 64 reports of each router, most of them of few requests.
  void NoteAll(const std::vector<CrashReport>& crashes,
               const std::vector<RanReport>& ran, WallTime now);
  // Forgets what is older than `kCrashMemory`.
  void Expire(WallTime now);

  bool IsBlamed(const Fingerprint& request) const {
    return blamed_.contains(request);
  }
  const std::set<Fingerprint>& blamed() const { return blamed_; }
  // Whether a report of the request counts against it.
  bool IsSuspected(const Fingerprint& request) const {
    return Crashes(request) > 0;
  }
  // Crashes that the request was in, whoever is to blame for them.
  std::size_t Crashes(const Fingerprint& request) const;
  std::vector<TargetStart> TargetsOf(const Fingerprint& request) const;
  // How long it will be blamed if nothing more is reported.
  Duration Remaining(const Fingerprint& request, WallTime now) const;
  bool empty() const { return suspects_.empty(); }
  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::map<TargetStart, CrashReport> reports;
    // The latest time at which it is known to have run well.
    WallTime ran_at{};
  };
  struct Candidate {
    Fingerprint request;
    std::size_t crashes = 0;
    // Over the crashes that count.
    Duration begun_for{};
  };

  // Without a verdict. Whether anything changed.
  bool Add(const CrashReport& report, WallTime now);
  bool AddRan(const RanReport& report, WallTime now);
  static bool Counts(const Suspect& it, const CrashReport& report) {
    return report.at > it.ran_at;
  }
  static bool IsWorse(const Candidate& a, const Candidate& b);
  static Candidate UnexplainedOf(const Fingerprint& request, const Suspect& it,
                                 const std::set<TargetStart>& explained);
  void Judge();
  void MakeRoom();

  std::map<Fingerprint, Suspect> suspects_;
  // Follows from `suspects_`.
  std::set<Fingerprint> blamed_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_CRASH_BLAME_H_
