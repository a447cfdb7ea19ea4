// RemoteHolds: what this router holds of budgets that other routers keep.
//
//   holds.Ask(now, {id, customer, amount, holders, done});
//   ...                            // done(verdict), when a holder has answered
//   holds.Settle(now, id, cost);   // what was handed out, 0 if nothing ran
//
// The holder counts an amount as held until it is told the cost, so nothing is
// spent beyond its grant whatever is lost on the way:
//   - an answer that doesn't come: the next holder is asked, and the first is
//     told that the hold cost nothing, as the request has not been sent yet;
//   - a cost that isn't acknowledged is told again while the same incarnation
//     of the holder lives; after its death the hold is part of what was charged
//     for it (prepaid/prepaid_record.h, Closing);
//   - this router's death: the holder charges the whole amount when a later
//     incarnation of this VM says hello (relay/served_holds.h).

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
#include "relay/peer_messages.h"

namespace quaytrack {

class RemoteHolds {
 public:
  struct Options {
    // How long one holder may take to answer, and all together.
    Duration holder_patience = std::chrono::milliseconds(200);
    Duration patience = std::chrono::milliseconds(300);
    Duration tell_again = std::chrono::milliseconds(1000);
    // After this an unacknowledged cost is given up; its hold stays charged.
    Duration give_up = std::chrono::seconds(60);
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
    // Never called from within `Ask`.
    std::function<void(PrepaidVerdict)> done;
  };

  RemoteHolds(Options options, Handlers handlers)
      : options_(options), on_(std::move(handlers)) {}

  void Ask(Instant now, Request request);
  // The request is no longer wanted; `done` isn't called.
  void Forget(Instant now, const RequestId& id);
  // Whether this router holds something for the request.
  bool Holds(const RequestId& id) const { return held_.contains(id); }
  void Settle(Instant now, const RequestId& id, Tokens cost);

  void OnAnswer(Instant now, const PeerMessage& message);
  void OnAcknowledged(const PeerMessage& message);
  void OnPeerLost(Instant now, const Incarnation& holder);
  // Time-outs, and costs that are told again.
  void Tick(Instant now);
  // Nothing waits for time to pass.
  bool Idle() const { return asked_.empty() && untold_.empty(); }

 private:
  struct Asked {
    Request request;
    std::size_t next = 0;
    // The holder that was asked last; empty before the first.
    Incarnation holder;
    Instant begun{};
    Instant asked_at{};
  };
  // A hold at one holder.
  struct Key {
    RequestId request;
    Incarnation holder;
    auto operator<=>(const Key&) const = default;
  };
  struct Untold {
    Tokens cost = 0;
    Instant begun{};
    Instant told_at{};
  };
  using AskedMap = std::map<RequestId, Asked>;

  void AskNext(Instant now, Asked& asked);
  void Withdraw(Instant now, const Asked& asked);
  void End(AskedMap::iterator it, PrepaidVerdict verdict);
  void TellFirst(Instant now, const Key& key, Tokens cost);
  void Tell(Instant now, const Key& key, Untold& untold);
  void TellAll(Instant now);
  bool IsLost(Instant now, const Key& key, const Untold& untold) const;

  Options options_;
  Handlers on_;
  AskedMap asked_;
  // Granted holds, and who keeps them.
  std::map<RequestId, Incarnation> held_;
  // Costs that their holders have not acknowledged.
  std::map<Key, Untold> untold_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REMOTE_HOLDS_H_
