#include "relay/budget_driver.h"

#include <vector>

namespace quaytrack {
namespace {

void Answer(HoldWaiter& waiter, PrepaidVerdict verdict) {
  if (verdict == PrepaidVerdict::kHeld) return waiter.OnHeld();
  if (verdict == PrepaidVerdict::kCharged) return waiter.OnHoldCharged();
  waiter.OnHoldRefused(verdict == PrepaidVerdict::kExhausted);
}

}  // namespace

BudgetDriver::BudgetDriver(Loop& loop, const Clock& clock, KvStore& store,
                           const FleetDirectory& fleet,
                           const PrepaidLedger::Identity& identity,
                           PrepaidPolicy policy)
    : loop_(loop),
      clock_(clock),
      fleet_(fleet),
      self_(identity.self),
      ledger_(identity, policy),
      store_(loop, clock, store, identity.self, ledger_, StoreHandlers()),
      queue_(ledger_, policy.scarce_horizon, QueueHandlers()),
      transfers_(ledger_, TransferHandlers()),
      remote_({}, RemoteHandlers()),
      served_(ServedHandlers()) {}

// --- The parts ---------------------------------------------------------------

PrepaidStore::Handlers BudgetDriver::StoreHandlers() {
  PrepaidStore::Handlers out;
  out.ledger_changed = [this] { queue_.Serve(clock_.Now()); };
  out.reachable = [this](bool it) {
    if (on_.store_reachable) on_.store_reachable(it);
  };
  return out;
}

HoldQueue::Handlers BudgetDriver::QueueHandlers() {
  HoldQueue::Handlers out;
  out.ask_peers = [this](const CustomerName& customer, Tokens waiting,
                         bool all) {
    transfers_.RequestFromPeers(clock_.Now(), customer, waiting, all);
  };
  out.answer = [this](const HoldWaiterPtr& it, PrepaidVerdict verdict) {
    PostAnswer(it, verdict);
  };
  out.refuse_reserved = [this](const HoldWaiterPtr& it, Duration retry_after) {
    PostReserved(it, retry_after);
  };
  out.store_reachable = [this] { return store_.reachable(); };
  return out;
}

GrantTransfers::Handlers BudgetDriver::TransferHandlers() {
  GrantTransfers::Handlers out;
  out.broadcast = [this](PeerMessage it) {
    it.from = self_;
    if (on_.broadcast) on_.broadcast(it);
  };
  out.send = [this](const Incarnation& peer, const PeerMessage& it) {
    SendTo(peer, it);
  };
  return out;
}

RemoteHolds::Handlers BudgetDriver::RemoteHandlers() {
  RemoteHolds::Handlers out;
  out.linked_incarnation = [this](const VmName& vm) { return on_.linked(vm); };
  out.send = [this](const Incarnation& peer, const PeerMessage& it) {
    SendTo(peer, it);
  };
  return out;
}

ServedHolds::Handlers BudgetDriver::ServedHandlers() {
  ServedHolds::Handlers out;
  out.has_budget = [this](const CustomerName& customer) {
    return ledger_.IsLimited(customer);
  };
  out.hold = [this](const HoldWaiterPtr& it) {
    const PrepaidVerdict verdict = HoldFromGrant(it);
    // With kShort, the hold waits in `queue_`.
    if (verdict != PrepaidVerdict::kShort) Answer(*it, verdict);
  };
  out.forget = [this](const HoldWaiterPtr& it) { queue_.Remove(it); };
  out.settle = [this](const CustomerName& customer, Tokens held, Tokens cost) {
    SettleInGrant(customer, held, cost);
  };
  out.send = [this](const Incarnation& peer, const PeerMessage& it) {
    SendTo(peer, it);
  };
  out.hold_in_advance = [this](const CustomerName& customer, Tokens asked,
                               Tokens given) {
    return HoldInAdvance(customer, asked, given);
  };
  out.advances_changed = [this](const CustomerName& customer, Tokens given) {
    ledger_.SetAdvanced(customer, given);
  };
  return out;
}

void BudgetDriver::Start() { store_.Start(); }

void BudgetDriver::SetConfig(const ServiceMap& map) {
  std::vector<PrepaidLimit> limits;
  for (const CustomerRule& it : map.customers()) {
    if (it.prepaid >= 0) limits.push_back({it.name, it.prepaid});
  }
  ReturnAdvancesOfLowerLimits(map);
  ledger_.SetLimits(map.version(), limits);
  queue_.Serve(clock_.Now());
  store_.ScheduleCycle();
}

// What was held in advance under a higher limit isn't drawn from any more, so
// that the lower one applies immediately.
void BudgetDriver::ReturnAdvancesOfLowerLimits(const ServiceMap& map) {
  std::map<CustomerName, Tokens> limits;
  for (const CustomerRule& it : map.customers()) {
    if (it.prepaid >= 0) limits[it.name] = it.prepaid;
  }
  for (const auto& [customer, limit] : limits_) {
    const auto it = limits.find(customer);
    if (it != limits.end() && it->second >= limit) continue;
    remote_.ReturnAdvancesOf(clock_.Now(), customer);
  }
  limits_ = std::move(limits);
}

void BudgetDriver::OnStoreEra() {
  // Until each holder has declared itself, only the holder knows of what it
  // gave lately.
  remote_.ReturnAdvances(clock_.Now());
  store_.OnStoreEra();
}

void BudgetDriver::StopServing() {
  remote_.StopAdvances();
  served_.Stop();
}

void BudgetDriver::JoinIfHolder() {
  const bool is_holder = fleet_.IsRead() && fleet_.IsHolder(VmOf(self_));
  if (ledger_.ActsAsHolder() || !is_holder) return;
  ledger_.BecomeHolder();
  store_.ScheduleCycle();
}

void BudgetDriver::StartLeaving() {
  remote_.StopAdvances();
  remote_.ReturnAdvances(clock_.Now());
  ledger_.StartLeaving();
  store_.RunCycle();
}

// --- Requests ----------------------------------------------------------------

PrepaidVerdict BudgetDriver::Hold(const HoldWaiterPtr& request) {
  if (!ledger_.IsLimited(request->customer())) return PrepaidVerdict::kHeld;
  if (fleet_.IsRead()) return HoldLocallyOrRemotely(request);
  early_holds_.push_back({request, clock_.Now()});
  StartWaitTimer();
  return PrepaidVerdict::kShort;
}

void BudgetDriver::OnFleetRead() {
  for (const EarlyHold& it : std::exchange(early_holds_, {})) {
    const PrepaidVerdict verdict = HoldLocallyOrRemotely(it.waiter);
    if (verdict != PrepaidVerdict::kShort) PostAnswer(it.waiter, verdict);
  }
}

PrepaidVerdict BudgetDriver::HoldLocallyOrRemotely(
    const HoldWaiterPtr& waiter) {
  // Requests that arrive before the list of routers has settled don't wait
  // until it has.
  JoinIfHolder();
  if (ledger_.ActsAsHolder()) return HoldFromGrant(waiter);
  return RequestFromHolders(waiter);
}

PrepaidVerdict BudgetDriver::HoldFromGrant(const HoldWaiterPtr& waiter) {
  transfers_.CountHold(clock_.Now(), waiter->customer(), waiter->worst_case());
  const PrepaidVerdict out = queue_.HoldOrWait(clock_.Now(), waiter);
  if (out != PrepaidVerdict::kShort) return out;
  StartWaitTimer();
  loop_.Post([this] { store_.RunCycle(); });
  return out;
}

PrepaidVerdict BudgetDriver::RequestFromHolders(const HoldWaiterPtr& waiter) {
  const Instant now = clock_.Now();
  const CustomerName& customer = waiter->customer();
  const std::vector<VmName> holders = fleet_.HoldersFor(customer);
  StartWaitTimer();
  const bool drawn =
      remote_.Draw(now, waiter->id(), customer, waiter->worst_case());
  if (!drawn) {
    RemoteHolds::Request out;
    out.id = waiter->id();
    out.customer = customer;
    out.amount = waiter->worst_case();
    out.urgency = waiter->urgency();
    out.holders = holders;
    out.done = [this, waiter](PrepaidVerdict verdict) {
      PostAnswer(waiter, verdict);
    };
    out.reserved = [this, waiter](Duration retry_after) {
      PostReserved(waiter, retry_after);
    };
    remote_.RequestHold(now, std::move(out));
  }
  // After the request, so that the holder holds what the request needs first.
  remote_.AskInAdvance(now, customer, holders);
  return drawn ? PrepaidVerdict::kHeld : PrepaidVerdict::kShort;
}

// Gives a peer an advance from this router's grant. Neither the store nor peers
// are asked for it, and nothing is given while requests wait.
Tokens BudgetDriver::HoldInAdvance(const CustomerName& customer, Tokens asked,
                                   Tokens given) {
  const Instant now = clock_.Now();
  if (!ledger_.ActsAsHolder() || queue_.HasWaiters(customer)) return 0;
  if (on_.is_scarce && on_.is_scarce(customer)) return 0;
  const Tokens out = AdvanceToGive(advance_policy_, asked,
                                   ledger_.Allowance(now, customer), given);
  if (out == 0) return 0;
  if (ledger_.Hold(now, customer, out) != PrepaidVerdict::kHeld) return 0;
  transfers_.CountHold(now, customer, out);
  return out;
}

// Answers the waiter from a separate callback of the loop, because the end of
// the waiter may change the list that is being iterated over.
void BudgetDriver::PostAnswer(const HoldWaiterPtr& waiter,
                              PrepaidVerdict verdict) {
  loop_.Post([waiter, verdict] { Answer(*waiter, verdict); });
}

void BudgetDriver::PostReserved(const HoldWaiterPtr& waiter,
                                Duration retry_after) {
  loop_.Post([waiter, retry_after] { waiter->OnHoldReserved(retry_after); });
}

void BudgetDriver::Forget(const HoldWaiterPtr& request) {
  std::erase_if(early_holds_,
                [&](const EarlyHold& it) { return it.waiter == request; });
  queue_.Remove(request);
  remote_.Forget(clock_.Now(), request->id());
}

void BudgetDriver::Settle(const HoldWaiter& request, Tokens cost) {
  if (!remote_.Holds(request.id())) {
    return SettleInGrant(request.customer(), request.worst_case(), cost);
  }
  remote_.Settle(clock_.Now(), request.id(), cost);
  // The timer sends the cost again until the holder acknowledges it.
  StartWaitTimer();
}

void BudgetDriver::SettleInGrant(const CustomerName& customer, Tokens held,
                                 Tokens cost) {
  ledger_.Settle(clock_.Now(), customer, held, cost);
  if (queue_.HasWaiters(customer)) queue_.Serve(clock_.Now());
}

void BudgetDriver::StartWaitTimer() {
  if (wait_timer_) return;
  wait_timer_ =
      loop_.Every(HoldTimeouts().check_every, [this] { CheckWaits(); });
}

void BudgetDriver::CheckWaits() {
  remote_.CheckTimeouts(clock_.Now());
  const bool waiting = queue_.Expire(clock_.Now(), store_.reachable());
  RefuseExpiredEarlyHolds();
  if (!waiting && early_holds_.empty() && remote_.Idle()) wait_timer_.reset();
}

void BudgetDriver::RefuseExpiredEarlyHolds() {
  const Instant expired = clock_.Now() - HoldTimeouts().give_up_after;
  std::erase_if(early_holds_, [&](const EarlyHold& it) {
    if (it.arrived_at > expired) return false;
    PostAnswer(it.waiter, PrepaidVerdict::kShort);
    refused_early_hold_ = true;
    return true;
  });
}

bool BudgetDriver::LacksHolder() const {
  const bool is_early = refused_early_hold_ && !fleet_.IsRead();
  return is_early || remote_.LacksHolder(clock_.Now());
}

// --- Peers -------------------------------------------------------------------

void BudgetDriver::SendTo(const Incarnation& peer, PeerMessage message) {
  message.from = self_;
  on_.send(peer, message);
}

void BudgetDriver::OnPeer(const PeerMessage& message) {
  if (message.keeps_budgets) ledger_.OnPeerSeen(message.from);
  switch (message.kind) {
    case PeerMessageKind::kHello:
      return served_.OnHello(message.from);
    case PeerMessageKind::kTransfer:
      transfers_.OnTransfer(message);
      queue_.OnTransfer(clock_.Now(), message.customer);
      return queue_.Serve(clock_.Now());
    case PeerMessageKind::kTransferRequest:
      return transfers_.OnTransferRequest(clock_.Now(), message);
    case PeerMessageKind::kHoldRequest:
      return served_.OnHoldWanted(message);
    case PeerMessageKind::kSettle:
      return served_.OnSettle(message);
    case PeerMessageKind::kHoldAnswer:
      return remote_.OnAnswer(clock_.Now(), message);
    case PeerMessageKind::kSettled:
      return remote_.OnAcknowledged(message);
    case PeerMessageKind::kPing:
    case PeerMessageKind::kPromptSent:
    case PeerMessageKind::kConfigRequest:
    case PeerMessageKind::kConfig:
    case PeerMessageKind::kUpdate:
    case PeerMessageKind::kStateRequest:
    case PeerMessageKind::kState:
    case PeerMessageKind::kMarkRequest:
    case PeerMessageKind::kMark:
    case PeerMessageKind::kStreamBegan:
    case PeerMessageKind::kVersionRequest:
    case PeerMessageKind::kVersion:
    case PeerMessageKind::kRunQuestion:
    case PeerMessageKind::kRunAnswer:
    case PeerMessageKind::kCrashes:
    case PeerMessageKind::kRateLimits:
      return;
  }
}

void BudgetDriver::OnPeerLost(const Incarnation& peer) {
  remote_.OnPeerLost(clock_.Now(), peer);
}

}  // namespace quaytrack
