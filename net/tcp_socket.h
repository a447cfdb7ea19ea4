// A non-blocking TCP connection on the loop, and a listener for them.
//
//   auto socket = TcpSocket::Connect(loop, "10.0.0.8:9000", {}, handlers);
//   if (!socket) ...                       // no address, or no descriptor left
//   socket->Write("...");
//
//   TcpListener listener(loop, [&](int fd) {
//     auto caller = TcpSocket::Adopt(loop, fd, {});
//     caller->SetHandlers(handlers);
//   });
//   listener.Listen("10.0.0.7:8080");
//
// The relay's connections to callers, targets and the store are built on it
// (http/caller_connection.h, http/target_connection.h).
//
// What is written goes to the kernel at once if nothing waits before it, so a
// streamed token costs one read and one write (docs/design/token-path.md).
// Only what the kernel doesn't take is kept, without a bound, and sent when it
// does. Whoever passes a stream on watches `Unsent` and pauses its source.
//
// `bytes_taken` is how much the kernel has ever taken: a request of which it
// took nothing has certainly not reached anybody. That is how the relay knows
// that an attempt has not run.
//
// A socket owns its descriptor, and lives as long as a pointer to it; it counts
// its bytes in the loop's traffic. All sizes are in bytes. Errors of the
// connection come as `ended`, never as a result of `Write`.

#ifndef QUAYTRACK_NET_TCP_SOCKET_H_
#define QUAYTRACK_NET_TCP_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

struct event;
struct evconnlistener;

namespace quaytrack {

// How a connection ended.
enum class SocketEnd {
  kClosed,  // the peer closed its sending side
  kReset,   // an error, the peer's or the network's
};

struct TcpOptions {
  // Sent bytes that stay without an acknowledgement for this long end the
  // connection; also how long a connection may take to open. Not measured; the
  // connections to callers and to targets set their own.
  Duration user_timeout = std::chrono::milliseconds(2000);
};

class TcpSocket : public std::enable_shared_from_this<TcpSocket> {
 public:
  // Handlers may close or drop the socket. `bytes` are valid only during the
  // call.
  struct Handlers {
    // Of `Connect` only.
    std::function<void()> connected;
    std::function<void(std::string_view bytes)> data;
    // At most once, and never after `Close`. The socket is closed by then.
    std::function<void(SocketEnd end)> ended;
    // Everything that had to be kept has been taken by the kernel.
    std::function<void()> drained;
  };

  ~TcpSocket();
  TcpSocket(const TcpSocket&) = delete;
  TcpSocket& operator=(const TcpSocket&) = delete;

  // Null if `address` isn't one, no descriptor is left, or the kernel refuses
  // at once. What is written before the connection is open waits for it.
  static std::shared_ptr<TcpSocket> Connect(Loop& loop,
                                            const std::string& address,
                                            const TcpOptions& options,
                                            Handlers handlers);
  // Takes over a connection that was accepted.
  static std::shared_ptr<TcpSocket> Adopt(Loop& loop, int fd,
                                          const TcpOptions& options);

  void SetHandlers(Handlers handlers) { on_ = std::move(handlers); }
  void Write(std::string_view bytes);
  // Stops and restarts reading, so that a slow consumer holds the peer back.
  void PauseReading();
  void ResumeReading();
  // Ends the connection without a report. With `reset`, the peer sees an error
  // in place of an end.
  void Close(bool reset = false);
  // Tells the peer that nothing more will be sent.
  void ShutdownWrite();
  // False once the connection has ended or was closed.
  bool open() const { return fd_ >= 0; }
  // False while `Connect` is under way.
  bool connected() const { return connected_; }

  // Whether the peer has closed its sending side or the connection is broken,
  // also where that comes after bytes that aren't read yet. A system call.
  bool PeerHasClosed() const;

  // Bytes written that the kernel has not taken.
  std::size_t Unsent() const { return kept_.size() - kept_sent_; }
  // Bytes that the kernel has taken since the connection was made.
  std::uint64_t bytes_taken() const { return bytes_taken_; }

 private:
  TcpSocket(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
  void Start(bool connecting);
  void OnReadable();
  void OnWritable();
  void Fail(SocketEnd end);
  std::size_t SendNow(std::string_view bytes);

  Loop& loop_;
  int fd_;
  bool connected_ = false;
  Handlers on_;
  event* read_event_ = nullptr;
  event* write_event_ = nullptr;
  std::string kept_;
  std::size_t kept_sent_ = 0;
  std::uint64_t bytes_taken_ = 0;
};

// Accepts connections at "host:port". Destroying it stops listening; the
// connections that it handed out go on.
class TcpListener {
 public:
  // `fd` is the callee's to close.
  using Accepted = std::function<void(int fd)>;

  TcpListener(Loop& loop, Accepted accepted)
      : loop_(loop), accepted_(std::move(accepted)) {}
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns the bound port, or 0 if the address can't be bound. Port 0 binds a
  // free one.
  std::uint16_t Listen(const std::string& address);
  void Stop();

 private:
  Loop& loop_;
  Accepted accepted_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_TCP_SOCKET_H_
