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
const CauseId kPart = CauseOf(ServiceName("llm"), 0xdead);
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
    watch.OnLost({RequestId("id"), {kRequest, {}}, target, milliseconds(50)});
    RunFor(loop, milliseconds(20));
  }
  bool Await(const std::function<bool()>& condition) {
    for (int n = 0; n < 100 && !condition(); ++n) {
      RunFor(loop, milliseconds(10));
    }
    return condition();
  }
  bool Reported(std::size_t crashes) {
    return Await(
        [&] { return watch.blame().Crashes(CauseOf(kRequest)) == crashes; });
  }
  bool IsBlamed() const { return watch.Find({kRequest, {}}) != nullptr; }
  CrashReports Written() const {
    return DecodeCrashReports(store.last_write.puts.at(0).value).value();
  }
  // A report of another router.
  CrashReports ReportOfPeer(int target) const {
    return {{{CauseOf(kRequest), TargetStart("u-" + std::to_string(target)),
              clock.now, milliseconds(50), kRequest}},
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
  BOOST_TEST((Written().crashes.at(0).cause == CauseOf(kRequest)));
  BOOST_TEST(store.last_write.conditions.at(0).revision == 0);
}

// Guards against routers that are cut off from all targets and blame the
// requests that were running there.
BOOST_FIXTURE_TEST_CASE(ARouterWithoutLinksBlamesNobody, Fixture) {
  links_work = false;
  Lose(Target(1, dead));
  BOOST_REQUIRE(Await([&] { return link_checks == 3; }));
  BOOST_TEST(sent.empty());
  BOOST_TEST(watch.blame().Crashes(CauseOf(kRequest)) == 0U);
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
  BOOST_TEST(watch.blame().Crashes(CauseOf(kRequest)) == 1U);
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
  watch.OnStopped({RequestId("id"), {kRequest, {}}, target, milliseconds(50)});
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
  BOOST_TEST(watch.blame().Crashes(CauseOf(kRequest)) == 2U);
  BOOST_TEST(watch.IsOneCrashFromBlame({kRequest, {}}));
  BOOST_TEST(!IsBlamed());
  watch.OnPeer(Message(EncodeCrashReports(ReportOfPeer(3))));
  BOOST_TEST(IsBlamed());
  // Repeated and unreadable reports change nothing.
  watch.OnPeer(Message(EncodeCrashReports(ReportOfPeer(3))));
  watch.OnPeer(Message("\xff\xff"));
  watch.OnPeer(Message(""));
  BOOST_TEST(watch.blame().Crashes(CauseOf(kRequest)) == 3U);
}

BOOST_FIXTURE_TEST_CASE(WhatRanWellIsClearedAndTold, Fixture) {
  for (int n = 1; n <= 3; ++n) {
    watch.OnPeer(Message(EncodeCrashReports(ReportOfPeer(n))));
  }
  BOOST_REQUIRE(IsBlamed());
  watch.OnRan(Fingerprint("another"), clock.Now());
  BOOST_TEST(sent.empty());
  watch.OnRan(kRequest, clock.Now());
  BOOST_TEST(!IsBlamed());
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((DecodeCrashReports(sent[0].item_value)->ran.at(0).cause ==
              CauseOf(kRequest)));
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
    many.crashes.push_back({CauseId("r-" + std::to_string(n)),
                            TargetStart("t"),
                            clock.now,
                            {},
                            {}});
  }
  const auto read = DecodeCrashReports(EncodeCrashReports(many));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->crashes.size() == CrashReports::kMaxPerList);
}

// --- Parts of prompts --------------------------------------------------------

constexpr milliseconds kBetweenCrashes{300};

struct PartFixture : Fixture {
  // Several requests with the part crash targets of this router or of a peer.
  void Crash(int count) {
    for (int n = 0; n < count; ++n) {
      clock.now += kBetweenCrashes;
      const Fingerprint request("p-" + std::to_string(++crashes));
      watch.OnLost({RequestId("id"),
                    {request, {kPopular, kPart}},
                    Target(100 + crashes, dead),
                    milliseconds(50)});
      BOOST_REQUIRE(Await([&] {
        return watch.blame().Crashes(kPart) ==
               static_cast<std::size_t>(crashes);
      }));
    }
  }
  CrashReports ReportsOfPeer(int count) {
    CrashReports out;
    for (int n = 0; n < count; ++n) {
      clock.now += kBetweenCrashes;
      const std::string name = "v-" + std::to_string(++crashes);
      for (const CauseId& it : {kPart, kPopular}) {
        out.crashes.push_back({it, TargetStart(name), clock.now,
                               milliseconds(50), Fingerprint(name)});
      }
    }
    return out;
  }
  bool IsRefused(const std::vector<CauseId>& parts) const {
    return watch.Find({Fingerprint("new"), parts}) != nullptr;
  }
  std::size_t RunsTold() const {
    std::size_t out = 0;
    for (const PeerMessage& it : sent)
      out += DecodeCrashReports(it.item_value)->ran.size();
    return out;
  }

  const CauseId kPopular = CauseOf(ServiceName("llm"), 0xaa);
  const int kEnough = static_cast<int>(kCrashesToBlamePart);
  int crashes = 0;
};

BOOST_FIXTURE_TEST_CASE(APartThatCrashesTargetsIsRefusedAndStored,
                        PartFixture) {
  watch.OnPartsRan({kPopular}, clock.Now());
  Crash(kEnough);
  BOOST_TEST(IsRefused({kPopular, kPart}));
  BOOST_REQUIRE(Await([&] { return RunsTold() == 1U; }));
  BOOST_TEST(!IsRefused({kPopular}));
  BOOST_REQUIRE(Await([&] { return store.writes.started >= 1U; }));
}

BOOST_FIXTURE_TEST_CASE(APartIsKnownFromPeersAndTheStore, PartFixture) {
  const CrashReports reports = ReportsOfPeer(kEnough);
  watch.OnPeer(Message(EncodeCrashReports(reports)));
  BOOST_TEST(IsRefused({kPopular, kPart}));
  BOOST_TEST((DecodeCrashReports(EncodeCrashReports(reports))->crashes ==
              reports.crashes));
}

// Of the routers that know a good run, one tells it.
BOOST_FIXTURE_TEST_CASE(AGoodRunThatAnotherHasToldIsNotTold, PartFixture) {
  watch.OnPartsRan({kPopular}, clock.Now());
  CrashReports reports = ReportsOfPeer(2);
  reports.ran.push_back({kPopular, clock.now});
  watch.OnPeer(Message(EncodeCrashReports(reports)));
  RunFor(loop, kWriteTime);
  BOOST_TEST(RunsTold() == 0U);
  BOOST_TEST(store.writes.started == 0U);
}

// Guards against a wrong blame of a popular part that doesn't end, as nothing
// with the part runs any more.
BOOST_FIXTURE_TEST_CASE(ABlamedPartIsTestedByTheLatestReporter, PartFixture) {
  const RequestCauses request{Fingerprint("new"), {kPopular, kPart}};
  Crash(kEnough);
  BOOST_REQUIRE(IsRefused({kPopular, kPart}));
  BOOST_TEST(!watch.TakeTest(RequestId("id"), request));
  clock.now += kTestsOfPart.min_delay;
  BOOST_TEST(watch.TakeTest(RequestId("id"), request));
  BOOST_TEST(!watch.TakeTest(RequestId("id"), request));
  // It ran well.
  watch.OnPartsRan({kPopular, kPart}, clock.Now());
  BOOST_TEST(Await([&] { return !IsRefused({kPopular, kPart}); }));
}

BOOST_FIXTURE_TEST_CASE(OtherRoutersLeaveTheTestToTheLatestReporter,
                        PartFixture) {
  watch.OnPeer(Message(EncodeCrashReports(ReportsOfPeer(kEnough))));
  clock.now += std::chrono::minutes(5);
  BOOST_TEST(!watch.TakeTest(RequestId("id"),
                             {Fingerprint("new"), {kPopular, kPart}}));
}

// The part that is suspected already is among those that are reported, however
// many a request has.
BOOST_FIXTURE_TEST_CASE(AHarmfulPartAmongHundredsIsFound, PartFixture) {
  watch.OnPeer(Message(EncodeCrashReports(ReportsOfPeer(1))));
  for (int n = 0; n < kEnough; ++n) {
    clock.now += kBetweenCrashes;
    std::vector<CauseId> parts;
    for (int part = 0; part < 500; ++part) {
      parts.push_back(CauseOf(ServiceName("llm"),
                              PartId{1000} + static_cast<PartId>(n) * 500 +
                                  static_cast<PartId>(part)));
    }
    parts.push_back(kPart);
    watch.OnLost({RequestId("id"),
                  {Fingerprint("h-" + std::to_string(n)), parts},
                  Target(200 + n, dead),
                  milliseconds(50)});
    BOOST_REQUIRE(Await([&] {
      return watch.blame().Crashes(kPart) == static_cast<std::size_t>(n) + 2;
    }));
    BOOST_TEST(sent.back().item_value.size() < 8000U);
  }
  BOOST_TEST(IsRefused({kPart}));
  BOOST_TEST(watch.blame().size() <= 100U);
  BOOST_REQUIRE(Await([&] { return store.writes.started >= 1U; }));
  BOOST_TEST(Written().crashes.size() <= CrashReports::kMaxPerList);
}

BOOST_AUTO_TEST_CASE(GoodRunsOfManyPartsAreBounded) {
  PartRuns runs;
  const WallTime now = WallTime(std::chrono::hours(1000));
  const CauseId popular = CauseOf(ServiceName("llm"), 1);
  for (std::size_t n = 0; n < 3 * PartRuns::kMaxParts; ++n) {
    runs.Note({popular, CauseOf(ServiceName("llm"), 100 + n)}, now);
    BOOST_REQUIRE(runs.size() <= PartRuns::kMaxParts);
  }
  BOOST_TEST(runs.LatestOf(popular).has_value());
}

BOOST_AUTO_TEST_CASE(AnyBytesAreReadOrRefused) {
  rc::check([](const std::string& bytes) {
    const auto it = DecodeCrashReports(bytes);
    if (it) RC_ASSERT(it->crashes.size() <= CrashReports::kMaxPerList);
  });
  // Valid reports with a byte changed or cut short.
  const std::string real = EncodeCrashReports(
      {{{CauseOf(kRequest),
         TargetStart("t"),
         WallTime(milliseconds(5)),
         {},
         {}},
        {kPart, TargetStart("t"), WallTime(milliseconds(5)), {}, kRequest}},
       {{CauseOf(kRequest), WallTime(milliseconds(6))}}});
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
