// Tests that the copy of a refusal isn't read as the answer to the next call.
// The answers to these calls don't name their request.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "evhttp/http_client.h"
#include "net/tcp_socket.h"

namespace quaytrack {
namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr Duration kLimit = std::chrono::seconds(10);

// Answers each request with the next of `answers`, and before that with a copy
// of the last refusal on its connection, if `copies` is set.
struct Server {
  explicit Server(Loop& on)
      : loop(on), listener(on, [this](int fd) { Accept(fd); }) {
    port = listener.Listen("127.0.0.1:0");
  }

  void Accept(int fd) {
    auto socket = TcpSocket::Adopt(loop, fd, {});
    TcpSocket* raw = socket.get();
    TcpSocket::Handlers on;
    on.data = [this, raw, copy = std::string()](std::string_view) mutable {
      raw->Write(std::exchange(copy, {}));
      if (next == answers.size()) return;
      if (copies && answers[next] == kRefusal) copy = kRefusal;
      raw->Write(answers[next++]);
    };
    socket->SetHandlers(std::move(on));
    sockets.push_back(std::move(socket));
  }

  Loop& loop;
  std::vector<std::string> answers;
  bool copies = false;
  std::size_t next = 0;
  std::uint16_t port = 0;
  std::vector<std::shared_ptr<TcpSocket>> sockets;
  TcpListener listener;
};

struct Fixture {
  int StatusOfCall() {
    HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(server.port);
    int out = 0;
    HttpCall::Handlers on;
    on.end = [&](const HttpResult& it) {
      out = it.status;
      loop.Stop();
    };
    client.Start(std::move(request), std::move(on));
    const auto guard = loop.After(kLimit, [&] { loop.Stop(); });
    loop.Run();
    return out;
  }

  Loop loop;
  Server server{loop};
  HttpClient client{loop};
};

// Guards against a call that runs and is taken for refused, as the copy of an
// earlier refusal comes as the call arrives.
BOOST_FIXTURE_TEST_CASE(ACopyWithTheNextAnswerIsNotRead, Fixture) {
  server.copies = true;
  server.answers = {kRefusal, kAnswer};
  BOOST_TEST(StatusOfCall() == 503);
  BOOST_TEST(StatusOfCall() == 200);
}

BOOST_FIXTURE_TEST_CASE(ACopyWithItsRefusalIsNotRead, Fixture) {
  server.answers = {std::string(kRefusal) + kRefusal, kAnswer};
  BOOST_TEST(StatusOfCall() == 503);
  BOOST_TEST(StatusOfCall() == 200);
}

// Guards against surplus bytes of any answer.
BOOST_FIXTURE_TEST_CASE(BytesAfterAnAnswerAreNotRead, Fixture) {
  server.answers = {std::string(kAnswer) + kRefusal, kAnswer};
  BOOST_TEST(StatusOfCall() == 200);
  BOOST_TEST(StatusOfCall() == 200);
}

BOOST_FIXTURE_TEST_CASE(AConnectionIsKeptAfterASuccess, Fixture) {
  server.answers = {kAnswer, kAnswer};
  BOOST_TEST(StatusOfCall() == 200);
  BOOST_TEST(StatusOfCall() == 200);
  BOOST_TEST(server.sockets.size() == 1U);
}

}  // namespace
}  // namespace quaytrack
