// Any text is unpacked as it was, and nothing else is taken for a packed one.

#include "base/packed_text.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace quaytrack {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

std::string Routes(int count) {
  std::string out;
  for (int n = 0; n < count; ++n) {
    out += R"({"host":"a.example","path":"/)" + std::to_string(n * 7919) +
           R"(/","kind":"streaming","service":"s"},)";
  }
  return out;
}

BOOST_AUTO_TEST_CASE(AnyTextComesBack) {
  BOOST_TEST(rc::check("unpacked == text", [](const std::string& text, int n) {
    const std::string all = text + Routes(n % 50 + 50) + text;
    for (const std::string& it : {text, all}) {
      RC_ASSERT(UnpackText(PackText(it), kMaxBytes) == it);
    }
  }));
}

BOOST_AUTO_TEST_CASE(AListOfRoutesGetsMuchShorter) {
  const std::string text = Routes(1000);
  BOOST_TEST(PackText(text).size() < text.size() / 5);
}

BOOST_AUTO_TEST_CASE(DamagedOrTooLongIsRefused) {
  const std::string packed = PackText(Routes(100));
  BOOST_TEST(!UnpackText("", kMaxBytes));
  BOOST_TEST(!UnpackText("x", kMaxBytes));
  BOOST_TEST(!UnpackText("z12", kMaxBytes));
  BOOST_TEST(!UnpackText(packed, 1000));
  BOOST_TEST(!UnpackText("pabc", 2));
  for (std::size_t n = 0; n < packed.size(); n += 7) {
    BOOST_TEST(!UnpackText(packed.substr(0, n), kMaxBytes));
  }
}

}  // namespace
}  // namespace quaytrack
