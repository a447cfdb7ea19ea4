// An HTTP client on evhttp, with connections kept open for each address.
//
//   HttpCall::Handlers on;
//   on.end = [](const HttpResult& it) {...};
//   auto call = client.Start({"10.1.0.7:8000", "POST", "/x", {}, body}, on);
//
// What matters to the callers of this client is what a failure says about the
// request. `HttpEnd::kNotSent` is reported only if no byte of it was handed to
// the kernel; then it certainly did not run. In every other failure it may have
// run, and the end is kBroken or kTimedOut.

#ifndef QUAYTRACK_EVHTTP_HTTP_CLIENT_H_
#define QUAYTRACK_EVHTTP_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
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
  // The call fails when nothing moves for this long.
  Duration idle_timeout = std::chrono::seconds(30);
  // Opens a new connection, so that the server's closing of a kept one can't
  // be mistaken for a failure of this request.
  bool fresh_connection = false;
};

enum class HttpEnd { kComplete, kNotSent, kBroken, kTimedOut };

struct HttpResult {
  HttpEnd end = HttpEnd::kBroken;
  int status = 0;
  std::string content_type;
  // Empty if a data handler took the body.
  std::string body;

  bool ok() const { return end == HttpEnd::kComplete && status == 200; }
};

class HttpClient;

// One call. It lives until its end is reported or it is cancelled; holders
// other than the client only need it for `Cancel` and flow control.
class HttpCall {
 public:
  struct Handlers {
    // The status line and headers have come.
    std::function<void(int status, const std::string& content_type)> head;
    // A part of the body; may be moved out of the buffer.
    std::function<void(evbuffer* data)> data;
    std::function<void(const HttpResult&)> end;
  };

  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Ends the call without a report, and closes its connection.
  void Cancel();
  // Stops and restarts reading, so that a slow consumer holds back the sender.
  void PauseReading();
  void ResumeReading();

 private:
  friend class HttpClient;
  struct Connection;

  HttpCall(HttpClient& client, HttpRequest request, Handlers handlers);
  void Send();
  void Finish(HttpEnd end, evhttp_request* request);
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
  static constexpr std::size_t kIdlePerAddress = 64;

  using ConnectionPtr = std::shared_ptr<HttpCall::Connection>;

  ConnectionPtr Take(const HttpRequest& request);
  void GiveBack(ConnectionPtr connection);

  Loop& loop_;
  std::map<std::string, std::vector<ConnectionPtr>> idle_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_EVHTTP_HTTP_CLIENT_H_
