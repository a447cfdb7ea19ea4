#include "relay/crash_watch.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <tuple>
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

// A good run of a part is told after a random time, up to this for each router
// of the fleet: then only some of many routers tell it before they hear of it.
constexpr Duration kRanDelayPerRouter = milliseconds(10);
constexpr Duration kMinRanDelay = milliseconds(50);

// A test that is due may have to wait for a request at the router that may make
// it.
constexpr Duration kMinRefusal = std::chrono::seconds(1);

template <class Report>
void AddIfAbsent(std::vector<Report>& list, const Report& it) {
  if (std::find(list.begin(), list.end(), it) != list.end()) return;
  list.push_back(it);
}

void LogBlamed(const Blame& it) {
  const bool is_part = it.kind == CauseKind::kPart;
  const std::string crashes = std::to_string(it.targets.size());
  if (!is_part) {
    return LogEvent(Event::kRequestBlamed,
                    {{"fingerprint", it.causes.front().value},
                     {"crashes", crashes},
                     {"targets", JoinedNames(it.targets)}});
  }
  LogEvent(Event::kPartBlamed, {{"parts", JoinedNames(it.causes)},
                                {"since", TimeText(it.first)},
                                {"latest", TimeText(it.latest)},
                                {"crashes", crashes},
                                {"targets", JoinedNames(it.targets)}});
}

void LogCleared(const std::vector<CauseId>& causes) {
  if (KindOf(causes.front()) == CauseKind::kRequest) {
    return LogEvent(Event::kRequestCleared,
                    {{"fingerprint", causes.front().value}});
  }
  LogEvent(Event::kPartCleared, {{"parts", JoinedNames(causes)}});
}

}  // namespace

CrashWatch::CrashWatch(const FeedContext& context, VmName self,
                       Handlers handlers)
    : context_(context),
      self_(std::move(self)),
      on_(std::move(handlers)),
      feed_(context, {FeedName::kCrashes, {kPrefix}, kReaderTimeout},
            FeedHandlers(), on_.feed) {}

Duration CrashWatch::Remaining(const Blame& blame) const {
  return std::clamp<Duration>(blame_.Remaining(blame, context_.clock.WallNow()),
                              kMinRefusal, kCrashMemory);
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
  AnswerCrashes(
      blame_.NoteAll(reports.crashes, reports.ran, context_.clock.WallNow()));
  LogBlameChanges();
}

void CrashWatch::LogBlameChanges() {
  std::set<std::vector<CauseId>> blamed;
  for (const Blame& it : blame_.blamed()) {
    blamed.insert(it.causes);
    if (!logged_.contains(it.causes)) LogBlamed(it);
  }
  for (const std::vector<CauseId>& it : logged_) {
    if (!blamed.contains(it)) LogCleared(it);
  }
  logged_ = std::move(blamed);
}

void CrashWatch::Check() {
  ForgetRemembered();
  const Instant old = context_.clock.Now() - kTestTime;
  std::erase_if(tested_at_, [&](const auto& it) { return it.second < old; });
  blame_.Expire(context_.clock.WallNow());
  LogBlameChanges();
}

// --- Reports of this router --------------------------------------------------

bool CrashWatch::Remember(const LostAttempt& attempt) {
  if (!on_.is_open_to_work(attempt.target)) return false;
  auto& all = remembered_[attempt.target.start];
  all.push_back({attempt, context_.clock.Now()});
  all.back().attempt.causes.parts = PartsToReport(attempt.causes);
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
  Report(all);
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

WallTime CrashWatch::WallTimeOf(Instant time) const {
  const Duration ago = context_.clock.Now() - time;
  return context_.clock.WallNow() -
         std::chrono::duration_cast<WallTime::duration>(ago);
}

// The parts that are suspected already, then others from a place that differs
// between requests.
std::vector<CauseId> CrashWatch::PartsToReport(
    const RequestCauses& causes) const {
  const std::vector<CauseId>& parts = causes.parts;
  if (parts.size() <= kMaxPartsPerRequest) return parts;
  std::vector<CauseId> out;
  std::vector<CauseId> others;
  for (const CauseId& it : parts)
    (blame_.IsSuspected(it) ? out : others).push_back(it);
  const std::size_t from = std::hash<std::string>()(causes.request.value);
  for (std::size_t n = 0; n < others.size(); ++n)
    out.push_back(others[(from + n) % others.size()]);
  out.resize(kMaxPartsPerRequest);
  // The result is kept, and callers determine the number of parts.
  out.shrink_to_fit();
  return out;
}

std::vector<CrashReport> CrashWatch::MakeReports(const Remembered& lost) const {
  const LostAttempt& attempt = lost.attempt;
  CrashReport report;
  report.target = attempt.target.start;
  report.at = WallTimeOf(lost.lost_at);
  report.run_time = attempt.running_for;
  report.request = attempt.causes.request;
  report.cause = CauseOf(attempt.causes.request);
  std::vector<CrashReport> out = {report};
  for (const CauseId& it : attempt.causes.parts) {
    report.cause = it;
    out.push_back(report);
  }
  return out;
}

// Reports all attempts that a target had lost when it ended.
void CrashWatch::Report(const std::deque<Remembered>& lost) {
  std::vector<CrashReport> all;
  for (const Remembered& it : lost) {
    const std::vector<CrashReport> reports = MakeReports(it);
    all.insert(all.end(), reports.begin(), reports.end());
  }
  const WallTime now = context_.clock.WallNow();
  const std::vector<CrashReport> added = blame_.NoteAll(all, {}, now);
  if (added.empty()) return;
  LogReports(lost, added);
  LogBlameChanges();
  local_reports_.crashes.insert(local_reports_.crashes.end(), added.begin(),
                                added.end());
  AnswerCrashes(added);
  Publish({added, {}});
}

void CrashWatch::LogReports(const std::deque<Remembered>& lost,
                            const std::vector<CrashReport>& reports) const {
  for (const CrashReport& it : reports) {
    if (KindOf(it.cause) == CauseKind::kPart) continue;
    const auto at =
        std::find_if(lost.begin(), lost.end(), [&](const Remembered& l) {
          return l.attempt.causes.request == it.request;
        });
    LogEvent(Event::kCrashReported,
             {{"request", at->attempt.id.value},
              {"fingerprint", it.request.value},
              {"target", it.target.value},
              {"begun_ms", MillisecondsText(it.run_time)},
              {"crashes", std::to_string(blame_.Crashes(it.cause))},
              {"parts", JoinedNames(at->attempt.causes.parts)}});
  }
}

void CrashWatch::AddLocalRan(const RanReport& report) {
  std::erase_if(local_reports_.ran,
                [&](const auto& it) { return it.cause == report.cause; });
  local_reports_.ran.push_back(report);
}

void CrashWatch::OnRan(const Fingerprint& request, Instant began) {
  const RanReport report{CauseOf(request), WallTimeOf(began)};
  if (!blame_.WouldHelp(report)) return;
  blame_.NoteRan(report, context_.clock.WallNow());
  LogBlameChanges();
  AddLocalRan(report);
  Publish({{}, {report}});
}

void CrashWatch::OnPartsRan(const std::vector<CauseId>& parts, Instant began) {
  // The popular parts come first, and many parts must not displace others.
  const std::size_t n = std::min(parts.size(), kMaxPartsPerRequest);
  const std::vector<CauseId> noted(
      parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n));
  runs_.Note(noted, WallTimeOf(began));
  for (const CauseId& it : noted) TellRunLater(it);
}

// --- Good runs of parts ------------------------------------------------------

void CrashWatch::AnswerCrashes(const std::vector<CrashReport>& crashes) {
  for (const CrashReport& it : crashes) {
    if (KindOf(it.cause) == CauseKind::kPart) TellRunLater(it.cause);
  }
}

void CrashWatch::TellRunLater(const CauseId& part) {
  const auto began = runs_.LatestOf(part);
  if (!began || !blame_.WouldHelp({part, *began})) return;
  untold_.insert(part);
  if (ran_timer_) return;
  ran_timer_ = context_.loop.After(RanDelay(), [this] {
    ran_timer_.reset();
    TellRuns();
  });
}

Duration CrashWatch::RanDelay() {
  const auto longest = kMinRanDelay + kRanDelayPerRouter * on_.fleet_size();
  std::uniform_int_distribution<Duration::rep> draw(0, longest.count());
  return Duration(draw(random_));
}

// Tells the good runs that no other router has told meanwhile.
void CrashWatch::TellRuns() {
  CrashReports told;
  for (const CauseId& part : std::exchange(untold_, {})) {
    const auto began = runs_.LatestOf(part);
    if (!began || !blame_.WouldHelp({part, *began})) continue;
    told.ran.push_back({part, *began});
  }
  if (told.ran.empty()) return;
  blame_.NoteAll({}, told.ran, context_.clock.WallNow());
  LogBlameChanges();
  for (const RanReport& it : told.ran) AddLocalRan(it);
  Publish(told);
}

// --- Tests of blamed parts ---------------------------------------------------

// Whether the latest report that counts against the parts is this router's.
bool CrashWatch::IsLatestReporter(const Blame& blame) const {
  const std::vector<CrashReport> latest = blame_.LatestOf(blame);
  const auto& own = local_reports_.crashes;
  return std::any_of(latest.begin(), latest.end(), [&](const CrashReport& it) {
    return std::find(own.begin(), own.end(), it) != own.end();
  });
}

bool CrashWatch::TakeTest(const RequestId& id, const RequestCauses& request) {
  const Blame* blame = blame_.Find(request);
  if (blame == nullptr || blame->kind != CauseKind::kPart) return false;
  if (context_.clock.WallNow() < CrashBlame::NextTest(*blame)) return false;
  if (tested_at_.contains(blame->causes) || !IsLatestReporter(*blame))
    return false;
  tested_at_[blame->causes] = context_.clock.Now();
  LogEvent(Event::kPartTested,
           {{"request", id.value}, {"parts", JoinedNames(blame->causes)}});
  return true;
}

// --- Messages and the store's key --------------------------------------------

void CrashWatch::Publish(const CrashReports& reports) {
  TrimLocalReports();
  CrashReports next;
  for (const CrashReport& it : reports.crashes) {
    next.crashes.push_back(it);
    if (next.crashes.size() == CrashReports::kMaxPerList)
      Send(std::exchange(next, {}));
  }
  for (const RanReport& it : reports.ran) {
    next.ran.push_back(it);
    if (next.ran.size() == CrashReports::kMaxPerList)
      Send(std::exchange(next, {}));
  }
  if (!next.crashes.empty() || !next.ran.empty()) Send(next);
  needs_write_ = true;
  if (!write_ && !write_timer_) WriteAfter(kWriteDelay);
}

void CrashWatch::Send(const CrashReports& reports) {
  PeerMessage out;
  out.kind = PeerMessageKind::kCrashes;
  out.item_key = LocalKey();
  out.item_value = EncodeCrashReports(reports);
  on_.broadcast(std::move(out));
}

// Keeps this router's reports within their bounds: drops those that are expired
// or cleared, then those of causes with the fewest crashes, the oldest first.
void CrashWatch::TrimLocalReports() {
  const WallTime now = context_.clock.WallNow();
  const auto is_old = [now](const auto& it) {
    return now - it.at > kCrashMemory;
  };
  std::erase_if(local_reports_.crashes, [&](const CrashReport& it) {
    return is_old(it) || !blame_.Counts(it);
  });
  std::erase_if(local_reports_.ran, is_old);
  KeepMostImportant(local_reports_.crashes);
  while (local_reports_.ran.size() > CrashReports::kMaxPerList) {
    local_reports_.ran.erase(local_reports_.ran.begin());
  }
}

void CrashWatch::KeepMostImportant(std::vector<CrashReport>& crashes) const {
  if (crashes.size() <= CrashReports::kMaxPerList) return;
  using Rank = std::tuple<std::size_t, WallTime, std::size_t>;
  std::vector<Rank> ranks;
  for (std::size_t n = 0; n < crashes.size(); ++n)
    ranks.emplace_back(blame_.Crashes(crashes[n].cause), crashes[n].at, n);
  std::sort(ranks.begin(), ranks.end(), std::greater<>());
  ranks.resize(CrashReports::kMaxPerList);
  std::vector<CrashReport> kept;
  for (const Rank& it : ranks) kept.push_back(crashes[std::get<2>(it)]);
  crashes = std::move(kept);
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
