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
// Slow callers. With a `CallerMemory` (http/caller_server.h), a request whose
// body doesn't fit into memory reaches the handler at once, without the body
// and marked `body_refused`; the rest of the body is read and discarded. A
// caller that sends further requests but leaves an answer unread isn't read
// until it has taken the answer. `Cut` ends a connection that holds too much.
//
// A connection owns its socket and the bytes of a next request that arrive
// during an answer, and relies on its server for limits, clock and loop. Sizes
// are in bytes. Calls on a connection that has ended do nothing, so they need
// no check of `open`.

#ifndef QUAYTRACK_HTTP_CALLER_CONNECTION_H_
#define QUAYTRACK_HTTP_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

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
  // Memory is short, so the body wasn't read: the request must not run, and its
  // answer is the last of its connection.
  bool body_refused = false;
  // Its size as announced, or as far as it was read.
  std::size_t refused_bytes = 0;
  // When the first byte and the last byte of the request arrived.
  Instant begun{};
  Instant read{};
};

class CallerServer;

// Whose request a connection carries, or carried last.
struct CallerUser {
  std::string customer;
  std::string request;
};

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
  // The same, with a reset: what is buffered for the caller is freed, also in
  // the kernel.
  void Cut();

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

  // Set by the handler, and kept until the next request.
  void SetUser(CallerUser user) { user_ = std::move(user); }
  const CallerUser& user() const { return user_; }
  // Distinguishes the connections of a process.
  std::uint64_t serial() const { return serial_; }
  // Memory of the bytes that wait for the caller, or for the rest of its
  // request. A request that was passed to the handler isn't included.
  std::size_t held() const { return held_.bytes() + socket_->held(); }
  // A count that rises while the caller sends a request, or receives an answer.
  // Makes a system call.
  std::uint64_t Moved() const {
    return received_ + socket_->BytesAcknowledged();
  }
  // Whether a request is at the handler, or about to be.
  bool IsAnswering() const { return phase_ == Phase::kAnswering; }
  // Whether nothing waits for the caller or for the rest of a request of its.
  bool IsIdle() const {
    return phase_ != Phase::kReading && !IsAnswering() && Unsent() == 0;
  }
  // Whether a request is being read whose head is complete.
  bool IsReadingBody() const { return phase_ == Phase::kReading && head_read_; }
  // Refuses the request whose body is being read
  // (`CallerRequest::body_refused`).
  void RefuseBody() { RefuseBody(request_.body.size()); }

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
  void OnBody(std::string_view bytes);
  void OnRequest();
  void RefuseBody(std::size_t bytes);
  void HandOver();
  void CountHeld();
  std::size_t MaxPending() const;
  void ReadNext();
  void RefuseFault(HttpFault fault);
  void RefuseAndClose(int status);
  void OnEnded();
  void FinishExchange();
  void CloseAfterFlush();
  void CloseIdle();
  void Linger();
  // Whether the connection is so new that its first request may be on its way.
  bool AwaitsFirstRequest(Instant now) const;
  // Ends the connection if a time limit has passed.
  void Sweep(Instant now);

  CallerServer& server_;
  std::shared_ptr<TcpSocket> socket_;
  HttpParser parser_;
  Phase phase_ = Phase::kIdle;
  // Received bytes that the parser hasn't used yet, such as the next request.
  std::string pending_;
  CallerRequest request_;
  HeldCount held_;
  CallerUser user_;
  const std::uint64_t serial_;
  // Number of bytes received.
  std::uint64_t received_ = 0;
  // Whether bytes of a refused body are discarded.
  bool discarding_ = false;
  // Whether reading is paused until the caller has taken its last answer.
  bool awaits_drain_ = false;
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
  // Time of the last progress, for the time limits.
  Instant progress_at_{};
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_CONNECTION_H_
