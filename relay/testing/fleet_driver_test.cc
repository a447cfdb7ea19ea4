// How a router enters itself in the list of routers and learns of the others.

#include "relay/fleet_driver.h"

#include <boost/test/unit_test.hpp>

#include "kv/testing/scripted_store.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kPrefix[] = "quaytrack/router/";
// Longer than the delay before a failed call is retried, and than the interval
// before the second read of the list.
constexpr Duration kRetried = milliseconds(550);
constexpr Duration kReadAgain = milliseconds(1900);
// Longer than the delay before the list is read for a differing number.
constexpr Duration kCountRead = milliseconds(700);

FleetMember Member(const char* vm) {
  return {VmName(vm), HallName("h"), std::string(vm) + ":1"};
}

struct Fixture {
  Fixture() : driver(loop, store, Member("vm-1"), FleetOptions()) {
    driver.OnChanged([this] { ++changes; });
    driver.SetAddress("vm-1:2");
    driver.Start();
  }

  bool AnswerWrite(StoreEnd end) {
    return store.AnswerWrite("quaytrack/router/vm-1", {end, 1, {}});
  }
  bool AnswerRead(StoreEnd end, const std::vector<FleetMember>& members) {
    StoreSnapshot out;
    out.end = end;
    for (const FleetMember& it : members) {
      out.items.push_back({kPrefix + it.vm.value, EncodeMember(it), 1});
    }
    return store.AnswerRange(kPrefix, out);
  }

  Loop loop;
  ScriptedStore store;
  int changes = 0;
  FleetDriver driver;
};

BOOST_FIXTURE_TEST_CASE(TheOwnEntryIsWrittenUntilTheStoreHasIt, Fixture) {
  BOOST_REQUIRE(store.last_write.puts.size() == 1U);
  FleetMember self = Member("vm-1");
  self.address = "vm-1:2";
  BOOST_TEST((DecodeMember(store.last_write.puts[0].value) == self));
  // The first write finds out whether there is an entry of an earlier process.
  BOOST_REQUIRE(store.last_write.conditions.size() == 1U);
  BOOST_TEST(store.last_write.conditions[0].revision == 0);
  for (const StoreEnd it : {StoreEnd::kRefused, StoreEnd::kUnknown}) {
    BOOST_TEST(AnswerWrite(it));
    RunFor(loop, kRetried);
  }
  BOOST_TEST(store.ranges.started == 0U);
  BOOST_TEST(AnswerWrite(StoreEnd::kDone));
  BOOST_TEST(store.writes.started == 3U);
  BOOST_TEST(store.ranges.started == 1U);
}

// Guards against a router that can't enter itself because of an earlier process
// on its VM, and against one that takes itself for the first.
BOOST_FIXTURE_TEST_CASE(AnEntryOfAnEarlierProcessIsReplaced, Fixture) {
  BOOST_TEST(!driver.has_predecessor());
  BOOST_TEST(AnswerWrite(StoreEnd::kRejected));
  BOOST_TEST(driver.has_predecessor());
  BOOST_TEST(store.last_write.conditions.empty());
  BOOST_TEST(AnswerWrite(StoreEnd::kDone));
  BOOST_TEST(store.ranges.started == 1U);
}

BOOST_FIXTURE_TEST_CASE(AReadThatFailsIsMadeAgain, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  BOOST_TEST(AnswerRead(StoreEnd::kRefused, {}));
  BOOST_TEST(changes == 0);
  RunFor(loop, kRetried);
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {Member("vm-2")}));
  BOOST_TEST(changes == 1);
  BOOST_TEST(driver.directory().size() == 2U);
}

// Routers that start together have written their entries by the second read.
BOOST_FIXTURE_TEST_CASE(TheSecondReadSettlesTheList, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {}));
  BOOST_TEST(!driver.settled());
  BOOST_TEST(changes == 0);
  RunFor(loop, kReadAgain);
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {}));
  BOOST_TEST(driver.settled());
  // Reported although the list is the same.
  BOOST_TEST(changes == 1);
}

BOOST_FIXTURE_TEST_CASE(TheFirstReadIsTold, Fixture) {
  int reads = 0;
  driver.OnFirstRead([&] { ++reads; });
  AnswerWrite(StoreEnd::kDone);
  BOOST_TEST(!driver.directory().IsRead());
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {}));
  BOOST_TEST(driver.directory().IsRead());
  RunFor(loop, kReadAgain);
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {}));
  BOOST_TEST(reads == 1);
}

// Guards against needless reads: each of 985 routers read the list twice when
// it started, and all read it together whenever the number changed, 240 MB each
// time through the store's link.
BOOST_FIXTURE_TEST_CASE(AReadersNumberSettlesTheListWithoutAReading, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  AnswerRead(StoreEnd::kDone, {Member("vm-2")});
  driver.OnReaderCounts(3);
  BOOST_TEST(!driver.settled());
  driver.OnReaderCounts(2);
  BOOST_TEST(driver.settled());
  const auto reads = store.ranges.started;
  RunFor(loop, kReadAgain);
  BOOST_TEST(store.ranges.started == reads);
}

BOOST_FIXTURE_TEST_CASE(BeforeTheListWasReadANumberSettlesNothing, Fixture) {
  driver.OnReaderCounts(1);
  BOOST_TEST(!driver.settled());
}

// An entry takes about 250 bytes of the store's answer.
BOOST_AUTO_TEST_CASE(ReadingsTakeTheSamePartOfALinkInAnyFleet) {
  constexpr double kEntryBytes = 250;
  constexpr double kMaxBytesPerS = 64e6;
  for (const std::size_t routers : {30U, 100U, 300U, 985U, 2000U, 4000U}) {
    const auto n = static_cast<double>(routers);
    const double seconds = ToSeconds(FleetDriver::ReadingSpread(routers));
    BOOST_TEST(n * n * kEntryBytes / seconds <= kMaxBytesPerS);
  }
  // In fleets of usual size the spread is no delay that matters.
  BOOST_TEST((FleetDriver::ReadingSpread(100) <= milliseconds(50)));
}

// A router that receives the number of routers reads the list only if it knows
// another number.
BOOST_FIXTURE_TEST_CASE(AnotherNumberOfRoutersIsReadUp, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  AnswerRead(StoreEnd::kDone, {Member("vm-2")});
  RunFor(loop, kReadAgain);
  AnswerRead(StoreEnd::kDone, {Member("vm-2")});
  BOOST_REQUIRE(driver.settled());
  const auto reads = store.ranges.started;
  driver.OnReaderCounts(2);
  RunFor(loop, kCountRead);
  BOOST_TEST(store.ranges.started == reads);
  driver.OnReaderCounts(3);
  driver.OnReaderCounts(3);
  RunFor(loop, kCountRead);
  BOOST_TEST(store.ranges.started == reads + 1);
  AnswerRead(StoreEnd::kDone, {Member("vm-2"), Member("vm-3")});
  BOOST_TEST(driver.directory().size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(TheOwnEntryOfAnEarlierRunChangesNothing, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  FleetMember earlier = Member("vm-1");
  earlier.address = "vm-1:9";
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {earlier}));
  BOOST_TEST(driver.directory().self().address == "vm-1:2");
  driver.OnHello(earlier);
  BOOST_TEST(driver.directory().self().address == "vm-1:2");
  BOOST_TEST(changes == 0);
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatCantBeReadIsLeftOut, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  StoreSnapshot out;
  out.end = StoreEnd::kDone;
  out.items.push_back({std::string(kPrefix) + "vm-3", "no entry", 1});
  out.items.push_back(
      {std::string(kPrefix) + "vm-2", EncodeMember(Member("vm-2")), 1});
  BOOST_TEST(store.AnswerRange(kPrefix, out));
  BOOST_TEST(driver.directory().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ARouterThatLinksIsKnownBetweenReads, Fixture) {
  driver.OnHello(Member("vm-2"));
  BOOST_TEST(driver.directory().size() == 2U);
  BOOST_TEST(changes == 1);
  driver.OnHello(Member("vm-2"));
  BOOST_TEST(changes == 1);
  FleetMember nowhere = Member("vm-3");
  nowhere.address.clear();
  driver.OnHello(nowhere);
  BOOST_TEST(driver.directory().size() == 2U);
}

// Guards against an entry that the store acknowledged and then lost.
BOOST_FIXTURE_TEST_CASE(TheOwnEntryIsWrittenAgainInALaterEra, Fixture) {
  BOOST_TEST(AnswerWrite(StoreEnd::kDone));
  BOOST_TEST(AnswerRead(StoreEnd::kDone, {}));
  const int before = store.writes.started_by_key["quaytrack/router/vm-1"];
  driver.OnStoreEra();
  RunFor(loop, kRetried);
  BOOST_TEST(store.writes.started_by_key["quaytrack/router/vm-1"] ==
             before + 1);
}

// Guards against an entry of another writer that replaces a router's address,
// counts as a router, or ends the process.
BOOST_FIXTURE_TEST_CASE(OddEntriesAreLeftOut, Fixture) {
  AnswerWrite(StoreEnd::kDone);
  FleetMember without_port = Member("vm-3");
  without_port.address = "10.0.0.9:99999";
  StoreSnapshot out;
  out.end = StoreEnd::kDone;
  out.items = {{kPrefix + std::string("vm-2"), EncodeMember(Member("vm-2")), 1},
               {kPrefix + std::string("a"), EncodeMember(Member("vm-2")), 1},
               {kPrefix + std::string("vm-3"), EncodeMember(without_port), 1},
               {kPrefix + std::string("x"), std::string(300'000, '\x81'), 1},
               {kPrefix + std::string("y"), "", 1}};
  BOOST_REQUIRE(store.AnswerRange(kPrefix, out));
  const auto others = driver.directory().Others();
  BOOST_REQUIRE(others.size() == 1U);
  BOOST_TEST((others[0] == Member("vm-2")));
}

}  // namespace
}  // namespace quaytrack
