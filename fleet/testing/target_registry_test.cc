// Tests which targets are listed and which are leaving: through an outage of
// the store, across restarts of a target, and when a target announces that it
// is leaving.

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

// Guards against a leaving target that gets work again because the store shows
// an older entry than was seen before.
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
  // Late entries of the earlier start.
  BOOST_TEST(!registry.Put(Start("t", 5, true)));
  BOOST_TEST(!registry.Put(Start("t", 5)));
  BOOST_TEST((registry.entries().at(name) == Start("t", 9)));
  // The same after the target was not listed for a while.
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
  // The latest name is remembered, the first is forgotten.
  registry.Put(Entry("t-19999"));
  BOOST_TEST(registry.entries().at(TargetName("t-19999")).leaving);
  registry.Put(Entry("t-0"));
  BOOST_TEST(!registry.entries().at(TargetName("t-0")).leaving);
}

// Guards against work for a target that has announced that it is leaving while
// its entry, which can't be read or shows it seconds later, lists it as ready.
BOOST_AUTO_TEST_CASE(WhatSaysThatItLeavesIsLeavingWhateverItsEntrySays) {
  TargetRegistry registry;
  registry.Put(Start("a", 5));
  BOOST_TEST(registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  BOOST_TEST(!registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  BOOST_TEST(registry.entries().at(TargetName("a")).leaving);
  BOOST_TEST(registry.announced_leaving().size() == 1U);
  registry.Replace({Start("a", 5)});
  BOOST_TEST(registry.entries().at(TargetName("a")).leaving);
  // Now the entry shows it too, and peers can read that.
  registry.Put(Start("a", 5, true));
  BOOST_TEST(registry.announced_leaving().empty());
}

BOOST_AUTO_TEST_CASE(ALaterStartOfOneThatSaidThatItLeavesIsNotLeaving) {
  TargetRegistry registry;
  registry.Put(Start("a", 5));
  registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at);
  registry.Put(Start("a", 9));
  BOOST_TEST(!registry.entries().at(TargetName("a")).leaving);
  BOOST_TEST(registry.announced_leaving().empty());
  // A late announcement of the earlier start.
  BOOST_TEST(!registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  BOOST_TEST(!registry.entries().at(TargetName("a")).leaving);
}

BOOST_AUTO_TEST_CASE(OneThatSaidThatItLeavesWhileUnlistedComesBackLeaving) {
  TargetRegistry registry;
  BOOST_TEST(!registry.MarkLeaving(TargetName("a"), Start("a", 5).started_at));
  registry.Put(Start("a", 5));
  BOOST_TEST(registry.entries().at(TargetName("a")).leaving);
}

// Targets that disappear during an outage are kept, unless they are known to
// leave.
BOOST_FIXTURE_TEST_CASE(WhatSaidThatItLeavesIsNotKept, OutageFixture) {
  registry.Put(Entry("lapsed"));
  registry.MarkLeaving(TargetName("lapsed"), {});
  registry.Remove(TargetName("lapsed"));
  BOOST_TEST(!Listed("lapsed"));
  BOOST_TEST(registry.announced_leaving().empty());
}

}  // namespace
}  // namespace quaytrack
