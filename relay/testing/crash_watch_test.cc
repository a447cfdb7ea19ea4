// Tests which lost attempts become crash reports, how routers exchange and
// store the reports, and their encoding.

#include "relay/crash_watch.h"

#include <rapidcheck.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "kv/testing/scripted_store.h"
#include "relay/testing/feed_fleet.h"
#include "relay/testing/the_feed_chart.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kPrefix[] = "quaytrack/crash/";
constexpr char kOwnKey[] = "quaytrack/crash/vm-1";
const Fingerprint kRequest{"request"};
// Exceeds the delay of a write and the interval between writes.
constexpr Duration kWriteTime = milliseconds(300);

class WallClock final : public Clock {
 public:
  Instant Now() const override { return Instant(std::chrono::hours(1)); }
  WallTime WallNow() const override { return now; }
  WallTime now = WallTime(std::chrono::hours(1000));
};

struct Fixture {
  Fixture()
      : listener(loop, [](int fd) { ::close(fd); }),
        alive("127.0.0.1:" + std::to_string(listener.Listen("127.0.0.1:0"))),
        watch({loop, clock, store, TheFeedChart()}, VmName("vm-1"),
              Handlers()) {
    // A port without a listener.
    TcpListener gone(loop, [](int) {});
    dead = "127.0.0.1:" + std::to_string(gone.Listen("127.0.0.1:0"));
    gone.Stop();
    watch.Start(false);
  }

  CrashWatch::Handlers Handlers() {
    CrashWatch::Handlers out;
    out.broadcast = [this](const PeerMessage& it) { sent.push_back(it); };
    // As Placement::IsOpenToWork.
    out.is_open_to_work = [this](const TargetEntry& it) {
      const auto at = listed.find(it.name);
      return at != listed.end() && !at->second.leaving &&
             at->second.start == it.start;
    };
    out.links_work_since = [this](const TargetEntry&, Instant) {
      ++link_checks;
      return links_work;
    };
    return out;
  }

  TargetEntry Target(int n, const std::string& address) {
    TargetEntry out;
    out.name = TargetName("t-" + std::to_string(n));
    out.start = TargetStart(out.name.value + "@1");
    out.address = address;
    listed[out.name] = out;
    return out;
  }
  void Lose(const TargetEntry& target) {
    watch.OnLost({RequestId("id"), kRequest, target, milliseconds(50)});
    RunFor(loop, milliseconds(20));
  }
  bool Await(const std::function<bool()>& condition) {
    for (int n = 0; n < 100 && !condition(); ++n) {
      RunFor(loop, milliseconds(10));
    }
    return condition();
  }
  bool Reported(std::size_t crashes) {
    return Await([&] { return watch.blame().Crashes(kRequest) == crashes; });
  }
  CrashReports Written() const {
    return DecodeCrashReports(store.last_write.puts.at(0).value).value();
  }
  // A report of another router.
  CrashReports ReportOfPeer(int target) const {
    return {{{kRequest, TargetStart("u-" + std::to_string(target)), clock.now,
              milliseconds(50)}},
            {}};
  }
  PeerMessage Message(const std::string& value) const {
    PeerMessage out;
    out.kind = PeerMessageKind::kCrashes;
    out.from = Incarnation("vm-2@1");
    out.item_key = "quaytrack/crash/vm-2";
    out.item_value = value;
    return out;
  }

  Loop loop;
  WallClock clock;
  ScriptedStore store;
  TcpListener listener;
  std::string alive;
  std::string dead;
  std::map<TargetName, TargetEntry> listed;
  std::vector<PeerMessage> sent;
  bool links_work = true;
  int link_checks = 0;
  CrashWatch watch;
};

BOOST_FIXTURE_TEST_CASE(ATargetThatIsGoneIsReported, Fixture) {
  Lose(Target(1, dead));
  BOOST_TEST(Reported(1));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((DecodeCrashReports(sent[0].item_value)->crashes.size() == 1U));
  BOOST_REQUIRE(Await([&] { return store.writes.started == 1U; }));
  BOOST_TEST((Written().crashes.at(0).request == kRequest));
  BOOST_TEST(store.last_write.conditions.at(0).revision == 0);
}

// Guards against routers that are cut off from all targets and blame the
// requests that were running there.
BOOST_FIXTURE_TEST_CASE(ARouterWithoutLinksBlamesNobody, Fixture) {
  links_work = false;
  Lose(Target(1, dead));
  BOOST_REQUIRE(Await([&] { return link_checks == 3; }));
  BOOST_TEST(sent.empty());
  BOOST_TEST(watch.blame().Crashes(kRequest) == 0U);
  // The list of targets still shows the end.
  watch.OnEnded(TargetStart("t-1@1"));
  BOOST_TEST(Reported(1));
}

BOOST_FIXTURE_TEST_CASE(AnEndIsReportedOnceTheLinksAreKnownToWork, Fixture) {
  links_work = false;
  Lose(Target(1, dead));
  BOOST_REQUIRE(Await([&] { return link_checks == 1; }));
  links_work = true;
  watch.OnLinksWork();
  BOOST_TEST(watch.blame().Crashes(kRequest) == 1U);
}

BOOST_FIXTURE_TEST_CASE(ATargetThatLivesSpeaksAgainstNobody, Fixture) {
  Lose(Target(1, alive));
  RunFor(loop, kWriteTime);
  BOOST_TEST(!watch.HasReports());
  BOOST_TEST(sent.empty());
  BOOST_TEST(store.writes.started == 0U);
}

BOOST_FIXTURE_TEST_CASE(ATargetThatEndsAsPlannedSpeaksAgainstNobody, Fixture) {
  const TargetEntry leaving = Target(1, dead);
  listed[leaving.name].leaving = true;
  Lose(leaving);
  const TargetEntry gone = Target(2, dead);
  listed.erase(gone.name);
  Lose(gone);
  // Another start under its name is listed by now.
  const TargetEntry before = Target(3, dead);
  listed[before.name].start = TargetStart("t-3@2");
  Lose(before);
  RunFor(loop, kWriteTime);
  BOOST_TEST(!watch.HasReports());
}

// The head of an answer doesn't show that a request runs: some targets send it
// with the first event, or never.
BOOST_AUTO_TEST_CASE(OnlyWhatRanWellBeyondItsBeginningIsNoCause) {
  const Duration past = CrashWatch::kStartPhase + milliseconds(1);
  BOOST_TEST(!CrashWatch::HasPassedStartPhase(std::nullopt));
  BOOST_TEST(!CrashWatch::HasPassedStartPhase(milliseconds(10)));
  BOOST_TEST(CrashWatch::HasPassedStartPhase(past));
}

// The port still accepts connections for a moment after the target has failed.
BOOST_FIXTURE_TEST_CASE(ATargetThatClosesItsPortLateIsReported, Fixture) {
  TcpListener listener_to_close(loop, [](int fd) { ::close(fd); });
  const std::string address =
      "127.0.0.1:" + std::to_string(listener_to_close.Listen("127.0.0.1:0"));
  Lose(Target(1, address));
  BOOST_TEST(!watch.HasReports());
  listener_to_close.Stop();
  BOOST_TEST(Reported(1));
}

// The target has restarted under its name before a probe could find its port
// closed.
BOOST_FIXTURE_TEST_CASE(ATargetThatIsBackAtOnceIsReported, Fixture) {
  const TargetEntry before = Target(1, alive);
  Lose(before);
  RunFor(loop, milliseconds(100));
  BOOST_TEST(!watch.HasReports());
  listed[before.name].start = TargetStart("t-1@2");
  watch.OnEnded(before.start);
  BOOST_TEST(Reported(1));
  // No attempts are remembered for the new start.
  watch.OnEnded(TargetStart("t-1@2"));
  BOOST_TEST(Reported(1));
}

// The target hangs, or the caller leaves, and the target ends later.
BOOST_FIXTURE_TEST_CASE(WhatWasStoppedIsReportedIfItsTargetEnds, Fixture) {
  const TargetEntry target = Target(1, alive);
  watch.OnStopped({RequestId("id"), kRequest, target, milliseconds(50)});
  RunFor(loop, kWriteTime);
  BOOST_TEST(!watch.HasReports());
  watch.OnEnded(target.start);
  BOOST_TEST(Reported(1));
}

BOOST_FIXTURE_TEST_CASE(WhatAllRoutersHaveSeenCountsTogether, Fixture) {
  std::vector<StoreItem> items;
  for (int n = 1; n <= 2; ++n) {
    items.push_back({kPrefix + std::string("vm-") + std::to_string(n + 1),
                     EncodeCrashReports(ReportOfPeer(n)), n});
  }
  items.push_back({kPrefix + std::string("vm-9"), "not a report", 3});
  BOOST_REQUIRE(store.AnswerRange(kPrefix, {StoreEnd::kDone, 3, items}));
  BOOST_TEST(watch.blame().Crashes(kRequest) == 2U);
  BOOST_TEST(watch.IsOneCrashFromBlame(kRequest));
  BOOST_TEST(!watch.IsBlamed(kRequest));
  watch.OnPeer(Message(EncodeCrashReports(ReportOfPeer(3))));
  BOOST_TEST(watch.IsBlamed(kRequest));
  // Repeated and unreadable reports change nothing.
  watch.OnPeer(Message(EncodeCrashReports(ReportOfPeer(3))));
  watch.OnPeer(Message("\xff\xff"));
  watch.OnPeer(Message(""));
  BOOST_TEST(watch.blame().Crashes(kRequest) == 3U);
}

BOOST_FIXTURE_TEST_CASE(WhatRanWellIsClearedAndTold, Fixture) {
  for (int n = 1; n <= 3; ++n) {
    watch.OnPeer(Message(EncodeCrashReports(ReportOfPeer(n))));
  }
  BOOST_REQUIRE(watch.IsBlamed(kRequest));
  watch.OnRan(Fingerprint("another"));
  BOOST_TEST(sent.empty());
  watch.OnRan(kRequest);
  BOOST_TEST(!watch.IsBlamed(kRequest));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(
      (DecodeCrashReports(sent[0].item_value)->ran.at(0).request == kRequest));
}

BOOST_FIXTURE_TEST_CASE(WhatAnEarlierProcessHasSeenStays, Fixture) {
  Lose(Target(1, dead));
  BOOST_REQUIRE(Await([&] { return store.writes.started == 1U; }));
  const StoreItem before{kOwnKey, EncodeCrashReports(ReportOfPeer(1)), 7};
  BOOST_REQUIRE(store.AnswerWrite(kOwnKey, {StoreEnd::kRejected, 0, {before}}));
  BOOST_REQUIRE(Await([&] { return store.writes.started == 2U; }));
  BOOST_TEST(Written().crashes.size() == 2U);
  BOOST_TEST(store.last_write.conditions.at(0).revision == 7);
  BOOST_REQUIRE(store.AnswerWrite(kOwnKey, {StoreEnd::kDone, 8, {}}));
  Lose(Target(2, dead));
  BOOST_REQUIRE(Await([&] { return store.writes.started == 3U; }));
  BOOST_TEST(store.last_write.conditions.at(0).revision == 8);
  BOOST_TEST(Written().crashes.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(AWriteWithoutAnAnswerIsMadeAgain, Fixture) {
  Lose(Target(1, dead));
  for (std::uint64_t n = 1; n <= 4; ++n) {
    BOOST_REQUIRE(Await([&] { return store.writes.started == n; }));
    const StoreEnd end = n % 2 == 0 ? StoreEnd::kRefused : StoreEnd::kUnknown;
    BOOST_REQUIRE(store.AnswerWrite(kOwnKey, {end, 0, {}}));
  }
}

BOOST_FIXTURE_TEST_CASE(ReportsOfOneRouterAreBounded, Fixture) {
  CrashReports many;
  for (int n = 0; n < 500; ++n) {
    many.crashes.push_back({Fingerprint("r-" + std::to_string(n)),
                            TargetStart("t"),
                            clock.now,
                            {}});
  }
  const auto read = DecodeCrashReports(EncodeCrashReports(many));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->crashes.size() == CrashReports::kMaxPerList);
}

BOOST_AUTO_TEST_CASE(AnyBytesAreReadOrRefused) {
  rc::check([](const std::string& bytes) {
    const auto it = DecodeCrashReports(bytes);
    if (it) RC_ASSERT(it->crashes.size() <= CrashReports::kMaxPerList);
  });
  // Valid reports with a byte changed or cut short.
  const std::string real = EncodeCrashReports(
      {{{kRequest, TargetStart("t"), WallTime(milliseconds(5)), {}}},
       {{kRequest, WallTime(milliseconds(6))}}});
  rc::check([&] {
    std::string bytes = real;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    DecodeCrashReports(bytes);
    DecodeCrashReports(std::string_view(real).substr(0, at));
  });
}

}  // namespace
}  // namespace quaytrack
