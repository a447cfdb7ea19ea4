#include "relay/config_follower.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "relay/own_wait.h"
#include "relay/read_item.h"

namespace quaytrack {

ConfigFollower::ConfigFollower(const FeedContext& context,
                               const SharedStateReader& reader,
                               Handlers handlers)
    : loop_(context.loop),
      clock_(context.clock),
      reader_(reader),
      on_(std::move(handlers)),
      waits_(
          loop_, [this](Instant at) { return IsCurrentAt(at); },
          [this] { feed_.AskNow(); }),
      feed_(context, {FeedName::kConfig, {reader.ConfigPrefix()}},
            StoreHandlers(), LinksOfFeed()) {}

StateFeed::Handlers ConfigFollower::StoreHandlers() {
  StateFeed::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& items) {
    ReplaceHalls(items);
    ReplaceOrders(items);
    bool has_config = false;
    for (const StoreItem& it : items)
      has_config = AdoptIfHigher(it, Source::kStore) || has_config;
    if (map_ && !has_config) LogConfigGone();
  };
  on.changed = [this](const StoreChange& it) {
    ApplyHall(it);
    ApplyOrder(it);
    if (!it.removed) {
      AdoptIfHigher(it.item, Source::kStore);
    } else if (map_ && it.item.key == item_.key) {
      LogConfigGone();
    }
  };
  on.settled = [this] { halls_.SetAppliedUpTo(feed_.known()); };
  on.reachable = [this](bool reachable) {
    LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", "config"}});
    is_store_lost_ = !reachable;
    on_.store_reachable(reachable);
  };
  // The state that the answer shows is passed on first.
  on.answered = [this](Instant) { waits_.ServeLater(); };
  return on;
}

// --- Closed halls ------------------------------------------------------------

void ConfigFollower::ReplaceHalls(const std::vector<StoreItem>& items) {
  HallStates closed;
  for (const StoreItem& it : items) {
    if (const auto hall = reader_.ClosedHall(it.key)) {
      closed[*hall] = {it.revision, true};
    }
  }
  ReportHalls(halls_.Replace(closed, feed_.known()), Source::kStore);
  AdoptStoredHallsLater();
}

void ConfigFollower::AdoptStoredHallsLater() {
  if (!halls_.HasCarried()) return;
  stored_halls_timer_ = loop_.After(kRewriteTime, [this] {
    stored_halls_timer_.reset();
    ReportHalls(halls_.AdoptStoreStates(), Source::kStore);
  });
}

void ConfigFollower::ApplyHall(const StoreChange& change) {
  const auto hall = reader_.ClosedHall(change.item.key);
  if (!hall) return;
  const bool changed =
      halls_.ApplyChange(*hall, {change.item.revision, !change.removed});
  if (changed) ReportHalls({*hall}, Source::kStore);
}

void ConfigFollower::ReportHalls(const std::vector<HallName>& changed,
                                 Source source) {
  if (changed.empty()) return;
  for (const HallName& it : changed) {
    LogEvent(halls_.IsClosed(it) ? Event::kHallClosed : Event::kHallOpened,
             {{"hall", it.value},
              {"revision", ToText(halls_.states().at(it).revision)},
              {"from", source == Source::kStore ? "store" : "peer"},
              {"age_ms", MillisecondsText(feed_.Age())}});
  }
  on_.halls_changed();
}

// --- Services that move to another version -----------------------------------

void ConfigFollower::ReplaceOrders(const std::vector<StoreItem>& items) {
  std::vector<RolloutOrder> orders;
  for (const StoreItem& it : items) {
    if (!reader_.RolledOutService(it.key)) continue;
    auto order = ReadOrLog(it, [&] { return reader_.Rollout(it); });
    if (order) orders.push_back(std::move(*order));
  }
  NotifyOrders(orders_.Replace(orders, feed_.known()));
  DropCarriedOrdersLater();
}

void ConfigFollower::DropCarriedOrdersLater() {
  if (!orders_.HasCarried()) return;
  carried_orders_timer_ = loop_.After(kRewriteTime, [this] {
    carried_orders_timer_.reset();
    NotifyOrders(orders_.DropCarried());
  });
}

// Applies a change of an item to the orders. An item that can't be read doesn't
// withdraw the service's previous order.
void ConfigFollower::ApplyOrder(const StoreChange& change) {
  const auto service = reader_.RolledOutService(change.item.key);
  if (!service) return;
  if (change.removed) {
    if (orders_.Remove(*service)) NotifyOrders({*service});
    return;
  }
  const auto order =
      ReadOrLog(change.item, [&] { return reader_.Rollout(change.item); });
  if (order && orders_.Put(*order)) NotifyOrders({*service});
}

void ConfigFollower::NotifyOrders(const std::vector<ServiceName>& changed) {
  for (const ServiceName& it : changed) {
    on_.rollout_ordered(it, orders_.Find(it));
  }
}

// --- The configuration -------------------------------------------------------

// The configuration in force stays, as the store may have lost it.
void ConfigFollower::LogConfigGone() const {
  LogEvent(Event::kConfigGone, {{"version", std::to_string(version())}});
}

// Returns whether the item is a configuration, even if it can't be read.
bool ConfigFollower::AdoptIfHigher(const StoreItem& item, Source source) {
  const auto read = ReadOrLog(item, [&] { return reader_.Config(item); });
  if (!read && source == Source::kStore) SetUnreadable(true);
  // `next` is null if the item isn't the configuration or can't be read.
  const ServiceMapPtr next = read.value_or(ServiceMapPtr());
  if (!next) return !read;
  if (source == Source::kStore) SetUnreadable(false);
  if (next->version() <= version()) return true;
  map_ = KeepAccessClosed(next);
  item_ = item;
  packed_values_ = {};
  later_since_.reset();
  requested_from_.clear();
  LogEvent(Event::kConfigTaken,
           {{"version", std::to_string(version())},
            {"from", source == Source::kStore ? "store" : "peer"}});
  on_.adopted();
  return true;
}

ServiceMapPtr ConfigFollower::KeepAccessClosed(
    const ServiceMapPtr& next) const {
  const bool opens = map_ && map_->needs_keys() && !next->needs_keys();
  if (!opens) return next;
  LogEvent(Event::kKeysStillNeeded,
           {{"version", std::to_string(next->version())},
            {"before", std::to_string(version())}});
  return next->WithoutAccess();
}

void ConfigFollower::SetUnreadable(bool is_unreadable) {
  is_unreadable_ = is_unreadable;
  read_again_timer_.reset();
  if (!is_unreadable) return;
  read_again_timer_ = loop_.After(kReadAgain, [this] {
    read_again_timer_.reset();
    feed_.ReadAgain();
  });
}

void ConfigFollower::OnPeer(const PeerMessage& message) {
  feed_.OnPeer(message);
  ReportHalls(halls_.Merge(message.halls), Source::kPeer);
  switch (message.kind) {
    case PeerMessageKind::kConfig:
      AdoptIfHigher({message.item_key, message.item_value, 0}, Source::kPeer);
      return;
    case PeerMessageKind::kConfigRequest:
      SendTo(message);
      return;
    default:
      if (message.kind == PeerMessageKind::kMark) OnMark(message);
      if (message.config_version <= version()) return;
      NoteLaterVersion();
      RequestFromPeerLater(message.from);
  }
}

void ConfigFollower::SendTo(const PeerMessage& request) {
  if (!map_) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kConfig;
  out.item_key = item_.key;
  out.packed = request.packed;
  out.item_value = out.packed ? packed_values_.Pack(item_) : item_.value;
  out.halls = halls_.states();
  on_.send(request.from, out);
}

void ConfigFollower::RequestFromPeerLater(const Incarnation& peer) {
  if (request_timer_) return;
  const std::uint64_t old_version = version();
  request_timer_ = loop_.After(kLocalWaitTime, [this, peer, old_version] {
    request_timer_.reset();
    if (version() != old_version || IsReceiving()) return;
    requested_from_.insert(peer);
    PeerMessage out;
    out.kind = PeerMessageKind::kConfigRequest;
    out.packed = true;
    on_.send(peer, out);
  });
}

// Whether a later configuration seems to be on its way here.
bool ConfigFollower::IsReceiving() const {
  return feed_.IsReceiving() ||
         std::any_of(requested_from_.begin(), requested_from_.end(),
                     [this](const Incarnation& it) {
                       return on_.feed.partial_bytes(it) != 0;
                     });
}

// --- Currency ----------------------------------------------------------------

// Adds to this router's marks what makes them true of its configuration, too.
FeedLinks ConfigFollower::LinksOfFeed() const {
  FeedLinks out = on_.feed;
  out.send = [this](const Incarnation& peer, PeerMessage message) {
    const bool is_mark = message.kind == PeerMessageKind::kMark;
    if (is_mark && !is_unreadable_) message.config_version = version();
    on_.feed.send(peer, std::move(message));
  };
  return out;
}

// A router that the store doesn't answer knows an earlier revision than its
// peer, but may have the same configuration.
void ConfigFollower::OnMark(const PeerMessage& message) {
  const bool is_mine = message.update.feed == FeedName::kConfig &&
                       message.config_version == version() && map_;
  const auto asked_at = AskedAt(message, clock_.Now());
  if (!is_mine || !asked_at) return;
  current_by_peer_ = std::max(current_by_peer_, *asked_at - message.update.age);
  waits_.Serve();
}

bool ConfigFollower::IsCurrentAt(Instant at) const {
  if (!map_ || is_unreadable_) return false;
  return std::max(feed_.current_at(), current_by_peer_) >= at;
}

bool ConfigFollower::MayHaveMissedChanges() {
  Check();
  if (resumed_at() == Instant() || IsCurrentAt(resumed_at())) return false;
  return !is_store_lost_ || HasLaterPeer();
}

void ConfigFollower::NoteLaterVersion() {
  later_heard_ = clock_.Now();
  if (!later_since_) later_since_ = later_heard_;
}

bool ConfigFollower::HasLaterPeer() const {
  return later_since_ && clock_.Now() - later_heard_ < kVersionHeard;
}

bool ConfigFollower::IsOutdated() const {
  return HasLaterPeer() && clock_.Now() - *later_since_ > kMaxBehind;
}

}  // namespace quaytrack
