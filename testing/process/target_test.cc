// Tests targets that leave, fail, hang or break their streams, and callers that
// disconnect.

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

using std::chrono::seconds;

struct TargetFixture : FleetFixture {
  TargetFixture() { AwaitWitnesses(); }

  int RunsAt(const std::string& engine) {
    int n = 0;
    for (const auto& it : fleet.Executions("engine")) {
      if (it["target"] == engine) ++n;
    }
    return n;
  }

  // The number of requests that engines have run. A request that moved away
  // from an engine that didn't answer polls has a run at both engines.
  std::size_t RequestsRun() {
    std::set<std::string> out;
    for (const auto& it : fleet.Executions("engine")) {
      out.insert(it["request_id"]);
    }
    return out.size();
  }

  // Starts `count` streams, over all routers.
  void BeginStreams(int count) {
    for (int n = 0; n < count; ++n) {
      fleet.Begin(
          fleet.Router(n % 3 + 1),
          RouterFleet::Chat(kLakhon, "s" + std::to_string(n), 100, true),
          [this](const TestReply& it) {
            ++streams_ended;
            if (ReadStream(it.body).done) ++streams_complete;
          });
    }
  }

  int Serve(int count, const std::string& name) {
    int complete = 0;
    for (int n = 0; n < count; ++n) {
      const TestReply it = fleet.Call(
          fleet.Router(n % 3 + 1),
          RouterFleet::Chat(kLakhon, name + std::to_string(n), 2, true));
      if (ReadStream(it.body).done) ++complete;
    }
    return complete;
  }

  // Waits until every router lists the target as leaving.
  void AwaitLeaving(const std::string& target) {
    for (int n = 1; n <= 3; ++n) {
      BOOST_REQUIRE(fleet.WaitFor([&] {
        const nlohmann::json status = Status(n);
        for (const auto& it : status["targets"]) {
          if (it["target"] == target && it["leaving"] == true) return true;
        }
        return false;
      }));
    }
  }

  // Counts the streams of `BeginStreams`.
  int streams_ended = 0;
  int streams_complete = 0;
};

BOOST_FIXTURE_TEST_CASE(LeavingTargetGetsNoNewWork, TargetFixture) {
  struct Way {
    const char* engine;
    const char* process;
    const char* control;
  };
  const Way ways[] = {
      {"engine-1", "vm-list", "set?name=vm-engine-1&state=leaving"},
      {"engine-2", "engine-2", "leaving"},
  };
  for (const Way& it : ways) {
    // Once a target leaves, requests run only at the others.
    fleet.Control(it.process, it.control);
    AwaitLeaving(it.engine);
    const int before = RunsAt(it.engine);
    BOOST_TEST(Serve(30, it.engine) == 30);
    BOOST_TEST(RunsAt(it.engine) == before);
  }
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(LeavingByBundleLetsStreamsFinish, TargetFixture) {
  BeginStreams(12);
  const bool all_run = fleet.WaitFor([&] { return RequestsRun() == 12; });
  BOOST_REQUIRE_MESSAGE(
      all_run, "requests run " << RequestsRun() << ", runs " << EngineRuns()
                               << ", ended " << streams_ended << ", complete "
                               << streams_complete);
  fleet.Control("vm-list", "set?name=vm-engine-3&state=leaving");
  AwaitLeaving("engine-3");
  BOOST_TEST(fleet.WaitFor([&] { return streams_ended == 12; }));
  BOOST_TEST(streams_complete == 12);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(StreamsThatMovedCountOnce, TargetFixture) {
  fleet.Kill("engine-2", SIGSTOP);
  BeginStreams(12);
  BOOST_TEST(fleet.WaitFor([&] { return streams_ended == 12; }));
  BOOST_TEST(streams_complete == 12);
  // It now reads the requests that were given up there.
  fleet.Kill("engine-2", SIGCONT);
  BOOST_TEST(fleet.WaitFor([&] { return EngineRuns() > 12; }));
  BOOST_TEST(RequestsRun() == 12U);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(DeadEngineIsRoutedAround, TargetFixture) {
  fleet.Kill("engine-2", SIGKILL);
  BOOST_TEST(Serve(40, "dead") == 40);
}

BOOST_FIXTURE_TEST_CASE(FrozenEngineIsRoutedAround, TargetFixture) {
  fleet.Kill("engine-2", SIGSTOP);
  int ended = 0;
  int complete = 0;
  for (int n = 0; n < 30; ++n) {
    fleet.Begin(
        fleet.Router(n % 3 + 1),
        RouterFleet::Chat(kLakhon, "frozen" + std::to_string(n), 2, true),
        [&](const TestReply& it) {
          ++ended;
          if (ReadStream(it.body).done) ++complete;
        });
  }
  // Long before the attempts would time out (30 s).
  BOOST_TEST(fleet.WaitFor([&] { return ended == 30; }, seconds(15)));
  BOOST_TEST(complete == 30);
  fleet.Kill("engine-2", SIGCONT);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(RefusingEngineIsRoutedAround, TargetFixture) {
  fleet.Control("engine-1", "mode?mode=refuse");
  BOOST_TEST(Serve(40, "full") == 40);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(BrokenStreamIsSaidToBeBroken, TargetFixture) {
  for (int n = 1; n <= 3; ++n) {
    fleet.Control("engine-" + std::to_string(n), "mode?mode=reset&after=5");
  }
  const TestReply it =
      fleet.Call(fleet.Router(1), RouterFleet::Chat(kLakhon, "cut", 50, true));
  const ReceivedStream received = ReadStream(it.body);
  BOOST_TEST(!received.done);
  BOOST_TEST(received.error);
  BOOST_TEST(received.text == ExpectedText("cut", 5));
  BOOST_TEST(it.body.find("\"ran\":\"unknown\"") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(CallerThatLeavesCancelsAndPaysForWhatRan,
                        TargetFixture) {
  auto call = fleet.Begin(fleet.Router(1),
                          RouterFleet::Chat(kLakhon, "leaver", 3000, true),
                          [](const TestReply&) {});
  BOOST_REQUIRE(fleet.WaitFor([&] {
    const auto runs = fleet.Executions("engine");
    return !runs.empty() && runs[0]["output_tokens"].get<int>() > 5;
  }));
  call->Cancel();
  BOOST_REQUIRE(fleet.WaitFor(
      [&] { return fleet.Executions("engine")[0]["ended"] == "cancelled"; }));
  CheckBills();
  BOOST_TEST(fleet.WaitFor([&] { return Status(1)["requests"] == 0; }));
}

BOOST_FIXTURE_TEST_CASE(EngineWithoutUsageIsBilledItsWorstCase, TargetFixture) {
  for (int n = 1; n <= 3; ++n) {
    fleet.Control("engine-" + std::to_string(n), "mode?mode=no_usage");
  }
  BOOST_TEST(Serve(1, "blind") == 1);
  // 6 prompt bytes, 16 for the template, 2 tokens.
  BOOST_TEST(fleet.WaitFor([&] { return fleet.Bills().size() == 1; }));
  BOOST_TEST(fleet.Bills()[0]["tokens"] == 24);
}

BOOST_FIXTURE_TEST_CASE(HopelessDeadlineIsRefusedAtOnce, TargetFixture) {
  // Every slot is in use for longer than the deadline.
  int ended = 0;
  for (int n = 0; n < 150; ++n) {
    fleet.Begin(
        fleet.Router(1),
        RouterFleet::Chat(kLakhon, "fill" + std::to_string(n), 200, true),
        [&](const TestReply&) { ++ended; });
  }
  BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() >= 48; }));
  TestRequest hurried = RouterFleet::Chat(kLakhon, "hurry", 5, true);
  hurried.headers.push_back({"X-Deadline-Ms", "100"});
  const TestReply it = fleet.Call(fleet.Router(1), hurried);
  BOOST_TEST(it.status == 503);
  BOOST_TEST(it.Json()["error"]["code"] == "deadline_unreachable");
  BOOST_TEST(it.Json()["ran"] == "no");
  BOOST_TEST(it.Json()["error"]["retry_after_ms"].get<int>() > 0);
}

}  // namespace
}  // namespace quaytrack
