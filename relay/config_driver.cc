#include "relay/config_driver.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;

// How long the own watch may take to show what a peer has.
constexpr Duration kOwnWatchFirst = std::chrono::milliseconds(300);
// After an outage of the store, targets that live are listed again within about
// two seconds. A little less, as one that has left must get no new work two
// seconds after that was seen.
constexpr Duration kRelistTime = std::chrono::milliseconds(1700);

// Targets change in series, when a fleet starts or is replaced, and leave
// seconds after they have said so.
constexpr Duration kTargetSpacing = std::chrono::milliseconds(400);

StoreFollower::Options TargetOptions(const SharedStateReader& reader) {
  StoreFollower::Options out;
  out.prefix = reader.TargetsPrefix();
  out.spacing = kTargetSpacing;
  return out;
}

// The value, or `fallback` and a line in the log.
template <class Value, class Call>
Value ValueOr(const StoreItem& item, Value fallback, Call call) {
  return leaf::try_handle_all([&]() -> leaf::result<Value> { return call(); },
                              [&](const ItemError& error) {
                                LogEvent(Event::kItemRefused,
                                         {{"key", item.key},
                                          {"field", error.field},
                                          {"problem", error.problem}});
                                return fallback;
                              },
                              [&] { return fallback; });
}

}  // namespace

ConfigDriver::ConfigDriver(Loop& loop, KvStore& store,
                           const SharedStateReader& reader, Handlers handlers)
    : loop_(loop),
      reader_(reader),
      on_(std::move(handlers)),
      config_follower_(loop, store, {reader.ConfigPrefix()}, ConfigHandlers()),
      target_follower_(loop, store, TargetOptions(reader), TargetHandlers()) {}

void ConfigDriver::Start() {
  config_follower_.Start();
  target_follower_.Start();
}

StoreFollower::Handlers ConfigDriver::ConfigHandlers() {
  StoreFollower::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& items) {
    for (const StoreItem& it : items) TakeConfig(it, "store");
  };
  on.changed = [this](const StoreChange& it) {
    if (!it.removed) TakeConfig(it.item, "store");
  };
  on.settled = [] {};
  on.reachable = [this](bool reachable) { OnReachable("config", reachable); };
  return on;
}

StoreFollower::Handlers ConfigDriver::TargetHandlers() {
  StoreFollower::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& items) {
    ReplaceTargets(items);
  };
  on.changed = [this](const StoreChange& it) {
    if (!it.removed) return TakeTarget(it.item);
    const TargetName name = reader_.TargetOf(it.item.key);
    if (targets_.Remove(name)) {
      LogEvent(Event::kTargetGone, {{"target", name.value}});
    }
  };
  on.settled = [this] {
    on_.targets_changed();
    WatchMissing();
  };
  on.reachable = [this](bool reachable) { OnReachable("targets", reachable); };
  return on;
}

void ConfigDriver::OnReachable(const char* what, bool reachable) {
  LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", what}});
  OnStoreReachable(reachable);
}

void ConfigDriver::OnStoreReachable(bool reachable) {
  targets_.KeepMissing();
  if (!reachable) {
    release_timer_.reset();
    return;
  }
  // What waited through the outage may never be answered.
  config_follower_.AskAgain();
  target_follower_.AskAgain();
  // From the first sign of its return; others notice it later.
  if (release_timer_) return;
  release_timer_ = loop_.After(kRelistTime, [this] {
    release_timer_.reset();
    targets_.StopKeeping();
  });
}

// A target that has vanished may have left, which binds this router from when
// it was seen; so none is kept longer than this, whatever the store does.
void ConfigDriver::WatchMissing() {
  if (missing_timer_ || !targets_.HasMissing()) return;
  missing_timer_ = loop_.After(kRelistTime, [this] { DropMissing(); });
}

void ConfigDriver::DropMissing() {
  missing_timer_.reset();
  const std::set<TargetName> gone = targets_.DropMissing();
  for (const TargetName& it : gone) {
    LogEvent(Event::kTargetGone, {{"target", it.value}});
  }
  if (!gone.empty()) on_.targets_changed();
}

void ConfigDriver::TakeConfig(const StoreItem& item, const char* from) {
  const auto next =
      ValueOr(item, ServiceMapPtr(), [&] { return reader_.Config(item); });
  if (!next || next->version() <= version()) return;
  map_ = next;
  item_ = item;
  LogEvent(Event::kConfigTaken,
           {{"version", std::to_string(version())}, {"from", from}});
  on_.config_taken();
}

void ConfigDriver::NoteTarget(const TargetEntry& entry) {
  LogEvent(entry.leaving ? Event::kTargetLeaving : Event::kTargetSeen,
           {{"target", entry.name.value},
            {"service", entry.service.value},
            {"address", entry.address}});
}

void ConfigDriver::TakeTarget(const StoreItem& item) {
  const auto entry =
      ValueOr(item, TargetEntry(), [&] { return reader_.Target(item); });
  if (entry.name.empty()) return;
  if (targets_.Put(entry)) NoteTarget(entry);
}

void ConfigDriver::ReplaceTargets(const std::vector<StoreItem>& items) {
  std::vector<TargetEntry> entries;
  for (const StoreItem& it : items) {
    auto entry = ValueOr(it, TargetEntry(), [&] { return reader_.Target(it); });
    if (!entry.name.empty()) entries.push_back(std::move(entry));
  }
  targets_.Replace(entries);
  LogEvent(Event::kTargetsRead, {{"targets", std::to_string(entries.size())}});
}

void ConfigDriver::OnPeer(const PeerMessage& message) {
  if (message.kind == PeerMessageKind::kConfig) {
    return TakeConfig({message.item_key, message.item_value, 0}, "peer");
  }
  if (message.kind == PeerMessageKind::kConfigWanted) {
    if (!map_) return;
    PeerMessage out;
    out.kind = PeerMessageKind::kConfig;
    out.item_key = item_.key;
    out.item_value = item_.value;
    return on_.tell(message.from, out);
  }
  if (message.config_version > version()) AskLater(message.from);
  CheckTargetsLater(message.targets_revision);
}

void ConfigDriver::CheckTargetsLater(std::int64_t revision) {
  if (check_timer_ || target_follower_.HasRead(revision)) return;
  check_timer_ = loop_.After(kOwnWatchFirst, [this, revision] {
    check_timer_.reset();
    if (!target_follower_.HasRead(revision)) target_follower_.AskAgain();
  });
}

void ConfigDriver::AskLater(const Incarnation& peer) {
  if (ask_timer_) return;
  const std::uint64_t behind = version();
  ask_timer_ = loop_.After(kOwnWatchFirst, [this, peer, behind] {
    ask_timer_.reset();
    if (version() != behind) return;
    PeerMessage out;
    out.kind = PeerMessageKind::kConfigWanted;
    on_.tell(peer, out);
  });
}

}  // namespace quaytrack
