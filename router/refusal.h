// The errors that this router itself answers requests with.
//
// The table gives, for each code, the HTTP status and whether the request ran:
// "no" means that it did not run and will not run; "unknown" means that it may
// have run. docs/OPERATING-router.md explains each code.

#ifndef QUAYTRACK_ROUTER_REFUSAL_H_
#define QUAYTRACK_ROUTER_REFUSAL_H_

#include <array>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/enum_table.h"
#include "evhttp/http_server.h"

namespace quaytrack {

enum class RefusalCode {
  kInvalidRequest,
  kTooLarge,
  kUnauthorized,
  kNotFound,
  kUnknownModel,
  kUnknownService,
  kKeyMismatch,
  kBudgetExhausted,
  kBudgetUnavailable,
  kClaimsUnavailable,
  kInProgress,
  kOverloaded,
  kDeadlineUnreachable,
  kNoTarget,
  kTargetFailed,
  kRouterStopping,
  kNotReady,
  kOutcomeUnknown,
};

enum class Ran { kNo, kUnknown };

struct RefusalInfo {
  RefusalCode code;
  int status;
  std::string_view name;
  Ran ran;
};

inline constexpr auto kRefusals = std::to_array<RefusalInfo>({
    {RefusalCode::kInvalidRequest, 400, "invalid_request", Ran::kNo},
    {RefusalCode::kTooLarge, 413, "too_large", Ran::kNo},
    {RefusalCode::kUnauthorized, 401, "unauthorized", Ran::kNo},
    {RefusalCode::kNotFound, 404, "not_found", Ran::kNo},
    {RefusalCode::kUnknownModel, 404, "unknown_model", Ran::kNo},
    {RefusalCode::kUnknownService, 404, "unknown_service", Ran::kNo},
    {RefusalCode::kKeyMismatch, 422, "key_mismatch", Ran::kNo},
    {RefusalCode::kBudgetExhausted, 402, "budget_exhausted", Ran::kNo},
    {RefusalCode::kBudgetUnavailable, 503, "budget_unavailable", Ran::kNo},
    {RefusalCode::kClaimsUnavailable, 503, "claims_unavailable", Ran::kNo},
    {RefusalCode::kInProgress, 409, "in_progress", Ran::kUnknown},
    {RefusalCode::kOverloaded, 429, "overloaded", Ran::kNo},
    {RefusalCode::kDeadlineUnreachable, 503, "deadline_unreachable", Ran::kNo},
    {RefusalCode::kNoTarget, 503, "no_target", Ran::kNo},
    {RefusalCode::kTargetFailed, 502, "target_failed", Ran::kNo},
    {RefusalCode::kRouterStopping, 503, "router_stopping", Ran::kNo},
    {RefusalCode::kNotReady, 503, "not_ready", Ran::kNo},
    {RefusalCode::kOutcomeUnknown, 502, "outcome_unknown", Ran::kUnknown},
});

const RefusalInfo& InfoOf(RefusalCode code);

// Earliest time after which a caller should retry. If the queue is full or too
// long, the reply has the queue's estimate instead (route/wait_queue.h).
//
// Time for refusals after which a retry, here or at another router, may succeed
// immediately.
inline constexpr Duration kShortRetryAfter = std::chrono::seconds(1);
// Time for refusals by a router that is starting or stopping.
inline constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(2);
// Time for refusals because the key-value service doesn't respond.
inline constexpr Duration kOutageRetryAfter = std::chrono::seconds(5);

struct Refusal {
  RefusalCode code{};
  // Human-readable; names the invalid field if there is one.
  std::string message;
  std::string field;
  // When to retry; zero if a retry is pointless.
  Duration retry_after{};
};

// Returns the HTTP reply, with a JSON body and Retry-After in whole seconds.
HttpReply ReplyFor(const Refusal& refusal);

// Returns the refusal as the last event of a stream that has started.
std::string StreamErrorFor(const Refusal& refusal);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REFUSAL_H_
