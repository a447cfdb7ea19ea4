// CrashBlame: finds what crashes the targets that run it: a request, or a
// prompt part that requests share (dispatch/crash_cause.h).
//
//   CrashBlame blame;
//   blame.Note({cause, start, wall_now, run_time, request}, wall_now);
//   blame.NoteRan({cause, at}, wall_now);       // ran well, begun at `at`
//   if (const Blame* it = blame.Find(causes)) ...   // refuse the request
//
// A target that crashes loses all its requests, up to as many as it has slots,
// and any of them, or of their shared parts, may be the cause. A report says
// that something had just begun to run at a target when that target ended.
// Reports also name the innocent. The rule therefore looks at all reports of
// the fleet together:
//
//   1. What began to run later, and ran to its end or well past its beginning,
//      is cleared of its earlier crashes: a harmful request or part never does.
//   2. A request can be blamed with `kCrashesToBlame` crashes. A part needs
//      `kCrashesToBlamePart`, of two requests at least, at `kMinMoments`
//      moments. A part that has run well, before its crashes or between them,
//      needs more (`kCrashesToBlameProvenPart`), as popular parts are at most
//      crashes.
//   3. Of these, the one with the most crashes is blamed. On a tie, a request
//      goes before a part, as it concerns fewer callers, and the request with
//      the shorter total run time first.
//   4. Parts that occur together can't be told apart at first. Every other part
//      that was at most of the same crashes, and at no others, is blamed along
//      with it, and only requests with all of them are refused. The others run
//      on, and show which of the parts is the cause.
//   5. What the blamed explain counts against nobody else. Step 3 is repeated
//      with the remaining crashes. A part that has never run well and was at
//      `kCrashesOfUnprovenPart` crashes, explained or not, is blamed as soon as
//      one isn't: several harmful parts may be at each crash.
//
// The decision depends on the reports alone. Routers with the same reports
// agree, whatever the order of arrival, and what was wrongly blamed because
// reports were missing is cleared when these reports arrive. The platform
// allows three crashes before a request has to be recognized, and five for a
// part.
//
// While a part is blamed nothing shows whether it is still harmful, so a wrong
// blame wouldn't end. `NextTest` says when one request with it may be let
// through. The times grow with the time for which it has crashed targets.
//
// Memory is bounded (`kMaxSuspects`, `kMaxReports`). What never returns has one
// report each and is evicted first. A report counts for the time
// `kCrashMemory`.
//
// Times are wall-clock times of the reporting routers, because reports outlive
// processes and boots. An error of a few seconds has no lasting effect. A time
// in the future is reduced to the receiver's time; reports of a router whose
// clock is behind by more than `kCrashMemory` are ignored.
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
#include "dispatch/crash_cause.h"

namespace quaytrack {

// How many targets a request has to crash before it is blamed: the platform's
// limit.
inline constexpr std::size_t kCrashesToBlame = 3;

// The same for a part. The platform's limit is one more, which leaves a crash
// that no router could report.
inline constexpr std::size_t kCrashesToBlamePart = 4;
// A part that has run well is at crashes by chance more often. The limit of
// five still holds within the three sends that the platform allows after it.
inline constexpr std::size_t kCrashesToBlameProvenPart = 7;

// The platform's limit.
inline constexpr std::size_t kCrashesOfUnprovenPart = 5;

// Crashes within `kMomentLength` of the first of them are one moment: what
// fails at once, as the targets on one rack do, has one cause. A part that has
// run well must have missed its chance to run again between several moments.
inline constexpr std::size_t kMinMoments = 2;
inline constexpr std::size_t kMinMomentsOfProvenPart = 4;
inline constexpr std::chrono::milliseconds kMomentLength{250};

// How long a report counts. This bounds how long a caller is refused by a wrong
// decision about its request, and the cost of a harmful one: three targets in
// each such period.
inline constexpr std::chrono::milliseconds kCrashMemory = std::chrono::hours(1);

// The next test of a blamed part is `min_delay` after its latest crash, and at
// least `factor` times the time from its first crash to the latest, so that the
// tests of a harmful part become rare.
struct TestSchedule {
  std::chrono::milliseconds min_delay;
  int factor;
};
inline constexpr TestSchedule kTestsOfPart{std::chrono::seconds(5), 4};
// A part that has run well may be blamed wrongly, and is more often popular.
inline constexpr TestSchedule kTestsOfProvenPart{std::chrono::seconds(2), 2};

// Reports that a target ended while something had just begun to run there.
struct CrashReport {
  CauseId cause;
  TargetStart target;
  // When the attempt was lost, by the wall clock of its router.
  WallTime at{};
  Duration run_time{};
  // The request that was running, which for a request is the cause itself.
  Fingerprint request;

  bool operator==(const CrashReport&) const = default;
};

// Reports that something with crash reports began to run at `at`, before or
// after the crashes, and ran to its end or well past its beginning.
struct RanReport {
  CauseId cause;
  WallTime at{};

  bool operator==(const RanReport&) const = default;
};

// A decision about one request, or about parts. Requests that have all of
// `causes` are refused.
struct Blame {
  CauseKind kind = CauseKind::kRequest;
  std::vector<CauseId> causes;
  // The crashes by which it is blamed, in the order of their times, and the
  // times of the first and the latest.
  std::vector<TargetStart> targets;
  WallTime first{};
  WallTime latest{};
  // Each of `causes` is known to have run well, before its crashes or between.
  bool is_proven = false;

  bool operator==(const Blame&) const = default;
};

class CrashBlame {
 public:
  // Bound on causes with reports. Beyond it, the one with the fewest reports is
  // evicted; on a tie, the one with the oldest latest report. At some 250 bytes
  // a report and one or two reports a cause, this is 1 MB. Twelve targets that
  // crash every few seconds cause some ten reports a second, so causes that
  // never return are remembered for some minutes.
  static constexpr std::size_t kMaxSuspects = 2048;
  // Bound on reports of one cause; the latest are kept.
  static constexpr std::size_t kMaxReports = 16;

  // Adds a report. Returns whether it was new. `now` is the receiver's wall
  // clock.
  bool Note(const CrashReport& report, WallTime now);
  // Returns whether it was news.
  bool NoteRan(const RanReport& report, WallTime now);
  // Adds many reports and evaluates once. A router that starts receives up to
  // 64 reports from each other router. Returns the crashes that were new.
  std::vector<CrashReport> NoteAll(const std::vector<CrashReport>& crashes,
                                   const std::vector<RanReport>& ran,
                                   WallTime now);
  // Removes reports older than `kCrashMemory`.
  void Expire(WallTime now);

  // The decision by which the request is refused; null if there is none. Valid
  // until the next change.
  const Blame* Find(const RequestCauses& request) const;
  const std::vector<Blame>& blamed() const { return blamed_; }
  // Whether the request has all of the parts that are the most likely cause of
  // crashes that aren't explained yet, if they aren't known to have run well.
  bool HasSuspectedParts(const RequestCauses& request) const;
  // Whether any report counts against the cause.
  bool IsSuspected(const CauseId& cause) const { return Crashes(cause) > 0; }
  // Whether the report would clear a crash of its cause, or be the first good
  // run that is known of it.
  bool WouldHelp(const RanReport& report) const;
  // Whether the report counts, that is, its cause hasn't been cleared since.
  bool Counts(const CrashReport& report) const;
  // Number of crashes that count against the cause, including crashes that are
  // explained by another.
  std::size_t Crashes(const CauseId& cause) const;
  // How long a blamed request is still refused if no more reports arrive, and
  // parts until their next test.
  Duration Remaining(const Blame& blame, WallTime now) const;
  // When a request with the blamed parts may be let through next. Only the
  // router that made the latest of their reports may do it (`LatestOf`).
  static WallTime NextTest(const Blame& blame);
  std::vector<CrashReport> LatestOf(const Blame& blame) const;
  // Whether nothing is suspected.
  bool empty() const { return reports_ == 0; }
  // Number of causes with reports, and of all that is remembered.
  std::size_t suspected() const { return suspected_; }
  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    CauseKind kind = CauseKind::kRequest;
    std::map<TargetStart, CrashReport> reports;
    // When the latest run began that is known to have gone well.
    WallTime ran_at{};
  };
  using Suspects = std::map<CauseId, Suspect>;
  using Targets = std::set<TargetStart>;

  // What must hold of crashes for their cause to be chosen.
  struct Threshold {
    std::size_t request_crashes;
    std::size_t part_crashes;
    std::size_t part_moments;
    // Number of crashes, with those that are explained, from which on one that
    // isn't is enough.
    std::size_t unproven_part_crashes;
    std::size_t proven_part_crashes;
    std::size_t proven_part_moments;
  };
  // A cause, and the crashes that count against it and aren't explained.
  struct Candidate {
    CauseId cause;
    CauseKind kind = CauseKind::kRequest;
    // In the order of their times; owned by `suspects_`.
    std::vector<const CrashReport*> crashes;
    Duration run_time{};
  };

  // `Add` and `AddRan` add a report without evaluating, and return whether
  // anything changed.
  bool Add(const CrashReport& report, WallTime now);
  bool AddRan(const RanReport& report, WallTime now);
  static bool IsBlamedBefore(const Candidate& a, const Candidate& b);
  static bool IsUnexplained(const Suspect& it, const CrashReport& report,
                            const Targets& explained) {
    return report.at > it.ran_at && !explained.contains(report.target);
  }
  static std::size_t CountUnexplained(const Suspect& it,
                                      const Targets& explained);
  static Candidate Unexplained(const CauseId& cause, const Suspect& it,
                               const Targets& explained);
  Suspect& SuspectOf(const CauseId& cause);
  bool Passes(const Candidate& it, const Threshold& threshold) const;
  bool PartPasses(const Candidate& it, const Threshold& threshold) const;
  std::vector<Candidate> Candidates(const Targets& explained,
                                    const Threshold& threshold) const;
  static std::vector<CauseId> WithItsCompanions(
      const Candidate& worst, const std::vector<Candidate>& suspects);
  Blame MakeBlame(const Candidate& worst,
                  const std::vector<Candidate>& suspects) const;
  bool IsProven(const CauseId& cause) const;
  void Evaluate();
  void CountReports();
  void EvictIfFull();

  Suspects suspects_;
  // All derived from `suspects_`.
  std::vector<Blame> blamed_;
  std::vector<CauseId> suspected_parts_;
  std::size_t reports_ = 0;
  std::size_t part_reports_ = 0;
  std::size_t suspected_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_CRASH_BLAME_H_
