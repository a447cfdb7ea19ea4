// HttpParser: reads HTTP/1.1 messages from bytes, by the http-parser library.
//
//   HttpParser parser(HttpParser::Kind::kRequest, handlers, limits);
//   bytes.remove_prefix(parser.Feed(bytes));
//   if (parser.fault() != HttpFault::kNone) ...
//
// evhttp isn't used for this, because it gives no access to the bytes of a
// connection. A router needs these bytes to detect a surplus answer on a kept
// connection, bytes after the end of an answer, and an answer that comes before
// the request is sent. So the connections to callers and targets use this
// parser on their sockets; evhttp serves the rest.
//
// `Feed` stops after each message, so that the bytes after it stay with the
// caller. Beyond the checks of the library, a request is refused if it could be
// understood in two ways (request smuggling, RFC 9112, 11.2), and a response as
// soon as its status line is complete and not valid.
//
// The parser owns the head of the current message and passes on a body as it
// arrives. It keeps no trailers. Sizes are in bytes, as sent. A fault is final:
// the parser then uses no more bytes.

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
  kMalformed,  // not HTTP/1.x, a response with a status that isn't a valid one
               // (`ReadStatusLine`), or a request that can be understood in two
               // ways
  kHeadTooLarge,
  kBodyTooLarge,
};

// Limits on the size of a message. The defaults apply until a configuration
// sets others; they equal the defaults in config/service_map.h.
struct HttpLimits {
  // Size of the head, with its start line and the empty line at its end; and
  // of the trailers.
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  // The handlers are called inside `Feed` and `FeedEnd`, in this order for each
  // message. They may call `Discard`, or destroy the parser; none is called
  // after that.
  struct Handlers {
    // Gets the head of the message, and may move from it.
    std::function<void(HttpHead& head)> head;
    // Gets the next bytes of the body, without its framing.
    std::function<void(std::string_view bytes)> body;
    std::function<void()> complete;
  };

  HttpParser(Kind kind, Handlers handlers, HttpLimits limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Parses `bytes` and returns the number of bytes used. Bytes after a fault or
  // after the end of a message aren't used; after the end of a message, the
  // next call starts a new one.
  std::size_t Feed(std::string_view bytes);
  // Call this at the end of the connection. Returns true if that completes a
  // message, as it does for an answer without a length.
  bool FeedEnd();

  HttpFault fault() const;

  // Drops the message that is being read. No more bytes are used, and no more
  // handlers are called.
  void Discard();

  // Memory that a head which isn't complete takes.
  std::size_t HeldBytes() const;

  // Sets the limits for all bytes that are fed from now on.
  void SetLimits(HttpLimits limits);

 private:
  struct State;
  // Shared with a running call of `Feed` or `FeedEnd`.
  std::shared_ptr<State> state_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_HTTP_PARSER_H_
