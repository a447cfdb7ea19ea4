// CrashWatch tracks which requests, and which parts that they share, crash the
// targets that run them, from the reports of all routers of the fleet
// (dispatch/crash_blame.h decides).
//
//   CrashWatch crashes(context, self, handlers);
//   crashes.Start(has_readers);
//   if (const Blame* it = crashes.Find(causes)) ...  // before a request is
//   sent crashes.OnLost({request, causes, target, running_for});
//   crashes.OnPartsRan(causes.parts, began);    // each good run
//   crashes.OnRan(causes.request, began);       // if `HasReports`
//   crashes.OnPeer(message);                    // each message of a peer
//
// Without CrashWatch, one request that was retried crashed all engines of a
// service, twelve within three seconds, and each again when it was back: a
// router sent it to two engines each time, and each retry by its caller was a
// new request, often at another router.
//
// What counts as a crash. A target left the request without an answer, or with
// only the start of one (`HasPassedStartPhase`); the target was listed and not
// leaving; and it has ended. Where a target sends the head of its answer with
// its first event, a router can't see whether a request had begun to run. So
// requests that may still have been queued there are reported as well, and
// dispatch/crash_blame.h tells them apart. A target that resets some requests
// and lives on, and one that ends as planned, cause no report. Neither does a
// request that has run past its start phase at any target.
//
// Detecting the end. A target has ended if a connection to it is refused or
// doesn't open although this router's links to targets have worked since the
// loss (else all targets would seem to end when a router is cut off), or if the
// list of targets shows its name with another start,
// that is, with a later run of its process (TargetStart), or lacks its entry
// without an announcement that it leaves. Several connections are attempted
// (`kProbeDelays`), since a port may stay open for a while after its target has
// failed. The list reveals targets that restarted before a probe, and those
// that hang for good. Unanswered attempts are remembered for `kRememberFor`,
// until the list shows the end. Attempts whose caller left, or that timed out,
// are remembered too, as their requests may be what ends the target.
//
// Distribution. Each router keeps its reports under its own key in the store,
// and follows the reports of all routers (relay/state_feed.h). So a report
// reaches each router that reaches the store within about two seconds,
// whichever routers are cut off from each other, and outlasts the processes.
// Reports are also sent to peers at once, which is faster, and is the only way
// while the store is unreachable. Received reports are only ever added, so
// order, repetition and loss of messages don't matter.
//
// The store's key. A process adds its reports to those that an earlier process
// on its VM left there; the write names the revision that it replaces. A write
// whose answer is lost is repeated on top of what the store has then.
//
// What ran well. A good run of a request that has reports is told at once, as
// only its own router knows of it. Good runs of a popular part are known to
// most routers, so the first one to tell it is enough: each waits for a random
// time (`RanDelay`), and then tells only what none has told.
//
// Tests of a blamed part. The router that made the latest report that counts
// against it lets one request through (`TakeTest`), at the times of
// CrashBlame::NextTest. If that router has ended, the process that follows it
// on its VM does.
//
// Memory and messages are bounded by CrashReports::kMaxPerList for what a
// router reports, by `kMaxPartsPerRequest`, by CrashBlame::kMaxSuspects for
// what it knows, and by one write in `kWriteInterval`.
//
// CrashWatch owns this router's reports, the feed and the running probes of
// targets. Reports that can't be decoded are logged and left out. Loop, clock,
// store and chart must outlive it.

#ifndef QUAYTRACK_RELAY_CRASH_WATCH_H_
#define QUAYTRACK_RELAY_CRASH_WATCH_H_

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/crash_blame.h"
#include "dispatch/part_runs.h"
#include "fleet/target_registry.h"
#include "net/tcp_socket.h"
#include "relay/crash_reports.h"
#include "relay/state_feed.h"

namespace quaytrack {

// An attempt that ended without a complete answer.
struct LostAttempt {
  RequestId id;
  RequestCauses causes;
  TargetEntry target;
  // Time since the start of the answer, or since the send if there was no
  // answer.
  Duration running_for{};
};

class CrashWatch {
 public:
  struct Handlers {
    // Sends a message to all linked peers.
    std::function<void(PeerMessage)> broadcast;
    // Whether a target may receive work: it is listed with the start of the
    // given entry, and nothing keeps work from it (`Placement::IsOpenToWork`).
    std::function<bool(const TargetEntry&)> is_open_to_work;
    // Whether this router's links to targets have worked after a time; if not,
    // they are checked, and `OnLinksWork` is called if they do. Without this
    // handler, they always have.
    std::function<bool(const TargetEntry&, Instant)> links_work_since = {};
    // How many routers there are.
    std::function<std::size_t()> fleet_size = [] { return std::size_t{1}; };
    // The feed's links to the fleet; unused in a small fleet.
    FeedLinks feed = {};
  };

  // Times of the connection attempts to a target, from the loss of an attempt.
  // A port without a listener refuses the first attempt; the later attempts are
  // for ports that close later.
  static constexpr std::array<Duration, 3> kProbeDelays{
      std::chrono::milliseconds(0), std::chrono::milliseconds(150),
      std::chrono::milliseconds(600)};
  // How long an unanswered attempt is remembered, so that it can be reported
  // when the list of targets shows that its target has ended.
  static constexpr Duration kRememberFor = kMaxEntryDelay;
  // Maximum number of attempts remembered for each start of a target; beyond
  // it, the oldest is dropped. A router has fewer attempts running at one
  // target.
  static constexpr std::size_t kMaxRemembered = 64;

  // Parts that are reported of one lost request. Those that are suspected
  // already come first, so a harmful one among many is found by more crashes.
  static constexpr std::size_t kMaxPartsPerRequest = 16;
  // Least time between two tests of the same part. By then the result of the
  // first is known.
  static constexpr Duration kTestTime = std::chrono::seconds(10);

  // Length of a stream's start phase, from its first event. A request that
  // crashes an engine does so before a first event, or after some tokens.
  static constexpr Duration kStartPhase = std::chrono::milliseconds(300);

  // Whether a request has run long enough to rule out that it crashes its
  // target. `time_with_events` is the time from its first event from there to
  // the latest, if one has arrived.
  static bool HasPassedStartPhase(std::optional<Duration> time_with_events) {
    return time_with_events.has_value() && *time_with_events > kStartPhase;
  }

  CrashWatch(const FeedContext& context, VmName self, Handlers handlers);

  // Called once the list of routers has been read, so that it is known whether
  // there are readers that send updates.
  void Start(bool has_readers) {
    has_readers ? feed_.StartFromReaders() : feed_.Start();
  }
  void OnPeer(const PeerMessage& message);
  // Called when the connection of an attempt to a target broke. The report, if
  // any, is made later, as the target is probed first.
  void OnLost(const LostAttempt& attempt);
  // Called when this router or the caller stopped an attempt that had no
  // answer.
  void OnStopped(const LostAttempt& attempt);
  // Called when the list of targets shows that a run of a target's process has
  // ended, and not as planned.
  void OnEnded(const TargetStart& target);
  // Called when this router's links to targets have been found to work.
  void OnLinksWork();
  // Called when a request that began to run at `began` ran to its end at a
  // target, or past its start phase.
  void OnRan(const Fingerprint& request, Instant began);
  void OnPartsRan(const std::vector<CauseId>& parts, Instant began);
  // Called when the store has come back in a later era (kv/store.h), and may
  // have lost this router's writes.
  void OnStoreEra();
  // Drops expired reports and remembered attempts, and logs which requests are
  // newly blamed or no longer so; called several times a second.
  void Check();

  // Whether anything has a report. If not, no fingerprint needs to be computed.
  bool HasReports() const { return !blame_.empty(); }
  // The decision by which the request is refused; null if there is none. Valid
  // until the loop's next turn.
  const Blame* Find(const RequestCauses& request) const {
    return blame_.Find(request);
  }
  // Whether the request, which is blamed, may be sent to one target as a test.
  // If so, no other may be for a while.
  bool TakeTest(const RequestId& id, const RequestCauses& request);
  // Whether a request that has just lost an attempt shouldn't be sent on, as
  // one more crash would blame it or its parts are suspected.
  bool IsOneCrashFromBlame(const RequestCauses& request) const {
    return blame_.Crashes(CauseOf(request.request)) + 1 >= kCrashesToBlame ||
           blame_.HasSuspectedParts(request);
  }
  // How long a request is still refused by the decision, from 1 s to
  // `kCrashMemory`.
  Duration Remaining(const Blame& blame) const;
  const CrashBlame& blame() const { return blame_; }
  StateFeed& feed() { return feed_; }

 private:
  // A target that is being probed.
  struct Probe {
    TargetEntry target;
    Instant lost_at{};
    // The target seems to have ended, but so it would if this router were cut
    // off.
    bool seems_ended = false;
    // Index in `kProbeDelays` of the present or next connection attempt.
    std::size_t step = 0;
    std::shared_ptr<TcpSocket> socket;
    std::unique_ptr<Timer> timer;
  };
  struct Remembered {
    LostAttempt attempt;
    Instant lost_at{};
  };
  using ProbePtr = std::shared_ptr<Probe>;

  StateFeed::Handlers FeedHandlers();
  void AddStoredReports(const StoreItem& item);
  void AddReports(const CrashReports& reports);
  void LogBlameChanges();

  bool Remember(const LostAttempt& attempt);
  void ForgetRemembered();
  void StartProbe(const ProbePtr& probe);
  void EndProbe(const ProbePtr& probe, bool ended);
  bool LinksWork(const Probe& probe) const;
  std::vector<CauseId> PartsToReport(const RequestCauses& causes) const;
  std::vector<CrashReport> MakeReports(const Remembered& lost) const;
  void Report(const std::deque<Remembered>& lost);
  void LogReports(const std::deque<Remembered>& lost,
                  const std::vector<CrashReport>& reports) const;
  WallTime WallTimeOf(Instant time) const;
  bool IsLatestReporter(const Blame& blame) const;

  void AnswerCrashes(const std::vector<CrashReport>& crashes);
  void TellRunLater(const CauseId& part);
  void TellRuns();
  Duration RanDelay();
  void AddLocalRan(const RanReport& report);

  void Publish(const CrashReports& reports);
  void Send(const CrashReports& reports);
  void TrimLocalReports();
  // Keeps the reports of the causes with the most crashes, the latest first.
  void KeepMostImportant(std::vector<CrashReport>& crashes) const;

  std::string LocalKey() const;
  void WriteAfter(Duration delay);
  void Write();
  void OnWritten(const StoreWritten& written);
  void MergeStoredReports(const CrashReports& stored);

  FeedContext context_;
  VmName self_;
  Handlers on_;
  CrashBlame blame_;
  // The decisions that were logged, by their causes.
  std::set<std::vector<CauseId>> logged_;
  PartRuns runs_;
  // Parts whose good runs may have to be told, and the timer for that.
  std::set<CauseId> untold_;
  std::unique_ptr<Timer> ran_timer_;
  // When each blamed part was last tested by this router.
  std::map<std::vector<CauseId>, Instant> tested_at_;
  std::minstd_rand random_{std::random_device{}()};
  StateFeed feed_;
  std::map<TargetStart, ProbePtr> probes_;
  std::map<TargetStart, std::deque<Remembered>> remembered_;

  // This router's reports, as they are to be written to the store.
  CrashReports local_reports_;
  // Whether `local_reports_` has changed since the latest write.
  bool needs_write_ = false;
  // Revision of this router's item in the store; 0 if there is none.
  StoreRevision local_revision_;
  KvStore::CallPtr write_;
  // Runs until the next write may be made.
  std::unique_ptr<Timer> write_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CRASH_WATCH_H_
