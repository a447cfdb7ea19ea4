// Tests that LogSink never blocks on a reader that stops reading: lines are
// dropped and counted, and the count appears in the log.

#include "base/log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace quaytrack {
namespace {

struct Pipe {
  Pipe() {
    BOOST_REQUIRE(pipe2(ends, O_NONBLOCK) == 0);
    fcntl(ends[1], F_SETPIPE_SZ, 4096);
  }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  // Reads everything that is in the pipe.
  std::string Read() const {
    std::string out;
    char buf[4096];
    for (ssize_t n = 0; (n = read(ends[0], buf, sizeof buf)) > 0;) {
      out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
  }
  int ends[2] = {};
};

std::string Report(std::uint64_t lines) {
  return "dropped " + std::to_string(lines) + "\n";
}

BOOST_AUTO_TEST_CASE(ASlowReaderCostsCountedLines) {
  const Pipe pipe;
  LogSink sink(pipe.ends[1], Report);
  const std::string line = std::string(99, 'x') + "\n";
  constexpr int kLines = 2000;
  for (int n = 0; n < kLines; ++n) sink.Write(line);
  BOOST_TEST(sink.dropped() > 0U);
  std::string text;
  // Each write flushes a part of the buffer.
  constexpr int kRounds = 100;
  for (int n = 0; n < kRounds; ++n) {
    text += pipe.Read();
    sink.Write("more\n");
  }
  text += pipe.Read();
  const std::string report = Report(sink.dropped());
  BOOST_TEST(text.find(report) != std::string::npos);
  // The reader gets every line that wasn't dropped, uncut.
  std::size_t complete = 0;
  for (std::size_t at = 0; (at = text.find(line, at)) != std::string::npos;) {
    ++complete;
    at += line.size();
  }
  BOOST_TEST(complete + sink.dropped() == static_cast<std::size_t>(kLines));
}

BOOST_AUTO_TEST_CASE(AReaderThatKeepsUpGetsEverything) {
  const Pipe pipe;
  LogSink sink(pipe.ends[1], Report);
  std::string text;
  std::string expected;
  for (int n = 0; n < 1000; ++n) {
    const std::string line = "line " + std::to_string(n) + "\n";
    sink.Write(line);
    expected += line;
    text += pipe.Read();
  }
  BOOST_TEST(text == expected);
  BOOST_TEST(sink.dropped() == 0U);
}

}  // namespace
}  // namespace quaytrack
