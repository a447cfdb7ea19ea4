// CallerConnection: a connection from a caller. It carries one request at a
// time, answered with one body or as a stream.
//
//   caller->OnGone([] {...});            // the caller left before the answer
//   caller->Reply(head, body);           // a complete answer, or:
//   caller->StartStream(head);
//   caller->WriteChunk(bytes);           // as often as needed
//   caller->EndStream();
//
// A `CallerServer` (http/caller_server.h) creates the connections and passes
// each request to its handler. A request that breaks the limits or the protocol
// doesn't reach the handler: it is answered here with 400, 408, 413 or 431, and
// the connection ends.
//
// An aborted answer never looks complete: a stream is sent in chunks, and
// `Abort` omits the last chunk. After the last answer of a connection the
// writing side is closed first, and bytes that the caller still sends are read
// for a while; closing at once would reset the connection and lose the answer.
//
// A connection owns its socket and the bytes of a next request that arrive
// during an answer, and relies on its server for limits, clock and loop. Sizes
// are in bytes. Calls on a connection that has ended do nothing, so they need
// no check of `open`.
//
// A connection reports the memory that it holds to its server, with that of the
// request that its handler has taken and what the handler adds (`NoteHeld`).
// When all connections together hold too much, the server has some end
// (`Shed`): a request that the handler doesn't have yet is refused with 503;
// where the handler has it, it is answered with 502, or its stream is broken
// off, and the caller counts as gone.

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

// Limits on the size and duration of a caller's requests. The relay sets the
// limits of the configuration. The defaults apply until then, and to servers
// that serve no callers; they equal the defaults in config/service_map.h.
struct CallerLimits {
  HttpLimits http;
  // Limit on the time from the first byte of a request to the end of its head.
  Duration head_timeout = std::chrono::seconds(3);
  // Limit on the time between two requests, and on the time without progress
  // inside a body.
  Duration idle_timeout = std::chrono::seconds(15);
};

struct CallerRequest {
  HttpHead head;
  std::string body;
  // When the first byte and the last byte of the request arrived.
  Instant begun{};
  Instant read{};
};

class CallerServer;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer& server, std::shared_ptr<TcpSocket> socket);

  // Ends the exchange with a complete answer. The headers for its length and,
  // if the connection ends, `Connection` are added to `head`.
  void Reply(const HttpHead& head, std::string_view body);

  void StartStream(const HttpHead& head);
  void WriteChunk(std::string_view bytes);
  void EndStream();
  // Ends the connection at once, also in the middle of an answer.
  void Abort();

  // Sets the memory that the handler holds for the exchange beside the request.
  void NoteHeld(std::size_t bytes);

  // Sets the action that is called, at most once for each exchange, when the
  // caller leaves before its answer has ended.
  void OnGone(std::function<void()> action) { on_gone_ = std::move(action); }
  // Sets the action that is called when the kernel has accepted all unsent
  // bytes.
  void OnDrained(std::function<void()> action) {
    on_drained_ = std::move(action);
  }
  // Number of written bytes that the kernel hasn't accepted yet.
  std::size_t Unsent() const { return socket_->Unsent(); }
  bool open() const { return socket_->open(); }

 private:
  friend class CallerServer;
  enum class Phase {
    kIdle,       // between two requests
    kReading,    // some bytes of a request have arrived
    kAnswering,  // a complete request has arrived
    kLingering,  // the last answer is written; received bytes are discarded
  };

  void Start();
  void OnData(std::string_view bytes);
  void Consume();
  void OnHead(HttpHead& head);
  void OnRequest();
  void HandOver();
  void RefuseFault(HttpFault fault);
  void RefuseAndClose(int status);
  // Ends the connection so that it holds no more memory.
  void Shed();
  void ShedAnswering();
  std::size_t CountHeld() const;
  void UpdateHeld();
  void PauseReading();
  void ResumeReading();
  // Whether the connection may be closed to make room for another one.
  bool IsSpare() const;
  void OnEnded();
  bool IsLastAnswer() const;
  void FinishExchange();
  void CloseAfterFlush();
  void CloseIdle();
  void Linger();
  // Whether the connection is so new that its first request may be on its way.
  bool AwaitsFirstRequest(Instant now) const;
  // Ends the connection if a time limit has passed.
  void Sweep(Instant now);
  // Ends the connection for good, as the server is being destroyed.
  void Leave();

  // Null once the connection has ended or the server is gone.
  CallerServer* server_;
  std::shared_ptr<TcpSocket> socket_;
  HttpParser parser_;
  Phase phase_ = Phase::kIdle;
  // Received bytes that the parser hasn't used yet, such as the next request.
  std::string pending_;
  CallerRequest request_;
  // Whether no byte of a request has arrived yet.
  bool unused_ = true;
  // Whether the head of the current request is complete.
  bool head_read_ = false;
  // Whether another request may follow the current one.
  bool keep_alive_ = true;
  // Whether the connection is ending and the kernel hasn't accepted all of its
  // last answer.
  bool flushing_ = false;
  // Whether a complete request waits for the posted task that passes it to the
  // handler.
  bool handing_over_ = false;
  // Whether `Consume` is running; a nested call does nothing.
  bool consuming_ = false;
  // Whether the head of a streamed answer has been written.
  bool answer_begun_ = false;
  // Whether reading is paused, as too much of the next request has arrived.
  bool paused_ = false;
  // Memory of the request that the handler has, and what the handler added.
  std::size_t request_bytes_ = 0;
  std::size_t handler_bytes_ = 0;
  // Memory in all that was last reported to the server.
  std::size_t held_ = 0;
  // Time of the last progress, for the time limits.
  Instant progress_at_{};
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_CONNECTION_H_
