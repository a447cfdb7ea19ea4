#include "relay/target_follower.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"
#include "relay/own_wait.h"
#include "relay/read_item.h"

namespace quaytrack {
namespace {

// A target whose entry expired in an outage is listed again within about 2 s of
// the store's return, and a target that left may get work until 2 s after its
// entry went. So entries are kept until this long after the store's return, or
// after they were seen missing if that is earlier. In the 0.3 s that are left
// of the second bound, the change reaches all routers, and requests that were
// just sent arrive.
constexpr Duration kRelistTime = std::chrono::milliseconds(1700);

// Delay from an answer with changes to the next wait. Targets change in series,
// when a fleet starts or is replaced, and a router that starts a new wait after
// each change makes a call for each. The delay does no harm, as a target
// announces that it leaves seconds before it ends.
constexpr Duration kTargetSpacing = std::chrono::milliseconds(400);

// How long a starting router waits for a reader to send the list. If all
// readers are away, routers then read it from the store, spread so that one of
// them starts in each `kReadInterval` on average: the list is some megabytes
// in a large fleet, and targets and operators use the same store.
constexpr Duration kReaderTimeout = std::chrono::milliseconds(1000);
constexpr Duration kReadInterval = std::chrono::milliseconds(20);

// How long a peer's word on its list holds: two heartbeats.
constexpr Duration kPeerHeard = std::chrono::milliseconds(2500);

void LogLeaving(const TargetEntry& entry, const char* source) {
  LogEvent(Event::kTargetLeaving,
           {{"target", entry.name.value},
            {"service", entry.service.value},
            {"address", entry.address},
            {"start", entry.start.value},
            {"cold_ms", MillisecondsText(entry.cold_for)},
            {"by", source}});
}

StoreFollower::Options FollowerOptions(const SharedStateReader& reader) {
  StoreFollower::Options out;
  out.prefix = reader.TargetsPrefix();
  out.spacing = kTargetSpacing;
  return out;
}

}  // namespace

TargetFollower::TargetFollower(const FeedContext& context,
                               const SharedStateReader& reader,
                               Handlers handlers)
    : loop_(context.loop),
      clock_(context.clock),
      reader_(reader),
      on_(std::move(handlers)),
      waits_(
          loop_, [this](Instant at) { return IsCurrentAt(at); },
          [this] { feed_.AskNow(); }),
      feed_(context, {FeedName::kTargets, FollowerOptions(reader)},
            StoreHandlers(), on_.feed) {}

void TargetFollower::Start(std::size_t routers) {
  if (routers == 0) return feed_.Start();
  std::minstd_rand random{std::random_device{}()};
  const Duration spread = kReadInterval * static_cast<long>(routers);
  feed_.StartFromReaders(kReaderTimeout + Jittered(random, spread, 0, 1));
}

StateFeed::Handlers TargetFollower::StoreHandlers() {
  StateFeed::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& items) { Replace(items); };
  on.changed = [this](const StoreChange& it) {
    if (it.removed) return Remove(reader_.TargetOf(it.item.key));
    ApplyEntry(it.item);
  };
  on.settled = [this] {
    on_.changed();
    DropMissingLater();
  };
  on.answered = [this](Instant) { waits_.ServeLater(); };
  on.reachable = [this](bool reachable) {
    LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", "targets"}});
    on_.store_reachable(reachable);
  };
  return on;
}

// --- The store's list --------------------------------------------------------

void TargetFollower::Replace(const std::vector<StoreItem>& items) {
  complete_since_ = clock_.Now();
  std::vector<ReadEntry> read;
  for (const StoreItem& it : items) {
    auto entry = ReadOrLog(it, [&] { return reader_.Target(it); });
    if (entry && !entry->name.empty()) {
      read.push_back({std::move(*entry), it.revision});
    }
  }
  SetAsideUnconfirmed(read);
  std::vector<TargetEntry> entries;
  for (const ReadEntry& it : read) entries.push_back(it.entry);
  for (const TargetEntry& it : entries) ReportRestart(it);
  registry_.Replace(entries);
  LogEvent(Event::kTargetsRead, {{"targets", std::to_string(entries.size())}});
}

// Moves unconfirmed entries from `read` to `unconfirmed_`: in the first read of
// a later era, entries of targets that aren't listed here; in other reads,
// those that were unconfirmed before and not written since.
void TargetFollower::SetAsideUnconfirmed(std::vector<ReadEntry>& read) {
  const std::int64_t era = feed_.known().era;
  const bool is_first = era_ && era > *era_;
  era_ = era;
  std::map<TargetName, ReadEntry> unconfirmed;
  for (const ReadEntry& it : read) {
    const auto before = unconfirmed_.find(it.entry.name);
    const bool is_unconfirmed =
        is_first ? !registry_.entries().contains(it.entry.name)
                 : before != unconfirmed_.end() &&
                       before->second.revision == it.revision;
    if (is_unconfirmed) unconfirmed[it.entry.name] = it;
  }
  unconfirmed_ = std::move(unconfirmed);
  std::erase_if(read, [this](const ReadEntry& it) {
    return unconfirmed_.contains(it.entry.name);
  });
  if (!is_first) return;
  registry_.KeepMissing();
  StopKeepingLater();
  unconfirmed_timer_ =
      loop_.After(kMaxEntryDelay, [this] { AcceptUnconfirmed(); });
}

void TargetFollower::AcceptUnconfirmed() {
  unconfirmed_timer_.reset();
  if (unconfirmed_.empty()) return;
  for (const auto& [name, it] : std::exchange(unconfirmed_, {})) {
    registry_.Put(it.entry);
  }
  on_.changed();
}

void TargetFollower::ApplyEntry(const StoreItem& item) {
  unconfirmed_.erase(reader_.TargetOf(item.key));
  const auto entry = ReadOrLog(item, [&] { return reader_.Target(item); });
  // An item that can't be read names no target, whatever its previous value
  // was.
  if (!entry) return Remove(reader_.TargetOf(item.key));
  if (entry->name.empty()) return;
  ReportRestart(*entry);
  if (!registry_.Put(*entry)) return;
  if (entry->leaving) return LogLeaving(*entry, "entry");
  LogEvent(Event::kTargetSeen,
           {{"target", entry->name.value},
            {"service", entry->service.value},
            {"address", entry->address},
            {"start", entry->start.value},
            {"cold_ms", MillisecondsText(entry->cold_for)}});
}

void TargetFollower::ReportRestart(const TargetEntry& entry) {
  if (!on_.restarted || !registry_.IsNewStart(entry)) return;
  on_.restarted(registry_.entries().at(entry.name));
}

void TargetFollower::Remove(const TargetName& name) {
  unconfirmed_.erase(name);
  const auto it = registry_.entries().find(name);
  if (it == registry_.entries().end()) {
    complete_since_ = clock_.Now();
    return;
  }
  const TargetEntry entry = it->second;
  if (!registry_.Remove(name)) return;
  LogEvent(Event::kTargetGone, {{"target", name.value}});
  if (!entry.leaving) on_.vanished(entry);
}

void TargetFollower::OnPeer(const PeerMessage& message) {
  feed_.OnPeer(message);
  if (message.kind == PeerMessageKind::kMark) OnMark(message);
  NotePeerRevision(message.targets_revision);
  OnPeerRevision(message.targets_revision);
  for (const auto& [name, started_at] : message.leaving) {
    MarkLeaving(name, started_at, "peer");
  }
}

bool TargetFollower::OnLeavingNotice(const TargetEntry& target) {
  return MarkLeaving(target.name, target.started_at, "answer");
}

bool TargetFollower::MarkLeaving(const TargetName& name, WallTime started_at,
                                 const char* source) {
  if (!registry_.MarkLeaving(name, started_at)) return false;
  LogLeaving(registry_.entries().at(name), source);
  on_.changed();
  return true;
}

void TargetFollower::OnPeerRevision(StoreRevision revision) {
  if (behind_timer_ || feed_.HasRead(revision)) return;
  behind_timer_ = loop_.After(kLocalWaitTime, [this, revision] {
    behind_timer_.reset();
    if (!feed_.HasRead(revision)) feed_.ReadUpTo(revision);
  });
}

// --- Currency ----------------------------------------------------------------

// In a small fleet a peer that knows no later change shows this router current,
// also while the store doesn't answer here. In others the feed does this.
void TargetFollower::OnMark(const PeerMessage& message) {
  const FeedUpdate& mark = message.update;
  const auto asked_at = AskedAt(message, clock_.Now());
  if (mark.feed != FeedName::kTargets || !asked_at) return;
  if (!era_ || mark.revision.era != *era_ || !feed_.HasRead(mark.revision))
    return;
  current_by_peer_ = std::max(current_by_peer_, *asked_at - mark.age);
  waits_.Serve();
}

void TargetFollower::NotePeerRevision(StoreRevision revision) {
  if (revision == StoreRevision()) return;
  peer_revision_ = std::max(peer_revision_, revision);
  peer_heard_at_ = clock_.Now();
}

bool TargetFollower::AgreesWithPeers() const {
  return clock_.Now() - peer_heard_at_ <= kPeerHeard &&
         feed_.HasRead(peer_revision_);
}

bool TargetFollower::IsCurrentAt(Instant at) const {
  return era_ && std::max(feed_.current_at(), current_by_peer_) >= at;
}

// --- Entries kept through an outage ------------------------------------------

void TargetFollower::OnStoreReachable(bool reachable) {
  registry_.KeepMissing();
  if (!reachable) {
    keeping_timer_.reset();
    return;
  }
  // A wait that was open during the outage may never be answered.
  feed_.RestartWait();
  StopKeepingLater();
}

void TargetFollower::StopKeepingLater() {
  if (keeping_timer_) return;
  keeping_timer_ = loop_.After(kRelistTime, [this] {
    keeping_timer_.reset();
    registry_.StopKeeping();
    // What is still missing hasn't been listed again, however late its entry
    // went after the store's return.
    if (registry_.HasMissing()) DropMissing();
  });
}

void TargetFollower::DropMissingLater() {
  if (missing_timer_ || !registry_.HasMissing()) return;
  missing_timer_ = loop_.After(kRelistTime, [this] { DropMissing(); });
}

void TargetFollower::DropMissing() {
  missing_timer_.reset();
  const std::set<TargetName> gone = registry_.DropMissing();
  for (const TargetName& it : gone) {
    LogEvent(Event::kTargetGone, {{"target", it.value}});
  }
  if (!gone.empty()) on_.changed();
}

}  // namespace quaytrack
