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
    case HoldAnswer::kElsewhere:
      return PrepaidVerdict::kShort;
  }
  return PrepaidVerdict::kShort;
}

}  // namespace

// --- Asks --------------------------------------------------------------------

void RemoteHolds::AskFor(Instant now, Request request) {
  const RequestId id = request.id;
  PendingAsk& ask = pending_[id];
  ask.request = std::move(request);
  ask.begun = now;
  AskNextHolder(now, ask);
}

// Without a further holder, the request is refused at the next `CheckTimes`.
void RemoteHolds::AskNextHolder(Instant now, PendingAsk& ask) {
  ask.holder = {};
  ask.asked_at = now;
  const bool late = now - ask.begun >= options_.patience.ask_holders_until;
  while (!late && ask.next < ask.request.holders.size()) {
    ask.holder = on_.linked(ask.request.holders[ask.next++]);
    if (!ask.holder.empty()) break;
  }
  if (ask.holder.empty()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kHoldWanted;
  out.request = ask.request.id;
  out.customer = ask.request.customer;
  out.amount = ask.request.amount;
  on_.tell(ask.holder, out);
}

// The holder may have granted the hold, or may still.
void RemoteHolds::ReleaseAtHolder(Instant now, const PendingAsk& ask) {
  if (ask.holder.empty()) return;
  SendCost(now, {ask.request.id, ask.holder}, 0);
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
  // An answer of one that is no longer asked: it has been told so.
  if (it == pending_.end() || it->second.holder != message.from) return;
  if (message.answer == HoldAnswer::kElsewhere) {
    return AskNextHolder(now, it->second);
  }
  if (message.answer == HoldAnswer::kHeld) {
    held_[message.request] = message.from;
  }
  Finish(it, VerdictOf(message.answer));
}

void RemoteHolds::OnPeerLost(Instant now, const Incarnation& holder) {
  for (auto& [id, ask] : pending_) {
    if (ask.holder != holder) continue;
    ReleaseAtHolder(now, ask);
    AskNextHolder(now, ask);
  }
}

void RemoteHolds::CheckTimes(Instant now) {
  const HoldPatience& patience = options_.patience;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingAsk& ask = it->second;
    const auto at = it++;
    const bool unanswered = now - ask.asked_at >= patience.holder_answer;
    if (unanswered && !ask.holder.empty()) {
      LogEvent(Event::kHoldUnanswered,
               {{"request", at->first.value}, {"holder", ask.holder.value}});
      ReleaseAtHolder(now, ask);
      AskNextHolder(now, ask);
    }
    if (ask.holder.empty()) Finish(at, PrepaidVerdict::kShort);
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
  it.begun = now;
  SendAgain(now, key, it);
}

void RemoteHolds::SendAgain(Instant now, const HoldKey& key,
                            UnacknowledgedCost& it) {
  it.sent_at = now;
  PeerMessage out;
  out.kind = PeerMessageKind::kSettle;
  out.request = key.request;
  out.amount = it.cost;
  on_.tell(key.holder, out);
}

void RemoteHolds::OnAcknowledged(const PeerMessage& message) {
  unacknowledged_.erase({message.request, message.from});
}

void RemoteHolds::ResendCosts(Instant now) {
  for (auto it = unacknowledged_.begin(); it != unacknowledged_.end();) {
    const auto at = it++;
    if (IsPointless(now, at->first, at->second)) {
      unacknowledged_.erase(at);
    } else if (now - at->second.sent_at >= options_.resend_every) {
      SendAgain(now, at->first, at->second);
    }
  }
}

// A later incarnation proves that the holder has died.
bool RemoteHolds::IsPointless(Instant now, const HoldKey& key,
                              const UnacknowledgedCost& it) const {
  const Incarnation linked = on_.linked(VmOf(key.holder));
  const bool dead = !linked.empty() && linked != key.holder;
  return dead || now - it.begun >= options_.give_up_after;
}

}  // namespace quaytrack
