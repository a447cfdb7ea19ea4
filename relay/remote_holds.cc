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

void RemoteHolds::Ask(Instant now, Request request) {
  const RequestId id = request.id;
  Asked& asked = asked_[id];
  asked.request = std::move(request);
  asked.begun = now;
  AskNext(now, asked);
}

// Without a further holder, the request is refused at the next `Tick`.
void RemoteHolds::AskNext(Instant now, Asked& asked) {
  asked.holder = {};
  asked.asked_at = now;
  while (asked.next < asked.request.holders.size()) {
    asked.holder = on_.linked(asked.request.holders[asked.next++]);
    if (!asked.holder.empty()) break;
  }
  if (asked.holder.empty()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kHold;
  out.request = asked.request.id;
  out.customer = asked.request.customer;
  out.amount = asked.request.amount;
  on_.tell(asked.holder, out);
}

// The holder may have granted the hold, or may still.
void RemoteHolds::Withdraw(Instant now, const Asked& asked) {
  if (asked.holder.empty()) return;
  TellFirst(now, {asked.request.id, asked.holder}, 0);
}

void RemoteHolds::End(AskedMap::iterator it, PrepaidVerdict verdict) {
  const auto done = std::move(it->second.request.done);
  asked_.erase(it);
  done(verdict);
}

void RemoteHolds::Forget(Instant now, const RequestId& id) {
  const auto it = asked_.find(id);
  if (it == asked_.end()) return;
  Withdraw(now, it->second);
  asked_.erase(it);
}

void RemoteHolds::Settle(Instant now, const RequestId& id, Tokens cost) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  const Key key{id, it->second};
  held_.erase(it);
  TellFirst(now, key, cost);
}

void RemoteHolds::TellFirst(Instant now, const Key& key, Tokens cost) {
  Untold& untold = untold_[key];
  untold.cost = cost;
  untold.begun = now;
  Tell(now, key, untold);
}

void RemoteHolds::Tell(Instant now, const Key& key, Untold& untold) {
  untold.told_at = now;
  PeerMessage out;
  out.kind = PeerMessageKind::kSettle;
  out.request = key.request;
  out.amount = untold.cost;
  on_.tell(key.holder, out);
}

void RemoteHolds::OnAnswer(Instant now, const PeerMessage& message) {
  const auto it = asked_.find(message.request);
  // An answer of one that is no longer asked: it has been told so.
  if (it == asked_.end() || it->second.holder != message.from) return;
  if (message.answer == HoldAnswer::kElsewhere) {
    return AskNext(now, it->second);
  }
  if (message.answer == HoldAnswer::kHeld) {
    held_[message.request] = message.from;
  }
  End(it, VerdictOf(message.answer));
}

void RemoteHolds::OnAcknowledged(const PeerMessage& message) {
  untold_.erase({message.request, message.from});
}

void RemoteHolds::OnPeerLost(Instant now, const Incarnation& holder) {
  for (auto& [id, asked] : asked_) {
    if (asked.holder != holder) continue;
    Withdraw(now, asked);
    AskNext(now, asked);
  }
}

void RemoteHolds::Tick(Instant now) {
  for (auto it = asked_.begin(); it != asked_.end();) {
    Asked& asked = it->second;
    const auto at = it++;
    const bool unanswered = now - asked.asked_at >= options_.holder_patience;
    if (unanswered && !asked.holder.empty()) {
      LogEvent(Event::kHoldUnanswered,
               {{"request", at->first.value}, {"holder", asked.holder.value}});
      Withdraw(now, asked);
      AskNext(now, asked);
    }
    const bool over = now - asked.begun >= options_.patience;
    if (!over && !asked.holder.empty()) continue;
    Withdraw(now, asked);
    End(at, PrepaidVerdict::kShort);
  }
  TellAll(now);
}

void RemoteHolds::TellAll(Instant now) {
  for (auto it = untold_.begin(); it != untold_.end();) {
    const auto at = it++;
    if (IsLost(now, at->first, at->second)) {
      untold_.erase(at);
    } else if (now - at->second.told_at >= options_.tell_again) {
      Tell(now, at->first, at->second);
    }
  }
}

// A later incarnation proves that the holder has died.
bool RemoteHolds::IsLost(Instant now, const Key& key,
                         const Untold& untold) const {
  const Incarnation linked = on_.linked(VmOf(key.holder));
  const bool dead = !linked.empty() && linked != key.holder;
  return dead || now - untold.begun >= options_.give_up;
}

}  // namespace quaytrack
