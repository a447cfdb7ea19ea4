#include "relay/grant_transfers.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "base/log.h"

namespace quaytrack {
namespace {

// Asked for beyond what waits, at the least. Of commit df506c1; not measured.
constexpr Tokens kLeastSpare = 30000;
// Time over which the demand is measured, and for which it is asked. Of commit
// e7705ae, in whose trials it was one of two changes; not measured alone.
constexpr Duration kDemandTime = std::chrono::milliseconds(1000);

}  // namespace

DecayingRate& GrantTransfers::DemandOf(const CustomerName& customer) {
  return demand_.try_emplace(customer, kDemandTime).first->second;
}

void GrantTransfers::CountHold(Instant now, const CustomerName& customer,
                               Tokens amount) {
  DemandOf(customer).Add(now, static_cast<double>(amount));
}

void GrantTransfers::AskPeers(Instant now, const CustomerName& customer,
                              Tokens waiting, bool all) {
  const double lately =
      DemandOf(customer).PerSecond(now) * ToSeconds(kDemandTime);
  const Tokens spare =
      all ? 0 : std::max<Tokens>(kLeastSpare, std::lround(lately));
  const Tokens own = std::max<Tokens>(0, ledger_.Allowance(now, customer));
  PeerMessage out;
  out.kind = PeerMessageKind::kTransferWanted;
  out.customer = customer;
  out.amount = waiting + spare - own;
  out.all = all;
  on_.broadcast(out);
}

void GrantTransfers::OnWanted(Instant now, const PeerMessage& message) {
  ledger_.OnPeerSeen(message.from);
  const auto total = ledger_.TransferOut(now, message.customer, message.from,
                                         message.amount, message.all);
  if (!total) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kTransfer;
  out.customer = message.customer;
  out.amount = *total;
  LogEvent(Event::kMoveGiven, {{"customer", message.customer.value},
                               {"to", message.from.value},
                               {"total", std::to_string(*total)}});
  on_.tell(message.from, out);
}

void GrantTransfers::OnTransfer(const PeerMessage& message) {
  ledger_.OnPeerSeen(message.from);
  ledger_.OnTransfer(message.customer, message.from, message.amount);
}

}  // namespace quaytrack
