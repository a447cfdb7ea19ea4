// Joins the log lines of all routers about one request into its story.
//
//   RequestStory story("9c41d07be2a35f68");
//   while (std::getline(in, line)) story.Add("router-1.log", line);
//   std::fputs(story.Text().c_str(), stdout);
//
// A request's fingerprint in place of its id joins the lines about all returns
// of its caller, at all routers.
//
// Beside the request's own lines it keeps, for each source, the latest line of
// each belief (configuration, store lost or back, stop) that stood before them,
// since these explain most refusals.

#ifndef QUAYTRACK_CLI_EXPLAIN_H_
#define QUAYTRACK_CLI_EXPLAIN_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quaytrack {

class RequestStory {
 public:
  explicit RequestStory(std::string request) : request_(std::move(request)) {}

  void Add(const std::string& source, const std::string& line);

  bool empty() const { return lines_.empty(); }
  // Lines that carry no event number.
  std::size_t unreadable() const { return unreadable_; }
  // In order of time; the beliefs before the first line of each source.
  std::string Text() const;

 private:
  struct Line {
    std::string time;
    std::string source;
    std::string text;
  };

  bool IsAbout(const std::string& line) const;

  std::string request_;
  // By source and kind of belief.
  std::map<std::string, std::map<std::string, Line>> beliefs_;
  std::map<std::string, std::vector<Line>> beliefs_before_;
  std::vector<Line> lines_;
  std::size_t unreadable_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_EXPLAIN_H_
