// GrantTransfers: unused grant that routers pass to each other without the
// store, as transfers of rights between replicas (escrow: O'Neil 1986; bounded
// counters: Balegas et al. 2015).
//
//   transfers.CountHold(now, customer, worst_case);      // each hold
//   transfers.AskPeers(now, customer, waiting, all);     // too little here
//   transfers.OnWanted(now, message);                    // a peer asks
//   transfers.OnTransfer(message);                       // a peer gave some
//
// A transfer is told as the running total of what one router has passed to the
// other of one customer, so that a message that is lost, doubled or late does
// no harm: the next one makes up for it, and either side may enter it into the
// record (prepaid/prepaid_record.h).
//
// How much to ask for. Inputs: the tokens that wait here, what this router may
// spend at present, and what was held in the last second. A first ask is for
// what waits and what the next second is likely to need, but at least
// `kLeastSpare`, so that not each request has to ask again; the second ask, for
// everything unused, is only for what waits. How much a peer gives up is the
// ledger's decision (PrepaidLedger::TransferOut).
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
    // Tells all linked peers, and one of them.
    std::function<void(const PeerMessage&)> broadcast;
    std::function<void(const Incarnation&, const PeerMessage&)> tell;
  };

  GrantTransfers(PrepaidLedger& ledger, Handlers handlers)
      : ledger_(ledger), on_(std::move(handlers)) {}

  // A request asked for `amount`, whether it is held or has to wait.
  void CountHold(Instant now, const CustomerName& customer, Tokens amount);

  // `waiting`: the sum that waits. `all`: for all that peers don't use, else
  // for half of it.
  void AskPeers(Instant now, const CustomerName& customer, Tokens waiting,
                bool all);
  void OnWanted(Instant now, const PeerMessage& message);
  void OnTransfer(const PeerMessage& message);

 private:
  DecayingRate& DemandOf(const CustomerName& customer);

  PrepaidLedger& ledger_;
  Handlers on_;
  // Tokens that were asked for of late.
  std::map<CustomerName, DecayingRate> demand_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_GRANT_TRANSFERS_H_
