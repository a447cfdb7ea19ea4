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
// The answer to a request that there is no memory for.
constexpr int kUnavailable = 503;
// The answer to a request that may have run.
constexpr int kBadGateway = 502;
constexpr char kRetryAfter[] = "Retry-After";
constexpr char kRetryAfterSeconds[] = "1";
// A body is held twice while its request is under way: once more in the bytes
// for its target.
constexpr std::size_t kBodyCopies = 2;
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
    : server_(&server),
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
    UpdateHeld();
    if (flushing_) return Linger();
    // A copy, as the action may end the exchange and so be replaced.
    const auto drained = on_drained_;
    if (drained) drained();
  };
  socket_->SetHandlers(std::move(on));
}

void CallerConnection::OnData(std::string_view bytes) {
  const auto keep = shared_from_this();
  server_->ShedExcess();
  if (server_ == nullptr || phase_ == Phase::kLingering || !open()) return;
  unused_ = false;
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    progress_at_ = server_->clock_.Now();
    request_.begun = progress_at_;
    parser_.SetLimits(server_->limits_.http);
  }
  if (phase_ == Phase::kReading && head_read_)
    progress_at_ = server_->clock_.Now();
  pending_.append(bytes);
  if (phase_ == Phase::kAnswering) {
    if (pending_.size() > kMaxPending) PauseReading();
    return UpdateHeld();
  }
  Consume();
  UpdateHeld();
}

void CallerConnection::PauseReading() {
  paused_ = true;
  socket_->PauseReading();
}

void CallerConnection::ResumeReading() {
  paused_ = false;
  socket_->ResumeReading();
}

std::size_t CallerConnection::CountHeld() const {
  if (!open()) return 0;
  return parser_.HeldBytes() + pending_.capacity() +
         request_.head.MemoryBytes() + request_.body.capacity() +
         request_bytes_ + handler_bytes_ + socket_->BufferBytes() +
         (paused_ ? socket_->Unread() : 0);
}

void CallerConnection::UpdateHeld() {
  const std::size_t now = CountHeld();
  if (server_ != nullptr) server_->OnHeldChanged(held_, now);
  held_ = now;
}

void CallerConnection::NoteHeld(std::size_t bytes) {
  handler_bytes_ = bytes;
  UpdateHeld();
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
  request_.read = server_->clock_.Now();
  handing_over_ = true;
  // The handler is called in a posted task, so that an immediate answer doesn't
  // reenter the parser.
  server_->loop_.Post([keep = shared_from_this()] { keep->HandOver(); });
}

void CallerConnection::HandOver() {
  if (server_ == nullptr) return;
  // Many connections may have a request to hand over in one turn of the loop.
  server_->ShedExcess();
  if (server_ == nullptr) return;
  const bool is_refused = !std::exchange(handing_over_, false);
  if (is_refused || !open()) return;
  // If the caller disconnected before this task ran, the handler isn't called.
  if (socket_->PeerHasClosed()) return Abort();
  request_bytes_ =
      request_.head.MemoryBytes() + kBodyCopies * request_.body.capacity();
  const auto handler = server_->handler_;
  (*handler)(shared_from_this(), std::exchange(request_, {}));
  UpdateHeld();
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
  if (status == kUnavailable)
    head.headers.push_back({kRetryAfter, kRetryAfterSeconds});
  Reply(head, "");
}

void CallerConnection::Shed() {
  const auto keep = shared_from_this();
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kLingering:
      return Abort();
    case Phase::kReading:
      return RefuseAndClose(kUnavailable);
    case Phase::kAnswering:
      if (std::exchange(handing_over_, false))
        return RefuseAndClose(kUnavailable);
      return ShedAnswering();
  }
}

// A target may have the request. A close without an answer could look to the
// caller as if the request hadn't been read, so that it may be sent again.
void CallerConnection::ShedAnswering() {
  const auto gone = std::exchange(on_gone_, nullptr);
  if (answer_begun_) {
    Abort();
  } else {
    RefuseAndClose(kBadGateway);
  }
  if (gone) gone();
}

// Whether the connection is to end with the present answer. A request that was
// read behind it is answered first.
bool CallerConnection::IsLastAnswer() const {
  return server_->closing() && pending_.empty();
}

void CallerConnection::Reply(const HttpHead& head, std::string_view body) {
  if (!open()) return;
  const bool keep_alive = keep_alive_ && !IsLastAnswer();
  keep_alive_ = keep_alive;
  const std::string framing =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  std::string bytes = HeadBytes(head, framing, keep_alive);
  bytes += body;
  socket_->Write(bytes);
  FinishExchange();
  UpdateHeld();
}

void CallerConnection::StartStream(const HttpHead& head) {
  if (!open()) return;
  keep_alive_ = keep_alive_ && !IsLastAnswer();
  answer_begun_ = true;
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
  if (socket_->Unsent() > 0) UpdateHeld();
}

void CallerConnection::EndStream() {
  if (!open()) return;
  socket_->Write(kLastChunk);
  FinishExchange();
  UpdateHeld();
}

void CallerConnection::Abort() {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  socket_->Close();
  UpdateHeld();
  if (server_ != nullptr) server_->Forget(shared_from_this());
}

void CallerConnection::Leave() {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  socket_->Close();
  server_ = nullptr;
}

void CallerConnection::FinishExchange() {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  head_read_ = false;
  answer_begun_ = false;
  request_bytes_ = 0;
  handler_bytes_ = 0;
  progress_at_ = server_->clock_.Now();
  // A stream that started before `StartClosing` didn't announce that the
  // connection closes, so the caller may send another request.
  const bool ends = server_->closing_ && pending_.empty();
  if (!keep_alive_ || ends) return CloseAfterFlush();
  phase_ = Phase::kIdle;
  if (pending_.empty()) return;
  ResumeReading();
  phase_ = Phase::kReading;
  request_.begun = progress_at_;
  server_->loop_.Post([keep = shared_from_this()] {
    if (keep->open() && keep->phase_ == Phase::kReading) keep->Consume();
  });
}

void CallerConnection::CloseAfterFlush() {
  phase_ = Phase::kLingering;
  std::string().swap(pending_);
  std::exchange(request_, {});
  parser_.Discard();
  ResumeReading();
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
  progress_at_ = server_->clock_.Now();
  socket_->ShutdownWrite();
}

void CallerConnection::OnEnded() {
  const auto keep = shared_from_this();
  UpdateHeld();
  if (server_ != nullptr) server_->Forget(keep);
  const auto gone = std::exchange(on_gone_, nullptr);
  on_drained_ = nullptr;
  if (gone) gone();
}

bool CallerConnection::IsSpare() const {
  return phase_ != Phase::kAnswering && socket_->Unsent() == 0;
}

bool CallerConnection::AwaitsFirstRequest(Instant now) const {
  return unused_ && open() && now - progress_at_ < kFirstRequestTime;
}

void CallerConnection::Sweep(Instant now) {
  if (paused_) UpdateHeld();
  const Duration silent = now - progress_at_;
  const CallerLimits& limits = server_->limits_;
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
