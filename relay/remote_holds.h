// RemoteHolds: what this router holds of budgets whose grants other routers,
// the holders, keep (fleet/fleet.h).
//
//   holds.AskFor(now, {id, customer, amount, holders, done});
//   ...                            // done(verdict), when a holder has answered
//   holds.Settle(now, id, cost);   // what was handed out, 0 if nothing ran
//   holds.CheckTimes(now);         // every few milliseconds until `Idle`
//
// The holder counts an amount as held until it is told the cost, so nothing is
// spent beyond its grant whatever is lost on the way:
//   - an answer that doesn't come: the next holder is asked, and the first is
//     told that the hold cost nothing, as the request has not been sent yet;
//   - a cost that isn't acknowledged is sent again while the same incarnation
//     of the holder lives; after its death the hold is part of what was charged
//     for it (prepaid/prepaid_record.h, Dead members);
//   - this router's death: the holder charges the whole amount when a later
//     incarnation of this VM says hello (relay/served_holds.h).
//
// Owns the asks under way, the holds granted and the costs not acknowledged.
// Relies on the links to peers only for delivery: any message may be lost.
// How long a holder may take stands in relay/hold_patience.h. Units: tokens.

#ifndef QUAYTRACK_RELAY_REMOTE_HOLDS_H_
#define QUAYTRACK_RELAY_REMOTE_HOLDS_H_

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/hold_patience.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class RemoteHolds {
 public:
  struct Options {
    HoldPatience patience;
    // A cost that isn't acknowledged is sent again this often. Of commit
    // e7705ae; not measured.
    Duration resend_every = std::chrono::milliseconds(1000);
    // After this it is given up; its hold stays charged at the holder. Of
    // commit e7705ae; not measured.
    Duration give_up_after = std::chrono::seconds(60);
  };
  struct Handlers {
    // The incarnation that is linked on a VM; empty if none is.
    std::function<Incarnation(const VmName&)> linked;
    std::function<void(const Incarnation&, const PeerMessage&)> tell;
  };
  struct Request {
    RequestId id;
    CustomerName customer;
    Tokens amount = 0;
    // In the order in which they are asked.
    std::vector<VmName> holders;
    // Never called from within `AskFor`.
    std::function<void(PrepaidVerdict)> done;
  };

  RemoteHolds(Options options, Handlers handlers)
      : options_(options), on_(std::move(handlers)) {}

  void AskFor(Instant now, Request request);
  // The request is no longer wanted; `done` isn't called.
  void Forget(Instant now, const RequestId& id);
  // Whether a holder holds something for the request.
  bool Holds(const RequestId& id) const { return held_.contains(id); }
  void Settle(Instant now, const RequestId& id, Tokens cost);

  void OnAnswer(Instant now, const PeerMessage& message);
  void OnAcknowledged(const PeerMessage& message);
  void OnPeerLost(Instant now, const Incarnation& holder);
  // Passes over holders that don't answer, ends asks for which no holder is
  // left, and sends costs again.
  void CheckTimes(Instant now);
  // Nothing waits for time to pass.
  bool Idle() const { return pending_.empty() && unacknowledged_.empty(); }

 private:
  // An ask without an answer.
  struct PendingAsk {
    Request request;
    // Place in `request.holders` of the one to be asked next.
    std::size_t next = 0;
    // The holder that was asked last; empty before the first.
    Incarnation holder;
    Instant begun{};
    Instant asked_at{};
  };
  // A hold at one holder.
  struct HoldKey {
    RequestId request;
    Incarnation holder;
    auto operator<=>(const HoldKey&) const = default;
  };
  struct UnacknowledgedCost {
    Tokens cost = 0;
    Instant begun{};
    Instant sent_at{};
  };
  using PendingMap = std::map<RequestId, PendingAsk>;

  void AskNextHolder(Instant now, PendingAsk& ask);
  void ReleaseAtHolder(Instant now, const PendingAsk& ask);
  void Finish(PendingMap::iterator it, PrepaidVerdict verdict);
  void SendCost(Instant now, const HoldKey& key, Tokens cost);
  void SendAgain(Instant now, const HoldKey& key, UnacknowledgedCost& it);
  void ResendCosts(Instant now);
  bool IsPointless(Instant now, const HoldKey& key,
                   const UnacknowledgedCost& it) const;

  Options options_;
  Handlers on_;
  PendingMap pending_;
  // Holds that were granted, and who keeps them.
  std::map<RequestId, Incarnation> held_;
  std::map<HoldKey, UnacknowledgedCost> unacknowledged_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REMOTE_HOLDS_H_
