// CallerServer: accepts connections from callers and owns the open ones.
//
//   CallerServer server(loop, clock);
//   server.SetLimits(limits);
//   server.Serve([](std::shared_ptr<CallerConnection> caller,
//                   CallerRequest request) {
//     caller->Reply(head, body);
//   });
//   if (server.Listen("127.0.0.1:8080") == 0) ...   // can't listen
//
// A stop has several steps, so that no request is lost with its connection:
// `StartClosing` makes each answer the last of its connection, `StopListening`
// accepts no new connections, `CloseIdle` ends those without a request.
//
// The server owns the connections and relies on the loop and the clock, which
// must outlive it. Its only error is an address that it can't listen on; an
// accepted connection handles its own failures.

#ifndef QUAYTRACK_HTTP_CALLER_SERVER_H_
#define QUAYTRACK_HTTP_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "http/caller_connection.h"
#include "net/loop.h"
#include "net/tcp_socket.h"

namespace quaytrack {

class CallerServer {
 public:
  using Handler =
      std::function<void(std::shared_ptr<CallerConnection>, CallerRequest)>;

  CallerServer(Loop& loop, const Clock& clock);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // `handler` gets each request that keeps to the limits and the protocol.
  void Serve(Handler handler) { handler_ = std::move(handler); }
  // Sets the limits. Sizes apply to requests that start from now on, times at
  // once.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  const CallerLimits& limits() const { return limits_; }

  // Sets what decides whether a new connection is accepted. One that isn't is
  // closed before anything of it is read. Without this, all are accepted.
  void SetGate(std::function<bool()> may_accept) {
    may_accept_ = std::move(may_accept);
  }
  // Number of connections that were closed unread.
  std::uint64_t closed_unread() const { return closed_unread_; }

  // Listens on "host:port". Returns the bound port, or 0 on failure.
  std::uint16_t Listen(const std::string& address);
  // Accepts no more connections; open ones stay.
  void StopListening() { listener_.Stop(); }
  // From now on every answer is the last of its connection.
  void StartClosing() { closing_ = true; }
  // The same until it is called with false, but only answers that begin
  // meanwhile, as those announce that their connection closes.
  void CloseAfterAnswers(bool close) { closing_after_answers_ = close; }
  bool closing() const { return closing_ || closing_after_answers_; }
  // Closes the connections without a running request, except those that have
  // just been opened, as a request is likely to be on its way.
  void CloseIdle();
  std::size_t connections() const { return connections_.size(); }
  // Number of connections that aren't idle although no handler has a request of
  // theirs: the first request is expected or a request is being read, or the
  // last bytes of an answer are unsent. If the process ended now, it would cut
  // these requests and answers.
  std::size_t Unfinished() const;

 private:
  friend class CallerConnection;
  void Accept(int fd);
  // Ends the connections whose time limits have passed.
  void Sweep();
  // Removes a connection that has ended.
  void Forget(const std::shared_ptr<CallerConnection>& it);

  Loop& loop_;
  const Clock& clock_;
  CallerLimits limits_;
  Handler handler_;
  std::function<bool()> may_accept_ = [] { return true; };
  std::uint64_t closed_unread_ = 0;
  bool closing_ = false;
  bool closing_after_answers_ = false;
  TcpListener listener_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  std::unique_ptr<Timer> sweep_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_SERVER_H_
