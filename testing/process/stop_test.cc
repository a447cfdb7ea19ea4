// Tests planned stops of a router: requests in flight finish within the drain
// time, later they are answered with an error and billed, grants are returned,
// and the exit code is 0.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <optional>
#include <string>

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

// A caller's raw connection, which a test reads and closes when it wants.
class CallerSocket {
 public:
  explicit CallerSocket(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    BOOST_REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) ==
                  0);
  }
  ~CallerSocket() { close(fd_); }
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;

  void Send(const TestRequest& request) {
    std::string text =
        request.method + " " + request.path + " HTTP/1.1\r\nHost: x\r\n";
    for (const HttpHeader& it : request.headers) {
      text += it.name + ": " + it.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(request.body.size()) +
            "\r\n\r\n" + request.body;
    send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  // Reads received bytes, up to `kPiece`. False once the connection has ended.
  bool Read() {
    constexpr std::size_t kPiece = 256 * 1024;
    std::string piece(kPiece, '\0');
    const ssize_t n = recv(fd_, piece.data(), piece.size(), MSG_DONTWAIT);
    if (n < 0) return errno == EAGAIN;
    received.append(piece, 0, static_cast<std::size_t>(n));
    return n > 0;
  }

  // Removes and returns the first complete answer from the bytes read. The
  // answer must have a Content-Length.
  std::optional<std::string> TakeAnswer() {
    static const std::string kLength = "Content-Length: ";
    const std::size_t head = received.find("\r\n\r\n");
    const std::size_t length = received.find(kLength);
    if (head == std::string::npos || length > head) return std::nullopt;
    const std::size_t size =
        head + 4 + std::stoul(received.substr(length + kLength.size(), 20));
    if (received.size() < size) return std::nullopt;
    std::string out = received.substr(0, size);
    received.erase(0, size);
    return out;
  }

  std::string received;

 private:
  int fd_;
};

struct StopFixture : FleetFixture {
  StopFixture() { AwaitWitnesses(); }

  void StartStreams(int router, int count, int tokens) {
    for (int n = 0; n < count; ++n) {
      ++started;
      const std::string prompt = "stop " + std::to_string(started);
      fleet.Begin(fleet.Router(router),
                  RouterFleet::Chat(kLakhon, prompt, tokens, true),
                  [this, prompt, tokens](const TestReply& it) {
                    ++ended;
                    const ReceivedStream parsed = ReadStream(it.body);
                    const bool right =
                        parsed.done &&
                        parsed.text == ExpectedText(prompt, tokens);
                    if (right) ++complete;
                  });
    }
  }

  bool Ready(int router) {
    TestRequest request;
    request.path = "/readyz";
    return fleet.Call(fleet.Process(Fleet::RouterName(router)).admin, request)
               .status == 200;
  }

  int started = 0;
  int ended = 0;
  int complete = 0;
};

BOOST_FIXTURE_TEST_CASE(SigtermCutsNothingAndReturnsGrants, StopFixture) {
  StartStreams(1, 8, 150);
  BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() == 8; }));
  fleet.Kill("router-1", SIGTERM);
  BOOST_TEST(fleet.WaitFor([&] { return !Ready(1); }));
  const int status = fleet.Await("router-1");
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
  BOOST_TEST(fleet.WaitFor([&] { return ended == 8; }));
  BOOST_TEST(complete == 8);
  CheckBills();
  std::string ledger;
  fleet.Command({"budget", "show", "--kv=" + fleet.Process("kv").address},
                &ledger);
  // The two routers that stay have grants of an eighth each.
  BOOST_TEST(Budget("lakhon")["outstanding"].get<long long>() <= 500000);
}

BOOST_FIXTURE_TEST_CASE(RollingReplacementUnderLoadLosesNothing, StopFixture) {
  for (int round = 1; round <= 3; ++round) {
    for (int n = 1; n <= 3; ++n) StartStreams(n, 4, 60);
    fleet.Kill(Fleet::RouterName(round), SIGTERM);
    // From here on, the balancer sends requests to the other routers.
    const int next = round % 3 + 1;
    BOOST_TEST(fleet.WaitFor([&] { return !Ready(round); }));
    StartStreams(next, 4, 60);
    const int status = fleet.Await(Fleet::RouterName(round));
    BOOST_TEST(WEXITSTATUS(status) == 0);
    BOOST_REQUIRE(fleet.StartRouter(round));
    BOOST_REQUIRE(fleet.WaitFor([&] { return Ready(round); }));
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == started; }));
  BOOST_TEST(complete == started);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(DrainCommandStopsARouter, StopFixture) {
  std::string output;
  const int code = fleet.Command(
      {"drain", "--admin=" + fleet.Process("router-2").admin}, &output);
  BOOST_TEST(code == 0, output);
  const int status = fleet.Await("router-2");
  BOOST_TEST(WEXITSTATUS(status) == 0);
}

// Four callers of a router whose drain time ends while it serves them. There is
// no other router that could answer or bill their requests.
struct CutFixture : FleetFixture {
  static constexpr int kSlots = 2;
  // At 10 ms for each token, these take far longer than the stop.
  static constexpr int kManyTokens = 4000;

  static RouterFleetSpec OneBusyRouter() {
    RouterFleetSpec out;
    out.routers = 1;
    out.engines = 1;
    out.services = 1;
    out.engine_slots = kSlots;
    out.router_flags = {"--drain-ms=300"};
    return out;
  }

  CutFixture() : FleetFixture(OneBusyRouter()) {
    fleet.Control("forms-1", "mode?mode=hang");
    StartCall(stream, RouterFleet::Chat(kLakhon, "stream", kManyTokens, true));
    StartCall(answer, RouterFleet::Chat(kLakhon, "answer", kManyTokens, false));
    BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() == kSlots; }));
    StartCall(queued, RouterFleet::Chat(kLakhon, "queued", 1, false));
    StartCall(signing, RouterFleet::Service(kLakhon, "/sign", "{}", "key-1"));
    BOOST_REQUIRE(fleet.WaitFor([&] {
      return Status(1)["requests"] == 4 && ServiceRuns("key-1") == 1;
    }));
  }

  void StartCall(std::optional<TestReply>& out, const TestRequest& request) {
    fleet.Begin(fleet.Router(1), request,
                [&out](const TestReply& it) { out = it; });
  }

  void StopAndAwaitAnswers() {
    fleet.Kill("router-1", SIGTERM);
    const int status = fleet.Await("router-1");
    BOOST_TEST(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == 0);
    BOOST_REQUIRE(
        fleet.WaitFor([&] { return stream && answer && queued && signing; }));
  }

  // Whether the reply is a refusal with this status and value of "ran".
  static bool IsRefusal(const TestReply& reply, int status,
                        const std::string& ran) {
    const auto json = reply.Json();
    return reply.status == status && json.is_object() &&
           json.value("ran", "") == ran;
  }

  std::optional<TestReply> stream;
  std::optional<TestReply> answer;
  std::optional<TestReply> queued;
  std::optional<TestReply> signing;
};

// Guards against requests that aren't ended when `--drain-ms` is over. They
// went on for the 3 s left for returning grants, and their holds kept the
// grants from being returned. When the process then exited, their connections
// broke without an answer, even for a request that never ran, and what the
// engine had generated wasn't billed.
BOOST_FIXTURE_TEST_CASE(TheEndOfTheTimeAnswersAndBillsEachRequest, CutFixture) {
  StopAndAwaitAnswers();
  BOOST_TEST(IsRefusal(*queued, 503, "no"));
  BOOST_TEST(IsRefusal(*answer, 502, "unknown"));
  BOOST_TEST(IsRefusal(*signing, 502, "unknown"));
  // The stream had started, so its last event is an error, and [DONE] is
  // missing.
  const ReceivedStream parsed = ReadStream(stream->body);
  BOOST_TEST((stream->end == HttpEnd::kComplete));
  BOOST_TEST(parsed.error);
  BOOST_TEST(!parsed.done);
  for (const auto& it : fleet.Executions("engine")) {
    const std::string id = it["request_id"];
    BOOST_TEST(fleet.LogCount("drain_timed_out request=" + id) == 1);
  }
  CheckBills();
  BOOST_TEST(fleet.Bills().size() == 3U);
  BOOST_TEST(Budget("lakhon")["outstanding"] == 0);
}

// An answer that is far larger than the socket buffers.
struct LargeAnswerFixture : FleetFixture {
  static constexpr int kTokenBytes = 64 * 1024;
  static constexpr int kTokens = 400;  // 26 MB

  LargeAnswerFixture() : FleetFixture(LargeTokensSpec(kTokenBytes)) {}
};

// Guards against an exit while a caller still reads its answer. A request
// counts as ended once its answer is in the connection's buffer, so the router
// exited 50 ms after its grants were returned, with nearly all of `--drain-ms`
// left, and cut the answer. The caller here reads 256 KB every 10 ms.
BOOST_FIXTURE_TEST_CASE(AnAnswerThatIsBeingTakenIsNotCut, LargeAnswerFixture) {
  CallerSocket caller(fleet.port("router-1"));
  caller.Send(RouterFleet::Chat(kLakhon, "large", kTokens, false));
  // The router has the complete answer, and the request has ended.
  BOOST_REQUIRE(fleet.WaitFor([&] {
    const auto runs = fleet.Executions("engine");
    return runs.size() == 1 && runs[0]["ended"] == "complete" &&
           Status(1)["requests"] == 0;
  }));
  fleet.Kill("router-1", SIGTERM);
  std::optional<std::string> answer;
  BOOST_TEST(fleet.WaitFor([&] {
    const bool open = caller.Read();
    answer = caller.TakeAnswer();
    return answer || !open;
  }));
  BOOST_TEST(answer.has_value());
  const int status = fleet.Await("router-1");
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
  BOOST_TEST(fleet.LogCount("drain_timed_out") == 0);
}

// This and the next case guard against a stopping router that keeps callers'
// connections open. A caller that reuses its connection (as a balancer does)
// then sent request after request on it until the process exited, so that the
// last one was neither served nor refused. Here the first caller sends a
// request after each answer until it gets "Connection: close"; the second has a
// stream, and its connection must end with it.
BOOST_FIXTURE_TEST_CASE(AKeptConnectionIsEndedByItsNextAnswer, StopFixture) {
  TestRequest ask;
  ask.path = "/v1/models";
  ask.headers = {{"Authorization", std::string("Bearer ") + kLakhon}};
  CallerSocket caller(fleet.port("router-1"));
  // Keeps the router from exiting at once.
  StartStreams(1, 1, 300);
  BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() == 1; }));
  fleet.Kill("router-1", SIGTERM);
  BOOST_REQUIRE(fleet.WaitFor([&] { return !Ready(1); }));
  caller.Send(ask);
  int unanswered = 1;
  bool closing = false;
  BOOST_TEST(fleet.WaitFor([&] {
    const bool open = caller.Read();
    if (const auto answer = caller.TakeAnswer()) {
      --unanswered;
      closing = answer->find("Connection: close\r\n") != std::string::npos;
      if (!closing) {
        ++unanswered;
        caller.Send(ask);
      }
    }
    return closing || !open;
  }));
  BOOST_TEST(closing);
  BOOST_TEST(unanswered == 0);
  BOOST_TEST(fleet.WaitFor([&] { return !caller.Read(); }));
}

BOOST_FIXTURE_TEST_CASE(AStreamsEndIsItsConnectionsDuringAStop, StopFixture) {
  CallerSocket caller(fleet.port("router-1"));
  CallerSocket longer(fleet.port("router-1"));
  caller.Send(RouterFleet::Chat(kLakhon, "short", 50, true));
  longer.Send(RouterFleet::Chat(kLakhon, "longer", 300, true));
  BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() == 2; }));
  fleet.Kill("router-1", SIGTERM);
  BOOST_TEST(fleet.WaitFor([&] {
    longer.Read();
    return !caller.Read();
  }));
  static const std::string kEnd = "\r\n0\r\n\r\n";
  BOOST_TEST(caller.received.ends_with(kEnd));
  BOOST_TEST(!longer.received.ends_with(kEnd));
  BOOST_TEST(fleet.WaitFor([&] { return !longer.Read(); }));
  BOOST_TEST(longer.received.ends_with(kEnd));
}

// The bill of a request that is cut can't be written, and the router doesn't
// give up writing it during the test.
struct NoBillFixture : FleetFixture {
  static RouterFleetSpec LongBillTimeout() {
    RouterFleetSpec out;
    out.routers = 1;
    out.router_flags = {"--drain-ms=300", "--bill-patience-ms=60000"};
    return out;
  }

  NoBillFixture() : FleetFixture(LongBillTimeout()) {}
};

// Guards against a crash at exit with a request in flight: the process ended by
// SIGABRT and not with 0. The server freed the request with its connection, and
// the exchange answered it afterwards, so that libevent's "Assertion
// TAILQ_FIRST(&evcon->requests) == req failed in evhttp_send" ended the
// process.
BOOST_FIXTURE_TEST_CASE(ARequestInFlightAtTheExitIsNoCrash, NoBillFixture) {
  fleet.Begin(fleet.Router(1), RouterFleet::Chat(kLakhon, "long", 4000, false),
              [](const TestReply&) {});
  BOOST_REQUIRE(fleet.WaitFor([&] { return EngineRuns() == 1; }));
  fleet.Control("kv", "mode?mode=hang");
  fleet.Kill("router-1", SIGTERM);
  const int status = fleet.Await("router-1");
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace quaytrack
