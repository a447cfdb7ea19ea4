// Tests of watches whose handlers end them, with more lines behind the one that
// the handler was called for.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "etcd/etcd_client.h"
#include "net/tcp_socket.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShort = milliseconds(50);
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
// The key is "a" and the value "b", in base64.
constexpr char kEvent[] =
    R"({"result":{"header":{"revision":"5"},"events":[)"
    R"({"kv":{"key":"YQ==","value":"Yg==","mod_revision":"5"}}]}})"
    "\n";

struct Fixture {
  Fixture() {
    EtcdClient::Options options;
    options.endpoints = {"127.0.0.1:" +
                         std::to_string(listener.Listen("127.0.0.1:0"))};
    client = std::make_unique<EtcdClient>(loop, http, options);
  }
  void Accept(int fd) {
    socket = TcpSocket::Adopt(loop, fd, {});
    TcpSocket::Handlers on;
    on.data = [this](std::string_view) { socket->Write(answer); };
    socket->SetHandlers(std::move(on));
  }

  void Handle(int& count) {
    ++count;
    if (&count != ends_in) return;
    watch.reset();
    BOOST_TEST(!captured.expired());
  }

  void Run() {
    auto keep = std::make_shared<int>(0);
    captured = keep;
    EtcdClient::WatchHandlers on;
    on.events = [this, keep](std::int64_t, const std::vector<EtcdWatchEvent>&) {
      Handle(events);
    };
    on.broken = [this, keep] { Handle(breaks); };
    keep.reset();
    watch = client->StartWatch("a", 1, std::move(on));
    RunFor(loop, kShort);
    BOOST_TEST(!watch);
    BOOST_TEST(captured.expired());
  }

  Loop loop;
  HttpClient http{loop};
  std::string answer;
  std::shared_ptr<TcpSocket> socket;
  TcpListener listener{loop, [this](int fd) { Accept(fd); }};
  std::unique_ptr<EtcdClient> client;
  std::unique_ptr<EtcdClient::Watch> watch;
  std::weak_ptr<int> captured;
  int events = 0;
  int breaks = 0;
  int* ends_in = nullptr;
};

// Guards against handlers that are called after their watch was dropped.
BOOST_FIXTURE_TEST_CASE(AWatchMayBeDroppedWithItsEvents, Fixture) {
  answer = std::string(kHead) + kEvent + kEvent + "nonsense\n";
  ends_in = &events;
  Run();
  BOOST_TEST(events == 1);
  BOOST_TEST(breaks == 0);
}

// Guards against a watch that is used after the report that it broke.
BOOST_FIXTURE_TEST_CASE(AWatchMayBeDroppedAsItBreaks, Fixture) {
  answer = std::string(kHead) + kEvent + "nonsense\n" + kEvent;
  ends_in = &breaks;
  Run();
  BOOST_TEST(events == 1);
  BOOST_TEST(breaks == 1);
}

}  // namespace
}  // namespace quaytrack
