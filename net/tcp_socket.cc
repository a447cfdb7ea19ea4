#include "net/tcp_socket.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "net/address.h"

namespace quaytrack {
namespace {

// Largest number of bytes of one read.
constexpr std::size_t kReadBytes = 64 * 1024;
// A larger buffer is freed once its bytes are sent.
constexpr std::size_t kMaxEmptyBuffer = 4 * 1024;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof value);
}

void Configure(int fd, const TcpOptions& options) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      options.user_timeout);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms.count()));
}

bool IsTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

std::shared_ptr<TcpSocket> TcpSocket::Connect(Loop& loop,
                                              const std::string& address,
                                              const TcpOptions& options,
                                              Handlers handlers) {
  const auto at = ParseAddress(address);
  if (!at) return nullptr;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  auto out = std::shared_ptr<TcpSocket>(new TcpSocket(loop, fd));
  out->SetHandlers(std::move(handlers));
  Configure(fd, options);
  sockaddr_in target = ToSocketAddress(*at);
  const int rc =
      connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof target);
  if (rc != 0 && errno != EINPROGRESS) return nullptr;
  out->Start(true);
  return out;
}

std::shared_ptr<TcpSocket> TcpSocket::Adopt(Loop& loop, int fd,
                                            const TcpOptions& options) {
  auto out = std::shared_ptr<TcpSocket>(new TcpSocket(loop, fd));
  Configure(fd, options);
  out->Start(false);
  return out;
}

void TcpSocket::Start(bool connecting) {
  connected_ = !connecting;
  const auto on_read = [](int, short, void* self) {
    static_cast<TcpSocket*>(self)->OnReadable();
  };
  const auto on_write = [](int, short, void* self) {
    static_cast<TcpSocket*>(self)->OnWritable();
  };
  read_event_ =
      event_new(loop_.base(), fd_, EV_READ | EV_PERSIST, on_read, this);
  write_event_ = event_new(loop_.base(), fd_, EV_WRITE, on_write, this);
  event_add(connecting ? write_event_ : read_event_, nullptr);
}

TcpSocket::~TcpSocket() { Close(); }

void TcpSocket::StopEvents() {
  if (read_event_ != nullptr) event_free(read_event_);
  if (write_event_ != nullptr) event_free(write_event_);
  read_event_ = nullptr;
  write_event_ = nullptr;
}

int TcpSocket::Release() {
  StopEvents();
  return std::exchange(fd_, -1);
}

void TcpSocket::Close(bool reset) {
  if (fd_ < 0) return;
  StopEvents();
  if (reset) ResetWhenClosed();
  close(fd_);
  fd_ = -1;
}

void TcpSocket::ResetWhenClosed() {
  const linger abort{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

void TcpSocket::ShutdownWrite() {
  if (fd_ >= 0) shutdown(fd_, SHUT_WR);
}

void TcpSocket::Fail(SocketEnd end) {
  const auto keep = shared_from_this();
  Close();
  const auto ended = std::move(on_.ended);
  on_ = {};
  if (ended) ended(end);
}

void TcpSocket::OnReadable() {
  static std::array<char, kReadBytes> buf;
  const ssize_t n = read(fd_, buf.data(), buf.size());
  if (n > 0) {
    const auto keep = shared_from_this();
    loop_.traffic().bytes_in += static_cast<std::uint64_t>(n);
    ++loop_.traffic().pieces_in;
    if (on_.data) on_.data({buf.data(), static_cast<std::size_t>(n)});
    return;
  }
  if (n < 0 && IsTransient(errno)) return;
  Fail(n == 0 ? SocketEnd::kClosed : SocketEnd::kReset);
}

void TcpSocket::OnWritable() {
  const auto keep = shared_from_this();
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Fail(SocketEnd::kReset);
    connected_ = true;
    event_add(read_event_, nullptr);
    if (on_.connected) on_.connected();
    // The handler may have closed the socket, or released the last pointer.
    if (!open() || keep.use_count() == 1) return;
  }
  const std::string_view rest = std::string_view(buffer_).substr(buffer_sent_);
  if (rest.empty()) return;
  const std::size_t sent = SendNow(rest);
  if (sent == 0 && !IsTransient(errno)) return Fail(SocketEnd::kReset);
  buffer_sent_ += sent;
  if (buffer_sent_ < buffer_.size()) {
    event_add(write_event_, nullptr);
    return;
  }
  buffer_.clear();
  if (buffer_.capacity() > kMaxEmptyBuffer) std::string().swap(buffer_);
  buffer_sent_ = 0;
  if (on_.drained) on_.drained();
}

// Sends bytes and returns how many the kernel has accepted. Returns 0 if the
// kernel accepts no byte; `errno` then has the reason. `Write` leaves errors to
// `OnWritable`, so that `Write` never calls back its caller.
std::size_t TcpSocket::SendNow(std::string_view bytes) {
  const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (n < 0) return 0;
  bytes_accepted_ += static_cast<std::uint64_t>(n);
  loop_.traffic().bytes_out += static_cast<std::uint64_t>(n);
  ++loop_.traffic().pieces_out;
  return static_cast<std::size_t>(n);
}

void TcpSocket::Write(std::string_view bytes) {
  if (!open() || bytes.empty()) return;
  if (connected_ && Unsent() == 0) bytes.remove_prefix(SendNow(bytes));
  if (bytes.empty()) return;
  buffer_.append(bytes);
  if (connected_) event_add(write_event_, nullptr);
}

bool TcpSocket::PeerHasClosed() const {
  if (fd_ < 0) return true;
  pollfd it{fd_, POLLRDHUP, 0};
  return poll(&it, 1, 0) > 0;
}

std::size_t TcpSocket::Unread() const {
  int out = 0;
  if (fd_ < 0 || ioctl(fd_, FIONREAD, &out) != 0) return 0;
  return static_cast<std::size_t>(out);
}

void TcpSocket::PauseReading() {
  if (read_event_ != nullptr) event_del(read_event_);
}

void TcpSocket::ResumeReading() {
  if (read_event_ != nullptr && connected_) event_add(read_event_, nullptr);
}

TcpListener::~TcpListener() { Stop(); }

void TcpListener::Stop() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

std::uint16_t TcpListener::Listen(const std::string& address) {
  const auto at = ParseAddress(address);
  if (!at) return 0;
  const auto on_accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                            void* self) {
    // Kept, as the handler may destroy the listener.
    const auto accepted = static_cast<TcpListener*>(self)->accepted_;
    (*accepted)(fd);
  };
  sockaddr_in bound = ToSocketAddress(*at);
  listener_ = evconnlistener_new_bind(
      loop_.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      -1, reinterpret_cast<sockaddr*>(&bound), sizeof bound);
  if (listener_ == nullptr) return 0;
  socklen_t size = sizeof bound;
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

}  // namespace quaytrack
