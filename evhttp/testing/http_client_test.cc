// Tests that an answer whose head or body doesn't end breaks its call before it
// fills the memory.

#include "evhttp/http_client.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "net/tcp_socket.h"

namespace quaytrack {
namespace {

constexpr std::size_t kBlockBytes = 64 * 1024;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
// What the client may read beyond its limit, and what sockets buffer.
constexpr std::size_t kSlackBytes = 8 * 1024 * 1024;
constexpr Duration kLimit = std::chrono::seconds(10);

// Sends `start`, and then `block` until its caller closes.
struct EndlessServer {
  EndlessServer(Loop& on, std::string first, std::string repeated)
      : loop(on),
        start(std::move(first)),
        block(std::move(repeated)),
        listener(on, [this](int fd) { Accept(fd); }) {
    port = listener.Listen("127.0.0.1:0");
  }

  void Accept(int fd) {
    socket = TcpSocket::Adopt(loop, fd, {});
    TcpSocket::Handlers on;
    on.data = [this](std::string_view) {
      if (timer) return;
      socket->Write(start);
      timer = loop.Every(std::chrono::milliseconds(1), [this] { Send(); });
    };
    on.ended = [this](SocketEnd) { timer.reset(); };
    socket->SetHandlers(std::move(on));
  }
  void Send() {
    if (socket->open() && socket->Unsent() < kBlockBytes) {
      socket->Write(block);
      sent += block.size();
    }
  }

  Loop& loop;
  std::string start;
  std::string block;
  std::uint16_t port = 0;
  std::size_t sent = 0;
  std::shared_ptr<TcpSocket> socket;
  std::unique_ptr<Timer> timer;
  TcpListener listener;
};

// The end of a call to such a server; std::nullopt if it has none in time.
std::optional<HttpEnd> EndOfCall(Loop& loop, const EndlessServer& server) {
  HttpClient client(loop);
  HttpRequest request;
  request.address = "127.0.0.1:" + std::to_string(server.port);
  request.max_body_bytes = kMaxBodyBytes;
  std::optional<HttpEnd> out;
  HttpCall::Handlers on;
  on.end = [&](const HttpResult& result) {
    out = result.end;
    loop.Stop();
  };
  client.Start(std::move(request), std::move(on));
  const auto guard = loop.After(kLimit, [&] { loop.Stop(); });
  loop.Run();
  return out;
}

void CheckIsBroken(const std::string& start, const std::string& block) {
  Loop loop;
  EndlessServer server(loop, start, block);
  const auto end = EndOfCall(loop, server);
  BOOST_TEST((end == HttpEnd::kBroken));
  BOOST_TEST(server.sent < kMaxBodyBytes + kSlackBytes);
}

BOOST_AUTO_TEST_CASE(AHeadWithoutEndBreaksTheCall) {
  CheckIsBroken("HTTP/1.1 200 OK\r\nX-Filler: ", std::string(kBlockBytes, 'x'));
}

BOOST_AUTO_TEST_CASE(HeadersWithoutEndBreakTheCall) {
  std::string block;
  while (block.size() < kBlockBytes) block += "X-Filler: y\r\n";
  CheckIsBroken("HTTP/1.1 200 OK\r\n", block);
}

BOOST_AUTO_TEST_CASE(InterimAnswersWithoutEndBreakTheCall) {
  std::string block;
  while (block.size() < kBlockBytes) block += "HTTP/1.1 100 Continue\r\n\r\n";
  CheckIsBroken("", block);
}

BOOST_AUTO_TEST_CASE(ABodyWithoutLengthBreaksTheCall) {
  CheckIsBroken("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                std::string(kBlockBytes, 'x'));
}

BOOST_AUTO_TEST_CASE(ABodyInChunksWithoutEndBreaksTheCall) {
  CheckIsBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "10000\r\n" + std::string(kBlockBytes, 'x') + "\r\n");
}

BOOST_AUTO_TEST_CASE(ALengthThatIsTooLargeBreaksTheCall) {
  CheckIsBroken("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
                std::string(kBlockBytes, 'x'));
}

}  // namespace
}  // namespace quaytrack
