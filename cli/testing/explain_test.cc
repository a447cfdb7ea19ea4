// Tests that the lines of a request are found in the logs of several routers,
// in text and JSON, and are put in order.

#include "cli/explain.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

BOOST_AUTO_TEST_CASE(JoinsLinesInOrderWithWhatWasBelieved) {
  RequestTimeline timeline("ab12");
  timeline.Add("r1",
               "2026-01-01T00:00:01.000Z INFO QT1203 config_taken version=3");
  timeline.Add("r1", "2026-01-01T00:00:02.000Z WARN QT1101 kv_lost by=budgets");
  timeline.Add("r1",
               "2026-01-01T00:00:05.000Z INFO QT1408 relay_ended "
               "request=ab12 cause=served");
  timeline.Add("r2",
               "2026-01-01T00:00:04.000Z INFO QT1309 attempt_ended "
               "request=ab12");
  timeline.Add("r1",
               "2026-01-01T00:00:06.000Z INFO QT1408 relay_ended "
               "request=ab123 cause=served");
  timeline.Add("r1", "a line of something else");
  BOOST_TEST(timeline.unreadable() == 1U);
  const std::string text = timeline.Text();
  BOOST_TEST(text.find("version=3") < text.find("kv_lost"));
  BOOST_TEST(text.find("kv_lost") < text.find("attempt_ended"));
  BOOST_TEST(text.find("attempt_ended") < text.find("relay_ended"));
  BOOST_TEST(text.find("ab123") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReadsLinesOfBothForms) {
  RequestTimeline timeline("ab12");
  timeline.Add("r1",
               "{\"time\":\"2026-01-01T00:00:05.000Z\",\"event\":\"QT1408\","
               "\"request\":\"ab12\"}");
  BOOST_TEST(!timeline.empty());
  RequestTimeline other("zz");
  other.Add("r1",
            "2026-01-01T00:00:05.000Z INFO QT1408 relay_ended "
            "request=ab12");
  BOOST_TEST(other.empty());
}

BOOST_AUTO_TEST_CASE(AFingerprintJoinsAllReturnsOfARequest) {
  RequestTimeline timeline("f00d");
  timeline.Add("r1",
               "2026-01-01T00:00:01.000Z WARN QT1310 crash_reported request=a "
               "fingerprint=f00d target=t crashes=3");
  timeline.Add("r2",
               "2026-01-01T00:00:02.000Z WARN QT1311 request_blamed "
               "fingerprint=f00d crashes=3");
  timeline.Add("r2",
               "2026-01-01T00:00:03.000Z INFO QT1313 blamed_refused request=b "
               "fingerprint=f00d left_s=9");
  timeline.Add("r2",
               "2026-01-01T00:00:04.000Z INFO QT1313 blamed_refused request=c "
               "fingerprint=f00d2 left_s=9");
  const std::string text = timeline.Text();
  BOOST_TEST(text.find("request=a") < text.find("request_blamed"));
  BOOST_TEST(text.find("request_blamed") < text.find("request=b"));
  BOOST_TEST(text.find("request=c") == std::string::npos);
}

}  // namespace
}  // namespace quaytrack
