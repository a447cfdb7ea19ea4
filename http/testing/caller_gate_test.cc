// Tests of what a gate does to callers' connections, over loopback: requests
// refused at their heads, bodies that wait, connections that end.

#include "http/caller_gate.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/caller_server.h"
#include "http/target_connection.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 20000;
constexpr int kBuffer = 1152;

struct Gate final : CallerGate {
  Verdict OnHead(const std::shared_ptr<CallerConnection>& caller,
                 CallerRequest& request, std::size_t body_bytes) override {
    last = caller;
    announced = body_bytes;
    if (verdict == Verdict::kRefuse) request.screened = true;
    return verdict;
  }
  bool EndsConnection(const CustomerName& customer) override {
    return !ending.empty() && customer == ending;
  }

  Verdict verdict = Verdict::kRead;
  CustomerName ending;
  std::shared_ptr<CallerConnection> last;
  std::size_t announced = 0;
};

struct Caller {
  explicit Caller(Loop& loop, std::uint16_t port) {
    TcpSocket::Handlers on;
    on.data = [this](std::string_view bytes) { received += bytes; };
    on.ended = [this](SocketEnd) { ended = true; };
    socket = TcpSocket::Connect(loop, "127.0.0.1:" + std::to_string(port),
                                TcpOptions(), std::move(on));
  }
  std::shared_ptr<TcpSocket> socket;
  std::string received;
  bool ended = false;
};

struct Fixture {
  Fixture() {
    server.SetGate(&gate, kBuffer);
    server.Serve([this](const std::shared_ptr<CallerConnection>& caller,
                        CallerRequest request) {
      HttpHead head;
      head.status = request.screened ? 503 : 200;
      requests.push_back(std::move(request));
      caller->SetCustomer(CustomerName("a"));
      caller->Reply(head, "ok");
    });
    port = server.Listen("127.0.0.1:0");
  }
  void RunFor(Duration d) { quaytrack::RunFor(loop, d); }
  static std::string Request(std::size_t body = kBodyBytes) {
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body) + "\r\n\r\n" + std::string(body, 'x');
  }

  SystemClock clock;
  Loop loop;
  Gate gate;
  CallerServer server{loop, clock};
  std::uint16_t port = 0;
  std::vector<CallerRequest> requests;
};

// Guards against a small receive buffer that stalls a body, also on a kept
// connection, where the buffer has been enlarged and reduced before.
BOOST_FIXTURE_TEST_CASE(BodiesLargerThanTheBufferArriveQuickly, Fixture) {
  Caller caller(loop, port);
  for (std::size_t n = 1; n <= 3; ++n) {
    caller.socket->Write(Request());
    RunFor(milliseconds(100));
    BOOST_REQUIRE(requests.size() == n);
    BOOST_TEST(requests.back().body.size() == kBodyBytes);
    BOOST_TEST(
        (requests.back().read - requests.back().begun < milliseconds(50)));
  }
  BOOST_TEST(gate.announced == kBodyBytes);
  BOOST_TEST(!caller.ended);
}

// Guards against bodies of refused requests that fill the link: the refusal
// comes while most of the body is still at the caller.
BOOST_FIXTURE_TEST_CASE(ARefusalDoesNotWaitForTheBody, Fixture) {
  gate.verdict = CallerGate::Verdict::kRefuse;
  Caller caller(loop, port);
  const std::string request = Request();
  caller.socket->Write(request.substr(0, 600));
  RunFor(milliseconds(30));
  BOOST_TEST(caller.received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(caller.received.find("Connection: close") != std::string::npos);
  BOOST_TEST(requests.size() == 1U);
  const auto before = loop.traffic().bytes_in;
  caller.socket->Write(request.substr(600));
  RunFor(milliseconds(30));
  // The caller's own reads of the refusal are counted by the same loop.
  BOOST_TEST(loop.traffic().bytes_in == before);
  BOOST_TEST(requests.size() == 1U);
}

// Guards against a caller that hangs, as it reads the refusal only once all of
// its request is sent.
BOOST_FIXTURE_TEST_CASE(TheRestOfARefusedRequestIsReadLater, Fixture) {
  gate.verdict = CallerGate::Verdict::kRefuse;
  Caller caller(loop, port);
  caller.socket->Write(Request(kBodyBytes * 50));
  RunFor(milliseconds(1500));
  BOOST_TEST(caller.received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(caller.socket->Unsent() == 0U);
  BOOST_TEST(requests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ABodyWaitsUntilItIsAllowed, Fixture) {
  gate.verdict = CallerGate::Verdict::kWait;
  Caller caller(loop, port);
  caller.socket->Write(Request());
  RunFor(milliseconds(50));
  BOOST_TEST(requests.empty());
  gate.last->AllowBody();
  RunFor(milliseconds(50));
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests.front().body.size() == kBodyBytes);
  // The connection is used on.
  gate.verdict = CallerGate::Verdict::kRead;
  caller.socket->Write(Request(10));
  RunFor(milliseconds(50));
  BOOST_TEST(requests.size() == 2U);
}

// A caller may leave while its body waits.
BOOST_FIXTURE_TEST_CASE(AllowingABodyOfACallerThatLeftDoesNothing, Fixture) {
  gate.verdict = CallerGate::Verdict::kWait;
  Caller caller(loop, port);
  caller.socket->Write(Request());
  RunFor(milliseconds(50));
  caller.socket->Close();
  RunFor(milliseconds(50));
  gate.last->AllowBody();
  RunFor(milliseconds(50));
  BOOST_TEST(requests.empty());
  BOOST_TEST(server.connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AMovedCustomersConnectionEndsWithItsAnswer, Fixture) {
  Caller caller(loop, port);
  caller.socket->Write(Request(10));
  RunFor(milliseconds(30));
  BOOST_TEST(!caller.ended);
  gate.ending = CustomerName("a");
  caller.socket->Write(Request(10));
  RunFor(milliseconds(30));
  BOOST_TEST(requests.size() == 2U);
  BOOST_TEST(caller.received.find("Connection: close") != std::string::npos);
  BOOST_TEST(caller.ended);
}

// Guards against connections that grow without bound, and against closing one
// that was just used.
BOOST_FIXTURE_TEST_CASE(TheLongestIdleCloseBeyondTheBound, Fixture) {
  Caller first(loop, port);
  first.socket->Write(Request(10));
  RunFor(milliseconds(300));
  Caller second(loop, port);
  second.socket->Write(Request(10));
  RunFor(milliseconds(1100));
  Caller third(loop, port);
  third.socket->Write(Request(10));
  RunFor(milliseconds(30));
  BOOST_TEST(server.ConnectionsByCustomer()[CustomerName("a")] == 3);
  BOOST_TEST(server.CloseLongestIdle(3) == 0U);
  BOOST_TEST(server.CloseLongestIdle(2) == 1U);
  RunFor(milliseconds(30));
  BOOST_TEST(first.ended);
  BOOST_TEST(!second.ended);
  BOOST_TEST(server.CloseLongestIdle(0) == 1U);
  RunFor(milliseconds(30));
  BOOST_TEST(second.ended);
  BOOST_TEST(!third.ended);
}

// --- Bodies to targets -------------------------------------------------------

struct Turns final : SendGate {
  bool SendsNow(std::size_t) override { return open; }
  void Queue(int urgency, const std::string& flow, std::size_t,
             std::function<void()> send) override {
    urgencies.push_back(urgency);
    flows.push_back(flow);
    sends.push_back(std::move(send));
  }
  bool open = false;
  std::vector<int> urgencies;
  std::vector<std::string> flows;
  std::vector<std::function<void()>> sends;
};

struct TargetFixture {
  TargetFixture() {
    connections.SetGate(&turns);
    listener = std::make_unique<TcpListener>(loop, [this](int fd) {
      socket = TcpSocket::Adopt(loop, fd, TcpOptions());
      TcpSocket::Handlers on;
      on.data = [this](std::string_view bytes) { received += bytes; };
      socket->SetHandlers(std::move(on));
    });
    address = "127.0.0.1:" + std::to_string(listener->Listen("127.0.0.1:0"));
  }
  std::shared_ptr<CallHandle> Start(std::function<bool()> may_send = {}) {
    TargetCall call;
    call.address = address;
    call.bytes = "request";
    call.may_send = std::move(may_send);
    call.urgency = 2;
    call.flow = "a";
    CallHandle::Handlers on;
    on.head = [](const HttpHead&) { return true; };
    on.body = [](std::string_view) {};
    on.end = [this](CallEnd it) { ends.push_back(it); };
    auto out = connections.Start(call, std::move(on));
    quaytrack::RunFor(loop, milliseconds(30));
    return out;
  }

  SystemClock clock;
  Loop loop;
  Turns turns;
  std::unique_ptr<TcpListener> listener;
  std::shared_ptr<TcpSocket> socket;
  std::string address;
  std::string received;
  std::vector<CallEnd> ends;
  TargetConnections connections{loop, clock};
};

BOOST_FIXTURE_TEST_CASE(ACallIsSentWhenItIsItsTurn, TargetFixture) {
  const auto call = Start();
  BOOST_REQUIRE(turns.sends.size() == 1U);
  BOOST_TEST(turns.urgencies.front() == 2);
  BOOST_TEST(turns.flows.front() == "a");
  BOOST_TEST(received.empty());
  // It has certainly not run yet.
  BOOST_TEST(!call->sent());
  turns.sends.front()();
  quaytrack::RunFor(loop, milliseconds(30));
  BOOST_TEST(received == "request");
  BOOST_TEST(call->sent());
  call->Cancel();
}

// Guards against a request that runs although its caller was refused.
BOOST_FIXTURE_TEST_CASE(ACancelledCallIsNeverSent, TargetFixture) {
  const auto call = Start();
  call->Cancel();
  turns.sends.front()();
  quaytrack::RunFor(loop, milliseconds(30));
  BOOST_TEST(received.empty());
  BOOST_TEST(ends.empty());
}

// Guards against new work for a target that began to leave in the meantime.
BOOST_FIXTURE_TEST_CASE(ItsTargetIsCheckedAgainAtItsTurn, TargetFixture) {
  bool may = true;
  const auto call = Start([&] { return may; });
  may = false;
  turns.sends.front()();
  quaytrack::RunFor(loop, milliseconds(30));
  BOOST_TEST(received.empty());
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends.front() == CallEnd::kCancelledBeforeSend));
}

}  // namespace
}  // namespace quaytrack
