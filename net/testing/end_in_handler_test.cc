// Tests of sockets, timers and links between processes whose handlers end what
// they were called by.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "net/peer_link.h"
#include "net/tcp_socket.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShort = milliseconds(50);
// More than the kernel accepts at once.
constexpr std::size_t kManyBytes = 16 * 1024 * 1024;

// What a handler does with the socket that calls it.
enum class Does { kClose, kRelease, kDrop };

struct SocketFixture {
  SocketFixture() { port = listener.Listen("127.0.0.1:0"); }

  void End(Does does) {
    ++handled;
    if (does == Does::kClose) return socket->Close(true);
    if (does == Does::kRelease) fd = socket->Release();
    socket.reset();
  }
  // Connects, with `on` for the connecting side.
  void Connect(TcpSocket::Handlers on) {
    socket = TcpSocket::Connect(loop, "127.0.0.1:" + std::to_string(port), {},
                                std::move(on));
  }

  Loop loop;
  std::vector<std::shared_ptr<TcpSocket>> accepted;
  // Written by the accepting side at once.
  std::string first_bytes;
  TcpListener listener{loop, [this](int it) {
                         accepted.push_back(TcpSocket::Adopt(loop, it, {}));
                         accepted.back()->SetHandlers(
                             {nullptr, [](std::string_view) {}, nullptr, {}});
                         accepted.back()->Write(first_bytes);
                       }};
  std::uint16_t port = 0;
  std::shared_ptr<TcpSocket> socket;
  int handled = 0;
  int fd = -1;
};

constexpr auto kAll =
    std::to_array({Does::kClose, Does::kRelease, Does::kDrop});

// Guards against a socket that goes on writing after it was ended as it opened.
BOOST_FIXTURE_TEST_CASE(ASocketMayEndAsItOpens, SocketFixture) {
  for (const Does it : kAll) {
    handled = 0;
    TcpSocket::Handlers on;
    on.connected = [&] { End(it); };
    on.drained = [&] { ++handled; };
    Connect(std::move(on));
    socket->Write("bytes that wait for the connection");
    RunFor(loop, kShort);
    BOOST_TEST(handled == 1);
  }
}

// Guards against a socket that is used after its data ended it.
BOOST_FIXTURE_TEST_CASE(ASocketMayEndWithItsData, SocketFixture) {
  first_bytes = std::string(1024 * 1024, 'x');
  for (const Does it : kAll) {
    handled = 0;
    TcpSocket::Handlers on;
    on.data = [&](std::string_view) { End(it); };
    Connect(std::move(on));
    RunFor(loop, kShort);
    BOOST_TEST(handled == 1);
  }
}

// Guards against a socket that is used after the report of its end, or of its
// last written byte, ended it.
BOOST_FIXTURE_TEST_CASE(ASocketMayEndAsItDrainsOrEnds, SocketFixture) {
  for (const Does it : kAll) {
    handled = 0;
    TcpSocket::Handlers on;
    on.drained = [&] { End(it); };
    Connect(std::move(on));
    socket->Write(std::string(kManyBytes, 'x'));
    for (int n = 0; n < 100 && handled == 0; ++n) RunFor(loop, kShort);
    BOOST_TEST(handled == 1);
  }
  for (const Does it : kAll) {
    handled = 0;
    accepted.clear();
    TcpSocket::Handlers on;
    on.ended = [&](SocketEnd) { End(it); };
    Connect(std::move(on));
    RunFor(loop, kShort);
    for (const auto& other : accepted) other->Close();
    RunFor(loop, kShort);
    BOOST_TEST(handled == 1);
  }
}

// Guards against a timer whose action destroys it, what it captured included.
BOOST_AUTO_TEST_CASE(ATimerMayEndInItsAction) {
  Loop loop;
  std::unique_ptr<Timer> timer;
  std::weak_ptr<int> captured;
  int fired = 0;
  auto keep = std::make_shared<int>(0);
  captured = keep;
  timer = loop.Every(milliseconds(1), [&, keep = std::move(keep)] {
    ++fired;
    timer.reset();
    BOOST_TEST(!captured.expired());
  });
  RunFor(loop, kShort);
  BOOST_TEST(fired == 1);
  BOOST_TEST(captured.expired());
}

// --- Links -------------------------------------------------------------------

struct LinkFixture {
  LinkFixture() {
    port = server.Listen("127.0.0.1:0");
    auto keep = std::make_shared<int>(0);
    captured = keep;
    on.open = [this, keep] { Handle(opens); };
    on.message = [this, keep](const std::string&) { Handle(messages); };
    on.closed = [this, keep] { Handle(closes); };
  }

  // Ends the link in the handler that counts `count`.
  void Handle(int& count) {
    ++count;
    if (&count != ends_in) return;
    if (drops) {
      link.reset();
    } else {
      link->SetHandlers({});
    }
    on = {};
    BOOST_TEST(!captured.expired());
  }

  void Run() {
    link = PeerLink::Connect(loop, "127.0.0.1:" + std::to_string(port), on);
    RunFor(loop, kShort);
    // Several messages come in one read.
    for (int n = 0; accepted && n < 3; ++n) accepted->Send("message");
    RunFor(loop, kShort);
    accepted.reset();
    RunFor(loop, kShort);
    BOOST_TEST(captured.expired());
  }

  Loop loop;
  std::shared_ptr<PeerLink> accepted;
  PeerServer server{
      loop, [this](std::shared_ptr<PeerLink> it) { accepted = std::move(it); }};
  std::uint16_t port = 0;
  std::shared_ptr<PeerLink> link;
  PeerLink::Handlers on;
  std::weak_ptr<int> captured;
  int opens = 0;
  int messages = 0;
  int closes = 0;
  int* ends_in = nullptr;
  bool drops = true;
};

struct LinkThatIsKept : LinkFixture {
  LinkThatIsKept() { drops = false; }
};

// Guards against handlers that are called after their owner has gone, with the
// messages behind the one that ended it.
BOOST_FIXTURE_TEST_CASE(ALinkMayBeDroppedWithAMessage, LinkFixture) {
  ends_in = &messages;
  Run();
  BOOST_TEST(messages == 1);
  BOOST_TEST(closes == 0);
}

// Guards against messages that reach an owner who has gone as the link opened.
BOOST_FIXTURE_TEST_CASE(ALinkMayBeDroppedAsItOpens, LinkFixture) {
  ends_in = &opens;
  Run();
  BOOST_TEST(opens == 1);
  BOOST_TEST(messages == 0);
}

// Guards against a link that is used after the report of its end.
BOOST_FIXTURE_TEST_CASE(ALinkMayBeDroppedAsItCloses, LinkFixture) {
  ends_in = &closes;
  Run();
  BOOST_TEST(messages == 3);
  BOOST_TEST(closes == 1);
}

// Guards against handlers that are destroyed while one of them runs.
BOOST_FIXTURE_TEST_CASE(ALinkMayLoseItsHandlersWithAMessage, LinkThatIsKept) {
  ends_in = &messages;
  Run();
  BOOST_TEST(messages == 1);
  BOOST_TEST(closes == 0);
}

// The same as it opens.
BOOST_FIXTURE_TEST_CASE(ALinkMayLoseItsHandlersAsItOpens, LinkThatIsKept) {
  ends_in = &opens;
  Run();
  BOOST_TEST(messages == 0);
}

// The same as it closes.
BOOST_FIXTURE_TEST_CASE(ALinkMayLoseItsHandlersAsItCloses, LinkThatIsKept) {
  ends_in = &closes;
  Run();
  BOOST_TEST(closes == 1);
}

}  // namespace
}  // namespace quaytrack
