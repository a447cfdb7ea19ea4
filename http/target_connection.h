// Connections to targets: one request at a time on each, kept open between.
//
//   TargetConnections targets(loop, clock);
//   auto call = targets.Start({address, bytes, "req-1"}, handlers);
//   call->Cancel();
//
// What matters to the callers is what a failure says about the request, see
// `CallEnd`. A target may send one answer too many, late, on a kept connection.
// `Handlers::head` says whether an answer is the awaited one; others are read
// past, and the connection is not used again. Neither is one that sends bytes
// nobody waits for, or answers before it has read the request.

#ifndef QUAYTRACK_HTTP_TARGET_CONNECTION_H_
#define QUAYTRACK_HTTP_TARGET_CONNECTION_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_parser.h"
#include "net/http_message.h"
#include "net/tcp_socket.h"

namespace quaytrack {

// How a call ended, as seen on its connection.
enum class CallEnd {
  kComplete,  // a whole answer
  kNotSent,   // no byte was handed to the kernel: it can't have run
  kBroken,    // sent at least in part, and no whole answer: it may have run
};

struct TargetCall {
  // "host:port".
  std::string address;
  // Head and body, ready to be sent.
  std::string bytes;
};

class TargetConnections;

class CallHandle : public std::enable_shared_from_this<CallHandle> {
 public:
  struct Handlers {
    // An answer's head. False if it belongs to another request.
    std::function<bool(const HttpHead& head)> head;
    std::function<void(std::string_view bytes)> body;
    std::function<void(CallEnd end)> end;
  };

  // Ends the call without a report; its connection is closed.
  void Cancel();
  void PauseReading();
  void ResumeReading();
  // Some byte of the request has been handed to the kernel.
  bool sent() const;
  // Whether the call waits for its connection to open.
  bool connecting() const;

 private:
  friend class TargetConnections;
  struct Connection;

  TargetConnections* owner_ = nullptr;
  std::shared_ptr<Connection> connection_;
  Handlers on_;
};

class TargetConnections {
 public:
  TargetConnections(Loop& loop, const Clock& clock);
  ~TargetConnections();
  TargetConnections(const TargetConnections&) = delete;
  TargetConnections& operator=(const TargetConnections&) = delete;

  std::shared_ptr<CallHandle> Start(const TargetCall& call,
                                    CallHandle::Handlers handlers);
  std::uint64_t opened() const { return opened_; }

 private:
  friend class CallHandle;
  using ConnectionPtr = std::shared_ptr<CallHandle::Connection>;

  ConnectionPtr TakeIdle(const std::string& address);
  ConnectionPtr Open(const std::string& address);
  void GiveBack(const ConnectionPtr& connection);
  void Finish(const ConnectionPtr& connection, CallEnd end, bool reusable);
  void Sweep();

  Loop& loop_;
  const Clock& clock_;
  std::map<std::string, std::vector<ConnectionPtr>> idle_;
  std::uint64_t opened_ = 0;
  std::unique_ptr<Timer> sweep_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_TARGET_CONNECTION_H_
