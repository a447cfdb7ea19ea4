#include "relay/served_holds.h"

#include <numeric>
#include <vector>

namespace quaytrack {
namespace {

// Maximum number of settled holds that are remembered, so that a hold request
// that arrives after its own settlement holds nothing.
constexpr std::size_t kMaxSettledRemembered = 4096;

}  // namespace

void ServedHolds::PeerHold::OnHeld() {
  // The hold was granted after it had been settled or abandoned, so it is
  // returned.
  if (ended) return owner_.on_.settle(customer_, amount_, 0);
  held = true;
  owner_.Answer(key_, HoldAnswer::kHeld);
}

void ServedHolds::PeerHold::OnHoldRefused(bool exhausted) {
  Refuse(exhausted ? HoldAnswer::kExhausted : HoldAnswer::kShort,
         Duration::zero());
}

void ServedHolds::PeerHold::OnHoldReserved(Duration retry_after) {
  Refuse(HoldAnswer::kShort, retry_after);
}

void ServedHolds::PeerHold::Refuse(HoldAnswer answer, Duration retry_after) {
  if (ended) return;
  ended = true;
  owner_.Answer(key_, answer, {.retry_after = retry_after});
  owner_.holds_.erase(key_);
}

void ServedHolds::Answer(const Key& key, HoldAnswer answer) {
  Answer(key, answer, AnswerDetails());
}

void ServedHolds::Answer(const Key& key, HoldAnswer answer,
                         AnswerDetails details) {
  PeerMessage out;
  out.kind = PeerMessageKind::kHoldAnswer;
  out.request = key.request;
  out.answer = answer;
  out.amount = details.amount;
  out.retry_after = details.retry_after;
  on_.send(key.asker, out);
}

void ServedHolds::OnHoldWanted(const PeerMessage& message) {
  const Key key{message.from, message.request};
  if (stopped_) return Answer(key, HoldAnswer::kNotHolder);
  if (settled_.contains(key) || holds_.contains(key)) return;
  // A customer without a budget here would be served without being counted. The
  // asker's configuration is older or newer than this router's, and another
  // holder may have the same one.
  if (!on_.has_budget(message.customer)) {
    return Answer(key, HoldAnswer::kNotHolder);
  }
  if (message.advance) return OnAdvanceWanted(key, message);
  const auto hold = std::make_shared<PeerHold>(*this, key, message);
  holds_[key] = hold;
  on_.hold(hold);
}

void ServedHolds::OnAdvanceWanted(const Key& key, const PeerMessage& message) {
  const CustomerName& customer = message.customer;
  const Tokens given =
      on_.hold_in_advance
          ? on_.hold_in_advance(customer, message.amount, advanced_[customer])
          : 0;
  if (given <= 0) {
    // A second copy of the request must not be given what nobody draws from.
    RememberSettled(key);
    return Answer(key, HoldAnswer::kShort);
  }
  const auto hold = std::make_shared<PeerHold>(*this, key, message);
  hold->amount_ = given;
  hold->held = true;
  hold->advance = true;
  holds_[key] = hold;
  ChangeAdvances(customer, given);
  Answer(key, HoldAnswer::kHeld, {.amount = given});
}

void ServedHolds::ChangeAdvances(const CustomerName& customer, Tokens change) {
  Tokens& sum = advanced_[customer];
  sum += change;
  if (on_.advances_changed) on_.advances_changed(customer, sum);
}

Tokens ServedHolds::Advanced() const {
  return std::accumulate(
      advanced_.begin(), advanced_.end(), Tokens{0},
      [](Tokens n, const auto& it) { return n + it.second; });
}

void ServedHolds::OnSettle(const PeerMessage& message) {
  const Key key{message.from, message.request};
  RememberSettled(key);
  PeerMessage out;
  out.kind = PeerMessageKind::kSettled;
  out.request = message.request;
  on_.send(message.from, out);
  const auto it = holds_.find(key);
  if (it == holds_.end()) return;
  const PeerHoldPtr hold = it->second;
  holds_.erase(it);
  Finish(hold, message.amount);
}

void ServedHolds::Finish(const PeerHoldPtr& hold, Tokens cost) {
  hold->ended = true;
  if (!hold->held) return on_.forget(hold);
  if (hold->advance) ChangeAdvances(hold->customer_, -hold->amount_);
  on_.settle(hold->customer_, hold->amount_, cost);
}

void ServedHolds::OnHello(const Incarnation& peer) {
  const VmName vm = VmOf(peer);
  std::vector<PeerHoldPtr> dead;
  for (const auto& [key, hold] : holds_) {
    if (key.asker != peer && VmOf(key.asker) == vm) dead.push_back(hold);
  }
  for (const PeerHoldPtr& it : dead) {
    holds_.erase(it->key_);
    Finish(it, it->amount_);
  }
}

void ServedHolds::Stop() {
  stopped_ = true;
  std::vector<PeerHoldPtr> waiting;
  for (const auto& [key, hold] : holds_) {
    if (!hold->held) waiting.push_back(hold);
    if (hold->advance) Answer(key, HoldAnswer::kNotHolder);
  }
  for (const PeerHoldPtr& it : waiting) {
    holds_.erase(it->key_);
    Finish(it, 0);
    Answer(it->key_, HoldAnswer::kNotHolder);
  }
}

void ServedHolds::RememberSettled(const Key& key) {
  if (!settled_.insert(key).second) return;
  settled_order_.push_back(key);
  if (settled_order_.size() <= kMaxSettledRemembered) return;
  settled_.erase(settled_order_.front());
  settled_order_.pop_front();
}

}  // namespace quaytrack
