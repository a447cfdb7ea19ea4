// Tests of calls whose answers have a status line that isn't valid, from their
// target or through a peer.

#include <array>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/target_connection.h"
#include "http/tunnel.h"
#include "testing/answering_server.h"

namespace quaytrack {
namespace {

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr Duration kLimit = std::chrono::seconds(5);
constexpr auto kStatuses =
    std::to_array<const char*>({"000 X", "099 X", "20 X", "101 X", "600 X",
                                "999 X", "0200 X", "200 O\x02K"});

struct Fixture {
  // Runs the loop until the call has ended.
  std::optional<CallEnd> Call(const std::string& answer,
                              const std::string& via = "") {
    target.answer = answer;
    heads.clear();
    body.clear();
    std::optional<CallEnd> out;
    CallHandle::Handlers on;
    on.head = [&](const HttpHead& head) {
      heads.push_back(head.status);
      return head.status != kForeign;
    };
    on.body = [&](std::string_view it) { body += it; };
    on.end = [&](CallEnd it) {
      out = it;
      loop.Stop();
    };
    const auto guard = loop.After(kLimit, [&] { loop.Stop(); });
    const auto call =
        connections.Start({target.Address(), kRequest, {}, via}, std::move(on));
    loop.Run();
    return out;
  }

  // The status of an answer to another request.
  static constexpr int kForeign = 201;

  SystemClock clock;
  Loop loop;
  AnsweringServer target{loop};
  TargetConnections connections{loop, clock};
  std::vector<int> heads;
  std::string body;
};

// Guards against a call that waits behind such an answer, or is answered with
// it. The rest of its head doesn't have to come.
BOOST_FIXTURE_TEST_CASE(AStatusLineThatIsNotValidEndsTheCallAtOnce, Fixture) {
  for (const char* status : kStatuses) {
    for (const char* rest : {"", "Content-Length: 2\r\n\r\nok"}) {
      const auto end = Call("HTTP/1.1 " + std::string(status) + "\r\n" + rest);
      BOOST_TEST((end == CallEnd::kMalformed), status);
      BOOST_TEST(heads.empty());
      BOOST_TEST(body.empty());
    }
  }
  BOOST_TEST(!connections.HasIdle(target.Address()));
}

// Guards against a check of the first answer only.
BOOST_FIXTURE_TEST_CASE(AStatusLineAfterSkippedAnswersIsChecked, Fixture) {
  const auto end = Call(
      "HTTP/1.1 103 X\r\n\r\n"
      "HTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nno"
      "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((end == CallEnd::kMalformed));
  BOOST_TEST((heads == std::vector<int>{kForeign}));
}

// Guards against an answer that comes through a peer and isn't checked.
BOOST_FIXTURE_TEST_CASE(AnAnswerThroughAPeerIsChecked, Fixture) {
  AnsweringServer peer(loop);
  peer.first = TunnelAnswer(TunnelStatus::kOpen, true);
  for (const char* status : kStatuses) {
    peer.answer = TunnelData("HTTP/1.1 " + std::string(status) + "\r\n\r\n");
    const auto end = Call("", peer.Address());
    BOOST_TEST((end == CallEnd::kMalformed), status);
    BOOST_TEST(heads.empty());
  }
}

}  // namespace
}  // namespace quaytrack
