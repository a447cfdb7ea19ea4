// One request's claim: a call that must not be repeated is sent at most once.
//
// The request's part in ClaimBook (claim/claim.h), from its beginning to its
// end, for requests with `needs_claim`; the others may call OnRan, OnLost and
// Withdraw, which then do nothing.
//
//   RequestClaim claim(context, basics);
//   if (const auto answer = claim.Begin()) ...   // replayed, or refused
//   claim.OnWon();                                // the call may be sent
//   claim.OnRan(kept);                            // or OnLost, or Withdraw
//   if (!claim.storing()) ...                     // its end is stored
//
// Owns the request's state of the claim. Relies on the context's claim driver,
// which tells of events later, and on the basics; both must outlive it.

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

  // Asks for the claim. Empty if it is being written, or if another request of
  // this router runs the call: an event follows.
  std::optional<ClaimAnswer> Begin();

  // Why the caller is refused, given any answer but kReplay.
  Refusal RefusalFor(const ClaimAnswer& answer) const;

  // The claim is stored; the call may be sent.
  void OnWon() { owned_ = true; }

  // The call has ended: with an answer, which is kept for retries, or in a way
  // that leaves open whether it ran. The end is stored from here on.
  bool owned() const { return owned_; }
  void OnRan(KeptAnswer kept);
  void OnLost();
  // Nothing of the call ran.
  void Withdraw();

  void OnStored() { storing_ = false; }
  bool storing() const { return storing_; }
  // Another request of this router runs the call, and this one waits for it.
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
