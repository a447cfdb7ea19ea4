#include "base/log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace quaytrack {

LogSink::LogSink(int fd, std::function<std::string(std::uint64_t)> report)
    : fd_(fd), report_(std::move(report)) {
  fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
}

void LogSink::Flush() {
  if (buffer_.empty()) return;
  const ssize_t n = write(fd_, buffer_.data(), buffer_.size());
  if (n > 0) buffer_.erase(0, static_cast<std::size_t>(n));
}

void LogSink::Write(std::string_view line) {
  Flush();
  if (buffer_.size() + line.size() > kMaxBuffered) {
    ++dropped_;
    return;
  }
  if (dropped_ > reported_) {
    buffer_ += report_(dropped_ - reported_);
    reported_ = dropped_;
  }
  buffer_ += line;
  Flush();
}

}  // namespace quaytrack
