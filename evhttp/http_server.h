// An HTTP server on evhttp.
//
// Each request becomes an `HttpExchange`, which the handler keeps until it has
// answered, at once or as a stream:
//
//   server.Serve([](std::shared_ptr<HttpExchange> ex) {
//     ex->Reply({200, "text/plain", {}, "hello\n"});
//   });
//
// A caller that closes its connection, or shuts down its sending side, is
// reported by `OnGone`. (evhttp itself doesn't read while a request is being
// handled, so a separate close event watches the socket.) An exchange must be
// ended even then; dropping the last reference ends it.

#ifndef QUAYTRACK_EVHTTP_HTTP_SERVER_H_
#define QUAYTRACK_EVHTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_message.h"
#include "net/loop.h"

// A part of a stream is written to the socket at once if nothing is buffered
// before it. evhttp's own path buffers it, asks the loop to report the socket
// as writable and writes on the next turn: two changes of the epoll set and a
// turn of the loop for each token, which was a quarter of a streamed token's
// cost (docs/design/token-path.md).

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace quaytrack {

struct HttpReply {
  int status = 200;
  std::string content_type;
  std::vector<HttpHeader> headers;
  std::string body;
};

class HttpServer;

class HttpExchange {
 public:
  HttpExchange(Loop& loop, HttpServer& server, evhttp_request* request);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  std::string method() const;
  // Path without the query, as sent.
  std::string path() const;
  // Query without the '?', as sent.
  std::string query() const;
  std::optional<std::string> Header(const char* name) const;
  // How often a header was sent.
  int HeaderCount(const char* name) const;
  std::string Body() const;

  // Called once, from the loop, when the caller has gone.
  void OnGone(std::function<void()> action) { on_gone_ = std::move(action); }
  bool gone() const { return gone_; }

  void Reply(const HttpReply& reply);

  void StartStream(int status, const std::string& content_type,
                   const std::vector<HttpHeader>& headers);
  // Moves the contents of `data` into the stream.
  void Write(evbuffer* data);
  void Write(std::string_view data);
  void EndStream();
  // Closes the connection without an answer or an end; for stand-ins.
  void Abort();

  // Bytes that the caller has not taken yet.
  std::size_t Unsent() const;
  // Called each time everything that had to be buffered has been sent.
  void OnDrained(std::function<void()> action) {
    on_drained_ = std::move(action);
  }

 private:
  static void OnClosed(evhttp_connection* connection, void* self);
  static void OnPeerClosed(int fd, short what, void* self);
  static void OnOutput(evbuffer* output, const evbuffer_cb_info* info,
                       void* self);
  bool WriteDirectly(evbuffer* data);
  void WatchPeer();
  void StopWatching();
  void Answered();
  // Makes this answer the last of its connection.
  void SayClose();
  void MarkGone();

  Loop& loop_;
  // Lives as long as the connection.
  HttpServer& server_;
  evhttp_request* request_;
  evhttp_connection* connection_;
  event* close_event_ = nullptr;
  evbuffer_cb_entry* output_watch_ = nullptr;
  bool gone_ = false;
  bool started_ = false;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  // Lets posted callbacks find out that the exchange has been destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct HttpServerOptions {
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::size_t max_header_bytes = 32 * 1024;
  // A connection that neither reads nor writes for this long is closed.
  Duration idle_timeout = std::chrono::seconds(60);
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(Loop& loop, HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Serve(Handler handler) { handler_ = std::move(handler); }

  // Binds "host:port"; port 0 picks a free one. Returns the bound port, or 0.
  std::uint16_t Listen(const std::string& address);

  // From now on every answer is the last of its connection.
  void StartClosing() { closing_ = true; }
  // Accepts no more connections; open ones go on.
  void StopListening();
  // Answers that have ended and were not yet sent to their last byte, as their
  // callers take them slowly.
  std::size_t Unsent() const { return unsent_.size(); }

 private:
  friend class HttpExchange;

  static void OnRequest(evhttp_request* request, void* self);
  // Follows an answer that has ended until it has been sent, or its connection
  // is lost.
  void Follow(evhttp_request* request, evhttp_connection* connection);
  static void OnSent(evhttp_request* request, void* self);
  static void OnLost(evhttp_connection* connection, void* self);

  Loop& loop_;
  evhttp* http_;
  std::vector<evhttp_bound_socket*> sockets_;
  std::set<evhttp_connection*> unsent_;
  bool closing_ = false;
  Handler handler_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_EVHTTP_HTTP_SERVER_H_
