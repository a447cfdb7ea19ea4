// Tests which connections a CallerServer ends when all together hold too much
// memory, or when there are too many.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/caller_server.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMemory = 400 * 1024;
constexpr std::size_t kMaxBody = 256 * 1024;

std::string Post(std::size_t length) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

struct Client {
  std::shared_ptr<TcpSocket> socket;
  std::string received;
  bool ended = false;
};

struct Fixture {
  Fixture() {
    server.SetBounds({kMemory, 4});
    CallerLimits limits;
    limits.http.max_body_bytes = kMaxBody;
    server.SetLimits(limits);
    server.Serve([this](const std::shared_ptr<CallerConnection>& caller,
                        const CallerRequest&) {
      handled.push_back(caller);
      caller->OnGone([this] { ++gone; });
      if (answers) Answer(*caller);
    });
    address = "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0"));
  }

  static void Answer(CallerConnection& caller) {
    HttpHead head;
    head.status = 200;
    caller.Reply(head, "ok");
  }
  Client& Open(const std::string& bytes) {
    Client& out = *clients.emplace_back(std::make_unique<Client>());
    TcpSocket::Handlers on;
    on.data = [&out](std::string_view it) { out.received += it; };
    on.ended = [&out](SocketEnd) { out.ended = true; };
    out.socket = TcpSocket::Connect(loop, address, {}, std::move(on));
    out.socket->Write(bytes);
    RunFor(loop, milliseconds(40));
    return out;
  }

  SystemClock clock;
  Loop loop;
  CallerServer server{loop, clock};
  std::string address;
  std::vector<std::shared_ptr<CallerConnection>> handled;
  std::vector<std::unique_ptr<Client>> clients;
  int gone = 0;
  bool answers = false;
};

bool IsRefused(const Client& it) {
  return it.received.starts_with("HTTP/1.1 503 ") &&
         it.received.find("\r\nRetry-After: 1\r\n") != std::string::npos;
}

BOOST_FIXTURE_TEST_CASE(NothingIsHeldAfterTheEnd, Fixture) {
  answers = true;
  Client& whole = Open(Post(1000) + std::string(1000, 'x'));
  Client& part = Open(Post(100'000) + std::string(50'000, 'x'));
  BOOST_TEST(server.held_bytes() >= 50'000U);
  whole.socket->Close();
  part.socket->Close();
  RunFor(loop, milliseconds(40));
  BOOST_TEST(server.held_bytes() == 0U);
  BOOST_TEST(server.connections() == 0U);
}

// Guards against a process that ends for want of memory because many callers,
// each within its limits, send requests that they don't complete.
BOOST_FIXTURE_TEST_CASE(TheLargestRequestThatIsReadIsRefused, Fixture) {
  answers = true;
  Client& small = Open(Post(20'000) + std::string(10'000, 'x'));
  Client& large = Open(Post(200'000) + std::string(190'000, 'x'));
  Client& next = Open(Post(200'000) + std::string(170'000, 'x'));
  BOOST_TEST(server.held_bytes() <= kMemory);
  BOOST_TEST((IsRefused(large) || IsRefused(next)));
  BOOST_TEST(server.shed_for_memory() >= 1U);
  small.socket->Write(std::string(10'000, 'x'));
  RunFor(loop, milliseconds(40));
  BOOST_TEST(small.received.starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(ARequestAtItsHandlerOutlivesOneThatIsRead, Fixture) {
  Open(Post(100'000) + std::string(100'000, 'x'));
  Client& read = Open(Post(250'000) + std::string(249'000, 'x'));
  BOOST_TEST(IsRefused(read));
  BOOST_TEST(gone == 0);
  BOOST_REQUIRE(handled.size() == 1U);
  Answer(*handled[0]);
  RunFor(loop, milliseconds(40));
  BOOST_TEST(clients[0]->received.starts_with("HTTP/1.1 200 "));
}

// Guards against whole requests, and against what their handler adds.
BOOST_FIXTURE_TEST_CASE(ACallerIsGoneIfItsRequestHoldsTooMuch, Fixture) {
  answers = true;
  const Client& idle = Open(Post(0));
  answers = false;
  Client& caller = Open(Post(1000) + std::string(1000, 'x'));
  BOOST_REQUIRE(handled.size() == 2U);
  handled[1]->NoteHeld(kMemory);
  RunFor(loop, milliseconds(40));
  BOOST_TEST(gone == 1);
  // Without an answer, the request might look as if it hadn't been read.
  BOOST_TEST(caller.received.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(!idle.ended);
  BOOST_TEST(server.held_bytes() < 1024U);
}

BOOST_FIXTURE_TEST_CASE(AnAnswerThatIsNotReadHoldsMemory, Fixture) {
  Client& caller = Open(Post(0));
  BOOST_REQUIRE(handled.size() == 1U);
  caller.socket->PauseReading();
  HttpHead head;
  head.status = 200;
  handled[0]->StartStream(head);
  const std::string chunk(1024 * 1024, 'x');
  for (int n = 0; n < 16; ++n) handled[0]->WriteChunk(chunk);
  RunFor(loop, milliseconds(40));
  BOOST_TEST(gone == 1);
  BOOST_TEST(server.held_bytes() == 0U);
}

// Guards against callers that find no room behind connections without use.
BOOST_FIXTURE_TEST_CASE(ANewConnectionTakesThePlaceOfTheOldestIdleOne,
                        Fixture) {
  answers = true;
  for (int n = 0; n < 4; ++n) Open(n % 2 == 0 ? "" : "POST ");
  Client& caller = Open(Post(0));
  BOOST_TEST(caller.received.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(clients[0]->ended);
  BOOST_TEST(!clients[1]->ended);
  BOOST_TEST(server.connections() == 4U);
  BOOST_TEST(server.shed_for_room() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NoRequestAtItsHandlerMakesRoom, Fixture) {
  for (int n = 0; n < 4; ++n) Open(Post(0));
  Client& caller = Open(Post(0));
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.received.empty());
  BOOST_TEST(gone == 0);
  BOOST_TEST(server.closed_unread() == 1U);
}

}  // namespace
}  // namespace quaytrack
