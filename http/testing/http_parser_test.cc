// Tests of HttpParser: framing, limits, and requests that could be understood
// in two ways.

#include "http/http_parser.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

struct Parsed {
  std::vector<HttpHead> heads;
  std::string body;
  int complete = 0;
};

struct Reader {
  explicit Reader(HttpParser::Kind kind, HttpLimits limits = {})
      : parser(kind,
               {[this](HttpHead& head) { parsed.heads.push_back(head); },
                [this](std::string_view bytes) { parsed.body.append(bytes); },
                [this] { ++parsed.complete; }},
               limits) {}

  // Feeds all bytes, also if the parser stops in between.
  void FeedAll(std::string_view bytes) {
    while (!bytes.empty() && parser.fault() == HttpFault::kNone) {
      bytes.remove_prefix(parser.Feed(bytes));
    }
  }

  Parsed parsed;
  HttpParser parser;
};

constexpr char kPost[] =
    "POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 5\r\n\r\n"
    "hello";

BOOST_AUTO_TEST_CASE(ReadsARequestWithALength) {
  Reader it(HttpParser::Kind::kRequest);
  it.FeedAll(kPost);
  BOOST_TEST(it.parsed.complete == 1);
  BOOST_TEST(it.parsed.body == "hello");
  BOOST_TEST(it.parsed.heads[0].method == "POST");
  BOOST_TEST(it.parsed.heads[0].Path() == "/a/b");
  BOOST_TEST(*it.parsed.heads[0].Find("x-a") == "1");
}

BOOST_AUTO_TEST_CASE(ReadsChunksAndStopsAfterTheMessage) {
  Reader it(HttpParser::Kind::kRequest);
  const std::string first =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const std::string both = first + kPost;
  BOOST_TEST(it.parser.Feed(both) == first.size());
  BOOST_TEST(it.parsed.body == "abcde");
  BOOST_TEST(it.parsed.complete == 1);
}

BOOST_AUTO_TEST_CASE(AnyCutOfTheBytesReadsTheSame) {
  BOOST_TEST(rc::check("cuts", [] {
    Reader it(HttpParser::Kind::kRequest);
    std::string_view rest(kPost);
    while (!rest.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      it.FeedAll(rest.substr(0, n));
      rest.remove_prefix(n);
    }
    RC_ASSERT(it.parsed.complete == 1);
    RC_ASSERT(it.parsed.body == "hello");
  }));
}

BOOST_AUTO_TEST_CASE(RefusesWhatCouldBeReadInTwoWays) {
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string length = "Content-Length: 1\r\n";
  const std::vector<std::string> bad = {
      post + length + "Transfer-Encoding: chunked\r\n\r\n",
      post + length + "Content-Length: 2\r\n\r\n",
      post + "Transfer-Encoding: chunked, x\r\n\r\n",
      post + "Content-Length : 1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX: a\x01z\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (const std::string& text : bad) {
    Reader it(HttpParser::Kind::kRequest);
    it.FeedAll(text);
    BOOST_TEST((it.parser.fault() == HttpFault::kMalformed), text);
    BOOST_TEST(it.parsed.complete == 0);
  }
}

BOOST_AUTO_TEST_CASE(NamesTheLimitThatIsPassed) {
  HttpLimits limits;
  limits.max_head_bytes = 100;
  limits.max_body_bytes = 4;
  Reader body(HttpParser::Kind::kRequest, limits);
  body.FeedAll(kPost);
  BOOST_TEST((body.parser.fault() == HttpFault::kBodyTooLarge));
  Reader head(HttpParser::Kind::kRequest, limits);
  head.FeedAll("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x'));
  BOOST_TEST((head.parser.fault() == HttpFault::kHeadTooLarge));
  Reader chunked(HttpParser::Kind::kRequest, limits);
  chunked.FeedAll(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nabcde\r\n");
  BOOST_TEST((chunked.parser.fault() == HttpFault::kBodyTooLarge));
}

// A request whose head has `bytes` bytes, with as many short lines as fit.
std::string HeadOfShortLines(std::size_t bytes) {
  constexpr std::string_view kLine = "a:\r\n";
  std::string out = "GET / HTTP/1.1\r\nHost: h\r\n";
  while (out.size() + kLine.size() + 2 <= bytes) out += kLine;
  // Fills the last line up.
  out.insert(out.size() - 2, std::string(bytes - out.size() - 2, 'x'));
  return out + "\r\n";
}

// Guards against a legal request that is refused because its head has many
// short lines: the limit is one on the bytes that are sent.
BOOST_AUTO_TEST_CASE(AHeadOfShortLinesIsReadUpToItsLimit) {
  for (const std::size_t max : {100U, 4096U, 16384U, 65536U}) {
    HttpLimits limits;
    limits.max_head_bytes = max;
    Reader fits(HttpParser::Kind::kRequest, limits);
    const std::string head = HeadOfShortLines(max);
    BOOST_REQUIRE(head.size() == max);
    fits.FeedAll(head);
    BOOST_TEST(fits.parsed.complete == 1);
    BOOST_TEST(fits.parsed.heads[0].headers.size() >= (max - 60) / 4);
    Reader exceeds(HttpParser::Kind::kRequest, limits);
    exceeds.FeedAll(HeadOfShortLines(max + 1));
    BOOST_TEST((exceeds.parser.fault() == HttpFault::kHeadTooLarge));
    BOOST_TEST(exceeds.parsed.heads.empty());
  }
}

BOOST_AUTO_TEST_CASE(AnyCutOfAHeadReadsTheSameLines) {
  BOOST_TEST(rc::check("lines", [] {
    const auto name = rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const auto value =
        rc::gen::container<std::string>(rc::gen::inRange('0', '9'));
    const auto lines = *rc::gen::container<std::vector<std::string>>(
        rc::gen::map(rc::gen::pair(name, value), [](const auto& it) {
          return "x" + it.first + ":" + it.second;
        }));
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (const std::string& it : lines) head += it + "\r\n";
    head += "\r\n";
    HttpLimits limits;
    limits.max_head_bytes = head.size();
    Reader it(HttpParser::Kind::kRequest, limits);
    std::string_view rest(head);
    while (!rest.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      it.FeedAll(rest.substr(0, n));
      rest.remove_prefix(n);
    }
    RC_ASSERT(it.parsed.complete == 1);
    const auto& headers = it.parsed.heads[0].headers;
    RC_ASSERT(headers.size() == lines.size() + 1);
    for (std::size_t n = 0; n < lines.size(); ++n)
      RC_ASSERT(headers[n + 1].name + ":" + headers[n + 1].value == lines[n]);
  }));
}

BOOST_AUTO_TEST_CASE(AHeadThatIsntCompleteTakesAboutItsSize) {
  constexpr std::size_t kMax = 64 * 1024;
  HttpLimits limits;
  limits.max_head_bytes = kMax;
  Reader it(HttpParser::Kind::kRequest, limits);
  it.FeedAll(HeadOfShortLines(kMax).substr(0, kMax - 2));
  BOOST_TEST((it.parser.fault() == HttpFault::kNone));
  BOOST_TEST(it.parser.HeldBytes() <= 2 * kMax);
  it.parser.Discard();
  BOOST_TEST(it.parser.HeldBytes() < 100U);
  BOOST_TEST(it.parser.Feed("GET / HTTP/1.1\r\n") == 0U);
}

BOOST_AUTO_TEST_CASE(TrailersAreReadUpToTheLimitOfAHead) {
  const std::string start =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\na\r\n0\r\n";
  Reader fits(HttpParser::Kind::kRequest);
  fits.FeedAll(start + "T: 1\r\n\r\n");
  BOOST_TEST(fits.parsed.complete == 1);
  BOOST_TEST(fits.parsed.body == "a");
  HttpLimits limits;
  limits.max_head_bytes = 1000;
  Reader exceeds(HttpParser::Kind::kRequest, limits);
  std::string trailers;
  for (int n = 0; n < 1000; ++n) trailers += "aa:\r\n";
  exceeds.FeedAll(start + trailers);
  BOOST_TEST((exceeds.parser.fault() == HttpFault::kHeadTooLarge));
  BOOST_TEST(exceeds.parser.HeldBytes() < 100U);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthEndsWithItsConnection) {
  Reader it(HttpParser::Kind::kResponse);
  it.FeedAll("HTTP/1.1 200 OK\r\n\r\nall of it");
  BOOST_TEST(it.parsed.complete == 0);
  BOOST_TEST(it.parser.FeedEnd());
  BOOST_TEST(it.parsed.complete == 1);
  BOOST_TEST(it.parsed.body == "all of it");
}

BOOST_AUTO_TEST_CASE(AnAnswerCutShortIsNotComplete) {
  for (const char* text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nConte"}) {
    Reader it(HttpParser::Kind::kResponse);
    it.FeedAll(text);
    BOOST_TEST(!it.parser.FeedEnd());
    BOOST_TEST(it.parsed.complete == 0);
  }
}

// Guards against an answer whose status isn't checked, however it is cut into
// pieces. The fault doesn't wait for the end of the head.
BOOST_AUTO_TEST_CASE(AStatusLineThatIsNotValidIsAFaultAtItsEnd) {
  for (const char* line :
       {"HTTP/1.1 000 X", "HTTP/1.1 20 X", "HTTP/1.1 600 X", "HTTP/1.1 0200 X",
        "HTTP/9.9 200 X", "HTTP/0.9 200 X", "HTTP/1.1 101 X",
        "HTTP/1.1 200 O\x01K"}) {
    for (const char* end : {"\r\n", "\n"}) {
      Reader whole(HttpParser::Kind::kResponse);
      whole.FeedAll(std::string(line) + end);
      BOOST_TEST((whole.parser.fault() == HttpFault::kMalformed), line);
      Reader bytewise(HttpParser::Kind::kResponse);
      for (char byte : std::string(line) + end)
        bytewise.FeedAll(std::string(1, byte));
      BOOST_TEST((bytewise.parser.fault() == HttpFault::kMalformed), line);
      BOOST_TEST(whole.parsed.heads.empty());
      BOOST_TEST(bytewise.parsed.heads.empty());
    }
  }
}

// Guards against status lines that are checked in a first answer only.
BOOST_AUTO_TEST_CASE(StatusLinesOfLaterAnswersAreChecked) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  Reader it(HttpParser::Kind::kResponse);
  it.FeedAll("HTTP/1.1 100 Continue\r\n\r\n" + answer + answer);
  BOOST_TEST(it.parsed.complete == 3);
  BOOST_TEST((it.parser.fault() == HttpFault::kNone));
  it.FeedAll("HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((it.parser.fault() == HttpFault::kMalformed));
  BOOST_TEST(it.parsed.complete == 3);
}

// Guards against sound answers that are refused.
BOOST_AUTO_TEST_CASE(UnusualStatusLinesAreRead) {
  Reader it(HttpParser::Kind::kResponse);
  it.FeedAll(
      "\r\nHTTP/1.1 299\r\nContent-Length: 0\r\n\r\n"
      "HTTP/1.0 404 \nContent-Length: 0\n\n");
  BOOST_REQUIRE(it.parsed.heads.size() == 2U);
  BOOST_TEST(it.parsed.heads[0].status == 299);
  BOOST_TEST(it.parsed.heads[1].status == 404);
  BOOST_TEST((it.parser.fault() == HttpFault::kNone));
}

}  // namespace
}  // namespace quaytrack
