#include "relay/config_follower.h"

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
      reader_(reader),
      on_(std::move(handlers)),
      feed_(context, {FeedName::kConfig, {reader.ConfigPrefix()}},
            StoreHandlers(), on_.feed) {}

StateFeed::Handlers ConfigFollower::StoreHandlers() {
  StateFeed::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& items) {
    ReplaceHalls(items);
    ReplaceOrders(items);
    for (const StoreItem& it : items) AdoptIfHigher(it, Source::kStore);
  };
  on.changed = [this](const StoreChange& it) {
    ApplyHall(it);
    ApplyOrder(it);
    if (!it.removed) AdoptIfHigher(it.item, Source::kStore);
  };
  on.settled = [this] { halls_.SetAppliedUpTo(feed_.known()); };
  on.reachable = [this](bool reachable) {
    LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", "config"}});
    on_.store_reachable(reachable);
  };
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

void ConfigFollower::AdoptIfHigher(const StoreItem& item, Source source) {
  // `next` is null if the item isn't the configuration or can't be read.
  const ServiceMapPtr next = ReadOrLog(item, [&] {
                               return reader_.Config(item);
                             }).value_or(ServiceMapPtr());
  if (!next || next->version() <= version()) return;
  map_ = next;
  item_ = item;
  LogEvent(Event::kConfigTaken,
           {{"version", std::to_string(version())},
            {"from", source == Source::kStore ? "store" : "peer"}});
  on_.adopted();
}

void ConfigFollower::OnPeer(const PeerMessage& message) {
  feed_.OnPeer(message);
  ReportHalls(halls_.Merge(message.halls), Source::kPeer);
  switch (message.kind) {
    case PeerMessageKind::kConfig:
      AdoptIfHigher({message.item_key, message.item_value, 0}, Source::kPeer);
      return;
    case PeerMessageKind::kConfigRequest:
      SendTo(message.from);
      return;
    default:
      if (message.config_version > version())
        RequestFromPeerLater(message.from);
  }
}

void ConfigFollower::SendTo(const Incarnation& peer) {
  if (!map_) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kConfig;
  out.item_key = item_.key;
  out.item_value = item_.value;
  out.halls = halls_.states();
  on_.send(peer, out);
}

void ConfigFollower::RequestFromPeerLater(const Incarnation& peer) {
  if (request_timer_) return;
  const std::uint64_t old_version = version();
  request_timer_ = loop_.After(kLocalWaitTime, [this, peer, old_version] {
    request_timer_.reset();
    if (version() != old_version) return;
    PeerMessage out;
    out.kind = PeerMessageKind::kConfigRequest;
    on_.send(peer, out);
  });
}

}  // namespace quaytrack
