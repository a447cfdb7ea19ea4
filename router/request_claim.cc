#include "router/request_claim.h"

#include <utility>

#include "base/log.h"

namespace quaytrack {

std::optional<ClaimAnswer> RequestClaim::Begin() {
  ClaimAnswer answer = context_.claims.tracker().Begin(
      context_.Now(), Key(), basics_.digest, basics_.request,
      context_.clock.WallNow().time_since_epoch().count());
  context_.claims.Kick();
  joined_ = answer.kind == ClaimAnswerKind::kJoin;
  if (joined_ || answer.kind == ClaimAnswerKind::kWait) return std::nullopt;
  return answer;
}

Refusal RequestClaim::RefusalFor(const ClaimAnswer& answer) const {
  if (answer.kind == ClaimAnswerKind::kMismatch) {
    return {RefusalCode::kKeyMismatch,
            "the key was used for another call",
            kKeyHeader,
            {}};
  }
  const bool may_still_run = answer.kind == ClaimAnswerKind::kOtherRouter &&
                             !context_.owner_is_dead(answer.entry);
  if (may_still_run) {
    return {RefusalCode::kInProgress, "a call with this key is running",
            kKeyHeader, kShortRetryAfter};
  }
  LogEvent(Event::kClaimUnknown, {{"customer", basics_.headers.customer.value},
                                  {"owner", answer.entry.owner.value}});
  return {RefusalCode::kOutcomeUnknown,
          "a call with this key may have run; it will not be run again",
          kKeyHeader,
          {}};
}

void RequestClaim::OnRan(StoredAnswer stored_answer) {
  if (!std::exchange(owned_, false)) return;
  storing_ = true;
  context_.claims.tracker().MarkDone(context_.Now(), Key(),
                                     std::move(stored_answer));
  context_.claims.Kick();
}

void RequestClaim::OnOutcomeUnknown() {
  if (!std::exchange(owned_, false)) return;
  storing_ = true;
  context_.claims.tracker().MarkUnknown(context_.Now(), Key());
  context_.claims.Kick();
}

void RequestClaim::Withdraw() {
  owned_ = false;
  if (!basics_.needs_claim) return;
  context_.claims.tracker().Abandon(context_.Now(), Key(), basics_.request);
  context_.claims.Kick();
}

}  // namespace quaytrack
