// HttpParser: reads HTTP/1.1 messages from bytes, by the http-parser library.
//
//   HttpParser parser(HttpParser::Kind::kRequest, handlers, limits);
//   bytes.remove_prefix(parser.Feed(bytes));
//   if (parser.fault() != HttpFault::kNone) ...
//
// Why not evhttp. It keeps the bytes of a connection to itself. A router must
// see them: an answer too many on a kept connection, bytes after an answer's
// end, an answer that comes before the request is sent. So the connections to
// callers and targets use this reader on their own sockets; evhttp serves the
// rest.
//
// `Feed` stops after each message, so that what follows it stays with the
// caller. Beyond the library's own checks, a request is refused if it could be
// understood in two ways (request smuggling, RFC 9112, 11.2).
//
// It owns the head of the message under way; a body is handed on as it comes.
// Sizes are in bytes. A fault is final: a parser that has one takes no more.

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
  kMalformed,  // no HTTP/1.1, or a request that can be understood in two ways
  kHeadTooLarge,
  kBodyTooLarge,
};

// The defaults hold until a configuration sets others; they equal those of
// config/service_map.h.
struct HttpLimits {
  // Of the start line and the headers.
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  // Called from inside `Feed` and `FeedEnd`, in this order for each message.
  struct Handlers {
    // May take `head` by moving it.
    std::function<void(HttpHead& head)> head;
    // Some bytes of the body, without its framing.
    std::function<void(std::string_view bytes)> body;
    std::function<void()> complete;
  };

  HttpParser(Kind kind, Handlers handlers, HttpLimits limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Returns how many bytes were used. Less than given after a fault or the end
  // of a message; the next call then begins the next message.
  std::size_t Feed(std::string_view bytes);
  // The connection has ended. True if that ends a message whole, which is so
  // for an answer without a length.
  bool FeedEnd();

  HttpFault fault() const;

  // For what is fed from now on.
  void SetLimits(HttpLimits limits);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_HTTP_PARSER_H_
