#include "relay/peer_mesh.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "base/jitter.h"
#include "base/log.h"

namespace quaytrack {
namespace {

// The first check comes after a random share of the interval, from this to 1.
constexpr double kMinFirstCheckShare = 0.5;
// A link that receives nothing for this long counts as cut: three heartbeats
// are missing.
constexpr Duration kMaxSilence = std::chrono::milliseconds(3500);

}  // namespace

PeerMesh::PeerMesh(Loop& loop, const Clock& clock, Incarnation self,
                   Handlers handlers, Duration first_check)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      on_(std::move(handlers)),
      server_(loop, [this](std::shared_ptr<PeerLink> link) {
        auto it = std::make_shared<Link>();
        it->link = std::move(link);
        AddLink(it);
      }) {
  CheckFrom(first_check);
}

Duration PeerMesh::DrawFirstCheck() {
  std::minstd_rand random{std::random_device{}()};
  return Jittered(random, kCheckInterval, kMinFirstCheckShare, 1);
}

void PeerMesh::CheckFrom(Duration first_check) {
  check_timer_ = loop_.After(first_check, [this] {
    check_timer_ = loop_.Every(kCheckInterval, [this] { CheckLinks(); });
    CheckLinks();
  });
}

std::uint16_t PeerMesh::Listen(const std::string& address) {
  return server_.Listen(address);
}

// --- Opening and closing links -----------------------------------------------

void PeerMesh::AddLink(const LinkPtr& it) {
  it->last_received = clock_.Now();
  links_.insert(it);
  // The link's handlers must not keep it alive.
  const std::weak_ptr<Link> weak = it;
  PeerLink::Handlers on;
  on.open = [this, weak] {
    if (const auto link = weak.lock()) SendHello(*link);
  };
  on.message = [this, weak](const std::string& bytes) {
    if (const auto link = weak.lock()) OnMessage(link, bytes);
  };
  on.closed = [this, weak] {
    if (const auto link = weak.lock()) RemoveLink(link);
  };
  it->link->SetHandlers(std::move(on));
}

void PeerMesh::SendHello(const Link& it) {
  it.link->Send(EncodePeerMessage(Heartbeat(PeerMessageKind::kHello)));
}

void PeerMesh::OnMessage(const LinkPtr& it, const std::string& bytes) {
  const auto message = DecodePeerMessage(bytes);
  if (!message) {
    LogEvent(Event::kPeerMessageRefused, {{"peer", it->peer.value}});
    return;
  }
  NoteReceived(*it);
  if (it->peer.empty()) OnFirstMessage(it, message->from);
  on_.message(*message);
}

void PeerMesh::OnFirstMessage(const LinkPtr& it, const Incarnation& peer) {
  if (FindPeer(peer) == nullptr) {
    LogEvent(Event::kPeerLinked, {{"peer", peer.value}});
  }
  it->peer = peer;
  CloseLinksToPredecessors(VmOf(peer), peer);
}

void PeerMesh::CloseLinksToPredecessors(const VmName& vm,
                                        const Incarnation& peer) {
  std::vector<LinkPtr> predecessors;
  for (const LinkPtr& it : links_) {
    if (VmOf(it->peer) == vm && it->peer != peer) predecessors.push_back(it);
  }
  for (const LinkPtr& it : predecessors) Close(it);
}

void PeerMesh::Close(const LinkPtr& it) {
  it->link->SetHandlers({});
  RemoveLink(it);
}

void PeerMesh::RemoveLink(const LinkPtr& it) {
  links_.erase(it);
  // One of the link's callbacks may be running, so the link is destroyed later.
  loop_.Post([it] {});
  if (!it->peer.empty() && FindPeer(it->peer) == nullptr) on_.lost(it->peer);
}

// --- The set of links --------------------------------------------------------

void PeerMesh::KeepLinksTo(const std::vector<FleetMember>& members) {
  members_to_link_ = members;
  DialMissing();
}

void PeerMesh::DialMissing() {
  for (const FleetMember& it : members_to_link_) {
    if (!HasLinkTo(it.vm)) Dial(it);
  }
}

void PeerMesh::Dial(const FleetMember& member) {
  auto it = std::make_shared<Link>();
  it->dialled = member.vm;
  it->link = PeerLink::Connect(loop_, member.address, {});
  if (it->link) AddLink(it);
}

void PeerMesh::CheckLinks() {
  CloseSilent();
  BroadcastHeartbeat();
  DialMissing();
}

void PeerMesh::NoteReceived(Link& it) const {
  const std::uint64_t received = it.link->received();
  if (received == it.received) return;
  it.received = received;
  it.last_received = clock_.Now();
}

void PeerMesh::CloseSilent() {
  const Instant now = clock_.Now();
  std::vector<LinkPtr> silent;
  for (const LinkPtr& it : links_) {
    NoteReceived(*it);
    if (now - it->last_received > kMaxSilence) silent.push_back(it);
  }
  for (const LinkPtr& it : silent) {
    LogEvent(Event::kPeerLinkLost, {{"peer", it->peer.value}});
    Close(it);
  }
}

const PeerMesh::Link* PeerMesh::FindPeer(const Incarnation& peer) const {
  const auto it =
      std::find_if(links_.begin(), links_.end(),
                   [&](const LinkPtr& link) { return link->peer == peer; });
  return it == links_.end() ? nullptr : it->get();
}

Incarnation PeerMesh::LinkedOn(const VmName& vm) const {
  for (const LinkPtr& it : links_) {
    if (!it->peer.empty() && VmOf(it->peer) == vm) return it->peer;
  }
  return {};
}

bool PeerMesh::HasLinkTo(const VmName& vm) const {
  return std::any_of(links_.begin(), links_.end(), [&](const LinkPtr& it) {
    return it->dialled == vm || VmOf(it->peer) == vm;
  });
}

std::vector<Incarnation> PeerMesh::Linked() const {
  std::set<Incarnation> out;
  for (const LinkPtr& it : links_) {
    if (!it->peer.empty()) out.insert(it->peer);
  }
  return {out.begin(), out.end()};
}

std::uint64_t PeerMesh::PartialBytes(const Incarnation& peer) const {
  std::uint64_t out = 0;
  for (const LinkPtr& it : links_) {
    if (it->peer == peer) out += it->link->partial();
  }
  return out;
}

// --- Messages ----------------------------------------------------------------

PeerMessage PeerMesh::Heartbeat(PeerMessageKind kind) const {
  PeerMessage out;
  out.kind = kind;
  out.from = self_;
  on_.fill(out);
  return out;
}

void PeerMesh::BroadcastHeartbeat() {
  Broadcast(Heartbeat(PeerMessageKind::kPing));
}

void PeerMesh::Broadcast(const PeerMessage& message) {
  SendToMatching([](const VmName&) { return true; }, message);
}

void PeerMesh::SendToMatching(const std::function<bool(const VmName&)>& matches,
                              const PeerMessage& message) {
  const std::string bytes = EncodePeerMessage(message);
  std::set<Incarnation> sent;
  for (const LinkPtr& it : links_) {
    if (it->peer.empty() || !sent.insert(it->peer).second) continue;
    if (matches(VmOf(it->peer))) it->link->Send(bytes);
  }
}

void PeerMesh::SendTo(const Incarnation& peer, const PeerMessage& message) {
  const Link* it = FindPeer(peer);
  if (it != nullptr) it->link->Send(EncodePeerMessage(message));
}

}  // namespace quaytrack
