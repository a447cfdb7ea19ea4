// CrashWatch knows which requests crash the targets that run them, from what
// all routers of the fleet have seen (dispatch/crash_blame.h decides).
//
//   CrashWatch crashes(context, self, handlers);
//   crashes.Start();
//   if (crashes.IsBlamed(fingerprint)) ...      // before a request is sent
//   crashes.OnLost({request, fingerprint, target, running_for});
//   crashes.OnRan(fingerprint);                 // if `IsWatching`
//   crashes.OnPeer(message);                    // each message of a peer
//
// Without it one returning request took all engines of a service, twelve within
// three seconds and again as each came back: a router sent it to two engines
// each time, and its next return was a new request, often at another router.
//
// What counts as a crash. The connection ended in the middle of an answer; the
// request had just begun there (`HasJustBegun`); the target was listed and not
// leaving; and a new connection to it is refused. A target that resets some
// requests and lives, one that goes silent and one that ends as planned
// therefore bring nobody into a report, and of those that run at a target that
// crashes only the ones that had just begun. A request that once ran beyond its
// beginning is never reported again by its router.
//
// How it is known everywhere. Each router keeps what it has seen under a key of
// its own in the store, and follows those of all (relay/state_feed.h), so that
// it reaches each router that reaches the store within about two seconds, by
// whatever routers are cut off from each other, and outlasts the processes. It
// tells its peers at once as well, which is sooner, and all there is while the
// store is away. What a router hears is added to what it knows and takes
// nothing back, so order, repetition and loss of messages don't matter.
//
// The store's key. A process writes on top of what an earlier one on its VM has
// left there; the write names the revision that it replaces. One whose answer
// is lost is made again, on what the store has then.
//
// Memory and messages are bounded, by CrashReports::kMostOfOne for what a
// router reports, CrashBlame::kMostRequests for what it knows, and one write in
// `kBetweenWrites`.
//
// It owns its reports, the feed and the checks of targets under way. What can't
// be read is left out with a line in the log. Loop, clock, store and chart must
// outlive it.

#ifndef QUAYTRACK_RELAY_CRASH_WATCH_H_
#define QUAYTRACK_RELAY_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/crash_blame.h"
#include "fleet/target_registry.h"
#include "net/tcp_socket.h"
#include "relay/crash_reports.h"
#include "relay/state_feed.h"

namespace quaytrack {

// An attempt whose connection its target has ended in the middle.
struct LostAttempt {
  RequestId id;
  Fingerprint request;
  TargetEntry target;
  // Since its answer began.
  Duration running_for{};
};

// How a request stands at a target.
struct RunningFacts {
  // Of a stream, its answer has begun; any other call was sent.
  bool has_begun = false;
  // Since the first event of a stream from there, if one has come.
  std::optional<Duration> events_for;
};

class CrashWatch {
 public:
  struct Handlers {
    // Sends a message to all linked peers.
    std::function<void(PeerMessage)> broadcast;
    // What the list of targets says of one now; null if it isn't listed, or may
    // get no work: nothing is sent there, not even a connection.
    std::function<const TargetEntry*(const TargetName&)> listed;
    // What the feed needs of the fleet; unused in a small one.
    FeedLinks feed = {};
  };

  // From a stream's first event on, it has begun for so long. The requests that
  // crashed engines did so before a first event, after 0.01 to 0.11 s; this is
  // for others that need some tokens for it.
  static constexpr Duration kBeginning = std::chrono::milliseconds(300);

  // Whether the request may be what has ended its target.
  static bool HasJustBegun(const RunningFacts& it) {
    return it.has_begun && it.events_for.value_or(kBeginning) <= kBeginning;
  }
  // Whether the request has shown that it doesn't crash what runs it.
  static bool HasOutlived(const RunningFacts& it) {
    return it.events_for.has_value() && *it.events_for > kBeginning;
  }

  CrashWatch(const FeedContext& context, VmName self, Handlers handlers);

  void Start() { feed_.Start(); }
  void OnPeer(const PeerMessage& message);
  // An attempt at a target was lost. Nothing is known of it yet when this
  // returns, as the target is asked first.
  void OnLost(const LostAttempt& attempt);
  // A request ran to its end at a target, or well beyond its beginning.
  void OnRan(const Fingerprint& request);
  // Forgets what is old; some times a second.
  void Check();

  // Whether a request's fingerprint says anything. If not, none is needed.
  bool IsWatching() const { return !blame_.empty(); }
  bool IsBlamed(const Fingerprint& request) const {
    return blame_.IsBlamed(request);
  }
  // As `LostAttempt` just was: one more would be blamed.
  bool IsAtItsLast(const Fingerprint& request) const {
    return blame_.Crashes(request) + 1 >= kCrashesToBlame;
  }
  // How long a request that is blamed will be refused.
  Duration Remaining(const Fingerprint& request) const;
  const CrashBlame& blame() const { return blame_; }
  StateFeed& feed() { return feed_; }

 private:
  // A target that is being asked whether it lives.
  struct Probe {
    TargetStart target;
    std::vector<LostAttempt> lost;
    std::shared_ptr<TcpSocket> socket;
    std::unique_ptr<Timer> timer;
  };
  using ProbePtr = std::shared_ptr<Probe>;

  StateFeed::Handlers FeedHandlers();
  void TakeItem(const StoreItem& item);
  void Take(const CrashReports& reports);
  void LogVerdicts();

  void StartProbe(const ProbePtr& probe, const std::string& address);
  void EndProbe(const ProbePtr& probe, bool ended);
  void Report(const LostAttempt& attempt);
  void Tell(const CrashReports& news);
  void ForgetOwn();

  std::string OwnKey() const;
  void WriteAfter(Duration delay);
  void Write();
  void OnWritten(const StoreWritten& written);
  void MergeOwn(const CrashReports& stored);

  FeedContext context_;
  VmName self_;
  Handlers on_;
  CrashBlame blame_;
  // Whom the log has named as blamed.
  std::set<Fingerprint> logged_;
  StateFeed feed_;
  std::map<TargetStart, ProbePtr> probes_;

  // What this router has seen, as it is to stand in the store.
  CrashReports own_;
  // `own_` has changed since the latest write was made.
  bool unwritten_ = false;
  // Of the own item; 0 if there is none.
  std::int64_t own_revision_ = 0;
  KvStore::CallPtr write_;
  // Runs for a while before a write, and for a while after one.
  std::unique_ptr<Timer> write_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CRASH_WATCH_H_
