// How runs are ended at targets over loopback: what is reported and when, and
// that no copy of a cache stays behind.

#include "relay/run_stopper.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kMovedAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nc-1";
constexpr char kOthersAnswer[] =
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nc-9";

// The cache's name is the body of an answer.
class PlainTargets final : public TargetDialect {
 public:
  std::string Head(const HttpHead&, const SendFacts&,
                   std::size_t) const override {
    return "";
  }
  AnswerFacts Read(const HttpHead& head) const override {
    AnswerFacts out;
    if (const std::string* id = head.Find("X-Id")) out.request = RequestId(*id);
    return out;
  }
  std::string MoveRun(const RunMove& move) const override {
    return "POST /move/" + move.run.id.value + "/" + move.destination +
           " HTTP/1.1\r\n\r\n";
  }
  StoppedRun ReadMove(int, std::string_view body) const override {
    return {RunEnd::kMoved, std::string(body)};
  }
  std::string DropCache(const StreamRun&,
                        const std::string& cache) const override {
    return "DELETE /" + cache + " HTTP/1.1\r\n\r\n";
  }
  std::string CacheFrom(const StreamRun&, const std::string&) const override {
    return "";
  }
};

struct Fixture {
  Fixture() { port = listener.Listen("127.0.0.1:0"); }

  void Accept(int fd) {
    auto socket = TcpSocket::Adopt(loop, fd, TcpOptions());
    TcpSocket::Handlers on;
    TcpSocket* raw = socket.get();
    on.data = [this, raw](std::string_view bytes) {
      received += bytes;
      if (!received_at) received_at = clock.Now();
      if (!answer.empty()) raw->Write(answer);
    };
    socket->SetHandlers(std::move(on));
    sockets.push_back(std::move(socket));
  }
  RunMove Move() const {
    return {{TargetName("e-1"), "127.0.0.1:" + std::to_string(port),
             RequestId("s-1")},
            "d:1"};
  }
  void Stop() {
    stops.Stop(Move(), [this](const StoppedRun& it) { ends.push_back(it); });
  }
  bool HasReceived(const std::string& text) const {
    return received.find(text) != std::string::npos;
  }

  Loop loop;
  SystemClock clock;
  std::uint16_t port = 0;
  std::string answer = kMovedAnswer;
  std::string received;
  std::optional<Instant> received_at;
  std::vector<std::shared_ptr<TcpSocket>> sockets;
  TcpListener listener{loop, [this](int fd) { Accept(fd); }};
  PlainTargets dialect;
  RelayMetrics metrics;
  TargetConnections targets{loop, clock};
  RunStopper stops{loop, clock, targets, dialect, metrics};
  std::vector<StoppedRun> ends;
};

BOOST_FIXTURE_TEST_CASE(TheTargetsAnswerIsReported, Fixture) {
  Stop();
  BOOST_TEST(ends.empty());
  RunFor(loop, milliseconds(60));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].end == RunEnd::kMoved));
  BOOST_TEST(ends[0].cache == "c-1");
  BOOST_TEST(HasReceived("POST /move/s-1/d:1"));
  BOOST_TEST(!HasReceived("DELETE"));
}

// Guards against a caller that waits for a target that has ended without a
// sign, and against a copy that nobody uses.
BOOST_FIXTURE_TEST_CASE(ASilentTargetIsNotAwaitedAndItsLateCopyDropped,
                        Fixture) {
  answer.clear();
  Stop();
  RunFor(loop, RunStopper::kAnswerTime + milliseconds(50));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].end == RunEnd::kNoAnswer));
  BOOST_REQUIRE(sockets.size() == 1U);
  answer = kMovedAnswer;
  sockets[0]->Write(kMovedAnswer);
  RunFor(loop, milliseconds(60));
  BOOST_TEST(ends.size() == 1U);
  BOOST_TEST(HasReceived("DELETE /c-1"));
}

BOOST_FIXTURE_TEST_CASE(AClosedPortIsReportedAtOnce, Fixture) {
  listener.Stop();
  Stop();
  RunFor(loop, milliseconds(60));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].end == RunEnd::kNoAnswer));
}

// Guards against an answer to an earlier request that is taken for this one's.
BOOST_FIXTURE_TEST_CASE(AnAnswerToAnotherRequestIsSkipped, Fixture) {
  answer = std::string(kOthersAnswer) + kMovedAnswer;
  Stop();
  RunFor(loop, milliseconds(60));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST(ends[0].cache == "c-1");
}

// Guards against an answer without end.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutEndIsCutOff, Fixture) {
  answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
           std::string(100'000, 'x');
  Stop();
  RunFor(loop, milliseconds(60));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].end == RunEnd::kRefused));
}

// Guards against copies for runs that have ended with their connections.
BOOST_FIXTURE_TEST_CASE(AfterACloseTheTargetIsLeftAMomentAndTheCopyDropped,
                        Fixture) {
  const Instant closed_at = clock.Now();
  stops.StopAfterClose(Move());
  RunFor(loop, RunStopper::kCloseTime + milliseconds(60));
  BOOST_REQUIRE(received_at.has_value());
  BOOST_TEST((*received_at - closed_at >= RunStopper::kCloseTime));
  BOOST_TEST(HasReceived("POST /move/s-1/d:1"));
  BOOST_TEST(HasReceived("DELETE /c-1"));
}

// Guards against orders that are used after the report of one has given others.
BOOST_FIXTURE_TEST_CASE(AReportMayGiveFurtherOrders, Fixture) {
  constexpr int kOrders = 4;
  std::function<void()> order = [&] {
    stops.Stop(Move(), [&](const StoppedRun& it) {
      ends.push_back(it);
      for (int n = 0; n < 2 && ends.size() < kOrders; ++n) order();
    });
  };
  order();
  RunFor(loop, milliseconds(200));
  BOOST_TEST(ends.size() >= static_cast<std::size_t>(kOrders));
}

}  // namespace
}  // namespace quaytrack
