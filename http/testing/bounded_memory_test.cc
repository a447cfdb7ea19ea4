// Tests of callers' connections and sockets where memory is bounded: what is
// counted as held, which bodies are refused before they are read, and callers
// that leave their answers unread.

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/caller_server.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

std::string Post(std::size_t length) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

struct Fixture {
  Fixture() {
    CallerMemory memory;
    memory.admits_body = [this](std::size_t bytes) {
      asked.push_back(bytes);
      return bytes <= largest;
    };
    memory.max_pending = [this] { return max_pending; };
    server.SetMemory(std::move(memory));
    server.Serve([this](const std::shared_ptr<CallerConnection>& caller,
                        CallerRequest request) {
      requests.push_back(std::move(request));
      callers.push_back(caller);
      if (!answers) return;
      HttpHead head;
      head.status = requests.back().body_refused ? 503 : 200;
      caller->Reply(head, answer);
    });
    const std::uint16_t port = server.Listen("127.0.0.1:0");
    TcpSocket::Handlers on;
    on.data = [this](std::string_view bytes) { received += bytes; };
    on.ended = [this](SocketEnd end) {
      ended = true;
      was_reset = end == SocketEnd::kReset;
    };
    socket = TcpSocket::Connect(loop, "127.0.0.1:" + std::to_string(port),
                                TcpOptions(), std::move(on));
  }

  void Send(std::string_view bytes) {
    socket->Write(bytes);
    RunFor(loop, milliseconds(50));
  }
  std::size_t Held() { return loop.held().total() - socket->held(); }

  SystemClock clock;
  Loop loop;
  CallerServer server{loop, clock};
  std::size_t largest = 10'000;
  std::size_t max_pending = 64 * 1024;
  bool answers = true;
  std::string answer = "ok";
  std::vector<std::size_t> asked;
  std::vector<CallerRequest> requests;
  std::vector<std::shared_ptr<CallerConnection>> callers;
  std::shared_ptr<TcpSocket> socket;
  std::string received;
  bool ended = false;
  bool was_reset = false;
};

// --- Bodies ------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(AnAdmittedBodyIsReadAsBefore, Fixture) {
  Send(Post(10'000) + std::string(10'000, 'x'));
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(!requests[0].body_refused);
  BOOST_TEST(requests[0].body.size() == 10'000U);
  BOOST_TEST(received.starts_with("HTTP/1.1 200"));
  BOOST_TEST(!ended);
  BOOST_TEST(Held() == 0U);
}

// Guards against reading a body that there is no memory for: the announced size
// suffices to refuse it.
BOOST_FIXTURE_TEST_CASE(ALargeBodyIsRefusedBeforeItArrives, Fixture) {
  Send(Post(10'001));
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].body_refused);
  BOOST_TEST(requests[0].refused_bytes == 10'001U);
  BOOST_TEST(requests[0].body.empty());
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(received.find("Connection: close") != std::string::npos);
}

// Guards against a refusal that is lost by a reset, and against a body that is
// taken for a request.
BOOST_FIXTURE_TEST_CASE(TheRestOfARefusedBodyIsDiscarded, Fixture) {
  largest = 0;
  Send(Post(200'000) + std::string(100'000, 'x'));
  Send(std::string(100'000, 'x') + Post(0));
  BOOST_TEST(requests.size() == 1U);
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(!was_reset);
  BOOST_TEST(Held() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ABodyOfUnknownLengthIsRefusedWhenItGrowsTooLarge,
                        Fixture) {
  Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  Send("1388\r\n" + std::string(5'000, 'x') + "\r\n");
  BOOST_TEST(requests.empty());
  BOOST_TEST(Held() >= 5'000U);
  Send("1770\r\n" + std::string(6'000, 'x') + "\r\n0\r\n\r\n");
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].body_refused);
  BOOST_TEST(requests[0].refused_bytes == 11'000U);
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(Held() == 0U);
}

// Memory may fill while an admitted body is read.
BOOST_FIXTURE_TEST_CASE(ABodyThatStallsCanBeRefusedLater, Fixture) {
  Send(Post(8'000) + std::string(4'000, 'x'));
  BOOST_TEST(Held() >= 4'000U);
  std::shared_ptr<CallerConnection> caller;
  server.ForEach([&](const auto& it) { caller = it; });
  BOOST_REQUIRE(caller->IsReadingBody());
  BOOST_TEST(caller->held() >= 4'000U);
  caller->RefuseBody();
  RunFor(loop, milliseconds(50));
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].refused_bytes == 4'000U);
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
  Send(std::string(4'000, 'x'));
  BOOST_TEST(requests.size() == 1U);
}

// A caller that waits for this would send the body after all.
BOOST_FIXTURE_TEST_CASE(ARefusedBodyIsNotAskedFor, Fixture) {
  std::string head = Post(20'000);
  head.insert(head.size() - 2, "Expect: 100-continue\r\n");
  Send(head);
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
}

// Backpressure: reading from a caller pauses while its target doesn't accept
// its request.
BOOST_FIXTURE_TEST_CASE(ACallerIsNotReadFarBeyondARunningRequest, Fixture) {
  answers = false;
  max_pending = 8'000;
  Send(Post(0));
  BOOST_REQUIRE(requests.size() == 1U);
  for (int n = 0; n < 40; ++n) Send(Post(0) + std::string(100'000, 'x'));
  BOOST_TEST(Held() > 0U);
  BOOST_TEST(Held() <= 2 * (8'000U + 64 * 1024));
}

// --- Unread answers ----------------------------------------------------------

constexpr std::size_t kLarge = 8 << 20;

struct UnreadFixture : Fixture {
  UnreadFixture() {
    answer = std::string(kLarge, 'x');
    Send("");
    socket->PauseReading();
    Send(Post(0));
  }
  void ReadAll(std::size_t bytes) {
    socket->ResumeReading();
    for (int n = 0; n < 100 && received.size() < bytes; ++n)
      RunFor(loop, milliseconds(50));
  }
};

BOOST_FIXTURE_TEST_CASE(UnreadBytesCountUntilTheyAreTaken, UnreadFixture) {
  BOOST_TEST(Held() > kLarge / 4);
  BOOST_TEST(callers[0]->held() == Held());
  ReadAll(kLarge);
  BOOST_TEST(received.size() > kLarge);
  BOOST_TEST(Held() <= 4U * 1024);
}

// Guards against an unread answer that waits in the kernel, where it isn't
// counted, and against a buffer whose sent part stays allocated.
BOOST_FIXTURE_TEST_CASE(WhatIsTakenIsFreedMeanwhile, UnreadFixture) {
  const std::size_t before = Held();
  socket->ResumeReading();
  while (received.size() < kLarge * 3 / 4) RunFor(loop, milliseconds(1));
  socket->PauseReading();
  BOOST_TEST(Held() < before);
  BOOST_TEST(Held() <= 2 * callers[0]->Unsent() + 4 * 1024);
}

// Guards against growth without bound by a caller that sends requests and reads
// no answer.
BOOST_FIXTURE_TEST_CASE(ACallerThatDoesntReadGetsNoFurtherAnswer,
                        UnreadFixture) {
  for (int n = 0; n < 5; ++n) Send(Post(0));
  BOOST_TEST(requests.size() == 1U);
  // A planned stop waits for the requests that were sent.
  BOOST_TEST(server.Unfinished() == 1U);
  server.CloseIdle();
  BOOST_TEST(server.connections() == 1U);
  answer = "ok";
  ReadAll(kLarge + 5 * 20);
  RunFor(loop, milliseconds(100));
  BOOST_TEST(requests.size() == 6U);
  BOOST_TEST(server.Unfinished() == 0U);
  BOOST_TEST(!ended);
}

BOOST_FIXTURE_TEST_CASE(ACutAnswerIsFreedAndLooksBroken, UnreadFixture) {
  callers[0]->Cut();
  callers.clear();
  BOOST_TEST(Held() == 0U);
  ReadAll(kLarge);
  BOOST_TEST(ended);
  BOOST_TEST(received.size() < kLarge);
}

BOOST_FIXTURE_TEST_CASE(ProgressShowsOnlyWhileTheCallerReads, UnreadFixture) {
  RunFor(loop, milliseconds(300));
  const std::uint64_t before = callers[0]->Moved();
  RunFor(loop, milliseconds(100));
  BOOST_TEST(callers[0]->Moved() == before);
  socket->ResumeReading();
  RunFor(loop, milliseconds(50));
  BOOST_TEST(callers[0]->Moved() > before);
}

// --- The count ---------------------------------------------------------------

BOOST_AUTO_TEST_CASE(ACountIsTakenBackWithItsOwner) {
  HeldBytes total;
  {
    HeldCount one(total);
    HeldCount other(total);
    one.Set(100);
    other.Set(50);
    one.Set(30);
    BOOST_TEST(total.total() == 80U);
  }
  BOOST_TEST(total.total() == 0U);
}

BOOST_AUTO_TEST_CASE(AnAlarmRunsOnceForEachTimeThatItIsSet) {
  HeldBytes total;
  HeldCount one(total);
  int alarms = 0;
  total.SetAlarm(100, [&] { ++alarms; });
  one.Set(100);
  BOOST_TEST(alarms == 0);
  one.Set(101);
  one.Set(500);
  BOOST_TEST(alarms == 1);
  total.SetAlarm(400, [&] { ++alarms; });
  BOOST_TEST(alarms == 2);
}

}  // namespace
}  // namespace quaytrack
