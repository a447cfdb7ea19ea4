#include "http/caller_connection.h"

#include <charconv>
#include <utility>

#include "http/caller_server.h"

namespace quaytrack {
namespace {

// How long the rest of a refused request is read and discarded, so that a reset
// doesn't lose the refusal.
constexpr Duration kLingerTime = std::chrono::seconds(2);
// How long a new connection waits for its first request when idle connections
// are closed. A caller sends its first request as soon as the connection is
// open, so this time is a round trip to callers, with a margin for a slow link.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(100);
// Bytes of the next request that are accepted during an answer; reading stops
// once they are exceeded.
constexpr std::size_t kMaxPending = 64 * 1024;
// Upper bound on the bytes that frame a chunk: its size in hex digits and two
// line ends.
constexpr std::size_t kChunkFraming = 16;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string HeadBytes(const HttpHead& head, std::string_view framing,
                      bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
  out += head.reason.empty() ? ReasonOf(head.status)
                             : std::string_view(head.reason);
  out += "\r\n";
  for (const HttpHeader& it : head.headers) {
    out += it.name;
    out += ": ";
    out += it.value;
    out += "\r\n";
  }
  out += framing;
  if (!keep_alive) out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

}  // namespace

CallerConnection::CallerConnection(CallerServer& server,
                                   std::shared_ptr<TcpSocket> socket)
    : server_(server),
      socket_(std::move(socket)),
      parser_(HttpParser::Kind::kRequest,
              {[this](HttpHead& head) { OnHead(head); },
               [this](std::string_view bytes) { request_.body.append(bytes); },
               [this] { OnRequest(); }},
              server.limits_.http),
      progress_at_(server.clock_.Now()) {}

void CallerConnection::Start() {
  // The server owns the connection until `Forget`, so `this` stays valid.
  TcpSocket::Handlers on;
  on.data = [this](std::string_view bytes) { OnData(bytes); };
  on.ended = [this](SocketEnd) { OnEnded(); };
  on.drained = [this] {
    if (flushing_) return Linger();
    if (on_drained_) on_drained_();
  };
  socket_->SetHandlers(std::move(on));
}

void CallerConnection::OnData(std::string_view bytes) {
  const auto keep = shared_from_this();
  if (phase_ == Phase::kLingering) return;
  unused_ = false;
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    progress_at_ = server_.clock_.Now();
    request_.begun = progress_at_;
    parser_.SetLimits(server_.limits_.http);
  }
  if (phase_ == Phase::kReading && head_read_)
    progress_at_ = server_.clock_.Now();
  pending_.append(bytes);
  if (phase_ == Phase::kAnswering) {
    if (pending_.size() > kMaxPending) socket_->PauseReading();
    return;
  }
  Consume();
}

void CallerConnection::Consume() {
  if (consuming_) return;
  consuming_ = true;
  const std::string bytes = std::exchange(pending_, {});
  const std::size_t used = parser_.Feed(bytes);
  pending_.insert(0, bytes.substr(used));
  consuming_ = false;
  if (parser_.fault() != HttpFault::kNone && phase_ == Phase::kReading) {
    RefuseFault(parser_.fault());
  }
}

void CallerConnection::OnHead(HttpHead& head) {
  head_read_ = true;
  keep_alive_ = head.keep_alive;
  request_.head = std::move(head);
  const std::string* expect = request_.head.Find("expect");
  if (expect != nullptr) socket_->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::OnRequest() {
  phase_ = Phase::kAnswering;
  request_.read = server_.clock_.Now();
  handing_over_ = true;
  // The handler is called in a posted task, so that an immediate answer doesn't
  // reenter the parser.
  server_.loop_.Post([keep = shared_from_this()] {
    keep->handing_over_ = false;
    if (!keep->open()) return;
    // If the caller disconnected before this task ran, the handler isn't
    // called.
    if (keep->socket_->PeerHasClosed()) return keep->Abort();
    keep->server_.handler_(keep, std::exchange(keep->request_, {}));
  });
}

void CallerConnection::RefuseFault(HttpFault fault) {
  switch (fault) {
    case HttpFault::kHeadTooLarge:
      return RefuseAndClose(431);
    case HttpFault::kBodyTooLarge:
      return RefuseAndClose(413);
    case HttpFault::kMalformed:
    case HttpFault::kNone:
      return RefuseAndClose(400);
  }
}

void CallerConnection::RefuseAndClose(int status) {
  keep_alive_ = false;
  phase_ = Phase::kAnswering;
  HttpHead head;
  head.status = status;
  Reply(head, "");
}

void CallerConnection::Reply(const HttpHead& head, std::string_view body) {
  if (!open()) return;
  const bool keep_alive = keep_alive_ && !server_.closing();
  keep_alive_ = keep_alive;
  const std::string framing =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  std::string bytes = HeadBytes(head, framing, keep_alive);
  bytes += body;
  socket_->Write(bytes);
  FinishExchange();
}

void CallerConnection::StartStream(const HttpHead& head) {
  if (!open()) return;
  keep_alive_ = keep_alive_ && !server_.closing();
  socket_->Write(
      HeadBytes(head, "Transfer-Encoding: chunked\r\n", keep_alive_));
}

void CallerConnection::WriteChunk(std::string_view bytes) {
  if (!open() || bytes.empty()) return;
  std::string out;
  out.reserve(bytes.size() + kChunkFraming);
  char size[kChunkFraming];
  const auto [end, ec] =
      std::to_chars(size, size + sizeof size, bytes.size(), 16);
  out.append(size, end);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
  socket_->Write(out);
}

void CallerConnection::EndStream() {
  if (!open()) return;
  socket_->Write(kLastChunk);
  FinishExchange();
}

void CallerConnection::Abort() {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  socket_->Close();
  server_.Forget(shared_from_this());
}

void CallerConnection::FinishExchange() {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  head_read_ = false;
  progress_at_ = server_.clock_.Now();
  // A stream that started before `StartClosing` didn't announce that the
  // connection closes, so the caller may send another request.
  if (!keep_alive_ || server_.closing_) return CloseAfterFlush();
  phase_ = Phase::kIdle;
  if (pending_.empty()) return;
  socket_->ResumeReading();
  phase_ = Phase::kReading;
  request_.begun = progress_at_;
  server_.loop_.Post([keep = shared_from_this()] {
    if (keep->open() && keep->phase_ == Phase::kReading) keep->Consume();
  });
}

void CallerConnection::CloseAfterFlush() {
  phase_ = Phase::kLingering;
  pending_.clear();
  socket_->ResumeReading();
  if (socket_->Unsent() == 0) return Linger();
  flushing_ = true;
}

// Closes a connection without a running request, after the unsent rest of its
// last answer.
void CallerConnection::CloseIdle() {
  keep_alive_ = false;
  if (socket_->Unsent() == 0) return Abort();
  CloseAfterFlush();
}

// Closes only the sending side: the caller may still be sending, and closing
// both sides would reset the connection and lose the answer.
void CallerConnection::Linger() {
  flushing_ = false;
  progress_at_ = server_.clock_.Now();
  socket_->ShutdownWrite();
}

void CallerConnection::OnEnded() {
  const auto keep = shared_from_this();
  server_.Forget(keep);
  const auto gone = std::exchange(on_gone_, nullptr);
  on_drained_ = nullptr;
  if (gone) gone();
}

bool CallerConnection::AwaitsFirstRequest(Instant now) const {
  return unused_ && open() && now - progress_at_ < kFirstRequestTime;
}

void CallerConnection::Sweep(Instant now) {
  const Duration silent = now - progress_at_;
  const CallerLimits& limits = server_.limits_;
  switch (phase_) {
    case Phase::kIdle:
      if (silent >= limits.idle_timeout) CloseIdle();
      return;
    case Phase::kReading:
      if (!head_read_ && silent >= limits.head_timeout) RefuseAndClose(408);
      if (head_read_ && silent >= limits.idle_timeout) RefuseAndClose(408);
      return;
    case Phase::kLingering:
      // The caller may read the unsent rest of its answer slowly; the timeout
      // of the socket detects a caller that reads nothing.
      if (!flushing_ && silent >= kLingerTime) Abort();
      return;
    case Phase::kAnswering:
      return;
  }
}

}  // namespace quaytrack
