// Tests of code that goes on after a handler which has ended its own call or
// connection: each handler of a call, a caller's connection and a parser ends
// what it was called by, with more bytes behind those that it was called for.

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "http/caller_server.h"
#include "http/target_connection.h"
#include "http/tunnel.h"
#include "testing/answering_server.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "POST /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kHeadBytes[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kChunk[] = "2\r\nok\r\n";
constexpr char kEndBytes[] = "0\r\n\r\n";
// Bytes behind a chunk that are no chunk.
constexpr char kNoChunk[] = "nonsense\r\n";
constexpr Duration kShort = milliseconds(50);

// Where a call is cancelled.
enum class Where { kHead, kBody, kEnd, kMaySend, kNotConnected };

// How a call reaches its target.
enum class Way { kDirect, kFramedTunnel, kPlainTunnel };

// What follows the bytes that the handler gets, in the same read.
constexpr auto kRests = std::to_array<const char*>(
    {"", kNoChunk, kChunk, kEndBytes, "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"});

struct Fixture {
  Fixture() {
    framed.first = TunnelAnswer(TunnelStatus::kOpen, true);
    plain.first = TunnelAnswer(TunnelStatus::kOpen);
  }
  std::string Via(Way way) const {
    if (way == Way::kDirect) return "";
    return way == Way::kFramedTunnel ? framed.Address() : plain.Address();
  }
  // Sets the target's answer, and what the peers pass on of it.
  void SetAnswer(const std::string& bytes) {
    target.answer = plain.answer = bytes;
    framed.answer = TunnelData(bytes);
  }

  // Counts the call of a handler, and cancels the call in the handler at
  // `where`. What the handler captured must outlive the cancel.
  void Enter(Where at) {
    ++entered;
    BOOST_TEST(!cancelled);
    if (at != where) return;
    cancelled = true;
    call->Cancel();
    BOOST_TEST(!captured.expired());
  }

  void Start(const std::string& address, const std::string& via) {
    auto keep = std::make_shared<int>(0);
    captured = keep;
    CallHandle::Handlers on;
    on.head = [this, keep](const HttpHead&) {
      Enter(Where::kHead);
      return head_is_expected;
    };
    on.body = [this, keep](std::string_view) { Enter(Where::kBody); };
    on.end = [this, keep](CallEnd) {
      Enter(address_fails ? Where::kNotConnected : Where::kEnd);
    };
    TargetCall it;
    it.address = address;
    it.bytes = kRequest;
    it.via = via;
    it.may_send = [this, keep] {
      Enter(Where::kMaySend);
      return may_send;
    };
    call = connections.Start(it, std::move(on));
  }

  // Cancels a call at `where`, with `rest` behind the bytes for the handler.
  void CancelAt(Where at, Way way, const std::string& rest) {
    where = at;
    cancelled = false;
    entered = 0;
    SetAnswer(at == Where::kHead ? std::string(kHeadBytes) + rest
                                 : std::string(kHeadBytes) + kChunk + rest);
    Start(target.Address(), Via(way));
    RunFor(loop, kShort);
    BOOST_TEST(cancelled);
    BOOST_TEST(!call->sent());
    BOOST_TEST(!connections.HasIdle(target.Address()));
    // The call still answers questions, and a second cancel does nothing.
    call->PauseReading();
    call->ResumeReading();
    call->Cancel();
    call.reset();
    BOOST_TEST(captured.expired());
  }

  SystemClock clock;
  Loop loop;
  AnsweringServer target{loop};
  // Peers whose tunnels carry frames, and plain bytes as in an earlier version.
  AnsweringServer framed{loop};
  AnsweringServer plain{loop};
  TargetConnections connections{loop, clock};
  std::shared_ptr<CallHandle> call;
  std::weak_ptr<int> captured;
  Where where = Where::kEnd;
  bool may_send = true;
  bool head_is_expected = true;
  bool address_fails = false;
  bool cancelled = false;
  int entered = 0;
};

constexpr auto kWays =
    std::to_array({Way::kDirect, Way::kFramedTunnel, Way::kPlainTunnel});

// Guards against a process that ends as an answer whose body ended its call
// goes on with bytes that are no answer.
BOOST_FIXTURE_TEST_CASE(ABodyHandlerMayCancelItsCall, Fixture) {
  for (const Way way : kWays) {
    for (const char* rest : kRests) CancelAt(Where::kBody, way, rest);
  }
}

// Guards against the same after the head of an answer.
BOOST_FIXTURE_TEST_CASE(AHeadHandlerMayCancelItsCall, Fixture) {
  for (const bool expected : {true, false}) {
    head_is_expected = expected;
    for (const Way way : kWays) {
      for (const char* rest : kRests) CancelAt(Where::kHead, way, rest);
    }
  }
}

// Guards against a call that ends twice, as a check before its send cancels it.
BOOST_FIXTURE_TEST_CASE(TheCheckBeforeTheSendMayCancelItsCall, Fixture) {
  for (const bool allowed : {true, false}) {
    may_send = allowed;
    for (const Way way : kWays) CancelAt(Where::kMaySend, way, "");
  }
  for (const AnsweringServer* it : {&target, &framed, &plain})
    BOOST_TEST(it->received.empty());
}

// Guards against a call that is used after its end was reported.
BOOST_FIXTURE_TEST_CASE(AnEndHandlerMayCancelItsCall, Fixture) {
  where = Where::kEnd;
  for (const Way way : kWays) {
    for (const char* rest : {kEndBytes, kNoChunk}) {
      cancelled = false;
      SetAnswer(std::string(kHeadBytes) + kChunk + rest);
      Start(target.Address(), Via(way));
      RunFor(loop, kShort);
      BOOST_TEST(cancelled);
      call.reset();
      BOOST_TEST(captured.expired());
      connections.CloseIdle(target.Address());
    }
  }
}

// Guards against the same where no connection was ever made, and where it is
// refused later.
BOOST_FIXTURE_TEST_CASE(AnEndHandlerMayCancelACallWithoutConnection, Fixture) {
  address_fails = true;
  where = Where::kNotConnected;
  for (const char* address : {"no address", "127.0.0.1:1"}) {
    for (const char* via : {"", "no address", "127.0.0.1:1"}) {
      cancelled = false;
      Start(address, via);
      RunFor(loop, kShort);
      BOOST_TEST(cancelled);
      call.reset();
      BOOST_TEST(captured.expired());
    }
  }
}

// Guards against an answer without a length whose connection ends as its call
// is cancelled.
BOOST_FIXTURE_TEST_CASE(ABodyHandlerMayCancelBeforeTheConnectionEnds, Fixture) {
  target.after = framed.after = AfterAnswer::kClose;
  for (const Way way : {Way::kDirect, Way::kFramedTunnel}) {
    CancelAt(Where::kBody, way, kNoChunk);
    CancelAt(Where::kHead, way, kNoChunk);
  }
}

// Guards against a connection that is used after the report that it opened has
// closed it.
BOOST_FIXTURE_TEST_CASE(AProbeMayCloseItsConnection, Fixture) {
  int done = 0;
  connections.Probe(target.Address(), [&](bool opened) {
    BOOST_TEST(opened);
    ++done;
    connections.CloseIdle(target.Address());
  });
  connections.Probe("127.0.0.1:1", [&](bool opened) {
    BOOST_TEST(!opened);
    ++done;
    connections.CloseIdle("127.0.0.1:1");
  });
  RunFor(loop, kShort);
  BOOST_TEST(done == 2);
  BOOST_TEST(!connections.HasIdle(target.Address()));
}

// Guards against a kept connection that ends as others are closed.
BOOST_FIXTURE_TEST_CASE(TheReportOfAnUnexpectedEndMayCloseConnections,
                        Fixture) {
  int reported = 0;
  connections.OnUnexpectedEnd([&](const std::string& address) {
    ++reported;
    connections.CloseIdle(address);
  });
  for (int n = 0; n < 2; ++n) connections.Probe(target.Address(), [](bool) {});
  RunFor(loop, kShort);
  for (const auto& it : target.sockets) it->Close();
  RunFor(loop, kShort);
  BOOST_TEST(reported == 1);
}

// --- Parsers -----------------------------------------------------------------

// Guards against handlers that are called after the message was dropped in one
// of them.
BOOST_AUTO_TEST_CASE(AParserHandlerMayDropItsMessage) {
  const std::string bytes =
      std::string(kHeadBytes) + kChunk + kChunk + kEndBytes + kHeadBytes;
  for (const Where where : {Where::kHead, Where::kBody, Where::kEnd}) {
    std::unique_ptr<HttpParser> parser;
    int after = 0;
    bool dropped = false;
    const auto enter = [&](Where at) {
      if (dropped) ++after;
      if (at != where || dropped) return;
      dropped = true;
      parser->Discard();
    };
    parser = std::make_unique<HttpParser>(
        HttpParser::Kind::kResponse,
        HttpParser::Handlers{[&](HttpHead&) { enter(Where::kHead); },
                             [&](std::string_view) { enter(Where::kBody); },
                             [&] { enter(Where::kEnd); }},
        HttpLimits());
    std::string_view rest = bytes;
    for (int n = 0; n < 3; ++n) rest.remove_prefix(parser->Feed(rest));
    parser->FeedEnd();
    BOOST_TEST(dropped);
    BOOST_TEST(after == 0);
    BOOST_TEST((parser->fault() == HttpFault::kMalformed));
  }
}

// Guards against a parser that is used after one of its handlers has destroyed
// it.
BOOST_AUTO_TEST_CASE(AParserHandlerMayDestroyItsParser) {
  const std::string bytes =
      std::string(kHeadBytes) + kChunk + kChunk + kEndBytes + kHeadBytes;
  for (const Where where : {Where::kHead, Where::kBody, Where::kEnd}) {
    std::unique_ptr<HttpParser> parser;
    std::weak_ptr<int> captured;
    int calls_after = 0;
    bool outlived = false;
    auto keep = std::make_shared<int>(0);
    captured = keep;
    const auto enter = [&](Where at) {
      if (!parser) ++calls_after;
      if (at != where || !parser) return;
      parser.reset();
      outlived = !captured.expired();
    };
    parser = std::make_unique<HttpParser>(
        HttpParser::Kind::kResponse,
        HttpParser::Handlers{
            [&, keep](HttpHead&) { enter(Where::kHead); },
            [&, keep](std::string_view) { enter(Where::kBody); },
            [&, keep] { enter(Where::kEnd); }},
        HttpLimits());
    keep.reset();
    parser->Feed(bytes);
    BOOST_TEST(!parser);
    BOOST_TEST(outlived);
    BOOST_TEST(calls_after == 0);
    BOOST_TEST(captured.expired());
  }
}

// The same at the end of a connection that completes an answer.
BOOST_AUTO_TEST_CASE(AParserMayEndWithItsConnection) {
  std::unique_ptr<HttpParser> parser;
  std::weak_ptr<int> captured;
  bool outlived = false;
  auto keep = std::make_shared<int>(0);
  captured = keep;
  parser = std::make_unique<HttpParser>(
      HttpParser::Kind::kResponse,
      HttpParser::Handlers{[](HttpHead&) {}, [](std::string_view) {},
                           [&, keep] {
                             parser.reset();
                             outlived = !captured.expired();
                           }},
      HttpLimits());
  keep.reset();
  parser->Feed("HTTP/1.1 200 OK\r\n\r\nok");
  BOOST_TEST(parser->FeedEnd());
  BOOST_TEST(outlived);
  BOOST_TEST(captured.expired());
}

// --- Connections of callers --------------------------------------------------

// Bytes for a caller that the kernel doesn't accept at once.
constexpr std::size_t kManyBytes = 16 * 1024 * 1024;

struct CallerFixture {
  CallerFixture() {
    port = server.Listen("127.0.0.1:0");
    server.Serve([this](const std::shared_ptr<CallerConnection>& it,
                        const CallerRequest&) { handler(it); });
  }
  std::shared_ptr<TcpSocket> Ask(const std::string& bytes) {
    TcpSocket::Handlers on;
    on.data = [this](std::string_view it) { received += it.size(); };
    on.ended = [this](SocketEnd) { ++ended; };
    auto out = TcpSocket::Connect(loop, "127.0.0.1:" + std::to_string(port), {},
                                  std::move(on));
    out->Write(bytes);
    return out;
  }

  SystemClock clock;
  Loop loop;
  std::unique_ptr<CallerServer> owned =
      std::make_unique<CallerServer>(loop, clock);
  CallerServer& server = *owned;
  std::uint16_t port = 0;
  std::function<void(std::shared_ptr<CallerConnection>)> handler;
  std::size_t received = 0;
  int ended = 0;
};

// Guards against a connection that is used after its request's handler has
// ended it.
BOOST_FIXTURE_TEST_CASE(TheHandlerOfARequestMayEndItsConnection,
                        CallerFixture) {
  int requests = 0;
  handler = [&](const std::shared_ptr<CallerConnection>& it) {
    ++requests;
    it->Abort();
    it->Reply({}, "late");
    it->StartStream({});
    it->WriteChunk("late");
    it->EndStream();
  };
  // The bytes of a second request are behind it.
  const auto socket = Ask(std::string(kRequest) + kRequest);
  RunFor(loop, kShort);
  BOOST_TEST(requests == 1);
  BOOST_TEST(received == 0U);
  BOOST_TEST(ended == 1);
}

// Guards against an action that is destroyed while it runs, as it ends its
// exchange.
BOOST_FIXTURE_TEST_CASE(TheActionOfADrainedConnectionMayEndIt, CallerFixture) {
  for (const bool aborts : {true, false}) {
    ended = 0;
    int drained = 0;
    std::weak_ptr<int> captured;
    handler = [&](const std::shared_ptr<CallerConnection>& it) {
      auto keep = std::make_shared<int>(0);
      captured = keep;
      it->StartStream({});
      it->OnDrained([&, it, keep = std::move(keep)] {
        ++drained;
        aborts ? it->Abort() : it->EndStream();
        BOOST_TEST(!captured.expired());
      });
      it->WriteChunk(std::string(kManyBytes, 'x'));
    };
    const auto socket = Ask(kRequest);
    for (int n = 0; n < 100 && drained == 0; ++n) RunFor(loop, kShort);
    BOOST_TEST(drained == 1);
    RunFor(loop, kShort);
    BOOST_TEST(ended == (aborts ? 1 : 0));
    BOOST_TEST(captured.expired());
  }
}

// Guards against a connection that is used after the action for a caller that
// left has ended it.
BOOST_FIXTURE_TEST_CASE(TheActionOfACallerThatLeftMayEndItsConnection,
                        CallerFixture) {
  int gone = 0;
  handler = [&](const std::shared_ptr<CallerConnection>& it) {
    it->OnGone([&, it] {
      ++gone;
      it->Abort();
      it->Reply({}, "late");
    });
  };
  const auto socket = Ask(kRequest);
  RunFor(loop, kShort);
  socket->Close();
  RunFor(loop, kShort);
  BOOST_TEST(gone == 1);
}

// Guards against connections that are used after one of them, as it was ended
// for memory, has ended the others.
BOOST_FIXTURE_TEST_CASE(AConnectionThatIsShedMayEndTheOthers, CallerFixture) {
  constexpr int kCallers = 3;
  std::vector<std::shared_ptr<CallerConnection>> all;
  int gone = 0;
  handler = [&](const std::shared_ptr<CallerConnection>& it) {
    it->OnGone([&] {
      ++gone;
      for (const auto& other : all) other->Abort();
    });
    all.push_back(it);
  };
  std::vector<std::shared_ptr<TcpSocket>> sockets;
  for (int n = 0; n < kCallers; ++n) sockets.push_back(Ask(kRequest));
  RunFor(loop, kShort);
  BOOST_REQUIRE(all.size() == static_cast<std::size_t>(kCallers));
  CallerBounds bounds;
  bounds.memory_bytes = 1;
  server.SetBounds(bounds);
  for (const auto& it : std::vector(all)) it->NoteHeld(kManyBytes);
  RunFor(loop, kShort);
  BOOST_TEST(gone == 1);
  BOOST_TEST(ended == kCallers);
}

// Guards against a server that is used after the handler of a request has
// destroyed it, with requests of other connections about to be handed over.
BOOST_FIXTURE_TEST_CASE(TheHandlerOfARequestMayDestroyItsServer,
                        CallerFixture) {
  int requests = 0;
  std::weak_ptr<int> captured;
  bool outlived = false;
  {
    auto keep = std::make_shared<int>(0);
    captured = keep;
    server.Serve([&, keep](const std::shared_ptr<CallerConnection>& it,
                           const CallerRequest&) {
      ++requests;
      owned.reset();
      outlived = !captured.expired();
      it->Reply({}, "late");
      it->StartStream({});
      it->WriteChunk("late");
      it->EndStream();
      it->NoteHeld(1);
      it->Abort();
    });
  }
  std::vector<std::shared_ptr<TcpSocket>> sockets;
  for (int n = 0; n < 3; ++n)
    sockets.push_back(Ask(std::string(kRequest) + kRequest));
  RunFor(loop, kShort);
  BOOST_TEST(requests == 1);
  BOOST_TEST(outlived);
  BOOST_TEST(captured.expired());
  BOOST_TEST(received == 0U);
  BOOST_TEST(ended == 3);
}

// The same in the action of a caller that left, and of one that is ended as its
// request holds too much.
BOOST_FIXTURE_TEST_CASE(AnActionOfAConnectionMayDestroyItsServer,
                        CallerFixture) {
  for (const bool is_shed : {false, true}) {
    if (!owned) {
      owned = std::make_unique<CallerServer>(loop, clock);
      port = owned->Listen("127.0.0.1:0");
    }
    CallerServer& it = *owned;
    int gone = 0;
    std::vector<std::shared_ptr<CallerConnection>> held;
    it.Serve([&](const std::shared_ptr<CallerConnection>& caller,
                 const CallerRequest&) {
      held.push_back(caller);
      caller->OnGone([&] {
        ++gone;
        owned.reset();
      });
    });
    std::vector<std::shared_ptr<TcpSocket>> sockets;
    for (int n = 0; n < 3; ++n) sockets.push_back(Ask(kRequest));
    RunFor(loop, kShort);
    BOOST_REQUIRE(held.size() == 3U);
    if (is_shed) {
      it.SetBounds({1, 10});
      for (const auto& caller : held) caller->NoteHeld(1024 * 1024);
    } else {
      sockets[1]->Close();
    }
    RunFor(loop, kShort);
    BOOST_TEST(!owned);
    BOOST_TEST(gone == 1);
    for (const auto& caller : held) {
      BOOST_TEST(!caller->open());
      caller->NoteHeld(1);
      caller->Abort();
    }
  }
}

// The same in the gate that decides on a new connection.
BOOST_FIXTURE_TEST_CASE(TheGateMayDestroyItsServer, CallerFixture) {
  std::weak_ptr<int> captured;
  bool outlived = false;
  {
    auto keep = std::make_shared<int>(0);
    captured = keep;
    server.SetGate([&, keep] {
      owned.reset();
      outlived = !captured.expired();
      return true;
    });
  }
  std::vector<std::shared_ptr<TcpSocket>> sockets;
  for (int n = 0; n < 3; ++n) sockets.push_back(Ask(kRequest));
  RunFor(loop, kShort);
  BOOST_TEST(!owned);
  BOOST_TEST(outlived);
  BOOST_TEST(captured.expired());
  BOOST_TEST(received == 0U);
}

}  // namespace
}  // namespace quaytrack
