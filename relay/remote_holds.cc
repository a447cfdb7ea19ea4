#include "relay/remote_holds.h"

#include <algorithm>
#include <string>

#include "base/log.h"

namespace quaytrack {
namespace {

// Begins the ids of this class's own holds. A request's id is the value of a
// header, which can't contain it, so the two kinds never share an id.
constexpr char kOwnId[] = "\n";

// Time between two `CheckTimeouts` from which this router counts as stalled:
// answers may have arrived that it hasn't read, so what times out then is no
// evidence. A VM with a small share of a core is stopped for most of each 100
// ms, which is no stall. After a stall of a holder's timeout, no evidence is
// left.
constexpr Duration kStall = std::chrono::milliseconds(100);

PrepaidVerdict VerdictOf(HoldAnswer answer) {
  switch (answer) {
    case HoldAnswer::kHeld:
      return PrepaidVerdict::kHeld;
    case HoldAnswer::kExhausted:
      return PrepaidVerdict::kExhausted;
    case HoldAnswer::kShort:
    case HoldAnswer::kNotHolder:
      return PrepaidVerdict::kShort;
  }
  return PrepaidVerdict::kShort;
}

}  // namespace

// --- Requesting holds --------------------------------------------------------

void RemoteHolds::RequestHold(Instant now, Request request) {
  const RequestId id = request.id;
  if (pending_.empty() && probes_.empty()) last_check_ = now;
  PendingHold& hold = pending_[id];
  hold.request = std::move(request);
  hold.started_at = now;
  AskNextHolder(now, hold);
}

// Asks the next holder. Without a further holder, the request is refused at the
// next `CheckTimeouts`.
void RemoteHolds::AskNextHolder(Instant now, PendingHold& hold) {
  hold.asked_at = now;
  hold.holder = NextHolder(now, hold);
  if (hold.holder.empty()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kHoldRequest;
  out.request = hold.request.id;
  out.customer = hold.request.customer;
  out.amount = hold.request.amount;
  out.urgency = hold.request.urgency;
  out.advance = hold.request.advance;
  on_.send(hold.holder, out);
}

// The next holder that is linked and answers; empty if there is none.
Incarnation RemoteHolds::NextHolder(Instant now, PendingHold& hold) {
  const bool past_deadline =
      now - hold.started_at >= options_.timeouts.ask_holders_until;
  while (!past_deadline && hold.next < hold.request.holders.size()) {
    Incarnation holder =
        on_.linked_incarnation(hold.request.holders[hold.next++]);
    if (holder.empty()) continue;
    if (hold.request.advance && without_advances_.contains(holder)) continue;
    if (answers_.Answers(now, holder)) return holder;
    hold.skipped = holder;
    if (answers_.TakeProbe(now, holder)) {
      SendProbe(now, holder, hold.request.customer);
    }
  }
  return {};
}

void RemoteHolds::SendProbe(Instant now, const Incarnation& holder,
                            const CustomerName& customer) {
  const RequestId id(kOwnId + ("probe-" + std::to_string(++probes_sent_)));
  probes_[id] = {holder, now};
  PeerMessage out;
  out.kind = PeerMessageKind::kHoldRequest;
  out.request = id;
  out.customer = customer;
  on_.send(holder, out);
}

// Sends the asked holder a cost of zero, as it may have granted the hold or may
// still do so.
void RemoteHolds::ReleaseAtHolder(Instant now, const PendingHold& hold) {
  if (hold.holder.empty()) return;
  SendCost(now, {hold.request.id, hold.holder}, 0);
}

void RemoteHolds::Finish(Instant now, PendingMap::iterator it,
                         PrepaidVerdict verdict) {
  const Request request = std::move(it->second.request);
  pending_.erase(it);
  if (request.advance) return advances_.OnRefused(now, request.customer);
  request.done(verdict);
}

void RemoteHolds::Forget(Instant now, const RequestId& id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  ReleaseAtHolder(now, it->second);
  pending_.erase(it);
}

void RemoteHolds::OnAnswer(Instant now, const PeerMessage& message) {
  if (message.answer != HoldAnswer::kNotHolder) answered_at_ = now;
  if (probes_.contains(message.request)) return OnProbeAnswered(now, message);
  // A holder that stops takes back what it gave in advance.
  if (message.answer == HoldAnswer::kNotHolder) {
    advances_.Close(message.request, message.from);
    SettleAdvances(now);
  }
  const auto it = pending_.find(message.request);
  // Ignores the answer of a previous holder, which was already sent a cost of
  // zero.
  if (it == pending_.end() || it->second.holder != message.from) return;
  answers_.OnAnswered(message.from, it->second.asked_at);
  if (message.answer == HoldAnswer::kNotHolder) {
    return AskNextHolder(now, it->second);
  }
  const bool reserved = message.answer == HoldAnswer::kShort &&
                        message.retry_after > Duration::zero();
  if (reserved && it->second.request.reserved) {
    const auto refuse = std::move(it->second.request.reserved);
    pending_.erase(it);
    return refuse(message.retry_after);
  }
  const bool held = message.answer == HoldAnswer::kHeld;
  if (held && it->second.request.advance) return OnAdvanceGiven(now, message);
  if (held) held_[message.request] = message.from;
  Finish(now, it, VerdictOf(message.answer));
}

void RemoteHolds::OnProbeAnswered(Instant now, const PeerMessage& message) {
  const auto it = probes_.find(message.request);
  if (it->second.holder != message.from) return;
  answers_.OnAnswered(message.from, it->second.asked_at);
  probes_.erase(it);
  if (message.answer != HoldAnswer::kHeld) return;
  SendCost(now, {message.request, message.from}, 0);
}

void RemoteHolds::OnPeerLost(Instant now, const Incarnation& holder) {
  answers_.Forget(holder);
  advances_.CloseAt(holder);
  SettleAdvances(now);
  for (auto& [id, hold] : pending_) {
    if (hold.holder != holder) continue;
    ReleaseAtHolder(now, hold);
    AskNextHolder(now, hold);
  }
}

void RemoteHolds::CheckTimeouts(Instant now) {
  CheckForStall(now);
  CheckProbes(now);
  CheckPending(now);
  SettleAdvances(now);
  ResendCosts(now);
}

void RemoteHolds::CheckForStall(Instant now) {
  const Duration gap = now - last_check_;
  last_check_ = now;
  stalled_ = gap >= kStall;
  if (gap >= options_.timeouts.holder_timeout) answers_.Clear();
}

void RemoteHolds::CountUnanswered(Instant now, const Incarnation& holder,
                                  Instant asked_at) {
  if (stalled_ || !answers_.OnUnanswered(now, holder, asked_at)) return;
  LogEvent(Event::kHolderSilent,
           {{"holder", holder.value},
            {"unanswered", std::to_string(answers_.Unanswered(holder))}});
}

void RemoteHolds::CheckProbes(Instant now) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    const auto at = it++;
    const auto [holder, asked_at] = at->second;
    if (now - asked_at < options_.timeouts.holder_timeout) continue;
    CountUnanswered(now, holder, asked_at);
    SendCost(now, {at->first, holder}, 0);
    probes_.erase(at);
  }
}

void RemoteHolds::CheckPending(Instant now) {
  const HoldTimeouts& timeouts = options_.timeouts;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingHold& hold = it->second;
    const auto at = it++;
    const bool unanswered = now - hold.asked_at >= timeouts.holder_timeout;
    if (unanswered && !hold.holder.empty()) {
      LogEvent(Event::kHoldUnanswered,
               {{"request", at->first.value}, {"holder", hold.holder.value}});
      CountUnanswered(now, hold.holder, hold.asked_at);
      ReleaseAtHolder(now, hold);
      AskNextHolder(now, hold);
    }
    if (!hold.holder.empty()) continue;
    const bool refused = !hold.skipped.empty() && !hold.request.advance;
    if (refused) LogRefusedAtOnce(now, at->first, hold);
    if (!hold.request.advance && !stalled_) no_holder_at_ = now;
    Finish(now, at, PrepaidVerdict::kShort);
  }
}

void RemoteHolds::LogRefusedAtOnce(Instant now, const RequestId& id,
                                   const PendingHold& hold) {
  ++refused_at_once_;
  if (!refusal_lines_.Allow(now)) return;
  LogEvent(Event::kHoldRefusedAtOnce,
           {{"request", id.value},
            {"customer", hold.request.customer.value},
            {"needed", std::to_string(hold.request.amount)},
            {"reason", "holders_silent"},
            {"holder", hold.skipped.value},
            {"unanswered", std::to_string(answers_.Unanswered(hold.skipped))},
            {"waited_ms", MillisecondsText(now - hold.started_at)},
            {"omitted", std::to_string(refusal_lines_.TakeOmitted())}});
}

// --- Advances ----------------------------------------------------------------

bool RemoteHolds::Draw(Instant now, const RequestId& id,
                       const CustomerName& customer, Tokens amount) {
  advances_.Count(now, customer, amount);
  // Another request may have the same id.
  if (held_.contains(id) || pending_.contains(id)) return false;
  return advances_.Draw(now, id, customer, amount, [this](const auto& it) {
    return on_.linked_incarnation(VmOf(it)) == it;
  });
}

void RemoteHolds::AskInAdvance(Instant now, const CustomerName& customer,
                               std::vector<VmName> holders) {
  if (stops_advances_) return;
  const Tokens amount = advances_.AmountToAsk(now, customer);
  if (amount == 0) return;
  advances_.OnAsked(customer);
  Request out;
  out.id = RequestId(kOwnId + ("advance-" + std::to_string(++advances_asked_)));
  out.customer = customer;
  out.amount = amount;
  out.holders = std::move(holders);
  out.advance = true;
  RequestHold(now, std::move(out));
}

void RemoteHolds::OnAdvanceGiven(Instant now, const PeerMessage& message) {
  const auto it = pending_.find(message.request);
  const Tokens asked = it->second.request.amount;
  // A holder of an older build doesn't state the amount.
  if (message.amount == 0) without_advances_.insert(message.from);
  const Tokens given =
      message.amount > 0 ? std::min(asked, message.amount) : asked;
  const CustomerName customer = it->second.request.customer;
  advances_.OnGiven(now, message.request, message.from, customer, given,
                    it->second.asked_at);
  pending_.erase(it);
  LogEvent(Event::kHoldAdvance, {{"customer", customer.value},
                                 {"holder", message.from.value},
                                 {"state", "given"},
                                 {"asked", std::to_string(asked)},
                                 {"amount", std::to_string(given)}});
}

// Cancels the asks for advances of the customers that `matches` accepts.
void RemoteHolds::CancelAsks(
    Instant now, const std::function<bool(const CustomerName&)>& matches) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto at = it++;
    const Request& request = at->second.request;
    if (!request.advance || !matches(request.customer)) continue;
    ReleaseAtHolder(now, at->second);
    advances_.OnRefused(now, request.customer);
    pending_.erase(at);
  }
}

void RemoteHolds::ReturnAdvances(Instant now) {
  CancelAsks(now, [](const CustomerName&) { return true; });
  advances_.CloseAll();
  SettleAdvances(now);
}

void RemoteHolds::ReturnAdvancesOf(Instant now, const CustomerName& customer) {
  CancelAsks(now, [&](const CustomerName& it) { return it == customer; });
  advances_.CloseFor(customer);
  SettleAdvances(now);
}

void RemoteHolds::SettleAdvances(Instant now) {
  for (const HoldAdvances::Finished& it : advances_.TakeFinished(now)) {
    LogEvent(Event::kHoldAdvance, {{"customer", it.customer.value},
                                   {"holder", it.holder.value},
                                   {"state", "settled"},
                                   {"amount", std::to_string(it.amount)},
                                   {"cost", std::to_string(it.cost)}});
    SendCost(now, {it.id, it.holder}, it.cost);
  }
}

// --- Costs -------------------------------------------------------------------

void RemoteHolds::Settle(Instant now, const RequestId& id, Tokens cost) {
  if (advances_.IsDrawn(id)) {
    advances_.Settle(id, cost);
    return SettleAdvances(now);
  }
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  const HoldKey key{id, it->second};
  held_.erase(it);
  SendCost(now, key, cost);
}

void RemoteHolds::SendCost(Instant now, const HoldKey& key, Tokens cost) {
  UnacknowledgedCost& it = unacknowledged_[key];
  it.cost = cost;
  it.started_at = now;
  ResendCost(now, key, it);
}

void RemoteHolds::ResendCost(Instant now, const HoldKey& key,
                             UnacknowledgedCost& it) {
  it.sent_at = now;
  PeerMessage out;
  out.kind = PeerMessageKind::kSettle;
  out.request = key.request;
  out.amount = it.cost;
  on_.send(key.holder, out);
}

void RemoteHolds::OnAcknowledged(const PeerMessage& message) {
  unacknowledged_.erase({message.request, message.from});
}

void RemoteHolds::ResendCosts(Instant now) {
  for (auto it = unacknowledged_.begin(); it != unacknowledged_.end();) {
    const auto at = it++;
    if (IsObsolete(now, at->first, at->second)) {
      unacknowledged_.erase(at);
    } else if (now - at->second.sent_at >= options_.resend_every) {
      ResendCost(now, at->first, at->second);
    }
  }
}

// Whether the cost needn't be sent again: a later incarnation on the holder's
// VM proves that the holder has died, or `give_up_after` has passed.
bool RemoteHolds::IsObsolete(Instant now, const HoldKey& key,
                             const UnacknowledgedCost& it) const {
  const Incarnation linked = on_.linked_incarnation(VmOf(key.holder));
  const bool dead = !linked.empty() && linked != key.holder;
  return dead || now - it.started_at >= options_.give_up_after;
}

}  // namespace quaytrack
