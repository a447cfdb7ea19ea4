#include "relay/peer_mesh.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace quaytrack {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(1000);
constexpr Duration kMostSilence = std::chrono::milliseconds(3500);

}  // namespace

PeerMesh::PeerMesh(Loop& loop, const Clock& clock, Incarnation self,
                   Handlers handlers)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      on_(std::move(handlers)),
      server_(loop,
              [this](std::shared_ptr<PeerLink> link) {
                auto it = std::make_shared<Link>();
                it->link = std::move(link);
                Adopt(it);
              }),
      tick_(loop.Every(kTick, [this] { Tick(); })) {}

std::uint16_t PeerMesh::Listen(const std::string& address) {
  return server_.Listen(address);
}

void PeerMesh::Adopt(const LinkPtr& it) {
  it->heard = clock_.Now();
  links_.insert(it);
  const std::weak_ptr<Link> weak = it;
  PeerLink::Handlers on;
  on.open = [this, weak] {
    const auto link = weak.lock();
    if (!link) return;
    const PeerMessage hello = SignOfLife(PeerMessageKind::kHello);
    link->link->Send(EncodePeerMessage(hello));
  };
  on.message = [this, weak](const std::string& bytes) {
    if (const auto link = weak.lock()) OnMessage(link, bytes);
  };
  on.closed = [this, weak] {
    if (const auto link = weak.lock()) Drop(link);
  };
  it->link->SetHandlers(std::move(on));
}

void PeerMesh::Drop(const LinkPtr& it) {
  links_.erase(it);
  // Its own callback may be running.
  loop_.Post([it] {});
  if (!it->peer.empty() && FindPeer(it->peer) == nullptr) on_.lost(it->peer);
}

void PeerMesh::OnMessage(const LinkPtr& it, const std::string& bytes) {
  const auto message = DecodePeerMessage(bytes);
  if (!message) {
    LogEvent(Event::kPeerMessageRefused, {{"peer", it->peer.value}});
    return;
  }
  it->heard = clock_.Now();
  if (it->peer.empty()) OnHello(it, message->from);
  on_.message(*message);
}

void PeerMesh::OnHello(const LinkPtr& it, const Incarnation& peer) {
  if (FindPeer(peer) == nullptr) {
    LogEvent(Event::kPeerLinked, {{"peer", peer.value}});
  }
  it->peer = peer;
  std::vector<LinkPtr> dead;
  for (const LinkPtr& other : links_) {
    const bool same_vm = VmOf(other->peer) == VmOf(peer);
    if (same_vm && other->peer != peer) dead.push_back(other);
  }
  for (const LinkPtr& other : dead) {
    other->link->SetHandlers({});
    Drop(other);
  }
}

void PeerMesh::SetDialled(const std::vector<FleetMember>& members) {
  dialled_ = members;
  DialMissing();
}

const PeerMesh::Link* PeerMesh::FindPeer(const Incarnation& peer) const {
  const auto it =
      std::find_if(links_.begin(), links_.end(),
                   [&](const LinkPtr& link) { return link->peer == peer; });
  return it == links_.end() ? nullptr : it->get();
}

Incarnation PeerMesh::Linked(const VmName& vm) const {
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

std::size_t PeerMesh::linked() const {
  std::set<Incarnation> peers;
  for (const LinkPtr& it : links_) {
    if (!it->peer.empty()) peers.insert(it->peer);
  }
  return peers.size();
}

void PeerMesh::Dial(const FleetMember& member) {
  auto it = std::make_shared<Link>();
  it->dialled = member.vm;
  it->link = PeerLink::Connect(loop_, member.address, {});
  if (it->link) Adopt(it);
}

void PeerMesh::Tick() {
  const Instant now = clock_.Now();
  std::vector<LinkPtr> silent;
  for (const LinkPtr& it : links_) {
    if (now - it->heard > kMostSilence) silent.push_back(it);
  }
  for (const LinkPtr& it : silent) {
    LogEvent(Event::kPeerLinkLost, {{"peer", it->peer.value}});
    it->link->SetHandlers({});
    Drop(it);
  }
  Ping();
  DialMissing();
}

void PeerMesh::DialMissing() {
  for (const FleetMember& it : dialled_) {
    if (!HasLinkTo(it.vm)) Dial(it);
  }
}

PeerMessage PeerMesh::SignOfLife(PeerMessageKind kind) const {
  PeerMessage out;
  out.kind = kind;
  out.from = self_;
  on_.describe(out);
  return out;
}

void PeerMesh::Ping() { Broadcast(SignOfLife(PeerMessageKind::kPing)); }

void PeerMesh::Broadcast(const PeerMessage& message) {
  const std::string bytes = EncodePeerMessage(message);
  std::set<Incarnation> told;
  for (const LinkPtr& it : links_) {
    if (it->peer.empty() || !told.insert(it->peer).second) continue;
    it->link->Send(bytes);
  }
}

void PeerMesh::Tell(const Incarnation& peer, const PeerMessage& message) {
  const Link* it = FindPeer(peer);
  if (it != nullptr) it->link->Send(EncodePeerMessage(message));
}

}  // namespace quaytrack
