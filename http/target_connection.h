// TargetConnections: connections to targets. Each carries one request at a time
// and stays open between requests.
//
//   TargetConnections targets(loop, clock);
//   auto call = targets.Start({"10.0.0.9:80", bytes}, handlers);
//   call->Cancel();
//
// A last check before sending: a call that has to wait for its connection to
// open asks `TargetCall::may_send` just before its first byte whether it may
// still be sent there. On an open connection a call is written at once.
//
// For callers, the important fact about a failure is whether the request may
// have run (`CallEnd`). So a call ends as not sent only if the kernel took no
// byte of it.
//
// A connection is reused only after a clean exchange. A target may send a
// delayed surplus answer on a kept connection: the handler `head` decides
// whether an answer is the expected one; others are skipped, and the connection
// isn't reused. It can't tell the copy of a refusal from the answer to the same
// request, sent again. So a connection that has answered a request with an
// error doesn't carry that request again (`TargetCall::request`). A connection
// isn't reused either after it has received bytes without a request, or an
// answer before the request was fully sent. An idle connection is closed before
// its target would close it (`Keep-Alive: timeout=`), because a request that
// meets that close would count as one that may have run.
//
// Tunnels. With `TargetCall::via`, the call goes through a tunnel of a peer
// (http/tunnel.h) to the address. It counts as connecting until the peer has
// connected to the target, and nothing of it is sent before. A tunnel carries
// one call. The end of an answer without a length is what the peer states; a
// tunnel that ends without that is broken (`CallEnd::kTunnelBroken`), which
// says nothing about the target. A peer of an earlier version can't state it,
// so through such a peer only an answer with its own end is complete.
//
//   targets.Probe("10.0.0.9:80", [](bool opened) {...});
//
// opens a connection to find out whether that works, and keeps it for calls.
//
// A TargetConnections owns the idle connections; a running call owns its
// connection. The loop and the clock must outlive the TargetConnections, which
// must outlive its calls. Handlers are called from the loop, never from inside
// `Start`. Each handler, and `may_send`, may cancel its call; none is called
// after that. If the connection can't be opened, the call ends as not sent.

#ifndef QUAYTRACK_HTTP_TARGET_CONNECTION_H_
#define QUAYTRACK_HTTP_TARGET_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/http_parser.h"
#include "net/http_message.h"
#include "net/tcp_socket.h"

namespace quaytrack {

// How long bytes sent to a target may stay unacknowledged. A sound target may
// be silent for a second or so, and the retransmission that it then answers may
// come as late again. Shorter timeouts of requests are those of
// relay/attempt.h.
inline constexpr Duration kTargetUserTimeout = std::chrono::milliseconds(2500);

// How a call ended, as seen on its connection.
enum class CallEnd {
  kComplete,   // a complete answer arrived
  kNotSent,    // the kernel took no byte: the request can't have run
  kBroken,     // sent at least in part, no complete answer: it may have run
  kMalformed,  // the same, as what came is no answer or exceeds a limit
  kCancelledBeforeSend,  // not sent, because `may_send` returned false
  kNoTunnel,      // not sent, because the peer can't be reached or refused
  kTunnelBroken,  // sent, and the tunnel ended before the answer did
};

struct TargetCall {
  // "host:port".
  std::string address;
  // Head and body of the request, as sent.
  std::string bytes;
  // Called just before `bytes` are written to a connection that had to be
  // opened first: opening may take as long as its timeout, and the reasons for
  // the choice of the address may have changed. If it returns false, nothing is
  // written and the call ends as `kCancelledBeforeSend`. Optional.
  std::function<bool()> may_send = {};
  // Address of the peer whose tunnel is used; empty for a direct connection.
  std::string via = {};
  // Id of the request that the call carries or is about, as the target repeats
  // it in answers. Empty if answers have none.
  std::string request = {};
};

class TargetConnections;

// A running call. Destroying the handle doesn't end the call; `Cancel` does.
class CallHandle : public std::enable_shared_from_this<CallHandle> {
 public:
  struct Handlers {
    // Gets the head of an answer. Returns false if the answer belongs to
    // another request; the rest of that answer is then skipped.
    std::function<bool(const HttpHead& head)> head;
    std::function<void(std::string_view bytes)> body;
    std::function<void(CallEnd end)> end;
  };

  // Ends the call without a report and closes its connection.
  void Cancel();
  // Stop and restart reading the answer, so that a slow consumer slows the
  // target down.
  void PauseReading();
  void ResumeReading();
  // Whether the kernel has accepted some byte of the request.
  bool sent() const;
  // Whether the call waits for its connection, or its tunnel, to open.
  bool connecting() const;
  // Number of the connection, to tell whether two calls had the same one; 0 if
  // there is none.
  std::uint64_t connection_number() const;
  // Whether the connection has carried no other call, so that nothing of an
  // earlier answer can arrive.
  bool is_first() const;
  // Whether the end of the target's connection would be seen: always, unless
  // the call goes through a peer that can't state it.
  bool sees_end() const;

 private:
  friend class TargetConnections;
  struct Connection;

  TargetConnections* owner_ = nullptr;
  std::shared_ptr<Connection> connection_;
  // Null once the call has ended. Whoever calls one of the handlers holds a
  // pointer to them meanwhile, as the handler may cancel the call.
  std::shared_ptr<const Handlers> on_;
};

class TargetConnections {
 public:
  TargetConnections(Loop& loop, const Clock& clock,
                    Dialer dial = TcpSocket::Connect);
  ~TargetConnections();
  TargetConnections(const TargetConnections&) = delete;
  TargetConnections& operator=(const TargetConnections&) = delete;

  std::shared_ptr<CallHandle> Start(const TargetCall& call,
                                    CallHandle::Handlers handlers);
  // Opens a connection to the address, and keeps it for calls if it opens.
  // `done` is called once, and not from inside `Probe`.
  void Probe(const std::string& address, std::function<void(bool)> done);
  // Whether a connection to the address is kept for calls.
  bool HasIdle(const std::string& address) const {
    const auto it = idle_.find(address);
    return it != idle_.end() && !it->second.empty();
  }
  // Closes the idle connections to an address whose target has ended: a request
  // sent on one of them would count as one that may have run.
  void CloseIdle(const std::string& address);
  // Sets the handler for idle connections that end before the time that the
  // target gave (`Keep-Alive`): the process of the target may have ended.
  void OnUnexpectedEnd(std::function<void(const std::string& address)> action) {
    on_unexpected_end_ = std::move(action);
  }
  const Dialer& dialer() const { return dial_; }
  // Number of connections opened so far.
  std::uint64_t opened() const { return opened_; }

 private:
  friend class CallHandle;
  using ConnectionPtr = std::shared_ptr<CallHandle::Connection>;

  // Returns an idle connection that may carry the request, or null.
  ConnectionPtr TakeIdle(const std::string& address,
                         const std::string& request);
  ConnectionPtr MakeConnection(const std::string& address);
  ConnectionPtr Open(const std::string& address);
  ConnectionPtr OpenTunnel(const std::string& address, const std::string& via);
  static TcpSocket::Handlers HandlersOf(const ConnectionPtr& connection);
  static TcpOptions Options();
  // Keeps the connection for the next request to its address.
  void KeepIdle(const ConnectionPtr& connection);
  void Finish(const ConnectionPtr& connection, CallEnd end, bool reusable);
  // Closes the connections that have been idle for too long.
  void Sweep();

  Loop& loop_;
  const Clock& clock_;
  Dialer dial_;
  // Idle connections by address. The most recently used one is at the end of
  // its list and is reused first.
  std::map<std::string, std::vector<ConnectionPtr>> idle_;
  // Connections that are being opened by `Probe`.
  std::set<ConnectionPtr> probes_;
  std::uint64_t opened_ = 0;
  // Number of the latest connection; those through tunnels count as well.
  std::uint64_t last_number_ = 0;
  std::function<void(const std::string&)> on_unexpected_end_ = [](const auto&) {
  };
  std::unique_ptr<Timer> sweep_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_TARGET_CONNECTION_H_
