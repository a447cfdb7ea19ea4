// The messages about the store's state that readers send to other routers
// (relay/state_feed.h).
//
//   FeedMark mark{latest, age};        // in each heartbeat of a reader
//   FeedUpdate update;                     // changes, or all items
//
// Revisions are the store's. One revision describes what a router knows: it has
// every change of the prefix up to there. An update names the revision at which
// it starts and the one at which it ends, so a receiver can tell whether it has
// missed a change.
//
// An update starts and ends in one era of the store. No update leads from one
// era to a later one: a receiver in an earlier era is only notified of the
// later one, and requests all items.
//
// A router that is behind requests what has changed after the revision that it
// knows, or all items, and receives pages in the order of keys. It requests
// each page after it has received the one before. This bounds what a reader has
// to send to each router at a time, and any reader can send the next page.
//
// Ages are durations by the sender's clock, so the clocks of two routers are
// never compared. They don't include the time that the message takes; a
// receiver that needs it counts from the time at which it asked
// (`PeerMessage::asked_ms`).

#ifndef QUAYTRACK_RELAY_FEED_NEWS_H_
#define QUAYTRACK_RELAY_FEED_NEWS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "kv/store.h"

namespace quaytrack {

// The prefixes of the store that routers follow.
enum class FeedName { kConfig, kTargets, kCrashes };

template <>
struct EnumTable<FeedName> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<FeedName>>({{FeedName::kConfig, "config"},
                                          {FeedName::kTargets, "targets"},
                                          {FeedName::kCrashes, "crashes"}});
};

struct FeedMark {
  // Revision of the latest change that the sender knows.
  StoreRevision revision;
  // Time since the store, or another reader, last showed the sender that there
  // was no later change.
  Duration age{};
};

struct FeedUpdate {
  FeedName feed = FeedName::kConfig;
  // `changes` holds every change after `since` and up to `revision`. If it
  // holds all items (PeerMessageKind::kState), `since` is the lowest revision.
  // In a request (kStateRequest), `since` is the revision that the sender
  // knows.
  StoreRevision since;
  StoreRevision revision;
  Duration age{};
  // Whether the sender has changes that are sent only on request, because they
  // are too large or are of a later era; `changes` is then empty.
  bool only_notice = false;
  // kStateRequest: whether the sender accepts pages. Older builds don't, and
  // are sent all items at once.
  bool paged = false;
  // kStateRequest, kState: the page starts after this key.
  std::string after;
  // kState: whether another page follows.
  bool more = false;
  std::vector<StoreChange> changes;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FEED_NEWS_H_
