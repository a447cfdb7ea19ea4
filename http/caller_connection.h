// CallerConnection: one caller's connection, with one request at a time that is
// answered at once or as a stream.
//
//   caller->OnGone([] {...});            // the caller left before the answer
//   caller->Reply(head, body);           // a whole answer, or:
//   caller->StartStream(head);
//   caller->WriteChunk(bytes);           // as often as needed
//   caller->EndStream();
//
// Connections are made by a `CallerServer` (http/caller_server.h), which hands
// each request to its handler. A request that breaks the limits or the protocol
// never gets there: it is answered here with 400, 408, 413 or 431, and the
// connection ends.
//
// An answer that ends early never looks complete: a stream is sent in chunks,
// and `Abort` leaves out the last one. After the last answer of a connection
// the writing side is closed first, and what the caller still sends is read for
// a while; closing at once would reset the connection under the answer.
//
// It owns its socket and the bytes that came early, and relies on its server
// for limits, clock and loop. Sizes are in bytes. Calls on a connection that
// has ended do nothing, so that a caller's leaving needs no check before each.

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

// What a caller may send, and how long it may take. The relay sets what the
// configuration says; the defaults hold before that, and for the servers that
// serve no callers. They equal those of config/service_map.h.
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
  // When its first byte and its last byte came.
  Instant begun{};
  Instant read{};
};

class CallerServer;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer& server, std::shared_ptr<TcpSocket> socket);

  // Ends the exchange with a whole answer. Its length and what it says about
  // the connection are added to `head`.
  void Reply(const HttpHead& head, std::string_view body);

  void StartStream(const HttpHead& head);
  void WriteChunk(std::string_view bytes);
  void EndStream();
  // Ends the connection in the middle of an answer.
  void Abort();

  // Called at most once for each exchange, when the caller leaves before its
  // answer has ended.
  void OnGone(std::function<void()> action) { on_gone_ = std::move(action); }
  // Called when all that was unsent has been taken by the kernel.
  void OnDrained(std::function<void()> action) {
    on_drained_ = std::move(action);
  }
  // Bytes that the kernel hasn't taken yet.
  std::size_t Unsent() const { return socket_->Unsent(); }
  bool open() const { return socket_->open(); }

 private:
  friend class CallerServer;
  enum class Phase {
    kIdle,       // between two requests
    kReading,    // some bytes of a request have come
    kAnswering,  // a whole request has come
    kLingering,  // the last answer is written; what comes is thrown away
  };

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
  void CloseIdle();
  void Linger();
  // It has been opened so lately that its first request may be on its way.
  bool AwaitsFirstRequest(Instant now) const;
  // Closes the connection if it has been silent for too long.
  void Sweep(Instant now);

  CallerServer& server_;
  std::shared_ptr<TcpSocket> socket_;
  HttpParser parser_;
  Phase phase_ = Phase::kIdle;
  // Bytes that came while an answer was under way.
  std::string pending_;
  CallerRequest request_;
  // No byte of a request has come yet.
  bool fresh_ = true;
  // Of the present request.
  bool head_read_ = false;
  // The present answer may be followed by another request.
  bool keep_alive_ = true;
  // The last answer has yet to be taken by the kernel.
  bool flushing_ = false;
  // A whole request has come; the handler gets it with the loop's next turn.
  bool handing_over_ = false;
  // Inside of `Consume`; it is not entered again.
  bool consuming_ = false;
  // The last progress, for the time limits.
  Instant progress_at_{};
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_CONNECTION_H_
