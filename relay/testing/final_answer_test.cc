// Tests the router's own answers: status, body and Retry-After of each cause.

#include "relay/final_answer.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

struct Expected {
  RelayCause cause;
  Ran ran;
  int status;
  // Empty: no Retry-After header.
  std::string retry_after;
  std::string body;
};

const Expected kAnswers[] = {
    {RelayCause::kNoConfiguration, Ran::kNo, 503, "0.50",
     "{\"error\":\"no_configuration\",\"ran\":\"no\"}\n"},
    {RelayCause::kMalformed, Ran::kNo, 400, "",
     "{\"error\":\"malformed\",\"ran\":\"no\"}\n"},
    {RelayCause::kNoRoute, Ran::kNo, 404, "",
     "{\"error\":\"no_route\",\"ran\":\"no\"}\n"},
    {RelayCause::kUnknownKey, Ran::kNo, 401, "",
     "{\"error\":\"unknown_key\",\"ran\":\"no\"}\n"},
    {RelayCause::kBudgetExhausted, Ran::kNo, 402, "",
     "{\"error\":\"budget_exhausted\",\"ran\":\"no\"}\n"},
    {RelayCause::kBudgetUnavailable, Ran::kNo, 503, "1.00",
     "{\"error\":\"budget_unavailable\",\"ran\":\"no\"}\n"},
    {RelayCause::kBudgetReserved, Ran::kNo, 503, "2.50",
     "{\"error\":\"budget_reserved\",\"ran\":\"no\"}\n"},
    {RelayCause::kBudgetCharged, Ran::kNo, 503, "60.00",
     "{\"error\":\"budget_charged\",\"ran\":\"no\"}\n"},
    {RelayCause::kNoTarget, Ran::kNo, 503, "0.20",
     "{\"error\":\"no_target\",\"ran\":\"no\"}\n"},
    {RelayCause::kOutsideResidency, Ran::kNo, 503, "2.00",
     "{\"error\":\"outside_residency\",\"ran\":\"no\"}\n"},
    {RelayCause::kTurnedAway, Ran::kNo, 503, "0.20",
     "{\"error\":\"turned_away\",\"ran\":\"no\"}\n"},
    {RelayCause::kTimedOut, Ran::kNo, 503, "0.20",
     "{\"error\":\"timed_out\",\"ran\":\"no\"}\n"},
    {RelayCause::kTimedOut, Ran::kUnknown, 504, "",
     "{\"error\":\"timed_out\",\"ran\":\"unknown\"}\n"},
    {RelayCause::kStopped, Ran::kNo, 503, "0.05",
     "{\"error\":\"stopped\",\"ran\":\"no\"}\n"},
    {RelayCause::kStopped, Ran::kUnknown, 502, "",
     "{\"error\":\"stopped\",\"ran\":\"unknown\"}\n"},
    {RelayCause::kTargetFailed, Ran::kUnknown, 502, "",
     "{\"error\":\"target_failed\",\"ran\":\"unknown\"}\n"},
};

BOOST_AUTO_TEST_CASE(EveryCauseHasItsAnswer) {
  for (const Expected& it : kAnswers) {
    const FinalAnswer answer = MakeFinalAnswer(it.cause, it.ran);
    BOOST_TEST_CONTEXT(NameOf(it.cause) << " ran " << NameOf(it.ran)) {
      BOOST_TEST(answer.head.status == it.status);
      BOOST_TEST(answer.body == it.body);
      const std::string* type = answer.head.Find("Content-Type");
      BOOST_REQUIRE(type != nullptr);
      BOOST_TEST(*type == "application/json");
      const std::string* wait = answer.head.Find("Retry-After");
      BOOST_TEST((wait == nullptr ? "" : *wait) == it.retry_after);
    }
  }
}

// The statuses 429 and 503 guarantee that the request has not run.
BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsNeverAnsweredWithAPromise) {
  for (const auto& it : EnumTable<RelayCause>::kEntries) {
    if (it.value == RelayCause::kTargetFailed) continue;
    if (it.value == RelayCause::kTimedOut) continue;
    if (it.value == RelayCause::kStopped) continue;
    BOOST_TEST(FinalStatus(it.value, Ran::kNo) ==
               FinalStatus(it.value, Ran::kUnknown));
  }
  for (const Expected& it : kAnswers) {
    if (it.ran == Ran::kNo) continue;
    BOOST_TEST(it.status != 503);
    BOOST_TEST(it.retry_after.empty());
  }
}

BOOST_AUTO_TEST_CASE(WhatGetsNoAnswerOfTheRelayHasNoStatus) {
  for (const RelayCause it :
       {RelayCause::kServed, RelayCause::kTargetError, RelayCause::kStreamBroke,
        RelayCause::kCallerGone}) {
    BOOST_TEST(FinalStatus(it, Ran::kUnknown) == 0, NameOf(it));
    BOOST_TEST(FinalStatus(it, Ran::kNo) == 0, NameOf(it));
  }
}

}  // namespace
}  // namespace quaytrack
