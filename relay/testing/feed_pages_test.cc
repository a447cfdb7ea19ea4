// The pages of a reader's state, and how a router that is behind collects them.

#include "relay/feed_pages.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

namespace quaytrack {
namespace {

// A page holds a few dozen items of this size.
const std::string kValue(1000, 'x');

std::string Key(int n) { return "t/" + std::to_string(10'000 + n); }

std::vector<StoreItem> Items(int n) {
  std::vector<StoreItem> out;
  for (int i = 0; i < n; ++i) out.push_back({Key(i), kValue, i + 1});
  return out;
}

FeedNews RequestFrom(StoreRevision since) {
  FeedNews out;
  out.paged = true;
  out.since = since;
  return out;
}

std::size_t BytesOf(const FeedNews& page) {
  std::size_t out = 0;
  for (const StoreChange& it : page.changes) {
    out += it.item.key.size() + it.item.value.size();
  }
  return out;
}

struct Fixture {
  // Collects a complete answer; `pages` counts its pages.
  FeedNews Collect(StoreRevision since) {
    FeedPageReader reader;
    for (pages = 1;; ++pages) {
      const auto page = book.PageFor(reader.Next(since), revision);
      BOOST_REQUIRE(page.has_value());
      largest = std::max(largest, BytesOf(*page));
      if (reader.Take(*page) == PageStep::kComplete) return reader.Finish();
      BOOST_REQUIRE(reader.IsUnderWay());
      BOOST_REQUIRE(pages < 1000);
    }
  }

  FeedItemBook book;
  StoreRevision revision;
  int pages = 0;
  std::size_t largest = 0;
};

// Guards against an answer that outgrows the link: a list of thousands of
// targets was sent in one message to each router that requested it.
BOOST_FIXTURE_TEST_CASE(ALongListComesInPages, Fixture) {
  revision = 500;
  book.Start(Items(500), revision);
  const FeedNews all = Collect({});
  BOOST_TEST(all.changes.size() == 500U);
  BOOST_TEST((all.since == StoreRevision()));
  BOOST_TEST((all.revision == revision));
  BOOST_TEST(largest <= FeedItemBook::kPageBytes);
  BOOST_TEST(pages >= 500'000 / static_cast<int>(FeedItemBook::kPageBytes));
}

// Guards against sending the complete list to a router that missed one change.
BOOST_FIXTURE_TEST_CASE(WhoIsBehindIsSentWhatHasChangedAlone, Fixture) {
  book.Start(Items(500), 500);
  book.Apply({{Key(7), "new", 501}, false});
  book.Apply({{Key(9), "", 502}, true});
  book.Apply({{"t/added", "new", 503}, false});
  revision = 503;
  const FeedNews changes = Collect(500);
  BOOST_TEST(pages == 1);
  BOOST_TEST((changes.since == StoreRevision(500)));
  std::set<std::string> changed;
  for (const StoreChange& it : changes.changes) {
    BOOST_TEST(it.removed == (it.item.key == Key(9)));
    changed.insert(it.item.key);
  }
  BOOST_TEST((changed == std::set<std::string>{Key(7), Key(9), "t/added"}));
  BOOST_TEST(Collect(501).changes.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(WhoKnowsNoLessIsSentNothing, Fixture) {
  book.Start(Items(3), 3);
  BOOST_TEST(!book.PageFor(RequestFrom(3), 3).has_value());
  BOOST_TEST(!book.PageFor(RequestFrom(4), 3).has_value());
  BOOST_TEST(!book.PageFor(RequestFrom({2, 1}), 3).has_value());
}

// An item that was removed and written again is not sent as a removal.
BOOST_FIXTURE_TEST_CASE(AnItemThatCameBackIsThere, Fixture) {
  book.Start(Items(3), 3);
  book.Apply({{Key(1), "", 4}, true});
  book.Apply({{Key(1), "again", 5}, false});
  revision = 5;
  const FeedNews changes = Collect(3);
  BOOST_REQUIRE(changes.changes.size() == 1U);
  BOOST_TEST(changes.changes[0].item.value == "again");
}

// A router that is behind the remembered removals can't be sent the later ones
// alone.
BOOST_FIXTURE_TEST_CASE(WhoIsTooFarBehindIsSentAllItems, Fixture) {
  const int max_removals = static_cast<int>(FeedItemBook::kMostRemoved);
  book.Start(Items(3), 3);
  for (int n = 0; n <= max_removals; ++n) {
    book.Apply({{"t/gone", "v", 4 + 2 * n}, false});
    book.Apply({{"t/gone", "", 5 + 2 * n}, true});
  }
  revision = 5 + 2 * max_removals;
  BOOST_TEST((Collect(3).since == StoreRevision()));
  BOOST_TEST((Collect(5).since == StoreRevision(5)));
}

// An item that was written and removed between two reads of the list left no
// removal.
BOOST_FIXTURE_TEST_CASE(ASecondReadingCoversNobodyFromBeforeIt, Fixture) {
  book.Start(Items(3), 3);
  const auto changes = book.Replace(Items(2), 20);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].removed);
  revision = 20;
  BOOST_TEST((Collect(13).since == StoreRevision()));
  book.Apply({{Key(0), "new", 21}, false});
  revision = 21;
  BOOST_TEST((Collect(20).since == StoreRevision(20)));
}

BOOST_FIXTURE_TEST_CASE(OfAnotherEraAllItemsAreSent, Fixture) {
  book.Start(Items(3), {2, 3});
  revision = {2, 3};
  BOOST_TEST((Collect({1, 2}).since == StoreRevision()));
}

// Older builds don't request pages.
BOOST_FIXTURE_TEST_CASE(WhoAsksWithoutPagesIsSentAllAtOnce, Fixture) {
  book.Start(Items(500), 500);
  const auto page = book.PageFor(FeedNews(), 500);
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(!page->more);
  BOOST_TEST(page->changes.size() == 500U);
}

BOOST_FIXTURE_TEST_CASE(PagesThatDontGoOnArePassedOver, Fixture) {
  book.Start(Items(100), 100);
  FeedPageReader reader;
  const FeedNews first = *book.PageFor(reader.Next({}), 100);
  BOOST_TEST((reader.Take(first) == PageStep::kGoesOn));
  const FeedNews second = *book.PageFor(reader.Next({}), 100);
  BOOST_TEST((reader.Take(second) == PageStep::kGoesOn));
  // A page that arrives late and twice.
  BOOST_TEST((reader.Take(second) == PageStep::kPassedOver));
  FeedNews unrelated = second;
  unrelated.after = "t/99999";
  BOOST_TEST((reader.Take(unrelated) == PageStep::kPassedOver));
  FeedNews empty = second;
  empty.changes.clear();
  BOOST_TEST((reader.Take(empty) == PageStep::kPassedOver));
  BOOST_TEST(reader.IsUnderWay());
}

// Guards against requests without end: readers have no further page of an era
// that has ended.
BOOST_FIXTURE_TEST_CASE(APageOfALaterEraBeginsAnew, Fixture) {
  book.Start(Items(100), 100);
  FeedPageReader reader;
  BOOST_TEST(
      (reader.Take(*book.PageFor(reader.Next({}), 100)) == PageStep::kGoesOn));
  const FeedNews wanted = reader.Next({});
  const FeedNews later = *book.PageFor(wanted, {2, 100});
  BOOST_TEST((reader.Take(later) == PageStep::kPassedOver));
  BOOST_TEST(!reader.IsUnderWay());
  BOOST_TEST(reader.Next({}).after.empty());
}

// The later pages come from a reader that is behind the first one.
BOOST_FIXTURE_TEST_CASE(PagesAreKnownUpToTheLowestRevision, Fixture) {
  book.Start(Items(100), 100);
  FeedPageReader reader;
  reader.Take(*book.PageFor(reader.Next({}), 100));
  for (;;) {
    const auto page = book.PageFor(reader.Next({}), 90);
    if (reader.Take(*page) == PageStep::kComplete) break;
  }
  BOOST_TEST((reader.Finish().revision == StoreRevision(90)));
}

}  // namespace
}  // namespace quaytrack
