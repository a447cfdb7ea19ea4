// GrantTransfers passes unused grant, tokens of a budget that one router may
// spend, between routers without the store, as transfers of rights between
// replicas (escrow: O'Neil 1986; bounded counters: Balegas et al. 2015).
//
//   transfers.CountHold(now, customer, worst_case);           // each hold
//   transfers.RequestFromPeers(now, customer, waiting, all);  // too little
//   transfers.OnTransferRequest(now, message);                // of a peer
//   transfers.OnTransfer(message);                            // of a peer
//
// A transfer is sent as the running total of what one router has passed to the
// other for one customer. A message that is lost, duplicated or late therefore
// does no harm: the next one makes up for it, and either side may enter the
// transfer into the record (prepaid/prepaid_record.h).
//
// The amount to request depends on the tokens that wait here, the tokens that
// this router may spend at present, and the holds of the last second. A first
// request is for what waits and what the next second is likely to need, but at
// least `kMinSpare`, so that not every hold needs a request. The second
// request, for everything unused, is only for what waits. The ledger decides
// how much a peer gives up (PrepaidLedger::TransferOut).
//
// Owns the demand of each customer. Units: tokens.

#ifndef QUAYTRACK_RELAY_GRANT_TRANSFERS_H_
#define QUAYTRACK_RELAY_GRANT_TRANSFERS_H_

#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class GrantTransfers {
 public:
  struct Handlers {
    // Sends a message to all linked peers, or to one linked peer.
    std::function<void(const PeerMessage&)> broadcast;
    std::function<void(const Incarnation&, const PeerMessage&)> send;
  };

  GrantTransfers(PrepaidLedger& ledger, Handlers handlers)
      : ledger_(ledger), on_(std::move(handlers)) {}

  // Counts a request for `amount`, whether it is held or has to wait.
  void CountHold(Instant now, const CustomerName& customer, Tokens amount);

  // Requests transfers. `waiting` is the sum that waits. If `all`, peers may
  // transfer everything that they don't use, otherwise half of it.
  void RequestFromPeers(Instant now, const CustomerName& customer,
                        Tokens waiting, bool all);
  void OnTransferRequest(Instant now, const PeerMessage& message);
  void OnTransfer(const PeerMessage& message);

 private:
  DecayingRate& DemandOf(const CustomerName& customer);

  PrepaidLedger& ledger_;
  Handlers on_;
  // Rate of the tokens requested.
  std::map<CustomerName, DecayingRate> demand_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_GRANT_TRANSFERS_H_
