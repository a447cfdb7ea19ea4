// A non-blocking TCP connection on the loop, and a listener for them.
//
//   auto socket = TcpSocket::Connect(loop, "10.0.0.8:9000", {}, handlers);
//   if (!socket) ...                       // bad address or no descriptor left
//   socket->Write("...");
//
//   TcpListener listener(loop, [&](int fd) {
//     auto accepted = TcpSocket::Adopt(loop, fd, {});
//     accepted->SetHandlers(handlers);
//   });
//   listener.Listen("10.0.0.7:8080");
//
// The relay's connections to callers, targets and the store use this class
// (http/caller_connection.h, http/target_connection.h).
//
// `Write` passes bytes to the kernel at once if none wait before them, so a
// streamed token costs one read and one write.
// Bytes that the kernel doesn't accept are buffered, without a bound, and sent
// later. Code that forwards a stream watches `Unsent` and pauses its source.
//
// `bytes_accepted` counts the bytes that the kernel has accepted. If the kernel
// has accepted no byte of a request, the request can't have reached its target;
// this is how the relay knows that an attempt has not run.
//
// A socket owns its descriptor, lives as long as a pointer to it, and counts
// its bytes in the loop's traffic. All sizes are in bytes. Errors of the
// connection are reported through `ended`, never by `Write`.

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
  // The connection ends if sent bytes stay unacknowledged, or opening takes,
  // longer than this. Connections to callers and to targets set other values;
  // zero leaves it to the kernel.
  Duration user_timeout = std::chrono::milliseconds(2000);
};

class TcpSocket : public std::enable_shared_from_this<TcpSocket> {
 public:
  // Handlers may close or release the socket, but not set others. None is
  // called after that. `bytes` are valid only during the call.
  struct Handlers {
    // Called when a connection made by `Connect` is open.
    std::function<void()> connected;
    std::function<void(std::string_view bytes)> data;
    // Called when the connection has ended, at most once and never after
    // `Close`. The socket is then already closed.
    std::function<void(SocketEnd end)> ended;
    // Called when the kernel has accepted all buffered bytes.
    std::function<void()> drained;
  };

  ~TcpSocket();
  TcpSocket(const TcpSocket&) = delete;
  TcpSocket& operator=(const TcpSocket&) = delete;

  // Starts to open a connection. Returns null if `address` isn't valid, no
  // descriptor is left, or the kernel refuses at once. Bytes written before the
  // connection is open are buffered.
  static std::shared_ptr<TcpSocket> Connect(Loop& loop,
                                            const std::string& address,
                                            const TcpOptions& options,
                                            Handlers handlers);
  // Takes ownership of an accepted connection.
  static std::shared_ptr<TcpSocket> Adopt(Loop& loop, int fd,
                                          const TcpOptions& options);

  void SetHandlers(Handlers handlers) { on_ = std::move(handlers); }
  void Write(std::string_view bytes);
  // Stops and restarts reading, so that a slow consumer slows down the peer.
  void PauseReading();
  void ResumeReading();
  // Closes the connection without calling `ended`. With `reset`, the peer gets
  // an error instead of an end of the stream.
  void Close(bool reset = false);
  // From now on the peer gets an error when the connection is closed, also if
  // this process is killed. An end signalled by `ShutdownWrite` stays one.
  void ResetWhenClosed();
  // Gives the descriptor away, without closing the connection. The socket is
  // then as after `Close`.
  int Release();
  // Signals to the peer that no more bytes will be sent.
  void ShutdownWrite();
  // Returns false once the connection has ended or was closed.
  bool open() const { return fd_ >= 0; }
  // Returns false until a connection made by `Connect` is open.
  bool connected() const { return connected_; }

  // Whether the peer has closed its sending side or the connection is broken,
  // even if bytes from before that are still unread. Makes a system call.
  bool PeerHasClosed() const;

  // Number of bytes that have arrived and weren't read; for a socket whose
  // reading is paused. Makes a system call.
  std::size_t Unread() const;

  // The descriptor, for its options; -1 once the connection has ended.
  int fd() const { return fd_; }

  // Number of written bytes that the kernel has not accepted.
  std::size_t Unsent() const { return buffer_.size() - buffer_sent_; }
  // Memory of the buffer for these bytes.
  std::size_t BufferBytes() const { return buffer_.capacity(); }
  // Number of bytes that the kernel has accepted since the connection was made.
  std::uint64_t bytes_accepted() const { return bytes_accepted_; }

 private:
  TcpSocket(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
  void Start(bool connecting);
  void StopEvents();
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
  // Bytes for the kernel, of which it has accepted the first `buffer_sent_`.
  std::string buffer_;
  std::size_t buffer_sent_ = 0;
  std::uint64_t bytes_accepted_ = 0;
};

// Opens connections as `TcpSocket::Connect` does. Tests pass others, which
// make links fail.
using Dialer = std::function<std::shared_ptr<TcpSocket>(
    Loop& loop, const std::string& address, const TcpOptions& options,
    TcpSocket::Handlers handlers)>;

// Accepts connections at "host:port". Destroying the listener stops listening;
// accepted connections stay open.
class TcpListener {
 public:
  // Gets an accepted connection, and becomes the owner of `fd`. It may destroy
  // the listener.
  using Accepted = std::function<void(int fd)>;

  TcpListener(Loop& loop, Accepted accepted)
      : loop_(loop),
        accepted_(std::make_shared<const Accepted>(std::move(accepted))) {}
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Starts to listen. Returns the bound port, or 0 if the address can't be
  // bound. Port 0 binds a free one.
  std::uint16_t Listen(const std::string& address);
  void Stop();

 private:
  Loop& loop_;
  std::shared_ptr<const Accepted> accepted_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_TCP_SOCKET_H_
