// Tests of calls and exchanges whose handlers end them, with more bytes behind
// those that the handler was called for.

#include <event2/buffer.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "evhttp/http_client.h"
#include "evhttp/http_server.h"
#include "net/tcp_socket.h"
#include "testing/answering_server.h"
#include "testing/run_for.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "POST /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kHeadBytes[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kChunk[] = "2\r\nok\r\n";
constexpr Duration kShort = milliseconds(50);
// More than the kernel accepts at once.
constexpr std::size_t kManyBytes = 16 * 1024 * 1024;

// What follows the bytes that the handler gets, in the same read.
constexpr auto kRests = std::to_array<const char*>(
    {"", "nonsense\r\n", kChunk, "0\r\n\r\n", "0\r\n\r\nHTTP/1.1 200 OK\r\n"});

enum class Where { kHead, kData, kEnd };

struct CallFixture {
  void Enter(Where at) {
    BOOST_TEST(!cancelled);
    if (at != where) return;
    cancelled = true;
    call->Cancel();
    BOOST_TEST(!captured.expired());
  }

  void Run(const std::string& address) {
    cancelled = false;
    auto keep = std::make_shared<int>(0);
    captured = keep;
    HttpRequest request;
    request.address = address;
    HttpCall::Handlers on;
    on.head = [this, keep](int, const std::string&) { Enter(Where::kHead); };
    if (takes_data)
      on.data = [this, keep](evbuffer* data) {
        evbuffer_drain(data, evbuffer_get_length(data));
        Enter(Where::kData);
      };
    on.end = [this, keep](const HttpResult&) { Enter(Where::kEnd); };
    keep.reset();
    call = client.Start(std::move(request), std::move(on));
    RunFor(loop, kShort);
    BOOST_TEST(cancelled);
    call->PauseReading();
    call->ResumeReading();
    call->Cancel();
    call.reset();
    RunFor(loop, kShort);
    BOOST_TEST(captured.expired());
  }

  void CancelAt(Where at) {
    where = at;
    for (const char* rest : kRests) {
      server.ended = 0;
      server.answer = std::string(kHeadBytes) + kChunk + rest;
      Run(server.Address());
      BOOST_TEST(server.ended == 1);
    }
  }

  Loop loop;
  AnsweringServer server{loop};
  HttpClient client{loop};
  std::shared_ptr<HttpCall> call;
  std::weak_ptr<int> captured;
  Where where = Where::kHead;
  bool takes_data = true;
  bool cancelled = false;
};

// Guards against a call that is used after a handler has cancelled it.
BOOST_FIXTURE_TEST_CASE(AHeadHandlerMayCancelItsCall, CallFixture) {
  for (const bool data : {true, false}) {
    takes_data = data;
    CancelAt(Where::kHead);
  }
}

// Guards against a piece of a body that is handed on after the cancel.
BOOST_FIXTURE_TEST_CASE(ADataHandlerMayCancelItsCall, CallFixture) {
  CancelAt(Where::kData);
}

// Guards against a second end of a call, whether it was answered or not.
BOOST_FIXTURE_TEST_CASE(AnEndHandlerMayCancelItsCall, CallFixture) {
  where = Where::kEnd;
  server.answer = std::string(kHeadBytes) + kChunk + "0\r\n\r\n";
  Run(server.Address());
  server.answer = std::string(kHeadBytes) + "nonsense\r\n";
  Run(server.Address());
  Run("127.0.0.1:1");
  Run("no address");
}

// --- Exchanges ---------------------------------------------------------------

struct ExchangeFixture {
  ExchangeFixture() {
    port = server.Listen("127.0.0.1:0");
    server.Serve([this](std::shared_ptr<HttpExchange> it) {
      exchange = std::move(it);
      handler();
    });
  }
  std::shared_ptr<TcpSocket> Ask() {
    TcpSocket::Handlers on;
    on.data = [](std::string_view) {};
    auto out = TcpSocket::Connect(loop, "127.0.0.1:" + std::to_string(port), {},
                                  std::move(on));
    out->Write(kRequest);
    return out;
  }

  Loop loop;
  HttpServer server{loop, {}};
  std::uint16_t port = 0;
  std::shared_ptr<HttpExchange> exchange;
  std::function<void()> handler;
  std::weak_ptr<int> captured;
};

// Guards against an action that is destroyed while it runs, as it drops the
// exchange or ends it.
BOOST_FIXTURE_TEST_CASE(TheActionOfADrainedExchangeMayEndIt, ExchangeFixture) {
  for (const bool drops : {true, false}) {
    int drained = 0;
    handler = [&] {
      auto keep = std::make_shared<int>(0);
      captured = keep;
      exchange->StartStream(200, "text/plain", {});
      exchange->OnDrained([&, keep = std::move(keep)] {
        ++drained;
        if (!drops) exchange->EndStream();
        exchange.reset();
        BOOST_TEST(!captured.expired());
      });
      exchange->Write(std::string(kManyBytes, 'x'));
    };
    const auto socket = Ask();
    for (int n = 0; n < 100 && drained == 0; ++n) RunFor(loop, kShort);
    BOOST_TEST(drained == 1);
    BOOST_TEST(captured.expired());
  }
}

// Guards against the same as the caller has gone.
BOOST_FIXTURE_TEST_CASE(TheActionOfACallerThatLeftMayDropTheExchange,
                        ExchangeFixture) {
  for (const bool streams : {true, false}) {
    int gone = 0;
    handler = [&] {
      auto keep = std::make_shared<int>(0);
      captured = keep;
      if (streams) exchange->StartStream(200, "text/plain", {});
      exchange->OnGone([&, keep = std::move(keep)] {
        ++gone;
        exchange.reset();
        BOOST_TEST(!captured.expired());
      });
    };
    const auto socket = Ask();
    RunFor(loop, kShort);
    socket->Close();
    RunFor(loop, kShort);
    BOOST_TEST(gone == 1);
    BOOST_TEST(captured.expired());
  }
}

}  // namespace
}  // namespace quaytrack
