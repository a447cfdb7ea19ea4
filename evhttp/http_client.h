// An HTTP client on evhttp that keeps connections open for reuse.
//
//   HttpCall::Handlers on;
//   on.end = [](const HttpResult& it) {...};
//   auto call = client.Start({"10.1.0.7:8000", "POST", "/x", {}, body}, on);
//
// A failure tells whether the request may have run. `HttpEnd::kNotSent` is
// reported only if no byte of the request was handed to the kernel, so the
// request certainly did not run. In every other failure (kBroken or kTimedOut)
// the request may have run.
//
// Answers don't name their request. So a connection isn't reused after bytes
// that follow an answer, nor after an error: a server may send the copy of a
// refusal late, which would be read as the answer to the next request. A late
// copy of a success isn't recognized.
//
// An answer whose head or body doesn't end breaks the call at a limit, so that
// its bytes don't fill the memory. One whose status line isn't valid
// (`ReadStatusLine`), or whose status isn't that of a final answer, breaks it
// at once; only 100 is skipped, a few times.

#ifndef QUAYTRACK_EVHTTP_HTTP_CLIENT_H_
#define QUAYTRACK_EVHTTP_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "evhttp/http_server.h"
#include "net/loop.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace quaytrack {

struct HttpRequest {
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  // The call fails if the body of the answer is larger. Not applied to a body
  // that a data handler takes.
  std::size_t max_body_bytes = 16 * 1024 * 1024;
  // The call fails when no data is sent or received for this long.
  Duration idle_timeout = std::chrono::seconds(30);
  // Whether to open a new connection. The server may close a reused one at any
  // time, which can't be distinguished from a failure of this request.
  bool fresh_connection = false;
};

enum class HttpEnd { kComplete, kNotSent, kBroken, kTimedOut };

struct HttpResult {
  HttpEnd end = HttpEnd::kBroken;
  int status = 0;
  std::string content_type;
  std::vector<HttpHeader> headers;
  // The body; empty if a data handler received it.
  std::string body;

  // Whether there is a header with this name.
  bool HasHeader(std::string_view name) const;
  bool ok() const { return end == HttpEnd::kComplete && status == 200; }
};

class HttpClient;

// One call. An HttpCall keeps itself alive until its end is reported or it is
// cancelled; callers need to hold it only for `Cancel` and flow control.
class HttpCall {
 public:
  struct Handlers {
    // Called when the status line and headers have been received.
    std::function<void(int status, const std::string& content_type)> head;
    // Called with each piece of the body, which may be moved out of the buffer.
    std::function<void(evbuffer* data)> data;
    std::function<void(const HttpResult&)> end;
  };

  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Ends the call without calling the handlers, and closes its connection.
  void Cancel();
  // Stops and restarts reading, so that a slow consumer slows down the sender.
  void PauseReading();
  void ResumeReading();

 private:
  friend class HttpClient;
  struct Connection;

  HttpCall(HttpClient& client, HttpRequest request, Handlers handlers);
  void Send();
  void Finish(HttpEnd end, evhttp_request* request);
  // Ends the call as broken after the current callback.
  void BreakLater();
  void ReleaseConnection(bool reusable);

  static void OnDone(evhttp_request* request, void* self);
  static int OnHead(evhttp_request* request, void* self);
  static void OnData(evhttp_request* request, void* self);
  static void OnError(int error, void* self);

  HttpClient& client_;
  HttpRequest spec_;
  Handlers handlers_;
  std::shared_ptr<Connection> connection_;
  evhttp_request* request_ = nullptr;
  bool timed_out_ = false;
  // Keeps the call alive while it is running.
  std::shared_ptr<HttpCall> self_;
};

class HttpClient {
 public:
  explicit HttpClient(Loop& loop) : loop_(loop) {}
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::shared_ptr<HttpCall> Start(HttpRequest request,
                                  HttpCall::Handlers handlers);

 private:
  friend class HttpCall;
  static constexpr std::size_t kMaxIdlePerAddress = 64;

  using ConnectionPtr = std::shared_ptr<HttpCall::Connection>;

  ConnectionPtr AcquireConnection(const HttpRequest& request);
  void ReturnConnection(ConnectionPtr connection);

  Loop& loop_;
  std::map<std::string, std::vector<ConnectionPtr>> idle_connections_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_EVHTTP_HTTP_CLIENT_H_
