// Collects the log lines of all routers about one request, in order of time.
//
//   RequestTimeline timeline("9c41d07be2a35f68");
//   while (std::getline(in, line)) timeline.Add("router-1.log", line);
//   std::fputs(timeline.Text().c_str(), stdout);
//
// With a request's fingerprint in place of its id, the lines of all repetitions
// of the request are collected.
//
// The output also has, for each source, the latest line on each part of the
// router's state (such as its configuration, or the loss of the store) before
// the request's first line, since these explain most refusals. Nothing here
// fails; lines without an event number are counted.

#ifndef QUAYTRACK_CLI_EXPLAIN_H_
#define QUAYTRACK_CLI_EXPLAIN_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quaytrack {

class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request)
      : request_(std::move(request)) {}

  void Add(const std::string& source, const std::string& line);

  bool empty() const { return lines_.empty(); }
  // Number of lines that carry no event number.
  std::size_t unreadable() const { return unreadable_; }
  // Returns the lines about the request in order of time, after the state of
  // each source before its first such line.
  std::string Text() const;

 private:
  struct Line {
    std::string time;
    std::string source;
    std::string text;
  };

  bool IsAbout(const std::string& line) const;

  std::string request_;
  // The latest line by source and kind of state.
  std::map<std::string, std::map<std::string, Line>> states_;
  std::map<std::string, std::vector<Line>> states_before_;
  std::vector<Line> lines_;
  std::size_t unreadable_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_EXPLAIN_H_
