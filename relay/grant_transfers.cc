#include "relay/grant_transfers.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "base/log.h"

namespace quaytrack {
namespace {

// The least amount that a first request asks for beyond what waits.
constexpr Tokens kMinSpare = 30000;
// The time over which the demand is measured, and for which it is requested.
constexpr Duration kDemandWindow = std::chrono::milliseconds(1000);

}  // namespace

DecayingRate& GrantTransfers::DemandOf(const CustomerName& customer) {
  return demand_.try_emplace(customer, kDemandWindow).first->second;
}

void GrantTransfers::CountHold(Instant now, const CustomerName& customer,
                               Tokens amount) {
  DemandOf(customer).Add(now, static_cast<double>(amount));
}

void GrantTransfers::RequestFromPeers(Instant now, const CustomerName& customer,
                                      Tokens waiting, bool all) {
  const double recent =
      DemandOf(customer).PerSecond(now) * ToSeconds(kDemandWindow);
  const Tokens spare =
      all ? 0 : std::max<Tokens>(kMinSpare, std::lround(recent));
  const Tokens available =
      std::max<Tokens>(0, ledger_.Allowance(now, customer));
  PeerMessage out;
  out.kind = PeerMessageKind::kTransferRequest;
  out.customer = customer;
  out.amount = waiting + spare - available;
  out.all = all;
  on_.broadcast(out);
}

void GrantTransfers::OnTransferRequest(Instant now,
                                       const PeerMessage& message) {
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
  on_.send(message.from, out);
}

void GrantTransfers::OnTransfer(const PeerMessage& message) {
  ledger_.OnPeerSeen(message.from);
  ledger_.OnTransfer(message.customer, message.from, message.amount);
}

}  // namespace quaytrack
