// The head of an HTTP/1.1 message: its start line and headers.
//
//   HttpHead head;
//   head.status = 503;
//   head.headers.push_back({"Retry-After", "0.20"});
//   const std::string* host = request.Find("host");   // null if it has none
//
// HttpHead is plain data, filled by `http/http_parser.h`, the servers and the
// clients, and read by the code that handles requests. Headers keep their order
// and spelling, as they are forwarded; names are compared case-insensitively.
// Nothing here checks a value or fails.

#ifndef QUAYTRACK_NET_HTTP_MESSAGE_H_
#define QUAYTRACK_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quaytrack {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Compares header names case-insensitively.
bool SameHeaderName(std::string_view a, std::string_view b);

// The start line and the headers of a request or of a response.
struct HttpHead {
  // Set for a request. `target` is the request target (RFC 9112, 3.2): the path
  // and the query.
  std::string method;
  std::string target;
  // Set for a response. If `reason` is empty, `ReasonOf(status)` is sent.
  int status = 0;
  std::string reason;

  std::vector<HttpHeader> headers;
  // Whether the connection may be used again after this message.
  bool keep_alive = true;
  // How the body is framed: in chunks, or by a length in bytes. If neither is
  // set, a request has no body, and a response ends when its connection closes.
  bool chunked = false;
  std::optional<std::uint64_t> content_length;

  // Returns the value of the first header with this name, or null if there is
  // none.
  const std::string* Find(std::string_view name) const;
  // The number of headers with this name.
  int Count(std::string_view name) const;

  // The request target without its query.
  std::string_view Path() const;

  // Memory that the head takes, in bytes.
  std::size_t MemoryBytes() const;
};

// Tells which headers of a message apply to one connection only (RFC 9110,
// 7.6.1) and must not be forwarded: the usual ones, and those that the message
// lists in `Connection`. The lookup doesn't depend on the number of headers.
class HopHeaders {
 public:
  explicit HopHeaders(const HttpHead& head);
  bool Contains(std::string_view name) const;

 private:
  // In lower case.
  std::set<std::string> listed_;
};

// Whether the text has control bytes other than tabs, which no field or line of
// a head may have.
bool HasControl(std::string_view text);

// Lower statuses are those of interim responses.
inline constexpr int kFirstFinalStatus = 200;

// Returns the status in a status line (RFC 9112, 4), which is given without the
// end of the line; std::nullopt if the line isn't one of HTTP/1.x with three
// digits from 100 to 599. A line without a reason is accepted. 101 isn't, as no
// client here asks for another protocol.
std::optional<int> ReadStatusLine(std::string_view line);

// Whether a response with this status promises its caller that the request has
// not run and won't run: the caller may send it again, whatever it does.
constexpr bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// The reason phrase of a status that quaytrack sends; "Status" for any other.
std::string_view ReasonOf(int status);

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_HTTP_MESSAGE_H_
