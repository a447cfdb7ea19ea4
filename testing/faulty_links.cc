#include "testing/faulty_links.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <utility>

namespace quaytrack {
namespace {

constexpr Duration kReadEvery = std::chrono::milliseconds(10);
// Nothing listens on this port.
constexpr char kRefusingAddress[] = "127.0.0.1:1";
// A queue of length 0 takes one connection; the others stay half open.
constexpr int kQueueFillers = 2;

// Makes the kernel drop each segment that arrives for the connection.
void DropIncoming(int fd) {
  sock_filter drop_all = {BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program = {1, &drop_all};
  setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void StopDropping(int fd) {
  int unused = 0;
  setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

// Resets the connection, as seen by both sides.
void Reset(int fd) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  static_cast<void>(connect(fd, &none, sizeof none));
}

int NewSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

}  // namespace

FaultyLinks::FaultyLinks(std::string mode_file, std::set<std::string> uncut)
    : mode_file_(std::move(mode_file)), uncut_(std::move(uncut)) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  const int listener = NewSocket();
  if (bind(listener, reinterpret_cast<sockaddr*>(&at), size) != 0) std::abort();
  listen(listener, 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
  full_queue_.push_back(listener);
  for (int n = 0; n < kQueueFillers; ++n) {
    full_queue_.push_back(NewSocket());
    // The socket doesn't block: it stays half open.
    static_cast<void>(
        connect(full_queue_.back(), reinterpret_cast<sockaddr*>(&at), size));
  }
  full_address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

FaultyLinks::~FaultyLinks() {
  for (int it : full_queue_) close(it);
}

Dialer FaultyLinks::AsDialer() {
  return [this](Loop& loop, const std::string& address,
                const TcpOptions& options, TcpSocket::Handlers handlers) {
    return Dial(loop, address, options, std::move(handlers));
  };
}

std::shared_ptr<TcpSocket> FaultyLinks::Dial(Loop& loop,
                                             const std::string& address,
                                             const TcpOptions& options,
                                             TcpSocket::Handlers handlers) {
  if (!timer_) timer_ = loop.Every(kReadEvery, [this] { ReadMode(); });
  std::string to = address;
  const bool is_cut = !uncut_.contains(address) && fault_ != LinkFault::kPass;
  if (is_cut)
    to = fault_ == LinkFault::kHang ? full_address_ : kRefusingAddress;
  auto out = TcpSocket::Connect(loop, to, options, std::move(handlers));
  if (out && !is_cut && !uncut_.contains(address)) sockets_.push_back(out);
  return out;
}

void FaultyLinks::ReadMode() {
  std::ifstream in(mode_file_);
  std::string name;
  in >> name;
  const auto fault = FromName<LinkFault>(name).value_or(LinkFault::kPass);
  if (fault == fault_) return;
  fault_ = fault;
  std::erase_if(sockets_, [](const auto& it) { return it.expired(); });
  for (const auto& it : sockets_) {
    if (const auto socket = it.lock(); socket && socket->open()) Apply(*socket);
  }
}

void FaultyLinks::Apply(TcpSocket& socket) const {
  switch (fault_) {
    case LinkFault::kHang:
      return DropIncoming(socket.fd());
    case LinkFault::kReset:
      return Reset(socket.fd());
    case LinkFault::kPass:
    case LinkFault::kRefuse:
      return StopDropping(socket.fd());
  }
}

}  // namespace quaytrack
