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

FeedUpdate RequestFrom(StoreRevision since) {
  FeedUpdate out;
  out.paged = true;
  out.since = since;
  return out;
}

std::size_t BytesOf(const FeedUpdate& page) {
  std::size_t out = 0;
  for (const StoreChange& it : page.changes) {
    out += it.item.key.size() + it.item.value.size();
  }
  return out;
}

struct Fixture {
  // Collects a complete answer; `pages` counts its pages.
  FeedUpdate Collect(StoreRevision since) {
    FeedPageAssembler answer;
    for (pages = 1;; ++pages) {
      const auto page = table.PageFor(answer.Next(since), revision);
      BOOST_REQUIRE(page.has_value());
      largest = std::max(largest, BytesOf(*page));
      if (answer.AddPage(*page) == PageStep::kComplete) return answer.Finish();
      BOOST_REQUIRE(answer.IsInProgress());
      BOOST_REQUIRE(pages < 1000);
    }
  }

  FeedItemTable table;
  StoreRevision revision;
  int pages = 0;
  std::size_t largest = 0;
};

// Guards against an answer that outgrows the link: a list of thousands of
// targets was sent in one message to each router that requested it.
BOOST_FIXTURE_TEST_CASE(ALongListComesInPages, Fixture) {
  revision = 500;
  table.Start(Items(500), revision);
  const FeedUpdate all = Collect({});
  BOOST_TEST(all.changes.size() == 500U);
  BOOST_TEST((all.since == StoreRevision()));
  BOOST_TEST((all.revision == revision));
  BOOST_TEST(largest <= FeedItemTable::kPageBytes);
  BOOST_TEST(pages >= 500'000 / static_cast<int>(FeedItemTable::kPageBytes));
}

// Guards against sending the complete list to a router that missed one change.
BOOST_FIXTURE_TEST_CASE(WhoIsBehindIsSentWhatHasChangedAlone, Fixture) {
  table.Start(Items(500), 500);
  table.Apply({{Key(7), "new", 501}, false});
  table.Apply({{Key(9), "", 502}, true});
  table.Apply({{"t/added", "new", 503}, false});
  revision = 503;
  const FeedUpdate changes = Collect(500);
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
  table.Start(Items(3), 3);
  BOOST_TEST(!table.PageFor(RequestFrom(3), 3).has_value());
  BOOST_TEST(!table.PageFor(RequestFrom(4), 3).has_value());
  BOOST_TEST(!table.PageFor(RequestFrom({2, 1}), 3).has_value());
}

// An item that was removed and written again is not sent as a removal.
BOOST_FIXTURE_TEST_CASE(AnItemThatCameBackIsThere, Fixture) {
  table.Start(Items(3), 3);
  table.Apply({{Key(1), "", 4}, true});
  table.Apply({{Key(1), "again", 5}, false});
  revision = 5;
  const FeedUpdate changes = Collect(3);
  BOOST_REQUIRE(changes.changes.size() == 1U);
  BOOST_TEST(changes.changes[0].item.value == "again");
}

// A router that is behind the remembered removals can't be sent the later ones
// alone.
BOOST_FIXTURE_TEST_CASE(WhoIsTooFarBehindIsSentAllItems, Fixture) {
  const int max_removals = static_cast<int>(FeedItemTable::kMaxRemovals);
  table.Start(Items(3), 3);
  for (int n = 0; n <= max_removals; ++n) {
    table.Apply({{"t/gone", "v", 4 + 2 * n}, false});
    table.Apply({{"t/gone", "", 5 + 2 * n}, true});
  }
  revision = 5 + 2 * max_removals;
  BOOST_TEST((Collect(3).since == StoreRevision()));
  BOOST_TEST((Collect(5).since == StoreRevision(5)));
}

// An item that was written and removed between two reads of the list left no
// removal.
BOOST_FIXTURE_TEST_CASE(ASecondReadingCoversNobodyFromBeforeIt, Fixture) {
  table.Start(Items(3), 3);
  const auto changes = table.Replace(Items(2), 20);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].removed);
  revision = 20;
  BOOST_TEST((Collect(13).since == StoreRevision()));
  table.Apply({{Key(0), "new", 21}, false});
  revision = 21;
  BOOST_TEST((Collect(20).since == StoreRevision(20)));
}

BOOST_FIXTURE_TEST_CASE(OfAnotherEraAllItemsAreSent, Fixture) {
  table.Start(Items(3), {2, 3});
  revision = {2, 3};
  BOOST_TEST((Collect({1, 2}).since == StoreRevision()));
}

// Older builds don't request pages.
BOOST_FIXTURE_TEST_CASE(WhoAsksWithoutPagesIsSentAllAtOnce, Fixture) {
  table.Start(Items(500), 500);
  const auto page = table.PageFor(FeedUpdate(), 500);
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(!page->more);
  BOOST_TEST(page->changes.size() == 500U);
}

BOOST_FIXTURE_TEST_CASE(PagesThatDontGoOnArePassedOver, Fixture) {
  table.Start(Items(100), 100);
  FeedPageAssembler answer;
  const FeedUpdate first = *table.PageFor(answer.Next({}), 100);
  BOOST_TEST((answer.AddPage(first) == PageStep::kMorePages));
  const FeedUpdate second = *table.PageFor(answer.Next({}), 100);
  BOOST_TEST((answer.AddPage(second) == PageStep::kMorePages));
  // A page that arrives late and twice.
  BOOST_TEST((answer.AddPage(second) == PageStep::kIgnored));
  FeedUpdate unrelated = second;
  unrelated.after = "t/99999";
  BOOST_TEST((answer.AddPage(unrelated) == PageStep::kIgnored));
  FeedUpdate empty = second;
  empty.changes.clear();
  BOOST_TEST((answer.AddPage(empty) == PageStep::kIgnored));
  BOOST_TEST(answer.IsInProgress());
}

// Guards against requests without end: readers have no further page of an era
// that has ended.
BOOST_FIXTURE_TEST_CASE(APageOfALaterEraBeginsAnew, Fixture) {
  table.Start(Items(100), 100);
  FeedPageAssembler answer;
  BOOST_TEST((answer.AddPage(*table.PageFor(answer.Next({}), 100)) ==
              PageStep::kMorePages));
  const FeedUpdate wanted = answer.Next({});
  const FeedUpdate later = *table.PageFor(wanted, {2, 100});
  BOOST_TEST((answer.AddPage(later) == PageStep::kIgnored));
  BOOST_TEST(!answer.IsInProgress());
  BOOST_TEST(answer.Next({}).after.empty());
}

// The later pages come from a reader that is behind the first one.
BOOST_FIXTURE_TEST_CASE(PagesAreKnownUpToTheLowestRevision, Fixture) {
  table.Start(Items(100), 100);
  FeedPageAssembler answer;
  answer.AddPage(*table.PageFor(answer.Next({}), 100));
  for (;;) {
    const auto page = table.PageFor(answer.Next({}), 90);
    if (answer.AddPage(*page) == PageStep::kComplete) break;
  }
  BOOST_TEST((answer.Finish().revision == StoreRevision(90)));
}

}  // namespace
}  // namespace quaytrack
