// LogSink writes log lines to a file descriptor and never blocks.
//
//   LogSink sink(STDERR_FILENO, [](std::uint64_t lines) {
//     return std::to_string(lines) + " lines are missing here\n";
//   });
//   sink.Write("a line\n");
//
// Bytes that the descriptor doesn't accept at once are buffered, up to
// `kMaxBuffered`; beyond that, whole lines are dropped and counted. Once the
// buffer has room again, a separate line reports the count, so that a log shows
// where its gaps are. So a slow reader of the log doesn't slow down the
// requests that the process serves.
//
// The buffer is flushed by the next `Write`; there is no timer. Its content is
// lost when the process ends.
//
// Errors of the descriptor aren't reported, as there is nowhere to report them:
// a closed reader is treated like a slow one.
//
// LogSink doesn't own the descriptor. Sizes are in bytes.

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
  // Maximum number of bytes buffered for a slow reader: some hundred lines.
  static constexpr std::size_t kMaxBuffered = 64 * 1024;

  // Makes `fd` non-blocking. `report` formats the line that reports a number
  // of dropped lines.
  LogSink(int fd, std::function<std::string(std::uint64_t)> report);

  // Writes, buffers or drops all of `line`, which ends with a newline.
  void Write(std::string_view line);
  // Number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Flush();

  int fd_;
  std::function<std::string(std::uint64_t)> report_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_LOG_SINK_H_
