#include "router/request_budget.h"

#include <utility>

#include "base/digest.h"
#include "base/log.h"

namespace quaytrack {

HoldOutcome RequestBudget::Hold() {
  const HoldOutcome out = context_.ledger.sync().Hold(
      context_.Now(), basics_.request, basics_.budget, basics_.worst_case);
  held_ = out == HoldOutcome::kHeld || out == HoldOutcome::kWaiting;
  if (out == HoldOutcome::kWaiting) context_.ledger.Kick();
  return out;
}

Refusal RequestBudget::RefusalFor(HoldRefusal reason) const {
  const std::string budget = "budget '" + basics_.budget.value + "'";
  switch (reason) {
    case HoldRefusal::kExhausted:
      return {RefusalCode::kBudgetExhausted,
              budget + " can't cover " + std::to_string(basics_.worst_case) +
                  " tokens",
              "budget",
              {}};
    case HoldRefusal::kUnavailable:
      return {RefusalCode::kBudgetUnavailable,
              "this router's part of " + budget +
                  " is used up and the ledger can't be reached",
              "budget", kOutageRetryAfter};
    case HoldRefusal::kFenced:
      break;
  }
  return {RefusalCode::kRouterStopping, "this router is stopping", "",
          kShortRetryAfter};
}

RequestBudget::Settled RequestBudget::Settle(Instant now, Tokens cost) {
  Settled out;
  out.bill = MakeBill(cost);
  if (cost > basics_.worst_case) {
    LogEvent(Event::kUsageTooLarge,
             {{"request", basics_.request.value},
              {"cost", std::to_string(cost)},
              {"held", std::to_string(basics_.worst_case)}});
  }
  out.seq = context_.ledger.sync().Settle(now, out.bill);
  context_.ledger.Kick();
  held_ = false;
  return out;
}

void RequestBudget::Release() {
  if (!std::exchange(held_, false)) return;
  context_.ledger.sync().Release(basics_.request, basics_.budget);
  context_.ledger.Kick();
}

Bill RequestBudget::MakeBill(Tokens tokens) const {
  Bill out;
  out.bill_id = BillId();
  out.customer = basics_.headers.customer;
  out.budget = basics_.budget;
  out.request_id = basics_.request;
  out.tokens = tokens;
  out.at_ms = context_.clock.WallNow().time_since_epoch().count();
  out.marker = Marker();
  return out;
}

// Returns the id of the request's bill. The caller's key identifies a retry at
// another router as the same request. The digest ensures that two different
// calls with one key get separate bills.
std::string RequestBudget::BillId() const {
  constexpr std::size_t kDigestDigits = 12;
  if (basics_.headers.key.empty()) return basics_.request.value;
  return basics_.headers.customer.value + "/" + basics_.headers.key.value +
         "/" + basics_.digest.substr(0, kDigestDigits);
}

// Returns the marker of the request's bill; empty if the caller sent no key, or
// if the call is claimed, as it then runs at most once.
std::string RequestBudget::Marker() const {
  if (basics_.headers.key.empty() || basics_.needs_claim) return "";
  return basics_.headers.customer.value + "/" + Sha256Hex(BillId());
}

}  // namespace quaytrack
