// AnsweringServer gives the bytes of each read on its connections one answer,
// for tests on one loop.
//
//   AnsweringServer server(loop);
//   server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
//   connections.Start({server.Address(), bytes}, handlers);
//
// With `first`, it answers the first read of each connection with that, as a
// peer does that opens a tunnel.

#ifndef QUAYTRACK_TESTING_ANSWERING_SERVER_H_
#define QUAYTRACK_TESTING_ANSWERING_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "net/tcp_socket.h"

namespace quaytrack {

// What the server does with a connection that it has answered.
enum class AfterAnswer { kStay, kClose, kReset };

struct AnsweringServer {
  explicit AnsweringServer(Loop& it) : loop(it) {
    port = listener.Listen("127.0.0.1:0");
  }

  void Accept(int fd) {
    auto socket = TcpSocket::Adopt(loop, fd, TcpOptions());
    TcpSocket* raw = socket.get();
    TcpSocket::Handlers on;
    on.data = [this, raw, opening = first](std::string_view bytes) mutable {
      if (!opening.empty()) return raw->Write(std::exchange(opening, {}));
      received += bytes;
      raw->Write(answer);
      if (after == AfterAnswer::kStay) return;
      if (after == AfterAnswer::kClose) return raw->Close();
      // Later, so that the answer arrives before.
      timer = loop.After(std::chrono::milliseconds(50),
                         [raw] { raw->Close(true); });
    };
    on.ended = [this](SocketEnd) { ++ended; };
    socket->SetHandlers(std::move(on));
    sockets.push_back(std::move(socket));
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  Loop& loop;
  std::string first;
  std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  AfterAnswer after = AfterAnswer::kStay;
  // What it got but for the reads that `first` answered.
  std::string received;
  // Number of connections that the other side has ended.
  int ended = 0;
  std::vector<std::shared_ptr<TcpSocket>> sockets;
  std::unique_ptr<Timer> timer;
  std::uint16_t port = 0;
  TcpListener listener{loop, [this](int fd) { Accept(fd); }};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_ANSWERING_SERVER_H_
