// An HTTP server on evhttp.
//
// Each request becomes an `HttpExchange`, which the handler keeps until it has
// answered, with a single reply or a stream:
//
//   server.Serve([](std::shared_ptr<HttpExchange> ex) {
//     ex->Reply({200, "text/plain", {}, "hello\n"});
//   });
//
// `OnGone` reports a caller that closes its connection or shuts down its
// sending side. (evhttp doesn't read while a request is being handled, so a
// separate close event watches the socket.) The exchange must be ended even
// then; dropping the last reference ends it.

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

// A piece of a stream is written directly to the socket if nothing is buffered
// before it. evhttp would buffer it, register the socket for writing and write
// in the next iteration of the loop. For each token, buffering costs two
// changes of the epoll set and an iteration, which was a quarter of a streamed
// token's cost.

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
  // Number of times that a header was sent.
  int HeaderCount(const char* name) const;
  std::string Body() const;

  // `action` is called once, from the loop, when the caller has disconnected.
  void OnGone(std::function<void()> action) { on_gone_ = std::move(action); }
  bool gone() const { return gone_; }

  void Reply(const HttpReply& reply);

  void StartStream(int status, const std::string& content_type,
                   const std::vector<HttpHeader>& headers);
  // Sends the contents of `data` and empties it.
  void Write(evbuffer* data);
  void Write(std::string_view data);
  void EndStream();
  // Closes the connection without a reply or the end of a stream; for test
  // stand-ins.
  void Abort();

  // Bytes buffered because the caller reads slowly.
  std::size_t UnsentBytes() const;
  // `action` is called each time the buffered bytes have all been sent.
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
  void OnReplyEnding();
  // Makes this reply the last one on its connection.
  void AddCloseHeader();
  void ReportGone();

  Loop& loop_;
  // The server outlives the connection.
  HttpServer& server_;
  evhttp_request* request_;
  evhttp_connection* connection_;
  event* close_event_ = nullptr;
  evbuffer_cb_entry* output_watch_ = nullptr;
  bool gone_ = false;
  bool stream_started_ = false;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  // Tells posted callbacks whether the exchange still exists.
  std::shared_ptr<bool> exists_ = std::make_shared<bool>(true);
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

  // Binds "host:port"; port 0 picks a free one. Returns the bound port, or 0 if
  // binding fails.
  std::uint16_t Listen(const std::string& address);

  // Makes every further reply the last one on its connection.
  void StartClosing() { closing_ = true; }
  // Accepts no further connections; open ones continue.
  void StopListening();
  // Number of finished replies that are not completely sent yet, as their
  // callers read slowly.
  std::size_t UnsentReplies() const { return unsent_.size(); }

 private:
  friend class HttpExchange;

  static void OnRequest(evhttp_request* request, void* self);
  // Tracks a finished reply until it has been sent or its connection is lost.
  void TrackUntilSent(evhttp_request* request, evhttp_connection* connection);
  static void OnSent(evhttp_request* request, void* self);
  static void OnConnectionLost(evhttp_connection* connection, void* self);

  Loop& loop_;
  evhttp* http_;
  std::vector<evhttp_bound_socket*> sockets_;
  std::set<evhttp_connection*> unsent_;
  bool closing_ = false;
  Handler handler_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_EVHTTP_HTTP_SERVER_H_
