// Tests the cost of a request, with and without a possible run, up to its worst
// case.

#include "relay/request_cost.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

constexpr Tokens kWorstCase = 130;
constexpr Tokens kPrompt = 100;
constexpr int kEventTokens = 3;

Tokens Cost(Ran ran, int events, AnswerTokens tokens = AnswerTokens::kByEvent) {
  return CostOf({ran, kWorstCase, kPrompt, tokens, events, kEventTokens});
}

BOOST_AUTO_TEST_CASE(WhatHasNotRunCostsNothing) {
  BOOST_TEST(Cost(Ran::kNo, 0) == 0);
}

BOOST_AUTO_TEST_CASE(WhatMayHaveRunCostsItsPromptAndItsEvents) {
  BOOST_TEST(Cost(Ran::kUnknown, 0) == kPrompt);
  BOOST_TEST(Cost(Ran::kUnknown, 4) == kPrompt + 12);
}

// The last event may hold fewer tokens than the others.
BOOST_AUTO_TEST_CASE(NothingCostsMoreThanItsWorstCase) {
  BOOST_TEST(Cost(Ran::kUnknown, 10) == kWorstCase);
  BOOST_TEST(Cost(Ran::kUnknown, 11) == kWorstCase);
}

// Guards against a budget that is passed by answers whose tokens aren't
// counted.
BOOST_AUTO_TEST_CASE(AnAnswerOfUnknownTokensCostsTheWorstCase) {
  BOOST_TEST(Cost(Ran::kUnknown, 0, AnswerTokens::kUnknown) == kWorstCase);
  BOOST_TEST(Cost(Ran::kUnknown, 4, AnswerTokens::kUnknown) == kWorstCase);
  BOOST_TEST(Cost(Ran::kNo, 0, AnswerTokens::kUnknown) == 0);
  BOOST_TEST(Cost(Ran::kUnknown, 0, AnswerTokens::kNone) == kPrompt);
  BOOST_TEST((TokensOfAnswer(false, false) == AnswerTokens::kUnknown));
  BOOST_TEST((TokensOfAnswer(false, true) == AnswerTokens::kNone));
  BOOST_TEST((TokensOfAnswer(true, false) == AnswerTokens::kByEvent));
  BOOST_TEST((TokensOfAnswer(true, true) == AnswerTokens::kByEvent));
}

}  // namespace
}  // namespace quaytrack
