// HttpParser: reads HTTP/1.1 messages from bytes, by the http-parser library.
//
//   HttpParser parser(HttpParser::Kind::kRequest, handlers, limits);
//   bytes.remove_prefix(parser.Feed(bytes));
//   if (parser.fault() != HttpFault::kNone) ...
//
// Why not evhttp: it gives no access to the bytes of a connection. A router
// needs them to detect a surplus answer on a kept connection, bytes after the
// end of an answer, and an answer that comes before the request is sent. So the
// connections to callers and targets use this parser on their sockets; evhttp
// serves the rest.
//
// `Feed` stops after each message, so that the bytes after it stay with the
// caller. Beyond the checks of the library, a request is refused if it could be
// understood in two ways (request smuggling, RFC 9112, 11.2).
//
// It owns the head of the current message and passes on a body as it arrives.
// Sizes are in bytes. A fault is final: the parser then uses no more bytes.

#ifndef QUAYTRACK_HTTP_HTTP_PARSER_H_
#define QUAYTRACK_HTTP_HTTP_PARSER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "net/http_message.h"

namespace quaytrack {

enum class HttpFault {
  kNone,
  kMalformed,  // not HTTP/1.1, or a request that can be understood in two ways
  kHeadTooLarge,
  kBodyTooLarge,
};

// The defaults apply until a configuration sets others; they equal those of
// config/service_map.h.
struct HttpLimits {
  // Size of the start line and the headers together.
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  // Called inside `Feed` and `FeedEnd`, in this order for each message.
  struct Handlers {
    // May move from `head`.
    std::function<void(HttpHead& head)> head;
    // The next bytes of the body, without its framing.
    std::function<void(std::string_view bytes)> body;
    std::function<void()> complete;
  };

  HttpParser(Kind kind, Handlers handlers, HttpLimits limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Returns the number of bytes used. That is less than given after a fault or
  // the end of a message; after the latter, the next call starts a new message.
  std::size_t Feed(std::string_view bytes);
  // Call this at the end of the connection. Returns true if that completes a
  // message, as it does for an answer without a length.
  bool FeedEnd();

  HttpFault fault() const;

  // Applies to all bytes fed from now on.
  void SetLimits(HttpLimits limits);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_HTTP_PARSER_H_
