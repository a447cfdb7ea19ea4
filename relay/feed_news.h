// What readers of the store tell other routers of it (relay/state_feed.h).
//
//   FeedMark mark{latest, age};        // in each sign of life of a reader
//   FeedNews news;                     // changes, or all items
//
// Revisions are the store's. What a router knows is described by one of them:
// it has every change of the prefix up to there. News say from which revision
// they lead to which, so that a receiver sees whether it has missed something.
//
// News lead on within one era of the store. Nothing leads from an era to a
// later one, so of that a receiver is only told, and asks for all items.
//
// Whoever is behind asks for what has changed after the revision that it knows,
// or for all items, and is sent it in pages, in the order of keys. It asks for
// each page once it has the one before, so that what a reader has under way is
// bounded for each that asks, and any reader can send the next page.
//
// Ages are spans of the sender's clock, so that no two clocks are compared. The
// time that a message takes isn't in them.

#ifndef QUAYTRACK_RELAY_FEED_NEWS_H_
#define QUAYTRACK_RELAY_FEED_NEWS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "kv/store.h"

namespace quaytrack {

// The prefixes that are followed.
enum class FeedName { kConfig, kTargets, kCrashes };

template <>
struct EnumTable<FeedName> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<FeedName>>({{FeedName::kConfig, "config"},
                                          {FeedName::kTargets, "targets"},
                                          {FeedName::kCrashes, "crashes"}});
};

struct FeedMark {
  // Of the latest change that the sender knows.
  StoreRevision revision;
  // How long ago the store, or another reader, has shown the sender that there
  // was no later change.
  Duration age{};
};

struct FeedNews {
  FeedName feed = FeedName::kConfig;
  // `changes` are all that happened after `since` and up to `revision`; of all
  // items (PeerMessageKind::kState), `since` is the least. Who asks
  // (kStateWanted) names what it knows.
  StoreRevision since;
  StoreRevision revision;
  Duration age{};
  // There are changes, too large to be sent unasked; `changes` is empty.
  bool only_notice = false;
  // kStateWanted: the sender takes its answer in pages. Builds that don't are
  // sent all items at once.
  bool paged = false;
  // kStateWanted, kState: the page begins after this key.
  std::string after;
  // kState: another page follows.
  bool more = false;
  std::vector<StoreChange> changes;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FEED_NEWS_H_
