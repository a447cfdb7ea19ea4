// Tests that nobody gets in at the own interface without the one key of a
// customer in force. They ask the targets what ran.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

constexpr int kRefused = 2;

struct AccessFixture : FleetFixture {
  std::size_t Runs() {
    return fleet.Executions("engine").size() +
           fleet.Executions("service").size();
  }

  // The status of a call with these header lines; 0 if there is no answer.
  int StatusOf(int router, const std::string& lines) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(
        fleet.port(RouterFleet::RouterName(router))));
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) ==
                  0);
    const TestRequest chat = RouterFleet::Chat(kLakhon, "hello", 3, false);
    const std::string text =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + lines +
        "Connection: close\r\nContent-Length: " +
        std::to_string(chat.body.size()) + "\r\n\r\n" + chat.body;
    BOOST_REQUIRE(send(fd, text.data(), text.size(), 0) ==
                  static_cast<ssize_t>(text.size()));
    std::string answer;
    char buf[4096];
    for (ssize_t n = 0; (n = recv(fd, buf, sizeof buf, 0)) > 0;)
      answer.append(buf, static_cast<std::size_t>(n));
    close(fd);
    return answer.size() < 12 ? 0 : std::atoi(answer.c_str() + 9);
  }
};

// Guards against a caller that gets in without a key, with an empty one, with
// another scheme or with two keys.
BOOST_FIXTURE_TEST_CASE(WithoutOneKnownKeyNothingRuns, AccessFixture) {
  const std::string good =
      std::string("Authorization: Bearer ") + kLakhon + "\r\n";
  BOOST_TEST(StatusOf(1, good) == 200);
  const std::size_t before = Runs();
  const std::vector<std::string> all = {
      "",
      "Authorization:\r\n",
      "Authorization: Bearer\r\n",
      "Authorization: Bearer \r\n",
      "Authorization: Bearer\r\n  \r\n",
      "Authorization: Bearer\r\n\t\r\n",
      std::string("Authorization: Token ") + kLakhon + "\r\n",
      std::string("Authorization: ") + kLakhon + "\r\n",
      std::string("Authorization: Bearer ") + kLakhon + ", Bearer x\r\n",
      std::string("Authorization: Bearer ") + kLakhon + "\r\n  more\r\n",
      good + good,
      good + "Authorization: Bearer never-held\r\n",
      "Authorization: Bearer never-held\r\n" + good,
      good + "authorization: Basic x\r\n",
      "AUTHORIZATION:\r\n" + good};
  for (const std::string& it : all) {
    const int status = StatusOf(1, it);
    BOOST_TEST((status == 401 || status == 400), it << status);
  }
  BOOST_TEST(Runs() == before);
}

// Guards against a customer whose key is empty, and lets in who has none.
BOOST_FIXTURE_TEST_CASE(AnEmptyKeyIsNoCustomers, AccessFixture) {
  const std::string more =
      "budget open limit=1000\n"
      "customer open budget=open key=sha256:" +
      Sha256Hex("") + "\n";
  BOOST_TEST(fleet.ApplyBundle(2, more) == kRefused);
  BOOST_TEST(StatusOf(1, "Authorization: Bearer\r\n  \r\n") == 401);
  BOOST_TEST(Runs() == 0U);
}

}  // namespace
}  // namespace quaytrack
