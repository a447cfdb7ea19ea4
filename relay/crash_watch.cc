#include "relay/crash_watch.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Prefix of the keys of reports, followed by the name of each router's VM.
constexpr char kPrefix[] = "quaytrack/crash/";

// How long a router of a large fleet waits for a reader's heartbeat before it
// follows the crash reports itself. It exceeds the usual cuts from the store,
// after which all routers would read the reports at once. Peers send each other
// crashes at once, whatever the store does.
constexpr Duration kReaderTimeout = std::chrono::seconds(10);

// Time within which a target must accept a connection; otherwise the target
// counts as ended. A port without a listener refuses at once, but a machine
// that is down doesn't answer.
constexpr Duration kProbeTimeout = milliseconds(400);

// Delay from a report to its write, so that the reports of one crash share a
// write.
constexpr Duration kWriteDelay = milliseconds(20);
// Interval between two writes of one router, also after a failed write. Ten
// routers that see a crash each 200 ms make 40 writes a second.
constexpr Duration kWriteInterval = milliseconds(200);

template <class Report>
void AddIfAbsent(std::vector<Report>& list, const Report& it) {
  if (std::find(list.begin(), list.end(), it) != list.end()) return;
  list.push_back(it);
}

std::string JoinedNames(const std::vector<TargetStart>& targets) {
  std::string out;
  for (const TargetStart& it : targets) {
    if (!out.empty()) out += ',';
    out += it.value;
  }
  return out;
}

}  // namespace

CrashWatch::CrashWatch(const FeedContext& context, VmName self,
                       Handlers handlers)
    : context_(context),
      self_(std::move(self)),
      on_(std::move(handlers)),
      feed_(context, {FeedName::kCrashes, {kPrefix}, kReaderTimeout},
            FeedHandlers(), on_.feed) {}

Duration CrashWatch::Remaining(const Fingerprint& request) const {
  return blame_.Remaining(request, context_.clock.WallNow());
}

// --- Reports of other routers ------------------------------------------------

StateFeed::Handlers CrashWatch::FeedHandlers() {
  StateFeed::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& items) {
    for (const StoreItem& it : items) AddStoredReports(it);
  };
  on.changed = [this](const StoreChange& it) {
    if (!it.removed) AddStoredReports(it.item);
  };
  on.settled = [] {};
  // Ignored here: the feeds of the configuration and the targets report whether
  // the store is reachable.
  on.reachable = [](bool) {};
  return on;
}

void CrashWatch::AddStoredReports(const StoreItem& item) {
  const auto reports = DecodeCrashReports(item.value);
  if (!reports) {
    LogEvent(Event::kRecordRefused, {{"key", item.key}});
    return;
  }
  AddReports(*reports);
}

void CrashWatch::OnPeer(const PeerMessage& message) {
  feed_.OnPeer(message);
  if (message.kind != PeerMessageKind::kCrashes) return;
  const auto reports = DecodeCrashReports(message.item_value);
  if (!reports) {
    LogEvent(Event::kPeerMessageRefused, {{"peer", message.from.value}});
    return;
  }
  AddReports(*reports);
}

void CrashWatch::AddReports(const CrashReports& reports) {
  blame_.NoteAll(reports.crashes, reports.ran, context_.clock.WallNow());
  LogBlameChanges();
}

void CrashWatch::LogBlameChanges() {
  const std::set<Fingerprint>& blamed = blame_.blamed();
  if (blamed == logged_) return;
  for (const Fingerprint& it : blamed) {
    if (logged_.contains(it)) continue;
    LogEvent(Event::kRequestBlamed,
             {{"fingerprint", it.value},
              {"crashes", std::to_string(blame_.Crashes(it))},
              {"targets", JoinedNames(blame_.TargetsOf(it))}});
  }
  for (const Fingerprint& it : logged_) {
    if (blamed.contains(it)) continue;
    LogEvent(Event::kRequestCleared, {{"fingerprint", it.value}});
  }
  logged_ = blamed;
}

void CrashWatch::Check() {
  ForgetRemembered();
  blame_.Expire(context_.clock.WallNow());
  LogBlameChanges();
}

// --- Reports of this router --------------------------------------------------

bool CrashWatch::Remember(const LostAttempt& attempt) {
  if (!on_.is_open_to_work(attempt.target)) return false;
  auto& all = remembered_[attempt.target.start];
  all.push_back({attempt, context_.clock.Now()});
  if (all.size() > kMaxRemembered) all.pop_front();
  return true;
}

void CrashWatch::ForgetRemembered() {
  const Instant old = context_.clock.Now() - kRememberFor;
  for (auto& [target, all] : remembered_) {
    while (!all.empty() && all.front().lost_at < old) all.pop_front();
  }
  std::erase_if(remembered_, [](const auto& it) { return it.second.empty(); });
}

void CrashWatch::OnStopped(const LostAttempt& attempt) { Remember(attempt); }

void CrashWatch::OnLost(const LostAttempt& attempt) {
  if (!Remember(attempt) || probes_.contains(attempt.target.start)) return;
  auto probe = std::make_shared<Probe>();
  probe->target = attempt.target;
  probe->lost_at = context_.clock.Now();
  probes_[attempt.target.start] = probe;
  StartProbe(probe);
}

void CrashWatch::OnEnded(const TargetStart& target) {
  const auto it = remembered_.find(target);
  if (it == remembered_.end()) return;
  const std::deque<Remembered> all = std::move(it->second);
  remembered_.erase(it);
  for (const Remembered& lost : all) Report(lost.attempt);
}

void CrashWatch::StartProbe(const ProbePtr& probe) {
  const std::weak_ptr<Probe> weak = probe;
  const auto end = [this, weak](bool ended) {
    if (const auto it = weak.lock()) EndProbe(it, ended);
  };
  TcpSocket::Handlers on;
  on.connected = [end] { end(false); };
  on.ended = [end](SocketEnd) { end(true); };
  TcpOptions options;
  options.user_timeout = kProbeTimeout;
  probe->socket = TcpSocket::Connect(context_.loop, probe->target.address,
                                     options, std::move(on));
  // A failure to open a local socket shows nothing about the target.
  if (!probe->socket) return EndProbe(probe, false);
  probe->timer = context_.loop.After(kProbeTimeout, [end] { end(true); });
}

void CrashWatch::EndProbe(const ProbePtr& probe, bool ended) {
  if (probe->socket) probe->socket->Close();
  // The callback of the socket or the timer may be running, so they are
  // destroyed later.
  context_.loop.Post(
      [probe, timer = std::shared_ptr<Timer>(std::move(probe->timer))] {});
  probe->seems_ended = ended;
  if (ended && LinksWork(*probe)) {
    probes_.erase(probe->target.start);
    return OnEnded(probe->target.start);
  }
  const bool was_last = ++probe->step == kProbeDelays.size();
  if (was_last || !on_.is_open_to_work(probe->target)) {
    probes_.erase(probe->target.start);
    return;
  }
  const Duration pause =
      kProbeDelays[probe->step] - kProbeDelays[probe->step - 1];
  // The timer doesn't own the probe; only `probes_` does.
  probe->timer =
      context_.loop.After(pause, [this, weak = std::weak_ptr<Probe>(probe)] {
        if (const auto it = weak.lock()) StartProbe(it);
      });
}

void CrashWatch::OnLinksWork() {
  std::vector<ProbePtr> ended;
  for (const auto& [target, probe] : probes_) {
    if (probe->seems_ended && LinksWork(*probe)) ended.push_back(probe);
  }
  for (const ProbePtr& it : ended) {
    probes_.erase(it->target.start);
    OnEnded(it->target.start);
  }
}

bool CrashWatch::LinksWork(const Probe& probe) const {
  return !on_.links_work_since ||
         on_.links_work_since(probe.target, probe.lost_at);
}

void CrashWatch::Report(const LostAttempt& attempt) {
  const WallTime now = context_.clock.WallNow();
  const CrashReport report{attempt.request, attempt.target.start, now,
                           attempt.running_for};
  if (!blame_.Note(report, now)) return;
  LogEvent(Event::kCrashReported,
           {{"request", attempt.id.value},
            {"fingerprint", attempt.request.value},
            {"target", attempt.target.start.value},
            {"begun_ms", MillisecondsText(attempt.running_for)},
            {"crashes", std::to_string(blame_.Crashes(attempt.request))}});
  LogBlameChanges();
  local_reports_.crashes.push_back(report);
  Publish({{report}, {}});
}

void CrashWatch::OnRan(const Fingerprint& request) {
  if (!blame_.IsSuspected(request)) return;
  const WallTime now = context_.clock.WallNow();
  blame_.NoteRan(request, now, now);
  LogBlameChanges();
  const RanReport report{request, now};
  std::erase_if(local_reports_.ran,
                [&](const auto& it) { return it.request == request; });
  local_reports_.ran.push_back(report);
  Publish({{}, {report}});
}

void CrashWatch::Publish(const CrashReports& reports) {
  TrimLocalReports();
  PeerMessage out;
  out.kind = PeerMessageKind::kCrashes;
  out.item_key = LocalKey();
  out.item_value = EncodeCrashReports(reports);
  on_.broadcast(std::move(out));
  needs_write_ = true;
  if (!write_ && !write_timer_) WriteAfter(kWriteDelay);
}

// Keeps this router's reports within their bounds: drops expired ones, then
// those of requests with the fewest crashes, the oldest first.
void CrashWatch::TrimLocalReports() {
  const WallTime now = context_.clock.WallNow();
  const auto is_old = [now](const auto& it) {
    return now - it.at > kCrashMemory;
  };
  std::erase_if(local_reports_.crashes, is_old);
  std::erase_if(local_reports_.ran, is_old);
  const auto priority = [this](const CrashReport& it) {
    return std::pair(blame_.Crashes(it.request), it.at);
  };
  while (local_reports_.crashes.size() > CrashReports::kMaxPerList) {
    local_reports_.crashes.erase(std::min_element(
        local_reports_.crashes.begin(), local_reports_.crashes.end(),
        [&](const auto& a, const auto& b) {
          return priority(a) < priority(b);
        }));
  }
  while (local_reports_.ran.size() > CrashReports::kMaxPerList) {
    local_reports_.ran.erase(local_reports_.ran.begin());
  }
}

// --- The store ---------------------------------------------------------------

std::string CrashWatch::LocalKey() const { return kPrefix + self_.value; }

void CrashWatch::WriteAfter(Duration delay) {
  write_timer_ = context_.loop.After(delay, [this] {
    write_timer_.reset();
    if (needs_write_) Write();
  });
}

void CrashWatch::Write() {
  needs_write_ = false;
  StoreWrite write;
  write.conditions.push_back({LocalKey(), local_revision_});
  write.puts.push_back({LocalKey(), EncodeCrashReports(local_reports_), 0});
  write_ = context_.store.Write(
      write, [this](const StoreWritten& it) { OnWritten(it); });
}

void CrashWatch::OnWritten(const StoreWritten& written) {
  write_.reset();
  const bool done = written.end == StoreEnd::kDone;
  if (done) local_revision_ = written.revision;
  if (written.end == StoreEnd::kRejected) {
    local_revision_ = {};
    for (const StoreItem& it : written.present) {
      if (it.key != LocalKey()) continue;
      local_revision_ = it.revision;
      if (const auto stored = DecodeCrashReports(it.value))
        MergeStoredReports(*stored);
    }
  }
  if (!done) needs_write_ = true;
  WriteAfter(kWriteInterval);
}

void CrashWatch::OnStoreEra() {
  feed_.OnStoreEra();
  local_revision_ = {};
  TrimLocalReports();
  if (local_reports_.crashes.empty() && local_reports_.ran.empty()) return;
  needs_write_ = true;
  if (!write_ && !write_timer_) WriteAfter(kWriteDelay);
}

// Adds the reports that an earlier process on this VM left in the store to this
// router's reports, so that the next write keeps them.
void CrashWatch::MergeStoredReports(const CrashReports& stored) {
  AddReports(stored);
  for (const CrashReport& it : stored.crashes)
    AddIfAbsent(local_reports_.crashes, it);
  for (const RanReport& it : stored.ran) AddIfAbsent(local_reports_.ran, it);
  TrimLocalReports();
}

}  // namespace quaytrack
