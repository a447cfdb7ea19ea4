#include "ledger/witness.h"

#include <utility>

namespace quaytrack {
namespace {

// Combines one lambda for each message type into a visitor.
template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace

void WitnessFeed::Push(WitnessMessage message) {
  if (!open_) return;
  ++pushed_;
  if (const auto* it = std::get_if<BillMessage>(&message)) {
    unacked_.emplace_back(pushed_, it->bill.request_id);
  }
  outgoing_.push_back(std::move(message));
}

void WitnessFeed::OnIntent(const Intent& intent) {
  intents_[intent.worst_case.request_id] = intent;
  Push(IntentMessage{intent});
}

void WitnessFeed::OnBill(const Bill& bill, std::uint64_t seq) {
  intents_.erase(bill.request_id);
  bills_[bill.request_id] = {bill, seq};
  Push(BillMessage{seq, bill});
}

void WitnessFeed::OnRelease(const RequestId& request) {
  if (intents_.erase(request) > 0) Push(ReleaseMessage{request});
}

void WitnessFeed::OnWritten(std::uint64_t seq) {
  const auto n = std::erase_if(
      bills_, [seq](const auto& it) { return it.second.seq <= seq; });
  if (n > 0) Push(WrittenMessage{seq});
}

void WitnessFeed::OnLinkOpen() {
  open_ = true;
  outgoing_.clear();
  unacked_.clear();
  pushed_ = 0;
  acked_ = 0;
  for (const auto& [request, it] : intents_) Push(IntentMessage{it});
  for (const auto& [request, it] : bills_) Push(BillMessage{it.seq, it.bill});
  Push(CaughtUpMessage{});
  catch_up_ = pushed_;
}

void WitnessFeed::OnLinkClosed() {
  open_ = false;
  outgoing_.clear();
  unacked_.clear();
}

std::vector<WitnessMessage> WitnessFeed::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::vector<RequestId> WitnessFeed::OnAck(std::uint64_t n) {
  std::vector<RequestId> out;
  acked_ = n;
  while (!unacked_.empty() && unacked_.front().first <= n) {
    out.push_back(unacked_.front().second);
    unacked_.pop_front();
  }
  return out;
}

void WitnessStore::Restart(const Incarnation& owner) {
  OwnerCopies& held = copies_[owner];
  // `previous` still has copies from earlier links if the last link never
  // caught up. They are kept, as the owner may not have sent them again.
  held.current.intents.merge(held.previous.intents);
  held.current.bills.merge(held.previous.bills);
  held.previous = std::exchange(held.current, {});
}

void WitnessStore::OnMessage(const Incarnation& owner,
                             const WitnessMessage& message) {
  OwnerCopies& held = copies_[owner];
  WitnessCopy& copy = held.current;
  std::visit(Overloaded{[&](const IntentMessage& it) {
                          copy.intents[it.intent.worst_case.request_id] =
                              it.intent;
                        },
                        [&](const BillMessage& it) {
                          copy.intents.erase(it.bill.request_id);
                          held.previous.intents.erase(it.bill.request_id);
                          copy.bills[it.bill.request_id] = it;
                        },
                        [&](const ReleaseMessage& it) {
                          copy.intents.erase(it.request);
                          held.previous.intents.erase(it.request);
                        },
                        [&](const WrittenMessage& it) {
                          std::erase_if(copy.bills, [&](const auto& bill) {
                            return bill.second.seq <= it.seq;
                          });
                        },
                        [&](const CaughtUpMessage&) { held.previous = {}; }},
             message);
}

std::optional<WitnessCopy> WitnessStore::Of(const Incarnation& owner) const {
  auto it = copies_.find(owner);
  if (it == copies_.end()) return std::nullopt;
  WitnessCopy out = it->second.current;
  WitnessCopy before = it->second.previous;
  out.intents.merge(before.intents);
  out.bills.merge(before.bills);
  return out;
}

}  // namespace quaytrack
