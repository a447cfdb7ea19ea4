#include "http/target_connection.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

#include "http/tunnel.h"

namespace quaytrack {
namespace {

// An idle connection is closed before its target may close it: at most this
// long before, and at least this less the interval of the checks,
// `kSweepEvery`.
constexpr Duration kCloseMargin = std::chrono::milliseconds(1500);
// How long a target is assumed to keep an idle connection if it gives no time.
constexpr Duration kIdleDefault = std::chrono::seconds(4);
// How long a connection that has carried no call is kept, plus kCloseMargin:
// some targets close those sooner than others.
constexpr Duration kUnusedIdleTime = std::chrono::milliseconds(3000);
// Interval of the checks for connections that have been idle for too long.
constexpr Duration kSweepEvery = std::chrono::milliseconds(500);
// Maximum number of idle connections to one address; beyond it, the connection
// that has been idle for longest is closed.
constexpr std::size_t kMaxIdlePerAddress = 16;
// Bytes of the head and the body of an answer. The body is in effect unlimited,
// because reading pauses when the caller is slow.
constexpr HttpLimits kAnswerLimits{64 * 1024, std::size_t{1} << 40};
// Maximum number of answers that are skipped before the expected one: interim
// ones, and delayed ones to earlier requests.
constexpr int kMaxSkipped = 16;
// The statuses of errors, with refusals, begin here.
constexpr int kFirstErrorStatus = 400;
// Maximum number of requests that a connection remembers as answered with an
// error. It isn't kept beyond that.
constexpr std::size_t kMaxFailedRequests = 64;

// Reads `Keep-Alive: timeout=5`; without this header, returns the default. An
// unreadable number counts as 0, so that the connection isn't kept for long.
Duration IdleTimeOf(const HttpHead& head) {
  constexpr std::string_view kName = "timeout=";
  const std::string* text = head.Find("keep-alive");
  if (text == nullptr) return kIdleDefault;
  const std::size_t at = text->find(kName);
  if (at == std::string::npos) return kIdleDefault;
  int seconds = 0;
  const char* begin = text->data() + at + kName.size();
  std::from_chars(begin, text->data() + text->size(), seconds);
  return std::chrono::seconds(seconds);
}

std::size_t IdHash(const std::string& id) {
  return std::hash<std::string>()(id);
}

}  // namespace

struct CallHandle::Connection
    : public std::enable_shared_from_this<CallHandle::Connection> {
  explicit Connection(TargetConnections& connections)
      : owner(connections),
        parser(HttpParser::Kind::kResponse,
               {[this](HttpHead& head) { OnHead(head); },
                [this](std::string_view bytes) { OnBody(bytes); },
                [this] { OnComplete(); }},
               kAnswerLimits) {}

  void OnHead(HttpHead& head) {
    skipping = true;
    ++heads;
    // A head with a 1xx status is an interim answer; it is skipped, and the
    // final answer follows.
    if (head.status < kFirstFinalStatus) return;
    idle_time = IdleTimeOf(head);
    last_status = head.status;
    if (!head.keep_alive) reusable = false;
    if (!call) return;
    const auto on = call->on_;
    skipping = !on->head(head);
    if (skipping) reusable = false;
  }

  void OnBody(std::string_view bytes) {
    if (skipping || !call) return;
    const auto on = call->on_;
    on->body(bytes);
  }

  void OnComplete() {
    if (!skipping) complete = true;
  }

  void OnData(std::string_view bytes) {
    const auto keep = shared_from_this();
    if (!call) return Drop();
    if (tunnel && !tunnel->complete()) return OnTunnelHead(bytes);
    tunnel && tunnel->framed() ? OnFrames(bytes) : OnAnswer(bytes);
  }

  // Takes bytes of the target's connection.
  void OnAnswer(std::string_view bytes) {
    const auto keep = shared_from_this();
    while (!bytes.empty() && call && !complete) {
      const std::size_t used = parser.Feed(bytes);
      // A handler may have cancelled the call.
      if (!call) return;
      const bool too_many = skipping && heads > kMaxSkipped;
      if (parser.fault() != HttpFault::kNone || too_many) {
        return owner.Finish(keep, CallEnd::kMalformed, false);
      }
      bytes.remove_prefix(used);
    }
    if (!complete) return;
    if (last_status >= kFirstErrorStatus) RememberFailed();
    const bool clean = bytes.empty() && socket->Unsent() == 0;
    owner.Finish(keep, CallEnd::kComplete, reusable && clean);
  }

  void OnEnded(SocketEnd end) {
    const auto keep = shared_from_this();
    if (probe_done) return EndProbe(false);
    if (!call) {
      const bool unexpected = owner.clock_.Now() - idle_since < idle_time;
      Drop();
      if (unexpected) owner.on_unexpected_end_(address);
      return;
    }
    if (tunnel) return OnTunnelEnded();
    OnAnswerEnded(end);
  }

  // The target's connection has ended.
  void OnAnswerEnded(SocketEnd end) {
    const auto keep = shared_from_this();
    const bool taken = socket->bytes_accepted() > taken_before;
    if (end == SocketEnd::kClosed && parser.FeedEnd() && complete) {
      return owner.Finish(keep, CallEnd::kComplete, false);
    }
    if (!call) return;
    owner.Finish(keep, taken ? CallEnd::kBroken : CallEnd::kNotSent, false);
  }

  // The peer's connection has ended, and no frame has told how the target's
  // did.
  void OnTunnelEnded() {
    const auto keep = shared_from_this();
    const bool taken =
        tunnel->complete() && socket->bytes_accepted() > taken_before;
    owner.Finish(keep, taken ? CallEnd::kTunnelBroken : CallEnd::kNoTunnel,
                 false);
  }

  void OnFrames(std::string_view bytes) {
    const auto keep = shared_from_this();
    while (call && !bytes.empty()) {
      const TunnelFrame it = frames.Next(bytes);
      switch (it.kind) {
        case TunnelFrameKind::kPartial:
          break;
        case TunnelFrameKind::kData:
          OnAnswer(it.data);
          break;
        case TunnelFrameKind::kClosed:
          return OnAnswerEnded(SocketEnd::kClosed);
        case TunnelFrameKind::kReset:
          return OnAnswerEnded(SocketEnd::kReset);
        case TunnelFrameKind::kMalformed:
          return owner.Finish(keep, CallEnd::kTunnelBroken, false);
      }
    }
  }

  void OnConnected() {
    const auto keep = shared_from_this();
    if (probe_done) {
      idle_time = kUnusedIdleTime;
      owner.KeepIdle(keep);
      return EndProbe(true);
    }
    if (!call) return;
    if (tunnel) return socket->Write(TunnelRequest(address));
    SendCall();
  }

  void EndProbe(bool opened) {
    const auto keep = shared_from_this();
    owner.probes_.erase(keep);
    std::exchange(probe_done, nullptr)(opened);
  }

  // Takes the peer's answer to the request for a tunnel.
  void OnTunnelHead(std::string_view bytes) {
    const auto keep = shared_from_this();
    const std::size_t used = tunnel->Feed(bytes);
    if (!tunnel->complete() && !tunnel->malformed()) return;
    const auto status = tunnel->Status();
    // Targets send nothing before they are asked.
    const bool surplus = used < bytes.size();
    if (status == TunnelStatus::kOpen && !surplus) {
      taken_before = socket->bytes_accepted();
      return SendCall();
    }
    const bool target_fails = status == TunnelStatus::kUnreachable;
    owner.Finish(keep, target_fails ? CallEnd::kNotSent : CallEnd::kNoTunnel,
                 false);
  }

  // Sends the bytes of the call that waited for the connection.
  void SendCall() {
    const auto keep = shared_from_this();
    const auto check = std::exchange(may_send, nullptr);
    const bool is_allowed = !check || check();
    // The check may have cancelled the call.
    if (!call) return;
    if (!is_allowed)
      return owner.Finish(keep, CallEnd::kCancelledBeforeSend, false);
    socket->Write(std::exchange(unsent, {}));
  }

  // Whether no late copy of an answer can be mistaken for that to the request.
  bool MayCarry(std::size_t request_hash) const {
    return std::find(failed.begin(), failed.end(), request_hash) ==
           failed.end();
  }

  void RememberFailed() {
    if (request.empty()) return;
    failed.push_back(IdHash(request));
    if (failed.size() >= kMaxFailedRequests) reusable = false;
  }

  // Removes an idle connection that ended, or that received bytes without a
  // request.
  void Drop() {
    auto& list = owner.idle_[address];
    const auto keep = shared_from_this();
    std::erase(list, keep);
    socket->Close();
  }

  TargetConnections& owner;
  std::uint64_t number = 0;
  std::string address;
  std::shared_ptr<TcpSocket> socket;
  HttpParser parser;
  std::shared_ptr<CallHandle> call;
  // `bytes` and `may_send` of a call that waits for the connection to open.
  std::string unsent;
  std::function<bool()> may_send;
  // The peer's answer, on a connection through a tunnel.
  std::optional<TunnelHead> tunnel;
  TunnelFrames frames;
  // Set while the connection is opened by `Probe`.
  std::function<void(bool)> probe_done;
  // Value of the socket's `bytes_accepted` at the start of the current call.
  std::uint64_t taken_before = 0;
  // Number of calls that it has carried, with the current one.
  int calls = 0;
  // `TargetCall::request` of the current call, and the status of its answer.
  std::string request;
  int last_status = 0;
  // Hashes of the requests whose answers were errors.
  std::vector<std::size_t> failed;
  // Number of heads that have arrived for the current call.
  int heads = 0;
  // Whether the current answer isn't the expected one.
  bool skipping = false;
  // Whether the expected answer is complete.
  bool complete = false;
  // Whether another request may follow the current one.
  bool reusable = true;
  Duration idle_time = kIdleDefault;
  Instant idle_since{};
};

void CallHandle::Cancel() {
  // Without a connection, the report that it couldn't be opened may be on its
  // way.
  on_.reset();
  if (!connection_) return;
  const auto connection = std::exchange(connection_, nullptr);
  connection->call.reset();
  connection->socket->Close();
}

void CallHandle::PauseReading() {
  if (connection_) connection_->socket->PauseReading();
}

void CallHandle::ResumeReading() {
  if (connection_) connection_->socket->ResumeReading();
}

bool CallHandle::sent() const {
  return connection_ && !connecting() &&
         connection_->socket->bytes_accepted() > connection_->taken_before;
}

bool CallHandle::connecting() const {
  if (!connection_) return false;
  const auto& tunnel = connection_->tunnel;
  return !connection_->socket->connected() || (tunnel && !tunnel->complete());
}

std::uint64_t CallHandle::connection_number() const {
  return connection_ ? connection_->number : 0;
}

bool CallHandle::is_first() const {
  return connection_ && connection_->calls == 1;
}

bool CallHandle::sees_end() const {
  if (!connection_) return true;
  const auto& tunnel = connection_->tunnel;
  return !tunnel || tunnel->framed();
}

TargetConnections::TargetConnections(Loop& loop, const Clock& clock,
                                     Dialer dial)
    : loop_(loop),
      clock_(clock),
      dial_(std::move(dial)),
      sweep_(loop.Every(kSweepEvery, [this] { Sweep(); })) {}

TargetConnections::~TargetConnections() {
  for (const ConnectionPtr& it : probes_) it->socket->Close();
  for (auto& [address, list] : idle_) {
    for (const ConnectionPtr& it : list) it->socket->Close();
  }
}

TargetConnections::ConnectionPtr TargetConnections::TakeIdle(
    const std::string& address, const std::string& request) {
  auto& list = idle_[address];
  const std::size_t hash = IdHash(request);
  const auto it = std::find_if(
      list.rbegin(), list.rend(),
      [hash](const ConnectionPtr& that) { return that->MayCarry(hash); });
  if (it == list.rend()) return nullptr;
  ConnectionPtr out = *it;
  list.erase(std::next(it).base());
  return out;
}

TargetConnections::ConnectionPtr TargetConnections::MakeConnection(
    const std::string& address) {
  auto out = std::make_shared<CallHandle::Connection>(*this);
  out->number = ++last_number_;
  out->address = address;
  return out;
}

TargetConnections::ConnectionPtr TargetConnections::Open(
    const std::string& address) {
  ConnectionPtr out = MakeConnection(address);
  out->socket = dial_(loop_, address, Options(), HandlersOf(out));
  ++opened_;
  return out->socket ? out : nullptr;
}

TargetConnections::ConnectionPtr TargetConnections::OpenTunnel(
    const std::string& address, const std::string& via) {
  ConnectionPtr out = MakeConnection(address);
  out->tunnel.emplace();
  out->reusable = false;
  out->socket = TcpSocket::Connect(loop_, via, Options(), HandlersOf(out));
  return out->socket ? out : nullptr;
}

void TargetConnections::Probe(const std::string& address,
                              std::function<void(bool)> done) {
  const ConnectionPtr connection = Open(address);
  if (!connection) return loop_.Post([done = std::move(done)] { done(false); });
  connection->probe_done = std::move(done);
  // Until it has opened, nothing else refers to the connection.
  probes_.insert(connection);
}

TcpOptions TargetConnections::Options() {
  TcpOptions out;
  out.user_timeout = kTargetUserTimeout;
  return out;
}

TcpSocket::Handlers TargetConnections::HandlersOf(
    const ConnectionPtr& connection) {
  TcpSocket::Handlers on;
  const std::weak_ptr<CallHandle::Connection> weak = connection;
  on.data = [weak](std::string_view bytes) {
    if (const auto it = weak.lock()) it->OnData(bytes);
  };
  on.ended = [weak](SocketEnd end) {
    if (const auto it = weak.lock()) it->OnEnded(end);
  };
  on.connected = [weak] {
    if (const auto it = weak.lock()) it->OnConnected();
  };
  return on;
}

std::shared_ptr<CallHandle> TargetConnections::Start(
    const TargetCall& call, CallHandle::Handlers handlers) {
  auto out = std::make_shared<CallHandle>();
  out->owner_ = this;
  out->on_ = std::make_shared<CallHandle::Handlers>(std::move(handlers));
  const bool direct = call.via.empty();
  ConnectionPtr connection =
      direct ? TakeIdle(call.address, call.request) : nullptr;
  if (!connection) {
    connection =
        direct ? Open(call.address) : OpenTunnel(call.address, call.via);
  }
  if (!connection) {
    loop_.Post([out, direct] {
      const auto on = std::exchange(out->on_, nullptr);
      if (on && on->end)
        on->end(direct ? CallEnd::kNotSent : CallEnd::kNoTunnel);
    });
    return out;
  }
  out->connection_ = connection;
  connection->call = out;
  ++connection->calls;
  connection->request = call.request;
  connection->complete = false;
  connection->heads = 0;
  connection->taken_before = connection->socket->bytes_accepted();
  if (direct && connection->socket->connected()) {
    connection->socket->Write(call.bytes);
  } else {
    connection->unsent = call.bytes;
    connection->may_send = call.may_send;
  }
  return out;
}

void TargetConnections::Finish(const ConnectionPtr& connection, CallEnd end,
                               bool reusable) {
  const auto call = std::exchange(connection->call, nullptr);
  call->connection_.reset();
  if (reusable && connection->socket->open()) {
    KeepIdle(connection);
  } else {
    connection->socket->Close();
  }
  const auto on = std::exchange(call->on_, nullptr);
  if (on->end) on->end(end);
}

void TargetConnections::KeepIdle(const ConnectionPtr& connection) {
  auto& list = idle_[connection->address];
  connection->idle_since = clock_.Now();
  connection->socket->ResumeReading();
  list.push_back(connection);
  if (list.size() <= kMaxIdlePerAddress) return;
  list.front()->socket->Close();
  list.erase(list.begin());
}

void TargetConnections::CloseIdle(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  for (const ConnectionPtr& connection : it->second) {
    connection->socket->Close();
  }
  idle_.erase(it);
}

void TargetConnections::Sweep() {
  const Instant now = clock_.Now();
  for (auto& [address, list] : idle_) {
    std::erase_if(list, [&](const ConnectionPtr& it) {
      const bool old = now - it->idle_since + kCloseMargin >= it->idle_time;
      if (old) it->socket->Close();
      return old;
    });
  }
}

}  // namespace quaytrack
