// Tests that a crowd of clients, each of which sends a head of legal size with
// very many short lines, doesn't end a router for want of memory.

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "net/tcp_socket.h"
#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

// Memory of the smallest VM.
constexpr long kMemoryKilobytes = 110 * 1024;
constexpr int kClients = 300;
// Less than the router's limit on a head, 32 KiB.
constexpr std::size_t kHeadBytes = 30 * 1024;

struct OpenFleet : RouterFleet {
  using Fleet::loop;
  using RouterFleet::RouterFleet;
};

struct CrowdFixture {
  CrowdFixture() { BOOST_REQUIRE(fleet.Start()); }

  void Open(const std::string& bytes) {
    auto it = TcpSocket::Connect(fleet.loop(), fleet.Router(1), {}, {});
    BOOST_REQUIRE(it);
    it->Write(bytes);
    clients.push_back(std::move(it));
  }
  // Waits until the router takes no more bytes.
  void Settle() {
    std::uint64_t before = 1;
    std::uint64_t now = 0;
    while (before != now) {
      before = now;
      fleet.WaitFor([] { return false; }, std::chrono::milliseconds(400));
      now = 0;
      for (const auto& it : clients) now += it->bytes_accepted();
    }
  }
  long RouterKilobytes() {
    std::ifstream in("/proc/" + std::to_string(fleet.Process("router-1").pid) +
                     "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmHWM:")) return std::atol(line.c_str() + 6);
    }
    return 0;
  }

  OpenFleet fleet{RouterFleetSpec()};
  std::vector<std::shared_ptr<TcpSocket>> clients;
};

BOOST_FIXTURE_TEST_CASE(HeadsOfShortLinesThatDontEnd, CrowdFixture) {
  std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
  while (head.size() < kHeadBytes) head += "a:\r\n";
  for (int n = 0; n < kClients; ++n) Open(head);
  Settle();
  const TestReply other =
      fleet.Call(fleet.Router(1), RouterFleet::Chat(kZellij, "quick", 3, true));
  BOOST_TEST(ReadStream(other.body).done);
  BOOST_TEST_MESSAGE("peak of " << RouterKilobytes() << " KB");
  BOOST_TEST(RouterKilobytes() <= kMemoryKilobytes);
}

}  // namespace
}  // namespace quaytrack
