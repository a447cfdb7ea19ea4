#include "router/peer_driver.h"

#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(300);
constexpr int kMaxFailedAttempts = 3;

}  // namespace

PeerDriver::PeerDriver(Loop& loop, Incarnation self, Handlers handlers)
    : loop_(loop),
      self_(std::move(self)),
      handlers_(std::move(handlers)),
      server_(loop,
              [this](std::shared_ptr<PeerLink> it) { Accept(std::move(it)); }) {
}

std::uint16_t PeerDriver::Listen(const std::string& address) {
  return server_.Listen(address);
}

// --- As a witness ------------------------------------------------------------

void PeerDriver::Accept(std::shared_ptr<PeerLink> link) {
  PeerLink* key = link.get();
  owners_[key].link = std::move(link);
  PeerLink::Handlers on;
  on.message = [this, key](const std::string& bytes) {
    auto it = owners_.find(key);
    if (it != owners_.end()) OnOwnerMessage(it->second, bytes);
  };
  on.closed = [this, key] { owners_.erase(key); };
  owners_[key].link->SetHandlers(std::move(on));
}

void PeerDriver::OnOwnerMessage(Owner& owner, const std::string& bytes) {
  const auto message = DecodePeerMessage(bytes);
  if (message && std::holds_alternative<HelloMessage>(*message)) {
    owner.name = std::get<HelloMessage>(*message).owner;
    store_.Restart(owner.name);
    owner.link->Send(EncodePeerMessage(AckMessage{0}));
    return;
  }
  const bool expected = message && !owner.name.empty() &&
                        std::holds_alternative<WitnessMessage>(*message);
  if (!expected) {
    LogEvent(Event::kPeerMessageRefused, {{"from", owner.name.value}});
    return;
  }
  store_.OnMessage(owner.name, std::get<WitnessMessage>(*message));
  owner.link->Send(EncodePeerMessage(AckMessage{++owner.stored_count}));
}

// --- As an owner -------------------------------------------------------------

void PeerDriver::OnRegistry(const RouterRegistry& registry,
                            const RouterEntry& self) {
  registry_ = &registry;
  self_entry_ = self;
  if (!registry.entries().contains(witness_)) ChooseWitness();
}

void PeerDriver::ChooseWitness() {
  Incarnation next = registry_->WitnessFor(self_entry_, avoided_witness_);
  // If there is no other router, the witness that failed is tried again.
  if (next.empty()) next = registry_->WitnessFor(self_entry_, Incarnation());
  if (next == witness_) return;
  witness_ = next;
  link_.reset();
  feed_.OnLinkClosed();
  caught_up_ = false;
  failed_attempts_ = 0;
  LogEvent(Event::kWitnessChanged, {{"witness", witness_.value}});
  if (witness_.empty()) return;
  witness_address_ = registry_->entries().at(witness_).peer_address;
  Connect();
}

void PeerDriver::Connect() {
  PeerLink::Handlers on;
  on.open = [this] {
    failed_attempts_ = 0;
    handlers_.link(true);
    link_->Send(EncodePeerMessage(HelloMessage{self_}));
    feed_.OnLinkOpen();
    Flush();
  };
  on.message = [this](const std::string& bytes) { OnWitnessMessage(bytes); };
  on.closed = [this] { OnLinkClosed(); };
  link_ = PeerLink::Connect(loop_, witness_address_, std::move(on));
}

void PeerDriver::OnLinkClosed() {
  if (failed_attempts_ == 0) {
    LogEvent(Event::kPeerLinkLost, {{"witness", witness_.value}});
    handlers_.link(false);
  }
  feed_.OnLinkClosed();
  link_.reset();
  if (++failed_attempts_ >= kMaxFailedAttempts) {
    avoided_witness_ = witness_;
    ChooseWitness();
  }
  retry_timer_ = loop_.After(kReconnectDelay, [this] {
    if (!link_ && !witness_.empty()) Connect();
  });
}

void PeerDriver::OnWitnessMessage(const std::string& bytes) {
  const auto message = DecodePeerMessage(bytes);
  if (!message || !std::holds_alternative<AckMessage>(*message)) return;
  const auto done = feed_.OnAck(std::get<AckMessage>(*message).count);
  if (!caught_up_ && feed_.CaughtUp()) {
    caught_up_ = true;
    handlers_.caught_up(witness_);
  }
  for (const RequestId& it : done) handlers_.witnessed(witness_, it);
}

void PeerDriver::Flush() {
  for (const WitnessMessage& it : feed_.TakeOutgoing()) {
    if (link_) link_->Send(EncodePeerMessage(it));
  }
}

void PeerDriver::OnIntent(const Intent& it) {
  feed_.OnIntent(it);
  Flush();
}

void PeerDriver::OnBill(const Bill& it, std::uint64_t seq) {
  feed_.OnBill(it, seq);
  Flush();
}

void PeerDriver::OnRelease(const RequestId& it) {
  feed_.OnRelease(it);
  Flush();
}

void PeerDriver::OnWritten(std::uint64_t seq) {
  feed_.OnWritten(seq);
  Flush();
}

}  // namespace quaytrack
