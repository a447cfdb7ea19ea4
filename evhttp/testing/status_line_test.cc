// Tests that an answer whose status line isn't valid, or isn't that of a final
// answer, breaks its call at once.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "evhttp/http_client.h"
#include "testing/answering_server.h"

namespace quaytrack {
namespace {

constexpr char kRest[] = "Content-Length: 2\r\n\r\nok";
constexpr Duration kLimit = std::chrono::seconds(10);

struct Fixture {
  // The result of a call; std::nullopt if it has none in time.
  std::optional<HttpResult> Call(const std::string& answer) {
    server.answer = answer;
    heads.clear();
    HttpRequest request;
    request.address = server.Address();
    std::optional<HttpResult> out;
    HttpCall::Handlers on;
    on.head = [&](int status, const std::string&) { heads.push_back(status); };
    on.end = [&](const HttpResult& it) {
      out = it;
      loop.Stop();
    };
    client.Start(std::move(request), std::move(on));
    const auto guard = loop.After(kLimit, [&] { loop.Stop(); });
    loop.Run();
    return out;
  }

  Loop loop;
  AnsweringServer server{loop};
  HttpClient client{loop};
  std::vector<int> heads;
};

// Guards against a caller that gets such an answer, and against a call that
// waits for the rest of it.
BOOST_FIXTURE_TEST_CASE(AStatusLineThatIsNotValidBreaksTheCall, Fixture) {
  for (const char* line :
       {"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 20 X",
        "HTTP/1.1 101 X", "HTTP/1.1 103 X", "HTTP/1.1 600 X", "HTTP/1.1 700 X",
        "HTTP/1.1 999 X", "HTTP/1.1 0200 X", "HTTP/1.1 200x", "HTTP/9.9 200 X",
        "HTTP/0.9 200 X", "HTTP/1.1 200 O\x02K"}) {
    for (const char* rest : {"", kRest}) {
      const auto it = Call(std::string(line) + "\r\n" + rest);
      BOOST_REQUIRE_MESSAGE(it.has_value(), line);
      BOOST_TEST((it->end == HttpEnd::kBroken), line);
      BOOST_TEST(it->body.empty());
      BOOST_TEST(heads.empty());
    }
  }
}

// Guards against sound answers that are refused, and against an interim one
// that is taken for the final one.
BOOST_FIXTURE_TEST_CASE(AnAnswerAfter100IsRead, Fixture) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto it = Call(interim + "HTTP/1.1 299\r\n" + kRest);
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST((it->end == HttpEnd::kComplete));
  BOOST_TEST(it->status == 299);
  BOOST_TEST(it->body == "ok");
  BOOST_TEST((heads == std::vector<int>{299}));
  const auto broken = Call(interim + "HTTP/1.1 600 X\r\n" + kRest);
  BOOST_REQUIRE(broken.has_value());
  BOOST_TEST((broken->end == HttpEnd::kBroken));
}

// Guards against answers that are only checked if they are the first ones on
// their connection.
BOOST_FIXTURE_TEST_CASE(LaterAnswersAreChecked, Fixture) {
  const std::string good = "HTTP/1.1 200 OK\r\n" + std::string(kRest);
  BOOST_TEST(Call(good)->ok());
  BOOST_TEST(Call(good)->ok());
  BOOST_TEST(server.sockets.size() == 1U);
  BOOST_TEST((Call("HTTP/1.1 700 X\r\n")->end == HttpEnd::kBroken));
  BOOST_TEST(Call(good)->ok());
}

}  // namespace
}  // namespace quaytrack
