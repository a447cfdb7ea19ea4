// LogSink writes log lines to a descriptor and never waits for its reader.
//
//   LogSink sink(STDERR_FILENO, [](std::uint64_t lines) {
//     return std::to_string(lines) + " lines are missing here\n";
//   });
//   sink.Write("a line\n");
//
// The rule. What the descriptor doesn't take at once is kept, up to `kMostKept`
// bytes; beyond that, whole lines are dropped and counted. The count is
// reported as a line of its own as soon as there is room again, so that a gap
// in a log shows where it is. A process whose log is read slowly must serve
// like one whose log is read fast.
//
// What is kept goes out with the next `Write`; there is no timer. It is lost
// when the process ends.
//
// Errors of the descriptor aren't reported, as there is nowhere to report them:
// a reader that has gone looks like one that is slow.
//
// It doesn't own the descriptor. Sizes are in bytes.

#ifndef QUAYTRACK_BASE_LOG_SINK_H_
#define QUAYTRACK_BASE_LOG_SINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace quaytrack {

class LogSink {
 public:
  // Bytes kept for a reader that is slow: some hundred lines. Not measured.
  static constexpr std::size_t kMostKept = 64 * 1024;

  // Makes `fd` non-blocking. `report` turns a number of dropped lines into the
  // line that tells of them.
  LogSink(int fd, std::function<std::string(std::uint64_t)> report);

  // `line` ends with a newline. It is written, kept or dropped as a whole.
  void Write(std::string_view line);
  // Lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Flush();

  int fd_;
  std::function<std::string(std::uint64_t)> report_;
  std::string kept_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_LOG_SINK_H_
