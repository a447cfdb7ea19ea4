#include "fleet/target_registry.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

TargetEntry Entry(const char* name, bool leaving = false) {
  TargetEntry out;
  out.name = TargetName(name);
  out.leaving = leaving;
  return out;
}

TargetEntry Start(const char* name, int started_ms, bool leaving = false) {
  TargetEntry out = Entry(name, leaving);
  out.started_at = WallTime(std::chrono::milliseconds(started_ms));
  out.start = TargetStart(name + ("@" + std::to_string(started_ms)));
  return out;
}

struct OutageFixture {
  OutageFixture() {
    registry.Replace({Entry("lapsed"), Entry("dead"), Entry("leaving")});
    registry.Put(Entry("leaving", true));
    registry.KeepMissing();
    registry.Replace({});
  }
  bool Listed(const char* name) const {
    return registry.entries().contains(TargetName(name));
  }
  TargetRegistry registry;
};

BOOST_FIXTURE_TEST_CASE(WhatVanishesInAnOutageStaysForAWhile, OutageFixture) {
  BOOST_TEST(Listed("lapsed"));
  BOOST_TEST(Listed("dead"));
  BOOST_TEST(!Listed("leaving"));
}

BOOST_FIXTURE_TEST_CASE(WhatIsNotListedAgainIsGone, OutageFixture) {
  registry.Put(Entry("lapsed"));
  const std::set<TargetName> gone = registry.DropMissing();
  BOOST_TEST((gone == std::set<TargetName>{TargetName("dead")}));
  BOOST_TEST(Listed("lapsed"));
  BOOST_TEST(!Listed("dead"));
}

BOOST_FIXTURE_TEST_CASE(AKeptTargetThatLeavesIsLeaving, OutageFixture) {
  registry.Put(Entry("lapsed", true));
  BOOST_TEST(registry.entries().at(TargetName("lapsed")).leaving);
  registry.Remove(TargetName("lapsed"));
  BOOST_TEST(!Listed("lapsed"));
}

BOOST_FIXTURE_TEST_CASE(WithoutAnOutageWhatVanishesIsGone, OutageFixture) {
  registry.StopKeeping();
  registry.Put(Entry("lapsed"));
  BOOST_TEST(registry.Remove(TargetName("lapsed")));
  BOOST_TEST(!Listed("lapsed"));
}

// What the store shows may be older than what was seen before.
BOOST_AUTO_TEST_CASE(ANameThatWasSeenLeavingStaysLeaving) {
  TargetRegistry registry;
  registry.Put(Entry("t", true));
  BOOST_TEST(!registry.Put(Entry("t")));
  BOOST_TEST(registry.entries().at(TargetName("t")).leaving);
  BOOST_TEST(registry.Remove(TargetName("t")));
  BOOST_TEST(registry.Put(Entry("t")));
  BOOST_TEST(registry.entries().at(TargetName("t")).leaving);
}

BOOST_AUTO_TEST_CASE(ALaterStartIsNotLeavingWithAnEarlierOne) {
  TargetRegistry registry;
  const TargetName name("t");
  registry.Put(Start("t", 5));
  registry.Put(Start("t", 5, true));
  BOOST_TEST(registry.Put(Start("t", 9)));
  BOOST_TEST(!registry.entries().at(name).leaving);
  // Late news of the earlier one.
  BOOST_TEST(!registry.Put(Start("t", 5, true)));
  BOOST_TEST(!registry.Put(Start("t", 5)));
  BOOST_TEST((registry.entries().at(name) == Start("t", 9)));
  // The same after it was not listed for a while.
  registry.Remove(name);
  registry.Put(Start("t", 5));
  BOOST_TEST(registry.entries().at(name).leaving);
  registry.Put(Start("t", 9));
  BOOST_TEST(!registry.entries().at(name).leaving);
}

BOOST_AUTO_TEST_CASE(WhatIsRememberedOfThoseThatLeftIsBounded) {
  TargetRegistry registry;
  for (int n = 0; n < 20'000; ++n) {
    const std::string name = "t-" + std::to_string(n);
    registry.Put(Entry(name.c_str(), true));
    registry.Remove(TargetName(name));
  }
  // The latest are known, the first are forgotten.
  registry.Put(Entry("t-19999"));
  BOOST_TEST(registry.entries().at(TargetName("t-19999")).leaving);
  registry.Put(Entry("t-0"));
  BOOST_TEST(!registry.entries().at(TargetName("t-0")).leaving);
}

// Its entry couldn't be read, and told of it seconds later.
BOOST_AUTO_TEST_CASE(WhatSaysThatItLeavesIsLeavingWhateverItsEntrySays) {
  TargetRegistry registry;
  registry.Put(Start("a", 5));
  BOOST_TEST(registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  BOOST_TEST(!registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  BOOST_TEST(registry.entries().at(TargetName("a")).leaving);
  BOOST_TEST(registry.said_leaving().size() == 1U);
  registry.Replace({Start("a", 5)});
  BOOST_TEST(registry.entries().at(TargetName("a")).leaving);
  // Its entry says so as well now; peers read that.
  registry.Put(Start("a", 5, true));
  BOOST_TEST(registry.said_leaving().empty());
}

BOOST_AUTO_TEST_CASE(ALaterStartOfOneThatSaidThatItLeavesIsNotLeaving) {
  TargetRegistry registry;
  registry.Put(Start("a", 5));
  registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at);
  registry.Put(Start("a", 9));
  BOOST_TEST(!registry.entries().at(TargetName("a")).leaving);
  BOOST_TEST(registry.said_leaving().empty());
  // Late news of the start before.
  BOOST_TEST(!registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  BOOST_TEST(!registry.entries().at(TargetName("a")).leaving);
}

BOOST_AUTO_TEST_CASE(OneThatSaidThatItLeavesWhileUnlistedComesBackLeaving) {
  TargetRegistry registry;
  BOOST_TEST(!registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  registry.Put(Start("a", 5));
  BOOST_TEST(registry.entries().at(TargetName("a")).leaving);
}

// Through an outage, what vanishes is kept, unless it is known to leave.
BOOST_FIXTURE_TEST_CASE(WhatSaidThatItLeavesIsNotKept, OutageFixture) {
  registry.Put(Entry("lapsed"));
  registry.MarkLeaving(TargetName("lapsed"), {});
  registry.Remove(TargetName("lapsed"));
  BOOST_TEST(!Listed("lapsed"));
  BOOST_TEST(registry.said_leaving().empty());
}

}  // namespace
}  // namespace quaytrack
