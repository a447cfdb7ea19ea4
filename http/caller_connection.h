// A caller's connection: one request at a time, answered at once or as a
// stream.
//
//   CallerServer server(loop, clock, limits);
//   server.Serve([](std::shared_ptr<CallerConnection> caller,
//                   CallerRequest request) {
//     caller->Reply(head, body);
//   });
//
// Requests that break the limits or the protocol are answered here. An answer
// that ends early never looks complete: a stream is sent in chunks, and `Abort`
// leaves out the last one.

#ifndef QUAYTRACK_HTTP_CALLER_CONNECTION_H_
#define QUAYTRACK_HTTP_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/http_parser.h"
#include "net/http_message.h"
#include "net/tcp_socket.h"

namespace quaytrack {

// What a caller may send, and how long it may take.
struct CallerLimits {
  HttpLimits http;
  // From the first byte of a request to the end of its head.
  Duration head_timeout = std::chrono::seconds(3);
  // Between two requests, and without progress inside a body.
  Duration idle_timeout = std::chrono::seconds(15);
};

struct CallerRequest {
  HttpHead head;
  std::string body;
  // When its first byte and its last had come.
  Instant begun{};
  Instant read{};
};

class CallerServer;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer& server, std::shared_ptr<TcpSocket> socket);

  // Ends the exchange with a whole answer.
  void Reply(const HttpHead& head, std::string_view body);

  void StartStream(const HttpHead& head);
  void WriteChunk(std::string_view bytes);
  void EndStream();
  // Ends the connection in the middle of an answer.
  void Abort();

  // Called at most once for each exchange, when the caller has gone.
  void OnGone(std::function<void()> action) { on_gone_ = std::move(action); }
  void OnDrained(std::function<void()> action) {
    on_drained_ = std::move(action);
  }
  std::size_t Unsent() const { return socket_->Unsent(); }
  bool open() const { return socket_->open(); }

 private:
  friend class CallerServer;
  enum class Phase { kIdle, kReading, kAnswering, kLingering };

  void Start();
  void OnData(std::string_view bytes);
  void Consume();
  void OnHead(HttpHead& head);
  void OnRequest();
  void RefuseFault(HttpFault fault);
  void RefuseAndClose(int status);
  void OnEnded();
  void FinishExchange();
  void CloseAfterFlush();
  void Linger();
  // Closes the connection if it has been silent for too long.
  void Sweep(Instant now);

  CallerServer& server_;
  std::shared_ptr<TcpSocket> socket_;
  HttpParser parser_;
  Phase phase_ = Phase::kIdle;
  // Bytes that came while an answer was under way.
  std::string pending_;
  CallerRequest request_;
  bool head_read_ = false;
  bool keep_alive_ = true;
  bool flushing_ = false;
  bool consuming_ = false;
  Instant since_{};
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_CONNECTION_H_
