// The claim of one request: a call that must not be repeated is sent at most
// once.
//
// Drives the ClaimTracker (claim/claim.h) for one request with `needs_claim`,
// from start to end. For other requests OnRan, OnOutcomeUnknown and Withdraw
// may be called too and have no effect.
//
//   RequestClaim claim(context, basics);
//   if (const auto answer = claim.Begin()) ...   // replayed, or refused
//   claim.OnWon();                                // the call may be sent
//   claim.OnRan(stored_answer);    // or OnOutcomeUnknown, or Withdraw
//   if (!claim.storing()) ...                     // its end is stored
//
// RequestClaim owns the request's claim state. It relies on the context's claim
// driver, which reports events later, and on the basics; driver and basics must
// outlive the RequestClaim.

#ifndef QUAYTRACK_ROUTER_REQUEST_CLAIM_H_
#define QUAYTRACK_ROUTER_REQUEST_CLAIM_H_

#include <optional>

#include "claim/claim.h"
#include "router/context.h"
#include "router/refusal.h"
#include "router/request_basics.h"

namespace quaytrack {

class RequestClaim {
 public:
  RequestClaim(RouterContext& context, const RequestBasics& basics)
      : context_(context), basics_(basics) {}

  // Requests the claim. Returns std::nullopt if the claim is being written or
  // another request of this router runs the call; an event then follows.
  std::optional<ClaimAnswer> Begin();

  // Returns the refusal that the caller gets for any answer but kReplay.
  Refusal RefusalFor(const ClaimAnswer& answer) const;

  // Call when the claim is stored; the call may then be sent.
  void OnWon() { owned_ = true; }

  // Whether this request owns the claim.
  bool owned() const { return owned_; }
  // Call one of these when the call has ended: OnRan with its answer, which is
  // stored for retries, or OnOutcomeUnknown if the call may have run. Both
  // functions start to store the claim's end.
  void OnRan(StoredAnswer stored_answer);
  void OnOutcomeUnknown();
  // Gives up the claim, as the call did not run.
  void Withdraw();

  void OnStored() { storing_ = false; }
  bool storing() const { return storing_; }
  // Whether this request waits for another one of this router to run the call.
  bool joined() const { return joined_; }

 private:
  ClaimKey Key() const {
    return {basics_.headers.customer, basics_.headers.key};
  }

  RouterContext& context_;
  const RequestBasics& basics_;
  bool owned_ = false;
  bool storing_ = false;
  bool joined_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_CLAIM_H_
