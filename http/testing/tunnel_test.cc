// Calls through a tunnel of a peer, over loopback.

#include "http/tunnel.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/target_connection.h"
#include "http/tunnel_server.h"
#include "net/peer_link.h"
#include "testing/answering_server.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kWithoutLength[] = "HTTP/1.1 200 OK\r\n\r\nok";
constexpr Duration kLimit = std::chrono::seconds(5);

// A peer that carries tunnels.
struct Peer {
  explicit Peer(Loop& loop)
      : tunnels(std::make_unique<TunnelServer>(
            loop, TcpSocket::Connect,
            TunnelServer::Handlers{
                [this, keep = captured_by()](const std::string&) {
                  if (ends == Ends::kInCheck) End();
                  return status;
                },
                [this, keep = captured_by()](const std::string&, bool) {
                  if (ends == Ends::kAsDialed) End();
                }})),
        server(loop, [](const std::shared_ptr<PeerLink>&) {}) {
    server.OnOther([this](std::shared_ptr<TcpSocket> socket,
                          std::string_view first_bytes) {
      if (tunnels) tunnels->Accept(std::move(socket), first_bytes);
    });
    port = server.Listen("127.0.0.1:0");
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  // Which handler destroys the server.
  enum class Ends { kNever, kInCheck, kAsDialed };
  void End() {
    tunnels.reset();
    outlived = !captured.expired();
  }
  // What the handlers own.
  std::shared_ptr<int> captured_by() {
    auto out = captured.lock();
    if (!out) out = std::make_shared<int>();
    captured = out;
    return out;
  }

  Ends ends = Ends::kNever;
  std::weak_ptr<int> captured;
  // What a handler owns was there after it had destroyed the server.
  bool outlived = false;
  TunnelStatus status = TunnelStatus::kOpen;
  std::unique_ptr<TunnelServer> tunnels;
  PeerServer server;
  std::uint16_t port = 0;
};

struct Fixture {
  void Start(const std::string& address, const std::string& via) {
    CallHandle::Handlers on;
    on.head = [this](const HttpHead&) {
      if (pauses) call->PauseReading();
      return true;
    };
    on.body = [this](std::string_view it) { body += it; };
    on.end = [this](CallEnd it) {
      end = it;
      loop.Stop();
    };
    call = connections.Start(
        {address, kRequest, [this] { return may_send; }, via}, std::move(on));
  }
  void Run() {
    const auto timer = loop.After(kLimit, [this] { loop.Stop(); });
    loop.Run();
    BOOST_REQUIRE(end.has_value());
  }
  void Call() {
    Start(target.Address(), peer.Address());
    Run();
  }

  SystemClock clock;
  Loop loop;
  AnsweringServer target{loop};
  Peer peer{loop};
  TargetConnections connections{loop, clock};
  bool may_send = true;
  // Reading pauses with the head of the answer.
  bool pauses = false;
  std::shared_ptr<CallHandle> call;
  std::optional<CallEnd> end;
  std::string body;
};

// Guards against bytes that a peer changes.
BOOST_FIXTURE_TEST_CASE(CarriesARequestAndItsAnswerUnchanged, Fixture) {
  Call();
  BOOST_TEST((end == CallEnd::kComplete));
  BOOST_TEST(body == "ok");
  BOOST_TEST(target.received == kRequest);
}

// Guards against a kept tunnel that meets its peer's planned stop.
BOOST_FIXTURE_TEST_CASE(ATunnelEndsWithItsRequest, Fixture) {
  Call();
  RunFor(loop, milliseconds(100));
  BOOST_TEST(target.ended == 1);
  BOOST_TEST(peer.tunnels->size() == 0U);
  Call();
  BOOST_TEST(peer.tunnels->opened() == 2U);
}

// Guards against a whole answer that is taken for a broken one.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutLengthIsCompleteIfItsTargetCloses,
                        Fixture) {
  target.answer = kWithoutLength;
  target.after = AfterAnswer::kClose;
  Call();
  BOOST_TEST((end == CallEnd::kComplete));
  BOOST_TEST(body == "ok");
}

// Guards against a broken answer that looks complete.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutLengthThatIsResetIsBroken, Fixture) {
  target.answer = kWithoutLength;
  target.after = AfterAnswer::kReset;
  Call();
  BOOST_TEST((end == CallEnd::kBroken));
}

// Guards against a request that runs although it was refused.
BOOST_FIXTURE_TEST_CASE(ARefusedTunnelCarriesNothing, Fixture) {
  for (const TunnelStatus it :
       {TunnelStatus::kNoRoom, TunnelStatus::kNoTarget}) {
    peer.status = it;
    Call();
    BOOST_TEST((end == CallEnd::kNoTunnel));
  }
  BOOST_TEST(target.received.empty());
}

// Guards against peers that are left for the fault of a target.
BOOST_FIXTURE_TEST_CASE(ATargetThatThePeerCantReachIsNotThePeersFault,
                        Fixture) {
  target.listener.Stop();
  Call();
  BOOST_TEST((end == CallEnd::kNotSent));
}

// Guards against a target that is left for the fault of a peer.
BOOST_FIXTURE_TEST_CASE(APeerThatIsDownCarriesNothing, Fixture) {
  Start(target.Address(), "127.0.0.1:1");
  Run();
  BOOST_TEST((end == CallEnd::kNoTunnel));
}

// Guards against a request that was reported as not run, and runs.
BOOST_FIXTURE_TEST_CASE(NothingIsSentBeforeTheTunnelIsOpen, Fixture) {
  may_send = false;
  Start(target.Address(), peer.Address());
  BOOST_TEST(call->connecting());
  BOOST_TEST(!call->sent());
  Run();
  BOOST_TEST((end == CallEnd::kCancelledBeforeSend));
  RunFor(loop, milliseconds(100));
  BOOST_TEST(target.received.empty());
}

// The request may have run, and must not be reported as not run.
BOOST_FIXTURE_TEST_CASE(APeerThatDiesHalfwayLeavesTheRequestUnknown, Fixture) {
  target.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
  Start(target.Address(), peer.Address());
  RunFor(loop, milliseconds(100));
  BOOST_TEST(call->sent());
  peer.tunnels.reset();
  Run();
  BOOST_TEST((end == CallEnd::kTunnelBroken));
}

// Guards against the end of a peer that is taken for the end of the target's
// answer, which then looks complete.
BOOST_FIXTURE_TEST_CASE(ThePeersEndDoesNotCompleteAnAnswerWithoutLength,
                        Fixture) {
  target.answer = kWithoutLength;
  Start(target.Address(), peer.Address());
  RunFor(loop, milliseconds(100));
  BOOST_TEST(body == "ok");
  peer.tunnels.reset();
  Run();
  BOOST_TEST((end == CallEnd::kTunnelBroken));
}

// A peer of the version before frames: it copies bytes, and its connection ends
// with the target's.
struct EarlierPeer {
  explicit EarlierPeer(Loop& it) : loop(it) {
    port = listener.Listen("127.0.0.1:0");
  }
  void Accept(int fd) {
    socket = TcpSocket::Adopt(loop, fd, TcpOptions());
    TcpSocket::Handlers on;
    on.data = [this](std::string_view bytes) {
      const bool is_head = bytes.starts_with(kTunnelMethod);
      socket->Write(is_head ? TunnelAnswer(TunnelStatus::kOpen) : answer);
      if (!is_head) socket->ShutdownWrite();
    };
    socket->SetHandlers(std::move(on));
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  Loop& loop;
  std::string answer;
  std::shared_ptr<TcpSocket> socket;
  TcpListener listener{loop, [this](int fd) { Accept(fd); }};
  std::uint16_t port = 0;
};

// Guards against an answer that looks complete although nobody could tell, as
// it was carried by a peer of an earlier version.
BOOST_FIXTURE_TEST_CASE(AnEarlierPeerCompletesOnlyAnswersWithALength, Fixture) {
  EarlierPeer earlier(loop);
  earlier.answer = kWithoutLength;
  Start(target.Address(), earlier.Address());
  Run();
  BOOST_TEST((end == CallEnd::kTunnelBroken));
  end.reset();
  earlier.answer = kAnswer;
  Start(target.Address(), earlier.Address());
  Run();
  BOOST_TEST((end == CallEnd::kComplete));
}

// A router of the version before frames, which carries a request through the
// peer.
struct EarlierRouter {
  EarlierRouter(Loop& loop, const std::string& peer,
                const std::string& target) {
    TcpSocket::Handlers on;
    on.data = [this](std::string_view bytes) {
      received += bytes;
      if (!asked) socket->Write(kRequest);
      asked = true;
    };
    on.ended = [this](SocketEnd it) { end = it; };
    socket = TcpSocket::Connect(loop, peer, TcpOptions(), std::move(on));
    socket->Write("CONNECT " + target + " HTTP/1.1\r\n\r\n");
  }

  std::shared_ptr<TcpSocket> socket;
  bool asked = false;
  std::string received;
  std::optional<SocketEnd> end;
};

// Guards against bytes that an earlier version can't read, and against a
// peer's end that it would take for the end of the answer.
BOOST_FIXTURE_TEST_CASE(AnEarlierRouterGetsPlainBytesAndSeesThePeersEnd,
                        Fixture) {
  target.answer = kWithoutLength;
  EarlierRouter earlier(loop, peer.Address(), target.Address());
  RunFor(loop, milliseconds(100));
  BOOST_TEST(earlier.received.ends_with(kWithoutLength));
  BOOST_TEST(!earlier.end.has_value());
  peer.tunnels.reset();
  RunFor(loop, milliseconds(100));
  BOOST_REQUIRE(earlier.end.has_value());
  BOOST_TEST((*earlier.end == SocketEnd::kReset));
}

// Guards against whole answers that an earlier version takes for broken ones.
BOOST_FIXTURE_TEST_CASE(AnEarlierRouterSeesTheEndOfTheTarget, Fixture) {
  target.answer = kWithoutLength;
  target.after = AfterAnswer::kClose;
  EarlierRouter earlier(loop, peer.Address(), target.Address());
  RunFor(loop, milliseconds(100));
  BOOST_TEST(earlier.received.ends_with(kWithoutLength));
  BOOST_REQUIRE(earlier.end.has_value());
  BOOST_TEST((*earlier.end == SocketEnd::kClosed));
}

// Guards against targets that work for callers that have left.
BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesIsNoticedAtTheTarget, Fixture) {
  target.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
  Start(target.Address(), peer.Address());
  RunFor(loop, milliseconds(100));
  call->Cancel();
  RunFor(loop, milliseconds(100));
  BOOST_TEST(target.ended == 1);
  BOOST_TEST(peer.tunnels->size() == 0U);
}

// Guards against answers that fill a peer's memory.
BOOST_FIXTURE_TEST_CASE(ASlowReaderSlowsTheTargetDown, Fixture) {
  constexpr std::size_t kBytes = 32 * 1024 * 1024;
  target.answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) +
      "\r\n\r\n" + std::string(kBytes, 'x');
  pauses = true;
  Start(target.Address(), peer.Address());
  RunFor(loop, milliseconds(300));
  // What the kernel and the tunnel hold is a fraction of the answer.
  BOOST_REQUIRE(target.sockets.size() == 1U);
  BOOST_TEST(target.sockets[0]->Unsent() > kBytes / 4);
  call->ResumeReading();
  Run();
  BOOST_TEST((end == CallEnd::kComplete));
  BOOST_TEST(body.size() == kBytes);
}

// Guards against connections that probes waste.
BOOST_FIXTURE_TEST_CASE(AProbeIsKeptForCalls, Fixture) {
  std::optional<bool> opened;
  connections.Probe(target.Address(), [&](bool it) { opened = it; });
  RunFor(loop, milliseconds(100));
  BOOST_TEST(opened.value_or(false));
  BOOST_TEST(connections.HasIdle(target.Address()));
  Start(target.Address(), "");
  BOOST_TEST(!call->connecting());
  Run();
  BOOST_TEST((end == CallEnd::kComplete));
  BOOST_TEST(target.sockets.size() == 1U);
}

// Guards against a probe that reports a connection which did not open.
BOOST_FIXTURE_TEST_CASE(AProbeOfAClosedPortFails, Fixture) {
  std::optional<bool> opened;
  connections.Probe("127.0.0.1:1", [&](bool it) { opened = it; });
  RunFor(loop, milliseconds(100));
  BOOST_TEST(!opened.value_or(true));
}

// Guards against heads that are split, or have bytes behind them.
BOOST_AUTO_TEST_CASE(HeadsAreReadInAnyPieces) {
  const std::string text = TunnelRequest("10.0.0.9:80");
  TunnelHead head;
  for (char it : text) {
    BOOST_TEST(!head.complete());
    head.Feed({&it, 1});
  }
  BOOST_TEST(head.complete());
  BOOST_TEST(head.TargetAddress().value_or("") == "10.0.0.9:80");
  BOOST_TEST(!head.Status().has_value());

  TunnelHead answer;
  const std::string with_more = TunnelAnswer(TunnelStatus::kNoRoom) + "more";
  BOOST_TEST(answer.Feed(with_more) == with_more.size() - 4);
  BOOST_TEST((answer.Status() == TunnelStatus::kNoRoom));
}

// Guards against frames that are split or joined by the network.
BOOST_AUTO_TEST_CASE(FramesAreReadInAnyPieces) {
  const std::string text = TunnelData("abc") +
                           TunnelData(std::string(300, 'x')) +
                           TunnelEnd(SocketEnd::kClosed);
  for (std::size_t size : {std::size_t{1}, std::size_t{4}, text.size()}) {
    TunnelFrames frames;
    std::string data;
    bool closed = false;
    for (std::size_t at = 0; at < text.size(); at += size) {
      std::string_view piece = std::string_view(text).substr(at, size);
      while (!piece.empty()) {
        const TunnelFrame it = frames.Next(piece);
        data += it.data;
        closed = it.kind == TunnelFrameKind::kClosed;
        BOOST_TEST((it.kind != TunnelFrameKind::kMalformed));
      }
    }
    BOOST_TEST(data == "abc" + std::string(300, 'x'));
    BOOST_TEST(closed);
  }
}

// Guards against plain bytes that are taken for frames.
BOOST_AUTO_TEST_CASE(OtherBytesAreNoFrames) {
  for (std::string_view it : {"HTTP/1.1 200 OK", "D\0\0\0\0", "C\0\0\0\1"}) {
    TunnelFrames frames;
    std::string_view bytes(it.data(), 5);
    BOOST_TEST((frames.Next(bytes).kind == TunnelFrameKind::kMalformed));
  }
}

// Guards against other protocols, and heads without an end.
BOOST_AUTO_TEST_CASE(OtherBytesAreNoHead) {
  for (const char* it :
       {"GET / HTTP/1.1\r\n\r\n", "CONNECT  HTTP/1.1\r\n\r\n",
        "CONNECT 10.0.0.9:80\r\n\r\n", "CONNECT 10.0.0.9:80 SMTP\r\n\r\n",
        "HTTP/1.1 299 x\r\n\r\n", "HTTP/1.1\r\n\r\n"}) {
    TunnelHead head;
    head.Feed(it);
    BOOST_TEST(!head.TargetAddress().has_value(), it);
    BOOST_TEST(!head.Status().has_value(), it);
  }
  TunnelHead endless;
  endless.Feed(std::string(5000, 'x'));
  BOOST_TEST(endless.malformed());
}

// Guards against a tunnel whose peer didn't open it.
BOOST_AUTO_TEST_CASE(ATunnelsStatusLineIsChecked) {
  for (const char* line :
       {"HTTP/1.1 200x", "HTTP/1.1 0200 open", "HTTP/9.9 200 open",
        "HTTP/1.1 200 op\x02n", "HTTP/1.1"}) {
    TunnelHead head;
    head.Feed(std::string(line) + "\r\n\r\n");
    BOOST_TEST(head.complete());
    BOOST_TEST((head.Status() == std::nullopt), line);
  }
}

// Guards against a server that is used after its handler has destroyed it, as a
// tunnel is asked for, has opened, or can't be opened.
BOOST_FIXTURE_TEST_CASE(AHandlerMayDestroyItsServer, Fixture) {
  const std::string closed = "127.0.0.1:1";
  for (const std::string& address : {target.Address(), closed}) {
    for (const auto ends : {Peer::Ends::kInCheck, Peer::Ends::kAsDialed}) {
      Peer other(loop);
      other.ends = ends;
      end.reset();
      Start(address, other.Address());
      Run();
      BOOST_TEST((end != CallEnd::kComplete));
      BOOST_TEST(!other.tunnels);
      BOOST_TEST(other.outlived);
      BOOST_TEST(other.captured.expired());
    }
  }
}

}  // namespace
}  // namespace quaytrack
