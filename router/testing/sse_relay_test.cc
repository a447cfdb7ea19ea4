// Tests that an engine's stream is relayed within a bound: an event that
// doesn't end, or an end of the answer that doesn't, fills no memory.

#include "router/sse_relay.h"

#include <event2/buffer.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

namespace quaytrack {
namespace {

using Buffer = std::unique_ptr<evbuffer, void (*)(evbuffer*)>;

constexpr int kPieces = 100;
constexpr std::size_t kPieceBytes = 16 * 1024;

struct Fixture {
  int Feed(const std::string& bytes) {
    evbuffer_add(in.get(), bytes.data(), bytes.size());
    return relay.Feed(in.get(), out.get());
  }

  SseRelay relay{true};
  Buffer in{evbuffer_new(), evbuffer_free};
  Buffer out{evbuffer_new(), evbuffer_free};
};

BOOST_FIXTURE_TEST_CASE(AnEventWithoutEndIsTooLarge, Fixture) {
  BOOST_TEST(Feed("data: {\"choices\":[1]}\n\n") == 1);
  Feed("data: ");
  BOOST_TEST(!relay.too_large());
  for (int n = 0; n < kPieces; ++n) Feed(std::string(kPieceBytes, 'x'));
  BOOST_TEST(relay.too_large());
  // What follows isn't taken for a part of the answer.
  BOOST_TEST(Feed("\n\ndata: [DONE]\n\n") == 0);
  BOOST_TEST(!relay.done());
}

BOOST_FIXTURE_TEST_CASE(AnEndOfTheAnswerWithoutEndIsTooLarge, Fixture) {
  const std::string usage =
      "data: "
      "{\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1},\"x\":\"" +
      std::string(kPieceBytes, 'x') + "\"}\n\n";
  for (int n = 0; n < kPieces; ++n) Feed(usage);
  BOOST_TEST(relay.too_large());
  BOOST_TEST(relay.tail().size() <=
             SseRelay::kMaxEventBytes + 2 * usage.size());
}

BOOST_FIXTURE_TEST_CASE(ALongStreamIsNotTooLarge, Fixture) {
  const std::string event = "data: " + std::string(kPieceBytes, 'x') + "\n\n";
  for (int n = 0; n < kPieces; ++n) BOOST_TEST(Feed(event) == 1);
  BOOST_TEST(!relay.too_large());
}

}  // namespace
}  // namespace quaytrack
