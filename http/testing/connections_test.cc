// Tests of TargetConnections and CallerServer over loopback: how calls end
// after failures, which connections are reused, and how connections are closed.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/caller_server.h"
#include "http/target_connection.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n";
constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
constexpr char kForeign[] =
    "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nno";

std::string AnswerTo(const std::string& request, int status) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Id: " + request +
         "\r\nContent-Length: 2\r\n\r\nok";
}

// A target that answers each read on a connection with the next of `answers`;
// an empty answer closes the connection.
struct Target {
  explicit Target(Loop& it) : loop(it) {
    port = listener.Listen("127.0.0.1:0");
  }

  void Accept(int fd) {
    auto socket = TcpSocket::Adopt(loop, fd, TcpOptions());
    TcpSocket::Handlers on;
    TcpSocket* raw = socket.get();
    on.data = [this, raw](std::string_view bytes) {
      received += bytes;
      if (answers.empty()) return;
      const std::string answer = answers.front();
      answers.erase(answers.begin());
      if (answer.empty()) return raw->Close();
      raw->Write(answer);
      if (close_after_answer) raw->Close();
    };
    socket->SetHandlers(std::move(on));
    sockets.push_back(std::move(socket));
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  Loop& loop;
  TcpListener listener{loop, [this](int fd) { Accept(fd); }};
  std::uint16_t port = 0;
  std::vector<std::string> answers;
  bool close_after_answer = false;
  std::string received;
  std::vector<std::shared_ptr<TcpSocket>> sockets;
};

struct Result {
  std::optional<CallEnd> end;
  int heads = 0;
  std::string body;
};

struct Fixture {
  // Runs the loop until the call has ended, at most for `timeout`.
  Result Call(const std::string& address, const std::string& bytes = kRequest,
              Duration timeout = std::chrono::seconds(5)) {
    Result out;
    CallHandle::Handlers on;
    on.head = [&](const HttpHead& head) {
      ++out.heads;
      return *head.Find("X-Id") == "1";
    };
    on.body = [&](std::string_view it) { out.body += it; };
    on.end = [&](CallEnd it) {
      out.end = it;
      loop.Stop();
    };
    const auto call = connections.Start({address, bytes}, std::move(on));
    const auto timer = loop.After(timeout, [&] { loop.Stop(); });
    loop.Run();
    if (!out.end) call->Cancel();
    return out;
  }

  // Runs the loop until a call that carries the request has ended.
  Result CallFor(const std::string& request) {
    Result out;
    CallHandle::Handlers on;
    on.head = [&](const HttpHead& head) {
      return *head.Find("X-Id") == request;
    };
    on.body = [&](std::string_view it) { out.body += it; };
    on.end = [&](CallEnd it) {
      out.end = it;
      loop.Stop();
    };
    TargetCall call;
    call.address = target.Address();
    call.bytes = kRequest;
    call.request = request;
    const auto handle = connections.Start(call, std::move(on));
    loop.Run();
    return out;
  }

  // Runs the loop until a call with `may_send` has ended.
  Result CallIf(const std::function<bool()>& may_send) {
    Result out;
    CallHandle::Handlers on;
    on.head = [](const HttpHead&) { return true; };
    on.body = [&](std::string_view it) { out.body += it; };
    on.end = [&](CallEnd it) {
      out.end = it;
      loop.Stop();
    };
    const auto call = connections.Start({target.Address(), kRequest, may_send},
                                        std::move(on));
    loop.Run();
    return out;
  }

  void RunFor(Duration d) { quaytrack::RunFor(loop, d); }

  SystemClock clock;
  Loop loop;
  Target target{loop};
  TargetConnections connections{loop, clock};
};

// Guards against the report of a cancelled call whose connection couldn't be
// opened: it would be taken for that of the attempt that has followed.
BOOST_FIXTURE_TEST_CASE(ACancelledCallReportsNothing, Fixture) {
  TargetConnections unopened(loop, clock, [](auto&&...) { return nullptr; });
  bool has_ended = false;
  CallHandle::Handlers on;
  on.end = [&](CallEnd) { has_ended = true; };
  const auto call = unopened.Start({target.Address(), kRequest}, on);
  call->Cancel();
  RunFor(milliseconds(20));
  BOOST_TEST(!has_ended);
}

BOOST_FIXTURE_TEST_CASE(AConnectionIsUsedAgainAfterACleanExchange, Fixture) {
  target.answers = {kAnswer, kAnswer};
  for (int n = 0; n < 2; ++n) {
    const Result it = Call(target.Address());
    BOOST_TEST((it.end == CallEnd::kComplete));
    BOOST_TEST(it.body == "ok");
  }
  BOOST_TEST(connections.opened() == 1U);
}

// Guards against a request sent to a target that is no longer eligible: that
// may change while the connection opens.
BOOST_FIXTURE_TEST_CASE(ACallIsHeldBackAtTheLastMoment, Fixture) {
  int checks = 0;
  const Result it = CallIf([&] {
    ++checks;
    return false;
  });
  BOOST_TEST((it.end == CallEnd::kCancelledBeforeSend));
  BOOST_TEST(checks == 1);
  RunFor(milliseconds(50));
  BOOST_TEST(target.received.empty());
}

BOOST_FIXTURE_TEST_CASE(ACallThatMayBeSentIsSentOnce, Fixture) {
  target.answers = {kAnswer};
  const Result it = CallIf([] { return true; });
  BOOST_TEST((it.end == CallEnd::kComplete));
  BOOST_TEST(target.received == kRequest);
}

// Guards against later requests to a target that has ended: an idle connection
// that closes without an announcement is a sign of it.
BOOST_FIXTURE_TEST_CASE(AnIdleConnectionThatEndsEarlyIsTold, Fixture) {
  std::vector<std::string> reported;
  connections.OnUnexpectedEnd(
      [&](const std::string& it) { reported.push_back(it); });
  target.answers = {kAnswer};
  Call(target.Address());
  BOOST_TEST(reported.empty());
  target.sockets[0]->Close();
  RunFor(milliseconds(50));
  BOOST_REQUIRE(reported.size() == 1U);
  BOOST_TEST(reported[0] == target.Address());
}

BOOST_FIXTURE_TEST_CASE(AnAnswerToAnotherRequestIsReadPast, Fixture) {
  target.answers = {std::string(kForeign) + kAnswer, kAnswer};
  const Result it = Call(target.Address());
  BOOST_TEST((it.end == CallEnd::kComplete));
  BOOST_TEST(it.heads == 2);
  BOOST_TEST(it.body == "ok");
  Call(target.Address());
  BOOST_TEST(connections.opened() == 2U);
}

// Guards against the late copy of a refusal that is taken for the answer to the
// same request, sent again: nothing in the copy tells which one it answers.
BOOST_FIXTURE_TEST_CASE(ARefusedRequestIsNotSentOnItsConnectionAgain, Fixture) {
  target.answers = {AnswerTo("1", 503), AnswerTo("2", 200), AnswerTo("1", 200)};
  CallFor("1");
  BOOST_TEST((CallFor("2").end == CallEnd::kComplete));
  BOOST_TEST(connections.opened() == 1U);
  BOOST_TEST((CallFor("1").end == CallEnd::kComplete));
  BOOST_TEST(connections.opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ACallWithoutARequestIsSentOnAnyConnection, Fixture) {
  target.answers = {AnswerTo("", 404), AnswerTo("", 200)};
  CallFor("");
  CallFor("");
  BOOST_TEST(connections.opened() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AConnectionWithManyRefusalsIsNotKept, Fixture) {
  constexpr int kCalls = 200;
  for (int n = 0; n < kCalls; ++n)
    target.answers.push_back(AnswerTo(std::to_string(n), 503));
  for (int n = 0; n < kCalls; ++n) CallFor(std::to_string(n));
  BOOST_TEST(connections.opened() == 4U);
}

BOOST_FIXTURE_TEST_CASE(BytesAfterAnAnswerEndItsConnection, Fixture) {
  target.answers = {std::string(kAnswer) + kForeign, kAnswer};
  BOOST_TEST((Call(target.Address()).end == CallEnd::kComplete));
  BOOST_TEST(Call(target.Address()).body == "ok");
  BOOST_TEST(connections.opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(BytesThatNobodyWaitsForEndAnIdleConnection, Fixture) {
  target.answers = {kAnswer, kAnswer};
  Call(target.Address());
  target.sockets.at(0)->Write(kForeign);
  RunFor(milliseconds(50));
  BOOST_TEST(Call(target.Address()).body == "ok");
  BOOST_TEST(connections.opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnIdleConnectionIsClosedBeforeItsTargetCloses,
                        Fixture) {
  std::string answer = kAnswer;
  answer.insert(answer.find("X-Id"), "Keep-Alive: timeout=1\r\n");
  target.answers = {answer, kAnswer};
  Call(target.Address());
  // The check runs each half second; the margin exceeds the target's idle time.
  RunFor(milliseconds(700));
  Call(target.Address());
  BOOST_TEST(connections.opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnInterimAnswerIsNotTheAnswer, Fixture) {
  target.answers = {std::string("HTTP/1.1 100 Continue\r\n\r\n") + kAnswer};
  const Result it = Call(target.Address());
  BOOST_TEST(it.heads == 1);
  BOOST_TEST(it.body == "ok");
}

BOOST_FIXTURE_TEST_CASE(ARefusedConnectionHasNotSentTheRequest, Fixture) {
  target.listener.Stop();
  BOOST_TEST((Call(target.Address()).end == CallEnd::kNotSent));
  BOOST_TEST((Call("no address").end == CallEnd::kNotSent));
}

BOOST_FIXTURE_TEST_CASE(ACloseAfterTheRequestMayHaveRunIt, Fixture) {
  target.answers = {""};
  BOOST_TEST((Call(target.Address()).end == CallEnd::kBroken));
}

BOOST_FIXTURE_TEST_CASE(AnAnswerCutShortMayHaveRun, Fixture) {
  target.close_after_answer = true;
  target.answers = {
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nok"};
  const Result it = Call(target.Address());
  BOOST_TEST((it.end == CallEnd::kBroken));
  BOOST_TEST(it.body == "ok");
}

BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutLengthEndsWithItsConnection, Fixture) {
  target.close_after_answer = true;
  target.answers = {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok"};
  BOOST_TEST((Call(target.Address()).end == CallEnd::kComplete));
}

BOOST_FIXTURE_TEST_CASE(BytesThatAreNoAnswerMayHaveRun, Fixture) {
  target.answers = {"garbage\r\n\r\n"};
  BOOST_TEST((Call(target.Address()).end == CallEnd::kMalformed));
}

// A server and a caller that is a plain socket.
struct CallerFixture {
  CallerFixture() {
    server.Serve([this](const std::shared_ptr<CallerConnection>& caller,
                        CallerRequest request) {
      requests.push_back(std::move(request));
      if (handler) handler(*caller);
    });
    const std::uint16_t port = server.Listen("127.0.0.1:0");
    TcpSocket::Handlers on;
    on.data = [this](std::string_view bytes) { received += bytes; };
    on.ended = [this](SocketEnd) { ended = true; };
    socket = TcpSocket::Connect(loop, "127.0.0.1:" + std::to_string(port),
                                TcpOptions(), std::move(on));
  }

  void Send(std::string_view bytes) {
    socket->Write(bytes);
    RunFor(milliseconds(50));
  }
  void RunFor(Duration d) { quaytrack::RunFor(loop, d); }

  SystemClock clock;
  Loop loop;
  CallerServer server{loop, clock};
  std::function<void(CallerConnection&)> handler;
  std::vector<CallerRequest> requests;
  std::shared_ptr<TcpSocket> socket;
  std::string received;
  bool ended = false;
};

void ReplyOk(CallerConnection& caller) {
  HttpHead head;
  head.status = 200;
  caller.Reply(head, "ok");
}

// Guards against requests that a router reads although it can't serve them.
BOOST_FIXTURE_TEST_CASE(AConnectionThatIsNotAcceptedIsClosedUnread,
                        CallerFixture) {
  server.SetGate([] { return false; });
  socket->Write(kRequest);
  for (int n = 0; n < 100 && !ended; ++n) RunFor(milliseconds(10));
  BOOST_REQUIRE(ended);
  BOOST_TEST(requests.empty());
  BOOST_TEST(received.empty());
  BOOST_TEST(server.connections() == 0U);
  BOOST_TEST(server.closed_unread() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RequestsSentTogetherAreAnsweredInTurn, CallerFixture) {
  handler = ReplyOk;
  Send(std::string(kRequest) + kRequest);
  BOOST_TEST(requests.size() == 2U);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  BOOST_TEST(received == answer + answer);
  BOOST_TEST(!ended);
}

BOOST_FIXTURE_TEST_CASE(AClosingServerEndsEachConnectionWithItsAnswer,
                        CallerFixture) {
  handler = ReplyOk;
  server.StartClosing();
  Send(kRequest);
  BOOST_TEST(requests.size() == 1U);
  BOOST_TEST(received ==
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n"
             "ok");
  BOOST_TEST(ended);
}

// Guards against a request that was read behind another one and is dropped as
// the server closes.
BOOST_FIXTURE_TEST_CASE(AClosingServerAnswersWhatItHasRead, CallerFixture) {
  handler = ReplyOk;
  server.StartClosing();
  Send(std::string(kRequest) + kRequest);
  BOOST_TEST(requests.size() == 2U);
  BOOST_TEST(received ==
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n"
             "ok");
  BOOST_TEST(ended);
}

// The same behind a stream.
BOOST_FIXTURE_TEST_CASE(AClosingServerAnswersWhatItHasReadBehindAStream,
                        CallerFixture) {
  handler = [this](CallerConnection& caller) {
    if (requests.size() == 2U) return ReplyOk(caller);
    HttpHead head;
    head.status = 200;
    caller.StartStream(head);
    server.StartClosing();
    caller.EndStream();
    BOOST_TEST(server.Unfinished() == 1U);
  };
  Send(std::string(kRequest) + kRequest);
  BOOST_TEST(requests.size() == 2U);
  BOOST_TEST(
      received.ends_with("0\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                         "Connection: close\r\n\r\nok"));
  BOOST_TEST(ended);
}

// Guards against callers that stay on their connections to a router that can't
// serve them.
BOOST_FIXTURE_TEST_CASE(AServerThatLacksSomethingEndsConnectionsForATime,
                        CallerFixture) {
  handler = [this](CallerConnection& caller) {
    server.CloseAfterAnswers(requests.size() == 2U);
    ReplyOk(caller);
  };
  Send(kRequest);
  BOOST_TEST(!ended);
  Send(kRequest);
  BOOST_TEST(received.ends_with("Connection: close\r\n\r\nok"));
  BOOST_TEST(ended);
}

// Guards against a close that the caller doesn't expect: its next request might
// cross it.
BOOST_FIXTURE_TEST_CASE(AStreamThatDidNotAnnounceACloseKeepsItsConnection,
                        CallerFixture) {
  handler = [this](CallerConnection& caller) {
    HttpHead head;
    head.status = 200;
    caller.StartStream(head);
    server.CloseAfterAnswers(true);
    caller.EndStream();
  };
  Send(kRequest);
  BOOST_TEST(received.ends_with("\r\n0\r\n\r\n"));
  BOOST_TEST(!ended);
}

BOOST_FIXTURE_TEST_CASE(AStreamThatIsAbortedDoesNotLookComplete,
                        CallerFixture) {
  handler = [](CallerConnection& caller) {
    HttpHead head;
    head.status = 200;
    caller.StartStream(head);
    caller.WriteChunk("some");
    caller.Abort();
  };
  Send(kRequest);
  BOOST_TEST(received ==
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nsome\r\n");
  BOOST_TEST(ended);
}

BOOST_FIXTURE_TEST_CASE(AStreamEndsWithItsLastChunk, CallerFixture) {
  handler = [](CallerConnection& caller) {
    HttpHead head;
    head.status = 200;
    caller.StartStream(head);
    caller.WriteChunk("sixteen bytes ..");
    caller.EndStream();
  };
  Send(kRequest);
  BOOST_TEST(received.ends_with("10\r\nsixteen bytes ..\r\n0\r\n\r\n"));
  BOOST_TEST(!ended);
}

BOOST_FIXTURE_TEST_CASE(AStreamThatBeganBeforeTheServerClosesEndsItsConnection,
                        CallerFixture) {
  handler = [this](CallerConnection& caller) {
    HttpHead head;
    head.status = 200;
    caller.StartStream(head);
    server.StartClosing();
    caller.EndStream();
  };
  Send(kRequest);
  BOOST_TEST(requests.size() == 1U);
  BOOST_TEST(received.ends_with("\r\n0\r\n\r\n"));
  BOOST_TEST(ended);
}

// More than the socket buffers of both sides hold.
std::string LargeBody() { return std::string(16 << 20, 'x'); }

struct SlowCallerFixture : CallerFixture {
  // Requests a large answer and reads none of it.
  void RequestWithoutReading() {
    handler = [](CallerConnection& caller) {
      HttpHead head;
      head.status = 200;
      caller.Reply(head, LargeBody());
    };
    Send("");
    socket->PauseReading();
    Send(kRequest);
    BOOST_TEST(received.empty());
  }
  bool ReceivesAll() {
    socket->ResumeReading();
    RunFor(std::chrono::seconds(2));
    return received.size() > LargeBody().size();
  }
};

// Guards against truncated answers: a caller that reads slowly gets all of its
// answer, though the server closes connections without a request meanwhile.
BOOST_FIXTURE_TEST_CASE(AnAnswerThatWaitsForItsCallerIsUnfinished,
                        SlowCallerFixture) {
  RequestWithoutReading();
  server.StartClosing();
  server.CloseIdle();
  BOOST_TEST(server.Unfinished() == 1U);
  BOOST_TEST(ReceivesAll());
  BOOST_TEST(ended);
  BOOST_TEST(server.Unfinished() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ALastAnswerMayBeTakenSlowly, SlowCallerFixture) {
  server.StartClosing();
  RequestWithoutReading();
  // Longer than a connection lingers after its last answer is sent.
  RunFor(std::chrono::milliseconds(2700));
  BOOST_TEST(!ended);
  BOOST_TEST(ReceivesAll());
}

// Guards against the close of a connection whose first request is on its way:
// the caller can't distinguish that from a lost request.
BOOST_FIXTURE_TEST_CASE(ANewConnectionMaySendItsFirstRequest, CallerFixture) {
  handler = ReplyOk;
  const auto guard = loop.After(std::chrono::seconds(5), [&] { loop.Stop(); });
  const auto check = loop.Every(milliseconds(1), [&] {
    if (server.connections() == 1) loop.Stop();
  });
  loop.Run();
  server.StartClosing();
  BOOST_TEST(server.Unfinished() == 1U);
  server.CloseIdle();
  BOOST_TEST(server.connections() == 1U);
  Send(kRequest);
  BOOST_TEST(received.ends_with("ok"));
  BOOST_TEST(server.Unfinished() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AConnectionThatSendsNothingIsClosed, CallerFixture) {
  RunFor(milliseconds(150));
  BOOST_TEST(server.Unfinished() == 0U);
  server.CloseIdle();
  BOOST_TEST(server.connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ARequestThatIsBeingReadIsUnfinished, CallerFixture) {
  Send("GET / HTTP/1.1\r\nHost:");
  BOOST_TEST(server.Unfinished() == 1U);
  handler = ReplyOk;
  Send(" h\r\n\r\n");
  BOOST_TEST(server.Unfinished() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ARequestThatIsNoneIsRefusedHere, CallerFixture) {
  CallerLimits limits;
  limits.http.max_body_bytes = 4;
  server.SetLimits(limits);
  Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
  BOOST_TEST(requests.empty());
  BOOST_TEST(received.starts_with("HTTP/1.1 413 "));
  BOOST_TEST(ended);
}

BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesIsToldOnce, CallerFixture) {
  int gone = 0;
  handler = [&](CallerConnection& caller) {
    caller.OnGone([&gone] { ++gone; });
  };
  Send(kRequest);
  socket->Close();
  RunFor(milliseconds(50));
  BOOST_TEST(gone == 1);
  BOOST_TEST(server.connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ASlowHeadIsAnsweredAndASilentConnectionClosed,
                        CallerFixture) {
  CallerLimits limits;
  limits.head_timeout = milliseconds(100);
  limits.idle_timeout = milliseconds(100);
  server.SetLimits(limits);
  Send("GET / HTTP/1.1\r\n");
  RunFor(milliseconds(700));
  BOOST_TEST(received.starts_with("HTTP/1.1 408 "));
}

}  // namespace
}  // namespace quaytrack
