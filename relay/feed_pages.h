// What a reader of the store sends to a router that is behind, page by page.
//
//   FeedItemBook book;                        // at the reader
//   book.Start(items, revision);
//   book.Apply(change);
//   if (auto page = book.PageFor(wanted, book_revision)) send(*page);
//
//   FeedPageReader pages;                     // at the router that is behind
//   ask(pages.Next(known));
//   if (pages.Take(page) == PageStep::kComplete) use(pages.Finish());
//
// A page has the items that changed after the asker's revision, in the order of
// keys, from the key where the page before it ended. The first page also has
// the keys that were removed since then. Removals are remembered up to
// `kMostRemoved`; who is further behind is sent all items from the beginning.
//
// Nothing is kept for an asker between two pages, so it may ask another reader
// for the next one, and a reader may end at any time. Items may change while
// their pages are under way. What all pages together show is therefore said to
// be known only up to the lowest revision among them, and an item may be newer;
// what is asked next, from that revision on, shows it again. A list that the
// store shows in pages is of the same kind (kv/store.h).
//
// Pages of different eras are no answer together; the later one starts anew.

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

// The items of one prefix, and which were removed lately.
class FeedItemBook {
 public:
  // Of keys and values, in one page; an item larger than that is a page alone.
  // All routers of a hall may ask one reader at the same moment.
  static constexpr std::size_t kPageBytes = 32 * 1024;
  // Keys whose removal is remembered.
  static constexpr std::size_t kMostRemoved = 4096;

  // All items, as of `revision`; nothing is known of what was removed before.
  void Start(const std::vector<StoreItem>& items, StoreRevision revision);
  void Clear();
  void Apply(const StoreChange& change);
  // Takes all items, read anew as of `revision`. Returns what has changed from
  // those that were kept.
  std::vector<StoreChange> Replace(const std::vector<StoreItem>& items,
                                   StoreRevision revision);
  std::size_t bytes() const { return bytes_; }

  // The page that is asked for, of what is known up to `revision`. Its `since`
  // and `after` differ from those that are asked for if all items have to be
  // sent instead. Nothing if the asker knows no less.
  std::optional<FeedNews> PageFor(const FeedNews& wanted,
                                  StoreRevision revision) const;

 private:
  struct Removal {
    std::string key;
    StoreRevision revision;
  };

  bool Covers(StoreRevision since, StoreRevision revision) const;
  void AddRemovals(FeedNews& page) const;
  void AddItems(std::size_t most_bytes, FeedNews& page) const;

  std::map<std::string, StoreItem> items_;
  // Of keys and values.
  std::size_t bytes_ = 0;
  // By rising revision.
  std::deque<Removal> removed_;
  // All removals after this one are in `removed_`.
  StoreRevision removals_from_;
};

// What a page did.
enum class PageStep {
  kPassedOver,  // it doesn't go on from the one before
  kGoesOn,      // another one follows
  kComplete,    // it was the last
};

// Collects the pages of one answer.
class FeedPageReader {
 public:
  // What to ask for next, where everything up to `known` is known.
  FeedNews Next(StoreRevision known) const;
  PageStep Take(const FeedNews& page);
  // The whole answer, after kComplete: all changes, `since` and `revision`.
  FeedNews Finish();
  // Pages have come, and more are to follow.
  bool IsUnderWay() const { return under_way_.has_value(); }
  void Drop() { under_way_.reset(); }

 private:
  bool GoesOn(const FeedNews& page) const;
  void DropIfOfEarlierEra(const FeedNews& page);

  std::optional<FeedNews> under_way_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FEED_PAGES_H_
