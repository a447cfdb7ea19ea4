#include "relay/remote_holds.h"

#include "base/log.h"

namespace quaytrack {
namespace {

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
  PendingHold& hold = pending_[id];
  hold.request = std::move(request);
  hold.started_at = now;
  AskNextHolder(now, hold);
}

// Asks the next holder. Without a further holder, the request is refused at the
// next `CheckTimeouts`.
void RemoteHolds::AskNextHolder(Instant now, PendingHold& hold) {
  hold.holder = {};
  hold.asked_at = now;
  const bool past_deadline =
      now - hold.started_at >= options_.timeouts.ask_holders_until;
  while (!past_deadline && hold.next < hold.request.holders.size()) {
    hold.holder = on_.linked_incarnation(hold.request.holders[hold.next++]);
    if (!hold.holder.empty()) break;
  }
  if (hold.holder.empty()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kHoldRequest;
  out.request = hold.request.id;
  out.customer = hold.request.customer;
  out.amount = hold.request.amount;
  out.urgency = hold.request.urgency;
  on_.send(hold.holder, out);
}

// Sends the asked holder a cost of zero, as it may have granted the hold or may
// still do so.
void RemoteHolds::ReleaseAtHolder(Instant now, const PendingHold& hold) {
  if (hold.holder.empty()) return;
  SendCost(now, {hold.request.id, hold.holder}, 0);
}

void RemoteHolds::Finish(PendingMap::iterator it, PrepaidVerdict verdict) {
  const auto done = std::move(it->second.request.done);
  pending_.erase(it);
  done(verdict);
}

void RemoteHolds::Forget(Instant now, const RequestId& id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  ReleaseAtHolder(now, it->second);
  pending_.erase(it);
}

void RemoteHolds::OnAnswer(Instant now, const PeerMessage& message) {
  const auto it = pending_.find(message.request);
  // Ignores the answer of a previous holder, which was already sent a cost of
  // zero.
  if (it == pending_.end() || it->second.holder != message.from) return;
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
  if (message.answer == HoldAnswer::kHeld) {
    held_[message.request] = message.from;
  }
  Finish(it, VerdictOf(message.answer));
}

void RemoteHolds::OnPeerLost(Instant now, const Incarnation& holder) {
  for (auto& [id, hold] : pending_) {
    if (hold.holder != holder) continue;
    ReleaseAtHolder(now, hold);
    AskNextHolder(now, hold);
  }
}

void RemoteHolds::CheckTimeouts(Instant now) {
  const HoldTimeouts& timeouts = options_.timeouts;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingHold& hold = it->second;
    const auto at = it++;
    const bool unanswered = now - hold.asked_at >= timeouts.holder_timeout;
    if (unanswered && !hold.holder.empty()) {
      LogEvent(Event::kHoldUnanswered,
               {{"request", at->first.value}, {"holder", hold.holder.value}});
      ReleaseAtHolder(now, hold);
      AskNextHolder(now, hold);
    }
    if (hold.holder.empty()) Finish(at, PrepaidVerdict::kShort);
  }
  ResendCosts(now);
}

// --- Costs -------------------------------------------------------------------

void RemoteHolds::Settle(Instant now, const RequestId& id, Tokens cost) {
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
