// The head of an HTTP/1.1 message, as both ends of a connection see it.
//
//   HttpHead head;
//   head.status = 503;
//   head.headers.push_back({"Retry-After", "0.20"});
//   const std::string* host = request.Find("host");   // null if it has none
//
// A head is plain data: `http/http_parser.h` and the servers and clients fill
// it, request paths read it. It keeps its headers in the order in which they
// came and with their own spelling, as they are passed on; names are compared
// without regard to case. Nothing here checks a value or fails.

#ifndef QUAYTRACK_NET_HTTP_MESSAGE_H_
#define QUAYTRACK_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quaytrack {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Compares header names, which don't depend on case.
bool SameHeaderName(std::string_view a, std::string_view b);

// The start line and the headers of a request or of a response.
struct HttpHead {
  // Of a request. `target` is the request target (RFC 9112, 3.2): the path and
  // the query.
  std::string method;
  std::string target;
  // Of a response. Without a reason, `ReasonOf(status)` is sent.
  int status = 0;
  std::string reason;

  std::vector<HttpHeader> headers;
  // Whether the connection may be used again after this message.
  bool keep_alive = true;
  // How the body is framed: in chunks, or by a length in bytes. Neither means
  // that a request has no body, and that a response ends with its connection.
  bool chunked = false;
  std::optional<std::uint64_t> content_length;

  // The first header of that name; null if there is none.
  const std::string* Find(std::string_view name) const;
  // How many headers have that name.
  int Count(std::string_view name) const;

  // The target without its query.
  std::string_view Path() const;
};

// Whether a header concerns one connection only (RFC 9110, 7.6.1) and must not
// be passed on. `head` may name more such headers in `Connection`.
bool IsHopHeader(const HttpHead& head, std::string_view name);

// The reason phrase of a status that a process of ours gives; "Status" for any
// other.
std::string_view ReasonOf(int status);

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_HTTP_MESSAGE_H_
