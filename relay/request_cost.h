// What a request costs its customer, in tokens.
//
//   const Tokens cost =
//       CostOf({ran, worst_case, prompt_tokens, AnswerTokens::kByEvent, events,
//               3});
//
// Rule: a request that has not run costs nothing. One that may have run costs
// its prompt, once however often it was sent, plus the tokens of every event
// that was forwarded to the caller. Where events don't show how many tokens
// they hold, as the answer is no stream or the service names no number, it
// costs its worst case, unless its target has answered with an error. The cost
// never exceeds the worst case, which is the amount held of the budget
// (relay/hold_waiter.h).
//
// Reason: the budget pays for what targets produce, so whatever may have been
// produced is charged. What a target has produced but this router hasn't read
// is unknown here, and is left out. The share of each limit that the ledger
// never grants covers such differences (`PrepaidPolicy::reserve` in
// prepaid/prepaid_policy.h).

#ifndef QUAYTRACK_RELAY_REQUEST_COST_H_
#define QUAYTRACK_RELAY_REQUEST_COST_H_

#include <algorithm>

#include "base/ids.h"
#include "relay/ran.h"

namespace quaytrack {

// What is known of the tokens in an answer.
enum class AnswerTokens {
  kByEvent,  // each event holds a known number
  kNone,     // the answer is an error
  kUnknown,  // up to those that the request allows
};

// `by_event`: the answer is a stream of a service that names the number of
// tokens in an event. `is_error`: the target has answered with an error.
constexpr AnswerTokens TokensOfAnswer(bool by_event, bool is_error) {
  if (by_event) return AnswerTokens::kByEvent;
  return is_error ? AnswerTokens::kNone : AnswerTokens::kUnknown;
}

struct CostFacts {
  // Whether the request may have run in any attempt.
  Ran ran = Ran::kNo;
  Tokens worst_case = 0;
  Tokens prompt_tokens = 0;
  AnswerTokens tokens = AnswerTokens::kByEvent;
  // Events forwarded, of all attempts together.
  int events = 0;
  // Tokens in one event.
  int event_tokens = 1;
};

inline Tokens CostOf(const CostFacts& it) {
  if (it.ran == Ran::kNo) return 0;
  if (it.tokens == AnswerTokens::kUnknown) return it.worst_case;
  const Tokens out = static_cast<Tokens>(it.events) * it.event_tokens;
  return std::min(it.worst_case, it.prompt_tokens + out);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REQUEST_COST_H_
