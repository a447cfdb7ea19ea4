// Tests of the status lines that count as those of an answer.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "net/http_message.h"

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(ValidStatusLinesHaveTheirStatus) {
  BOOST_TEST((ReadStatusLine("HTTP/1.1 200 OK") == 200));
  BOOST_TEST((ReadStatusLine("HTTP/1.0 404 Not Found") == 404));
  BOOST_TEST((ReadStatusLine("HTTP/1.1 100 Continue") == 100));
  BOOST_TEST((ReadStatusLine("HTTP/1.1 599 ") == 599));
  BOOST_TEST((ReadStatusLine("HTTP/1.1 204") == 204));
  BOOST_TEST((ReadStatusLine("HTTP/1.1 503 a\tb \xc3\xa9") == 503));
}

// Guards against a caller that gets such a status as an answer.
BOOST_AUTO_TEST_CASE(OtherLinesHaveNone) {
  for (const char* it : {"",
                         "HTTP/1.1",
                         "HTTP/1.1 ",
                         "HTTP/1.1 20",
                         "HTTP/1.1 20 X",
                         "HTTP/1.1 000 X",
                         "HTTP/1.1 001 X",
                         "HTTP/1.1 099 X",
                         "HTTP/1.1 600 X",
                         "HTTP/1.1 700 X",
                         "HTTP/1.1 999 X",
                         "HTTP/1.1 0200 X",
                         "HTTP/1.1 2000 X",
                         "HTTP/1.1 200x",
                         "HTTP/1.1 +20 X",
                         "HTTP/1.1 -20 X",
                         "HTTP/1.1  200 X",
                         "HTTP/1.1\t200 X",
                         "HTTP/1.1 2 0 X",
                         "HTTP/1.1 101 X",
                         "HTTP/9.9 200 X",
                         "HTTP/0.9 200 X",
                         "HTTP/2.0 200 X",
                         "HTTP/1. 200 X",
                         "HTTP/1.11 200 X",
                         "http/1.1 200 X",
                         "200 OK"}) {
    BOOST_TEST((ReadStatusLine(it) == std::nullopt), it);
  }
}

BOOST_AUTO_TEST_CASE(AReasonWithControlBytesIsNone) {
  for (int byte = 0; byte <= 0x7f; ++byte) {
    if (byte >= 0x20 && byte < 0x7f) continue;
    const std::string line =
        "HTTP/1.1 200 O" + std::string(1, static_cast<char>(byte)) + "K";
    const bool is_tab = byte == '\t';
    BOOST_TEST(ReadStatusLine(line).has_value() == is_tab, byte);
  }
}

}  // namespace
}  // namespace quaytrack
