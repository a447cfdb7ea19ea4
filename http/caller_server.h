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
// Bounds on what all connections take together (`CallerBounds`), so that no
// crowd of callers, each within its limits, ends the process:
//   - Memory. If they hold too much, connections end until an eighth of the
//     bound is free: first those without a request at the handler, then the
//     others, and among them first those that hold most.
//   - Descriptors. If too many connections are open, a new one takes the place
//     of the one without a request at the handler that has been without
//     progress for longest; it is closed unread if there is none.
//
// The server owns the connections and relies on the loop and the clock, which
// must outlive it. A handler, an action of a connection and the gate may
// destroy the server; connections that others still hold are closed then. Its
// only error is an address that it can't listen on; an accepted connection
// handles its own failures.

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

// Bounds on all connections of a server together. The defaults are those of a
// VM with 110 MB of memory and 4,100 descriptors (relay/relay_options.h).
struct CallerBounds {
  std::size_t memory_bytes = std::size_t{36} * 1024 * 1024;
  std::size_t connections = 2400;
};

class CallerServer {
 public:
  using Handler =
      std::function<void(std::shared_ptr<CallerConnection>, CallerRequest)>;

  CallerServer(Loop& loop, const Clock& clock);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // `handler` gets each request that keeps to the limits and the protocol.
  void Serve(Handler handler) {
    handler_ = std::make_shared<const Handler>(std::move(handler));
  }
  // Sets the limits. Sizes apply to requests that start from now on, times at
  // once.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  const CallerLimits& limits() const { return limits_; }

  void SetBounds(const CallerBounds& bounds) { bounds_ = bounds; }
  const CallerBounds& bounds() const { return bounds_; }
  // Memory that the connections hold.
  std::size_t held_bytes() const { return held_bytes_; }
  // Number of connections that were ended for each of the bounds.
  std::uint64_t shed_for_memory() const { return shed_for_memory_; }
  std::uint64_t shed_for_room() const { return shed_for_room_; }

  // Sets what decides whether a new connection is accepted. One that isn't is
  // closed before anything of it is read. Without this, all are accepted.
  void SetGate(std::function<bool()> may_accept) {
    may_accept_ =
        std::make_shared<const std::function<bool()>>(std::move(may_accept));
  }
  // Number of connections that were closed unread.
  std::uint64_t closed_unread() const { return closed_unread_; }

  // Listens on "host:port". Returns the bound port, or 0 on failure.
  std::uint16_t Listen(const std::string& address);
  // Accepts no more connections; open ones stay.
  void StopListening() { listener_.Stop(); }
  // From now on every answer is the last of its connection, unless a part of
  // the next request has been read already.
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
  // Closes a connection to make room for a new one; false if none may be.
  bool MakeRoom();
  // Called when a connection holds other memory than before.
  void OnHeldChanged(std::size_t before, std::size_t now);
  // Ends connections if all hold too much. No function of another connection
  // may be running.
  void ShedExcess();
  // Ends the connections whose time limits have passed.
  void Sweep();
  // Removes a connection that has ended.
  void Forget(const std::shared_ptr<CallerConnection>& it);

  Loop& loop_;
  const Clock& clock_;
  CallerLimits limits_;
  CallerBounds bounds_;
  std::size_t held_bytes_ = 0;
  std::uint64_t shed_for_memory_ = 0;
  std::uint64_t shed_for_room_ = 0;
  // Whether a call of `ShedExcess` is posted.
  bool will_shed_ = false;
  // Shared with a handler or a gate that runs.
  std::shared_ptr<const Handler> handler_;
  std::shared_ptr<const std::function<bool()>> may_accept_;
  // Expires with the server.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>();
  std::uint64_t closed_unread_ = 0;
  bool closing_ = false;
  bool closing_after_answers_ = false;
  TcpListener listener_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  std::unique_ptr<Timer> sweep_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_SERVER_H_
