// Tests that a caller that doesn't read its stream neither grows the router's
// memory without bound nor delays other callers.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

constexpr int kTokenBytes = 64 * 1024;
constexpr int kTokens = 4000;  // 250 MB
// Covers the router's buffers for one stream, the socket buffers, and the rest
// of the process.
constexpr long kMaxKilobytes = 80 * 1024;

struct SlowFixture : FleetFixture {
  SlowFixture() : FleetFixture(LargeTokensSpec(kTokenBytes)) {}

  // Sends a request over a socket that is never read.
  int SendWithoutReading() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int small = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(fleet.port("router-1")));
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) ==
                  0);
    const TestRequest chat = RouterFleet::Chat(kLakhon, "slow", kTokens, true);
    const std::string text =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer " +
        std::string(kLakhon) +
        "\r\nContent-Length: " + std::to_string(chat.body.size()) + "\r\n\r\n" +
        chat.body;
    BOOST_REQUIRE(send(fd, text.data(), text.size(), 0) ==
                  static_cast<ssize_t>(text.size()));
    return fd;
  }

  long RouterKilobytes() {
    std::ifstream in("/proc/" + std::to_string(fleet.Process("router-1").pid) +
                     "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmHWM:")) return std::atol(line.c_str() + 6);
    }
    return 0;
  }

  int OutputOf(const std::string& ended) {
    const auto runs = fleet.Executions("engine");
    for (const auto& it : runs) {
      if (it["ended"] == ended) return it["output_tokens"].get<int>();
    }
    return 0;
  }
};

BOOST_FIXTURE_TEST_CASE(UnreadStreamStaysBoundedAndOthersGoOn, SlowFixture) {
  const int fd = SendWithoutReading();
  // The engine has generated the whole answer, far more than the router may
  // buffer.
  BOOST_REQUIRE(fleet.WaitFor([&] { return OutputOf("complete") == kTokens; }));
  BOOST_TEST(RouterKilobytes() < kMaxKilobytes);
  // Another caller is served meanwhile.
  const TestReply other =
      fleet.Call(fleet.Router(1), RouterFleet::Chat(kZellij, "quick", 3, true));
  BOOST_TEST(ReadStream(other.body).done);
  // The slow caller disconnects; its request is billed once, for what ran.
  close(fd);
  CheckBills();
}

}  // namespace
}  // namespace quaytrack
