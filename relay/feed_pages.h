// The pages in which a reader of the store sends changes to a router that is
// behind.
//
//   FeedItemTable table;                     // at the reader
//   table.Start(items, revision);
//   table.Apply(change);
//   if (auto page = table.PageFor(wanted, table_revision)) send(*page);
//
//   FeedPageAssembler answer;                // at the router that is behind
//   request(answer.Next(known));
//   if (answer.AddPage(page) == PageStep::kComplete) use(answer.Finish());
//
// A page holds the items that changed after the requester's revision, in the
// order of keys, starting after the last key of the previous page. The first
// page also holds the keys that were removed since then. A reader remembers
// `kMaxRemovals` removals; a router that is further behind is sent all items.
//
// A reader keeps no state for a requester between two pages, so the requester
// may turn to another reader for the next page, and a reader may end at any
// time. Items may change while the pages are being sent. The complete answer
// therefore counts as known only up to the lowest revision of its pages, and an
// item in it may be newer; the next request, from that revision on, shows such
// an item again. A list that the store returns in pages has the same property
// (kv/store.h).
//
// Pages of different eras don't form one answer; a first page of the later era
// starts a new one.

#ifndef QUAYTRACK_RELAY_FEED_PAGES_H_
#define QUAYTRACK_RELAY_FEED_PAGES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kv/store.h"
#include "relay/feed_news.h"

namespace quaytrack {

// The items of one prefix, and its latest removals.
class FeedItemTable {
 public:
  // Size of one page in bytes of keys and values; a larger item is sent in a
  // page of its own. The bound is needed because all routers of a hall may send
  // requests to one reader at the same moment.
  static constexpr std::size_t kPageBytes = 32 * 1024;
  // Number of removals that are remembered.
  static constexpr std::size_t kMaxRemovals = 4096;

  // Sets all items, as of `revision`; earlier removals are unknown.
  void Start(const std::vector<StoreItem>& items, StoreRevision revision);
  void Clear();
  void Apply(const StoreChange& change);
  // Replaces all items by those read as of `revision`. Returns the changes from
  // the previous items.
  std::vector<StoreChange> Replace(const std::vector<StoreItem>& items,
                                   StoreRevision revision);
  std::size_t bytes() const { return bytes_; }

  // The page that answers `wanted`, as of `revision`. Its `since` and `after`
  // differ from those of `wanted` if all items have to be sent instead.
  // Returns std::nullopt if the requester already knows `revision` or a later
  // one.
  std::optional<FeedUpdate> PageFor(const FeedUpdate& wanted,
                                    StoreRevision revision) const;

 private:
  struct Removal {
    std::string key;
    StoreRevision revision;
  };

  bool Covers(StoreRevision since, StoreRevision revision) const;
  void AddRemovals(FeedUpdate& page) const;
  void AddItems(std::size_t max_bytes, FeedUpdate& page) const;

  std::map<std::string, StoreItem> items_;
  // Bytes of keys and values.
  std::size_t bytes_ = 0;
  // The latest removals, in order of revision.
  std::deque<Removal> removed_;
  // `removed_` holds every removal after this revision.
  StoreRevision removals_since_;
};

// The effect of a received page.
enum class PageStep {
  kIgnored,    // it doesn't follow the previous page
  kMorePages,  // another one follows
  kComplete,   // it was the last one
};

// Collects the pages of one answer.
class FeedPageAssembler {
 public:
  // The request for the next page, by a router that knows every change up to
  // `known`.
  FeedUpdate Next(StoreRevision known) const;
  PageStep AddPage(const FeedUpdate& page);
  // The complete answer, after kComplete: all changes, `since` and `revision`.
  FeedUpdate Finish();
  // Whether some pages have been received, and more are to follow.
  bool IsInProgress() const { return partial_.has_value(); }
  void Drop() { partial_.reset(); }

 private:
  bool Follows(const FeedUpdate& page) const;
  void DropIfOfEarlierEra(const FeedUpdate& page);

  std::optional<FeedUpdate> partial_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FEED_PAGES_H_
