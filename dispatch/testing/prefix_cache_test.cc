// Tests which parts of prompts a PrefixCache notes.

#include "dispatch/prefix_cache.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

std::vector<PromptPart> Prompt(std::size_t parts) {
  std::vector<PromptPart> out;
  for (std::size_t n = 0; n < parts; ++n) out.push_back({n, 1});
  return out;
}

BOOST_AUTO_TEST_CASE(SharedPartsThatWereSentAreCached) {
  PrefixCache cache;
  cache.OnSent({}, Prompt(10));
  BOOST_TEST(cache.CachedTokens(Prompt(10)) == 9);
  BOOST_TEST(cache.CachedTokens(Prompt(5)) == 4);
}

// Guards against work that grows as the square of the number of parts: callers
// determine it.
BOOST_AUTO_TEST_CASE(TheFirstOfVeryManyPartsAreCached) {
  constexpr std::size_t kParts = 2'000'000;
  PrefixCache cache;
  cache.OnSent({}, Prompt(kParts));
  BOOST_TEST(cache.CachedTokens(Prompt(kParts)) == 256);
  BOOST_TEST(cache.CachedTokens(Prompt(100)) == 99);
}

}  // namespace
}  // namespace quaytrack
